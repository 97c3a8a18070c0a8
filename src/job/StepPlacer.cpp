#include "StepPlacer.h"

#include <algorithm>
#include <limits>
#include <set>
#include <string>

namespace pistachiostand::fleet {

namespace {

/// A speculative subtask is copied when its first run takes this multiple of its estimate, or
/// earlier when the run times of its queue vary so little that a healthy run would have ended.
constexpr int kSpeculationFactor = 2;
/// A healthy run is assumed to take up to this much of its estimate in any case, so that a slight
/// change of the workload does not copy every subtask.
constexpr double kMinSpeculationFactor = 1.5;
/// Shorter runs are not copied, because starting a copy takes about this long.
constexpr Millis kMinSpeculationDelayMs = 600;

/// \brief Time after which a run of a speculative subtask is copied.
Millis SpeculationDelayMs(const StepTimes& aTimes)
{
  const Millis latest = kSpeculationFactor * aTimes.m_runMs;
  const auto earliest =
    static_cast<Millis>(kMinSpeculationFactor * static_cast<double>(aTimes.m_runMs));
  const Millis delay =
    aTimes.m_slowMs == 0 ? latest : std::clamp(aTimes.m_slowMs, earliest, latest);
  return std::max(delay, kMinSpeculationDelayMs);
}

/// \brief How often a need fits into what is free.
std::int64_t TimesThatFit(const Resources& aNeed, const Resources& aFree)
{
  std::int64_t times = std::numeric_limits<std::int32_t>::max();
  for (const auto& [need, free] : { std::pair{ aNeed.m_cpuMillis, aFree.m_cpuMillis },
                                    std::pair{ aNeed.m_memoryMb, aFree.m_memoryMb },
                                    std::pair{ aNeed.m_gpus, aFree.m_gpus } }) {
    times = need == 0 ? times : std::min(times, free / need);
  }
  return times;
}

} // namespace

bool NeedsSpeculativeCopy(const StepSpec& aStep, const StepTimes& aTimes, const Subtask& aSubtask,
                          Millis aNowMs)
{
  if (!aStep.m_speculative || aStep.m_gang || aStep.m_longRunning || aSubtask.m_done ||
      aSubtask.m_runs.size() != 1) {
    return false;
  }
  const Run& run = aSubtask.m_runs.front();
  return run.m_phase != RunPhase::Planned && aNowMs - run.m_sinceMs > SpeculationDelayMs(aTimes);
}

StepPlacer::StepPlacer(JobTable& aJobTable, const std::vector<ServerView*>& aServers,
                       const SchedulerInput& aInput, const StepId& aId,
                       const PlacementLimits& aLimits)
  : m_jobTable(aJobTable)
  , m_servers(aServers)
  , m_input(aInput)
  , m_id(aId)
  , m_job(aJobTable.m_jobs.at(aId.m_job))
  , m_spec(m_job.m_spec.m_steps[aId.m_step])
  , m_limits(aLimits)
  , m_need(ReservedResources(m_spec))
{
  const StepState* state = State();
  if (m_spec.m_maxPerServer == 0 || state == nullptr) {
    return;
  }
  for (const auto& [index, subtask] : state->Entries()) {
    for (const auto& run : subtask.m_runs) {
      ++m_stepRunsByServer[run.m_server];
    }
  }
}

const StepState* StepPlacer::State() const
{
  const Occurrence* occurrence = m_job.m_occurrences.Find(m_id.m_occurrence);
  return occurrence == nullptr ? nullptr : occurrence->m_steps.Find(m_id.m_step);
}

bool StepPlacer::Place(std::vector<Placement>& aPlacements)
{
  if (m_spec.m_gang) {
    PlaceGang(aPlacements);
    return true;
  }
  const Occurrence* occurrence = m_job.m_occurrences.Find(m_id.m_occurrence);
  if (occurrence != nullptr && occurrence->m_steps.HasEnded(m_id.m_step)) {
    return true;
  }
  const auto firstWaiting = [this](std::uint32_t aFrom) {
    const StepState* state = State();
    return state != nullptr ? state->FirstWaiting(aFrom) : std::optional{ std::uint32_t{ 0 } };
  };
  for (auto index = firstWaiting(0); index; index = firstWaiting(*index + 1)) {
    if (m_limits.m_startsWithinQuota == 0) {
      return false;
    }
    if (m_limits.m_startsLeft == 0) {
      return true;
    }
    ServerView* server = ChooseServer(m_servers, {});
    if (server == nullptr) {
      return true; // All subtasks of a step have the same need, so no other fits either.
    }
    const StepState* state = State();
    const Subtask* subtask = state == nullptr ? nullptr : state->Find(*index);
    PlanPlacement(*server, *index, subtask == nullptr ? 1 : subtask->m_lastRun + 1, false,
                  aPlacements);
    --m_limits.m_startsWithinQuota;
  }
  return PlaceCopies(aPlacements);
}

bool StepPlacer::PlaceCopies(std::vector<Placement>& aPlacements)
{
  const StepState* state = State();
  if (!m_spec.m_speculative || state == nullptr) {
    return true;
  }
  const StepTimes& times = m_job.m_times[m_id.m_step];
  for (const auto& [index, subtask] : state->Entries()) {
    if (!NeedsSpeculativeCopy(m_spec, times, subtask, m_input.m_nowMs)) {
      continue;
    }
    if (m_limits.m_startsWithinQuota == 0) {
      return false;
    }
    ServerView* server = m_limits.m_startsLeft == 0
                           ? nullptr
                           : ChooseServer(m_servers, subtask.m_runs.front().m_server);
    if (server != nullptr) {
      PlanPlacement(*server, index, subtask.m_lastRun + 1, true, aPlacements);
      --m_limits.m_startsWithinQuota;
    }
  }
  return true;
}

bool StepPlacer::CanRunOn(const ServerView& aServer, const ServerId& aExcludedServer) const
{
  // The cheapest check comes first; most servers of a full pool fail it.
  if (aServer.m_unschedulable || !Fits(m_need, aServer.m_free) || aServer.m_id == aExcludedServer ||
      (aServer.m_startsLeft == 0 && !m_spec.m_gang)) {
    return false;
  }
  if (m_spec.m_maxPerServer != 0) {
    const auto placed = m_stepRunsByServer.find(aServer.m_id);
    if (placed != m_stepRunsByServer.end() && placed->second >= m_spec.m_maxPerServer) {
      return false;
    }
  }
  const bool labelled =
    m_spec.m_requiredLabel.empty() ||
    std::ranges::find(aServer.m_labels, m_spec.m_requiredLabel) != aServer.m_labels.end();
  return labelled && (m_limits.m_tickets == nullptr || m_limits.m_tickets->contains(aServer.m_id));
}

double StepPlacer::Cost(const ServerView& aServer) const
{
  // Prefers the fullest server that fits, so that others become empty and can leave the pool.
  double cost = DominantShare(aServer.m_free, aServer.m_capacity) / 2;
  if (!m_spec.m_dataRack.empty() &&
      std::ranges::find(aServer.m_labels, m_spec.m_dataRack) == aServer.m_labels.end()) {
    cost += m_input.m_remoteFactor;
  }
  if (aServer.m_avoid) {
    cost += 10;
  }
  if (m_spec.m_longRunning) {
    // Long-running runs share instances, so that the others can leave the pool when its queue is
    // idle.
    cost -= aServer.m_load.m_longRunning != 0 ? 1 : 0;
    cost += aServer.m_maintenanceDue ? 2 : 0;
    cost += m_spec.m_tailLatencyTargetMs != 0 && aServer.m_load.m_bestEffortRuns != 0 ? 1 : 0;
    cost += m_spec.m_bestEffort && aServer.m_load.m_serving != 0 ? 1 : 0;
  }
  return cost;
}

ServerView* StepPlacer::ChooseServer(const std::vector<ServerView*>& aServers,
                                     const ServerId& aExcludedServer) const
{
  ServerView* best = nullptr;
  double bestCost = 0;
  for (ServerView* server : aServers) {
    if (!CanRunOn(*server, aExcludedServer)) {
      continue;
    }
    const double cost = Cost(*server);
    if (best == nullptr || cost < bestCost) {
      best = server;
      bestCost = cost;
    }
  }
  return best;
}

void StepPlacer::PlanPlacement(ServerView& aServer, std::uint32_t aIndex, std::uint64_t aRun,
                               bool aCopy, std::vector<Placement>& aPlacements)
{
  const SubtaskId id{ m_id.m_job, m_id.m_occurrence, m_id.m_step, aIndex };
  PlanRun(m_jobTable, id, aServer.m_id, aRun, m_input.m_nowMs);
  aServer.m_free = aServer.m_free - m_need;
  aServer.m_load = m_jobTable.m_load.at(aServer.m_id);
  aServer.m_startsLeft -= std::min<std::size_t>(aServer.m_startsLeft, 1);
  m_limits.m_startsLeft -= std::min<std::size_t>(m_limits.m_startsLeft, 1);
  if (m_spec.m_maxPerServer != 0) {
    ++m_stepRunsByServer[aServer.m_id];
  }
  aPlacements.push_back({ id, aServer.m_id, aRun, aCopy });
}

void StepPlacer::PlaceGang(std::vector<Placement>& aPlacements)
{
  const Occurrence* occurrence = m_job.m_occurrences.Find(m_id.m_occurrence);
  if (CountSubtasks(m_job.m_spec, occurrence, m_id.m_step).m_waiting != m_spec.m_count) {
    return; // Runs of the previous start have not ended yet.
  }
  if (m_spec.m_sameRack && PlaceGangInOneRack(aPlacements)) {
    return;
  }
  PlaceGangOn(m_servers, aPlacements);
}

bool StepPlacer::PlaceGangInOneRack(std::vector<Placement>& aPlacements)
{
  std::set<std::string> racks;
  for (const ServerView* server : m_servers) {
    racks.insert(server->m_labels.empty() ? std::string{} : server->m_labels.back());
  }
  return std::ranges::any_of(racks, [&](const std::string& aRack) {
    std::vector<ServerView*> inRack;
    std::ranges::copy_if(m_servers, std::back_inserter(inRack), [&](const ServerView* aServer) {
      return !aServer->m_labels.empty() && aServer->m_labels.back() == aRack;
    });
    return PlaceGangOn(inRack, aPlacements);
  });
}

std::int64_t StepPlacer::RoomFor(const std::vector<ServerView*>& aServers) const
{
  std::int64_t room = 0;
  for (const ServerView* server : aServers) {
    if (CanRunOn(*server, {})) {
      const std::int64_t times = TimesThatFit(m_need, server->m_free);
      room +=
        m_spec.m_maxPerServer == 0 ? times : std::min<std::int64_t>(times, m_spec.m_maxPerServer);
    }
  }
  return room;
}

bool StepPlacer::PlaceGangOn(const std::vector<ServerView*>& aServers,
                             std::vector<Placement>& aPlacements)
{
  // A gang that does not fit is found out without choosing a server for each member.
  if (RoomFor(aServers) < std::int64_t{ m_spec.m_count }) {
    return false;
  }
  const auto before = m_stepRunsByServer;
  std::vector<ServerView*> chosen;
  for (std::uint32_t member = 0; member < m_spec.m_count; ++member) {
    ServerView* best = ChooseServer(aServers, {});
    if (best == nullptr) {
      break;
    }
    best->m_free = best->m_free - m_need;
    if (m_spec.m_maxPerServer != 0) {
      ++m_stepRunsByServer[best->m_id];
    }
    chosen.push_back(best);
  }
  for (ServerView* server : chosen) {
    server->m_free = server->m_free + m_need;
  }
  m_stepRunsByServer = before;
  if (chosen.size() != m_spec.m_count) {
    return false;
  }
  const auto run = NextRunNumber(m_jobTable, { m_id.m_job, m_id.m_occurrence, m_id.m_step, 0 });
  for (std::uint32_t index = 0; index < chosen.size(); ++index) {
    PlanPlacement(*chosen[index], index, run, false, aPlacements);
  }
  return true;
}

} // namespace pistachiostand::fleet
