#include "JobRunner.h"

#include "ActiveAttempt.h"
#include "pistachiostand/base/Clock.h"
#include "pistachiostand/base/Hash.h"
#include "pistachiostand/request/Outcome.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace pistachiostand {

namespace {

constexpr Millis kTickMs = 100;
/// How often a caller's job is queued for a slot before it is reported as not run.
constexpr std::uint32_t kMaxTries = 8;
/// Used as the deadline of queued jobs, which may wait for a slot for any time.
constexpr Millis kNoDeadlineMs = 30LL * 24 * 3600 * 1000;

std::uint64_t DigestOf(const CallerRequest& aRequest)
{
  return Hash(aRequest.m_body, Hash(aRequest.m_service));
}

} // namespace

JobRunner::JobRunner(Runtime& aRuntime, Dispatcher& aDispatcher)
  : m_runtime(aRuntime)
  , m_dispatcher(aDispatcher)
  , m_ticker(aRuntime.m_loop, kTickMs, [this] { Tick(); })
{
}

void JobRunner::RunNow(CallerRequest aRequest)
{
  const auto& jobs = m_runtime.State().m_jobs;
  const auto known = jobs.find(aRequest.m_key);
  if (known != jobs.end() && known->second.m_digest != DigestOf(aRequest)) {
    aRequest.m_respond(ToResponse({ OutcomeKind::NotRun,
                                    409,
                                    "key-conflict",
                                    "the key was used with another service or body",
                                    "use a new Idempotency-Key for a new request",
                                    aRequest.m_requestId,
                                    0,
                                    {} }));
    return;
  }
  const bool joins = known != jobs.end() && known->second.m_phase != JobPhase::NotRun;
  if (joins || m_active.contains(aRequest.m_key)) {
    WaitFor(std::move(aRequest));
    return;
  }
  if (!ReadsPlatform(m_runtime, MonotonicMs())) {
    RespondNotRun(aRequest, "log-unavailable", "the platform's log cannot be reached");
    return;
  }
  auto attempt = std::make_shared<ActiveAttempt>();
  attempt->m_request = std::move(aRequest);
  m_active.emplace(attempt->m_request.m_key, attempt);
  Enqueue(attempt);
}

void JobRunner::Enqueue(const AttemptPtr& aAttempt)
{
  ++aAttempt->m_tries;
  aAttempt->m_queued = ToQueuedRequest(m_runtime, aAttempt->m_request, m_dispatcher.NextId());
  if (aAttempt->m_queuedJob) {
    aAttempt->m_queued.m_deadlineMs = MonotonicMs() + kNoDeadlineMs;
  }
  const auto refusal = m_dispatcher.Enqueue(
    { aAttempt->m_queued, [this, aAttempt](const ServerRef& aServer) { OnSlot(aAttempt, aServer); },
      [this, aAttempt] { OnExpired(aAttempt); } },
    aAttempt->m_request.m_tenantRule);
  if (!refusal) {
    return;
  }
  if (aAttempt->m_holdsUnstartedClaim) {
    ProposeRelease(aAttempt, false, std::string{ ToString(*refusal) });
    return;
  }
  Forget(aAttempt);
  if (!aAttempt->m_queuedJob) {
    RespondRefused(aAttempt->m_request, *refusal);
  }
}

/// \brief Handles a deadline that passed while the attempt waited for a slot.
void JobRunner::OnExpired(const AttemptPtr& aAttempt)
{
  const std::string cause = "no slot became free in time";
  if (aAttempt->m_holdsUnstartedClaim) {
    ProposeRelease(aAttempt, false, cause);
    return;
  }
  Forget(aAttempt);
  if (!aAttempt->m_queuedJob) {
    RespondNotRun(aAttempt->m_request, "deadline", cause);
  }
}

void JobRunner::OnSlot(const AttemptPtr& aAttempt, const ServerRef& aServer)
{
  const Millis now = MonotonicMs();
  aAttempt->m_server = aServer;
  aAttempt->m_claimedMs = now;
  const ClaimTarget target{ aServer.m_instance, aServer.m_bootId };
  const CallerRequest& request = aAttempt->m_request;
  RecordBody body;
  if (aAttempt->m_holdsUnstartedClaim) {
    body = Claim{ request.m_key, aAttempt->m_attempt + 1, target, true };
  } else if (aAttempt->m_queuedJob) {
    const auto job = m_runtime.State().m_jobs.find(request.m_key);
    const std::uint32_t last = job == m_runtime.State().m_jobs.end() ? 0 : job->second.m_attempt;
    body = Claim{ request.m_key, last + 1, target, false };
  } else {
    body = pistachiostand::Submit{
      request.m_key, request.m_tenant, request.m_service, DigestOf(request), {}, target
    };
  }
  m_runtime.m_proposals.Propose(
    std::move(body), { false, now + m_runtime.m_settings.m_limits.m_claimWindowMs },
    [this, aAttempt](ProposalResult aResult, const ApplyResult& aApplyResult) {
      OnClaim(aAttempt, aResult, aApplyResult);
    });
}

void JobRunner::OnClaim(const AttemptPtr& aAttempt, ProposalResult aResult,
                        const ApplyResult& aApplyResult)
{
  switch (aResult) {
    case ProposalResult::Accepted:
      aAttempt->m_attempt = m_runtime.State().m_jobs.at(aAttempt->m_request.m_key).m_attempt;
      Dispatch(aAttempt);
      return;
    case ProposalResult::Refused:
      if (!aAttempt->m_abandoned) {
        OnClaimRefused(aAttempt, aApplyResult);
      }
      return;
    case ProposalResult::NotAppended:
      ReleaseSlot(aAttempt);
      if (aAttempt->m_holdsUnstartedClaim) {
        ProposeRelease(aAttempt, false, "the platform's log did not take the claim");
        return;
      }
      Forget(aAttempt);
      if (!aAttempt->m_queuedJob) {
        RespondNotRun(aAttempt->m_request, "log-unavailable",
                      "the platform's log did not take the claim");
      }
      return;
    case ProposalResult::Unresolved:
      aAttempt->m_abandoned = true;
      ReleaseSlot(aAttempt);
      if (aAttempt->m_holdsUnstartedClaim) {
        // If the claim is read back later, this release is refused as stale and that claim is
        // released.
        ProposeRelease(aAttempt, false, "the claim was read back too late");
        return;
      }
      Forget(aAttempt);
      if (!aAttempt->m_queuedJob) {
        RespondUnknown(aAttempt->m_request);
      }
      return;
  }
}

void JobRunner::OnClaimRefused(const AttemptPtr& aAttempt, const ApplyResult& aApplyResult)
{
  ReleaseSlot(aAttempt);
  const Refusal refusal = aApplyResult.m_refusal.value_or(Refusal::WrongPhase);
  if (refusal == Refusal::ServerUnavailable) {
    Retry(aAttempt, "the chosen server left its pool");
    return;
  }
  if (aAttempt->m_holdsUnstartedClaim) {
    ProposeRelease(aAttempt, false, "the job was cancelled or taken over");
    return;
  }
  Forget(aAttempt);
  if (aAttempt->m_queuedJob) {
    return; // Another entry instance has claimed it.
  }
  if (refusal == Refusal::DuplicateKey || refusal == Refusal::KeyConflict) {
    RunNow(std::move(aAttempt->m_request)); // The other submission is in the state now.
    return;
  }
  RespondNotRun(aAttempt->m_request, std::string{ ToString(refusal) },
                "the claim was refused because the rules have changed");
}

/// \brief Sends the claimed attempt, unless the claim is so old that it may have been taken over,
/// or the server must refuse a late start and its clock, which that needs, is unknown.
void JobRunner::Dispatch(const AttemptPtr& aAttempt)
{
  const Millis now = MonotonicMs();
  const Millis window = m_runtime.m_settings.m_limits.m_claimWindowMs;
  const bool late = aAttempt->m_abandoned || now - aAttempt->m_claimedMs >= window;
  const auto& offset = aAttempt->m_server ? aAttempt->m_server->m_clockOffsetMs : std::nullopt;
  const bool refusesLateStart =
    aAttempt->m_server && aAttempt->m_server->m_taskControl == TaskControl::Full;
  if (late || (refusesLateStart && !offset)) {
    ProposeRelease(aAttempt, false, "the claim was read back too late");
    return;
  }
  RunRequest run = ToRunRequest(m_runtime, aAttempt->m_request, *aAttempt->m_server);
  const Millis startBefore = aAttempt->m_claimedMs + window;
  run.m_job = JobDispatch{ aAttempt->m_request.m_key, aAttempt->m_attempt,
                           refusesLateStart ? startBefore + *offset : -1 };
  run.m_timeoutMs = aAttempt->m_queuedJob
                      ? aAttempt->m_request.m_serviceRule.m_timeoutMs
                      : std::max<Millis>(1, aAttempt->m_request.DeadlineMs() - now);
  aAttempt->m_sentMs = now;
  m_runtime.m_backend.Run(run, [this, aAttempt](RunOutcome aOutcome) {
    OnOutcome(aAttempt, std::move(aOutcome), MonotonicMs() - aAttempt->m_sentMs);
  });
}

void JobRunner::OnOutcome(const AttemptPtr& aAttempt, RunOutcome aOutcome, Millis aTookMs)
{
  if (aAttempt->m_server) {
    m_dispatcher.Servers().OnOutcome(*aAttempt->m_server, aOutcome, aTookMs);
    m_dispatcher.Finish(aAttempt->m_queued, aTookMs);
    aAttempt->m_server.reset();
  }
  const bool idempotent = aAttempt->m_request.m_serviceRule.m_idempotent;
  switch (aOutcome.m_result) {
    case RunResult::Completed:
      AddRunTime(m_runtime.m_estimate, aAttempt->m_request.m_service, aAttempt->m_request.m_tenant,
                 aTookMs);
      FinishAttempt(aAttempt, FinishKind::Completed, aOutcome.m_status, aOutcome.m_body);
      return;
    case RunResult::NotSent:
    case RunResult::Full:
    case RunResult::Refused:
      MoveClaim(aAttempt, aOutcome.m_detail);
      return;
    case RunResult::Failed:
      if (idempotent) {
        ProposeRelease(aAttempt, true, "the attempt failed");
      } else {
        FinishAttempt(aAttempt, FinishKind::Stopped, aOutcome.m_status, aOutcome.m_body);
      }
      return;
    case RunResult::Broken:
    case RunResult::Timeout:
      break;
  }
  spdlog::warn("job: No outcome of {} attempt {}: {}.", aAttempt->m_request.m_key,
               aAttempt->m_attempt, aOutcome.m_detail);
  Forget(aAttempt); // Tick() queries the server for the outcome.
  if (!aAttempt->m_queuedJob) {
    WaitFor(std::move(aAttempt->m_request));
  }
}

void JobRunner::FinishAttempt(const AttemptPtr& aAttempt, FinishKind aKind, std::uint16_t aStatus,
                              const std::string& aBody)
{
  const bool kept = aBody.size() <= kMaxKeptBodyBytes;
  m_runtime.m_proposals.Propose(
    Finish{ aAttempt->m_request.m_key, aAttempt->m_attempt, aKind, aStatus,
            kept ? aBody : std::string{}, kept },
    { true, 0 }, [this, aAttempt](ProposalResult, const ApplyResult&) { Forget(aAttempt); });
  if (aAttempt->m_queuedJob) {
    return;
  }
  if (aKind == FinishKind::Completed) {
    // The response is complete and belongs to this request, so the caller need not wait for the
    // log.
    aAttempt->m_request.m_respond(
      CompletedResponse(aStatus, aBody, kJsonHeaders, aAttempt->m_request.m_requestId));
    return;
  }
  aAttempt->m_request.m_respond(
    ToResponse({ OutcomeKind::Stopped,
                 502,
                 "backend-failed",
                 "the backend server answered with status " + std::to_string(aStatus),
                 "check what the job has done before it is submitted under a new key",
                 aAttempt->m_request.m_requestId,
                 0,
                 {} }));
}

void JobRunner::ProposeRelease(const AttemptPtr& aAttempt, bool aMayHaveRun,
                               const std::string& aCause)
{
  ReleaseSlot(aAttempt);
  const Millis resolveBy = aAttempt->m_queuedJob ? 0 : aAttempt->m_request.DeadlineMs();
  m_runtime.m_proposals.Propose(
    ReleaseClaim{ aAttempt->m_request.m_key, aAttempt->m_attempt, false, aMayHaveRun },
    { true, resolveBy }, [this, aAttempt, aCause](ProposalResult aResult, const ApplyResult&) {
      if (aResult == ProposalResult::Unresolved) {
        RespondUnknown(aAttempt->m_request); // The release is still being proposed.
        return;
      }
      // The job is not submitted again: other callers of the key may already have received "not
      // run", and only a new request may change that.
      Forget(aAttempt);
      if (aAttempt->m_queuedJob || aAttempt->m_abandoned) {
        return;
      }
      if (aResult == ProposalResult::Accepted) {
        RespondNotRun(aAttempt->m_request, "not-started", aCause);
      } else {
        WaitFor(std::move(aAttempt->m_request)); // The claim was taken over.
      }
    });
}

/// \brief Queues the job again, so that its next claim replaces this one without ending the job.
///
/// Releases the claim instead if the job was queued, the deadline or the number of tries is
/// reached, or this process stops.
void JobRunner::MoveClaim(const AttemptPtr& aAttempt, const std::string& aCause)
{
  const bool inTime = MonotonicMs() < aAttempt->m_request.DeadlineMs();
  if (aAttempt->m_queuedJob || !inTime || aAttempt->m_tries >= kMaxTries || m_runtime.m_draining) {
    ProposeRelease(aAttempt, false, aCause);
    return;
  }
  aAttempt->m_holdsUnstartedClaim = true;
  Enqueue(aAttempt);
}

/// \brief Makes another claim for a caller that still waits, or reports that the job has not run.
void JobRunner::Retry(const AttemptPtr& aAttempt, const std::string& aCause)
{
  if (aAttempt->m_queuedJob) {
    Forget(aAttempt);
    return;
  }
  const bool inTime = MonotonicMs() < aAttempt->m_request.DeadlineMs();
  if (inTime && aAttempt->m_tries < kMaxTries && !m_runtime.m_draining) {
    Enqueue(aAttempt);
    return;
  }
  if (aAttempt->m_holdsUnstartedClaim) {
    ProposeRelease(aAttempt, false, aCause);
    return;
  }
  Forget(aAttempt);
  RespondNotRun(aAttempt->m_request, "not-started", aCause);
}

void JobRunner::ReleaseSlot(const AttemptPtr& aAttempt)
{
  if (aAttempt->m_server) {
    m_dispatcher.Servers().OnUnused(*aAttempt->m_server);
    m_dispatcher.Finish(aAttempt->m_queued, 0);
    aAttempt->m_server.reset();
  }
}

void JobRunner::Forget(const AttemptPtr& aAttempt)
{
  const auto found = m_active.find(aAttempt->m_request.m_key);
  if (found != m_active.end() && found->second == aAttempt) {
    m_active.erase(found);
  }
}

} // namespace pistachiostand
