#include "pistachiostand/job/Demand.h"

#include "pistachiostand/account/RunningLimit.h"
#include "pistachiostand/job/Scheduler.h"

#include <algorithm>
#include <array>

namespace pistachiostand::fleet {

namespace {

constexpr double kMsPerS = 1'000.0;
/// Late work has little value; it gets enough instances to finish within this time.
constexpr double kLateCompletionS = 5.0;

/// \brief Declared needs, in the dimensions of Resources, also as an average over time.
using Needs = std::array<double, 3>;

Needs ToNeeds(const Resources& aResources)
{
  return { static_cast<double>(aResources.m_cpuMillis), static_cast<double>(aResources.m_memoryMb),
           static_cast<double>(aResources.m_gpus) };
}

void Add(Needs& aSum, const Needs& aNeeds, double aFactor)
{
  for (std::size_t i = 0; i < aNeeds.size(); ++i) {
    aSum[i] += aNeeds[i] * aFactor;
  }
}

/// \brief Part of what is wanted that fits into a limit, from 0 to 1. A limit of 0 is none.
double ShareWithin(const Needs& aWanted, const Needs& aUsed, const Needs& aLimit)
{
  double share = 1;
  for (std::size_t i = 0; i < aWanted.size(); ++i) {
    if (aLimit[i] > 0 && aWanted[i] > 0) {
      share = std::min(share, std::max(aLimit[i] - aUsed[i], 0.0) / aWanted[i]);
    }
  }
  return share;
}

/// \brief Demand of the jobs of one account in all pools, and what it means for its quota.
struct AccountDemand
{
  std::map<PoolName, PoolDemand> m_pools;
  Needs m_longRunning{};
  Needs m_runnable{};
  Needs m_average{};
  Needs m_late{};   ///< Need times seconds.
  Needs m_widest{}; ///< Largest subtask or gang, which may start alone beyond the quota.
};

/// \brief Capacity that one occurrence of a job needs, in instances.
struct OccurrenceDemand
{
  Needs m_longRunningNeed{};
  Needs m_runnableNeed{};
  Needs m_remainingNeedSeconds{};
  double m_longRunning{};
  double m_runnable{};
  double m_remainingInstanceSeconds{};
  std::uint32_t m_minSpreadInstances{};
};

void AddStep(OccurrenceDemand& aOccurrenceDemand, const StepSpec& aSpec, const StepTimes& aTimes,
             const std::vector<Subtask>& aSubtasks, bool aIsRunnable, const Resources& aCapacity,
             Millis aNowMs)
{
  const double share = DominantShare(ReservedResources(aSpec), aCapacity);
  if (aSpec.m_longRunning && aSpec.m_maxPerServer != 0) {
    const auto count = static_cast<std::uint32_t>(aSubtasks.size());
    aOccurrenceDemand.m_minSpreadInstances =
      std::max(aOccurrenceDemand.m_minSpreadInstances,
               (count + aSpec.m_maxPerServer - 1) / aSpec.m_maxPerServer);
  }
  const double seconds = static_cast<double>(std::max<Millis>(aTimes.m_runMs, 1)) / kMsPerS;
  const double left =
    std::min(seconds, static_cast<double>(RemainingStepMs(aTimes, aSubtasks, aNowMs)) / kMsPerS);
  for (const auto& subtask : aSubtasks) {
    if (aSpec.m_longRunning) {
      aOccurrenceDemand.m_longRunning += share;
      Add(aOccurrenceDemand.m_longRunningNeed, ToNeeds(aSpec.m_need), 1);
    } else if (!subtask.m_done) {
      const double remaining = subtask.m_runs.empty() ? seconds : left;
      aOccurrenceDemand.m_runnable += aIsRunnable ? share : 0;
      aOccurrenceDemand.m_remainingInstanceSeconds += share * remaining;
      Add(aOccurrenceDemand.m_runnableNeed, ToNeeds(aSpec.m_need), aIsRunnable ? 1 : 0);
      Add(aOccurrenceDemand.m_remainingNeedSeconds, ToNeeds(aSpec.m_need), remaining);
    }
  }
}

/// \brief Adds the demand of an account, reduced to what its quota lets run at once.
void AddWithinLimit(std::map<PoolName, PoolDemand>& aDemand, const AccountDemand& aAccount,
                    const Resources& aLimit)
{
  Needs limit = ToNeeds(aLimit);
  for (std::size_t i = 0; i < limit.size(); ++i) {
    limit[i] = limit[i] > 0 ? std::max(limit[i], aAccount.m_widest[i]) : 0;
  }
  Needs used{};
  const double longRunning = ShareWithin(aAccount.m_longRunning, used, limit);
  Add(used, aAccount.m_longRunning, longRunning);
  const double runnable = ShareWithin(aAccount.m_runnable, used, limit);
  const double average = ShareWithin(aAccount.m_average, used, limit);
  Add(used, aAccount.m_runnable, runnable);
  Needs late{};
  Add(late, aAccount.m_late, 1 / kLateCompletionS);
  const double lateShare = ShareWithin(late, used, limit);
  for (const auto& [name, demand] : aAccount.m_pools) {
    PoolDemand& pool = aDemand[name];
    pool.m_longRunning += demand.m_longRunning * longRunning;
    pool.m_runnable += demand.m_runnable * runnable;
    pool.m_averageParallelism += demand.m_averageParallelism * average;
    pool.m_lateInstanceSeconds += demand.m_lateInstanceSeconds * lateShare;
    pool.m_minSpreadInstances = std::max(pool.m_minSpreadInstances, demand.m_minSpreadInstances);
  }
}

} // namespace

std::map<PoolName, PoolDemand> DemandByPool(const DemandInput& aInput)
{
  std::map<PoolName, PoolDemand> demand;
  std::map<AccountName, AccountDemand> accounts;
  const QueueIndex queues{ aInput.m_configuration };
  for (const auto& id : aInput.m_jobTable.m_active) {
    const Job& job = aInput.m_jobTable.m_jobs.at(id);
    const QueueRule* rule = queues.Find(job.m_spec.m_queue);
    const auto capacity =
      aInput.m_capacity.find(rule != nullptr ? rule->m_pool : job.m_spec.m_pool);
    if (capacity == aInput.m_capacity.end()) {
      continue;
    }
    AccountDemand& account = accounts[job.m_spec.m_account];
    PoolDemand& pool = account.m_pools[capacity->first];
    for (const auto& step : job.m_spec.m_steps) {
      Needs need{};
      Add(need, ToNeeds(step.m_need), step.m_gang ? step.m_count : 1);
      std::ranges::transform(need, account.m_widest, account.m_widest.begin(),
                             [](double aLeft, double aRight) { return std::max(aLeft, aRight); });
    }
    for (const auto& [number, occurrence] : job.m_occurrences) {
      OccurrenceDemand occurrenceDemand;
      for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
        AddStep(occurrenceDemand, job.m_spec.m_steps[step], job.m_times[step],
                occurrence.m_steps[step], IsStepRunnable(job, occurrence, step), capacity->second,
                aInput.m_nowMs);
      }
      pool.m_longRunning += occurrenceDemand.m_longRunning;
      Add(account.m_longRunning, occurrenceDemand.m_longRunningNeed, 1);
      pool.m_minSpreadInstances =
        std::max(pool.m_minSpreadInstances, occurrenceDemand.m_minSpreadInstances);
      const Millis laterMs =
        job.m_begun ? aInput.m_nowMs : aInput.m_nowMs + aInput.m_provisioningMs;
      if (UrgencyOf(job, rule, number, occurrence, aInput.m_nowMs) > Urgency::InTime) {
        pool.m_lateInstanceSeconds += occurrenceDemand.m_remainingInstanceSeconds;
        Add(account.m_late, occurrenceDemand.m_remainingNeedSeconds, 1);
      } else if (UrgencyOf(job, rule, number, occurrence, laterMs) <= Urgency::InTime) {
        const auto criticalPathMs =
          std::max<Millis>(RemainingCriticalPathMs(job, occurrence, aInput.m_nowMs), 1);
        pool.m_runnable += occurrenceDemand.m_runnable;
        const double seconds = static_cast<double>(criticalPathMs) / kMsPerS;
        pool.m_averageParallelism += occurrenceDemand.m_remainingInstanceSeconds / seconds;
        Add(account.m_runnable, occurrenceDemand.m_runnableNeed, 1);
        Add(account.m_average, occurrenceDemand.m_remainingNeedSeconds, 1 / seconds);
      }
    }
  }
  for (const auto& [name, account] : accounts) {
    AddWithinLimit(demand, account, LimitOf(aInput.m_configuration.m_accounts, name));
  }
  for (const auto& [queue, arrivals] : aInput.m_arrivals) {
    const QueueRule* rule = queues.Find(queue);
    const auto capacity =
      rule != nullptr ? aInput.m_capacity.find(rule->m_pool) : aInput.m_capacity.end();
    if (capacity != aInput.m_capacity.end()) {
      demand[capacity->first].m_arriving +=
        ArrivingInstances(arrivals, capacity->second, aInput.m_nowMs, aInput.m_provisioningMs);
    }
  }
  return demand;
}

double UrgentInstances(const PoolDemand& aDemand) noexcept
{
  return std::max({ aDemand.m_runnable, aDemand.m_averageParallelism, aDemand.m_arriving });
}

double LateInstances(const PoolDemand& aDemand) noexcept
{
  return aDemand.m_lateInstanceSeconds / kLateCompletionS;
}

} // namespace pistachiostand::fleet
