#include "pistachiostand/fleet/CapacityPlan.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace pistachiostand::fleet {

namespace {

/// Room beyond the demand, for what arrives while another instance is on its way.
constexpr double kHeadroom = 1.05;
constexpr double kHeadroomInstances = 1.0;
/// A queue's turn begins with a steep rise, so a small demand gets half as much again.
constexpr double kRiseShare = 0.5;
/// Most of the fleet that is held for the rise of one queue.
constexpr double kMaxRiseShare = 0.07;
/// Time to empty an instance before maintenance: the longest runs take about this long.
constexpr Millis kDrainMs = 2'500;
/// Time to empty an instance of its lasting runs, with the time until they are at work elsewhere.
constexpr Millis kEvacuationMs = 2'500;
/// Fewest instances of a pool that are emptied of lasting runs at the same time.
constexpr std::uint32_t kMinEvacuating = 2;
/// One in so many of those that may be down at once is left to instances that have been emptied.
constexpr std::uint32_t kReservedDivisor = 4;
/// Part of the time of a wave that the plan uses; the rest is for faults.
constexpr double kWaveTimeShare = 0.6;
/// Part of a pool's instances that maintenance may take at a time while there is time left.
constexpr std::uint32_t kPoolShareDivisor = 3;
/// With less time than this left, instances are taken from pools that need them too: the longest
/// runs take 5 s to end, a change of owner 2 s, and what still runs at the last moment is stopped.
constexpr Millis kLateWaveMs = 9'000;
/// With less time than this left, an instance with runs that could be repeated goes down too.
constexpr Millis kForcedMaintenanceMs = 3'000;

struct PoolCount
{
  std::uint32_t m_present{};   ///< In the pool, or on the way to it, and not taken for maintenance.
  std::uint32_t m_usable{};    ///< The part of these that takes work.
  std::uint32_t m_withdrawn{}; ///< Cordoned or in maintenance.
};

std::map<PoolName, PoolCount> CountPools(const std::vector<InstanceView>& aInstances)
{
  std::map<PoolName, PoolCount> counts;
  for (const auto& instance : aInstances) {
    auto& count = counts[instance.m_pool];
    const bool taken = instance.m_cordoned || instance.m_down;
    ++(taken ? count.m_withdrawn : count.m_present);
    count.m_usable += !taken && instance.m_usable ? 1 : 0;
  }
  return counts;
}

std::uint32_t ValueOrZero(const std::map<PoolName, std::uint32_t>& aValues, const PoolName& aPool)
{
  const auto found = aValues.find(aPool);
  return found == aValues.end() ? 0 : found->second;
}

/// \brief Instances that a wave may order now, and what bounds them.
class WavePlanner
{
public:
  WavePlanner(const CapacityInput& aInput, const WaveView& aWave,
              std::map<PoolName, PoolCount>& aCounts, CapacityPlan& aPlan)
    : m_input(aInput)
    , m_wave(aWave)
    , m_counts(aCounts)
    , m_plan(aPlan)
    , m_leftMs(aWave.m_endMs - aInput.m_nowMs)
  {
    for (const auto& instance : aInput.m_instances) {
      m_down += instance.m_down ? 1 : 0;
      m_busy += instance.m_down || (instance.m_cordoned && instance.m_longRunning == 0) ? 1 : 0;
      if (aWave.m_due.contains(instance.m_id) && instance.m_up) {
        m_due.push_back(&instance);
      }
    }
    std::ranges::sort(m_due, {}, [](const InstanceView* aInstance) {
      // The steps that take the longest to leave begin first.
      return std::tuple{ -aInstance->m_evacuationRounds, aInstance->m_runs, aInstance->m_id };
    });
  }

  void Plan()
  {
    StartMaintenance();
    if (m_input.m_keepIdle && !IsLate()) {
      return;
    }
    CordonLongRunning();
    CordonSpare();
    CordonOthers();
  }

private:
  /// \brief Time that the plan uses of what is left.
  [[nodiscard]] double PlannedMs() const
  {
    return std::max(kWaveTimeShare * static_cast<double>(m_leftMs), 1.0);
  }

  void StartMaintenance()
  {
    for (const auto* instance : m_due) {
      const bool last = instance->m_longRunning == 0 && m_leftMs < kForcedMaintenanceMs;
      if (instance->m_cordoned && (instance->m_runs == 0 || last) && m_down < m_wave.m_maxAtOnce) {
        m_plan.m_maintenance.push_back({ instance->m_id, m_wave.m_number });
        ++m_down;
      }
    }
  }

  void Cordon(const InstanceView& aInstance)
  {
    m_plan.m_cordon.push_back(aInstance.m_id);
    auto& count = m_counts[aInstance.m_pool];
    ++count.m_withdrawn;
    --count.m_present;
    count.m_usable -= aInstance.m_usable ? 1 : 0;
  }

  /// \brief Lasting subtasks leave a few at a time for each step, so their instances are begun
  /// first, and several at once: one alone does not use up what its steps may miss.
  void CordonLongRunning()
  {
    std::map<PoolName, std::uint32_t> due;
    std::map<PoolName, std::uint32_t> evacuating;
    for (const auto* instance : m_due) {
      if (instance->m_longRunning != 0) {
        ++(instance->m_cordoned ? evacuating : due)[instance->m_pool];
      }
    }
    for (const auto* instance : m_due) {
      if (instance->m_longRunning == 0 || instance->m_cordoned) {
        continue;
      }
      const auto needed =
        static_cast<std::uint32_t>(std::ceil(static_cast<double>(due[instance->m_pool]) *
                                             static_cast<double>(kEvacuationMs) / PlannedMs()));
      if (evacuating[instance->m_pool] < std::max(needed + 1, kMinEvacuating)) {
        ++evacuating[instance->m_pool];
        Cordon(*instance);
      }
    }
  }

  /// \brief Instances at a time that let the wave end within its part of the time.
  [[nodiscard]] double RequiredConcurrency() const
  {
    return static_cast<double>(m_wave.m_due.size()) *
           static_cast<double>(kDrainMs + m_input.m_maintenanceMs) / PlannedMs();
  }

  /// \brief True when the wave can wait for no pool any more.
  [[nodiscard]] bool IsLate() const
  {
    return RequiredConcurrency() > m_wave.m_maxAtOnce || m_leftMs < kLateWaveMs;
  }

  /// \brief Instances that the pool needs, or has just needed.
  [[nodiscard]] std::uint32_t Needed(const PoolName& aPool) const
  {
    return std::max(ValueOrZero(m_input.m_wanted, aPool),
                    ValueOrZero(m_input.m_recentMaxWanted, aPool));
  }

  /// \brief Instances that other pools lack, and would get from the spare pool.
  [[nodiscard]] std::uint32_t TotalDeficit() const
  {
    std::uint32_t deficit = 0;
    for (const auto& [pool, wanted] : m_input.m_wanted) {
      const std::uint32_t needed = Needed(pool);
      const auto count = m_counts.find(pool);
      const std::uint32_t present = count == m_counts.end() ? 0 : count->second.m_present;
      deficit += needed > present ? needed - present : 0;
    }
    return deficit;
  }

  /// \brief Instances of the spare pool serve nobody, so they go as many at a time as may. A part
  /// of the limit is left to those that have been emptied, and those that other pools lack stay
  /// while there is time.
  void CordonSpare()
  {
    const auto most = m_wave.m_maxAtOnce - m_wave.m_maxAtOnce / kReservedDivisor;
    const std::uint32_t kept = IsLate() ? 0 : TotalDeficit();
    for (const auto* instance : m_due) {
      if (instance->m_pool == m_input.m_spare && !instance->m_cordoned &&
          instance->m_longRunning == 0 && m_busy < most &&
          m_counts[instance->m_pool].m_present > kept) {
        ++m_busy;
        Cordon(*instance);
      }
    }
  }

  void CordonOthers()
  {
    const bool late = IsLate();
    const auto allowed =
      late ? m_wave.m_maxAtOnce
           : std::min(m_wave.m_maxAtOnce,
                      static_cast<std::uint32_t>(std::ceil(RequiredConcurrency())) + 1);
    for (const auto* instance : m_due) {
      auto& count = m_counts[instance->m_pool];
      const std::uint32_t share =
        std::max(1U, (count.m_present + count.m_withdrawn) / kPoolShareDivisor);
      const bool needed =
        m_input.m_wanted.contains(instance->m_pool) && count.m_present <= Needed(instance->m_pool);
      if (instance->m_cordoned || instance->m_longRunning != 0 ||
          instance->m_pool == m_input.m_spare || m_busy >= allowed ||
          (!late && (needed || count.m_withdrawn >= share))) {
        continue;
      }
      ++m_busy;
      Cordon(*instance);
    }
  }

  const CapacityInput& m_input;
  const WaveView& m_wave;
  std::map<PoolName, PoolCount>& m_counts;
  CapacityPlan& m_plan;
  Millis m_leftMs{};
  std::uint32_t m_down{}; ///< In maintenance.
  std::uint32_t m_busy{}; ///< In maintenance, or emptied for it without lasting runs.
  std::vector<const InstanceView*> m_due;
};

/// \brief Instances that pools have beyond what they want, by how they can be had.
struct Surplus
{
  std::vector<const InstanceView*> m_free; ///< Without runs.
  std::vector<const InstanceView*> m_busy; ///< With runs that end soon.
};

bool IsUnavailable(const InstanceView& aInstance, const CapacityPlan& aPlan)
{
  return !aInstance.m_up || aInstance.m_cordoned ||
         std::ranges::find(aPlan.m_cordon, aInstance.m_id) != aPlan.m_cordon.end();
}

/// \brief What each pool can spare beyond `aKept`, the emptiest instances first.
Surplus FindSurplus(const CapacityInput& aInput, const std::map<PoolName, std::uint32_t>& aKept,
                    const CapacityPlan& aPlan, std::map<PoolName, PoolCount>& aCounts)
{
  std::vector<const InstanceView*> candidates;
  for (const auto& instance : aInput.m_instances) {
    if (!IsUnavailable(instance, aPlan) && instance.m_longRunning == 0) {
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
    const std::uint32_t kept = ValueOrZero(aKept, instance->m_pool);
    // Those on their way in may never come, so only what takes work stands in for another.
    if (instance->m_pool != aInput.m_spare &&
        (!instance->m_usable || std::min(count.m_present, count.m_usable) <= kept)) {
      continue;
    }
    --count.m_present;
    count.m_usable -= instance->m_usable ? 1 : 0;
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

void AssignSurplus(std::map<PoolName, std::uint32_t> aDeficits, Surplus aSurplus,
                   CapacityPlan& aPlan, std::map<PoolName, PoolCount>& aCounts,
                   std::set<InstanceId>& aMoved)
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
  std::uint32_t deficit = 0;
  for (const auto& [pool, count] : aDeficits) {
    deficit += count;
  }
  for (const auto* instance : aSurplus.m_busy) {
    if (deficit == 0) {
      return;
    }
    aPlan.m_toDrain.push_back(instance->m_id);
    --deficit;
  }
}

void PlanMoves(const CapacityInput& aInput, std::map<PoolName, PoolCount> aCounts,
               CapacityPlan& aPlan)
{
  std::set<InstanceId> moved;
  auto left = aCounts;
  AssignSurplus(FindDeficits(aInput, aInput.m_wanted, aCounts),
                FindSurplus(aInput, aInput.m_wanted, aPlan, left), aPlan, aCounts, moved);
  auto wantedWithExtra = aInput.m_wanted;
  for (const auto& [pool, extra] : aInput.m_wantedForLateWork) {
    wantedWithExtra[pool] += extra;
  }
  left = aCounts;
  auto surplus = FindSurplus(aInput, wantedWithExtra, aPlan, left);
  surplus.m_busy.clear();
  std::erase_if(surplus.m_free, [&moved](const InstanceView* aInstance) {
    return moved.contains(aInstance->m_id);
  });
  AssignSurplus(FindDeficits(aInput, wantedWithExtra, aCounts), surplus, aPlan, aCounts, moved);
  if (aInput.m_keepIdle) {
    return;
  }
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
    WavePlanner{ aInput, wave, counts, plan }.Plan();
  }
  PlanMoves(aInput, std::move(counts), plan);
  return plan;
}

std::uint32_t DemandTracker::Update(double aSteady, double aInstances, std::size_t aFleet,
                                    Millis aNowMs)
{
  const double highest = m_highest.Update(aInstances, aNowMs);
  return static_cast<std::uint32_t>(
    std::ceil(aSteady + highest * kHeadroom +
              std::min(highest * kRiseShare, kMaxRiseShare * static_cast<double>(aFleet)) +
              kHeadroomInstances));
}

} // namespace pistachiostand::fleet
