#include "pistachiostand/fleet/CapacityPlan.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace pistachiostand::fleet {

namespace {

/// A demand counts this long after it was seen; a queue's pauses within its turn are shorter.
constexpr Millis kHoldMs = 2'500;
/// Room beyond the demand, for what arrives while another instance is on its way.
constexpr double kHeadroom = 1.25;
constexpr double kHeadroomInstances = 1.0;
/// Time to empty an instance before maintenance: the longest runs take about this long.
constexpr Millis kEmptyMs = 2'500;
/// Part of the time of a wave that the plan uses; the rest is for faults.
constexpr double kWaveTimeShare = 0.6;
/// Part of a pool's instances that maintenance may take at a time while there is time left.
constexpr std::uint32_t kPoolShare = 3;
/// With less time than this left, an instance with runs that could be repeated goes down too.
constexpr Millis kLastMomentMs = 3'000;

struct PoolCount
{
  std::uint32_t m_present{}; ///< In the pool, or on the way to it, and not taken for maintenance.
  std::uint32_t m_taken{};   ///< Cordoned or in maintenance.
};

std::map<PoolName, PoolCount> CountPools(const std::vector<InstanceView>& aInstances)
{
  std::map<PoolName, PoolCount> counts;
  for (const auto& instance : aInstances) {
    auto& count = counts[instance.m_pool];
    ++(instance.m_cordoned || instance.m_down ? count.m_taken : count.m_present);
  }
  return counts;
}

void PlanWave(const CapacityInput& aInput, const WaveView& aWave,
              std::map<PoolName, PoolCount>& aCounts, CapacityPlan& aPlan)
{
  std::vector<const InstanceView*> due;
  std::uint32_t busy = 0;
  for (const auto& instance : aInput.m_instances) {
    busy += instance.m_down || instance.m_cordoned ? 1 : 0;
    if (aWave.m_due.contains(instance.m_id) && instance.m_up) {
      due.push_back(&instance);
    }
  }
  const Millis left = aWave.m_endMs - aInput.m_nowMs;
  std::uint32_t down = static_cast<std::uint32_t>(
    std::ranges::count_if(aInput.m_instances, &InstanceView::m_down));
  for (const auto* instance : due) {
    const bool empty = instance->m_runs == 0;
    const bool last = instance->m_lasting == 0 && left < kLastMomentMs;
    if (instance->m_cordoned && (empty || last) && down < aWave.m_maxAtOnce) {
      aPlan.m_maintenance.push_back({ instance->m_id, aWave.m_number });
      ++down;
    }
  }
  const double rounds = std::ceil(static_cast<double>(aWave.m_due.size()) / aWave.m_maxAtOnce);
  const bool late = rounds * static_cast<double>(kEmptyMs + aInput.m_maintenanceMs) >
                    kWaveTimeShare * static_cast<double>(left);
  std::ranges::sort(due, {}, [&aInput](const InstanceView* aInstance) {
    return std::tuple{ aInstance->m_pool != aInput.m_spare, aInstance->m_runs, aInstance->m_id };
  });
  for (const auto* instance : due) {
    auto& count = aCounts[instance->m_pool];
    const std::uint32_t share = std::max(1U, (count.m_present + count.m_taken) / kPoolShare);
    const auto wanted = aInput.m_wanted.find(instance->m_pool);
    const bool needed = wanted != aInput.m_wanted.end() && count.m_present <= wanted->second;
    const bool spare = instance->m_pool == aInput.m_spare;
    if (instance->m_cordoned || busy >= aWave.m_maxAtOnce ||
        (!spare && !late && (needed || count.m_taken >= share))) {
      continue;
    }
    aPlan.m_cordon.push_back(instance->m_id);
    ++busy;
    ++count.m_taken;
    --count.m_present;
  }
}

bool IsFree(const InstanceView& aInstance, const CapacityPlan& aPlan)
{
  return aInstance.m_up && !aInstance.m_cordoned && aInstance.m_runs == 0 &&
         std::ranges::find(aPlan.m_cordon, aInstance.m_id) == aPlan.m_cordon.end();
}

/// \brief Instances without runs that a pool can give away, those of the spare pool first.
std::vector<const InstanceView*> Sources(const CapacityInput& aInput,
                                         std::map<PoolName, PoolCount> aCounts,
                                         const CapacityPlan& aPlan)
{
  std::vector<const InstanceView*> sources;
  for (const auto& instance : aInput.m_instances) {
    if (!IsFree(instance, aPlan)) {
      continue;
    }
    const auto wanted = aInput.m_wanted.find(instance.m_pool);
    auto& count = aCounts[instance.m_pool];
    const bool spare = instance.m_pool == aInput.m_spare;
    if (!spare && (wanted == aInput.m_wanted.end() || count.m_present <= wanted->second)) {
      continue;
    }
    --count.m_present;
    sources.push_back(&instance);
  }
  std::ranges::stable_sort(sources, {}, [&aInput](const InstanceView* aInstance) {
    return aInstance->m_pool != aInput.m_spare;
  });
  return sources;
}

void PlanMoves(const CapacityInput& aInput, const std::map<PoolName, PoolCount>& aCounts,
               CapacityPlan& aPlan)
{
  const auto sources = Sources(aInput, aCounts, aPlan);
  auto next = sources.begin();
  for (const auto& [pool, wanted] : aInput.m_wanted) {
    if (pool == aInput.m_spare) {
      continue;
    }
    const auto count = aCounts.find(pool);
    std::uint32_t present = count == aCounts.end() ? 0 : count->second.m_present;
    for (; present < wanted && next != sources.end(); ++next, ++present) {
      aPlan.m_moves.push_back({ (*next)->m_id, pool });
    }
  }
  // What no pool needs is switched off.
  for (; next != sources.end() && !aInput.m_spare.empty(); ++next) {
    if ((*next)->m_pool != aInput.m_spare && (*next)->m_usable) {
      aPlan.m_moves.push_back({ (*next)->m_id, aInput.m_spare });
    }
  }
}

} // namespace

CapacityPlan PlanCapacity(const CapacityInput& aInput)
{
  CapacityPlan plan;
  auto counts = CountPools(aInput.m_instances);
  for (const auto& wave : aInput.m_waves) {
    PlanWave(aInput, wave, counts, plan);
  }
  PlanMoves(aInput, counts, plan);
  return plan;
}

std::uint32_t DemandFollower::Update(double aInstances, Millis aNowMs)
{
  std::erase_if(m_recent, [&](const Sample& aSample) {
    return aSample.m_instances <= aInstances || aNowMs - aSample.m_atMs > kHoldMs;
  });
  m_recent.push_back({ aInstances, aNowMs });
  const double highest = m_recent.front().m_instances;
  return static_cast<std::uint32_t>(std::ceil(highest * kHeadroom + kHeadroomInstances));
}

} // namespace pistachiostand::fleet
