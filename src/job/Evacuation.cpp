#include "pistachiostand/job/Evacuation.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pistachiostand::fleet {

namespace {

bool IsAway(const Subtask& aSubtask, const EvacuationInput& aInput)
{
  const auto run = std::ranges::find(aSubtask.m_runs, RunPhase::Running, &Run::m_phase);
  if (run == aSubtask.m_runs.end() || aSubtask.m_atWorkSinceMs == 0 ||
      aInput.m_silent.contains(run->m_server)) {
    return true;
  }
  return aInput.m_nowMs - aSubtask.m_atWorkSinceMs <
         (run->m_inherited ? aInput.m_inheritedSettleMs : aInput.m_settleMs);
}

class Evacuation
{
public:
  Evacuation(const JobBook& aBook, const Configuration& aConfiguration, EvacuationInput aInput)
    : m_book(aBook)
    , m_configuration(aConfiguration)
    , m_input(std::move(aInput))
  {
  }

  std::vector<RunRef> Plan()
  {
    for (const auto& server : m_input.m_servers) {
      const auto found = m_book.m_byServer.find(server);
      if (found != m_book.m_byServer.end()) {
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
    const Job& job = m_book.m_jobs.at(aId.m_job);
    const StepSpec& spec = job.m_spec.m_steps.at(aId.m_step);
    if (!spec.m_lasting || job.m_phase != JobPhase::Active) {
      return;
    }
    const auto& step = job.m_occurrences.at(aId.m_occurrence).m_steps.at(aId.m_step);
    const Subtask& subtask = step.at(aId.m_index);
    const auto run = std::ranges::find_if(subtask.m_runs, [&aServer](const Run& aRun) {
      return aRun.m_server == aServer && aRun.m_phase == RunPhase::Running;
    });
    if (run == subtask.m_runs.end()) {
      return;
    }
    std::uint32_t away = 0;
    for (std::uint32_t other = 0; other < step.size(); ++other) {
      away += other != aId.m_index && IsAway(step[other], m_input);
    }
    auto& taken = m_taken[{ aId.m_job, aId.m_occurrence, aId.m_step }];
    if (away + taken < std::max(spec.m_mayMiss, 1U) && TakePlace(job, spec, step)) {
      m_stops.push_back({ aId, run->m_number, aServer });
      ++taken;
    }
  }

  /// \brief Reserves room for one more subtask of the step on another server.
  bool TakePlace(const Job& aJob, const StepSpec& aSpec, const std::vector<Subtask>& aStep)
  {
    if (!m_input.m_rooms) {
      return true;
    }
    const Resources need = CountedNeed(aSpec);
    const PoolName& pool = PoolOf(aJob, m_configuration);
    const auto place = std::ranges::find_if(*m_input.m_rooms, [&](const ServerRoom& aRoom) {
      return aRoom.m_pool == pool && !aRoom.m_closed && !aRoom.m_leavingSoon &&
             Fits(need, aRoom.m_free) && MayRunOn(aSpec, aStep, aRoom);
    });
    if (place == m_input.m_rooms->end()) {
      return false;
    }
    place->m_free = place->m_free - need;
    return true;
  }

  static bool MayRunOn(const StepSpec& aSpec, const std::vector<Subtask>& aStep,
                       const ServerRoom& aRoom)
  {
    if (!aSpec.m_requiredLabel.empty() &&
        std::ranges::find(aRoom.m_labels, aSpec.m_requiredLabel) == aRoom.m_labels.end()) {
      return false;
    }
    return aSpec.m_maxPerServer == 0 ||
           std::ranges::count_if(aStep, [&aRoom](const Subtask& aSubtask) {
             return std::ranges::any_of(
               aSubtask.m_runs, [&aRoom](const Run& aRun) { return aRun.m_server == aRoom.m_id; });
           }) < static_cast<std::ptrdiff_t>(aSpec.m_maxPerServer);
  }

  const JobBook& m_book;
  const Configuration& m_configuration;
  EvacuationInput m_input;
  std::map<StepId, std::uint32_t> m_taken;
  std::vector<RunRef> m_stops;
};

} // namespace

std::map<ServerId, double> EvacuationRounds(const JobBook& aBook,
                                            const std::set<ServerId>& aServers)
{
  std::map<StepId, double> rounds;
  std::map<ServerId, std::set<StepId>> stepsOn;
  for (const auto& server : aServers) {
    const auto found = aBook.m_byServer.find(server);
    if (found == aBook.m_byServer.end()) {
      continue;
    }
    for (const auto& id : found->second) {
      const StepSpec& spec = *FindStep(aBook, id);
      if (spec.m_lasting) {
        const StepId step{ id.m_job, id.m_occurrence, id.m_step };
        rounds[step] += 1.0 / std::max(spec.m_mayMiss, 1U);
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

std::vector<RunRef> PlanEvacuation(const JobBook& aBook, const Configuration& aConfiguration,
                                   EvacuationInput aInput)
{
  return Evacuation{ aBook, aConfiguration, std::move(aInput) }.Plan();
}

} // namespace pistachiostand::fleet
