#include "pistachiostand/job/JobTable.h"

#include "pistachiostand/account/RunningLimit.h"
#include "pistachiostand/job/JobLimits.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace pistachiostand::fleet {

namespace {

/// \brief Steps that are not done, and whose dependencies are.
std::vector<std::uint32_t> ReadySteps(const JobSpec& aSpec, const Occurrence& aOccurrence)
{
  std::vector<std::uint32_t> ready;
  for (std::uint32_t step = 0; step < aSpec.m_steps.size(); ++step) {
    const bool isReady = !IsStepDone(aOccurrence, step) &&
                         std::ranges::all_of(aSpec.m_steps[step].m_dependencies,
                                             [&aOccurrence](std::uint32_t aEarlier) {
                                               return IsStepDone(aOccurrence, aEarlier);
                                             });
    if (isReady) {
      ready.push_back(step);
    }
  }
  return ready;
}

bool IsOccurrenceDone(const JobSpec& aSpec, const Occurrence& aOccurrence)
{
  const auto done = aOccurrence.m_steps.EndedCount() +
                    std::ranges::count_if(aOccurrence.m_steps.Entries(), [](const auto& aEntry) {
                      return aEntry.second.IsDone();
                    });
  return static_cast<std::size_t>(done) == aSpec.m_steps.size();
}

bool IsDue(const Job& aJob, std::uint32_t aOccurrence)
{
  // The number of due occurrences is stored in part 0, which may be read after the others.
  return aOccurrence < aJob.m_dueOccurrences || aJob.m_occurrences.HasBegun(aOccurrence);
}

StepState* FindStepState(Job& aJob, const SubtaskId& aId)
{
  Occurrence* occurrence = aJob.m_occurrences.Find(aId.m_occurrence);
  return occurrence == nullptr ? nullptr : occurrence->m_steps.Find(aId.m_step);
}

const StepState* FindStepState(const Job& aJob, const SubtaskId& aId)
{
  const Occurrence* occurrence = aJob.m_occurrences.Find(aId.m_occurrence);
  return occurrence == nullptr ? nullptr : occurrence->m_steps.Find(aId.m_step);
}

/// \brief Schedules the state of a job, without that of its later subtasks, for storage.
void MarkJobChanged(JobTable& aJobTable, const JobId& aId)
{
  aJobTable.m_changed.insert({ aId, 0 });
}

void MarkChanged(JobTable& aJobTable, const Job& aJob, const SubtaskId& aId)
{
  aJobTable.m_changed.insert(
    { aId.m_job, PartNumberOf(aJob.m_spec, aId.m_occurrence, aId.m_step, aId.m_index) });
  // Without a record of the job itself, a later owner would not know of it if its submission could
  // not be read any more.
  if (!aJob.m_begun) {
    MarkJobChanged(aJobTable, aId.m_job);
  }
}

/// \brief Schedules the subtasks that the end of one run applies to for storage.
void MarkAffectedChanged(JobTable& aJobTable, const Job& aJob, const SubtaskId& aId)
{
  const StepSpec& step = aJob.m_spec.m_steps.at(aId.m_step);
  const std::uint32_t first = step.m_gang ? 0 : aId.m_index;
  const std::uint32_t last = step.m_gang ? step.m_count - 1 : aId.m_index;
  const auto end = PartNumberOf(aJob.m_spec, aId.m_occurrence, aId.m_step, last) + 1;
  for (auto number = PartNumberOf(aJob.m_spec, aId.m_occurrence, aId.m_step, first); number < end;
       ++number) {
    aJobTable.m_changed.insert({ aId.m_job, number });
  }
}

void FinishJob(JobTable& aJobTable, Job& aJob, JobPhase aPhase)
{
  aJob.m_phase = aPhase;
  aJobTable.m_active.erase(aJob.m_spec.m_id);
  aJobTable.m_toCheck.insert(aJob.m_spec.m_id);
  MarkJobChanged(aJobTable, aJob.m_spec.m_id);
}

/// \brief Completes a job whose last occurrence is done.
void CompleteIfDone(JobTable& aJobTable, Job& aJob)
{
  const auto total = std::max<std::uint32_t>(aJob.m_spec.m_occurrences, 1);
  if (aJob.m_phase == JobPhase::Active && aJob.m_dueOccurrences == total &&
      aJob.m_occurrences.BegunCount() == total &&
      std::ranges::all_of(aJob.m_occurrences.Entries(), [&aJob](const auto& aEntry) {
        return IsOccurrenceDone(aJob.m_spec, aEntry.second);
      })) {
    FinishJob(aJobTable, aJob, JobPhase::Completed);
  }
}

/// \brief Adds (1) or removes (-1) a run of the step from the load.
void AdjustLoad(ServerLoad& aLoad, const StepSpec& aStep, int aBy)
{
  const auto by = static_cast<std::uint32_t>(aBy);
  aLoad.m_runs += by;
  aLoad.m_longRunning += aStep.m_longRunning ? by : 0;
  aLoad.m_bestEffortRuns += aStep.m_bestEffort ? by : 0;
  aLoad.m_serving += aStep.m_tailLatencyTargetMs > 0 ? by : 0;
}

const AccountName& AccountOf(const JobTable& aJobTable, const SubtaskId& aId)
{
  return aJobTable.m_jobs.at(aId.m_job).m_spec.m_account;
}

/// \brief Removes a run; the caller settles the subtask.
void RemoveRun(JobTable& aJobTable, Subtask& aSubtask, const RunRef& aRef, Millis aNowMs)
{
  const auto removed = std::erase_if(aSubtask.m_runs, [&aRef](const Run& aRun) {
    return aRun.m_number == aRef.m_run && aRun.m_server == aRef.m_server;
  });
  if (removed != 0) {
    const StepSpec& step = *FindStep(aJobTable, aRef.m_subtask);
    auto& used = aJobTable.m_used[aRef.m_server];
    used = used - ReservedResources(step);
    AdjustLoad(aJobTable.m_load[aRef.m_server], step, -1);
    RemoveUse(aJobTable.m_usedByAccount, AccountOf(aJobTable, aRef.m_subtask), step.m_need);
    --aJobTable.m_jobs.at(aRef.m_subtask.m_job).m_runCount;
  }
  if (std::ranges::none_of(aSubtask.m_runs,
                           [&aRef](const Run& aRun) { return aRun.m_server == aRef.m_server; })) {
    const auto found = aJobTable.m_byServer.find(aRef.m_server);
    if (found != aJobTable.m_byServer.end()) {
      found->second.erase(aRef.m_subtask);
      if (found->second.empty()) {
        aJobTable.m_byServer.erase(found);
      }
    }
  }
  if (aSubtask.m_runs.empty()) {
    aSubtask.m_idleSinceMs = aNowMs;
    aSubtask.m_readySinceMs = 0;
  }
  MarkChanged(aJobTable, aJobTable.m_jobs.at(aRef.m_subtask.m_job), aRef.m_subtask);
}

/// \brief Subtasks that the end of one run applies to, without those that have ended: the whole
/// gang, or the subtask alone.
std::vector<SubtaskId> AffectedSubtasks(const Job& aJob, const SubtaskId& aId)
{
  const StepSpec& step = aJob.m_spec.m_steps.at(aId.m_step);
  const std::uint32_t first = step.m_gang ? 0 : aId.m_index;
  const std::uint32_t end = step.m_gang ? step.m_count : aId.m_index + 1;
  std::vector<SubtaskId> subtasks;
  for (std::uint32_t index = first; index < end; ++index) {
    const SubtaskId id{ aId.m_job, aId.m_occurrence, aId.m_step, index };
    if (!HasEnded(aJob, id)) {
      subtasks.push_back(id);
    }
  }
  return subtasks;
}

/// \brief Records the time of a step when all its subtasks are done and their times are known.
/// \return the run times of the step when they are.
RunTimeSums MeasureStep(Job& aJob, const SubtaskId& aId)
{
  const StepState& step = *FindStepState(aJob, aId);
  if (aJob.m_spec.m_occurrences != 0 || step.m_runTimes.m_count != step.Count()) {
    return {}; // All occurrences share the times of their job.
  }
  StepTimes& times = aJob.m_times.at(aId.m_step);
  times.m_stepMs = step.m_runTimes.m_longestMs;
  times.m_measured = true;
  UpdateJobTotals(aJob);
  return step.m_runTimes;
}

/// \return the run times of the step, if it is done now and all were observed.
RunTimeSums ApplyDone(JobTable& aJobTable, Job& aJob, const SubtaskId& aId, Millis aRanMs)
{
  if (aJob.m_spec.m_steps.at(aId.m_step).m_longRunning) {
    return {};
  }
  MarkAffectedChanged(aJobTable, aJob, aId);
  const auto members = AffectedSubtasks(aJob, aId);
  for (const auto& id : members) {
    Subtask& member = EditSubtask(aJob, id);
    if (!std::exchange(member.m_done, true)) {
      AddRunTime(FindStepState(aJob, id)->m_runTimes, aRanMs);
    }
    member.m_checkpoint.clear();
    if (!member.m_runs.empty()) {
      aJobTable.m_toCheck.insert(aJob.m_spec.m_id);
    }
  }
  const RunTimeSums measured = MeasureStep(aJob, aId);
  std::ranges::for_each(members,
                        [&aJob](const SubtaskId& aMember) { SettleSubtask(aJob, aMember); });
  CompleteIfDone(aJobTable, aJob);
  return measured;
}

/// \brief Run time of a run that has ended; 0 when this owner did not observe all of it.
Millis RunTimeMs(const Run& aRun, Millis aNowMs)
{
  const bool seen = aRun.m_phase == RunPhase::Running && !aRun.m_inherited && !aRun.m_resumed;
  return seen ? std::max<Millis>(aNowMs - aRun.m_sinceMs, 1) : 0;
}

/// \brief Counts a failed run. The members of a gang share their runs, so a run counts once however
/// many members fail in it.
/// \return the failed runs of the subtask or its gang.
std::uint32_t CountFailedRun(Job& aJob, const std::vector<SubtaskId>& aAffected, bool aIsGang,
                             std::uint64_t aRun)
{
  std::uint64_t lastCounted = 0;
  for (const auto& id : aAffected) {
    lastCounted = std::max(lastCounted, EditSubtask(aJob, id).m_lastFailedRun);
  }
  std::uint32_t failures = 0;
  for (const auto& id : aAffected) {
    Subtask& member = EditSubtask(aJob, id);
    if (!aIsGang || aRun > lastCounted) {
      ++member.m_failures;
      member.m_lastFailedRun = aIsGang ? aRun : 0;
    }
    failures = std::max(failures, member.m_failures);
    SettleSubtask(aJob, id);
  }
  return failures;
}

void ApplyFailure(JobTable& aJobTable, Job& aJob, const RunEnd& aEnd, std::uint32_t aMaxFailures)
{
  const SubtaskId& id = aEnd.m_subtask;
  const StepSpec& step = aJob.m_spec.m_steps.at(id.m_step);
  MarkAffectedChanged(aJobTable, aJob, id);
  const auto failures = CountFailedRun(aJob, AffectedSubtasks(aJob, id), step.m_gang, aEnd.m_run);
  if (!step.m_longRunning && aJob.m_phase == JobPhase::Active && failures >= aMaxFailures) {
    FinishJob(aJobTable, aJob, JobPhase::Failed);
  }
}

/// \brief Collects the runs of one job that must be stopped and whose stop has not been ordered.
/// \return true while the job has runs to stop, including those whose stop has been ordered.
bool CollectStops(const Job& aJob, std::size_t aMaxRuns, OrderWindow& aWindow,
                  std::vector<RunRef>& aStops)
{
  bool hasRunsToStop = false;
  for (const auto& [number, occurrence] : aJob.m_occurrences.Entries()) {
    for (const auto& [step, state] : occurrence.m_steps.Entries()) {
      for (const auto& [index, subtask] : state.Entries()) {
        if (aJob.m_phase == JobPhase::Active && !subtask.m_done) {
          continue;
        }
        hasRunsToStop = hasRunsToStop || !subtask.m_runs.empty();
        for (const auto& run : subtask.m_runs) {
          if (aStops.size() >= aMaxRuns) {
            return true;
          }
          if (run.m_phase != RunPhase::Stopping && OrdersLeft(aWindow, run.m_server) != 0) {
            OpenOrder(aWindow, run.m_server);
            aStops.push_back(
              { { aJob.m_spec.m_id, number, step, index }, run.m_number, run.m_server });
          }
        }
      }
    }
  }
  return hasRunsToStop;
}

/// \brief True when the end is of kind Done and the first such end of its subtask, which is not
/// long-running.
///
/// A run that was dropped while it was still running may end as done after a later run has ended.
bool IsFirstDone(const JobTable& aJobTable, const Subtask& aSubtask, const RunEnd& aEnd)
{
  const auto& spec = aJobTable.m_jobs.at(aEnd.m_subtask.m_job).m_spec;
  return aEnd.m_kind == EndKind::Done && !aSubtask.m_done &&
         !spec.m_steps.at(aEnd.m_subtask.m_step).m_longRunning;
}

/// \brief Forgets the subtasks of a cancelled or failed job once all its runs have ended.
void ReleaseIfCancelled(Job& aJob)
{
  const bool isCancelled = aJob.m_phase == JobPhase::Cancelled || aJob.m_phase == JobPhase::Failed;
  if (isCancelled && aJob.m_runCount == 0) {
    aJob.m_occurrences = {};
  }
}

} // namespace

double WorkOf(const StepSpec& aStep, Millis aRunMs) noexcept
{
  return static_cast<double>(aStep.m_count) * static_cast<double>(aStep.m_need.m_cpuMillis) *
         static_cast<double>(std::max<Millis>(aRunMs, 1)) / 1e6;
}

void UpdateJobTotals(Job& aJob)
{
  aJob.m_work = 0;
  for (std::size_t i = 0; i < aJob.m_times.size(); ++i) {
    aJob.m_work += WorkOf(aJob.m_spec.m_steps[i], aJob.m_times[i].m_runMs);
  }
  aJob.m_criticalPathMs = CriticalPathMs(
    aJob.m_spec, [&aJob](std::size_t aStep) { return aJob.m_times[aStep].m_stepMs; });
}

namespace {

Resources LeastNeedOf(const JobSpec& aSpec)
{
  if (aSpec.m_steps.empty()) {
    return {};
  }
  Resources least = ReservedResources(aSpec.m_steps.front());
  for (const auto& step : aSpec.m_steps) {
    const Resources need = ReservedResources(step);
    least = { std::min(least.m_cpuMillis, need.m_cpuMillis),
              std::min(least.m_memoryMb, need.m_memoryMb), std::min(least.m_gpus, need.m_gpus) };
  }
  return least;
}

} // namespace

bool AddJob(JobTable& aJobTable, JobSpec aSpec, Millis aNowMs, Millis aAgeMs)
{
  const JobId id = aSpec.m_id;
  const auto [entry, added] = aJobTable.m_jobs.try_emplace(id);
  if (!added) {
    return false;
  }
  aJobTable.m_active.insert(id);
  Job& job = entry->second;
  job.m_spec = std::move(aSpec);
  std::ranges::transform(job.m_spec.m_steps, std::back_inserter(job.m_times),
                         [](const StepSpec& aStep) {
                           return StepTimes{ aStep.m_estimateMs, aStep.m_estimateMs };
                         });
  UpdateJobTotals(job);
  job.m_leastNeed = LeastNeedOf(job.m_spec);
  job.m_acceptedMs = aNowMs - aAgeMs;
  job.m_waitingSinceMs = aNowMs;
  job.m_dueOccurrences = job.m_spec.m_occurrences == 0 ? 1 : 0;
  const auto [first, last] = aJobTable.m_cancelledBeforeSubmission.equal_range(id);
  std::for_each(first, last, [&aJobTable](const auto& aCancellation) {
    CancelJob(aJobTable, aCancellation.first, aCancellation.second);
  });
  aJobTable.m_cancelledBeforeSubmission.erase(id);
  return true;
}

bool CancelJob(JobTable& aJobTable, const JobId& aId, const CallerScope& aScope)
{
  const auto found = aJobTable.m_jobs.find(aId);
  if (found == aJobTable.m_jobs.end()) {
    aJobTable.m_cancelledBeforeSubmission.emplace(aId, aScope);
    return true;
  }
  if (!MayUseJob(aScope, found->second.m_spec)) {
    return false;
  }
  if (found->second.m_phase == JobPhase::Active) {
    FinishJob(aJobTable, found->second, JobPhase::Cancelled);
    ReleaseIfCancelled(found->second);
  }
  return true;
}

void FailJob(JobTable& aJobTable, const JobId& aId)
{
  const auto found = aJobTable.m_jobs.find(aId);
  if (found != aJobTable.m_jobs.end() && found->second.m_phase == JobPhase::Active) {
    found->second.m_begun = true; // Its progress is unknown, so it may have run.
    FinishJob(aJobTable, found->second, JobPhase::Failed);
    ReleaseIfCancelled(found->second);
  }
}

void OpenDueOccurrences(JobTable& aJobTable, Millis aWallMs, Millis aNowMs)
{
  for (const auto& id : aJobTable.m_active) {
    Job& job = aJobTable.m_jobs.at(id);
    const JobSpec& spec = job.m_spec;
    if (job.m_dueOccurrences >= spec.m_occurrences ||
        aWallMs < spec.m_firstDueMs + job.m_dueOccurrences * spec.m_intervalMs) {
      continue;
    }
    if (WaitingOccurrences(job) == 0) {
      job.m_waitingSinceMs = aNowMs;
    }
    const Millis intervals = spec.m_intervalMs == 0
                               ? Millis{ spec.m_occurrences }
                               : (aWallMs - spec.m_firstDueMs) / spec.m_intervalMs + 1;
    job.m_dueOccurrences =
      static_cast<std::uint32_t>(std::min<Millis>(intervals, spec.m_occurrences));
    MarkJobChanged(aJobTable, id);
  }
}

std::uint32_t WaitingOccurrences(const Job& aJob) noexcept
{
  return aJob.m_occurrences.NotBegunWithin(0, aJob.m_dueOccurrences);
}

const Subtask* FindSubtask(const JobTable& aJobTable, const SubtaskId& aId) noexcept
{
  static const Subtask kNotBegun;
  const auto found = aJobTable.m_jobs.find(aId.m_job);
  if (found == aJobTable.m_jobs.end()) {
    return nullptr;
  }
  const Job& job = found->second;
  if (!IsDue(job, aId.m_occurrence) || aId.m_step >= job.m_spec.m_steps.size() ||
      aId.m_index >= job.m_spec.m_steps[aId.m_step].m_count) {
    return nullptr;
  }
  if (HasEnded(job, aId)) {
    return &job.m_ended;
  }
  const StepState* step = FindStepState(job, aId);
  const Subtask* subtask = step == nullptr ? nullptr : step->Find(aId.m_index);
  return subtask == nullptr ? &kNotBegun : subtask;
}

Subtask& EditSubtask(Job& aJob, const SubtaskId& aId)
{
  Occurrence& occurrence = aJob.m_occurrences.Begin(aId.m_occurrence, [&aJob] {
    Occurrence made;
    made.m_ready = ReadySteps(aJob.m_spec, made);
    return made;
  });
  const std::uint32_t count = aJob.m_spec.m_steps.at(aId.m_step).m_count;
  return occurrence.m_steps.Begin(aId.m_step, [count] { return StepState{ count }; })
    .Edit(aId.m_index);
}

void SettleSubtask(Job& aJob, const SubtaskId& aId)
{
  Occurrence* occurrence = aJob.m_occurrences.Find(aId.m_occurrence);
  StepState* step = FindStepState(aJob, aId);
  const Subtask* subtask = step == nullptr ? nullptr : step->Find(aId.m_index);
  if (subtask == nullptr) {
    return;
  }
  if (subtask->m_done && subtask->m_runs.empty()) {
    aJob.m_ended.m_done = true;
    aJob.m_ended.m_lastRun = std::max(aJob.m_ended.m_lastRun, subtask->m_lastRun);
    aJob.m_ended.m_lastEndedRun = std::max(aJob.m_ended.m_lastEndedRun, subtask->m_lastEndedRun);
  }
  step->Settle(aId.m_index);
  const bool isDone = step->IsDone();
  if (step->HaveAllEnded()) {
    occurrence->m_steps.End(aId.m_step);
  }
  if (isDone && std::ranges::binary_search(occurrence->m_ready, aId.m_step)) {
    occurrence->m_ready = ReadySteps(aJob.m_spec, *occurrence);
  }
  if (occurrence->m_steps.EndedCount() == aJob.m_spec.m_steps.size()) {
    aJob.m_occurrences.End(aId.m_occurrence);
  }
}

bool HasEnded(const Job& aJob, const SubtaskId& aId)
{
  if (aJob.m_occurrences.HasEnded(aId.m_occurrence)) {
    return true;
  }
  const Occurrence* occurrence = aJob.m_occurrences.Find(aId.m_occurrence);
  if (occurrence == nullptr || occurrence->m_steps.HasEnded(aId.m_step)) {
    return occurrence != nullptr;
  }
  const StepState* step = occurrence->m_steps.Find(aId.m_step);
  return step != nullptr && step->HasEnded(aId.m_index);
}

SubtaskCounts CountSubtasks(const JobSpec& aSpec, const Occurrence* aOccurrence,
                            std::uint32_t aStep)
{
  if (aOccurrence != nullptr) {
    if (aOccurrence->m_steps.HasEnded(aStep)) {
      return { 0, 0, aSpec.m_steps[aStep].m_count };
    }
    if (const StepState* step = aOccurrence->m_steps.Find(aStep)) {
      return { step->WaitingCount(), step->StartedCount(), step->DoneCount() };
    }
  }
  return { aSpec.m_steps[aStep].m_count, 0, 0 };
}

const StepSpec* FindStep(const JobTable& aJobTable, const SubtaskId& aId) noexcept
{
  const auto job = aJobTable.m_jobs.find(aId.m_job);
  if (job == aJobTable.m_jobs.end() || aId.m_step >= job->second.m_spec.m_steps.size()) {
    return nullptr;
  }
  return &job->second.m_spec.m_steps[aId.m_step];
}

Run* FindRun(JobTable& aJobTable, const RunRef& aRef) noexcept
{
  const auto job = aJobTable.m_jobs.find(aRef.m_subtask.m_job);
  StepState* step =
    job == aJobTable.m_jobs.end() ? nullptr : FindStepState(job->second, aRef.m_subtask);
  Subtask* subtask = step == nullptr ? nullptr : step->Find(aRef.m_subtask.m_index);
  if (subtask == nullptr) {
    return nullptr;
  }
  const auto found = std::ranges::find_if(subtask->m_runs, [&aRef](const Run& aRun) {
    return aRun.m_number == aRef.m_run && aRun.m_server == aRef.m_server;
  });
  return found == subtask->m_runs.end() ? nullptr : &*found;
}

std::vector<RunRef> RunsOn(const JobTable& aJobTable, const ServerId& aServer)
{
  std::vector<RunRef> runs;
  const auto found = aJobTable.m_byServer.find(aServer);
  if (found == aJobTable.m_byServer.end()) {
    return runs;
  }
  for (const auto& id : found->second) {
    for (const auto& run : FindSubtask(aJobTable, id)->m_runs) {
      if (run.m_server == aServer) {
        runs.push_back({ id, run.m_number, aServer });
      }
    }
  }
  return runs;
}

bool IsStepDone(const Occurrence& aOccurrence, std::uint32_t aStep)
{
  const StepState* step = aOccurrence.m_steps.Find(aStep);
  return step != nullptr ? step->IsDone() : aOccurrence.m_steps.HasEnded(aStep);
}

bool IsStepRunnable(const Job& aJob, const Occurrence& aOccurrence, std::uint32_t aStep) noexcept
{
  return std::ranges::all_of(
    aJob.m_spec.m_steps[aStep].m_dependencies,
    [&aOccurrence](std::uint32_t aEarlier) { return IsStepDone(aOccurrence, aEarlier); });
}

std::uint64_t NextRunNumber(const JobTable& aJobTable, const SubtaskId& aId)
{
  const auto& job = aJobTable.m_jobs.at(aId.m_job);
  if (!job.m_spec.m_steps.at(aId.m_step).m_gang) {
    return FindSubtask(aJobTable, aId)->m_lastRun + 1;
  }
  std::uint64_t last = job.m_ended.m_lastRun;
  if (const StepState* step = FindStepState(job, aId)) {
    for (const auto& [index, subtask] : step->Entries()) {
      last = std::max(last, subtask.m_lastRun);
    }
  }
  return last + 1;
}

void AllocateRun(JobTable& aJobTable, const SubtaskId& aId, const ServerId& aServer)
{
  aJobTable.m_byServer[aServer].insert(aId);
  const StepSpec& step = *FindStep(aJobTable, aId);
  auto& used = aJobTable.m_used[aServer];
  used = used + ReservedResources(step);
  AdjustLoad(aJobTable.m_load[aServer], step, 1);
  AddUse(aJobTable.m_usedByAccount, AccountOf(aJobTable, aId), step.m_need);
  ++aJobTable.m_jobs.at(aId.m_job).m_runCount;
}

std::uint64_t PlanRun(JobTable& aJobTable, const SubtaskId& aId, const ServerId& aServer,
                      std::uint64_t aNumber, Millis aNowMs)
{
  Job& job = aJobTable.m_jobs.at(aId.m_job);
  Subtask& subtask = EditSubtask(job, aId);
  Run run;
  run.m_number = aNumber;
  run.m_server = aServer;
  run.m_resumed = !subtask.m_checkpoint.empty();
  run.m_sinceMs = aNowMs;
  subtask.m_lastRun = aNumber;
  subtask.m_runs.push_back(std::move(run));
  SettleSubtask(job, aId);
  AllocateRun(aJobTable, aId, aServer);
  MarkChanged(aJobTable, job, aId);
  return aNumber;
}

void MarkRunning(JobTable& aJobTable, const RunRef& aRef, Millis aNowMs)
{
  Run* run = FindRun(aJobTable, aRef);
  if (run == nullptr || (run->m_phase != RunPhase::Sent && run->m_phase != RunPhase::Restored)) {
    return;
  }
  run->m_phase = RunPhase::Running;
  run->m_sinceMs = aNowMs;
  run->m_startTimedOutMs = 0;
  aJobTable.m_jobs.at(aRef.m_subtask.m_job).m_begun = true;
}

bool AdoptRun(JobTable& aJobTable, const RunRef& aRef, Millis aNowMs)
{
  const SubtaskId& id = aRef.m_subtask;
  if (FindSubtask(aJobTable, id) == nullptr || aRef.m_run > kMaxRunNumber) {
    return false;
  }
  Job& job = aJobTable.m_jobs.at(id.m_job);
  if (job.m_phase != JobPhase::Active || HasEnded(job, id)) {
    return false;
  }
  Subtask& subtask = EditSubtask(job, id);
  subtask.m_lastRun = std::max(subtask.m_lastRun, aRef.m_run);
  const bool isNeeded =
    !subtask.m_done && aRef.m_run > subtask.m_lastEndedRun && subtask.m_runs.empty();
  if (!isNeeded) {
    SettleSubtask(job, id);
    return false;
  }
  PlanRun(aJobTable, id, aRef.m_server, aRef.m_run, aNowMs);
  subtask.m_runs.back().m_phase = RunPhase::Running;
  subtask.m_runs.back().m_inherited = true;
  job.m_begun = true;
  return true;
}

void DropRun(JobTable& aJobTable, const RunRef& aRef, Millis aNowMs)
{
  if (FindRun(aJobTable, aRef) != nullptr) {
    Job& job = aJobTable.m_jobs.at(aRef.m_subtask.m_job);
    RemoveRun(aJobTable, EditSubtask(job, aRef.m_subtask), aRef, aNowMs);
    SettleSubtask(job, aRef.m_subtask);
    ReleaseIfCancelled(job);
  }
}

namespace {

/// \brief Applies the end of a run of a subtask that is done and had no run left.
AppliedEnd ApplyLateEnd(JobTable& aJobTable, Job& aJob, const RunEnd& aEnd)
{
  if (aEnd.m_run <= aJob.m_ended.m_lastEndedRun) {
    return {}; // Repeated.
  }
  aJob.m_ended.m_lastRun = std::max(aJob.m_ended.m_lastRun, aEnd.m_run);
  aJob.m_ended.m_lastEndedRun = aEnd.m_run;
  MarkChanged(aJobTable, aJob, aEnd.m_subtask);
  aJob.m_begun = true;
  return { true, 0, {} };
}

} // namespace

AppliedEnd ApplyEnd(JobTable& aJobTable, const RunEnd& aEnd, std::uint32_t aMaxFailures,
                    Millis aNowMs)
{
  const Subtask* known = FindSubtask(aJobTable, aEnd.m_subtask);
  if (known == nullptr || aEnd.m_run > kMaxRunNumber) {
    return {};
  }
  Job& job = aJobTable.m_jobs.at(aEnd.m_subtask.m_job);
  if (HasEnded(job, aEnd.m_subtask)) {
    return ApplyLateEnd(aJobTable, job, aEnd);
  }
  const auto run = std::ranges::find(known->m_runs, aEnd.m_run, &Run::m_number);
  const bool listed = run != known->m_runs.end();
  if (!listed && aEnd.m_run <= known->m_lastEndedRun && !IsFirstDone(aJobTable, *known, aEnd)) {
    return {}; // Repeated.
  }
  AppliedEnd applied{ true, 0, {} };
  if (listed && aEnd.m_kind == EndKind::Done) {
    applied.m_ranMs = RunTimeMs(*run, aNowMs);
  }
  Subtask& subtask = EditSubtask(job, aEnd.m_subtask);
  if (listed) {
    const ServerId server = run->m_server;
    RemoveRun(aJobTable, subtask, { aEnd.m_subtask, aEnd.m_run, server }, aNowMs);
  }
  subtask.m_lastRun = std::max(subtask.m_lastRun, aEnd.m_run);
  subtask.m_lastEndedRun = std::max(subtask.m_lastEndedRun, aEnd.m_run);
  MarkChanged(aJobTable, job, aEnd.m_subtask);
  job.m_begun = true;
  if (!subtask.m_done && !aEnd.m_checkpoint.empty()) {
    subtask.m_checkpoint = aEnd.m_checkpoint;
  }
  if (!subtask.m_done && aEnd.m_kind == EndKind::Done) {
    applied.m_step = ApplyDone(aJobTable, job, aEnd.m_subtask, applied.m_ranMs);
  } else if (!subtask.m_done && aEnd.m_kind == EndKind::Failed) {
    ApplyFailure(aJobTable, job, aEnd, aMaxFailures);
  }
  SettleSubtask(job, aEnd.m_subtask);
  ReleaseIfCancelled(job);
  return applied;
}

std::vector<RunRef> DropServerRuns(JobTable& aJobTable, const ServerId& aServer, Millis aNowMs)
{
  auto runs = RunsOn(aJobTable, aServer);
  std::ranges::for_each(runs, [&](const RunRef& aRef) { DropRun(aJobTable, aRef, aNowMs); });
  return runs;
}

void RemoveRecords(JobTable& aJobTable, const Job& aJob)
{
  for (const auto& [first, end] : aJob.m_storedParts.Ranges()) {
    for (std::uint32_t number = first; number < end; ++number) {
      aJobTable.m_changed.insert({ aJob.m_spec.m_id, number });
    }
  }
}

namespace {

/// \brief The first subtask of each gang of which some members are done and others are not.
std::vector<SubtaskId> PartlyDoneGangs(const Job& aJob)
{
  std::vector<SubtaskId> gangs;
  for (const auto& [number, occurrence] : aJob.m_occurrences.Entries()) {
    for (const auto& [step, state] : occurrence.m_steps.Entries()) {
      if (aJob.m_spec.m_steps[step].m_gang && state.DoneCount() != 0 && !state.IsDone()) {
        gangs.push_back({ aJob.m_spec.m_id, number, step, 0 });
      }
    }
  }
  return gangs;
}

} // namespace

void CompleteRestoredGangs(JobTable& aJobTable)
{
  const std::set<JobId> active = aJobTable.m_active; // Completed jobs are removed from it.
  for (const auto& id : active) {
    Job& job = aJobTable.m_jobs.at(id);
    for (const auto& gang : PartlyDoneGangs(job)) {
      ApplyDone(aJobTable, job, gang, 0);
    }
  }
}

std::vector<RunRef> RunsToStop(JobTable& aJobTable)
{
  constexpr auto kAll = std::numeric_limits<std::size_t>::max();
  return RunsToStop(aJobTable, kAll, { { kAll, kAll } });
}

std::vector<RunRef> RunsToStop(JobTable& aJobTable, std::size_t aMaxRuns, OrderWindow aWindow)
{
  std::vector<RunRef> stops;
  std::erase_if(aJobTable.m_toCheck, [&](const JobId& aId) {
    const auto found = aJobTable.m_jobs.find(aId);
    return found == aJobTable.m_jobs.end() ||
           !CollectStops(found->second, aMaxRuns, aWindow, stops);
  });
  return stops;
}

Resources ReservedResources(const StepSpec& aStep) noexcept
{
  Resources need = aStep.m_need;
  if (aStep.m_bestEffort) {
    need.m_cpuMillis = 0;
  }
  return need;
}

std::size_t CountPending(const JobTable& aJobTable, std::string_view aQueue)
{
  return static_cast<std::size_t>(std::ranges::count_if(aJobTable.m_active, [&](const JobId& aId) {
    const Job& job = aJobTable.m_jobs.at(aId);
    return !job.m_begun && job.m_spec.m_occurrences == 0 && job.m_spec.m_queue == aQueue;
  }));
}

PublicJobState StateOf(const Job& aJob) noexcept
{
  if (aJob.m_phase != JobPhase::Active && aJob.m_phaseStored) {
    switch (aJob.m_phase) {
      case JobPhase::Completed:
        return PublicJobState::Completed;
      case JobPhase::Failed:
        return PublicJobState::Failed;
      default:
        return PublicJobState::Cancelled;
    }
  }
  return aJob.m_begun ? PublicJobState::Running : PublicJobState::Queued;
}

} // namespace pistachiostand::fleet
