/// \file
/// \brief Compares the fleet planner with a baseline and with variants that lack one feature.
///
/// `fleet_experiment DIR` writes `fleet_tables.md` and `fleet.svg` to DIR. All results except the
/// planning times are reproducible.

#include "FleetPlot.h"
#include "FleetSimulation.h"

#include <array>
#include <cstdio>
#include <fstream>

namespace {

using namespace pistachiostand;
using namespace pistachiostand::bench;

constexpr std::array<std::uint64_t, 5> kSeeds{ 1, 2, 3, 4, 5 };
constexpr Millis kRunMs = 16 * kHourMs;
constexpr Millis kOutageMs = 2 * kHourMs;
constexpr std::uint32_t kPools = 4;
constexpr std::uint32_t kPoolSize = 10;
constexpr std::uint32_t kSpareBudget = 2;
constexpr std::uint32_t kMaxAtOnce = 4;
/// The largest intended fleet has 88 failures a day in 8,500 instances; this is eight times that
/// rate per instance, for about 50 instances.
constexpr double kFailuresPerHour = 8 * 88.0 / 24 * 50 / 8'500;

enum class Scenario : std::uint8_t
{
  Wave,
  RackLost,
  ZoneLost,
  RuleChange,
};

constexpr std::array kScenarios{ Scenario::Wave, Scenario::RackLost, Scenario::ZoneLost,
                                 Scenario::RuleChange };
constexpr std::array<const char*, 4> kScenarioNames{ "wave", "wave, rack lost", "wave, zone lost",
                                                     "wave, rule change" };

struct Deployment
{
  const char* m_name{};
  std::uint32_t m_zones{};
  PlacementWeights m_weights;
};

struct Variant
{
  std::string m_name;
  PlannerOptions m_options;
  std::uint32_t m_spares{}; ///< Spare instances above the spare pool's min_available.
  bool m_mixedRacks{};      ///< The initial placement mixes pools within each rack.
};

const std::array kDeployments{ Deployment{ "Cotton Row", 3, { 3, 1, 1 } },
                               Deployment{ "Dijleland", 4, { 1, 3, 1 } } };

std::string MakeRules(const PlacementWeights& aWeights, std::uint32_t aSpares,
                      const std::array<std::uint32_t, kPools>& aSizes)
{
  std::string text = fmt::format(
    "pool.admin = {{ instances = {}, min_available = {}, spare = true }} # B: x\n"
    "service.admin = {{ pool = \"admin\", class = \"batch\", idempotent = true, timeout_ms = "
    "30000 }} # B: x\n"
    "maintenance.m = {{ pools = [\"*\"], period_days = 21, max_at_once = {}, domain = \"rack\" }} "
    "# B: x\n"
    "placement.weights = {{ buffer_cost = {}, rollout_time = {}, moves = {} }} # B: x\n",
    kSpareBudget + aSpares, kSpareBudget, kMaxAtOnce, aWeights.m_bufferCost, aWeights.m_rolloutTime,
    aWeights.m_moves);
  for (std::uint32_t i = 0; i < kPools; ++i) {
    text += fmt::format("pool.p{} = {{ instances = {}, min_available = {}, tolerate = \"rack\", "
                        "spread = \"zone\" }} # B: x\n",
                        i, aSizes[i], std::min(aSizes[i], kPoolSize) - 3);
  }
  return text;
}

/// \brief Pool of each instance at the start, with reserves and the spare pool: pool by pool, or in
/// turn with m_mixedRacks.
std::vector<PoolName> InitialPlacement(const Variant& aVariant)
{
  std::array<std::uint32_t, kPools + 1> left{};
  left.fill(kPoolSize + aVariant.m_options.m_reservePerPool);
  left[kPools] = kSpareBudget + aVariant.m_spares;
  std::vector<PoolName> placement;
  for (std::uint32_t pool = 0; std::ranges::max(left) > 0;) {
    if (left[pool] > 0) {
      --left[pool];
      placement.push_back(pool == kPools ? "admin" : fmt::format("p{}", pool));
    }
    if (aVariant.m_mixedRacks || left[pool] == 0) {
      pool = (pool + 1) % (kPools + 1);
    }
  }
  return placement;
}

Simulation MakeSimulation(const Deployment& aDeployment, const Variant& aVariant,
                          std::uint64_t aSeed)
{
  Simulation sim;
  sim.m_random.seed(aSeed);
  sim.m_options = aVariant.m_options;
  sim.m_failuresPerHour = kFailuresPerHour;
  Apply(sim, Tick{ kStartMs });
  Apply(sim, Publish{ 0, "bench",
                      MakeRules(aDeployment.m_weights, aVariant.m_spares,
                                { kPoolSize, kPoolSize, kPoolSize, kPoolSize }) });
  for (const auto& pool : InitialPlacement(aVariant)) {
    AddMachine(sim, aDeployment.m_zones, pool);
  }
  SetMaintenanceAges(sim, 22, 25);
  return sim;
}

void Disturb(Simulation& aSim, Scenario aScenario, const Deployment& aDeployment,
             const Variant& aVariant)
{
  switch (aScenario) {
    case Scenario::Wave:
      break;
    case Scenario::RackLost:
      FailDomain(aSim, Domain::Rack, kOutageMs);
      break;
    case Scenario::ZoneLost:
      FailDomain(aSim, Domain::Zone, kOutageMs);
      break;
    case Scenario::RuleChange:
      Apply(aSim, Publish{ aSim.m_state.m_revision, "bench",
                           MakeRules(aDeployment.m_weights, aVariant.m_spares,
                                     { kPoolSize + 3, kPoolSize - 3, kPoolSize, kPoolSize }) });
      break;
  }
}

double HoursSince(const Simulation& aSim, Millis aSinceMs)
{
  return static_cast<double>(aSim.m_nowMs - aSinceMs) / kHourMs;
}

/// \brief Runs one seed; the disturbance occurs when a third of the wave is done.
Measures Run(const Deployment& aDeployment, const Variant& aVariant, Scenario aScenario,
             std::uint64_t aSeed)
{
  Simulation sim = MakeSimulation(aDeployment, aVariant, aSeed);
  Millis disturbedMs = 0;
  while (sim.m_nowMs < kStartMs + kRunMs) {
    Step(sim);
    const std::size_t due = CountDue(sim);
    if (disturbedMs == 0 && due * 3 <= sim.m_machines.size() * 2) {
      Disturb(sim, aScenario, aDeployment, aVariant);
      disturbedMs = sim.m_nowMs;
    }
    if (sim.m_measures.m_waveHours < 0 && due == 0) {
      sim.m_measures.m_waveHours = HoursSince(sim, kStartMs);
    }
    if (sim.m_measures.m_restoreHours < 0 && disturbedMs > 0 && HasPromisedInstances(sim)) {
      sim.m_measures.m_restoreHours = HoursSince(sim, disturbedMs);
    }
  }
  sim.m_measures.m_planMs /= sim.m_plans;
  return sim.m_measures;
}

/// \brief Means over the seeds and the number of unfinished runs.
struct Summary
{
  double m_reserveHoursPerDay{};
  double m_waveHours{};
  double m_restoreHours{};
  double m_moves{};
  double m_reboots{};
  double m_plannedMin{};
  double m_failureMin{};
  double m_worstFailureMin{};
  std::uint32_t m_unfinished{};
};

void Add(Summary& aSummary, const Measures& aRun, double aShare)
{
  aSummary.m_reserveHoursPerDay += aRun.m_reserveHours * kDayMs / kRunMs * aShare;
  aSummary.m_waveHours +=
    (aRun.m_waveHours < 0 ? double{ kRunMs } / kHourMs : aRun.m_waveHours) * aShare;
  aSummary.m_restoreHours +=
    (aRun.m_restoreHours < 0 ? double{ kRunMs } / kHourMs : aRun.m_restoreHours) * aShare;
  aSummary.m_moves += aRun.m_moves * aShare;
  aSummary.m_reboots += aRun.m_reboots * aShare;
  aSummary.m_plannedMin += aRun.m_plannedBelowMin * aShare;
  aSummary.m_failureMin += aRun.m_failureBelowMin * aShare;
  aSummary.m_worstFailureMin = std::max(aSummary.m_worstFailureMin, aRun.m_failureBelowMin);
  aSummary.m_unfinished += aRun.m_waveHours < 0 || aRun.m_restoreHours < 0 ? 1 : 0;
}

Summary RunSeeds(const Deployment& aDeployment, const Variant& aVariant, Scenario aScenario)
{
  Summary summary;
  for (const auto seed : kSeeds) {
    Add(summary, Run(aDeployment, aVariant, aScenario, seed), 1.0 / kSeeds.size());
  }
  return summary;
}

std::uint32_t SparesFor(const Deployment& aDeployment)
{
  const Variant probe{ "probe", {}, kRackSize, true };
  return SpareTarget(MakeSimulation(aDeployment, probe, 1).m_state);
}

std::vector<Variant> MakeVariants(const Deployment& aDeployment)
{
  const std::uint32_t spares = SparesFor(aDeployment);
  const PlannerOptions none{ false, false, false, false, false, 0 };
  std::vector<Variant> variants{
    { "baseline, reserve 2", none, 1, false },
    { "baseline, reserve 4", none, 1, false },
    { "ours", {}, spares, true },
  };
  variants[0].m_options.m_reservePerPool = 2;
  variants[1].m_options.m_reservePerPool = 4;
  const auto without = [&](const char* aName, bool PlannerOptions::*aPart) {
    Variant variant{ aName, {}, spares, true };
    variant.m_options.*aPart = false;
    variants.push_back(variant);
  };
  without("ours without spread", &PlannerOptions::m_spread);
  variants.back().m_mixedRacks = false;
  without("ours without wide waves", &PlannerOptions::m_wideWaves);
  without("ours without replacement", &PlannerOptions::m_replaceFromSpares);
  without("ours without lending", &PlannerOptions::m_moveFromPoolsAboveBudget);
  without("ours without combining", &PlannerOptions::m_combineWithMaintenance);
  variants.push_back({ "ours, first placement unspread", {}, spares, false });
  return variants;
}

std::string Row(const std::string& aName, std::size_t aInstances, const Summary& aSummary)
{
  return fmt::format("| {} | {} | {:.0f} | {:.2f} | {:.2f} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | "
                     "{:.1f} | {} |\n",
                     aName, aInstances, aSummary.m_reserveHoursPerDay, aSummary.m_waveHours,
                     aSummary.m_restoreHours, aSummary.m_moves, aSummary.m_reboots,
                     aSummary.m_plannedMin, aSummary.m_failureMin, aSummary.m_worstFailureMin,
                     aSummary.m_unfinished);
}

constexpr const char* kHeader =
  "| Variant | Instances | Reserve (instance-h a day) | Wave (h) | Promise kept after (h) | Moves "
  "| "
  "Reboots | Below budget, planned (min) | Below budget, failure (min) | Worst seed (min) | "
  "Unfinished |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";

std::string CompareVariants(const Deployment& aDeployment)
{
  std::string text;
  for (const auto scenario : kScenarios) {
    text += fmt::format("\n### {}: {}\n\n{}", aDeployment.m_name,
                        kScenarioNames.at(static_cast<std::size_t>(scenario)), kHeader);
    for (const auto& variant : MakeVariants(aDeployment)) {
      text += Row(variant.m_name, InitialPlacement(variant).size(),
                  RunSeeds(aDeployment, variant, scenario));
    }
  }
  return text;
}

/// \brief Compares placement weights, with a rack lost during the wave.
std::string CompareWeights(const Deployment& aDeployment, Curve& aCurve)
{
  constexpr std::array<std::array<std::uint32_t, 3>, 9> kWeights{ { { 6, 1, 1 },
                                                                    { 3, 1, 1 },
                                                                    { 2, 1, 1 },
                                                                    { 4, 3, 1 },
                                                                    { 1, 1, 1 },
                                                                    { 1, 2, 1 },
                                                                    { 1, 3, 1 },
                                                                    { 1, 6, 1 },
                                                                    { 1, 1, 3 } } };
  std::string text =
    fmt::format("\n### {}: weights, wave, rack lost\n\n{}", aDeployment.m_name, kHeader);
  for (const auto& [buffer, rollout, moves] : kWeights) {
    Deployment deployment = aDeployment;
    deployment.m_weights = { buffer, rollout, moves };
    const Variant variant{ fmt::format("buffer {}, roll-out {}, moves {}", buffer, rollout, moves),
                           {},
                           SparesFor(deployment),
                           true };
    const Summary summary = RunSeeds(deployment, variant, Scenario::RackLost);
    text += Row(variant.m_name, InitialPlacement(variant).size(), summary);
    if (moves == 1) {
      aCurve.m_points.push_back({ summary.m_reserveHoursPerDay, summary.m_waveHours,
                                  fmt::format("{}:{}", buffer, rollout) });
    }
  }
  return text;
}

/// \brief Planner cost with 8,500 instances, 270 pools and 11 zones: a 21-day maintenance period, a
/// lost zone, and all instances due.
std::string MeasureScale()
{
  constexpr std::uint32_t kLargePools = 270;
  constexpr std::uint32_t kLarge = 8'500;
  Simulation sim;
  sim.m_random.seed(kSeeds[0]);
  sim.m_failuresPerHour = 88.0 / 24;
  std::string rules =
    "pool.admin = { instances = 400, min_available = 20, spare = true } # B: x\n"
    "maintenance.m = { pools = [\"*\"], period_days = 21, max_at_once = 30 } # B: "
    "x\n";
  for (std::uint32_t i = 0; i < kLargePools; ++i) {
    rules += fmt::format("pool.p{} = {{ instances = 30, min_available = 24, tolerate = \"rack\", "
                         "spread = \"zone\" }} # B: x\n",
                         i);
  }
  Apply(sim, Tick{ kStartMs });
  Apply(sim, Publish{ 0, "bench", rules });
  for (std::uint32_t i = 0; i < kLarge; ++i) {
    AddMachine(sim, 11, i < 8'100 ? fmt::format("p{}", i % kLargePools) : "admin");
  }
  SetMaintenanceAges(sim, 0, 21);
  const auto measurePhase = [&sim](const char* aName, int aSteps) {
    sim.m_measures = {};
    sim.m_plans = 0;
    for (int i = 0; i < aSteps; ++i) {
      Step(sim);
    }
    return fmt::format("| {} | {} | {:.1f} | {:.1f} | {:.2f} | {} | {} |\n", aName, aSteps,
                       sim.m_measures.m_planMs / sim.m_plans, sim.m_measures.m_maxPlanMs,
                       sim.m_measures.m_planMs / sim.m_plans / 50, sim.m_measures.m_reboots,
                       sim.m_measures.m_moves);
  };
  std::string text =
    "\n### 8,500 instances, 270 pools, 11 zones\n\nA call every 5 s is assumed for the share of a "
    "core.\n\n| Phase | Steps of 10 s | Mean call (ms CPU) | Longest call (ms CPU) | Share of a "
    "core "
    "(%) | Reboots | Moves |\n| --- | --- | --- | --- | --- | --- | --- |\n";
  text += measurePhase("21-day maintenance", 360);
  FailDomain(sim, Domain::Zone, 20 * kMinuteMs);
  text += measurePhase("zone lost for 20 min", 240);
  SetMaintenanceAges(sim, 22, 25);
  text += measurePhase("all instances due", 120);
  return text;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const std::string directory = aCount > 1 ? aArguments[1] : ".";
  std::vector<Curve> curves;
  std::string text = fmt::format("Seeds: {}. Means over the seeds; a run lasts {} h.\n",
                                 fmt::join(kSeeds, ", "), kRunMs / kHourMs);
  for (const auto& deployment : kDeployments) {
    text += CompareVariants(deployment);
    curves.push_back({ deployment.m_name, {} });
    text += CompareWeights(deployment, curves.back());
  }
  text += MeasureScale();
  std::ofstream{ directory + "/fleet_tables.md" } << text;
  std::ofstream{ directory + "/fleet.svg" } << DrawCurves(curves);
  std::fputs(text.c_str(), stdout);
  return 0;
}
