#include "pistachiostand/fleet/CapacityPlan.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace pistachiostand::fleet {

namespace {

/// Spare capacity beyond the demand, for work that arrives while another instance is moving in.
constexpr double kHeadroom = 1.05;
constexpr double kHeadroomInstances = 1.0;
/// A queue's burst begins with a steep rise, so its demand is raised by half, but by at most
/// kMaxRiseShare of the fleet.
constexpr double kRiseShare = 0.5;
/// Largest share of the fleet that is reserved for the rise of one queue.
constexpr double kMaxRiseShare = 0.07;
/// Time to drain an instance before maintenance: the longest runs take about this long.
constexpr Millis kDrainMs = 2'500;
/// Time to evacuate the long-running runs of an instance, until they have started elsewhere.
constexpr Millis kEvacuationMs = 2'500;
/// Fewest instances of a pool whose long-running runs are evacuated at the same time.
constexpr std::uint32_t kMinEvacuating = 2;
/// One in this number of the instances that may be in maintenance at once is reserved for instances
/// that have to be evacuated first.
constexpr std::uint32_t kReservedDivisor = 4;
/// Share of the remaining time of a wave that the plan uses; the rest is a margin for faults.
constexpr double kWaveTimeShare = 0.6;
/// Maintenance takes at most this fraction of a pool's instances at a time while there is time
/// left.
constexpr std::uint32_t kPoolShareDivisor = 3;
/// With less time left, maintenance also takes instances from pools that need them: the longest
/// runs take 5 s to end, a change of owner takes 2 s, and runs that remain at the end are stopped.
constexpr Millis kLateWaveMs = 9'000;
/// With less time left, maintenance also takes instances that still have short runs, because these
/// can be repeated elsewhere.
constexpr Millis kForcedMaintenanceMs = 3'000;

struct PoolCount
{
  std::uint32_t m_present{};   ///< In the pool or moving to it, and not withdrawn.
  std::uint32_t m_usable{};    ///< Those of them that accept work.
  std::uint32_t m_withdrawn{}; ///< Cordoned or in maintenance.
};

std::map<PoolName, PoolCount> CountPools(const std::vector<InstanceView>& aInstances)
{
  std::map<PoolName, PoolCount> counts;
  for (const auto& instance : aInstances) {
    auto& count = counts[instance.m_pool];
    const bool withdrawn = instance.m_cordoned || instance.m_inMaintenance;
    ++(withdrawn ? count.m_withdrawn : count.m_present);
    count.m_usable += !withdrawn && instance.m_usable ? 1 : 0;
  }
  return counts;
}

std::uint32_t ValueOrZero(const std::map<PoolName, std::uint32_t>& aValues, const PoolName& aPool)
{
  const auto found = aValues.find(aPool);
  return found == aValues.end() ? 0 : found->second;
}

/// \brief Selects the instances that one wave cordons or starts now, within its limits.
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
      m_inMaintenance += instance.m_inMaintenance ? 1 : 0;
      m_busy +=
        instance.m_inMaintenance || (instance.m_cordoned && instance.m_longRunning == 0) ? 1 : 0;
      if (aWave.m_due.contains(instance.m_id) && instance.m_up) {
        m_due.push_back(&instance);
      }
    }
    std::ranges::sort(m_due, {}, [](const InstanceView* aInstance) {
      // Instances whose steps take the most rounds to evacuate begin first.
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
  /// \brief The part of the remaining time that the plan uses.
  [[nodiscard]] double PlannedMs() const
  {
    return std::max(kWaveTimeShare * static_cast<double>(m_leftMs), 1.0);
  }

  void StartMaintenance()
  {
    for (const auto* instance : m_due) {
      const bool forced = instance->m_longRunning == 0 && m_leftMs < kForcedMaintenanceMs;
      if (instance->m_cordoned && (instance->m_runs == 0 || forced) &&
          m_inMaintenance < m_wave.m_maxAtOnce) {
        m_plan.m_maintenance.push_back({ instance->m_id, m_wave.m_number });
        ++m_inMaintenance;
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

  /// \brief Cordons instances with long-running subtasks. A step may lose only a few subtasks at a
  /// time, so these instances begin first, and several at once: a single one does not use up the
  /// number of subtasks that its steps may lose.
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

  /// \brief Number of instances at a time that lets the wave end within PlannedMs().
  [[nodiscard]] double RequiredConcurrency() const
  {
    return static_cast<double>(m_wave.m_due.size()) *
           static_cast<double>(kDrainMs + m_input.m_maintenanceMs) / PlannedMs();
  }

  /// \brief True when the wave can no longer wait for pools that need their instances.
  [[nodiscard]] bool IsLate() const
  {
    return RequiredConcurrency() > m_wave.m_maxAtOnce || m_leftMs < kLateWaveMs;
  }

  /// \brief Number of instances that the pool needs, or needed within kMaintenanceHoldMs.
  [[nodiscard]] std::uint32_t Needed(const PoolName& aPool) const
  {
    return std::max(ValueOrZero(m_input.m_wanted, aPool),
                    ValueOrZero(m_input.m_recentMaxWanted, aPool));
  }

  /// \brief Number of instances that other pools lack and would get from the spare pool.
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

  /// \brief Cordons instances of the spare pool. They run no work, so as many go at a time as the
  /// limit allows. A part of the limit is reserved for evacuated instances, and the number that
  /// other pools lack stays available while there is time.
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
  std::uint32_t m_inMaintenance{}; ///< In maintenance.
  std::uint32_t m_busy{}; ///< In maintenance, or draining for it without long-running runs.
  std::vector<const InstanceView*> m_due;
};

/// \brief Instances that pools do not need, by whether they can move at once.
struct Surplus
{
  std::vector<const InstanceView*> m_free; ///< Without runs.
  std::vector<const InstanceView*> m_busy; ///< With short runs; must be drained first.
};

bool IsUnavailable(const InstanceView& aInstance, const CapacityPlan& aPlan)
{
  return !aInstance.m_up || aInstance.m_cordoned ||
         std::ranges::find(aPlan.m_cordon, aInstance.m_id) != aPlan.m_cordon.end();
}

/// \brief Returns what each pool has beyond `aKept`, the instances with the fewest runs first.
Surplus FindSurplus(const CapacityInput& aInput, const std::map<PoolName, std::uint32_t>& aKept,
                    const CapacityPlan& aPlan, std::map<PoolName, PoolCount>& aCounts)
{
  std::vector<const InstanceView*> candidates;
  for (const auto& instance : aInput.m_instances) {
    if (!IsUnavailable(instance, aPlan) && instance.m_longRunning == 0) {
      candidates.push_back(&instance);
    }
  }
  // Instances of the spare pool come first, because no other pool loses capacity by that. Instances
  // due for maintenance come last, because they would soon have to be drained again.
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
    // An instance that is still moving in may never arrive, so only usable instances count as a
    // replacement for another.
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

/// \brief Returns the number of instances that each pool lacks.
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
  // Each instance goes to the pool with the largest deficit, so that no pool takes all.
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
  auto remainingCounts = aCounts;
  AssignSurplus(FindDeficits(aInput, aInput.m_wanted, aCounts),
                FindSurplus(aInput, aInput.m_wanted, aPlan, remainingCounts), aPlan, aCounts,
                moved);
  auto wantedWithExtra = aInput.m_wanted;
  for (const auto& [pool, extra] : aInput.m_wantedForLateWork) {
    wantedWithExtra[pool] += extra;
  }
  remainingCounts = aCounts;
  auto surplus = FindSurplus(aInput, wantedWithExtra, aPlan, remainingCounts);
  surplus.m_busy.clear();
  std::erase_if(surplus.m_free, [&moved](const InstanceView* aInstance) {
    return moved.contains(aInstance->m_id);
  });
  AssignSurplus(FindDeficits(aInput, wantedWithExtra, aCounts), surplus, aPlan, aCounts, moved);
  if (aInput.m_keepIdle) {
    return;
  }
  // Instances that no pool needs are switched off.
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
