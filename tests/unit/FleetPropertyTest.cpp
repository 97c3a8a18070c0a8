#include "Property.h"
#include "SimulatedFleet.h"

#include <array>

namespace pistachiostand {
namespace {

constexpr int kCases = 100;
constexpr int kFaultySteps = 360;
/// Time for the latest retirement (40 min), the wave after it and slow replacements.
constexpr int kFaultFreeSteps = 1'080;
constexpr Millis kMaxDrainMs = kRetireLeavingMs + kRebootTimeoutMs;

std::string RulesText(int aWeb, int aJobs)
{
  const std::string rest = ", min_available = 1 } # A: x\n";
  return "pool.admin = { instances = 4, min_available = 1, spare = true } # A: x\n"
         "pool.web = { instances = " +
         std::to_string(aWeb) +
         ", min_available = 2, tolerate = \"rack\", spread = \"zone\" } # A: x\n" +
         (aJobs == 0 ? std::string{}
                     : "pool.jobs = { instances = " + std::to_string(aJobs) + rest) +
         "maintenance.m = { pools = [\"*\"], period_days = 21, max_at_once = 2, domain = \"rack\" "
         "} # A: x\n"
         "service.web = { pool = \"web\", class = \"batch\", idempotent = true, timeout_ms = 2000 "
         "} # A: x\n";
}

const std::array kRules{ RulesText(5, 3), RulesText(7, 2), RulesText(4, 0), RulesText(3, 6) };

SimulatedFleet MakeFleet(std::uint32_t aSeed)
{
  SimulatedFleet fleet{ aSeed, kRules[0] };
  for (const auto* pool : { "web", "jobs", "admin" }) {
    for (int i = 0; i < (pool == std::string{ "web" } ? 6 : 5); ++i) {
      fleet.AddMachine(pool);
    }
  }
  for (auto& [id, instance] : fleet.m_state.m_instances) {
    instance.m_maintainedMs -= static_cast<Millis>(20 + fleet.RandomBelow(3)) * 24 * 3600 * 1000;
  }
  return fleet;
}

std::vector<Fault> GenFaults()
{
  std::vector<Fault> faults(*rc::gen::inRange<std::size_t>(0, 25));
  for (auto& fault : faults) {
    fault.m_step = *rc::gen::inRange(0, kFaultySteps);
    fault.m_kind = static_cast<FaultKind>(*rc::gen::inRange(0, 8));
    fault.m_machine = *rc::gen::inRange<std::size_t>(0, 16);
    fault.m_durationMs = *rc::gen::inRange<Millis>(1, 60) * kMinuteMs;
  }
  return faults;
}

/// \brief Applies the records of a decision made from the same state, and checks each of them.
void ApplyChecked(SimulatedFleet& aFleet, const PlannerDecision& aDecision)
{
  for (const auto& body : aDecision.m_records) {
    if (!aFleet.Apply(body)) {
      RC_FAIL("refused: " + DescribeRecord(body));
    }
    const auto* drain = std::get_if<Drain>(&body);
    if (drain == nullptr) {
      continue;
    }
    const auto& state = aFleet.m_state;
    const auto& pool = state.m_instances.at(drain->m_instance).m_pool;
    const auto rule = state.m_rules->m_pools.find(pool);
    if (rule != state.m_rules->m_pools.end()) {
      RC_ASSERT(GuaranteedAfterLeaving(state, pool, {}) >= rule->second.m_minAvailable);
    }
  }
}

/// \brief Two planners; the second one plans rarely and from an older list.
struct Planners
{
  PlannerMemory m_first;
  PlannerMemory m_second;
};

void Step(SimulatedFleet& aFleet, Planners& aPlanners)
{
  aFleet.BeginStep();
  const auto decision = aFleet.Plan(aPlanners.m_first, 1);
  aFleet.Send(decision);
  ApplyChecked(aFleet, decision);
  if (aFleet.RandomBelow(10) == 0) {
    const auto racing = aFleet.Plan(aPlanners.m_second, 4);
    aFleet.Send(racing);
    ApplyChecked(aFleet, racing);
  }
  RC_ASSERT(aFleet.m_rebootsWhileServing == 0);
}

void InjectFault(SimulatedFleet& aFleet, Planners& aPlanners, const Fault& aFault)
{
  aFleet.InjectFault(aFault);
  if (aFault.m_kind == FaultKind::RulesChanged) {
    aFleet.Publish(kRules.at(aFault.m_machine % kRules.size()));
  } else if (aFault.m_kind == FaultKind::PlannerReplaced) {
    aPlanners = {};
  }
}

void RunFaults(SimulatedFleet& aFleet, Planners& aPlanners, const std::vector<Fault>& aFaults)
{
  for (int step = 0; step < kFaultySteps; ++step) {
    for (const auto& fault : aFaults) {
      if (fault.m_step == step) {
        InjectFault(aFleet, aPlanners, fault);
      }
    }
    Step(aFleet, aPlanners);
  }
}

/// \brief Checks that the fleet has converged some hours after the last fault.
void CheckConverged(const SimulatedFleet& aFleet)
{
  const auto& state = aFleet.m_state;
  const auto& wave = state.m_rules->m_maintenance.at("m");
  RC_ASSERT(state.m_instances.size() == aFleet.m_machines.size());
  for (const auto& [id, instance] : state.m_instances) {
    RC_ASSERT(instance.m_phase == InstancePhase::Serving);
    RC_ASSERT(state.m_timeMs - instance.m_maintainedMs < wave.m_periodDays * 24LL * 3600 * 1000);
  }
  for (const auto& machine : aFleet.m_machines) {
    const auto& instance = state.m_instances.at(machine.m_listed.m_id);
    RC_ASSERT(machine.m_listed.m_pool == instance.m_pool);
    RC_ASSERT(machine.m_listed.m_bootId == instance.m_bootId);
  }
  for (const auto& [name, rule] : state.m_rules->m_pools) {
    RC_ASSERT(CountPool(state, name).m_serving >= rule.m_instances);
  }
}

// Guards against drains that never end, waves that stop half way, and two planners that undo each
// other's changes after simultaneous faults.
TEST(FleetPropertyTest, PlannerAndFold_UnderFaults_KeepBudgetsAndConverge)
{
  CheckProperty(
    "fleet",
    [] {
      SimulatedFleet fleet = MakeFleet(*rc::gen::arbitrary<std::uint32_t>());
      Planners planners;
      RunFaults(fleet, planners, GenFaults());
      fleet.m_injectFaults = false;
      fleet.Publish(kRules[0]);
      const Millis faultsEndMs = fleet.m_nowMs + 60 * kMinuteMs; // The longest fault has ended.
      for (int step = 0; step < kFaultFreeSteps; ++step) {
        Step(fleet, planners);
        for (const auto& [id, instance] : fleet.m_state.m_instances) {
          const Millis since = std::max(faultsEndMs, instance.m_phaseSinceMs);
          RC_ASSERT(instance.m_phase != InstancePhase::Leaving ||
                    fleet.m_nowMs - since <= kMaxDrainMs);
        }
      }
      CheckConverged(fleet);
    },
    kCases);
}

} // namespace
} // namespace pistachiostand
