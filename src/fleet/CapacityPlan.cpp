#include "pistachiostand/fleet/CapacityPlan.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace pistachiostand::fleet {

namespace {

/// A demand counts this long after it was seen; a queue's pauses within its turn are shorter.
constexpr Millis kHoldMs = 1'000;
/// Room beyond the demand, for what arrives while another instance is on its way.
constexpr double kHeadroom = 1.05;
constexpr double kHeadroomInstances = 1.0;
/// A queue's turn begins with a steep rise, so a small demand gets half as much again.
constexpr double kRiseShare = 0.5;
/// Most of the fleet that is held for the rise of one queue.
constexpr double kMaxRiseShare = 0.07;
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
  std::uint32_t down =
    static_cast<std::uint32_t>(std::ranges::count_if(aInput.m_instances, &InstanceView::m_down));
  for (const auto* instance : due) {
    const bool empty = instance->m_runs == 0;
    const bool last = instance->m_lasting == 0 && left < kLastMomentMs;
    if (instance->m_cordoned && (empty || last) && down < aWave.m_maxAtOnce) {
      aPlan.m_maintenance.push_back({ instance->m_id, aWave.m_number });
      ++down;
    }
  }
  // As many at a time as let the wave end within its part of the time.
  const double pace = static_cast<double>(aWave.m_due.size()) *
                      static_cast<double>(kEmptyMs + aInput.m_maintenanceMs) /
                      std::max(kWaveTimeShare * static_cast<double>(left), 1.0);
  const bool late = pace > aWave.m_maxAtOnce;
  const auto allowed =
    late ? aWave.m_maxAtOnce
         : std::min(aWave.m_maxAtOnce, static_cast<std::uint32_t>(std::ceil(pace)) + 1);
  // Lasting subtasks leave one after the other, so their instances are begun first, one for each
  // pool. The others go by how little runs on them.
  std::set<PoolName> emptying;
  for (const auto* instance : due) {
    if (instance->m_cordoned && instance->m_lasting != 0) {
      emptying.insert(instance->m_pool);
    }
  }
  std::ranges::sort(due, {}, [&](const InstanceView* aInstance) {
    return std::tuple{ aInstance->m_lasting == 0, aInstance->m_pool != aInput.m_spare,
                       aInstance->m_runs, aInstance->m_id };
  });
  for (const auto* instance : due) {
    auto& count = aCounts[instance->m_pool];
    const std::uint32_t share = std::max(1U, (count.m_present + count.m_taken) / kPoolShare);
    const auto wanted = aInput.m_wanted.find(instance->m_pool);
    const bool needed = wanted != aInput.m_wanted.end() && count.m_present <= wanted->second;
    const bool spare = instance->m_pool == aInput.m_spare;
    const bool lasting = instance->m_lasting != 0;
    if (instance->m_cordoned || busy >= allowed ||
        (lasting && !late && emptying.contains(instance->m_pool)) ||
        (!lasting && !spare && !late && (needed || count.m_taken >= share))) {
      continue;
    }
    if (lasting) {
      emptying.insert(instance->m_pool);
    }
    aPlan.m_cordon.push_back(instance->m_id);
    ++busy;
    ++count.m_taken;
    --count.m_present;
  }
}

/// \brief Instances that pools have beyond what they want, by how they can be had.
struct Surplus
{
  std::vector<const InstanceView*> m_free; ///< Without runs.
  std::vector<const InstanceView*> m_busy; ///< With runs that end soon.
};

bool IsTaken(const InstanceView& aInstance, const CapacityPlan& aPlan)
{
  return !aInstance.m_up || aInstance.m_cordoned ||
         std::ranges::find(aPlan.m_cordon, aInstance.m_id) != aPlan.m_cordon.end();
}

std::uint32_t ValueOr(const std::map<PoolName, std::uint32_t>& aValues, const PoolName& aPool)
{
  const auto found = aValues.find(aPool);
  return found == aValues.end() ? 0 : found->second;
}

/// \brief What each pool can spare beyond `aKept`, the emptiest instances first.
Surplus FindSurplus(const CapacityInput& aInput, const std::map<PoolName, std::uint32_t>& aKept,
                    const CapacityPlan& aPlan, std::map<PoolName, PoolCount>& aCounts)
{
  std::vector<const InstanceView*> candidates;
  for (const auto& instance : aInput.m_instances) {
    if (!IsTaken(instance, aPlan) && instance.m_lasting == 0) {
      candidates.push_back(&instance);
    }
  }
  // Those of the spare pool cost nothing where they are; an instance that is due for maintenance
  // would soon have to be emptied again.
  std::set<InstanceId> dueSoon;
  for (const auto& wave : aInput.m_waves) {
    dueSoon.insert(wave.m_due.begin(), wave.m_due.end());
  }
  std::ranges::sort(candidates, {}, [&](const InstanceView* aInstance) {
    return std::tuple{ aInstance->m_pool != aInput.m_spare, aInstance->m_runs,
                       dueSoon.contains(aInstance->m_id), aInstance->m_id };
  });
  Surplus surplus;
  for (const auto* instance : candidates) {
    auto& count = aCounts[instance->m_pool];
    if (instance->m_pool != aInput.m_spare && count.m_present <= ValueOr(aKept, instance->m_pool)) {
      continue;
    }
    if (instance->m_pool != aInput.m_spare && !instance->m_usable) {
      continue; // On its way in.
    }
    --count.m_present;
    (instance->m_runs == 0 ? surplus.m_free : surplus.m_busy).push_back(instance);
  }
  return surplus;
}

/// \brief Pools that lack instances, with how many.
std::map<PoolName, std::uint32_t> FindDeficits(const CapacityInput& aInput,
                                               const std::map<PoolName, std::uint32_t>& aWanted,
                                               const std::map<PoolName, PoolCount>& aCounts)
{
  std::map<PoolName, std::uint32_t> deficits;
  for (const auto& [pool, wanted] : aWanted) {
    const auto count = aCounts.find(pool);
    const std::uint32_t present = count == aCounts.end() ? 0 : count->second.m_present;
    if (pool != aInput.m_spare && present < wanted) {
      deficits[pool] = wanted - present;
    }
  }
  return deficits;
}

void Fill(std::map<PoolName, std::uint32_t> aDeficits, Surplus aSurplus, CapacityPlan& aPlan,
          std::map<PoolName, PoolCount>& aCounts, std::set<InstanceId>& aMoved)
{
  auto next = aSurplus.m_free.begin();
  // One at a time for each pool, the largest lack first, so that no pool takes all.
  while (next != aSurplus.m_free.end()) {
    const auto most =
      std::ranges::max_element(aDeficits, {}, [](const auto& aDeficit) { return aDeficit.second; });
    if (most == aDeficits.end() || most->second == 0) {
      return;
    }
    aPlan.m_moves.push_back({ (*next)->m_id, most->first });
    aMoved.insert((*next)->m_id);
    ++aCounts[most->first].m_present;
    --aCounts[(*next)->m_pool].m_present;
    --most->second;
    ++next;
  }
  std::uint32_t lacking = 0;
  for (const auto& [pool, count] : aDeficits) {
    lacking += count;
  }
  for (const auto* instance : aSurplus.m_busy) {
    if (lacking == 0) {
      return;
    }
    aPlan.m_release.push_back(instance->m_id);
    --lacking;
  }
}

void PlanMoves(const CapacityInput& aInput, std::map<PoolName, PoolCount> aCounts,
               CapacityPlan& aPlan)
{
  std::set<InstanceId> moved;
  auto left = aCounts;
  Fill(FindDeficits(aInput, aInput.m_wanted, aCounts),
       FindSurplus(aInput, aInput.m_wanted, aPlan, left), aPlan, aCounts, moved);
  auto wantedWithExtra = aInput.m_wanted;
  for (const auto& [pool, extra] : aInput.m_extra) {
    wantedWithExtra[pool] += extra;
  }
  left = aCounts;
  auto surplus = FindSurplus(aInput, wantedWithExtra, aPlan, left);
  surplus.m_busy.clear();
  std::erase_if(surplus.m_free, [&moved](const InstanceView* aInstance) {
    return moved.contains(aInstance->m_id);
  });
  Fill(FindDeficits(aInput, wantedWithExtra, aCounts), surplus, aPlan, aCounts, moved);
  // What no pool needs is switched off.
  for (const auto* instance : surplus.m_free) {
    if (instance->m_pool != aInput.m_spare && !aInput.m_spare.empty() &&
        !moved.contains(instance->m_id)) {
      aPlan.m_moves.push_back({ instance->m_id, aInput.m_spare });
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
  PlanMoves(aInput, std::move(counts), plan);
  return plan;
}

std::uint32_t DemandFollower::Update(double aSteady, double aInstances, std::size_t aFleet,
                                     Millis aNowMs)
{
  std::erase_if(m_recent, [&](const Sample& aSample) {
    return aSample.m_instances <= aInstances || aNowMs - aSample.m_atMs > kHoldMs;
  });
  m_recent.push_back({ aInstances, aNowMs });
  const double highest = m_recent.front().m_instances;
  return static_cast<std::uint32_t>(
    std::ceil(aSteady + highest * kHeadroom +
              std::min(highest * kRiseShare, kMaxRiseShare * static_cast<double>(aFleet)) +
              kHeadroomInstances));
}

} // namespace pistachiostand::fleet
