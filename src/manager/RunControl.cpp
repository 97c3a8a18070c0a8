#include "RunControl.h"

#include "EventLog.h"
#include "MalformedEntry.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/job/Reconcile.h"
#include "pistachiostand/job/Scheduler.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace pistachiostand::fleet {

namespace {

/// Long enough for another owner to take over (1.0 s without renewals and its first polls) while
/// work goes on. The work of a lost server waits this long before it starts elsewhere.
constexpr Millis kLeaseMs = 4'000;
/// Lease of a start, which a poll extends. Short, so that a start without a response expires early.
constexpr Millis kStartLeaseMs = 1'500;
constexpr Millis kStartTimeoutMs = 700;
/// Starts that wait for their record or their server, at a time. An open start takes up to 18 kB,
/// and a server answers this many well within the timeout of the last one.
constexpr OrderLimits kStartLimits{ 64, 2'048 };
/// Starts sent in one turn of the loop, so that other calls and timers come in between.
constexpr std::size_t kStartsPerTurn = 64;
constexpr OrderLimits kStopLimits{ 64, 512 };
constexpr std::size_t kStopsPerTurn = 64;
constexpr OrderLimits kThrottleLimits{ 64, 256 };
constexpr Millis kStopTimeoutMs = 600;
constexpr Millis kThrottleTimeoutMs = 600;
/// Longest wait of a poll for an end. Allows several renewals within a lease.
constexpr Millis kPollWaitMs = 1'000;
/// Shorter on servers with serving subtasks, whose tail latency has to be watched.
constexpr Millis kLatencySensitivePollWaitMs = 400;
/// Shorter on servers with long-running subtasks that are not ready yet: others may be evacuated
/// once they are.
constexpr Millis kStartingPollWaitMs = 100;
/// Time for the response beyond the wait.
constexpr Millis kPollResponseMs = 700;
/// The same for a server that exceeded it. Two such polls fit into a lease, so that the work of a
/// server that only responds slowly is not dropped.
constexpr Millis kSlowPollResponseMs = 1'500;
/// A poll that was not sent within this time, because its process or its carrier was paused, is
/// dropped: its acknowledgment may be for a previous incarnation of the server.
constexpr Millis kPollSendTimeoutMs = 1'000;
constexpr Millis kPollRetryMs = 250;
/// Delay of the next poll, without an acknowledgment, while the ends are not stored yet.
constexpr Millis kUnstoredEndsPollMs = 500;
/// Polls that the owner of a large fleet sends by itself in one tick until carriers have joined. A
/// first poll of all servers at once would take a small instance seconds.
constexpr std::size_t kDirectPollsPerTick = 20;
constexpr Millis kStopRepeatMs = 500;
/// A registration of an incarnation that was ended by an order arrives within this time after the
/// order. A registration that arrives later shows that the incarnation has not ended: the platform
/// reports a repeated order as done without executing it again.
constexpr Millis kStaleRegistrationMs = 4'500;
/// Largest difference between the wall clocks of a backend server and of this instance that is
/// allowed for.
constexpr Millis kWallClockToleranceMs = 5'000;
/// Interval of the search for stops to repeat, which visits all runs, 4,000 in a large fleet.
constexpr Millis kStopCheckMs = 250;
/// Calls without a response after which a server gets no new work.
constexpr unsigned kMaxUnansweredCalls = 2;
constexpr Millis kAvoidMs = 3'000;
/// After a refused start, unless its ticket was invalid or its run was stale.
constexpr Millis kAvoidAfterRefusalMs = 200;
/// Runs are stored before they start, so the job table has the last number of each subtask. A
/// reported number that is much larger would leave later runs with numbers above kMaxRunNumber,
/// which are rejected in reports.
constexpr std::uint64_t kMaxRunGap = 1'000;

} // namespace

RunControl::RunControl(OwnerState& aState, Committer& aCommitter, std::function<void()> aOnChange)
  : m_starts{ kStartLimits }
  , m_stops{ kStopLimits }
  , m_throttles{ kThrottleLimits }
  , m_state(aState)
  , m_committer(aCommitter)
  , m_onChange(std::move(aOnChange))
{
}

bool RunControl::HasRuns(const ServerId& aId) const
{
  return m_state.m_jobTable.m_byServer.contains(aId);
}

bool RunControl::HasSentRuns(const ServerId& aId) const
{
  return std::ranges::any_of(RunsOn(m_state.m_jobTable, aId), [this](const RunRef& aRef) {
    return FindRun(m_state.m_jobTable, aRef)->m_phase != RunPhase::Planned;
  });
}

Millis RunControl::PollWaitMs(const ServerId& aId, Millis aWaitMs) const
{
  const auto found = m_state.m_jobTable.m_byServer.find(aId);
  const auto load = m_state.m_jobTable.m_load.find(aId);
  if (found == m_state.m_jobTable.m_byServer.end() || load == m_state.m_jobTable.m_load.end() ||
      (load->second.m_longRunning == 0 && load->second.m_serving == 0)) {
    return aWaitMs;
  }
  for (const auto& id : found->second) {
    const StepSpec& step = *FindStep(m_state.m_jobTable, id);
    if (step.m_longRunning && FindSubtask(m_state.m_jobTable, id)->m_readySinceMs == 0) {
      return std::min(aWaitMs, kStartingPollWaitMs);
    }
    if (step.m_tailLatencyTargetMs > 0) {
      aWaitMs = std::min(aWaitMs, kLatencySensitivePollWaitMs);
    }
  }
  return aWaitMs;
}

Millis RunControl::LeaseMs(Millis aNowMs) const
{
  const Millis maxLease = m_state.m_settings.m_bounds.m_maxLeaseMs;
  const Millis wanted = std::min(kLeaseMs, maxLease);
  if (m_state.m_holdsOwnershipLease()) {
    return wanted;
  }
  // Without the ownership lease, the leases that it renews end before the next owner assumes that
  // they have ended.
  return std::min(wanted, m_state.m_confirmedMs() + std::min(maxLease, kLongestGrantMs) - aNowMs);
}

std::uint32_t RunControl::MaxFailures(const SubtaskId& aId) const
{
  const auto job = m_state.m_jobTable.m_jobs.find(aId.m_job);
  if (job == m_state.m_jobTable.m_jobs.end()) {
    return 1; // Its ends change nothing.
  }
  const auto* rule = FindQueueByName(m_state.m_configuration, job->second.m_spec.m_queue);
  return TermsOf(job->second, rule).m_maxFailures;
}

bool RunControl::IsUsable(const ServerState& aServer, Millis aNowMs) const
{
  return aServer.m_registered && aServer.m_hasReported && !aServer.m_registration.m_draining &&
         aServer.m_unansweredCalls < kMaxUnansweredCalls && aNowMs >= aServer.m_avoidUntilMs;
}

void RunControl::UpdateClock(ServerState& aServer, Millis aServerMs, Millis aSentMs)
{
  const Millis now = MonotonicMs();
  std::int64_t incarnation = aServer.m_clock ? aServer.m_clock->m_incarnation : 0;
  if (IsLaterIncarnation(aServer, aServerMs, aSentMs)) {
    LogEvent("fleet", "server-reborn", "server={} clock_ms={} expected_ms={}",
             aServer.m_registration.m_id, aServerMs, *ServerClockMs(aServer, now));
    LogDropped(
      DropPreviousIncarnation(m_state.m_jobTable, aServer.m_registration.m_id, aSentMs, now),
      "the server started again");
    BeginIncarnation(aServer);
    incarnation = 0;
    aServer.m_incarnation = 0;
    aServer.m_hasReported = false;
    aServer.m_nextPollMs = now;
    CancelPoll(aServer);
  } else if (aServer.m_clock && aSentMs < aServer.m_clock->m_localMs) {
    return; // The response may be older than the sample, and of a previous incarnation.
  }
  aServer.m_clock = ClockSample{ aServerMs, now, incarnation };
}

void RunControl::BeginIncarnation(ServerState& aServer)
{
  aServer.m_appliedEnds = 0;
  aServer.m_storedEnds = 0;
  aServer.m_lastReportHadEnds = false;
  AssumeLongestLease(aServer);
}

void RunControl::AssumeLeaseOfEarlierOwner(ServerState& aServer, std::int64_t aIncarnation)
{
  const Millis maxLease = m_state.m_settings.m_bounds.m_maxLeaseMs;
  const Millis claimedWallMs = WallMs() - (MonotonicMs() - m_state.m_claimedMs);
  const bool mayHoldLongestLease =
    aIncarnation >= claimedWallMs - maxLease - kWallClockToleranceMs &&
    aIncarnation <= claimedWallMs + kWallClockToleranceMs;
  if (mayHoldLongestLease) {
    AssumeLease(aServer, LatestLeaseEndMs(m_state.m_claimedMs + kStartTimeoutMs, maxLease),
                "started around the takeover", aIncarnation);
  }
}

void RunControl::AssumeLongestLease(ServerState& aServer)
{
  // Leases computed with the clock of the previous incarnation end far in the future, so the server
  // limits them to its longest lease, counted from their arrival.
  const Millis arrival = MonotonicMs() + kStartTimeoutMs;
  AssumeLease(aServer, LatestLeaseEndMs(arrival, m_state.m_settings.m_bounds.m_maxLeaseMs),
              "started again", 0);
}

void RunControl::AssumeLease(ServerState& aServer, Millis aEndMs, std::string_view aBasis,
                             std::int64_t aIncarnation)
{
  ExtendLease(aServer, aEndMs, aBasis);
  LogEvent("fleet", "lease-assumed", "server={} born={} basis={} remaining_ms={}",
           aServer.m_registration.m_id, aIncarnation, aServer.m_leaseBasis,
           aServer.m_leaseEndMs - MonotonicMs());
}

void RunControl::OnServerRegistration(const ServerId& aId,
                                      const std::optional<ServerRegistration>& aRegistration)
{
  const Millis now = MonotonicMs();
  if (!aRegistration) {
    const auto found = m_state.m_servers.find(aId);
    if (found != m_state.m_servers.end() && std::exchange(found->second.m_registered, false)) {
      LogEvent("fleet", "server-gone", "server={} runs={}", aId, HasRuns(aId));
      m_onChange();
    }
    return;
  }
  ServerState& server = m_state.m_servers[aId];
  server.m_registration.m_id = aId;
  if (aRegistration->m_incarnation != 0 &&
      aRegistration->m_incarnation <= server.m_endedIncarnation &&
      now - server.m_endedMs < kStaleRegistrationMs) {
    return; // Written before the order that ended this incarnation.
  }
  const bool moved =
    server.m_registered && server.m_registration.m_address != aRegistration->m_address;
  const std::int64_t known = std::max(server.m_incarnation, server.m_registration.m_incarnation);
  const bool restarted = known != 0 && known < aRegistration->m_incarnation;
  if (!server.m_registered || moved || restarted ||
      server.m_registration.m_draining != aRegistration->m_draining) {
    LogEvent("fleet", "server", "server={} pool={} draining={} born={} known_born={}", aId,
             aRegistration->m_pool, aRegistration->m_draining, aRegistration->m_incarnation, known);
  }
  if (!server.m_registered || moved || restarted) {
    server.m_hasReported = false;
    server.m_unansweredCalls = 0;
    server.m_nextPollMs = now;
    // A poll in flight was sent to the previous incarnation or address.
    CancelPoll(server);
  }
  if (restarted) {
    server.m_clock.reset();
    AssumeLongestLease(server);
  } else if (known == 0) {
    AssumeLeaseOfEarlierOwner(server, aRegistration->m_incarnation);
  }
  server.m_registration = *aRegistration;
  server.m_registered = true;
  if (!server.m_clock) {
    server.m_clock = ClockSample{ aRegistration->m_clockMs, now, aRegistration->m_incarnation };
  }
  m_onChange();
}

void RunControl::OnInstanceOrderDone(const ServerId& aId)
{
  const auto found = m_state.m_servers.find(aId);
  if (found == m_state.m_servers.end()) {
    return;
  }
  ServerState& server = found->second;
  server.m_endedIncarnation = std::max(server.m_incarnation, server.m_registration.m_incarnation);
  server.m_endedMs = MonotonicMs();
  server.m_registered = false;
  server.m_hasReported = false;
  CancelPoll(server);
  // The runs stay in the job table because they may go on: a repeated order is reported as done
  // without being executed. A poll, a later incarnation or the end of the lease will show whether
  // they have ended.
}

void RunControl::OnStored(const CommitBatch& aBatch)
{
  for (const auto& watermark : aBatch.m_ends) {
    const auto server = m_state.m_servers.find(watermark.m_server);
    if (server != m_state.m_servers.end() &&
        server->second.m_incarnation == watermark.m_incarnation) {
      server->second.m_storedEnds = std::max(server->second.m_storedEnds, watermark.m_number);
      server->second.m_nextPollMs = 0;
      if (server->second.m_pollCall == 0) {
        Poll(server->second, kPollWaitMs);
      }
    }
  }
  m_storedStarts.insert(m_storedStarts.end(), aBatch.m_planned.begin(), aBatch.m_planned.end());
  SendStarts();
}

void RunControl::SendStarts()
{
  for (std::size_t sent = 0;
       sent < kStartsPerTurn && !m_storedStarts.empty() && m_startsInFlight < kStartLimits.m_all;
       ++sent) {
    const RunRef run = std::move(m_storedStarts.front());
    m_storedStarts.pop_front();
    if (Start(run)) {
      ++m_startsInFlight;
    } else {
      CloseStart(run.m_server);
    }
  }
  if (!m_storedStarts.empty() && m_startsInFlight < kStartLimits.m_all) {
    SendStartsSoon();
  }
}

void RunControl::SendStartsSoon()
{
  if (!std::exchange(m_startsScheduled, true)) {
    asio::post(m_state.m_loop, m_state.Guard([this] {
      m_startsScheduled = false;
      SendStarts();
    }));
  }
}

void RunControl::CloseStart(const ServerId& aId)
{
  CloseOrder(m_starts, aId);
  if (std::exchange(m_startsHeldBack, false)) {
    m_onChange();
  }
}

void RunControl::LogDropped(const std::vector<RunRef>& aRuns, std::string_view aCause)
{
  for (const auto& run : aRuns) {
    const Subtask* subtask = FindSubtask(m_state.m_jobTable, run.m_subtask);
    const auto server = m_state.m_servers.find(run.m_server);
    Count(m_state.m_metrics, "runs_dropped_total");
    LogEvent("run", "dropped", "task={} run={} server={} cause={} done={} contact_age_ms={}",
             ToString(run.m_subtask), run.m_run, run.m_server, aCause,
             subtask != nullptr && subtask->m_done,
             server == m_state.m_servers.end() ? -1 : MonotonicMs() - server->second.m_contactMs);
  }
}

void RunControl::Drop(const RunRef& aRun, std::string_view aCause)
{
  if (FindRun(m_state.m_jobTable, aRun) != nullptr) {
    DropRun(m_state.m_jobTable, aRun, MonotonicMs());
    LogDropped({ aRun }, aCause);
  }
}

bool RunControl::Start(const RunRef& aRun)
{
  Run* run = FindRun(m_state.m_jobTable, aRun);
  if (run == nullptr || run->m_phase != RunPhase::Planned) {
    return false; // Dropped in the meantime, or already sent.
  }
  const Job& job = m_state.m_jobTable.m_jobs.at(aRun.m_subtask.m_job);
  if (job.m_phase != JobPhase::Active || FindSubtask(m_state.m_jobTable, aRun.m_subtask)->m_done) {
    Drop(aRun, "not needed any more");
    return false;
  }
  const Millis now = MonotonicMs();
  ServerState& server = m_state.m_servers[aRun.m_server];
  const auto clock = ServerClockMs(server, now);
  if (!m_state.m_holdsOwnershipLease() || !clock || !server.m_registered) {
    Drop(aRun, "it must not be sent now");
    return false;
  }
  platform::StartOrder order;
  order.m_run = aRun;
  order.m_payload = job.m_spec.m_payload;
  order.m_checkpoint = FindSubtask(m_state.m_jobTable, aRun.m_subtask)->m_checkpoint;
  const Millis lease = std::min(kStartLeaseMs, m_state.m_settings.m_bounds.m_maxLeaseMs);
  order.m_leaseEndMs = *clock + lease;
  order.m_token = m_state.m_token;
  order.m_incarnation = server.m_clock->m_incarnation;
  if (const auto ticket = m_tickets.find(aRun.m_subtask); ticket != m_tickets.end()) {
    order.m_ticket = ticket->second;
    m_tickets.erase(ticket);
  }
  ExtendLease(server, LatestLeaseEndMs(now, lease), "start");
  run->m_phase = RunPhase::Sent;
  run->m_sinceMs = now;
  Count(m_state.m_metrics, "starts_total");
  LogEvent("run", "start",
           "task={} run={} server={} born={} token={} lease_ms={} resumed={} last_ended={}",
           ToString(aRun.m_subtask), aRun.m_run, aRun.m_server, order.m_incarnation,
           m_state.m_token, lease, !order.m_checkpoint.empty(),
           FindSubtask(m_state.m_jobTable, aRun.m_subtask)->m_lastEndedRun);
  m_state.m_orders.Start(
    server.m_registration, order, m_state.m_ownershipLeaseEndMs(), kStartTimeoutMs,
    m_state.Guard(
      [this, sent = SentOrder{ aRun, server.m_registration.m_address, now, order.m_incarnation }](
        const platform::OrderResult& aResult) {
        --m_startsInFlight;
        OnStarted(sent, aResult);
        CloseStart(sent.m_run.m_server);
        if (!m_storedStarts.empty()) {
          SendStartsSoon();
        }
      }));
  return true;
}

void RunControl::OnStarted(const SentOrder& aSent, const platform::OrderResult& aResult)
{
  using platform::CallOutcome;
  using platform::OrderRefusal;
  const RunRef& ref = aSent.m_run;
  const Millis now = MonotonicMs();
  ServerState& server = m_state.m_servers[ref.m_server];
  if (aResult.m_response.m_clockMs && aResult.m_outcome != CallOutcome::ServerMismatch) {
    UpdateClock(server, *aResult.m_response.m_clockMs, aSent.m_sentMs);
    server.m_contactMs = now;
    server.m_unansweredCalls = 0;
  }
  Run* run = FindRun(m_state.m_jobTable, ref);
  if (aResult.m_outcome != CallOutcome::Done) {
    LogEvent("run", "start-failed", "task={} run={} server={} outcome={} refusal={} after_ms={}",
             ToString(ref.m_subtask), ref.m_run, ref.m_server, static_cast<int>(aResult.m_outcome),
             static_cast<int>(aResult.m_response.m_refusal), now - aSent.m_sentMs);
    Count(m_state.m_metrics, "starts_failed_total");
  }
  switch (aResult.m_outcome) {
    case CallOutcome::Done:
      MarkRunning(m_state.m_jobTable, ref, now);
      if (run != nullptr && FindStep(m_state.m_jobTable, ref.m_subtask)->m_longRunning) {
        // A poll in flight waits for an end, and does not show when the subtask becomes ready.
        CancelPoll(server);
      }
      if (server.m_pollCall == 0 && server.m_appliedEnds == server.m_storedEnds) {
        Poll(server, kPollWaitMs);
      }
      return;
    case CallOutcome::Unknown:
      if (run != nullptr &&
          (run->m_phase == RunPhase::Sent || run->m_phase == RunPhase::Stopping)) {
        run->m_startTimedOutMs = now;
      }
      OnCallUnanswered(server);
      PollNow(server);
      return;
    case CallOutcome::ServerMismatch:
      Drop(ref, "another server is listening at the address");
      OnServerMismatch(server, aSent.m_address);
      break;
    case CallOutcome::IncarnationMismatch:
      Drop(ref, "the server started again");
      if (server.m_clock && server.m_clock->m_incarnation == aSent.m_incarnation) {
        server.m_hasReported = false;
        server.m_nextPollMs = now;
        CancelPoll(server);
      }
      break;
    case CallOutcome::NotSent:
      Drop(ref, "not sent");
      OnCallUnanswered(server);
      break;
    case CallOutcome::Unhealthy:
      Drop(ref, "the server is unhealthy");
      server.m_avoidUntilMs = now + kAvoidMs;
      break;
    case CallOutcome::Refused:
      if (aResult.m_response.m_refusal == OrderRefusal::Fenced) {
        m_state.m_stepDown("a backend server has seen a higher token");
        return;
      }
      if (aResult.m_response.m_refusal == OrderRefusal::StaleRun) {
        // The run may have ended there: its start may have been sent twice, the first time without
        // a response. The server's list of ends shows it.
        if (run != nullptr && run->m_phase == RunPhase::Sent) {
          run->m_startTimedOutMs = now;
        }
        PollNow(server);
        return;
      }
      Drop(ref, "refused");
      if (aResult.m_response.m_refusal == OrderRefusal::InvalidTicket) {
        m_onTicketRefused(ref);
      } else {
        server.m_avoidUntilMs = now + kAvoidAfterRefusalMs;
        PollNow(server);
      }
      break;
  }
  m_onChange();
}

bool RunControl::Stop(const RunRef& aRun, std::string_view aReason)
{
  const auto server = m_state.m_servers.find(aRun.m_server);
  if (server == m_state.m_servers.end() || !m_state.m_holdsOwnershipLease()) {
    return false;
  }
  const Millis now = MonotonicMs();
  Run* run = FindRun(m_state.m_jobTable, aRun);
  if (run != nullptr && run->m_phase == RunPhase::Planned) {
    Drop(aRun, aReason);
    return true;
  }
  if (OrdersLeft(m_stops, aRun.m_server) == 0) {
    return false;
  }
  OpenOrder(m_stops, aRun.m_server);
  if (run != nullptr) {
    run->m_phase = RunPhase::Stopping;
    run->m_stopSentMs = now;
    run->m_stopAcceptedMs = 0;
  }
  Count(m_state.m_metrics, "stops_total");
  LogEvent("run", "stop", "task={} run={} server={} reason={}", ToString(aRun.m_subtask),
           aRun.m_run, aRun.m_server, aReason);
  m_state.m_orders.Stop(
    server->second.m_registration, aRun, { m_state.m_token, m_state.m_ownershipLeaseEndMs() },
    kStopTimeoutMs,
    m_state.Guard([this, sent = SentOrder{ aRun, server->second.m_registration.m_address, now, 0 }](
                    const platform::OrderResult& aResult) {
      CloseOrder(m_stops, sent.m_run.m_server);
      OnStopped(sent, aResult);
      if (!m_state.m_jobTable.m_toCheck.empty()) {
        StopObsoleteRunsSoon();
      }
    }));
  return true;
}

void RunControl::OnStopped(const SentOrder& aSent, const platform::OrderResult& aResult)
{
  const Millis now = MonotonicMs();
  ServerState& server = m_state.m_servers[aSent.m_run.m_server];
  if (aResult.m_outcome == platform::CallOutcome::Done) {
    if (aResult.m_response.m_clockMs) {
      UpdateClock(server, *aResult.m_response.m_clockMs, aSent.m_sentMs);
    }
    // An earlier stop may have been accepted by a previous incarnation of the server.
    Run* run = FindRun(m_state.m_jobTable, aSent.m_run);
    if (run != nullptr && aSent.m_sentMs >= run->m_stopSentMs) {
      run->m_stopAcceptedMs = now;
    }
    return;
  }
  if (aResult.m_response.m_refusal == platform::OrderRefusal::Fenced) {
    m_state.m_stepDown("a backend server has seen a higher token");
  } else if (aResult.m_outcome == platform::CallOutcome::ServerMismatch) {
    OnServerMismatch(server, aSent.m_address);
  } else {
    OnCallUnanswered(server);
  }
}

void RunControl::StopObsoleteRuns()
{
  const auto stopped =
    std::ranges::count_if(RunsToStop(m_state.m_jobTable, kStopsPerTurn, m_stops),
                          [this](const RunRef& aRun) { return Stop(aRun, "job ended"); });
  if (static_cast<std::size_t>(stopped) == kStopsPerTurn) {
    StopObsoleteRunsSoon();
  }
}

void RunControl::StopObsoleteRunsSoon()
{
  if (!std::exchange(m_stopsScheduled, true)) {
    asio::post(m_state.m_loop, m_state.Guard([this] {
      m_stopsScheduled = false;
      StopObsoleteRuns();
    }));
  }
}

void RunControl::CancelPoll(ServerState& aServer)
{
  if (aServer.m_pollCall != 0) {
    m_state.m_orders.Cancel(std::exchange(aServer.m_pollCall, 0));
  }
}

void RunControl::PollNow(ServerState& aServer)
{
  CancelPoll(aServer);
  Poll(aServer, 0);
}

void RunControl::Poll(ServerState& aServer, Millis aWaitMs)
{
  const Millis now = MonotonicMs();
  if (aServer.m_registration.m_address.m_port == 0) {
    return; // Not registered: its runs end with their leases.
  }
  const Millis lease = LeaseMs(now);
  const auto clock = ServerClockMs(aServer, now);
  if (lease <= 0) {
    aServer.m_nextPollMs = now + kPollRetryMs;
    return;
  }
  platform::PollRequest order;
  order.m_token = m_state.m_token;
  order.m_incarnation = clock ? aServer.m_clock->m_incarnation : aServer.m_incarnation;
  // Ends are acknowledged only to a server that has just listed them. If it has restarted in the
  // meantime, the number would acknowledge ends of the new incarnation that were never received.
  const bool canAcknowledge =
    aServer.m_hasReported && aServer.m_lastReportHadEnds && aServer.m_unansweredCalls == 0;
  order.m_acknowledged = canAcknowledge ? aServer.m_storedEnds : 0;
  order.m_waitMs = PollWaitMs(aServer.m_registration.m_id, aWaitMs);
  order.m_sendBeforeMs = now + kPollSendTimeoutMs;
  // The lease of an unresponsive server is not renewed: a renewal without a response may still take
  // effect, and each one would delay the time from which its work may start elsewhere.
  if (clock && aServer.m_unansweredCalls == 0) {
    order.m_leaseEndMs = *clock + lease;
    ExtendLease(aServer, LatestLeaseEndMs(now, lease), "renewal");
  }
  aServer.m_pollSentMs = now;
  Count(m_state.m_metrics, "looks_total");
  const ServerId id = aServer.m_registration.m_id;
  const Millis responseMs = aServer.m_unansweredCalls == 0 ? kPollResponseMs : kSlowPollResponseMs;
  aServer.m_pollCall =
    m_state.m_orders.Poll(aServer.m_registration, order, order.m_waitMs + responseMs,
                          m_state.Guard([this, id, now](const platform::PollResult& aResult) {
                            OnPolled(id, now, aResult);
                          }));
}

void RunControl::OnPolled(const ServerId& aId, Millis aSentMs, const platform::PollResult& aResult)
{
  const Millis now = MonotonicMs();
  ServerState& server = m_state.m_servers[aId];
  server.m_pollCall = 0;
  if (aResult.m_malformedRows.m_count != 0) {
    ReportMalformedEntry(m_state.m_metrics, "reports_unreadable_total", "run", aId,
                         aResult.m_malformedRows.m_cause);
  }
  if (aResult.m_outcome == platform::CallOutcome::Done && server.m_incarnation != 0 &&
      aResult.m_report.m_incarnation == 0) {
    // Runs and ends of another incarnation would be mistaken for those of the known one.
    ReportMalformedEntry(m_state.m_metrics, "reports_unreadable_total", "run", aId,
                         "the report does not contain the incarnation of the server");
    OnCallUnanswered(server);
    server.m_nextPollMs = now + kPollRetryMs * std::min(server.m_unansweredCalls, 4U);
    m_onChange();
    return;
  }
  const bool isFirst = !server.m_hasReported;
  switch (aResult.m_outcome) {
    case platform::CallOutcome::Done:
      server.m_nextPollMs = now;
      if (std::exchange(server.m_unansweredCalls, 0) != 0) {
        LogEvent("fleet", "server-answers", "server={}", aId);
      }
      ApplyReport(server, aResult.m_report, aSentMs);
      // The first poll may have renewed nothing; see IncarnationOrders::Poll.
      if (isFirst && HasRuns(aId) && server.m_pollCall == 0 &&
          server.m_appliedEnds == server.m_storedEnds) {
        Poll(server, kPollWaitMs);
      }
      break;
    case platform::CallOutcome::Refused:
      if (aResult.m_refusal == platform::OrderRefusal::Fenced) {
        m_state.m_stepDown("a backend server has seen a higher token");
        return;
      }
      LogEvent("run", "look-refused", "server={} refusal={}", aId,
               static_cast<int>(aResult.m_refusal));
      server.m_nextPollMs = now + kPollRetryMs;
      break;
    case platform::CallOutcome::ServerMismatch:
      OnServerMismatch(server, server.m_registration.m_address);
      break;
    default:
      OnCallUnanswered(server);
      server.m_nextPollMs = now + kPollRetryMs * std::min(server.m_unansweredCalls, 4U);
      break;
  }
  m_onChange();
}

void RunControl::ApplyReport(ServerState& aServer, const ServerReport& aReport, Millis aSentMs)
{
  const Millis now = MonotonicMs();
  const ServerId& id = aServer.m_registration.m_id;
  if (aServer.m_incarnation != aReport.m_incarnation) {
    if (aServer.m_incarnation != 0) {
      LogEvent("fleet", "server-reborn", "server={} born={} before={}", id, aReport.m_incarnation,
               aServer.m_incarnation);
      LogDropped(DropPreviousIncarnation(m_state.m_jobTable, id, aSentMs, now),
                 "the server started again");
      BeginIncarnation(aServer);
    } else if (aServer.m_registration.m_incarnation != 0 &&
               aServer.m_registration.m_incarnation != aReport.m_incarnation) {
      // An earlier owner may have computed leases with the clock of the registered incarnation.
      AssumeLongestLease(aServer);
    } else {
      AssumeLeaseOfEarlierOwner(aServer, aReport.m_incarnation);
    }
    aServer.m_incarnation = aReport.m_incarnation;
    aServer.m_appliedEnds = 0;
    aServer.m_storedEnds = 0;
    aServer.m_clock.reset(); // It may be of another incarnation.
  }
  if (aReport.m_clockMs != 0) {
    aServer.m_clock = ClockSample{ aReport.m_clockMs, now, aReport.m_incarnation };
  }
  aServer.m_contactMs = now;
  const bool isFirst = !std::exchange(aServer.m_hasReported, true);
  aServer.m_lastReportHadEnds = !aReport.m_ended.empty();
  const auto report = WithoutInvalidRuns(id, aReport);
  ApplyEnds(aServer, report);
  const auto result = Reconcile(m_state.m_jobTable, id, report, aSentMs, now);
  LogDropped(result.m_dropped, "the server does not report it any more");
  for (const auto& run : result.m_stops) {
    Stop(run, "not expected on this server");
  }
  if (!aReport.m_running.empty() && (isFirst || aServer.m_leaseEndMs < now)) {
    // The runs hold a lease of an earlier owner, which that owner can no longer renew.
    const Millis longest = std::min(kLeaseMs, m_state.m_settings.m_bounds.m_maxLeaseMs);
    ExtendLease(aServer, LatestLeaseEndMs(now, longest), "first report");
  }
  Throttle(aServer);
}

ServerReport RunControl::WithoutInvalidRuns(const ServerId& aId, ServerReport aReport)
{
  const auto isInvalid = [this](const SubtaskId& aSubtask, std::uint64_t aRun) {
    const Subtask* subtask = FindSubtask(m_state.m_jobTable, aSubtask);
    return subtask != nullptr && aRun > subtask->m_lastRun + kMaxRunGap;
  };
  const auto invalidCount = std::erase_if(aReport.m_running,
                                          [&isInvalid](const ReportedRun& aRun) {
                                            return isInvalid(aRun.m_subtask, aRun.m_run);
                                          }) +
                            std::erase_if(aReport.m_ended, [&isInvalid](const ReportedEnd& aEnd) {
                              return isInvalid(aEnd.m_end.m_subtask, aEnd.m_end.m_run);
                            });
  if (invalidCount != 0) {
    aReport.m_partial = true;
    ReportMalformedEntry(m_state.m_metrics, "reports_unreadable_total", "run", aId,
                         "the number of a run is far above the last known number of its subtask");
  }
  return aReport;
}

void RunControl::ApplyEnds(ServerState& aServer, const ServerReport& aReport)
{
  const Millis now = MonotonicMs();
  bool hasNewEnds = false;
  auto ended = aReport.m_ended;
  // Ends are acknowledged by the highest number, so an end that is listed after a later one must
  // not be skipped.
  std::ranges::sort(ended, {}, &ReportedEnd::m_number);
  for (const auto& [number, end] : ended) {
    if (number <= aServer.m_appliedEnds) {
      continue;
    }
    if (aServer.m_appliedEnds != 0 && number - aServer.m_appliedEnds > kMaxEndGap) {
      ReportMalformedEntry(m_state.m_metrics, "reports_unreadable_total", "run",
                           aServer.m_registration.m_id,
                           "the number of an end is far beyond the last one");
      break;
    }
    aServer.m_appliedEnds = number;
    hasNewEnds = true;
    const AppliedEnd applied = ApplyEnd(m_state.m_jobTable, end, MaxFailures(end.m_subtask), now);
    if (end.m_kind == EndKind::Done) {
      aServer.m_failedRuns = 0;
      if (applied && m_state.m_settings.m_learnRunTimes) {
        LearnEnd(m_state.m_runTimes, m_state.m_jobTable.m_jobs.at(end.m_subtask.m_job),
                 end.m_subtask, applied);
      }
    } else if (end.m_kind == EndKind::Failed) {
      ++aServer.m_failedRuns;
    }
    Count(m_state.m_metrics, "ends_total");
    LogEvent("run", "end", "task={} run={} server={} kind={} number={} news={}",
             ToString(end.m_subtask), end.m_run, aServer.m_registration.m_id,
             static_cast<int>(end.m_kind), number, applied.m_isNew);
  }
  if (hasNewEnds) {
    m_committer.AddEnds(
      { aServer.m_registration.m_id, aServer.m_incarnation, aServer.m_appliedEnds });
    aServer.m_nextPollMs = now + kUnstoredEndsPollMs;
  }
}

void RunControl::Throttle(const ServerState& aServer)
{
  for (const auto& change : PlanThrottling(m_state.m_jobTable, aServer.m_registration.m_id)) {
    const ServerId& id = change.m_run.m_server;
    if (OrdersLeft(m_throttles, id) == 0) {
      break; // The next report asks for it again.
    }
    OpenOrder(m_throttles, id);
    FindRun(m_state.m_jobTable, change.m_run)->m_speedPercent = change.m_percent;
    LogEvent("run", "pace", "task={} server={} percent={}", ToString(change.m_run.m_subtask),
             aServer.m_registration.m_id, change.m_percent);
    m_state.m_orders.Throttle(aServer.m_registration, change.m_run, change.m_percent,
                              { m_state.m_token, m_state.m_ownershipLeaseEndMs() },
                              kThrottleTimeoutMs,
                              m_state.Guard([this, id](const platform::OrderResult& /*aResult*/) {
                                CloseOrder(m_throttles, id);
                              }));
  }
}

void RunControl::OnCallUnanswered(ServerState& aServer)
{
  if (++aServer.m_unansweredCalls == kMaxUnansweredCalls) {
    LogEvent("fleet", "server-silent", "server={} last_contact_ms={}", aServer.m_registration.m_id,
             MonotonicMs() - aServer.m_contactMs);
  }
}

void RunControl::OnServerMismatch(ServerState& aServer, const Endpoint& aAddress)
{
  if (aServer.m_registration.m_address != aAddress) {
    // The server has registered at another address in the meantime. The mismatch does not concern
    // its incarnation there.
    LogEvent("fleet", "former-address", "server={} address={} now={}", aServer.m_registration.m_id,
             ToString(aAddress), ToString(aServer.m_registration.m_address));
    return;
  }
  // Another process listens at the address, so the incarnation that was addressed has ended.
  LogEvent("fleet", "server-replaced", "server={} address={}", aServer.m_registration.m_id,
           ToString(aServer.m_registration.m_address));
  LogDropped(DropServerRuns(m_state.m_jobTable, aServer.m_registration.m_id, MonotonicMs()),
             "another server is listening at the address");
  aServer.m_registered = false;
  aServer.m_hasReported = false;
  m_committer.FlushSoon();
}

void RunControl::ExpireLease(ServerState& aServer, Millis aNowMs)
{
  LogEvent("fleet", "lease-expired", "server={} born={} basis={} silent_ms={}",
           aServer.m_registration.m_id, aServer.m_incarnation, aServer.m_leaseBasis,
           aNowMs - aServer.m_contactMs);
  Count(m_state.m_metrics, "leases_expired_total");
  LogDropped(DropServerRuns(m_state.m_jobTable, aServer.m_registration.m_id, aNowMs),
             "its lease has ended");
  aServer.m_hasReported = false;
  m_committer.FlushSoon();
  m_onChange();
}

void RunControl::Tick(Millis aNowMs)
{
  const bool direct = m_state.m_orders.HasCarriers() && m_state.m_orders.CarrierCount() == 0;
  std::size_t polls = direct ? kDirectPollsPerTick : m_state.m_servers.size();
  for (auto& [id, server] : m_state.m_servers) {
    const bool runs = HasRuns(id);
    if (runs && aNowMs > server.m_leaseEndMs && HasSentRuns(id)) {
      ExpireLease(server, aNowMs);
      continue;
    }
    // Only a response makes a server usable again whose calls were not answered.
    const bool awaitsReport =
      server.m_registered && (!server.m_hasReported || server.m_unansweredCalls != 0);
    if ((runs || awaitsReport) && server.m_pollCall == 0 && aNowMs >= server.m_nextPollMs &&
        polls > 0) {
      --polls;
      const bool stored = server.m_appliedEnds == server.m_storedEnds;
      Poll(server,
           stored && server.m_hasReported && server.m_unansweredCalls == 0 ? kPollWaitMs : 0);
      if (!stored) {
        server.m_nextPollMs = aNowMs + kUnstoredEndsPollMs;
      }
    }
  }
  if (m_state.m_holdsOwnershipLease() && aNowMs - m_stopsCheckedMs >= kStopCheckMs) {
    m_stopsCheckedMs = aNowMs;
    RepeatStops(aNowMs);
  }
}

void RunControl::RepeatStops(Millis aNowMs)
{
  std::vector<RunRef> repeats;
  for (const auto& [id, subtasks] : m_state.m_jobTable.m_byServer) {
    for (const auto& subtask : subtasks) {
      for (const auto& run : FindSubtask(m_state.m_jobTable, subtask)->m_runs) {
        if (run.m_server == id && run.m_phase == RunPhase::Stopping && run.m_stopAcceptedMs == 0 &&
            aNowMs - run.m_stopSentMs > kStopRepeatMs) {
          repeats.push_back({ subtask, run.m_number, id });
        }
      }
    }
  }
  for (const auto& run : repeats) {
    Stop(run, "no response to the last stop");
  }
}

} // namespace pistachiostand::fleet
