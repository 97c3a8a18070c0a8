#include "PlannerSteps.h"

#include <algorithm>

namespace pistachiostand {

namespace {

/// \brief Time since the first call for this instance. Callers erase the entry when the condition
/// that they measure no longer holds.
Millis ElapsedSince(std::map<InstanceId, Millis>& aSince, const InstanceId& aId, Millis aNowMs)
{
  return aNowMs - aSince.try_emplace(aId, aNowMs).first->second;
}

/// \brief Proposes to mark an instance as failed that is not listed as live with its recorded boot.
/// An instance that still responds is kept, unless it is listed with a new boot, because it then
/// refuses work for the recorded boot.
void PlanServing(const PlannerInput& aInput, FleetIndex& aIndex, IndexedInstance& aInstance,
                 PlannerMemory& aMemory, PlannerDecision& aDecision)
{
  if (IsMovable(aInstance)) {
    aMemory.m_absentSince.erase(*aInstance.m_id);
    return;
  }
  const bool rebooted = aInstance.m_listed != nullptr && !aInstance.m_listed->m_leaving;
  if (!rebooted && aInput.m_responsive.contains(*aInstance.m_id)) {
    aMemory.m_absentSince.erase(*aInstance.m_id);
  } else if (ElapsedSince(aMemory.m_absentSince, *aInstance.m_id, aInput.m_nowMs) >=
             kAbsentGraceMs) {
    ProposeFail(aIndex, aInstance, aDecision);
  }
}

/// \brief Retires the instance once the list has shown it as gone for `aLimitMs`.
void RetireIfGone(const PlannerInput& aInput, const IndexedInstance& aInstance, bool aGone,
                  Millis aLimitMs, PlannerMemory& aMemory, PlannerDecision& aDecision)
{
  if (!aGone) {
    aMemory.m_absentSince.erase(*aInstance.m_id);
  } else if (ElapsedSince(aMemory.m_absentSince, *aInstance.m_id, aInput.m_nowMs) >= aLimitMs) {
    aDecision.m_records.emplace_back(Retire{ *aInstance.m_id, aInstance.m_instance->m_epoch });
  }
}

Join MakeJoin(const FleetState& aState, const ListedInstance& aListed)
{
  return { aListed.m_id,
           aListed.m_address,
           aListed.m_zone,
           aListed.m_rack,
           aListed.m_bootId,
           aListed.m_pool,
           EpochOf(aState, aListed.m_id) };
}

void PlanFailed(const PlannerInput& aInput, const IndexedInstance& aInstance,
                PlannerMemory& aMemory, PlannerDecision& aDecision)
{
  const bool gone = aInstance.m_listed == nullptr || aInstance.m_listed->m_leaving;
  RetireIfGone(aInput, aInstance, gone, kRetireFailedMs, aMemory, aDecision);
  if (!gone) {
    aDecision.m_records.emplace_back(MakeJoin(aInput.m_state, *aInstance.m_listed));
  }
}

LeavingProgress& TrackLeaving(const PlannerInput& aInput, const IndexedInstance& aInstance,
                              PlannerMemory& aMemory)
{
  const Epoch epoch = aInstance.m_instance->m_epoch;
  LeavingProgress& progress = aMemory.m_leaving[*aInstance.m_id];
  if (progress.m_epoch != epoch) {
    progress = { epoch, aInput.m_nowMs, aInput.m_state.m_nextOffset, std::nullopt, std::nullopt };
  }
  return progress;
}

/// \brief True at most once in `kOrderRetryMs`.
bool IsOrderDue(std::optional<Millis>& aOrderedMs, Millis aNowMs) noexcept
{
  if (aOrderedMs && aNowMs - *aOrderedMs < kOrderRetryMs) {
    return false;
  }
  aOrderedMs = aNowMs;
  return true;
}

/// \brief True when no request is in flight and every entry instance has read the drain record;
/// before that, a new request may still be sent.
bool IsIdle(const PlannerInput& aInput, const InstanceId& aId, const LeavingProgress& aProgress)
{
  const auto inFlight = aInput.m_inFlight.find(aId);
  const bool none = inFlight == aInput.m_inFlight.end() || inFlight->second == 0;
  return none && aInput.m_minReadOffset >= aProgress.m_offset;
}

/// \brief Orders the drain, and the reboot once the list shows the drain and the instance is idle,
/// or after a timeout. A drain order that arrives after the reboot would mark the new boot as
/// leaving, so none is sent after the reboot order.
void OrderDrainAndReboot(const PlannerInput& aInput, const IndexedInstance& aInstance,
                         LeavingProgress& aProgress, PlannerDecision& aDecision)
{
  const Epoch epoch = aInstance.m_instance->m_epoch;
  const bool drained = aInstance.m_listed->m_leaving;
  if (!drained && !aProgress.m_rebootOrderedMs &&
      aInstance.m_listed->m_bootId == aInstance.m_instance->m_bootId &&
      IsOrderDue(aProgress.m_drainOrderedMs, aInput.m_nowMs)) {
    aDecision.m_drainOrders.push_back({ *aInstance.m_id, epoch });
  }
  const bool waited =
    (drained && IsIdle(aInput, *aInstance.m_id, aProgress)) ||
    aInput.m_nowMs - aProgress.m_sinceMs >= DrainTimeoutMs(*aInput.m_state.m_rules);
  if (waited && IsOrderDue(aProgress.m_rebootOrderedMs, aInput.m_nowMs)) {
    aDecision.m_reboots.push_back({ *aInstance.m_id, epoch, aInstance.m_instance->m_target });
  }
}

/// \brief True when the list shows the boot that the reboot order of this epoch caused. A crash
/// also changes the boot id, but starts the old pool's service, and the order remains pending.
bool IsOrderedBoot(const IndexedInstance& aInstance)
{
  const ListedInstance* listed = aInstance.m_listed;
  const Instance& instance = *aInstance.m_instance;
  return listed != nullptr && listed->m_bootId != instance.m_bootId &&
         listed->m_bootOperation == OperationId(*aInstance.m_id, instance.m_epoch) &&
         listed->m_pool == instance.m_target;
}

void PlanLeaving(const PlannerInput& aInput, const IndexedInstance& aInstance,
                 PlannerMemory& aMemory, PlannerDecision& aDecision)
{
  LeavingProgress& progress = TrackLeaving(aInput, aInstance, aMemory);
  const ListedInstance* listed = aInstance.m_listed;
  const Instance& instance = *aInstance.m_instance;
  const bool ordered = IsOrderedBoot(aInstance);
  const bool returned = ordered && !listed->m_leaving;
  // A crash after the ordered boot may replace its boot id before the list shows it, and repeating
  // the order then has no effect. Such an instance is retired like one that is no longer listed.
  const bool gone = listed == nullptr || (listed->m_bootId != instance.m_bootId && !returned);
  RetireIfGone(aInput, aInstance, gone, kRetireLeavingMs, aMemory, aDecision);
  if (returned) {
    aDecision.m_records.emplace_back(Return{ *aInstance.m_id, instance.m_epoch, listed->m_bootId });
  } else if (listed != nullptr && !ordered && !(gone && aInstance.m_rebootTimedOut)) {
    // Orders for an instance that is gone stop at least 10 min before it is retired, so that none
    // arrives after it has joined again.
    OrderDrainAndReboot(aInput, aInstance, progress, aDecision);
  }
}

/// \brief True for an instance that was retired while leaving and is listed again with the same
/// boot. Its drain continues; without a reboot the platform would show it as leaving forever.
bool ResumesDrain(const FleetState& aState, const ListedInstance& aListed)
{
  const auto retired = aState.m_retired.find(aListed.m_id);
  return retired != aState.m_retired.end() &&
         retired->second.m_instance.m_phase == InstancePhase::Leaving &&
         retired->second.m_instance.m_bootId == aListed.m_bootId;
}

void PlanJoins(const PlannerInput& aInput, PlannerDecision& aDecision)
{
  for (const auto& listed : aInput.m_listed) {
    if (!aInput.m_state.m_instances.contains(listed.m_id) &&
        (!listed.m_leaving || ResumesDrain(aInput.m_state, listed))) {
      aDecision.m_records.emplace_back(MakeJoin(aInput.m_state, listed));
    }
  }
}

/// \brief Removes entries of instances that no longer exist, or are no longer leaving.
void PruneMemory(const FleetState& aState, PlannerMemory& aMemory)
{
  std::erase_if(aMemory.m_absentSince, [&aState](const auto& aEntry) {
    return !aState.m_instances.contains(aEntry.first);
  });
  std::erase_if(aMemory.m_leaving, [&aState](const auto& aEntry) {
    const auto found = aState.m_instances.find(aEntry.first);
    return found == aState.m_instances.end() || found->second.m_phase != InstancePhase::Leaving;
  });
}

} // namespace

void PlanMembership(const PlannerInput& aInput, FleetIndex& aIndex, PlannerMemory& aMemory,
                    PlannerDecision& aDecision)
{
  PruneMemory(aInput.m_state, aMemory);
  for (auto& instance : aIndex.m_instances) {
    switch (instance.m_phase) {
      case InstancePhase::Serving:
        PlanServing(aInput, aIndex, instance, aMemory, aDecision);
        break;
      case InstancePhase::Leaving:
        PlanLeaving(aInput, instance, aMemory, aDecision);
        break;
      case InstancePhase::Failed:
        PlanFailed(aInput, instance, aMemory, aDecision);
        break;
    }
  }
  PlanJoins(aInput, aDecision);
}

} // namespace pistachiostand
