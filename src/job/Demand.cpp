#include "pistachiostand/job/Demand.h"

#include "pistachiostand/job/Scheduler.h"

#include <algorithm>

namespace pistachiostand::fleet {

namespace {

constexpr double kMsPerS = 1'000.0;
/// Late work has little value; it gets enough instances to finish within this time.
constexpr double kLateCompletionS = 5.0;

/// \brief Capacity that one occurrence of a job needs, in instances.
struct OccurrenceDemand
{
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
    } else if (!subtask.m_done) {
      aOccurrenceDemand.m_runnable += aIsRunnable ? share : 0;
      aOccurrenceDemand.m_remainingInstanceSeconds +=
        share * (subtask.m_runs.empty() ? seconds : left);
    }
  }
}

} // namespace

std::map<PoolName, PoolDemand> DemandByPool(const DemandInput& aInput)
{
  std::map<PoolName, PoolDemand> demand;
  const QueueIndex queues{ aInput.m_configuration };
  for (const auto& id : aInput.m_jobTable.m_active) {
    const Job& job = aInput.m_jobTable.m_jobs.at(id);
    const QueueRule* rule = queues.Find(job.m_spec.m_queue);
    const auto capacity =
      aInput.m_capacity.find(rule != nullptr ? rule->m_pool : job.m_spec.m_pool);
    if (capacity == aInput.m_capacity.end()) {
      continue;
    }
    PoolDemand& pool = demand[capacity->first];
    for (const auto& [number, occurrence] : job.m_occurrences) {
      OccurrenceDemand occurrenceDemand;
      for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
        AddStep(occurrenceDemand, job.m_spec.m_steps[step], job.m_times[step],
                occurrence.m_steps[step], IsStepRunnable(job, occurrence, step), capacity->second,
                aInput.m_nowMs);
      }
      pool.m_longRunning += occurrenceDemand.m_longRunning;
      pool.m_minSpreadInstances =
        std::max(pool.m_minSpreadInstances, occurrenceDemand.m_minSpreadInstances);
      const Millis laterMs =
        job.m_begun ? aInput.m_nowMs : aInput.m_nowMs + aInput.m_provisioningMs;
      if (UrgencyOf(job, rule, number, occurrence, aInput.m_nowMs) > Urgency::InTime) {
        pool.m_lateInstanceSeconds += occurrenceDemand.m_remainingInstanceSeconds;
      } else if (UrgencyOf(job, rule, number, occurrence, laterMs) <= Urgency::InTime) {
        const auto criticalPathMs =
          std::max<Millis>(RemainingCriticalPathMs(job, occurrence, aInput.m_nowMs), 1);
        pool.m_runnable += occurrenceDemand.m_runnable;
        pool.m_averageParallelism += occurrenceDemand.m_remainingInstanceSeconds * kMsPerS /
                                     static_cast<double>(criticalPathMs);
      }
    }
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
