#include "PlannerSteps.h"

#include <algorithm>
#include <tuple>

namespace pistachiostand {

namespace {

constexpr Millis kDayMs = 24LL * 3600 * 1000;

/// \brief Instances that are unavailable under a maintenance rule, and those that are due.
struct Wave
{
  std::uint32_t m_unavailable{};
  std::optional<std::uint32_t> m_domain; ///< Domain of the unavailable instances.
  bool m_spansDomains{};                 ///< Moves have drained due instances of several domains.
  std::vector<std::uint32_t> m_due;
};

void AddToWave(const FleetIndex& aIndex, std::uint32_t aInstance, const MaintenanceRule& aRule,
               Wave& aWave)
{
  const IndexedInstance& instance = aIndex.m_instances[aInstance];
  if (instance.m_phase == InstancePhase::Serving &&
      IsDue(aRule, *instance.m_instance, aIndex.m_timeMs)) {
    aWave.m_due.push_back(aInstance);
  } else if (instance.m_phase == InstancePhase::Leaving && !instance.m_rebootTimedOut &&
             IsDue(aRule, *instance.m_instance, instance.m_phaseSinceMs)) {
    const auto domain = DomainNumber(instance, aRule.m_domain);
    aWave.m_spansDomains = aWave.m_spansDomains || aWave.m_domain.value_or(domain) != domain;
    aWave.m_domain = domain;
    ++aWave.m_unavailable;
  }
}

/// \brief Orders domains by their oldest maintenance, so that one is finished before the next one
/// starts, and the instances of a domain by oldest maintenance.
void SortDue(const FleetIndex& aIndex, Domain aDomain, Wave& aWave)
{
  std::unordered_map<std::uint32_t, Millis> oldest;
  const auto maintained = [&aIndex](std::uint32_t aEach) {
    return aIndex.m_instances[aEach].m_instance->m_maintainedMs;
  };
  const auto domainOf = [&aIndex, aDomain](std::uint32_t aEach) {
    return DomainNumber(aIndex.m_instances[aEach], aDomain);
  };
  for (const auto each : aWave.m_due) {
    const auto [found, added] = oldest.try_emplace(domainOf(each), maintained(each));
    found->second = std::min(found->second, maintained(each));
  }
  std::ranges::sort(aWave.m_due, {}, [&](std::uint32_t aEach) {
    return std::tuple{ oldest[domainOf(aEach)], domainOf(aEach), maintained(aEach), aEach };
  });
}

Wave CollectWave(const FleetIndex& aIndex, const MaintenanceRule& aRule)
{
  Wave wave;
  for (const auto& pool : aIndex.m_pools) {
    if (!Matches(aRule, pool.m_name)) {
      continue;
    }
    for (const auto member : pool.m_members) {
      AddToWave(aIndex, member, aRule, wave);
    }
  }
  return wave;
}

void PlanWave(const MaintenanceRule& aRule, std::uint32_t aWidth, FleetIndex& aIndex,
              PlannerDecision& aDecision)
{
  Wave wave = CollectWave(aIndex, aRule);
  if (wave.m_unavailable >= aWidth || wave.m_due.empty() || wave.m_spansDomains) {
    return;
  }
  SortDue(aIndex, aRule.m_domain, wave);
  for (const auto each : wave.m_due) {
    if (wave.m_unavailable >= aWidth || aDecision.m_records.size() >= kMaxPlannedRecords) {
      return;
    }
    const IndexedInstance& instance = aIndex.m_instances[each];
    const auto domain = DomainNumber(instance, aRule.m_domain);
    if (wave.m_domain.value_or(domain) == domain &&
        ProposeDrain(aIndex, each, instance.m_pool, aDecision)) {
      ++wave.m_unavailable;
      wave.m_domain = domain;
    }
  }
}

/// \brief Instances that a pool needs above `instances`, so that one can leave within its budget.
std::uint32_t MissingHeadroom(const IndexedPool& aPool)
{
  const PoolRule& rule = *aPool.m_rule;
  const std::uint32_t lost =
    rule.m_tolerate == Domain::None ? 0 : LargestCount(aPool.m_servingByDomain);
  const std::uint32_t needed = rule.m_minAvailable + lost + 1;
  return needed > rule.m_instances ? needed - rule.m_instances : 0;
}

bool HasDue(const Rules& aRules, const FleetIndex& aIndex, const IndexedPool& aPool)
{
  return std::ranges::any_of(aRules.m_maintenance, [&](const auto& aRule) {
    return Matches(aRule.second, aPool.m_name) &&
           std::ranges::any_of(aPool.m_members, [&](std::uint32_t aMember) {
             return IsDue(aRule.second, *aIndex.m_instances[aMember].m_instance, aIndex.m_timeMs);
           });
  });
}

std::uint32_t SparePoolTargetCount(const PoolRule& aRule, const PlacementWeights& aWeights,
                                   std::uint32_t aSpareTarget)
{
  const std::uint32_t held = aRule.m_minAvailable + aSpareTarget;
  const bool fewMoves = aWeights.m_moves > std::max(aWeights.m_bufferCost, aWeights.m_rolloutTime);
  return fewMoves ? held : std::max(held, aRule.m_instances);
}

} // namespace

bool IsDue(const MaintenanceRule& aRule, const Instance& aInstance, Millis aTimeMs) noexcept
{
  return aInstance.m_maintainedMs + aRule.m_periodDays * kDayMs <= aTimeMs;
}

bool Matches(const MaintenanceRule& aRule, const PoolName& aPool)
{
  return aRule.m_pools.empty() || std::ranges::find(aRule.m_pools, aPool) != aRule.m_pools.end();
}

void SetTargetCounts(const FleetState& aState, const PlannerOptions& aOptions, FleetIndex& aIndex,
                     std::uint32_t aSpareTarget)
{
  const Rules& rules = *aState.m_rules;
  for (auto& pool : aIndex.m_pools) {
    if (pool.m_rule == nullptr) {
      continue;
    }
    if (pool.m_rule->m_spare) {
      pool.m_targetCount = SparePoolTargetCount(*pool.m_rule, rules.m_weights, aSpareTarget);
      continue;
    }
    pool.m_targetCount = pool.m_rule->m_instances + aOptions.m_reservePerPool;
    const std::uint32_t missing = MissingHeadroom(pool);
    if (missing > 0 && HasDue(rules, aIndex, pool)) {
      pool.m_targetCount = std::max(pool.m_targetCount, pool.m_rule->m_instances + missing);
    }
  }
}

void PlanWaves(const FleetState& aState, const PlannerOptions& aOptions, FleetIndex& aIndex,
               PlannerDecision& aDecision)
{
  for (const auto& [name, rule] : aState.m_rules->m_maintenance) {
    const std::uint32_t width =
      aOptions.m_wideWaves ? WaveWidth(rule, aState.m_rules->m_weights) : 1;
    PlanWave(rule, width, aIndex, aDecision);
  }
}

} // namespace pistachiostand
