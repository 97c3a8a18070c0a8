#pragma once

#include "pistachiostand/job/JobTable.h"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief Reconciles the job table with the reports of backend servers.

namespace pistachiostand::fleet {

/// \brief Largest accepted distance between the numbers of two consecutive ends.
///
/// Ends of one incarnation of a server are numbered without gaps. A larger distance would
/// acknowledge ends that were never received.
inline constexpr std::uint64_t kMaxEndGap = 100'000;

struct ReportedRun
{
  SubtaskId m_subtask;
  std::uint64_t m_run{};
  std::string m_checkpoint;
  int m_percent{}; ///< Progress; a long-running subtask is ready at 100.
  int m_load{};    ///< Serving: tail latency in milliseconds; otherwise processor use.

  friend bool operator==(const ReportedRun&, const ReportedRun&) = default;
};

struct ReportedEnd
{
  std::uint64_t m_number{}; ///< Sequence number within one incarnation of the server, from 1.
  RunEnd m_end;

  friend bool operator==(const ReportedEnd&, const ReportedEnd&) = default;
};

/// \brief Runs on a backend server, and the ends that were not acknowledged yet.
struct ServerReport
{
  Millis m_clockMs{};
  std::int64_t m_incarnation{}; ///< Unix milliseconds of the server's start; 0: not reported.
  std::vector<ReportedRun> m_running;
  std::vector<ReportedEnd> m_ended;
  bool m_partial{}; ///< It may omit ongoing runs and unacknowledged ends.

  friend bool operator==(const ServerReport&, const ServerReport&) = default;
};

/// \brief Result of a report, besides the runs that it confirms.
struct Reconciliation
{
  std::vector<RunRef> m_stops;   ///< Runs to stop.
  std::vector<RunRef> m_dropped; ///< Runs removed because the server no longer has them.

  friend bool operator==(const Reconciliation&, const Reconciliation&) = default;
};

/// \brief Updates the runs of one server from its report, after its ends were applied.
///
/// A run that is missing from a report is dropped only when it can no longer start: it was reported
/// running before this report was requested, a previous owner planned it (the server now rejects
/// that owner's orders), or its stop was accepted. A start without a response may still be in
/// flight. If it timed out before this report was requested, the run is returned to be stopped: the
/// server remembers the stop for a start of that run that arrives later.
/// A run that a partial report does not list is kept: its end may be among those omitted.
///
/// \param aRequestedMs when the report was requested, on the owner's steady clock.
[[nodiscard]] Reconciliation Reconcile(JobTable& aJobTable, const ServerId& aServer,
                                       const ServerReport& aReport, Millis aRequestedMs,
                                       Millis aNowMs);

/// \brief Drops the runs of the previous incarnation of a server that has restarted.
///
/// A start without a response is kept, because the new incarnation may still receive it; it has
/// lost any stop of that run, which must be sent again. A run that was confirmed at `aRequestedMs`
/// or later is kept too, because the new incarnation may already have started it.
/// \param aRequestedMs when the response that shows the new incarnation was requested.
/// \return the dropped runs.
std::vector<RunRef> DropPreviousIncarnation(JobTable& aJobTable, const ServerId& aServer,
                                            Millis aRequestedMs, Millis aNowMs);

/// \brief New permitted speed of a best-effort run.
struct ThrottleChange
{
  RunRef m_run;
  int m_percent{};

  friend auto operator<=>(const ThrottleChange&, const ThrottleChange&) = default;
};

/// \brief Adjusts the speed of the best-effort runs on a server, so that the serving subtasks there
/// meet their tail latency targets. Only changes are returned.
[[nodiscard]] std::vector<ThrottleChange> PlanThrottling(const JobTable& aJobTable,
                                                         const ServerId& aServer);

} // namespace pistachiostand::fleet
