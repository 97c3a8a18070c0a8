#include "../tests/unit/JobSimulation.h"

#include <docopt/docopt.h>

#include <cstdio>

/// \file
/// \brief Measures the scheduler's results for bursts of growing arrival rate in one pool.

namespace {

const char kUsage[] =
  R"(Simulates the burst of a queue against the scheduler in virtual time.

Usage:
  job_experiment [--servers=N] [--seeds=N] [--turn-ms=MS] [--spread=X] [--declared]
                 [--rise-ms=MS] [--move-ms=MS] [--unforeseen]
                 [--run-ms=MS] [--cpu=N] [--steps=X] [--width=X]
  job_experiment --help

Options:
  --servers=N   backend servers of the pool [default: 20]
  --seeds=N     random loads of each size; the table shows their mean [default: 5]
  --turn-ms=MS  length of the burst [default: 4000]
  --spread=X    spread of the declared run times around the true ones [default: 0.5]
  --declared    use the declared run times, without learning
  --rise-ms=MS  time for which the burst rises to its rate [default: 0]
  --move-ms=MS  time from the order of a server to its use; 0: all are present [default: 0]
  --run-ms=MS   mean run time of a subtask [default: 1000]
  --cpu=N       thousandths of a core of a subtask [default: 3500]
  --steps=X     mean number of steps of a job [default: 1.6]
  --width=X     mean number of subtasks of a step [default: 6]
  --unforeseen  order servers for the arrivals of the moment only
)";

} // namespace

int main(int aCount, char** aValues)
{
  using namespace pistachiostand::fleet;
  auto options = docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true);
  const auto seeds = static_cast<std::uint32_t>(options["--seeds"].asLong());
  SimulatedLoad load;
  load.m_servers = static_cast<int>(options["--servers"].asLong());
  load.m_burstMs = options["--turn-ms"].asLong();
  load.m_estimateSpread = std::stod(options["--spread"].asString());
  load.m_learnRunTimes = !options["--declared"].asBool();
  load.m_rampUpMs = options["--rise-ms"].asLong();
  load.m_provisioningMs = options["--move-ms"].asLong();
  load.m_runMeanMs = options["--run-ms"].asLong();
  load.m_cpuMillis = std::stod(options["--cpu"].asString());
  load.m_steps = std::stod(options["--steps"].asString());
  load.m_width = std::stod(options["--width"].asString());
  load.m_predictArrivals = !options["--unforeseen"].asBool();
  const double coreSecondsPerJob =
    load.m_steps * load.m_width * load.m_cpuMillis * static_cast<double>(load.m_runMeanMs) / 1e6;
  const double coresOfPool =
    static_cast<double>(load.m_servers) * static_cast<double>(load.m_capacity.m_cpuMillis) / 1e3;
  std::printf("%8s %8s %8s %8s %15s %9s\n", "load", "jobs/s", "credit", "in time", "largest tenth",
              "server-s");
  for (const double factor : { 0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0 }) {
    load.m_jobsPerS = factor * coresOfPool / coreSecondsPerJob;
    SimulationResult mean;
    for (load.m_seed = 1; load.m_seed <= seeds; ++load.m_seed) {
      const SimulationResult one = JobSimulation{ load }.Simulate();
      mean.m_credit += one.m_credit / seeds;
      mean.m_inTime += one.m_inTime / seeds;
      mean.m_largestTenth += one.m_largestTenth / seeds;
      mean.m_serverS += one.m_serverS / seeds;
    }
    std::printf("%8.1f %8.1f %8.3f %8.3f %15.3f %9.0f\n", factor, load.m_jobsPerS, mean.m_credit,
                mean.m_inTime, mean.m_largestTenth, mean.m_serverS);
  }
  return 0;
}
