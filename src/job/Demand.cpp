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

/// \param aOccurrence null for one that has not begun.
void AddStep(OccurrenceDemand& aOccurrenceDemand, const Job& aJob, const Occurrence* aOccurrence,
             std::uint32_t aStep, const Resources& aCapacity, Millis aNowMs)
{
  const StepSpec& spec = aJob.m_spec.m_steps[aStep];
  const StepTimes& times = aJob.m_times[aStep];
  const double share = DominantShare(ReservedResources(spec), aCapacity);
  if (spec.m_longRunning) {
    if (spec.m_maxPerServer != 0) {
      aOccurrenceDemand.m_minSpreadInstances =
        std::max(aOccurrenceDemand.m_minSpreadInstances,
                 (spec.m_count + spec.m_maxPerServer - 1) / spec.m_maxPerServer);
    }
    aOccurrenceDemand.m_longRunning += share * spec.m_count;
    Add(aOccurrenceDemand.m_longRunningNeed, ToNeeds(spec.m_need), spec.m_count);
    return;
  }
  const SubtaskCounts counts = CountSubtasks(aJob.m_spec, aOccurrence, aStep);
  const std::uint32_t open = counts.m_waiting + counts.m_started;
  if (open == 0) {
    return;
  }
  const double seconds = static_cast<double>(std::max<Millis>(times.m_runMs, 1)) / kMsPerS;
  const double left = std::min(
    seconds, static_cast<double>(RemainingStepMs(aJob, aOccurrence, aStep, aNowMs)) / kMsPerS);
  const double remaining = counts.m_waiting * seconds + counts.m_started * left;
  aOccurrenceDemand.m_remainingInstanceSeconds += share * remaining;
  Add(aOccurrenceDemand.m_remainingNeedSeconds, ToNeeds(spec.m_need), remaining);
  const bool isRunnable = aOccurrence == nullptr
                            ? spec.m_dependencies.empty()
                            : std::ranges::binary_search(aOccurrence->m_ready, aStep);
  if (isRunnable) {
    aOccurrenceDemand.m_runnable += share * open;
    Add(aOccurrenceDemand.m_runnableNeed, ToNeeds(spec.m_need), open);
  }
}

/// \param aOccurrence null for one that has not begun.
OccurrenceDemand DemandOf(const Job& aJob, const Occurrence* aOccurrence,
                          const Resources& aCapacity, Millis aNowMs)
{
  OccurrenceDemand demand;
  for (std::uint32_t step = 0; step < aJob.m_spec.m_steps.size(); ++step) {
    AddStep(demand, aJob, aOccurrence, step, aCapacity, aNowMs);
  }
  return demand;
}

/// \brief Occurrences of one demand, by how they stand to their objective.
struct OccurrenceCounts
{
  std::uint32_t m_all{};
  std::uint32_t m_late{};   ///< Late, or beyond the share of their account.
  std::uint32_t m_useful{}; ///< Would end in time with capacity that is ordered now.
};

/// \brief Adds equal occurrences of a job.
void AddOccurrences(PoolDemand& aPool, AccountDemand& aAccount, const OccurrenceDemand& aDemand,
                    const OccurrenceCounts& aCounts, Millis aCriticalPathMs)
{
  aPool.m_longRunning += aDemand.m_longRunning * aCounts.m_all;
  Add(aAccount.m_longRunning, aDemand.m_longRunningNeed, aCounts.m_all);
  aPool.m_minSpreadInstances = std::max(aPool.m_minSpreadInstances, aDemand.m_minSpreadInstances);
  aPool.m_lateInstanceSeconds += aDemand.m_remainingInstanceSeconds * aCounts.m_late;
  Add(aAccount.m_late, aDemand.m_remainingNeedSeconds, aCounts.m_late);
  const double seconds = static_cast<double>(std::max<Millis>(aCriticalPathMs, 1)) / kMsPerS;
  aPool.m_runnable += aDemand.m_runnable * aCounts.m_useful;
  aPool.m_averageParallelism += aDemand.m_remainingInstanceSeconds / seconds * aCounts.m_useful;
  Add(aAccount.m_runnable, aDemand.m_runnableNeed, aCounts.m_useful);
  Add(aAccount.m_average, aDemand.m_remainingNeedSeconds, aCounts.m_useful / seconds);
}

/// \brief Counts the occurrences that have not begun.
OccurrenceCounts CountWaiting(const Job& aJob, const QueueRule* aRule, Millis aNowMs,
                              Millis aLaterMs)
{
  const auto& occurrences = aJob.m_occurrences;
  const std::uint32_t due = aJob.m_dueOccurrences;
  const std::uint32_t all = occurrences.NotBegunWithin(0, due);
  if (std::ranges::any_of(aJob.m_spec.m_steps, &StepSpec::m_longRunning)) {
    return { all, 0, all };
  }
  if (aJob.m_beyondShare) {
    return { all, all, 0 };
  }
  const QueueTerms& terms = TermsOf(aJob, aRule);
  const auto inTime = FirstWithUrgency(aJob, terms, 0, Urgency::InTime, aNowMs);
  const auto useful = FirstWithUrgency(aJob, terms, inTime, Urgency::InTime, aLaterMs);
  return { all, occurrences.NotBegunWithin(0, inTime), occurrences.NotBegunWithin(useful, due) };
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
    const Millis laterMs = job.m_begun ? aInput.m_nowMs : aInput.m_nowMs + aInput.m_provisioningMs;
    for (const auto& [number, occurrence] : job.m_occurrences.Entries()) {
      const bool isLate =
        UrgencyOf(job, rule, number, &occurrence, aInput.m_nowMs) > Urgency::InTime;
      const bool isUseful =
        !isLate && UrgencyOf(job, rule, number, &occurrence, laterMs) <= Urgency::InTime;
      AddOccurrences(pool, account, DemandOf(job, &occurrence, capacity->second, aInput.m_nowMs),
                     { 1, isLate ? 1U : 0U, isUseful ? 1U : 0U },
                     RemainingCriticalPathMs(job, occurrence, aInput.m_nowMs));
    }
    if (WaitingOccurrences(job) != 0) {
      AddOccurrences(pool, account, DemandOf(job, nullptr, capacity->second, aInput.m_nowMs),
                     CountWaiting(job, rule, aInput.m_nowMs, laterMs), job.m_criticalPathMs);
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
