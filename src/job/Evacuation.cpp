#include "pistachiostand/job/Evacuation.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pistachiostand::fleet {

namespace {

bool IsUnavailable(const Subtask& aSubtask, const EvacuationInput& aInput)
{
  const auto run = std::ranges::find(aSubtask.m_runs, RunPhase::Running, &Run::m_phase);
  if (run == aSubtask.m_runs.end() || aSubtask.m_readySinceMs == 0 ||
      aInput.m_unresponsiveServers.contains(run->m_server)) {
    return true;
  }
  return aInput.m_nowMs - aSubtask.m_readySinceMs <
         (run->m_inherited ? aInput.m_inheritedSettleMs : aInput.m_settleMs);
}

class Evacuation
{
public:
  Evacuation(const JobTable& aJobTable, const Configuration& aConfiguration, EvacuationInput aInput)
    : m_jobTable(aJobTable)
    , m_configuration(aConfiguration)
    , m_input(std::move(aInput))
  {
  }

  std::vector<RunRef> Plan()
  {
    for (const auto& server : m_input.m_servers) {
      const auto found = m_jobTable.m_byServer.find(server);
      if (found != m_jobTable.m_byServer.end()) {
        for (const auto& id : found->second) {
          PlanSubtask(id, server);
        }
      }
    }
    return std::move(m_stops);
  }

private:
  void PlanSubtask(const SubtaskId& aId, const ServerId& aServer)
  {
    const Job& job = m_jobTable.m_jobs.at(aId.m_job);
    const StepSpec& spec = job.m_spec.m_steps.at(aId.m_step);
    if (!spec.m_longRunning || job.m_phase != JobPhase::Active) {
      return;
    }
    const StepState& step = *job.m_occurrences.Find(aId.m_occurrence)->m_steps.Find(aId.m_step);
    const Subtask& subtask = *step.Find(aId.m_index);
    const auto run = std::ranges::find_if(subtask.m_runs, [&aServer](const Run& aRun) {
      return aRun.m_server == aServer && aRun.m_phase == RunPhase::Running;
    });
    if (run == subtask.m_runs.end()) {
      return;
    }
    std::uint32_t available = 0;
    for (const auto& [other, state] : step.Entries()) {
      available += other != aId.m_index && !IsUnavailable(state, m_input);
    }
    const std::uint32_t unavailable = step.Count() - 1 - available;
    auto& plannedStops = m_plannedStops[{ aId.m_job, aId.m_occurrence, aId.m_step }];
    if (unavailable + plannedStops < std::max(spec.m_maxUnavailable, 1U) &&
        ReserveCapacity(job, spec, step)) {
      m_stops.push_back({ aId, run->m_number, aServer });
      ++plannedStops;
    }
  }

  /// \brief Reserves capacity for one more subtask of the step on another server.
  bool ReserveCapacity(const Job& aJob, const StepSpec& aSpec, const StepState& aStep)
  {
    if (!m_input.m_destinations) {
      return true;
    }
    const Resources need = ReservedResources(aSpec);
    const PoolName& pool = PoolOf(aJob, m_configuration);
    const auto destination =
      std::ranges::find_if(*m_input.m_destinations, [&](const ServerView& aDestination) {
        return aDestination.m_pool == pool && !aDestination.m_unschedulable &&
               !aDestination.m_maintenanceDue && Fits(need, aDestination.m_free) &&
               CanRunOn(aSpec, aStep, aDestination);
      });
    if (destination == m_input.m_destinations->end()) {
      return false;
    }
    destination->m_free = destination->m_free - need;
    return true;
  }

  static bool CanRunOn(const StepSpec& aSpec, const StepState& aStep,
                       const ServerView& aDestination)
  {
    if (!aSpec.m_requiredLabel.empty() &&
        std::ranges::find(aDestination.m_labels, aSpec.m_requiredLabel) ==
          aDestination.m_labels.end()) {
      return false;
    }
    return aSpec.m_maxPerServer == 0 ||
           std::ranges::count_if(aStep.Entries(), [&aDestination](const auto& aEntry) {
             return std::ranges::any_of(aEntry.second.m_runs, [&aDestination](const Run& aRun) {
               return aRun.m_server == aDestination.m_id;
             });
           }) < static_cast<std::ptrdiff_t>(aSpec.m_maxPerServer);
  }

  const JobTable& m_jobTable;
  const Configuration& m_configuration;
  EvacuationInput m_input;
  std::map<StepId, std::uint32_t> m_plannedStops;
  std::vector<RunRef> m_stops;
};

} // namespace

std::map<ServerId, double> EvacuationRounds(const JobTable& aJobTable,
                                            const std::set<ServerId>& aServers)
{
  std::map<StepId, double> rounds;
  std::map<ServerId, std::set<StepId>> stepsOn;
  for (const auto& server : aServers) {
    const auto found = aJobTable.m_byServer.find(server);
    if (found == aJobTable.m_byServer.end()) {
      continue;
    }
    for (const auto& id : found->second) {
      const StepSpec& spec = *FindStep(aJobTable, id);
      if (spec.m_longRunning) {
        const StepId step{ id.m_job, id.m_occurrence, id.m_step };
        rounds[step] += 1.0 / std::max(spec.m_maxUnavailable, 1U);
        stepsOn[server].insert(step);
      }
    }
  }
  std::map<ServerId, double> result;
  for (const auto& [server, steps] : stepsOn) {
    for (const auto& step : steps) {
      result[server] = std::max(result[server], rounds.at(step));
    }
  }
  return result;
}

std::vector<RunRef> PlanEvacuation(const JobTable& aJobTable, const Configuration& aConfiguration,
                                   EvacuationInput aInput)
{
  return Evacuation{ aJobTable, aConfiguration, std::move(aInput) }.Plan();
}

} // namespace pistachiostand::fleet
