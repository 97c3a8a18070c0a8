#include "FleetIndex.h"

#include <algorithm>

namespace pistachiostand {

namespace {

/// \brief Numbers zones and racks in the order of their first use.
class DomainNumbers
{
public:
  std::uint32_t Zone(const ZoneName& aZone)
  {
    const auto next = static_cast<std::uint32_t>(m_zones.size());
    return m_zones.try_emplace(aZone, next).first->second;
  }

  std::uint32_t Rack(std::uint32_t aZone, const RackName& aRack)
  {
    m_racks.resize(std::max<std::size_t>(m_racks.size(), aZone + 1));
    const auto [found, added] = m_racks[aZone].try_emplace(aRack, m_rackCount);
    m_rackCount += added ? 1 : 0;
    return found->second;
  }

private:
  std::unordered_map<std::string_view, std::uint32_t> m_zones;
  std::vector<std::unordered_map<std::string_view, std::uint32_t>> m_racks;
  std::uint32_t m_rackCount{};
};

PoolIndex FindOrAddPool(FleetIndex& aIndex, const PoolName& aName, const PoolRule* aRule)
{
  const auto next = static_cast<PoolIndex>(aIndex.m_pools.size());
  const auto [found, added] = aIndex.m_poolByName.try_emplace(aName, next);
  if (added) {
    aIndex.m_pools.push_back({ aName, aRule, 0, 0, 0, {}, {}, {} });
  }
  return found->second;
}

void AddPools(FleetIndex& aIndex, const Rules& aRules)
{
  for (const auto& [name, rule] : aRules.m_pools) {
    const PoolIndex pool = FindOrAddPool(aIndex, name, &rule);
    aIndex.m_pools[pool].m_targetCount = rule.m_instances;
    if (rule.m_spare) {
      aIndex.m_spare = pool;
    }
  }
}

Domain ToleratedDomain(const IndexedPool& aPool) noexcept
{
  return aPool.m_rule == nullptr ? Domain::None : aPool.m_rule->m_tolerate;
}

Domain SpreadDomain(const IndexedPool& aPool) noexcept
{
  return aPool.m_rule == nullptr ? Domain::None : aPool.m_rule->m_spread;
}

void CountServing(IndexedPool& aPool, const IndexedInstance& aInstance, std::int32_t aChange)
{
  aPool.m_serving += aChange;
  aPool.m_servingByDomain[DomainNumber(aInstance, ToleratedDomain(aPool))] += aChange;
  aPool.m_placedByDomain[DomainNumber(aInstance, SpreadDomain(aPool))] += aChange;
}

void CountInbound(IndexedPool& aPool, const IndexedInstance& aInstance, std::int32_t aChange)
{
  aPool.m_inbound += aChange;
  aPool.m_placedByDomain[DomainNumber(aInstance, SpreadDomain(aPool))] += aChange;
}

void Count(FleetIndex& aIndex, const IndexedInstance& aInstance)
{
  if (aInstance.m_phase == InstancePhase::Serving) {
    CountServing(aIndex.m_pools[aInstance.m_pool], aInstance, 1);
  } else if (aInstance.m_phase == InstancePhase::Leaving && !aInstance.m_rebootTimedOut) {
    CountInbound(aIndex.m_pools[aInstance.m_target], aInstance, 1);
  }
}

/// \brief Stops counting slow reboots as inbound for pools that are below their budget.
void ExcludeSlowInbound(FleetIndex& aIndex)
{
  for (const auto& instance : aIndex.m_instances) {
    if (instance.m_phase != InstancePhase::Leaving || instance.m_rebootTimedOut ||
        aIndex.m_timeMs - instance.m_phaseSinceMs <= kSlowRebootMs) {
      continue;
    }
    IndexedPool& target = aIndex.m_pools[instance.m_target];
    if (target.m_rule != nullptr && target.m_serving < target.m_rule->m_minAvailable) {
      CountInbound(target, instance, -1);
    }
  }
}

void AddInstance(FleetIndex& aIndex, DomainNumbers& aNumbers, const InstanceId& aId,
                 const Instance& aInstance)
{
  const auto listed = aIndex.m_listed.find(aId);
  const std::uint32_t zone = aNumbers.Zone(aInstance.m_zone);
  const bool leaving = aInstance.m_phase == InstancePhase::Leaving;
  const IndexedInstance entry{
    &aId,
    &aInstance,
    listed == aIndex.m_listed.end() ? nullptr : listed->second,
    FindOrAddPool(aIndex, aInstance.m_pool, nullptr),
    leaving ? FindOrAddPool(aIndex, aInstance.m_target, nullptr) : kNoPool,
    zone,
    aNumbers.Rack(zone, aInstance.m_rack),
    aInstance.m_phase,
    aInstance.m_phaseSinceMs,
    leaving && aIndex.m_timeMs - aInstance.m_phaseSinceMs > kRebootTimeoutMs
  };
  Count(aIndex, entry);
  aIndex.m_pools[entry.m_pool].m_members.push_back(
    static_cast<std::uint32_t>(aIndex.m_instances.size()));
  aIndex.m_instances.push_back(entry);
}

} // namespace

FleetIndex IndexFleet(const PlannerInput& aInput)
{
  FleetIndex index;
  index.m_timeMs = aInput.m_state.m_timeMs;
  index.m_listed.reserve(aInput.m_listed.size());
  for (const auto& listed : aInput.m_listed) {
    index.m_listed.emplace(listed.m_id, &listed);
  }
  AddPools(index, *aInput.m_state.m_rules);
  DomainNumbers numbers;
  index.m_instances.reserve(aInput.m_state.m_instances.size());
  for (const auto& [id, instance] : aInput.m_state.m_instances) {
    AddInstance(index, numbers, id, instance);
  }
  ExcludeSlowInbound(index);
  return index;
}

std::uint32_t DomainNumber(const IndexedInstance& aInstance, Domain aDomain) noexcept
{
  if (aDomain == Domain::None) {
    return 0;
  }
  return aDomain == Domain::Rack ? aInstance.m_rack : aInstance.m_zone;
}

std::uint32_t ProjectedInstances(const IndexedPool& aPool) noexcept
{
  return aPool.m_serving + aPool.m_inbound;
}

std::uint32_t CountIn(const DomainCounts& aCounts, std::uint32_t aDomain)
{
  const auto found = aCounts.find(aDomain);
  return found == aCounts.end() ? 0 : found->second;
}

std::uint32_t LargestCount(const DomainCounts& aCounts)
{
  const auto largest =
    std::ranges::max_element(aCounts, {}, [](const auto& aEntry) { return aEntry.second; });
  return largest == aCounts.end() ? 0 : largest->second;
}

bool MayLeave(const FleetIndex& aIndex, const IndexedInstance& aInstance)
{
  const IndexedPool& pool = aIndex.m_pools[aInstance.m_pool];
  if (aInstance.m_phase != InstancePhase::Serving || pool.m_rule == nullptr) {
    return aInstance.m_phase == InstancePhase::Serving;
  }
  std::uint32_t lost = 0;
  if (pool.m_rule->m_tolerate != Domain::None) {
    const auto own = DomainNumber(aInstance, pool.m_rule->m_tolerate);
    for (const auto& [domain, count] : pool.m_servingByDomain) {
      lost = std::max(lost, domain == own ? count - 1 : count);
    }
  }
  return pool.m_serving - 1 - lost >= pool.m_rule->m_minAvailable;
}

bool CanDonate(const IndexedPool& aPool)
{
  if (aPool.m_rule == nullptr || aPool.m_serving == 0) {
    return aPool.m_serving > 0;
  }
  // The instance that leaves may belong to the largest domain, which then counts one less.
  const std::uint32_t lost = aPool.m_rule->m_tolerate == Domain::None
                               ? 1
                               : std::max(1U, LargestCount(aPool.m_servingByDomain));
  return aPool.m_serving - lost >= aPool.m_rule->m_minAvailable;
}

std::uint32_t SpareAboveBudget(const FleetIndex& aIndex)
{
  if (aIndex.m_spare == kNoPool) {
    return 0;
  }
  const IndexedPool& pool = aIndex.m_pools[aIndex.m_spare];
  const std::uint32_t lost =
    pool.m_rule->m_tolerate == Domain::None ? 0 : LargestCount(pool.m_servingByDomain);
  const std::uint32_t bound = pool.m_rule->m_minAvailable + lost;
  return pool.m_serving > bound ? pool.m_serving - bound : 0;
}

bool IsMovable(const IndexedInstance& aInstance)
{
  return aInstance.m_phase == InstancePhase::Serving && aInstance.m_listed != nullptr &&
         !aInstance.m_listed->m_leaving &&
         aInstance.m_listed->m_bootId == aInstance.m_instance->m_bootId;
}

bool ProposeDrain(FleetIndex& aIndex, std::uint32_t aInstance, PoolIndex aTarget,
                  PlannerDecision& aDecision)
{
  IndexedInstance& instance = aIndex.m_instances[aInstance];
  if (!IsMovable(instance) || !MayLeave(aIndex, instance)) {
    return false;
  }
  aDecision.m_records.emplace_back(
    Drain{ *instance.m_id, instance.m_instance->m_epoch, aIndex.m_pools[aTarget].m_name });
  CountServing(aIndex.m_pools[instance.m_pool], instance, -1);
  CountInbound(aIndex.m_pools[aTarget], instance, 1);
  instance.m_phase = InstancePhase::Leaving;
  instance.m_phaseSinceMs = aIndex.m_timeMs;
  instance.m_target = aTarget;
  return true;
}

void ProposeFail(FleetIndex& aIndex, IndexedInstance& aInstance, PlannerDecision& aDecision)
{
  aDecision.m_records.emplace_back(Fail{ *aInstance.m_id, aInstance.m_instance->m_epoch });
  CountServing(aIndex.m_pools[aInstance.m_pool], aInstance, -1);
  aInstance.m_phase = InstancePhase::Failed;
}

} // namespace pistachiostand
