#include "FoldJobs.h"

#include "pistachiostand/process/Fold.h"

#include <algorithm>
#include <utility>

namespace pistachiostand {

namespace {

/// \brief True when the service's pool holds the server, serving, with the boot id of the claim.
bool IsClaimable(const FleetState& aState, const ServiceName& aService, const ClaimTarget& aTarget)
{
  const auto service = aState.m_rules->m_services.find(aService);
  const auto instance = aState.m_instances.find(aTarget.m_server);
  return service != aState.m_rules->m_services.end() && instance != aState.m_instances.end() &&
         instance->second.m_phase == InstancePhase::Serving &&
         instance->second.m_pool == service->second.m_pool &&
         instance->second.m_bootId == aTarget.m_bootId;
}

void StartAttempt(Job& aJob, const EntryId& aClaimant, const ClaimTarget& aTarget)
{
  aJob.m_phase = JobPhase::Claimed;
  ++aJob.m_attempt;
  aJob.m_claimant = aClaimant;
  aJob.m_target = aTarget;
}

void EndJob(FleetState& aState, Job& aJob, JobPhase aPhase)
{
  aJob.m_phase = aPhase;
  aJob.m_finishedMs = aState.m_timeMs;
  aJob.m_payload.clear();
}

/// \brief The job if it is claimed with this attempt; otherwise sets the refusal.
Job* FindClaimed(FleetState& aState, const JobKey& aKey, std::uint32_t aAttempt,
                 ApplyResult& aApplyResult)
{
  const auto found = aState.m_jobs.find(aKey);
  if (found == aState.m_jobs.end()) {
    aApplyResult = Refuse(Refusal::UnknownJob);
    return nullptr;
  }
  if (found->second.m_attempt != aAttempt) {
    aApplyResult = Refuse(Refusal::StaleAttempt);
    return nullptr;
  }
  if (found->second.m_phase != JobPhase::Claimed) {
    aApplyResult = Refuse(Refusal::WrongPhase);
    return nullptr;
  }
  return &found->second;
}

bool IsIdempotent(const FleetState& aState, const ServiceName& aService)
{
  const auto service = aState.m_rules->m_services.find(aService);
  return service != aState.m_rules->m_services.end() && service->second.m_idempotent;
}

/// \brief True when the service's servers remember stopped attempts, so that their confirmation
/// that an attempt never starts is reliable.
bool HasTaskControl(const FleetState& aState, const ServiceName& aService)
{
  const auto service = aState.m_rules->m_services.find(aService);
  if (service == aState.m_rules->m_services.end()) {
    return false;
  }
  const auto pool = aState.m_rules->m_pools.find(service->second.m_pool);
  return pool != aState.m_rules->m_pools.end() && pool->second.m_taskControl == TaskControl::Full;
}

/// \brief True unless the claimant or the server confirms that the attempt never started.
bool MayHaveRun(const FleetState& aState, const Job& aJob, const EntryId& aAuthor,
                const ReleaseClaim& aReleaseClaim)
{
  const bool neverStarts = aReleaseClaim.m_neverStarts && HasTaskControl(aState, aJob.m_service);
  return aReleaseClaim.m_mayHaveRun || (aAuthor != aJob.m_claimant && !neverStarts);
}

/// \brief Ends a job without an outcome; it is `NotRun` only if no attempt can have started.
void EndWithoutOutcome(FleetState& aState, Job& aJob)
{
  EndJob(aState, aJob, aJob.m_mayHaveRun ? JobPhase::Stopped : JobPhase::NotRun);
}

} // namespace

ApplyResult ApplyBody(FleetState& aState, const Record& aRecord, const Submit& aSubmit)
{
  const auto known = aState.m_jobs.find(aSubmit.m_key);
  if (known != aState.m_jobs.end()) {
    // A late copy of an append must not restart a job that was reported as not run.
    if (std::ranges::find(known->second.m_submitIds, aRecord.m_id) !=
        known->second.m_submitIds.end()) {
      return Refuse(Refusal::DuplicateKey);
    }
    if (known->second.m_digest != aSubmit.m_digest ||
        known->second.m_service != aSubmit.m_service) {
      return Refuse(Refusal::KeyConflict);
    }
    if (known->second.m_phase != JobPhase::NotRun) {
      return Refuse(Refusal::DuplicateKey);
    }
  }
  if (!aState.m_rules->m_services.contains(aSubmit.m_service)) {
    return Refuse(Refusal::UnknownPool);
  }
  if (aSubmit.m_claim && !IsClaimable(aState, aSubmit.m_service, *aSubmit.m_claim)) {
    return Refuse(Refusal::ServerUnavailable);
  }
  Job& job = aState.m_jobs[aSubmit.m_key];
  auto submitIds = std::move(job.m_submitIds);
  submitIds.push_back(aRecord.m_id);
  const auto attempt = job.m_attempt; // Not reset: servers remember which attempts were stopped.
  job = Job{};
  job.m_tenant = aSubmit.m_tenant;
  job.m_service = aSubmit.m_service;
  job.m_digest = aSubmit.m_digest;
  job.m_payload = aSubmit.m_payload;
  job.m_attempt = attempt;
  job.m_submitIds = std::move(submitIds);
  job.m_submittedMs = aState.m_timeMs;
  if (aSubmit.m_claim) {
    StartAttempt(job, aRecord.m_author, *aSubmit.m_claim);
  }
  return kAccepted;
}

ApplyResult ApplyBody(FleetState& aState, const Record& aRecord, const Claim& aClaim)
{
  const auto found = aState.m_jobs.find(aClaim.m_key);
  if (found == aState.m_jobs.end()) {
    return Refuse(Refusal::UnknownJob);
  }
  Job& job = found->second;
  const bool isReassignment = aClaim.m_afterRefusal && job.m_phase == JobPhase::Claimed &&
                              job.m_claimant == aRecord.m_author && !job.m_cancelRequested;
  if (job.m_phase != JobPhase::Queued && !isReassignment) {
    return Refuse(Refusal::WrongPhase);
  }
  if (aClaim.m_attempt != job.m_attempt + 1) {
    return Refuse(Refusal::StaleAttempt);
  }
  if (!IsClaimable(aState, job.m_service, aClaim.m_target)) {
    return Refuse(Refusal::ServerUnavailable);
  }
  StartAttempt(job, aRecord.m_author, aClaim.m_target);
  return kAccepted;
}

ApplyResult ApplyBody(FleetState& aState, const Record& aRecord, const ReleaseClaim& aReleaseClaim)
{
  ApplyResult applyResult;
  Job* job = FindClaimed(aState, aReleaseClaim.m_key, aReleaseClaim.m_attempt, applyResult);
  if (job == nullptr) {
    return applyResult;
  }
  const bool mayHaveRun = MayHaveRun(aState, *job, aRecord.m_author, aReleaseClaim);
  if (mayHaveRun && !IsIdempotent(aState, job->m_service)) {
    return Refuse(Refusal::NotClaimant);
  }
  job->m_mayHaveRun = job->m_mayHaveRun || mayHaveRun;
  const bool canRetry = !job->m_payload.empty() && !job->m_cancelRequested;
  if (canRetry && (job->m_attempt < kMaxAttempts || !job->m_mayHaveRun)) {
    job->m_phase = JobPhase::Queued;
  } else {
    EndWithoutOutcome(aState, *job);
  }
  return kAccepted;
}

ApplyResult ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Finish& aFinish)
{
  ApplyResult applyResult;
  Job* job = FindClaimed(aState, aFinish.m_key, aFinish.m_attempt, applyResult);
  if (job == nullptr) {
    return applyResult;
  }
  job->m_status = aFinish.m_status;
  job->m_bodyKept = aFinish.m_bodyKept && aFinish.m_body.size() <= kMaxKeptBodyBytes;
  job->m_body = job->m_bodyKept ? aFinish.m_body : std::string{};
  EndJob(aState, *job,
         aFinish.m_kind == FinishKind::Completed ? JobPhase::Completed : JobPhase::Stopped);
  return kAccepted;
}

ApplyResult ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Cancel& aCancel)
{
  const auto found = aState.m_jobs.find(aCancel.m_key);
  if (found == aState.m_jobs.end()) {
    return Refuse(Refusal::UnknownJob);
  }
  Job& job = found->second;
  if (IsFinal(job.m_phase)) {
    return Refuse(Refusal::WrongPhase);
  }
  job.m_cancelRequested = true;
  if (job.m_phase == JobPhase::Queued) {
    EndWithoutOutcome(aState, job);
  }
  return kAccepted;
}

} // namespace pistachiostand
