#include "pistachiostand/job/Demand.h"

#include "pistachiostand/job/Scheduler.h"

#include <algorithm>

namespace pistachiostand::fleet {

namespace {

constexpr double kMsPerS = 1'000.0;
/// Late work earns little; it gets instances that finish it within some seconds.
constexpr double kLateS = 5.0;

/// \brief Room that one occurrence of a job asks for, in instances.
struct JobRoom
{
  double m_lasting{};
  double m_open{};
  double m_workS{};
  std::uint32_t m_apart{};
};

void AddStep(JobRoom& aRoom, const StepSpec& aSpec, const StepTimes& aTimes,
             const std::vector<Subtask>& aSubtasks, bool aOpen, const Resources& aCapacity,
             Millis aNowMs)
{
  const double share = DominantShare(CountedNeed(aSpec), aCapacity);
  if (aSpec.m_lasting && aSpec.m_maxPerServer != 0) {
    const auto count = static_cast<std::uint32_t>(aSubtasks.size());
    aRoom.m_apart =
      std::max(aRoom.m_apart, (count + aSpec.m_maxPerServer - 1) / aSpec.m_maxPerServer);
  }
  const double seconds = static_cast<double>(std::max<Millis>(aTimes.m_runMs, 1)) / kMsPerS;
  const double left =
    std::min(seconds, static_cast<double>(RemainingStepMs(aTimes, aSubtasks, aNowMs)) / kMsPerS);
  for (const auto& subtask : aSubtasks) {
    if (aSpec.m_lasting) {
      aRoom.m_lasting += share;
    } else if (!subtask.m_done) {
      aRoom.m_open += aOpen ? share : 0;
      aRoom.m_workS += share * (subtask.m_runs.empty() ? seconds : left);
    }
  }
}

} // namespace

std::map<PoolName, PoolDemand> DemandByPool(const DemandInput& aInput)
{
  std::map<PoolName, PoolDemand> demand;
  const QueueIndex queues{ aInput.m_configuration };
  for (const auto& id : aInput.m_book.m_active) {
    const Job& job = aInput.m_book.m_jobs.at(id);
    const QueueRule* rule = queues.Find(job.m_spec.m_queue);
    const auto capacity =
      aInput.m_capacity.find(rule != nullptr ? rule->m_pool : job.m_spec.m_pool);
    if (capacity == aInput.m_capacity.end()) {
      continue;
    }
    PoolDemand& pool = demand[capacity->first];
    for (const auto& [number, occurrence] : job.m_occurrences) {
      JobRoom room;
      for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
        AddStep(room, job.m_spec.m_steps[step], job.m_times[step], occurrence.m_steps[step],
                IsStepOpen(job, occurrence, step), capacity->second, aInput.m_nowMs);
      }
      pool.m_lasting += room.m_lasting;
      pool.m_apart = std::max(pool.m_apart, room.m_apart);
      const Millis laterMs = job.m_begun ? aInput.m_nowMs : aInput.m_nowMs + aInput.m_moveMs;
      if (UrgencyOf(job, rule, number, occurrence, aInput.m_nowMs) > Urgency::InTime) {
        pool.m_lateS += room.m_workS;
      } else if (UrgencyOf(job, rule, number, occurrence, laterMs) <= Urgency::InTime) {
        const auto chainMs = std::max<Millis>(RemainingChainMs(job, occurrence, aInput.m_nowMs), 1);
        pool.m_open += room.m_open;
        pool.m_parallel += room.m_workS * kMsPerS / static_cast<double>(chainMs);
      }
    }
  }
  for (const auto& [queue, arrivals] : aInput.m_arrivals) {
    const QueueRule* rule = queues.Find(queue);
    const auto capacity =
      rule != nullptr ? aInput.m_capacity.find(rule->m_pool) : aInput.m_capacity.end();
    if (capacity != aInput.m_capacity.end()) {
      demand[capacity->first].m_arriving +=
        ArrivingInstances(arrivals, capacity->second, aInput.m_nowMs, aInput.m_moveMs);
    }
  }
  return demand;
}

double UrgentInstances(const PoolDemand& aDemand) noexcept
{
  return std::max({ aDemand.m_open, aDemand.m_parallel, aDemand.m_arriving });
}

double LateInstances(const PoolDemand& aDemand) noexcept
{
  return aDemand.m_lateS / kLateS;
}

} // namespace pistachiostand::fleet
