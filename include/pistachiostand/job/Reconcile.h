#pragma once

#include "pistachiostand/job/JobTable.h"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief Compares what a backend server reports with what the book expects of it.

namespace pistachiostand::fleet {

/// Ends of one life of a server are numbered without gaps. A number that is further from the one
/// before would acknowledge ends that were never seen.
inline constexpr std::uint64_t kMaxEndGap = 100'000;

struct ReportedRun
{
  SubtaskId m_subtask;
  std::uint64_t m_run{};
  std::string m_checkpoint;
  int m_percent{}; ///< Progress; 100 for a lasting subtask that is at work.
  int m_load{};    ///< Serving: tail in milliseconds; otherwise processor use.

  friend bool operator==(const ReportedRun&, const ReportedRun&) = default;
};

struct ReportedEnd
{
  std::uint64_t m_number{}; ///< Counts the ends of one life of the server, from 1.
  RunEnd m_end;

  friend bool operator==(const ReportedEnd&, const ReportedEnd&) = default;
};

/// \brief All that runs on a backend server, and the ends that were not acknowledged.
struct ServerReport
{
  Millis m_clockMs{};
  std::int64_t m_incarnation{}; ///< Unix milliseconds of the server's start; 0 when not told.
  std::vector<ReportedRun> m_running;
  std::vector<ReportedEnd> m_ended;
  bool m_partial{}; ///< It may leave out runs that go on and ends that were not acknowledged.

  friend bool operator==(const ServerReport&, const ServerReport&) = default;
};

/// \brief What a report changes beyond the runs that it confirms.
struct Reconciliation
{
  std::vector<RunRef> m_stops;   ///< Runs to stop.
  std::vector<RunRef> m_dropped; ///< Runs that were forgotten, because the server has them no more.

  friend bool operator==(const Reconciliation&, const Reconciliation&) = default;
};

/// \brief Brings the runs of one server in line with its report, after its ends were applied.
///
/// A run that is missing from a report is dropped only when it cannot start any more: it was seen
/// running before the report was asked for, an earlier owner planned it (the server now refuses
/// that owner's orders), or its stop was accepted. A start without an answer may still be on its
/// way; it is returned to be stopped, because the server remembers a stop. What a partial report
/// does not list waits: its end may be among those that the report leaves out.
///
/// \param aRequestedMs when the report was asked for, on the owner's steady clock.
[[nodiscard]] Reconciliation Reconcile(JobTable& aJobTable, const ServerId& aServer,
                                       const ServerReport& aReport, Millis aRequestedMs,
                                       Millis aNowMs);

/// \brief Applies the change of life of a server: what was seen running there is gone.
///
/// Kept are a start without an answer, which the new life may still receive (its stop, if ordered,
/// is forgotten there and due again), and a run that was confirmed at `aRequestedMs` or later, when
/// the new life may already have begun. \param aRequestedMs when the answer that shows the new life
/// was asked for. \return the forgotten runs.
std::vector<RunRef> DropPreviousIncarnation(JobTable& aJobTable, const ServerId& aServer,
                                            Millis aRequestedMs, Millis aNowMs);

/// \brief New shares for the fillers on a server, so that the serving subtasks beside them keep
/// their tail targets. Only changed shares are returned.
struct ThrottleChange
{
  RunRef m_run;
  int m_percent{};

  friend auto operator<=>(const ThrottleChange&, const ThrottleChange&) = default;
};

[[nodiscard]] std::vector<ThrottleChange> PlanThrottling(const JobTable& aJobTable,
                                                         const ServerId& aServer);

} // namespace pistachiostand::fleet
