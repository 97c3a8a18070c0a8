#include "pistachiostand/job/Evacuation.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace pistachiostand::fleet {

namespace {

bool IsAway(const Subtask& aSubtask, Millis aSettleMs, Millis aNowMs)
{
  return aSubtask.m_atWorkSinceMs == 0 || aNowMs - aSubtask.m_atWorkSinceMs < aSettleMs ||
         std::ranges::none_of(aSubtask.m_runs,
                              [](const Run& aRun) { return aRun.m_phase == RunPhase::Running; });
}

} // namespace

std::vector<RunRef> PlanEvacuation(const JobBook& aBook, const std::set<ServerId>& aServers,
                                   Millis aSettleMs, Millis aNowMs)
{
  std::vector<RunRef> stops;
  std::map<std::tuple<JobId, std::uint32_t, std::uint32_t>, std::uint32_t> taken;
  for (const auto& server : aServers) {
    const auto found = aBook.m_byServer.find(server);
    if (found == aBook.m_byServer.end()) {
      continue;
    }
    for (const auto& id : found->second) {
      const Job& job = aBook.m_jobs.at(id.m_job);
      const StepSpec& spec = job.m_spec.m_steps.at(id.m_step);
      if (!spec.m_lasting || job.m_phase != JobPhase::Active) {
        continue;
      }
      const auto& step = job.m_occurrences.at(id.m_occurrence).m_steps.at(id.m_step);
      const Subtask& subtask = step.at(id.m_index);
      const auto run = std::ranges::find_if(subtask.m_runs, [&server](const Run& aRun) {
        return aRun.m_server == server && aRun.m_phase == RunPhase::Running;
      });
      if (run == subtask.m_runs.end()) {
        continue;
      }
      std::uint32_t away = 0;
      for (std::uint32_t other = 0; other < step.size(); ++other) {
        away += other != id.m_index && IsAway(step[other], aSettleMs, aNowMs) ? 1 : 0;
      }
      auto& now = taken[{ id.m_job, id.m_occurrence, id.m_step }];
      if (away + now < std::max(spec.m_mayMiss, 1U)) {
        stops.push_back({ id, run->m_number, server });
        ++now;
      }
    }
  }
  return stops;
}

} // namespace pistachiostand::fleet
