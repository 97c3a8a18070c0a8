#include "pistachiostand/job/Demand.h"

#include "pistachiostand/job/Scheduler.h"

namespace pistachiostand::fleet {

namespace {

void AddStep(PoolDemand& aDemand, const StepSpec& aSpec, const std::vector<Subtask>& aSubtasks,
             const Resources& aCapacity)
{
  const double share = DominantShare(CountedNeed(aSpec), aCapacity);
  for (const auto& subtask : aSubtasks) {
    if (!subtask.m_runs.empty()) {
      aDemand.m_running += share * static_cast<double>(subtask.m_runs.size());
    } else if (!subtask.m_done) {
      aDemand.m_waiting += share;
    }
  }
}

} // namespace

std::map<PoolName, PoolDemand> DemandByPool(const JobBook& aBook,
                                            const Configuration& aConfiguration,
                                            const std::map<PoolName, Resources>& aCapacity)
{
  std::map<PoolName, PoolDemand> demand;
  for (const auto& id : aBook.m_active) {
    const Job& job = aBook.m_jobs.at(id);
    const auto capacity = aCapacity.find(PoolOf(job, aConfiguration));
    if (capacity == aCapacity.end()) {
      continue;
    }
    for (const auto& [number, occurrence] : job.m_occurrences) {
      for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
        if (IsStepOpen(job, occurrence, step)) {
          AddStep(demand[capacity->first], job.m_spec.m_steps[step], occurrence.m_steps[step],
                  capacity->second);
        }
      }
    }
  }
  return demand;
}

} // namespace pistachiostand::fleet
