#include "pistachiostand/process/Fold.h"

#include "pistachiostand/base/Hash.h"
#include "pistachiostand/version/RuleParser.h"

#include <algorithm>
#include <utility>

namespace pistachiostand {

namespace {

constexpr Verdict kAccepted{};

Verdict Refuse(Refusal aRefusal)
{
  return { aRefusal };
}

/// \brief Sets the phase and invalidates every proposal made from the previous one.
void ChangePhase(FleetState& aState, Instance& aInstance, InstancePhase aPhase)
{
  aInstance.m_phase = aPhase;
  aInstance.m_phaseSinceMs = aState.m_timeMs;
  ++aInstance.m_epoch;
}

void Remember(FleetState& aState, PublishResult aResult)
{
  aState.m_publishes.push_back(std::move(aResult));
  if (aState.m_publishes.size() > kRememberedPublishes) {
    aState.m_publishes.erase(aState.m_publishes.begin());
  }
}

/// \brief Keeps the provenance of unchanged lines and dates the others to this revision.
void UpdateProvenance(FleetState& aState, const Rules& aRules, const std::string& aAuthor)
{
  std::map<std::string, Provenance> provenance;
  for (const auto& [name, origin] : aRules.m_origins) {
    const auto known = aState.m_provenance.find(name);
    const bool unchanged =
      known != aState.m_provenance.end() && known->second.m_line == origin.m_line;
    provenance.emplace(
      name, unchanged ? known->second
                      : Provenance{ aState.m_revision, aAuthor, aState.m_timeMs, origin.m_line });
  }
  aState.m_provenance = std::move(provenance);
}

Verdict ApplyBody(FleetState& aState, const Record& aRecord, const Publish& aPublish)
{
  if (const auto* known = FindPublish(aState, aRecord.m_id)) {
    return { known->m_refusal };
  }
  if (aPublish.m_baseRevision > aState.m_revision) {
    // Not remembered: this base may still come, and then the same file is to be judged anew.
    return Refuse(Refusal::StaleBase);
  }
  PublishResult result{ aRecord.m_id, aState.m_revision, std::nullopt, aPublish.m_author,
                        aState.m_timeMs };
  Reasons reasons;
  auto rules = aPublish.m_baseRevision == aState.m_revision ? ParseRules(aPublish.m_text, reasons)
                                                            : std::nullopt;
  if (!rules) {
    result.m_refusal = reasons.empty() ? Refusal::StaleBase : Refusal::InvalidRules;
    Remember(aState, result);
    return { result.m_refusal };
  }
  result.m_revision = ++aState.m_revision;
  aState.m_rulesText = aPublish.m_text;
  UpdateProvenance(aState, *rules, aPublish.m_author);
  aState.m_rules = std::make_shared<const Rules>(std::move(*rules));
  Remember(aState, std::move(result));
  return kAccepted;
}

PoolName PoolOrSpare(const FleetState& aState, const PoolName& aPool)
{
  return aState.m_rules->m_pools.contains(aPool) ? aPool : SparePool(*aState.m_rules);
}

/// \brief A retired instance with an unchanged boot id goes on where it was.
///
/// A leaving instance keeps its epoch, which names the reboot order. With a new epoch the order
/// would be given twice, and the first one could arrive after the instance serves again.
void ResumeRetired(FleetState& aState, const InstanceId& aId, const Instance& aKnown)
{
  Instance resumed = aKnown;
  if (resumed.m_phase != InstancePhase::Leaving) {
    ChangePhase(aState, resumed, InstancePhase::Serving);
  }
  aState.m_instances.emplace(aId, std::move(resumed));
}

Verdict JoinNew(FleetState& aState, const Join& aJoin)
{
  const auto retired = aState.m_retired.find(aJoin.m_instance);
  Epoch epoch = 1;
  if (retired != aState.m_retired.end()) {
    const Instance known = retired->second.m_instance;
    aState.m_retired.erase(retired);
    if (known.m_bootId == aJoin.m_bootId) {
      ResumeRetired(aState, aJoin.m_instance, known);
      return kAccepted;
    }
    epoch = known.m_epoch + 1;
  }
  aState.m_instances.emplace(aJoin.m_instance, Instance{ aJoin.m_address,
                                                         aJoin.m_zone,
                                                         aJoin.m_rack,
                                                         PoolOrSpare(aState, aJoin.m_pool),
                                                         aJoin.m_bootId,
                                                         InstancePhase::Serving,
                                                         epoch,
                                                         {},
                                                         aState.m_timeMs,
                                                         aState.m_timeMs });
  return kAccepted;
}

Verdict ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Join& aJoin)
{
  if (aState.m_rules->m_pools.empty()) {
    return Refuse(Refusal::UnknownPool);
  }
  const auto found = aState.m_instances.find(aJoin.m_instance);
  if (found == aState.m_instances.end()) {
    return JoinNew(aState, aJoin);
  }
  Instance& instance = found->second;
  if (instance.m_phase != InstancePhase::Failed) {
    return Refuse(Refusal::WrongPhase);
  }
  if (instance.m_bootId != aJoin.m_bootId) {
    instance.m_bootId = aJoin.m_bootId;
    instance.m_address = aJoin.m_address;
    instance.m_maintainedMs = aState.m_timeMs;
  }
  ChangePhase(aState, instance, InstancePhase::Serving);
  return kAccepted;
}

/// \brief The instance if it is known and `aEpoch` is current; otherwise sets the refusal.
Instance* FindCurrent(FleetState& aState, const InstanceId& aId, Epoch aEpoch, Verdict& aVerdict)
{
  const auto found = aState.m_instances.find(aId);
  if (found == aState.m_instances.end()) {
    aVerdict = Refuse(Refusal::UnknownInstance);
    return nullptr;
  }
  if (found->second.m_epoch != aEpoch) {
    aVerdict = Refuse(Refusal::StaleEpoch);
    return nullptr;
  }
  return &found->second;
}

Verdict ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Fail& aFail)
{
  Verdict verdict;
  Instance* instance = FindCurrent(aState, aFail.m_instance, aFail.m_epoch, verdict);
  if (instance == nullptr) {
    return verdict;
  }
  if (instance->m_phase != InstancePhase::Serving) {
    return Refuse(Refusal::WrongPhase);
  }
  ChangePhase(aState, *instance, InstancePhase::Failed);
  return kAccepted;
}

Verdict ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Retire& aRetire)
{
  Verdict verdict;
  const Instance* instance = FindCurrent(aState, aRetire.m_instance, aRetire.m_epoch, verdict);
  if (instance == nullptr) {
    return verdict;
  }
  if (instance->m_phase == InstancePhase::Serving) {
    return Refuse(Refusal::WrongPhase);
  }
  aState.m_retired.insert_or_assign(aRetire.m_instance,
                                    RetiredInstance{ *instance, aState.m_timeMs });
  aState.m_instances.erase(aRetire.m_instance);
  return kAccepted;
}

Verdict ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Drain& aDrain)
{
  Verdict verdict;
  Instance* instance = FindCurrent(aState, aDrain.m_instance, aDrain.m_epoch, verdict);
  if (instance == nullptr) {
    return verdict;
  }
  if (instance->m_phase != InstancePhase::Serving) {
    return Refuse(Refusal::WrongPhase);
  }
  if (!aState.m_rules->m_pools.contains(aDrain.m_target)) {
    return Refuse(Refusal::UnknownPool);
  }
  if (!MayLeave(aState, aDrain.m_instance)) {
    return Refuse(Refusal::BudgetExceeded);
  }
  instance->m_target = aDrain.m_target;
  ChangePhase(aState, *instance, InstancePhase::Leaving);
  return kAccepted;
}

Verdict ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Return& aReturn)
{
  Verdict verdict;
  Instance* instance = FindCurrent(aState, aReturn.m_instance, aReturn.m_epoch, verdict);
  if (instance == nullptr) {
    return verdict;
  }
  if (instance->m_phase != InstancePhase::Leaving) {
    return Refuse(Refusal::WrongPhase);
  }
  if (instance->m_bootId == aReturn.m_bootId) {
    return Refuse(Refusal::SameBoot);
  }
  instance->m_pool = PoolOrSpare(aState, instance->m_target);
  instance->m_target.clear();
  instance->m_bootId = aReturn.m_bootId;
  instance->m_maintainedMs = aState.m_timeMs;
  ChangePhase(aState, *instance, InstancePhase::Serving);
  return kAccepted;
}

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

void End(FleetState& aState, Job& aJob, JobPhase aPhase)
{
  aJob.m_phase = aPhase;
  aJob.m_finishedMs = aState.m_timeMs;
  aJob.m_payload.clear();
}

Verdict ApplyBody(FleetState& aState, const Record& aRecord, const Submit& aSubmit)
{
  const auto known = aState.m_jobs.find(aSubmit.m_key);
  if (known != aState.m_jobs.end()) {
    // A late copy of an append must not revive a job that was reported as not run.
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
  const auto attempt = job.m_attempt; // Attempts count on: servers remember stops of earlier ones.
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

Verdict ApplyBody(FleetState& aState, const Record& aRecord, const Claim& aClaim)
{
  const auto found = aState.m_jobs.find(aClaim.m_key);
  if (found == aState.m_jobs.end()) {
    return Refuse(Refusal::UnknownJob);
  }
  Job& job = found->second;
  if (job.m_phase != JobPhase::Queued) {
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

/// \brief The job if it is claimed with this attempt; otherwise sets the refusal.
Job* FindClaimed(FleetState& aState, const JobKey& aKey, std::uint32_t aAttempt, Verdict& aVerdict)
{
  const auto found = aState.m_jobs.find(aKey);
  if (found == aState.m_jobs.end()) {
    aVerdict = Refuse(Refusal::UnknownJob);
    return nullptr;
  }
  if (found->second.m_attempt != aAttempt) {
    aVerdict = Refuse(Refusal::StaleAttempt);
    return nullptr;
  }
  if (found->second.m_phase != JobPhase::Claimed) {
    aVerdict = Refuse(Refusal::WrongPhase);
    return nullptr;
  }
  return &found->second;
}

bool IsIdempotent(const FleetState& aState, const ServiceName& aService)
{
  const auto service = aState.m_rules->m_services.find(aService);
  return service != aState.m_rules->m_services.end() && service->second.m_idempotent;
}

/// \brief True when the service's servers remember stops, so that a fence can be relied on.
bool HasTaskControl(const FleetState& aState, const ServiceName& aService)
{
  const auto service = aState.m_rules->m_services.find(aService);
  if (service == aState.m_rules->m_services.end()) {
    return false;
  }
  const auto pool = aState.m_rules->m_pools.find(service->second.m_pool);
  return pool != aState.m_rules->m_pools.end() && pool->second.m_taskControl == TaskControl::Full;
}

/// \brief True unless the claimant or a fence vouches that the attempt never started.
bool MayHaveRun(const FleetState& aState, const Job& aJob, const EntryId& aAuthor,
                const GiveBack& aGiveBack)
{
  const bool fenced = aGiveBack.m_fenced && HasTaskControl(aState, aJob.m_service);
  return aGiveBack.m_mayHaveRun || (aAuthor != aJob.m_claimant && !fenced);
}

/// \brief Ends a job without an outcome; it is `NotRun` only if no attempt can have started.
void EndWithoutOutcome(FleetState& aState, Job& aJob)
{
  End(aState, aJob, aJob.m_mayHaveRun ? JobPhase::Stopped : JobPhase::NotRun);
}

Verdict ApplyBody(FleetState& aState, const Record& aRecord, const GiveBack& aGiveBack)
{
  Verdict verdict;
  Job* job = FindClaimed(aState, aGiveBack.m_key, aGiveBack.m_attempt, verdict);
  if (job == nullptr) {
    return verdict;
  }
  const bool mayHaveRun = MayHaveRun(aState, *job, aRecord.m_author, aGiveBack);
  if (mayHaveRun && !IsIdempotent(aState, job->m_service)) {
    return Refuse(Refusal::NotClaimant);
  }
  job->m_mayHaveRun = job->m_mayHaveRun || mayHaveRun;
  const bool again = !job->m_payload.empty() && !job->m_cancelRequested;
  if (again && (job->m_attempt < kMaxAttempts || !job->m_mayHaveRun)) {
    job->m_phase = JobPhase::Queued;
  } else {
    EndWithoutOutcome(aState, *job);
  }
  return kAccepted;
}

Verdict ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Finish& aFinish)
{
  Verdict verdict;
  Job* job = FindClaimed(aState, aFinish.m_key, aFinish.m_attempt, verdict);
  if (job == nullptr) {
    return verdict;
  }
  job->m_status = aFinish.m_status;
  job->m_bodyKept = aFinish.m_bodyKept && aFinish.m_body.size() <= kMaxKeptBodyBytes;
  job->m_body = job->m_bodyKept ? aFinish.m_body : std::string{};
  End(aState, *job,
      aFinish.m_kind == FinishKind::Completed ? JobPhase::Completed : JobPhase::Stopped);
  return kAccepted;
}

Verdict ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Cancel& aCancel)
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

/// \brief Dates what was recorded before the first tick to that tick, which sets the time.
///
/// Time 0 is decades before any tick, so the keys of jobs that ended then would expire at once.
void DateEarlierRecords(FleetState& aState, Millis aTimeMs)
{
  for (auto& [key, job] : aState.m_jobs) {
    job.m_submittedMs = aTimeMs;
    job.m_finishedMs = IsFinal(job.m_phase) ? aTimeMs : 0;
  }
  for (auto& [id, instance] : aState.m_instances) {
    instance.m_maintainedMs = aTimeMs;
    instance.m_phaseSinceMs = aTimeMs;
  }
  for (auto& [id, retired] : aState.m_retired) {
    retired.m_retiredMs = aTimeMs;
    retired.m_instance.m_maintainedMs = aTimeMs;
    retired.m_instance.m_phaseSinceMs = aTimeMs;
  }
}

Verdict ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Tick& aTick)
{
  if (aTick.m_timeMs <= aState.m_timeMs) {
    return Refuse(Refusal::TimeNotAdvanced);
  }
  if (aState.m_timeMs == 0) {
    DateEarlierRecords(aState, aTick.m_timeMs);
  }
  aState.m_timeMs =
    aState.m_timeMs == 0 ? aTick.m_timeMs : std::min(aTick.m_timeMs, aState.m_timeMs + kMaxTickMs);
  const Millis horizon = aState.m_timeMs - kKeyRetentionMs;
  std::erase_if(aState.m_jobs, [horizon](const auto& aEntry) {
    return IsFinal(aEntry.second.m_phase) && aEntry.second.m_finishedMs < horizon;
  });
  std::erase_if(aState.m_retired,
                [horizon](const auto& aEntry) { return aEntry.second.m_retiredMs < horizon; });
  return kAccepted;
}

Verdict ApplyBody(FleetState& /*aState*/, const Record& /*aRecord*/, const Snapshot& /*aSnapshot*/)
{
  return kAccepted;
}

} // namespace

Verdict Apply(FleetState& aState, Offset aOffset, const Record& aRecord)
{
  aState.m_nextOffset = aOffset + 1;
  return std::visit(
    [&aState, &aRecord](const auto& aBody) { return ApplyBody(aState, aRecord, aBody); },
    aRecord.m_body);
}

std::uint64_t PublishId(const Publish& aPublish)
{
  return Hash(aPublish.m_text,
              Hash(aPublish.m_author, Hash(std::to_string(aPublish.m_baseRevision))));
}

const PublishResult* FindPublish(const FleetState& aState, std::uint64_t aId) noexcept
{
  const auto found = std::ranges::find(aState.m_publishes, aId, &PublishResult::m_id);
  return found == aState.m_publishes.end() ? nullptr : &*found;
}

} // namespace pistachiostand
