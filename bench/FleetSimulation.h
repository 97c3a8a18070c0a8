#pragma once

#include "pistachiostand/process/FleetPlanner.h"
#include "pistachiostand/process/Fold.h"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <deque>
#include <random>
#include <unordered_map>
#include <vector>

/// \file
/// \brief Runs the planner and the fold against a small simulated platform, in virtual time.

namespace pistachiostand::bench {

inline constexpr Millis kSecondMs = 1'000;
inline constexpr Millis kMinuteMs = 60 * kSecondMs;
inline constexpr Millis kHourMs = 60 * kMinuteMs;
inline constexpr Millis kDayMs = 24 * kHourMs;
inline constexpr Millis kStepMs = 10 * kSecondMs;
inline constexpr Millis kStartMs = 100 * kDayMs;
inline constexpr std::uint32_t kRackSize = 4;

/// \brief Actual state of a backend server; the instance list shows it with a delay.
struct Machine
{
  ListedInstance m_listed;
  Epoch m_lastDrain{};    ///< Epoch of the last executed drain; repeated orders have no effect.
  Epoch m_lastReboot{};   ///< Epoch of the last executed reboot.
  Millis m_downUntilMs{}; ///< End of the current reboot or failure.
  Millis m_busyUntilMs{}; ///< End of the requests in flight at a drain.
  std::uint32_t m_boots{ 1 };
  bool m_failed{}; ///< Down because of an unplanned failure.
};

struct Measures
{
  /// Instance-hours above promised sizes; in the spare pool, above min_available.
  double m_reserveHours{};
  double m_waveHours{ -1 }; ///< Negative: not finished.
  /// From the disturbance until every pool has its promised instances; negative: not reached.
  double m_restoreHours{ -1 };
  /// Pool-minutes below min_available that failures alone do not explain.
  double m_plannedBelowMin{};
  /// Pool-minutes below min_available that would not occur without the failures.
  double m_failureBelowMin{};
  std::uint32_t m_moves{};
  std::uint32_t m_reboots{}; ///< Accepted drains; each leads to a reboot.
  std::uint32_t m_refused{}; ///< Records of the racing planners that the fold refused.
  double m_planMs{};         ///< Mean CPU time of a planner call.
  double m_maxPlanMs{};
};

struct Simulation
{
  FleetState m_state;
  std::vector<Machine> m_machines;
  std::unordered_map<InstanceId, std::size_t> m_byId;
  std::deque<std::vector<ListedInstance>> m_lists; ///< Newest last.
  PlannerMemory m_memory;
  PlannerMemory m_secondPlannerMemory;
  PlannerOptions m_options;
  std::mt19937_64 m_random;
  Millis m_nowMs{ kStartMs };
  double m_failuresPerHour{}; ///< Failures of single instances in the whole fleet.
  std::uint32_t m_plans{};
  Measures m_measures;
};

inline double Uniform(Simulation& aSim, double aLow, double aHigh)
{
  return std::uniform_real_distribution<double>{ aLow, aHigh }(aSim.m_random);
}

inline bool Apply(Simulation& aSim, const RecordBody& aBody)
{
  const Offset offset = aSim.m_state.m_nextOffset;
  return pistachiostand::Apply(aSim.m_state, offset, Record{ offset + 1, "bench", aBody })
    .Accepted();
}

inline void AddMachine(Simulation& aSim, std::uint32_t aZones, const PoolName& aPool)
{
  const auto index = static_cast<std::uint32_t>(aSim.m_machines.size());
  const std::uint32_t rack = index / kRackSize;
  Machine machine;
  machine.m_listed = { fmt::format("i-{:05}", index),
                       fmt::format("10.0.{}.{}:80", index / 250, index % 250),
                       fmt::format("z{}", rack % aZones),
                       fmt::format("r{:04}", rack),
                       "b1",
                       aPool,
                       false,
                       {} };
  const auto& listed = machine.m_listed;
  Apply(aSim, Join{ listed.m_id, listed.m_address, listed.m_zone, listed.m_rack, listed.m_bootId,
                    listed.m_pool, 0 });
  aSim.m_byId.emplace(listed.m_id, index);
  aSim.m_machines.push_back(std::move(machine));
}

/// \brief Sets the days since the last maintenance, distributed uniformly between two ages.
inline void SetMaintenanceAges(Simulation& aSim, double aLowDays, double aHighDays)
{
  for (auto& [id, instance] : aSim.m_state.m_instances) {
    instance.m_maintainedMs =
      aSim.m_nowMs - static_cast<Millis>(Uniform(aSim, aLowDays, aHighDays) * kDayMs);
  }
}

inline bool IsUp(const Simulation& aSim, const Machine& aMachine) noexcept
{
  return aMachine.m_downUntilMs <= aSim.m_nowMs;
}

inline void FailMachine(Simulation& aSim, Machine& aMachine, Millis aForMs)
{
  aMachine.m_downUntilMs = std::max(aMachine.m_downUntilMs, aSim.m_nowMs + aForMs);
  aMachine.m_failed = true;
  aMachine.m_listed.m_bootId = fmt::format("b{}", ++aMachine.m_boots);
  aMachine.m_listed.m_bootOperation.clear();
  aMachine.m_listed.m_leaving = false;
}

/// \brief Fails the rack or zone of the first serving machine not yet maintained in this run.
inline void FailDomain(Simulation& aSim, Domain aDomain, Millis aForMs)
{
  const auto victim = std::ranges::find_if(aSim.m_state.m_instances, [](const auto& aEntry) {
    return aEntry.second.m_phase == InstancePhase::Serving &&
           aEntry.second.m_maintainedMs < kStartMs;
  });
  if (victim == aSim.m_state.m_instances.end()) {
    return;
  }
  const auto& lost = victim->second;
  for (auto& machine : aSim.m_machines) {
    if (machine.m_listed.m_zone == lost.m_zone &&
        (aDomain == Domain::Zone || machine.m_listed.m_rack == lost.m_rack)) {
      FailMachine(aSim, machine, aForMs);
    }
  }
}

inline void FailSingleInstances(Simulation& aSim)
{
  const double chance = aSim.m_failuresPerHour * kStepMs / kHourMs;
  if (Uniform(aSim, 0, 1) < chance) {
    auto& machine = aSim.m_machines[aSim.m_random() % aSim.m_machines.size()];
    FailMachine(aSim, machine, static_cast<Millis>(Uniform(aSim, 10, 120) * kMinuteMs));
  }
}

/// \brief Reboots take 3 to 6 minutes; one in 20 takes 20 minutes and one in 100 takes 50.
inline void RebootMachine(Simulation& aSim, const RebootOrder& aOrder)
{
  auto& machine = aSim.m_machines[aSim.m_byId.at(aOrder.m_instance)];
  if (machine.m_lastReboot >= aOrder.m_epoch || !IsUp(aSim, machine)) {
    return;
  }
  const double kind = Uniform(aSim, 0, 1);
  const double slow = kind < 0.01 ? 50 : 20;
  const double minutes = kind < 0.06 ? slow : Uniform(aSim, 3, 6);
  machine.m_lastReboot = aOrder.m_epoch;
  machine.m_downUntilMs = aSim.m_nowMs + static_cast<Millis>(minutes * kMinuteMs);
  machine.m_listed.m_bootId = fmt::format("b{}", ++machine.m_boots);
  machine.m_listed.m_bootOperation = OperationId(aOrder.m_instance, aOrder.m_epoch);
  machine.m_listed.m_pool = aOrder.m_pool;
  machine.m_listed.m_leaving = false;
}

/// \brief One order in 20 is lost and must be sent again.
inline void ExecuteOrders(Simulation& aSim, const PlannerDecision& aDecision)
{
  for (const auto& order : aDecision.m_drainOrders) {
    auto& machine = aSim.m_machines[aSim.m_byId.at(order.m_instance)];
    if (Uniform(aSim, 0, 1) > 0.05 && machine.m_lastDrain < order.m_epoch) {
      machine.m_lastDrain = order.m_epoch;
      machine.m_listed.m_leaving = true;
    }
  }
  for (const auto& order : aDecision.m_reboots) {
    if (Uniform(aSim, 0, 1) > 0.05) {
      RebootMachine(aSim, order);
    }
  }
}

inline void UpdateInstanceList(Simulation& aSim)
{
  std::vector<ListedInstance> list;
  list.reserve(aSim.m_machines.size());
  for (auto& machine : aSim.m_machines) {
    if (IsUp(aSim, machine)) {
      machine.m_failed = false;
      list.push_back(machine.m_listed);
    }
  }
  aSim.m_lists.push_back(std::move(list));
  if (aSim.m_lists.size() > 4) {
    aSim.m_lists.pop_front();
  }
}

inline void OnDrain(Simulation& aSim, const Drain& aDrain)
{
  auto& machine = aSim.m_machines[aSim.m_byId.at(aDrain.m_instance)];
  machine.m_busyUntilMs = aSim.m_nowMs + static_cast<Millis>(Uniform(aSim, 1, 30) * kSecondMs);
  ++aSim.m_measures.m_reboots;
  const auto& pool = aSim.m_state.m_instances.at(aDrain.m_instance).m_pool;
  aSim.m_measures.m_moves += pool == aDrain.m_target ? 0 : 1;
}

inline void Append(Simulation& aSim, const PlannerDecision& aDecision)
{
  for (const auto& body : aDecision.m_records) {
    const auto* drain = std::get_if<Drain>(&body);
    if (!Apply(aSim, body)) {
      ++aSim.m_measures.m_refused;
    } else if (drain != nullptr) {
      OnDrain(aSim, *drain);
    }
  }
}

/// \brief Plans with the instance list from `aLag` steps ago.
inline PlannerDecision Plan(Simulation& aSim, std::size_t aLag, PlannerMemory& aMemory)
{
  const auto& list =
    aSim.m_lists[aSim.m_lists.size() - 1 - std::min(aLag, aSim.m_lists.size() - 1)];
  PlannerInput input{ aSim.m_state, list, {}, aSim.m_state.m_nextOffset, {}, aSim.m_nowMs };
  for (const auto& machine : aSim.m_machines) {
    if (machine.m_busyUntilMs > aSim.m_nowMs) {
      input.m_inFlight[machine.m_listed.m_id] = 1;
    }
    if (machine.m_downUntilMs <= aSim.m_nowMs && !machine.m_listed.m_leaving) {
      input.m_responsive.insert(machine.m_listed.m_id);
    }
  }
  const auto start = std::clock();
  auto decision = PlanFleet(input, aMemory, aSim.m_options);
  const double ms = 1'000.0 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  aSim.m_measures.m_planMs += ms;
  aSim.m_measures.m_maxPlanMs = std::max(aSim.m_measures.m_maxPlanMs, ms);
  ++aSim.m_plans;
  return decision;
}

/// \brief Actual instance counts of a pool, as callers experience them.
struct PoolAvailability
{
  std::uint32_t m_available{};
  std::uint32_t m_failed{};
};

inline void AddMeasures(Simulation& aSim)
{
  std::map<PoolName, PoolAvailability> availability;
  for (const auto& [id, instance] : aSim.m_state.m_instances) {
    const auto& machine = aSim.m_machines[aSim.m_byId.at(id)];
    const bool up = IsUp(aSim, machine) && instance.m_phase == InstancePhase::Serving;
    availability[instance.m_pool].m_available += up ? 1 : 0;
    availability[instance.m_pool].m_failed +=
      !up && (machine.m_failed || instance.m_phase == InstancePhase::Failed) ? 1 : 0;
  }
  for (const auto& [id, retired] : aSim.m_state.m_retired) {
    ++availability[retired.m_instance.m_pool].m_failed;
  }
  auto& measures = aSim.m_measures;
  for (const auto& [name, rule] : aSim.m_state.m_rules->m_pools) {
    const PoolAvailability& pool = availability[name];
    const std::uint32_t need = rule.m_spare ? rule.m_minAvailable : rule.m_instances;
    measures.m_reserveHours +=
      pool.m_available > need ? (pool.m_available - need) * double{ kStepMs } / kHourMs : 0;
    if (pool.m_available < rule.m_minAvailable) {
      const bool failure = pool.m_available + pool.m_failed >= rule.m_minAvailable;
      (failure ? measures.m_failureBelowMin : measures.m_plannedBelowMin) +=
        double{ kStepMs } / kMinuteMs;
    }
  }
}

/// \brief Simulates one step: failures, instance list, a planner and sometimes a second one that
/// races it, fold, measurements.
inline void Step(Simulation& aSim)
{
  aSim.m_nowMs += kStepMs;
  Apply(aSim, Tick{ aSim.m_nowMs });
  FailSingleInstances(aSim);
  UpdateInstanceList(aSim);
  const auto decision = Plan(aSim, aSim.m_random() % 2, aSim.m_memory);
  const bool race = Uniform(aSim, 0, 1) < 0.1;
  const auto racing = race ? Plan(aSim, 3, aSim.m_secondPlannerMemory) : PlannerDecision{};
  ExecuteOrders(aSim, decision);
  ExecuteOrders(aSim, racing);
  Append(aSim, decision);
  Append(aSim, racing);
  AddMeasures(aSim);
}

/// \brief Instances not yet maintained in this run, without failed ones and those whose reboot
/// takes too long.
inline std::size_t CountDue(const Simulation& aSim)
{
  return std::ranges::count_if(aSim.m_state.m_instances, [&aSim](const auto& aEntry) {
    const auto& instance = aEntry.second;
    const bool stuck = instance.m_phase == InstancePhase::Leaving &&
                       aSim.m_nowMs - instance.m_phaseSinceMs > kRebootTimeoutMs;
    return instance.m_phase != InstancePhase::Failed && !stuck &&
           instance.m_maintainedMs < kStartMs;
  });
}

inline bool HasPromisedInstances(const Simulation& aSim)
{
  std::map<PoolName, std::uint32_t> serving;
  for (const auto& [id, instance] : aSim.m_state.m_instances) {
    serving[instance.m_pool] += instance.m_phase == InstancePhase::Serving ? 1 : 0;
  }
  return std::ranges::all_of(aSim.m_state.m_rules->m_pools, [&serving](const auto& aPool) {
    return aPool.second.m_spare || serving[aPool.first] >= aPool.second.m_instances;
  });
}

} // namespace pistachiostand::bench
