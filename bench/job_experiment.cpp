#include "../tests/unit/JobWorld.h"

#include <docopt/docopt.h>

#include <cstdio>

/// \file
/// \brief Shows what callers get from the scheduler as the load of a queue's turn grows.

namespace {

const char kUsage[] =
  R"(Plays the turn of a queue against the scheduler in virtual time.

Usage:
  job_experiment [--servers=N] [--seeds=N] [--turn-ms=MS]
  job_experiment --help

Options:
  --servers=N   backend servers of the pool [default: 20]
  --seeds=N     random loads of each size; the table shows their mean [default: 5]
  --turn-ms=MS  length of the turn [default: 4000]
)";

} // namespace

int main(int aCount, char** aValues)
{
  using namespace pistachiostand::fleet;
  auto options = docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true);
  const auto seeds = static_cast<std::uint32_t>(options["--seeds"].asLong());
  JobLoad load;
  load.m_servers = static_cast<int>(options["--servers"].asLong());
  load.m_turnMs = options["--turn-ms"].asLong();
  const double coreSecondsPerJob =
    load.m_steps * load.m_width * load.m_cpuMillis * static_cast<double>(load.m_runMeanMs) / 1e6;
  const double coresOfPool =
    static_cast<double>(load.m_servers) * static_cast<double>(load.m_capacity.m_cpuMillis) / 1e3;
  std::printf("%8s %8s %8s %8s %15s\n", "load", "jobs/s", "credit", "in time", "largest tenth");
  for (const double factor : { 0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0 }) {
    load.m_jobsPerS = factor * coresOfPool / coreSecondsPerJob;
    JobService mean;
    for (load.m_seed = 1; load.m_seed <= seeds; ++load.m_seed) {
      const JobService one = JobWorld{ load }.Play();
      mean.m_credit += one.m_credit / seeds;
      mean.m_inTime += one.m_inTime / seeds;
      mean.m_largestTenth += one.m_largestTenth / seeds;
    }
    std::printf("%8.1f %8.1f %8.3f %8.3f %15.3f\n", factor, load.m_jobsPerS, mean.m_credit,
                mean.m_inTime, mean.m_largestTenth);
  }
  return 0;
}
