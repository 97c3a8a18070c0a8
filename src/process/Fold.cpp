#include "pistachiostand/process/Fold.h"

#include "FoldJobs.h"

#include "pistachiostand/base/Hash.h"
#include "pistachiostand/version/RuleParser.h"

#include <algorithm>
#include <utility>

namespace pistachiostand {

namespace {

/// \brief Sets the phase and invalidates every proposal made from the previous one.
void ChangePhase(FleetState& aState, Instance& aInstance, InstancePhase aPhase)
{
  aInstance.m_phase = aPhase;
  aInstance.m_phaseSinceMs = aState.m_timeMs;
  ++aInstance.m_epoch;
}

void StorePublishResult(FleetState& aState, PublishResult aResult)
{
  aState.m_publishes.push_back(std::move(aResult));
  if (aState.m_publishes.size() > kMaxPublishResults) {
    aState.m_publishes.erase(aState.m_publishes.begin());
  }
}

/// \brief Keeps the provenance of unchanged lines and sets that of the others to this revision.
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

ApplyResult ApplyBody(FleetState& aState, const Record& aRecord, const Publish& aPublish)
{
  if (const auto* known = FindPublish(aState, aRecord.m_id)) {
    return { known->m_refusal };
  }
  if (aPublish.m_baseRevision > aState.m_revision) {
    // The result is not stored: the base revision may still be reached, and the same file must then
    // be evaluated again.
    return Refuse(Refusal::StaleBase);
  }
  PublishResult result{ aRecord.m_id, aState.m_revision, std::nullopt, aPublish.m_author,
                        aState.m_timeMs };
  Reasons reasons;
  auto rules = aPublish.m_baseRevision == aState.m_revision ? ParseRules(aPublish.m_text, reasons)
                                                            : std::nullopt;
  if (!rules) {
    result.m_refusal = reasons.empty() ? Refusal::StaleBase : Refusal::InvalidRules;
    StorePublishResult(aState, result);
    return { result.m_refusal };
  }
  result.m_revision = ++aState.m_revision;
  aState.m_rulesText = aPublish.m_text;
  UpdateProvenance(aState, *rules, aPublish.m_author);
  aState.m_rules = std::make_shared<const Rules>(std::move(*rules));
  StorePublishResult(aState, std::move(result));
  return kAccepted;
}

PoolName PoolOrSpare(const FleetState& aState, const PoolName& aPool)
{
  return aState.m_rules->m_pools.contains(aPool) ? aPool : SparePool(*aState.m_rules);
}

/// \brief Restores a retired instance whose boot id has not changed.
///
/// A leaving instance keeps its epoch, which identifies the reboot order. With a new epoch the
/// order would be sent twice, and the first one could arrive after the instance serves again.
void ResumeRetired(FleetState& aState, const InstanceId& aId, const Instance& aKnown)
{
  Instance resumed = aKnown;
  if (resumed.m_phase != InstancePhase::Leaving) {
    ChangePhase(aState, resumed, InstancePhase::Serving);
  }
  aState.m_instances.emplace(aId, std::move(resumed));
}

ApplyResult JoinNew(FleetState& aState, const Join& aJoin)
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

ApplyResult ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Join& aJoin)
{
  if (aState.m_rules->m_pools.empty()) {
    return Refuse(Refusal::UnknownPool);
  }
  // A late copy of an old record must not put an instance back into service that has failed since.
  if (aJoin.m_epoch != EpochOf(aState, aJoin.m_instance)) {
    return Refuse(Refusal::StaleEpoch);
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
    instance.m_zone = aJoin.m_zone;
    instance.m_rack = aJoin.m_rack;
    instance.m_maintainedMs = aState.m_timeMs;
  }
  ChangePhase(aState, instance, InstancePhase::Serving);
  return kAccepted;
}

/// \brief The instance if it is known and `aEpoch` is current; otherwise sets the refusal.
Instance* FindWithEpoch(FleetState& aState, const InstanceId& aId, Epoch aEpoch,
                        ApplyResult& aApplyResult)
{
  const auto found = aState.m_instances.find(aId);
  if (found == aState.m_instances.end()) {
    aApplyResult = Refuse(Refusal::UnknownInstance);
    return nullptr;
  }
  if (found->second.m_epoch != aEpoch) {
    aApplyResult = Refuse(Refusal::StaleEpoch);
    return nullptr;
  }
  return &found->second;
}

ApplyResult ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Fail& aFail)
{
  ApplyResult applyResult;
  Instance* instance = FindWithEpoch(aState, aFail.m_instance, aFail.m_epoch, applyResult);
  if (instance == nullptr) {
    return applyResult;
  }
  if (instance->m_phase != InstancePhase::Serving) {
    return Refuse(Refusal::WrongPhase);
  }
  ChangePhase(aState, *instance, InstancePhase::Failed);
  return kAccepted;
}

ApplyResult ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Retire& aRetire)
{
  ApplyResult applyResult;
  const Instance* instance =
    FindWithEpoch(aState, aRetire.m_instance, aRetire.m_epoch, applyResult);
  if (instance == nullptr) {
    return applyResult;
  }
  if (instance->m_phase == InstancePhase::Serving) {
    return Refuse(Refusal::WrongPhase);
  }
  aState.m_retired.insert_or_assign(aRetire.m_instance,
                                    RetiredInstance{ *instance, aState.m_timeMs });
  aState.m_instances.erase(aRetire.m_instance);
  return kAccepted;
}

ApplyResult ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Drain& aDrain)
{
  ApplyResult applyResult;
  Instance* instance = FindWithEpoch(aState, aDrain.m_instance, aDrain.m_epoch, applyResult);
  if (instance == nullptr) {
    return applyResult;
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

ApplyResult ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Return& aReturn)
{
  ApplyResult applyResult;
  Instance* instance = FindWithEpoch(aState, aReturn.m_instance, aReturn.m_epoch, applyResult);
  if (instance == nullptr) {
    return applyResult;
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

/// \brief Sets the times of everything recorded before the first tick to that tick.
///
/// Time 0 is decades before any tick, so the keys of jobs that ended then would expire at once.
void BackfillTimestamps(FleetState& aState, Millis aTimeMs)
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

ApplyResult ApplyBody(FleetState& aState, const Record& /*aRecord*/, const Tick& aTick)
{
  if (aTick.m_timeMs <= aState.m_timeMs) {
    return Refuse(Refusal::TimeNotAdvanced);
  }
  if (aState.m_timeMs == 0) {
    BackfillTimestamps(aState, aTick.m_timeMs);
  }
  aState.m_timeMs = aState.m_timeMs == 0
                      ? aTick.m_timeMs
                      : std::min(aTick.m_timeMs, aState.m_timeMs + kMaxTickAdvanceMs);
  const Millis cutoffMs = aState.m_timeMs - kKeyRetentionMs;
  std::erase_if(aState.m_jobs, [cutoffMs](const auto& aEntry) {
    return IsFinal(aEntry.second.m_phase) && aEntry.second.m_finishedMs < cutoffMs;
  });
  std::erase_if(aState.m_retired,
                [cutoffMs](const auto& aEntry) { return aEntry.second.m_retiredMs < cutoffMs; });
  return kAccepted;
}

ApplyResult ApplyBody(FleetState& /*aState*/, const Record& /*aRecord*/,
                      const Snapshot& /*aSnapshot*/)
{
  return kAccepted;
}

} // namespace

ApplyResult Apply(FleetState& aState, Offset aOffset, const Record& aRecord)
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
