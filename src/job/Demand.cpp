#include "pistachiostand/job/Demand.h"

#include "pistachiostand/job/Scheduler.h"

#include <algorithm>

namespace pistachiostand::fleet {

namespace {

constexpr double kMsPerS = 1'000.0;
/// Work that is there now should be done within this time: about the run time of one subtask. An
/// instance costs little against the credit of the work that it does in time.
constexpr double kUrgentS = 1.0;
/// Late work earns little; it gets instances that finish it within some seconds.
constexpr double kLateS = 5.0;
/// A running subtask has on average half of its work left.
constexpr double kRunningShare = 0.5;

void AddStep(PoolDemand& aDemand, double& aWorkS, const StepSpec& aSpec,
             const std::vector<Subtask>& aSubtasks, const Resources& aCapacity)
{
  const double share = DominantShare(CountedNeed(aSpec), aCapacity);
  const double seconds = static_cast<double>(std::max<Millis>(aSpec.m_estimateMs, 1)) / kMsPerS;
  for (const auto& subtask : aSubtasks) {
    if (aSpec.m_lasting) {
      aDemand.m_lasting += share;
    } else if (!subtask.m_runs.empty()) {
      aDemand.m_running += share * static_cast<double>(subtask.m_runs.size());
      aWorkS += share * seconds * kRunningShare;
    } else if (!subtask.m_done) {
      aWorkS += share * seconds;
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
      double work = 0;
      for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
        AddStep(pool, work, job.m_spec.m_steps[step], occurrence.m_steps[step], capacity->second);
      }
      const auto urgency = UrgencyOf(job, aConfiguration, number, occurrence, aNowMs);
      (urgency <= Urgency::InTime ? pool.m_urgentS : pool.m_lateS) += work;
    }
  }
  return demand;
}

double UrgentInstances(const PoolDemand& aDemand) noexcept
{
  return aDemand.m_lasting + aDemand.m_urgentS / kUrgentS;
}

double LateInstances(const PoolDemand& aDemand) noexcept
{
  return aDemand.m_lateS / kLateS;
}

} // namespace pistachiostand::fleet
