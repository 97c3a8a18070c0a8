#pragma once

#include "pistachiostand/process/FleetPlanner.h"
#include "pistachiostand/process/Fold.h"

#include <algorithm>
#include <deque>
#include <random>
#include <utility>

/// \file
/// \brief Planner, fold and a simulated platform in virtual time, with faults.

namespace pistachiostand {

inline constexpr Millis kStepMs = 10'000;
inline constexpr Millis kMinuteMs = 60'000;
inline constexpr Millis kStartTimeMs = 100LL * 24 * 3600 * 1000;
inline constexpr Millis kMaxOrderDelayMs = 30'000;
/// Exceeds the sum of the list's lag (40 s) and an order's delay. With shorter reboots a late drain
/// order would be carried out on the new boot, which the platform would then show as leaving
/// permanently; the planner has no order that undoes this.
inline constexpr Millis kMinRebootMs = 2 * kMinuteMs;

/// \brief Actual state of a backend server; the list shows it with a lag.
struct SimulatedMachine
{
  ListedInstance m_listed;
  Millis m_downUntilMs{};
  Millis m_hiddenUntilMs{};         ///< Until then the list omits it, although it runs.
  std::set<std::string> m_executed; ///< Executed orders, by kind and operation id.
  int m_boots{ 1 };
};

/// \brief An order in transit to the platform; its pool is the target of a reboot, and empty for a
/// drain.
struct SimulatedOrder
{
  Millis m_arrivesMs{};
  InstanceId m_instance;
  Epoch m_epoch{};
  PoolName m_pool;
};

enum class FaultKind : std::uint8_t
{
  Crash,
  RackCrash,
  LeavingCrash, ///< All drained instances crash and are up again in the next step.
  OrdersIgnored,
  NoList,
  HiddenInList,
  RulesChanged,
  PlannerReplaced,
};

struct Fault
{
  int m_step{};
  FaultKind m_kind{};
  std::size_t m_machine{};
  Millis m_durationMs{};
};

class SimulatedFleet
{
public:
  SimulatedFleet(std::uint32_t aSeed, const std::string& aRules)
    : m_random(aSeed)
  {
    Apply(Tick{ kStartTimeMs });
    Publish(aRules);
  }

  bool Apply(const RecordBody& aBody)
  {
    const Offset offset = m_state.m_nextOffset;
    return pistachiostand::Apply(m_state, offset, { offset + 1, "e1", aBody }).Accepted();
  }

  void Publish(const std::string& aRules)
  {
    Apply(pistachiostand::Publish{ m_state.m_revision, "Ann", aRules });
  }

  void AddMachine(const PoolName& aPool)
  {
    const auto number = m_machines.size();
    SimulatedMachine machine;
    machine.m_listed = { "i" + std::to_string(number),
                         "10.0.0.1:80",
                         "z" + std::to_string(number % 3),
                         "r" + std::to_string(number / 3 % 2),
                         "b1",
                         aPool,
                         false,
                         {} };
    const auto& listed = machine.m_listed;
    Apply(Join{ listed.m_id, listed.m_address, listed.m_zone, listed.m_rack, listed.m_bootId,
                listed.m_pool, 0 });
    m_machines.push_back(std::move(machine));
  }

  /// \brief Advances the time and lets the platform carry out the orders that have arrived.
  void BeginStep()
  {
    m_nowMs += kStepMs;
    Apply(Tick{ m_nowMs });
    DeliverOrders();
    std::vector<ListedInstance> list;
    for (const auto& machine : m_machines) {
      if (machine.m_downUntilMs <= m_nowMs && machine.m_hiddenUntilMs <= m_nowMs) {
        list.push_back(machine.m_listed);
      }
    }
    m_lists.push_back(std::move(list));
    if (m_lists.size() > 5) {
      m_lists.pop_front();
    }
  }

  /// \brief Plans from the current state with the list of up to `aLag` steps ago.
  PlannerDecision Plan(PlannerMemory& aMemory, std::size_t aLag)
  {
    static const std::vector<ListedInstance> kUnknown;
    const bool unknown = m_noListUntilMs > m_nowMs;
    const auto& list =
      unknown ? kUnknown
              : m_lists[m_lists.size() - 1 - RandomBelow(std::min(aLag + 1, m_lists.size()))];
    PlannerInput input{ m_state, list, {}, m_state.m_nextOffset, {}, m_nowMs };
    for (const auto& machine : m_machines) {
      input.m_inFlight[machine.m_listed.m_id] = RandomBelow(8) == 0 ? 1 : 0;
      if (machine.m_downUntilMs <= m_nowMs && !machine.m_listed.m_leaving && RandomBelow(2) == 0) {
        input.m_responsive.insert(machine.m_listed.m_id);
      }
    }
    return PlanFleet(input, aMemory);
  }

  /// \brief Sends the orders of a decision; with faults some are lost, delayed or duplicated.
  void Send(const PlannerDecision& aDecision)
  {
    for (const auto& order : aDecision.m_drainOrders) {
      Send({ 0, order.m_instance, order.m_epoch, {} });
    }
    for (const auto& order : aDecision.m_reboots) {
      Send({ 0, order.m_instance, order.m_epoch, order.m_pool });
    }
  }

  void InjectFault(const Fault& aFault)
  {
    auto& machine = m_machines[aFault.m_machine % m_machines.size()];
    const Millis until = m_nowMs + aFault.m_durationMs;
    switch (aFault.m_kind) {
      case FaultKind::Crash:
        Crash(machine, until);
        break;
      case FaultKind::RackCrash:
        for (auto& each : m_machines) {
          if (each.m_listed.m_zone == machine.m_listed.m_zone &&
              each.m_listed.m_rack == machine.m_listed.m_rack) {
            Crash(each, until);
          }
        }
        break;
      case FaultKind::LeavingCrash:
        for (auto& each : m_machines) {
          if (each.m_listed.m_leaving) {
            Crash(each, m_nowMs + kStepMs);
          }
        }
        break;
      case FaultKind::OrdersIgnored:
        m_ordersIgnoredUntilMs = until;
        break;
      case FaultKind::NoList:
        m_noListUntilMs = until;
        break;
      case FaultKind::HiddenInList:
        machine.m_hiddenUntilMs = until;
        break;
      case FaultKind::RulesChanged:
      case FaultKind::PlannerReplaced:
        break;
    }
  }

  std::size_t RandomBelow(std::size_t aEnd)
  {
    return std::uniform_int_distribution<std::size_t>{ 0, aEnd - 1 }(m_random);
  }

  FleetState m_state;
  std::vector<SimulatedMachine> m_machines;
  Millis m_nowMs{ kStartTimeMs };
  bool m_injectFaults{ true };
  int m_rebootsWhileServing{}; ///< Reboots that reached an instance that serves.

private:
  void Crash(SimulatedMachine& aMachine, Millis aUntilMs)
  {
    aMachine.m_downUntilMs = std::max(aMachine.m_downUntilMs, aUntilMs);
    aMachine.m_listed.m_bootId = "b" + std::to_string(++aMachine.m_boots);
    aMachine.m_listed.m_bootOperation.clear();
    aMachine.m_listed.m_leaving = false;
  }

  void Send(SimulatedOrder aOrder)
  {
    const std::size_t copies = m_injectFaults ? RandomBelow(3) : 1;
    for (std::size_t i = 0; i < copies; ++i) {
      aOrder.m_arrivesMs =
        m_nowMs + (m_injectFaults ? static_cast<Millis>(RandomBelow(kMaxOrderDelayMs)) : 0);
      m_orders.push_back(aOrder);
    }
  }

  void DeliverOrders()
  {
    for (const auto& order : std::exchange(m_orders, {})) {
      if (order.m_arrivesMs > m_nowMs) {
        m_orders.push_back(order);
      } else if (m_ordersIgnoredUntilMs <= m_nowMs) {
        Execute(order);
      }
    }
  }

  void Execute(const SimulatedOrder& aOrder)
  {
    auto& machine = *std::ranges::find_if(m_machines, [&aOrder](const auto& aEach) {
      return aEach.m_listed.m_id == aOrder.m_instance;
    });
    const auto operation = OperationId(aOrder.m_instance, aOrder.m_epoch);
    const bool drain = aOrder.m_pool.empty();
    if (machine.m_downUntilMs > m_nowMs ||
        !machine.m_executed.insert((drain ? "drain " : "reboot ") + operation).second) {
      return;
    }
    if (drain) {
      machine.m_listed.m_leaving = true;
      return;
    }
    const auto known = m_state.m_instances.find(aOrder.m_instance);
    m_rebootsWhileServing +=
      known != m_state.m_instances.end() && known->second.m_phase == InstancePhase::Serving ? 1 : 0;
    Crash(machine, m_nowMs + kMinRebootMs + static_cast<Millis>(RandomBelow(4)) * kMinuteMs);
    machine.m_listed.m_bootOperation = operation;
    machine.m_listed.m_pool = aOrder.m_pool;
  }

  std::mt19937 m_random;
  std::deque<std::vector<ListedInstance>> m_lists; ///< Newest last.
  std::vector<SimulatedOrder> m_orders;
  Millis m_ordersIgnoredUntilMs{};
  Millis m_noListUntilMs{};
};

} // namespace pistachiostand
