#include "pistachiostand/process/FleetPlanner.h"

#include "PlannerSteps.h"

#include <algorithm>
#include <set>

namespace pistachiostand {

namespace {

std::uint32_t LargestRack(const FleetState& aState, const PoolName& aSpare)
{
  std::map<std::pair<std::string_view, std::string_view>, std::uint32_t> racks;
  std::uint32_t largest = 0;
  for (const auto& [id, instance] : aState.m_instances) {
    if (instance.m_pool != aSpare) {
      largest = std::max(largest, ++racks[{ instance.m_zone, instance.m_rack }]);
    }
  }
  return largest;
}

} // namespace

std::uint32_t WaveWidth(const MaintenanceRule& aRule, const PlacementWeights& aWeights) noexcept
{
  const std::uint64_t maxWeight = std::max({ aWeights.m_bufferCost, aWeights.m_rolloutTime, 1U });
  const std::uint64_t width =
    (aRule.m_maxAtOnce * std::uint64_t{ aWeights.m_rolloutTime } + maxWeight - 1) / maxWeight;
  return std::max(1U, static_cast<std::uint32_t>(width));
}

std::uint32_t SpareTarget(const FleetState& aState)
{
  const Rules& rules = *aState.m_rules;
  const PlacementWeights& weights = rules.m_weights;
  std::uint32_t widest = 0;
  for (const auto& [name, rule] : rules.m_maintenance) {
    widest = std::max(widest, rule.m_maxAtOnce);
  }
  const std::uint64_t sum =
    std::max<std::uint64_t>(1, std::uint64_t{ weights.m_bufferCost } + weights.m_rolloutTime);
  const std::uint64_t forWave = (widest * std::uint64_t{ weights.m_rolloutTime } + sum / 2) / sum;
  return LargestRack(aState, SparePool(rules)) + static_cast<std::uint32_t>(forWave);
}

Millis DrainTimeoutMs(const Rules& aRules) noexcept
{
  Millis longest = 0;
  for (const auto& [name, service] : aRules.m_services) {
    longest = std::max(longest, service.m_timeoutMs);
  }
  return kStaleViewMs + longest;
}

std::string OperationId(const InstanceId& aInstance, Epoch aEpoch)
{
  return aInstance + '-' + std::to_string(aEpoch);
}

PlannerDecision PlanFleet(const PlannerInput& aInput, PlannerMemory& aMemory,
                          const PlannerOptions& aOptions)
{
  PlannerDecision decision;
  const FleetState& state = aInput.m_state;
  if (aInput.m_listed.empty() || state.m_rules->m_pools.empty()) {
    return decision;
  }
  FleetIndex index = IndexFleet(aInput);
  decision.m_spareTarget = SpareTarget(state);
  PlanMembership(aInput, index, aMemory, decision);
  SetTargetCounts(state, aOptions, index, decision.m_spareTarget);
  PlanMoves(state, aOptions, index, decision);
  PlanWaves(state, aOptions, index, decision);
  decision.m_spareAboveBudget = SpareAboveBudget(index);
  if (decision.m_records.size() > kMaxPlannedRecords) {
    decision.m_records.resize(kMaxPlannedRecords); // Later records depend on earlier ones only.
  }
  return decision;
}

} // namespace pistachiostand
