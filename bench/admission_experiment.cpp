/// \file
/// \brief Compares admission and placement policies in virtual time under the same seeded load.
///
/// Prints the tables of docs/measurements/admission.md. Usage: `admission_experiment [SEEDS]`.

#include "AdmissionCluster.h"

#include <fmt/format.h>

#include <cstdlib>
#include <future>

namespace {

using namespace pistachiostand;
using namespace pistachiostand::experiment;

std::vector<Policy> Policies()
{
  std::vector<Policy> policies(8);
  policies[0].m_name = "baseline";
  policies[0].m_oneQueue = true;
  policies[1].m_name = "baseline, a queue for each pool";
  for (const std::size_t index : { 0U, 1U }) {
    policies[index].m_isBaseline = true;
    policies[index].m_admission = { 1'000'000, 8, 32, false, false };
    policies[index].m_placement = { false, false, false };
  }
  policies[2].m_name = "ours";
  policies[3].m_name = "no fair queueing";
  policies[3].m_admission.m_fairQueueing = false;
  policies[4].m_name = "no deadline refusal";
  policies[4].m_admission.m_enforceDeadlines = false;
  policies[5].m_name = "no outlier ejection";
  policies[5].m_placement.m_ejectOutliers = false;
  policies[6].m_name = "no two choices";
  policies[6].m_placement.m_powerOfTwoChoices = false;
  policies[7].m_name = "no zone preference";
  policies[7].m_placement.m_preferOwnZone = false;
  return policies;
}

/// \brief Mean of a metric over the seeds.
template<typename Measure>
double Mean(const std::vector<Result>& aResults, Measure aMeasure)
{
  double sum = 0;
  for (const Result& result : aResults) {
    sum += aMeasure(result);
  }
  return sum / static_cast<double>(aResults.size());
}

GroupResult ResultOfClass(const Result& aResult, ServiceClass aClass)
{
  const auto find = [&](bool aBusy) {
    const auto found = aResult.m_groups.find({ aClass, aBusy });
    return found == aResult.m_groups.end() ? GroupResult{} : found->second;
  };
  return MergeGroups(find(true), find(false));
}

double Percent(double aPart, double aWhole)
{
  return aWhole > 0 ? 100 * aPart / aWhole : 0;
}

void PrintSummary(const Policy& aPolicy, const std::vector<Result>& aResults)
{
  const auto urgent = [](const Result& aResult) {
    return ResultOfClass(aResult, ServiceClass::Urgent);
  };
  const auto wasted = [](const Result& aResult) {
    return Percent(aResult.m_failedAttempts + aResult.m_late, aResult.m_attempts);
  };
  const auto done = [](const Result& aResult) {
    const GroupResult group = ResultOfClass(aResult, ServiceClass::Overnight);
    return Percent(group.m_inTime + group.m_late, group.m_offered);
  };
  double worstShare = 1;
  for (const Result& result : aResults) {
    worstShare = std::min(worstShare, WorstFairShare(result));
  }
  fmt::print("| {} | {:.1f} | {:.1f} | {:.1f} | {:.2f} | {:.2f} | {:.2f} | {:.2f} | {:.2f} |\n",
             aPolicy.m_name,
             Mean(aResults,
                  [&](const Result& aResult) {
                    return Percent(urgent(aResult).m_inTime, urgent(aResult).m_offered);
                  }),
             Mean(aResults,
                  [&](const Result& aResult) {
                    return Percent(urgent(aResult).m_startedWithinLimit, urgent(aResult).m_offered);
                  }),
             Mean(aResults,
                  [&](const Result& aResult) {
                    return Percent(urgent(aResult).m_startedWithinLimit,
                                   static_cast<double>(urgent(aResult).m_waitsMs.size()));
                  }),
             Mean(aResults, done), Mean(aResults, WorstFairShare), worstShare,
             Mean(aResults, wasted), Mean(aResults, [](const Result& aResult) {
               return aResult.m_full / std::max(aResult.m_attempts, 1.0);
             }));
}

void PrintGroups(const Policy& aPolicy, const std::vector<Result>& aResults)
{
  for (const auto& [key, first] : aResults.front().m_groups) {
    const auto group = [&key = key](const Result& aResult) -> const GroupResult& {
      return aResult.m_groups.at(key);
    };
    const auto percent = [&](double GroupResult::*aMember) {
      return Mean(aResults, [&](const Result& aResult) {
        return Percent(group(aResult).*aMember, group(aResult).m_offered);
      });
    };
    const auto wait = [&](double aQuantile) {
      return Mean(aResults, [&](const Result& aResult) {
        return Quantile(group(aResult).m_waitsMs, aQuantile);
      });
    };
    fmt::print("| {} | {} | {} | {:.0f} | {:.0f} | {:.1f} | {:.2f} | {:.1f} | {:.1f} |\n",
               aPolicy.m_name, ToString(key.first), key.second ? "busy" : "others", wait(0.5),
               wait(0.99), percent(&GroupResult::m_refused), percent(&GroupResult::m_failed),
               percent(&GroupResult::m_late), percent(&GroupResult::m_inTime));
  }
}

void PrintPoolWaits(const Deployment& aDeployment, const std::vector<Result>& aResults)
{
  fmt::print("\nWait in each pool's queue, policy \"ours\":\n\n"
             "| Pool | p50 ms | p99 ms | Longest ms |\n| --- | --- | --- | --- |\n");
  for (std::size_t pool = 0; pool < kBurstServices; ++pool) {
    const auto wait = [&](double aQuantile) {
      return Mean(aResults, [&](const Result& aResult) {
        return Quantile(aResult.m_poolWaitsMs.at(pool), aQuantile);
      });
    };
    fmt::print("| {} | {:.0f} | {:.0f} | {:.0f} |\n", aDeployment.m_services[pool].m_name,
               wait(0.5), wait(0.99), wait(1));
  }
}

std::vector<Result> RunSeeds(const Deployment& aDeployment, const Policy& aPolicy,
                             std::uint64_t aSeeds)
{
  std::vector<std::future<Result>> runs;
  runs.reserve(aSeeds);
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    runs.push_back(std::async(std::launch::async, [&aDeployment, &aPolicy, seed] {
      Random random{ seed };
      const auto load = MakeLoad(aDeployment, random);
      return Cluster{ aDeployment, aPolicy, load, seed }.Run();
    }));
  }
  std::vector<Result> results;
  results.reserve(runs.size());
  for (auto& run : runs) {
    results.push_back(run.get());
  }
  return results;
}

void Report(const Deployment& aDeployment, std::uint64_t aSeeds)
{
  const auto policies = Policies();
  std::vector<std::vector<Result>> results;
  results.reserve(policies.size());
  for (const Policy& policy : policies) {
    results.push_back(RunSeeds(aDeployment, policy, aSeeds));
  }
  fmt::print("\n## {} (seeds 1 to {})\n\n"
             "| Policy | Urgent in time % | Urgent started in 1.4 s, % of offered | % of started | "
             "Overnight finished % | Worst tenant's fair share, mean | lowest seed | Wasted % | "
             "Full per attempt |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
             aDeployment.m_name, aSeeds);
  for (std::size_t index = 0; index < policies.size(); ++index) {
    PrintSummary(policies[index], results[index]);
  }
  fmt::print("\n| Policy | Class | Tenant | p50 wait ms | p99 wait ms | Refused % | Failed % | "
             "Late % | In time % |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (std::size_t index = 0; index < policies.size(); ++index) {
    PrintGroups(policies[index], results[index]);
  }
  PrintPoolWaits(aDeployment, results[2]);
}

} // namespace

int main(int aCount, char** aArguments)
{
  const std::uint64_t seeds = aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 5;
  if (seeds == 0) {
    fmt::print(stderr, "admission_experiment: the number of seeds must be at least 1\n");
    return 2;
  }
  for (const Deployment& deployment : Deployments()) {
    Report(deployment, seeds);
  }
  return 0;
}
