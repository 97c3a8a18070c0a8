#pragma once

#include "Committer.h"
#include "OwnerState.h"

#include <functional>
#include <map>
#include <string>

/// \file
/// \brief Talks to the backend servers: starts, stops, renews leases and collects ends.

namespace pistachiostand::fleet {

/// \brief No owner grants a lease that ends later than this after its last stored record, so a
/// later owner waits no longer for servers that it cannot reach.
inline constexpr Millis kLongestGrantMs = 6'000;

class RunControl
{
public:
  /// \param aOnChange called after something has changed that may let a subtask start.
  RunControl(OwnerState& aState, Committer& aCommitter, std::function<void()> aOnChange);

  RunControl(const RunControl&) = delete;
  RunControl& operator=(const RunControl&) = delete;
  ~RunControl() = default;

  /// \brief A registration has changed, or was removed when there is no entry.
  void OnServerRegistration(const ServerId& aId,
                            const std::optional<ServerRegistration>& aRegistration);

  /// \brief Sends the runs whose records are stored and lets ends be acknowledged.
  void OnStored(const CommitBatch& aBatch);

  /// \brief Sends what is due: polls, repeated stops, the end of expired leases.
  void Tick(Millis aNowMs);

  /// \brief The platform has answered an order for the server's instance as done. The order ends
  /// this life of the server, unless it was a repeat.
  void OnInstanceOrderDone(const ServerId& aId);

  /// \brief Orders the end of a run.
  void Stop(const RunRef& aRun, std::string_view aReason);

  /// \brief Orders the end of all runs that have no reason any more.
  void StopObsoleteRuns();

  /// \brief True when the server may receive new work.
  [[nodiscard]] bool IsUsable(const ServerState& aServer, Millis aNowMs) const;

  std::map<SubtaskId, Ticket> m_tickets; ///< Tickets of planned runs of queues with advice.

private:
  /// \brief An order in flight. The server may register at another address before its answer.
  struct SentOrder
  {
    RunRef m_run;
    Endpoint m_address;
    Millis m_sentMs{};
  };

  void Start(const RunRef& aRun);
  /// \brief Forgets a run without an end, and logs why.
  void Drop(const RunRef& aRun, std::string_view aCause);
  /// \brief Logs why runs have left the book without an end.
  void LogDropped(const std::vector<RunRef>& aRuns, std::string_view aCause);
  void OnStarted(const SentOrder& aSent, const platform::OrderResult& aResult);
  void OnStopped(const SentOrder& aSent, const platform::OrderResult& aResult);
  void Poll(ServerState& aServer, Millis aWaitMs);
  void PollNow(ServerState& aServer);
  void CancelPoll(ServerState& aServer);
  void OnPolled(const ServerId& aId, Millis aSentMs, const platform::PollResult& aResult);
  void ApplyReport(ServerState& aServer, const ServerReport& aReport, Millis aSentMs);
  /// \brief The report without runs whose numbers are far too large.
  [[nodiscard]] ServerReport WithoutInvalidRuns(const ServerId& aId, ServerReport aReport);
  void ApplyEnds(ServerState& aServer, const ServerReport& aReport);
  void Throttle(const ServerState& aServer);
  void OnCallUnanswered(ServerState& aServer);
  void OnServerMismatch(ServerState& aServer, const Endpoint& aAddress);
  void ExpireLease(ServerState& aServer, Millis aNowMs);
  /// \brief Notes the clock that a server tells in its answer to a call of `aSentMs`.
  void UpdateClock(ServerState& aServer, Millis aServerMs, Millis aSentMs);
  /// \brief Begins anew with a server whose former life has ended: what it has acknowledged and
  /// the time of its clock say nothing of the new one.
  void BeginIncarnation(ServerState& aServer);
  void AssumeLongestLease(ServerState& aServer);
  [[nodiscard]] bool HasRuns(const ServerId& aId) const;
  /// \brief True when a run there may have begun: planned ones hold no lease yet.
  [[nodiscard]] bool HasSentRuns(const ServerId& aId) const;
  [[nodiscard]] Millis PollWaitMs(const ServerId& aId, Millis aWaitMs) const;
  [[nodiscard]] Millis LeaseMs(Millis aNowMs) const;
  [[nodiscard]] std::uint32_t MaxFailures(const SubtaskId& aId) const;

  void RepeatStops(Millis aNowMs);

  Millis m_stopsCheckedMs{};
  OwnerState& m_state;
  Committer& m_committer;
  std::function<void()> m_onChange;
};

} // namespace pistachiostand::fleet
