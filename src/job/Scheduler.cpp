#include "pistachiostand/job/Scheduler.h"

#include "pistachiostand/account/RunningLimit.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace pistachiostand::fleet {

namespace {

/// The credit of a job is the value of completing it, as a multiple of the credit of a job with the
/// mean work of its queue. This part of it does not depend on the work.
constexpr double kBaseCredit = 0.3;
/// The credit grows with the work up to this value.
constexpr double kMaxCredit = 4.0;
/// A job that completes within three times its objective still has a little value.
constexpr int kLateFactor = 3;
/// A speculative subtask is copied when its first run takes this multiple of its estimate, or
/// earlier when the run times of its queue vary so little that a healthy run would have ended.
constexpr int kSpeculationFactor = 2;
/// A healthy run is assumed to take up to this much of its estimate in any case, so that a slight
/// change of the workload does not copy every subtask.
constexpr double kMinSpeculationFactor = 1.5;
/// Shorter runs are not copied, because starting a copy takes about this long.
constexpr Millis kMinSpeculationDelayMs = 600;
/// A job has enough margin when it would meet its objective even if its true critical path were
/// shorter than expected by this fraction: the objective is a multiple of the true critical path,
/// so a shorter path brings the objective forward by more than the end of the job. Four in five
/// true critical paths are longer than that.
constexpr double kSafetyShare = 0.3;
/// Time from the end of a step to the start of the next: the reports, a record and the orders.
constexpr Millis kStepDelayMs = 60;
/// An overdue step is assumed to need its expected time divided by this.
constexpr Millis kMinRemainingDivisor = 5;

struct Candidate
{
  Urgency m_urgency{};
  Urgency m_objectiveUrgency{}; ///< As m_urgency, regardless of the share.
  std::uint32_t m_priority{};
  double m_creditDensity{}; ///< Credit for each remaining core-second.
  Millis m_objectiveEndMs{};
  const Job* m_job{};
  const QueueRule* m_rule{}; ///< Null when the queue no longer exists.
  std::uint32_t m_occurrence{};
  std::uint32_t m_step{};
};

/// \brief Slack that a job needs beyond its expected time to rarely miss its objective.
Millis SafetyMarginMs(const Job& aJob, const QueueTerms& aTerms, Millis aCriticalPathMs)
{
  const double stretch = std::max(aTerms.m_stretch - 1.0, 0.0);
  return static_cast<Millis>(kSafetyShare * stretch * static_cast<double>(aCriticalPathMs)) +
         kStepDelayMs * static_cast<Millis>(aJob.m_spec.m_steps.size());
}

Urgency UrgencyByTerms(const Job& aJob, const QueueTerms& aTerms, std::uint32_t aOccurrence,
                       const Occurrence& aState, Millis aNowMs)
{
  const Millis criticalPath = RemainingCriticalPathMs(aJob, aState, aNowMs);
  const Millis finish = aNowMs + criticalPath;
  const Millis end = ObjectiveEndMs(aJob, aTerms, aOccurrence);
  const Millis objective = end - aJob.m_acceptedMs;
  if (finish + SafetyMarginMs(aJob, aTerms, criticalPath) <= end) {
    return Urgency::InTime;
  }
  if (finish <= end) {
    return Urgency::AtRisk;
  }
  return finish <= end + (kLateFactor - 1) * objective ? Urgency::Late : Urgency::NoValue;
}

/// \brief Places a job beyond the share after the jobs within theirs that have value.
Urgency ApplyShare(const Job& aJob, Urgency aUrgency)
{
  return aJob.m_beyondShare && aUrgency < Urgency::NoValue ? Urgency::BeyondShare : aUrgency;
}

bool HasPrecedence(const Candidate& aLeft, const Candidate& aRight)
{
  // Among the jobs beyond the share, too, those that will be late must not delay the others.
  return std::tuple{ aLeft.m_urgency, aLeft.m_objectiveUrgency, aLeft.m_objectiveEndMs,
                     -aLeft.m_creditDensity } <
         std::tuple{ aRight.m_urgency, aRight.m_objectiveUrgency, aRight.m_objectiveEndMs,
                     -aRight.m_creditDensity };
}

double RemainingWork(const Job& aJob, const Occurrence& aOccurrence)
{
  double work = 0;
  for (std::size_t step = 0; step < aOccurrence.m_steps.size(); ++step) {
    const StepSpec& spec = aJob.m_spec.m_steps[step];
    const auto left = std::ranges::count(aOccurrence.m_steps[step], false, &Subtask::m_done);
    work += WorkOf(spec, aJob.m_times[step].m_runMs) * static_cast<double>(left) /
            static_cast<double>(std::max(spec.m_count, 1U));
  }
  return work;
}

bool NeedsStart(const Subtask& aSubtask)
{
  return !aSubtask.m_done && aSubtask.m_runs.empty();
}

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

Candidate MakeCandidate(const Job& aJob, const QueueRule* aRule, std::uint32_t aOccurrence,
                        const Occurrence& aState, std::uint32_t aStep, const SchedulerInput& aInput)
{
  Candidate candidate;
  candidate.m_job = &aJob;
  candidate.m_rule = aRule;
  candidate.m_occurrence = aOccurrence;
  candidate.m_step = aStep;
  candidate.m_priority = aRule != nullptr ? aRule->m_priority : 0;
  if (aJob.m_spec.m_steps[aStep].m_longRunning) {
    candidate.m_urgency = Urgency::LongRunning;
    candidate.m_objectiveUrgency = Urgency::LongRunning;
    return candidate;
  }
  const auto mean = aInput.m_meanWork.find(aJob.m_spec.m_queue);
  const double relative =
    mean == aInput.m_meanWork.end() || mean->second <= 0 ? 1.0 : aJob.m_work / mean->second;
  const double credit = std::min(kBaseCredit + (1 - kBaseCredit) * relative, kMaxCredit);
  candidate.m_creditDensity = credit / std::max(RemainingWork(aJob, aState), 1e-3);
  const QueueTerms& terms = TermsOf(aJob, aRule);
  candidate.m_objectiveEndMs = ObjectiveEndMs(aJob, terms, aOccurrence);
  candidate.m_objectiveUrgency = UrgencyByTerms(aJob, terms, aOccurrence, aState, aInput.m_nowMs);
  candidate.m_urgency = ApplyShare(aJob, candidate.m_objectiveUrgency);
  return candidate;
}

std::vector<Candidate> CollectCandidates(const JobTable& aJobTable,
                                         const Configuration& aConfiguration,
                                         const SchedulerInput& aInput)
{
  std::vector<Candidate> candidates;
  const QueueIndex queues{ aConfiguration };
  for (const auto& id : aJobTable.m_active) {
    const Job& job = aJobTable.m_jobs.at(id);
    const QueueRule* rule = queues.Find(job.m_spec.m_queue);
    for (const auto& [number, occurrence] : job.m_occurrences) {
      for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
        const StepSpec& spec = job.m_spec.m_steps[step];
        const bool needsRun = std::ranges::any_of(occurrence.m_steps[step], [&](const auto& aSub) {
          return NeedsStart(aSub) ||
                 NeedsSpeculativeCopy(spec, job.m_times[step], aSub, aInput.m_nowMs);
        });
        if (needsRun && IsStepRunnable(job, occurrence, step)) {
          candidates.push_back(MakeCandidate(job, rule, number, occurrence, step, aInput));
        }
      }
    }
  }
  std::ranges::sort(candidates, HasPrecedence);
  return candidates;
}

/// \brief Needs that no server of a pool can satisfy any more in this pass.
///
/// Free capacity only shrinks during a pass, so a backlog for a full pool costs one comparison per
/// step instead of one per server.
class UnplaceableNeeds
{
public:
  [[nodiscard]] bool Covers(const Resources& aNeed) const
  {
    return std::ranges::any_of(m_needs,
                               [&aNeed](const Resources& aKnown) { return Fits(aKnown, aNeed); });
  }

  void Add(const Resources& aNeed) { m_needs.push_back(aNeed); }

private:
  std::vector<Resources> m_needs;
};

/// \brief Places the subtasks of one step.
class StepPlacer
{
public:
  StepPlacer(JobTable& aJobTable, const std::vector<ServerView*>& aServers,
             const SchedulerInput& aInput, const Candidate& aCandidate,
             const std::map<ServerId, Ticket>* aTickets, std::size_t aMaxStarts,
             std::size_t& aStartsLeft)
    : m_jobTable(aJobTable)
    , m_servers(aServers)
    , m_input(aInput)
    , m_id{ aCandidate.m_job->m_spec.m_id, aCandidate.m_occurrence, aCandidate.m_step }
    , m_spec(aCandidate.m_job->m_spec.m_steps[aCandidate.m_step])
    , m_times(aCandidate.m_job->m_times[aCandidate.m_step])
    , m_subtasks(
        aJobTable.m_jobs.at(m_id.m_job).m_occurrences.at(m_id.m_occurrence).m_steps[m_id.m_step])
    , m_tickets(aTickets)
    , m_need(ReservedResources(m_spec))
    , m_startsWithinQuota(aMaxStarts)
    , m_startsLeft(aStartsLeft)
  {
    for (const auto& subtask : m_subtasks) {
      for (const auto& run : subtask.m_runs) {
        ++m_stepRunsByServer[run.m_server];
      }
    }
  }

  /// \return false when the quota of the account holds subtasks back.
  bool Place(std::vector<Placement>& aPlacements)
  {
    if (m_spec.m_gang) {
      PlaceGang(aPlacements);
      return true;
    }
    for (std::uint32_t index = 0; index < m_subtasks.size(); ++index) {
      const bool copy = NeedsSpeculativeCopy(m_spec, m_times, m_subtasks[index], m_input.m_nowMs);
      if (!copy && !NeedsStart(m_subtasks[index])) {
        continue;
      }
      if (m_startsWithinQuota == 0) {
        return false;
      }
      if (m_startsLeft == 0) {
        return true;
      }
      ServerView* server =
        ChooseServer(copy ? m_subtasks[index].m_runs.front().m_server : ServerId{});
      if (server == nullptr) {
        if (copy) {
          continue;
        }
        return true; // All subtasks of a step have the same need, so no other fits either.
      }
      PlanPlacement(*server, index, m_subtasks[index].m_lastRun + 1, copy, aPlacements);
      --m_startsWithinQuota;
    }
    return true;
  }

private:
  [[nodiscard]] bool CanRunOn(const ServerView& aServer, const ServerId& aExcludedServer) const
  {
    // The cheapest check comes first; most servers of a full pool fail it.
    if (aServer.m_unschedulable || !Fits(m_need, aServer.m_free) ||
        aServer.m_id == aExcludedServer || (aServer.m_startsLeft == 0 && !m_spec.m_gang)) {
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
    return labelled && (m_tickets == nullptr || m_tickets->contains(aServer.m_id));
  }

  /// \brief Cost of a server; lower is better. Slow-downs outweigh how full the servers are.
  [[nodiscard]] double Cost(const ServerView& aServer) const
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

  ServerView* ChooseServer(const ServerId& aExcludedServer)
  {
    ServerView* best = nullptr;
    double bestCost = 0;
    for (ServerView* server : m_servers) {
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

  void PlanPlacement(ServerView& aServer, std::uint32_t aIndex, std::uint64_t aRun, bool aCopy,
                     std::vector<Placement>& aPlacements)
  {
    const SubtaskId id{ m_id.m_job, m_id.m_occurrence, m_id.m_step, aIndex };
    PlanRun(m_jobTable, id, aServer.m_id, aRun, m_input.m_nowMs);
    aServer.m_free = aServer.m_free - m_need;
    aServer.m_load = m_jobTable.m_load.at(aServer.m_id);
    aServer.m_startsLeft -= std::min<std::size_t>(aServer.m_startsLeft, 1);
    m_startsLeft -= std::min<std::size_t>(m_startsLeft, 1);
    ++m_stepRunsByServer[aServer.m_id];
    aPlacements.push_back({ id, aServer.m_id, aRun, aCopy });
  }

  /// \brief Places all members or none, because a partial gang would only wait.
  void PlaceGang(std::vector<Placement>& aPlacements)
  {
    if (!std::ranges::all_of(m_subtasks, NeedsStart)) {
      return; // Runs of the previous start have not ended yet.
    }
    if (m_spec.m_sameRack && PlaceGangInOneRack(aPlacements)) {
      return;
    }
    PlaceGangOn(m_servers, aPlacements);
  }

  bool PlaceGangInOneRack(std::vector<Placement>& aPlacements)
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

  bool PlaceGangOn(const std::vector<ServerView*>& aServers, std::vector<Placement>& aPlacements)
  {
    const auto before = m_stepRunsByServer;
    std::vector<ServerView*> chosen;
    for (std::size_t i = 0; i < m_subtasks.size(); ++i) {
      ServerView* best = nullptr;
      for (ServerView* server : aServers) {
        if (CanRunOn(*server, {}) && (best == nullptr || Cost(*server) < Cost(*best))) {
          best = server;
        }
      }
      if (best == nullptr) {
        break;
      }
      best->m_free = best->m_free - m_need;
      ++m_stepRunsByServer[best->m_id];
      chosen.push_back(best);
    }
    for (ServerView* server : chosen) {
      server->m_free = server->m_free + m_need;
    }
    m_stepRunsByServer = before;
    if (chosen.size() != m_subtasks.size()) {
      return false;
    }
    const auto run = NextRunNumber(m_jobTable, { m_id.m_job, m_id.m_occurrence, m_id.m_step, 0 });
    for (std::uint32_t index = 0; index < chosen.size(); ++index) {
      PlanPlacement(*chosen[index], index, run, false, aPlacements);
    }
    return true;
  }

  JobTable& m_jobTable;
  const std::vector<ServerView*>& m_servers;
  const SchedulerInput& m_input;
  StepId m_id;
  const StepSpec& m_spec;
  const StepTimes& m_times;
  std::vector<Subtask>& m_subtasks;
  const std::map<ServerId, Ticket>* m_tickets;
  Resources m_need;
  std::size_t m_startsWithinQuota{}; ///< Starts that the quota still allows; not for gangs.
  std::size_t& m_startsLeft;         ///< Of the pass.
  std::map<ServerId, std::uint32_t> m_stepRunsByServer; ///< Runs of the step on each server.
};

/// \brief Starts of a step that the quota of its account allows, at least as many as it has
/// subtasks when there is no limit. A gang gets all or none.
std::size_t MaxStarts(const JobTable& aJobTable, const Configuration& aConfiguration,
                      const Candidate& aCandidate, double aOverage)
{
  const JobSpec& spec = aCandidate.m_job->m_spec;
  const StepSpec& step = spec.m_steps[aCandidate.m_step];
  const Resources limit = LimitOf(aConfiguration.m_accounts, spec.m_account);
  if (limit == Resources{}) {
    return step.m_count;
  }
  const auto found = aJobTable.m_usedByAccount.find(spec.m_account);
  const Resources used = found == aJobTable.m_usedByAccount.end() ? Resources{} : found->second;
  if (step.m_gang) {
    return MayStartGang(used, step.m_need, limit, step.m_count, aOverage) ? step.m_count : 0;
  }
  return StartsAllowed(used, step.m_need, limit, step.m_count);
}

void AddHeldBack(SchedulerResult& aResult, const AccountName& aAccount, const StepId& aStep)
{
  const auto [entry, first] = aResult.m_heldBack.try_emplace(aAccount);
  ++entry->second.m_steps;
  if (first) {
    entry->second.m_first = aStep;
  }
}

} // namespace

SchedulerResult PlaceSubtasks(JobTable& aJobTable, const Configuration& aConfiguration,
                              std::vector<ServerView>& aServers, const SchedulerInput& aInput)
{
  SchedulerResult result;
  std::map<PoolName, std::vector<ServerView*>> byPool;
  for (auto& server : aServers) {
    byPool[server.m_pool].push_back(&server);
  }
  std::map<PoolName, UnplaceableNeeds> unplaceable;
  std::size_t startsLeft = aInput.m_startsLeft;
  for (const auto& candidate : CollectCandidates(aJobTable, aConfiguration, aInput)) {
    if (startsLeft == 0) {
      break;
    }
    const Job& job = *candidate.m_job;
    const QueueRule* rule = candidate.m_rule;
    const PoolName& pool = rule != nullptr ? rule->m_pool : job.m_spec.m_pool;
    const std::map<ServerId, Ticket>* tickets = nullptr;
    const StepId step{ job.m_spec.m_id, candidate.m_occurrence, candidate.m_step };
    // Before tickets are asked for, which would expire while the quota holds the step back.
    const std::size_t maxStarts =
      MaxStarts(aJobTable, aConfiguration, candidate, aInput.m_runningOverage);
    if (maxStarts == 0) {
      AddHeldBack(result, job.m_spec.m_account, step);
      continue;
    }
    if (TermsOf(job, rule).m_advice) {
      const auto found = aInput.m_tickets.find(step);
      if (found == aInput.m_tickets.end()) {
        result.m_stepsWithoutTickets.push_back(step);
        continue;
      }
      tickets = &found->second;
    }
    const Resources need = ReservedResources(job.m_spec.m_steps[candidate.m_step]);
    if (unplaceable[pool].Covers(need)) {
      continue;
    }
    const auto& servers = byPool[pool];
    StepPlacer placer{ aJobTable, servers, aInput, candidate, tickets, maxStarts, startsLeft };
    if (!placer.Place(result.m_placements)) {
      AddHeldBack(result, job.m_spec.m_account, step);
    }
    bool fits = false;
    bool mayStart = false;
    for (const ServerView* server : servers) {
      const bool hasRoom = !server->m_unschedulable && Fits(need, server->m_free);
      fits = fits || hasRoom;
      mayStart = mayStart || (hasRoom && server->m_startsLeft != 0);
    }
    if (!mayStart) {
      unplaceable[pool].Add(need);
      result.m_startsHeldBack = result.m_startsHeldBack || fits;
    }
  }
  result.m_startsHeldBack = result.m_startsHeldBack || startsLeft == 0;
  return result;
}

Urgency UrgencyOf(const Job& aJob, const QueueRule* aRule, std::uint32_t aOccurrence,
                  const Occurrence& aState, Millis aNowMs)
{
  if (std::ranges::any_of(aJob.m_spec.m_steps, &StepSpec::m_longRunning)) {
    return Urgency::LongRunning;
  }
  return ApplyShare(aJob, UrgencyByTerms(aJob, TermsOf(aJob, aRule), aOccurrence, aState, aNowMs));
}

const QueueTerms& TermsOf(const Job& aJob, const QueueRule* aRule) noexcept
{
  return aRule != nullptr ? *aRule : aJob.m_spec.m_terms;
}

const PoolName& PoolOf(const Job& aJob, const Configuration& aConfiguration) noexcept
{
  const QueueRule* rule = FindQueueByName(aConfiguration, aJob.m_spec.m_queue);
  return rule != nullptr ? rule->m_pool : aJob.m_spec.m_pool;
}

Millis RemainingStepMs(const StepTimes& aTimes, const std::vector<Subtask>& aSubtasks,
                       Millis aNowMs)
{
  bool done = true;
  Millis lastStartMs = 0;
  for (const auto& subtask : aSubtasks) {
    if (subtask.m_done) {
      continue;
    }
    done = false;
    if (subtask.m_runs.empty()) {
      return aTimes.m_stepMs;
    }
    lastStartMs = std::max(lastStartMs, subtask.m_runs.front().m_sinceMs);
  }
  return done ? 0
              : std::max(aTimes.m_stepMs - (aNowMs - lastStartMs),
                         aTimes.m_stepMs / kMinRemainingDivisor);
}

Millis RemainingCriticalPathMs(const Job& aJob, const Occurrence& aOccurrence, Millis aNowMs)
{
  return CriticalPathMs(aJob.m_spec, [&](std::size_t aStep) {
    return aStep < aOccurrence.m_steps.size()
             ? RemainingStepMs(aJob.m_times[aStep], aOccurrence.m_steps[aStep], aNowMs)
             : aJob.m_times[aStep].m_stepMs;
  });
}

Millis ObjectiveEndMs(const Job& aJob, const QueueTerms& aTerms, std::uint32_t aOccurrence) noexcept
{
  const Millis due =
    aJob.m_acceptedMs + static_cast<Millis>(aOccurrence) * aJob.m_spec.m_intervalMs;
  return due + static_cast<Millis>(aTerms.m_stretch * static_cast<double>(aJob.m_criticalPathMs)) +
         aTerms.m_objectiveBaseMs;
}

} // namespace pistachiostand::fleet
