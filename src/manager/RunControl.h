#pragma once

#include "Committer.h"
#include "OwnerState.h"

#include "pistachiostand/job/OrderWindow.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>

/// \file
/// \brief Controls the runs on backend servers: starts and stops them, renews leases and collects
/// the ends of runs.

namespace pistachiostand::fleet {

/// \brief Longest time from an owner's last stored record to the end of a lease that it grants. It
/// bounds how long a later owner waits for servers that it cannot reach.
inline constexpr Millis kLongestGrantMs = 6'000;

class RunControl
{
public:
  /// \param aOnChange called after a change that may allow a subtask to start.
  RunControl(OwnerState& aState, Committer& aCommitter, std::function<void()> aOnChange);

  RunControl(const RunControl&) = delete;
  RunControl& operator=(const RunControl&) = delete;
  ~RunControl() = default;

  /// \brief Applies a changed registration, or its removal when `aRegistration` is empty.
  void OnServerRegistration(const ServerId& aId,
                            const std::optional<ServerRegistration>& aRegistration);

  /// \brief Number of further runs that may be planned at the moment, on a server or on any.
  [[nodiscard]] std::size_t StartsLeft(const ServerId& aId) const
  {
    return OrdersLeft(m_starts, aId);
  }
  [[nodiscard]] std::size_t StartsLeft() const noexcept { return OrdersLeft(m_starts); }

  /// \brief Counts a planned run until its start is answered or turns out to be needless.
  void OnPlanned(const RunRef& aRun) { OpenOrder(m_starts, aRun.m_server); }

  /// \brief Calls `aOnChange` when the next start is answered, because starts are held back.
  void SetStartsHeldBack(bool aHeldBack) noexcept { m_startsHeldBack = aHeldBack; }

  /// \brief Starts the planned runs of a stored batch and allows its ends to be acknowledged.
  void OnStored(const CommitBatch& aBatch);

  /// \brief Sends polls and repeated stops that are due, and expires leases.
  void Tick(Millis aNowMs);

  /// \brief Handles an order for the server's instance that the platform has reported as done. The
  /// order ends this incarnation of the server, unless it was a repeat.
  void OnInstanceOrderDone(const ServerId& aId);

  /// \brief Sends a stop for a run, or drops the run if its start was not sent yet. Does nothing
  /// while too many stops are open; what asks for the stop asks again.
  /// \return true when the stop was sent or the run dropped.
  bool Stop(const RunRef& aRun, std::string_view aReason);

  /// \brief Stops runs that are no longer needed, a few in each turn of the loop.
  void StopObsoleteRuns();

  /// \brief True when the server may receive new work.
  [[nodiscard]] bool IsUsable(const ServerState& aServer, Millis aNowMs) const;

  std::map<SubtaskId, Ticket> m_tickets; ///< Tickets of planned runs of queues with advice.
  /// \brief Called when a server has refused the ticket of a start.
  std::function<void(const RunRef&)> m_onTicketRefused = [](const RunRef& /*aRun*/) {};

private:
  /// \brief An order in flight. The server may register at another address before it responds.
  struct SentOrder
  {
    RunRef m_run;
    Endpoint m_address;
    Millis m_sentMs{};
    std::int64_t m_incarnation{}; ///< Incarnation that a start is meant for; 0: not known.
  };

  /// \brief Sends starts of stored runs, a few in each turn of the loop.
  void SendStarts();
  void SendStartsSoon();
  /// \return false when the run is not needed any more or must not be sent.
  bool Start(const RunRef& aRun);
  void CloseStart(const ServerId& aId);
  void StopObsoleteRunsSoon();
  /// \brief Removes a run without an end from the job table, and logs the cause.
  void Drop(const RunRef& aRun, std::string_view aCause);
  /// \brief Logs why runs were removed from the job table without an end.
  void LogDropped(const std::vector<RunRef>& aRuns, std::string_view aCause);
  void OnStarted(const SentOrder& aSent, const platform::OrderResult& aResult);
  void OnStopped(const SentOrder& aSent, const platform::OrderResult& aResult);
  void Poll(ServerState& aServer, Millis aWaitMs);
  void PollNow(ServerState& aServer);
  void CancelPoll(ServerState& aServer);
  void OnPolled(const ServerId& aId, Millis aSentMs, const platform::PollResult& aResult);
  void ApplyReport(ServerState& aServer, const ServerReport& aReport, Millis aSentMs);
  /// \brief Returns the report without runs whose numbers are far too large.
  [[nodiscard]] ServerReport WithoutInvalidRuns(const ServerId& aId, ServerReport aReport);
  void ApplyEnds(ServerState& aServer, const ServerReport& aReport);
  void Throttle(const ServerState& aServer);
  void OnCallUnanswered(ServerState& aServer);
  void OnServerMismatch(ServerState& aServer, const Endpoint& aAddress);
  void ExpireLease(ServerState& aServer, Millis aNowMs);
  /// \brief Records the clock that a server returned in its response to a call sent at `aSentMs`.
  void UpdateClock(ServerState& aServer, Millis aServerMs, Millis aSentMs);
  /// \brief Resets the state of a server whose previous incarnation has ended: the ends of that
  /// incarnation do not apply to the new one. The caller resets the clock.
  void BeginIncarnation(ServerState& aServer);
  void AssumeLongestLease(ServerState& aServer);
  /// \brief Assumes the longest lease, counted from the takeover, for a server that may have
  /// restarted shortly before it. The earlier owner may have sent it orders with deadlines on the
  /// clock of its previous incarnation, which the server limits to its longest lease.
  void AssumeLeaseOfEarlierOwner(ServerState& aServer, std::int64_t aIncarnation);
  /// \brief Extends the lease beyond what this owner has granted, and logs why.
  /// \param aIncarnation the incarnation that may hold it; 0: not known yet.
  void AssumeLease(ServerState& aServer, Millis aEndMs, std::string_view aBasis,
                   std::int64_t aIncarnation);
  [[nodiscard]] bool HasRuns(const ServerId& aId) const;
  /// \brief True when a run on the server may have begun. Planned runs hold no lease yet.
  [[nodiscard]] bool HasSentRuns(const ServerId& aId) const;
  [[nodiscard]] Millis PollWaitMs(const ServerId& aId, Millis aWaitMs) const;
  [[nodiscard]] Millis LeaseMs(Millis aNowMs) const;
  [[nodiscard]] std::uint32_t MaxFailures(const SubtaskId& aId) const;

  void RepeatStops(Millis aNowMs);

  Millis m_stopsCheckedMs{};
  OrderWindow m_starts;              ///< From the plan of a run to the answer to its start.
  std::deque<RunRef> m_storedStarts; ///< Stored runs whose starts have not been sent yet.
  std::size_t m_startsInFlight{};
  bool m_startsHeldBack{};
  OrderWindow m_stops;
  bool m_stopsScheduled{};
  OrderWindow m_throttles;
  bool m_startsScheduled{};
  OwnerState& m_state;
  Committer& m_committer;
  std::function<void()> m_onChange;
};

} // namespace pistachiostand::fleet
