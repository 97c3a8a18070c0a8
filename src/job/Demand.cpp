#include "pistachiostand/job/Demand.h"

#include "pistachiostand/job/Scheduler.h"

#include <algorithm>

namespace pistachiostand::fleet {

namespace {

constexpr double kMsPerS = 1'000.0;
/// Late work earns little; it gets instances that finish it within some seconds.
constexpr double kLateS = 5.0;
/// A running subtask has on average half of its work left.
constexpr double kRunningShare = 0.5;

/// \brief Room that one occurrence of a job asks for, in instances.
struct JobRoom
{
  double m_lasting{};
  double m_open{};
  double m_workS{};
};

void AddStep(JobRoom& aRoom, const StepSpec& aSpec, const std::vector<Subtask>& aSubtasks,
             bool aOpen, const Resources& aCapacity)
{
  const double share = DominantShare(CountedNeed(aSpec), aCapacity);
  const double seconds = static_cast<double>(std::max<Millis>(aSpec.m_estimateMs, 1)) / kMsPerS;
  for (const auto& subtask : aSubtasks) {
    if (aSpec.m_lasting) {
      aRoom.m_lasting += share;
    } else if (!subtask.m_done) {
      aRoom.m_open += aOpen ? share : 0;
      aRoom.m_workS += share * seconds * (subtask.m_runs.empty() ? 1.0 : kRunningShare);
    }
  }
}

} // namespace

std::map<PoolName, PoolDemand> DemandByPool(const JobBook& aBook,
                                            const Configuration& aConfiguration,
                                            const std::map<PoolName, Resources>& aCapacity,
                                            Millis aNowMs)
{
  std::map<PoolName, PoolDemand> demand;
  for (const auto& id : aBook.m_active) {
    const Job& job = aBook.m_jobs.at(id);
    const auto capacity = aCapacity.find(PoolOf(job, aConfiguration));
    if (capacity == aCapacity.end()) {
      continue;
    }
    PoolDemand& pool = demand[capacity->first];
    for (const auto& [number, occurrence] : job.m_occurrences) {
      JobRoom room;
      for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
        AddStep(room, job.m_spec.m_steps[step], occurrence.m_steps[step],
                IsStepOpen(job, occurrence, step), capacity->second);
      }
      pool.m_lasting += room.m_lasting;
      if (UrgencyOf(job, aConfiguration, number, occurrence, aNowMs) > Urgency::InTime) {
        pool.m_lateS += room.m_workS;
        continue;
      }
      const auto chainMs = std::max<Millis>(RemainingChainMs(job, occurrence), 1);
      pool.m_open += room.m_open;
      pool.m_parallel += room.m_workS * kMsPerS / static_cast<double>(chainMs);
    }
  }
  return demand;
}

double UrgentInstances(const PoolDemand& aDemand) noexcept
{
  return std::max(aDemand.m_open, aDemand.m_parallel);
}

double LateInstances(const PoolDemand& aDemand) noexcept
{
  return aDemand.m_lateS / kLateS;
}

} // namespace pistachiostand::fleet
