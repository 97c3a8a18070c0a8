#include "pistachiostand/job/PlacementPass.h"

#include "StepPlacer.h"

#include "pistachiostand/account/RunningLimit.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace pistachiostand::fleet {

namespace {

/// The credit of a job is the value of completing it, as a multiple of the credit of a job with the
/// mean work of its queue. This part of it does not depend on the work.
constexpr double kBaseCredit = 0.3;
/// The credit grows with the work up to this value.
constexpr double kMaxCredit = 4.0;
/// Occurrences of one job that wait for tickets in one pass, since tickets are asked for one step
/// at a time.
constexpr std::size_t kMaxOccurrencesWithoutTickets = 256;
/// Placing a subtask takes as long as this many visits, besides one for some servers.
constexpr std::size_t kVisitsPerPlacement = 8;
constexpr std::size_t kServersPerVisit = 8;

bool HasPrecedence(const WaitingWork& aLeft, const WaitingWork& aRight)
{
  // Among the jobs beyond the share, too, those that will be late must not delay the others.
  return std::tuple{ aLeft.m_urgency, aLeft.m_objectiveUrgency, aLeft.m_objectiveEndMs,
                     -aLeft.m_creditDensity, aLeft.m_sequence } <
         std::tuple{ aRight.m_urgency, aRight.m_objectiveUrgency, aRight.m_objectiveEndMs,
                     -aRight.m_creditDensity, aRight.m_sequence };
}

bool ComesLater(const WaitingWork& aLeft, const WaitingWork& aRight)
{
  return HasPrecedence(aRight, aLeft);
}

double RemainingWork(const Job& aJob, const Occurrence& aOccurrence)
{
  double work = 0;
  for (std::uint32_t step = 0; step < aJob.m_spec.m_steps.size(); ++step) {
    const StepSpec& spec = aJob.m_spec.m_steps[step];
    const auto counts = CountSubtasks(aJob.m_spec, &aOccurrence, step);
    work += WorkOf(spec, aJob.m_times[step].m_runMs) *
            static_cast<double>(counts.m_waiting + counts.m_started) /
            static_cast<double>(std::max(spec.m_count, 1U));
  }
  return work;
}

/// \brief Steps of an occurrence that has not begun which wait for no others.
std::vector<std::uint32_t> FirstSteps(const JobSpec& aSpec)
{
  std::vector<std::uint32_t> steps;
  for (std::uint32_t step = 0; step < aSpec.m_steps.size(); ++step) {
    if (aSpec.m_steps[step].m_dependencies.empty()) {
      steps.push_back(step);
    }
  }
  return steps;
}

/// \brief Starts of a step that the quota of its account allows, at least as many as it has
/// subtasks when there is no limit. A gang gets all or none.
std::size_t MaxStarts(const JobTable& aJobTable, const Configuration& aConfiguration,
                      const JobSpec& aSpec, const StepSpec& aStep, double aOverage)
{
  const Resources limit = LimitOf(aConfiguration.m_accounts, aSpec.m_account);
  if (limit == Resources{}) {
    return aStep.m_count;
  }
  const auto found = aJobTable.m_usedByAccount.find(aSpec.m_account);
  const Resources used = found == aJobTable.m_usedByAccount.end() ? Resources{} : found->second;
  if (aStep.m_gang) {
    return MayStartGang(used, aStep.m_need, limit, aStep.m_count, aOverage) ? aStep.m_count : 0;
  }
  return StartsAllowed(used, aStep.m_need, limit, aStep.m_count);
}

void AddHeldBack(SchedulerResult& aResult, const AccountName& aAccount, const StepId& aStep)
{
  const auto [entry, first] = aResult.m_heldBack.try_emplace(aAccount);
  ++entry->second.m_steps;
  if (first) {
    entry->second.m_first = aStep;
  }
}

/// \brief Free capacity only shrinks during a pass, so a backlog for a full pool costs one
/// comparison per step instead of one per server.
bool Covers(const std::vector<Resources>& aUnplaceable, const Resources& aNeed)
{
  return std::ranges::any_of(aUnplaceable,
                             [&aNeed](const Resources& aKnown) { return Fits(aKnown, aNeed); });
}

/// \brief Keeps only needs that none of the others covers.
void AddUnplaceable(std::vector<Resources>& aUnplaceable, const Resources& aNeed)
{
  std::erase_if(aUnplaceable, [&aNeed](const Resources& aKnown) { return Fits(aNeed, aKnown); });
  aUnplaceable.push_back(aNeed);
}

} // namespace

struct PlacementPass::View
{
  const Configuration& m_configuration;
  QueueIndex m_queues;
  std::map<PoolName, std::vector<ServerView*>> m_byPool;
};

bool PlacementPass::Continue(JobTable& aJobTable, const Configuration& aConfiguration,
                             std::vector<ServerView>& aServers, std::size_t aMaxVisits)
{
  m_visits = 0;
  View view{ aConfiguration, QueueIndex{ aConfiguration }, {} };
  if (!m_isCollected && !CollectWork(aJobTable, view.m_queues, aMaxVisits)) {
    return false;
  }
  for (auto& server : aServers) {
    view.m_byPool[server.m_pool].push_back(&server);
  }
  while (!m_work.empty() && m_visits < aMaxVisits && m_input.m_startsLeft != 0) {
    PlaceNext(aJobTable, view);
  }
  if (m_input.m_startsLeft == 0) {
    m_result.m_startsHeldBack = true;
    m_work.clear();
  }
  return m_work.empty();
}

std::vector<Placement> PlacementPass::TakePlacements()
{
  return std::exchange(m_result.m_placements, {});
}

bool PlacementPass::CollectWork(const JobTable& aJobTable, const QueueIndex& aQueues,
                                std::size_t aMaxVisits)
{
  for (auto id = aJobTable.m_active.upper_bound(m_lastCollected); id != aJobTable.m_active.end();
       ++id) {
    if (m_visits >= aMaxVisits) {
      return false;
    }
    m_lastCollected = *id;
    const Job& job = aJobTable.m_jobs.at(*id);
    CollectJob(job, aQueues.Find(job.m_spec.m_queue));
  }
  m_isCollected = true;
  std::ranges::make_heap(m_work, ComesLater);
  return true;
}

void PlacementPass::CollectJob(const Job& aJob, const QueueRule* aRule)
{
  m_visits += 1 + aJob.m_spec.m_steps.size();
  for (const bool longRunning : { true, false }) {
    if (std::ranges::none_of(aJob.m_spec.m_steps, [longRunning](const StepSpec& aStep) {
          return aStep.m_longRunning == longRunning;
        })) {
      continue;
    }
    for (const auto& [number, occurrence] : aJob.m_occurrences.Entries()) {
      m_visits += 1 + occurrence.m_ready.size();
      if (HasWork(aJob, occurrence, longRunning)) {
        m_visits += aJob.m_spec.m_steps.size();
        Add(aJob, aRule, number, number + 1, longRunning, &occurrence);
      }
    }
    CollectNotBegun(aJob, aRule, longRunning);
  }
}

bool PlacementPass::NeedsPlacement(const Job& aJob, const Occurrence* aOccurrence,
                                   std::uint32_t aStep)
{
  if (CountSubtasks(aJob.m_spec, aOccurrence, aStep).m_waiting != 0) {
    return true;
  }
  const StepSpec& spec = aJob.m_spec.m_steps[aStep];
  const StepState* state = aOccurrence == nullptr ? nullptr : aOccurrence->m_steps.Find(aStep);
  if (!spec.m_speculative || state == nullptr) {
    return false;
  }
  m_visits += state->Entries().size();
  return std::ranges::any_of(state->Entries(), [&](const auto& aEntry) {
    return NeedsSpeculativeCopy(spec, aJob.m_times[aStep], aEntry.second, m_input.m_nowMs);
  });
}

bool PlacementPass::HasWork(const Job& aJob, const Occurrence& aOccurrence, bool aLongRunning)
{
  return std::ranges::any_of(aOccurrence.m_ready, [&](std::uint32_t aStep) {
    return aJob.m_spec.m_steps[aStep].m_longRunning == aLongRunning &&
           NeedsPlacement(aJob, &aOccurrence, aStep);
  });
}

void PlacementPass::CollectNotBegun(const Job& aJob, const QueueRule* aRule, bool aLongRunning)
{
  const std::uint32_t due = aJob.m_dueOccurrences;
  const QueueTerms& terms = TermsOf(aJob, aRule);
  for (auto first = aJob.m_occurrences.FirstNotBegun(0); first < due;) {
    std::uint32_t end = due;
    if (!aLongRunning && first + 1 < due) {
      const Urgency urgency =
        ObjectiveUrgency(aJob, terms, first, aJob.m_criticalPathMs, m_input.m_nowMs);
      if (urgency > Urgency::InTime) {
        const auto better = static_cast<Urgency>(static_cast<int>(urgency) - 1);
        end = FirstWithUrgency(aJob, terms, first + 1, better, m_input.m_nowMs);
      }
    }
    Add(aJob, aRule, first, end, aLongRunning, nullptr);
    first = aJob.m_occurrences.FirstNotBegun(end);
  }
}

void PlacementPass::Add(const Job& aJob, const QueueRule* aRule, std::uint32_t aOccurrence,
                        std::uint32_t aEndOccurrence, bool aLongRunning, const Occurrence* aState)
{
  WaitingWork work;
  work.m_sequence = m_work.size();
  work.m_job = &aJob;
  work.m_occurrence = aOccurrence;
  work.m_endOccurrence = aEndOccurrence;
  work.m_longRunning = aLongRunning;
  if (aLongRunning) {
    work.m_urgency = Urgency::LongRunning;
    work.m_objectiveUrgency = Urgency::LongRunning;
    m_work.push_back(work);
    return;
  }
  const auto mean = m_input.m_meanWork.find(aJob.m_spec.m_queue);
  const double relative =
    mean == m_input.m_meanWork.end() || mean->second <= 0 ? 1.0 : aJob.m_work / mean->second;
  const double credit = std::min(kBaseCredit + (1 - kBaseCredit) * relative, kMaxCredit);
  const double remainingWork = aState == nullptr ? aJob.m_work : RemainingWork(aJob, *aState);
  work.m_creditDensity = credit / std::max(remainingWork, 1e-3);
  const QueueTerms& terms = TermsOf(aJob, aRule);
  const Millis remaining = aState == nullptr
                             ? aJob.m_criticalPathMs
                             : RemainingCriticalPathMs(aJob, *aState, m_input.m_nowMs);
  work.m_objectiveEndMs = ObjectiveEndMs(aJob, terms, aOccurrence);
  work.m_objectiveUrgency = ObjectiveUrgency(aJob, terms, aOccurrence, remaining, m_input.m_nowMs);
  work.m_urgency = ApplyShare(aJob, work.m_objectiveUrgency);
  m_work.push_back(work);
}

void PlacementPass::PlaceNext(JobTable& aJobTable, View& aView)
{
  std::ranges::pop_heap(m_work, ComesLater);
  WaitingWork work = m_work.back();
  m_work.pop_back();
  ++m_visits;
  const Job& job = *work.m_job;
  const QueueRule* rule = aView.m_queues.Find(job.m_spec.m_queue);
  const PoolName& pool = rule != nullptr ? rule->m_pool : job.m_spec.m_pool;
  if (job.m_phase != JobPhase::Active ||
      (!TermsOf(job, rule).m_advice && Covers(m_unplaceable[pool], job.m_leastNeed))) {
    return;
  }
  if (!PlaceOccurrence(aJobTable, aView, work, rule)) {
    return;
  }
  const std::uint32_t next = job.m_occurrences.FirstNotBegun(work.m_occurrence + 1);
  if (next < work.m_endOccurrence) {
    work.m_objectiveEndMs +=
      static_cast<Millis>(next - work.m_occurrence) * job.m_spec.m_intervalMs;
    work.m_occurrence = next;
    m_work.push_back(work);
    std::ranges::push_heap(m_work, ComesLater);
  }
}

bool PlacementPass::PlaceOccurrence(JobTable& aJobTable, View& aView, const WaitingWork& aWork,
                                    const QueueRule* aRule)
{
  const Job& job = *aWork.m_job;
  const Occurrence* occurrence = job.m_occurrences.Find(aWork.m_occurrence);
  if (occurrence == nullptr && job.m_occurrences.HasBegun(aWork.m_occurrence)) {
    return false; // It has ended since it was collected.
  }
  const auto steps = occurrence == nullptr ? FirstSteps(job.m_spec) : occurrence->m_ready;
  m_visits += occurrence == nullptr ? job.m_spec.m_steps.size() : steps.size();
  const std::size_t placedBefore = m_result.m_placements.size();
  const std::size_t withoutTicketsBefore = m_result.m_stepsWithoutTickets.size();
  for (const auto step : steps) {
    if (job.m_spec.m_steps[step].m_longRunning != aWork.m_longRunning ||
        !NeedsPlacement(job, job.m_occurrences.Find(aWork.m_occurrence), step)) {
      continue;
    }
    if (!PlaceStep(aJobTable, aView, { job.m_spec.m_id, aWork.m_occurrence, step }, aRule)) {
      break;
    }
  }
  if (m_result.m_stepsWithoutTickets.size() != withoutTicketsBefore &&
      ++m_occurrencesWithoutTickets[job.m_spec.m_id] < kMaxOccurrencesWithoutTickets) {
    return true;
  }
  return m_result.m_placements.size() != placedBefore;
}

bool PlacementPass::PlaceStep(JobTable& aJobTable, View& aView, const StepId& aStep,
                              const QueueRule* aRule)
{
  const Job& job = aJobTable.m_jobs.at(aStep.m_job);
  const StepSpec& spec = job.m_spec.m_steps[aStep.m_step];
  // Before tickets are asked for, which would expire while the quota holds the step back.
  const std::size_t maxStarts =
    MaxStarts(aJobTable, aView.m_configuration, job.m_spec, spec, m_input.m_runningOverage);
  if (maxStarts == 0) {
    AddHeldBack(m_result, job.m_spec.m_account, aStep);
    return true;
  }
  const std::map<ServerId, Ticket>* tickets = nullptr;
  if (TermsOf(job, aRule).m_advice) {
    const auto found = m_input.m_tickets.find(aStep);
    if (found == m_input.m_tickets.end()) {
      m_result.m_stepsWithoutTickets.push_back(aStep);
      return true;
    }
    tickets = &found->second;
  }
  const PoolName& pool = aRule != nullptr ? aRule->m_pool : job.m_spec.m_pool;
  const Resources need = ReservedResources(spec);
  Needs& unplaceable = m_unplaceable[pool];
  if (Covers(unplaceable, need)) {
    return true;
  }
  const auto& servers = aView.m_byPool[pool];
  const std::size_t before = m_result.m_placements.size();
  StepPlacer placer{
    aJobTable, servers, m_input, aStep, { tickets, maxStarts, m_input.m_startsLeft }
  };
  if (!placer.Place(m_result.m_placements)) {
    AddHeldBack(m_result, job.m_spec.m_account, aStep);
  }
  const std::size_t placed = m_result.m_placements.size() - before;
  m_visits += (placed + 1) * (servers.size() / kServersPerVisit + 1) + placed * kVisitsPerPlacement;
  bool fits = false;
  bool mayStart = false;
  for (const ServerView* server : servers) {
    const bool hasRoom = !server->m_unschedulable && Fits(need, server->m_free);
    fits = fits || hasRoom;
    mayStart = mayStart || (hasRoom && server->m_startsLeft != 0);
  }
  if (!mayStart) {
    AddUnplaceable(unplaceable, need);
    m_result.m_startsHeldBack = m_result.m_startsHeldBack || fits;
  }
  return m_input.m_startsLeft != 0;
}

SchedulerResult PlaceSubtasks(JobTable& aJobTable, const Configuration& aConfiguration,
                              std::vector<ServerView>& aServers, const SchedulerInput& aInput)
{
  PlacementPass pass{ aInput };
  while (
    !pass.Continue(aJobTable, aConfiguration, aServers, std::numeric_limits<std::size_t>::max())) {
  }
  return pass.Result();
}

} // namespace pistachiostand::fleet
