#include "pistachiostand/job/JobTable.h"

#include "pistachiostand/account/RunningLimit.h"
#include "pistachiostand/job/JobLimits.h"

#include <algorithm>
#include <iterator>

namespace pistachiostand::fleet {

namespace {

Occurrence MakeOccurrence(const JobSpec& aSpec, Millis aNowMs)
{
  Occurrence occurrence;
  for (const auto& step : aSpec.m_steps) {
    Subtask subtask;
    subtask.m_idleSinceMs = aNowMs;
    occurrence.m_steps.emplace_back(step.m_count, subtask);
  }
  return occurrence;
}

bool IsOccurrenceDone(const Occurrence& aOccurrence)
{
  return std::ranges::all_of(aOccurrence.m_steps, [](const auto& aStep) {
    return std::ranges::all_of(aStep, &Subtask::m_done);
  });
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
      aJob.m_occurrences.size() == total &&
      std::ranges::all_of(aJob.m_occurrences,
                          [](const auto& aEntry) { return IsOccurrenceDone(aEntry.second); })) {
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

/// \brief Subtasks that the end of one run applies to: the whole gang, or the subtask alone.
std::vector<Subtask*> AffectedSubtasks(Job& aJob, const SubtaskId& aId)
{
  auto& step = aJob.m_occurrences.at(aId.m_occurrence).m_steps.at(aId.m_step);
  std::vector<Subtask*> members;
  if (aJob.m_spec.m_steps.at(aId.m_step).m_gang) {
    std::ranges::transform(step, std::back_inserter(members),
                           [](Subtask& aMember) { return &aMember; });
  } else {
    members.push_back(&step.at(aId.m_index));
  }
  return members;
}

/// \brief Records the time of a step when all its subtasks are done and their times are known.
void MeasureStep(Job& aJob, const SubtaskId& aId)
{
  const auto& step = aJob.m_occurrences.at(aId.m_occurrence).m_steps.at(aId.m_step);
  if (aJob.m_spec.m_occurrences != 0) {
    return; // All occurrences share the times of their job.
  }
  if (std::ranges::all_of(step, [](const Subtask& aSubtask) { return aSubtask.m_ranMs > 0; })) {
    StepTimes& times = aJob.m_times.at(aId.m_step);
    times.m_stepMs = std::ranges::max(step, {}, &Subtask::m_ranMs).m_ranMs;
    times.m_measured = true;
    UpdateJobTotals(aJob);
  }
}

void ApplyDone(JobTable& aJobTable, Job& aJob, const SubtaskId& aId, Millis aRanMs)
{
  if (aJob.m_spec.m_steps.at(aId.m_step).m_longRunning) {
    return;
  }
  MarkAffectedChanged(aJobTable, aJob, aId);
  for (Subtask* member : AffectedSubtasks(aJob, aId)) {
    member->m_done = true;
    member->m_ranMs = aRanMs;
    member->m_checkpoint.clear();
    if (!member->m_runs.empty()) {
      aJobTable.m_toCheck.insert(aJob.m_spec.m_id);
    }
  }
  MeasureStep(aJob, aId);
  CompleteIfDone(aJobTable, aJob);
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
std::uint32_t CountFailedRun(const std::vector<Subtask*>& aAffected, bool aIsGang,
                             std::uint64_t aRun)
{
  const auto lastCounted =
    (*std::ranges::max_element(aAffected, {}, &Subtask::m_lastFailedRun))->m_lastFailedRun;
  if (!aIsGang || aRun > lastCounted) {
    for (Subtask* member : aAffected) {
      ++member->m_failures;
      member->m_lastFailedRun = aIsGang ? aRun : 0;
    }
  }
  return (*std::ranges::max_element(aAffected, {}, &Subtask::m_failures))->m_failures;
}

void ApplyFailure(JobTable& aJobTable, Job& aJob, const RunEnd& aEnd, std::uint32_t aMaxFailures)
{
  const SubtaskId& id = aEnd.m_subtask;
  const StepSpec& step = aJob.m_spec.m_steps.at(id.m_step);
  MarkAffectedChanged(aJobTable, aJob, id);
  const auto failures = CountFailedRun(AffectedSubtasks(aJob, id), step.m_gang, aEnd.m_run);
  if (!step.m_longRunning && aJob.m_phase == JobPhase::Active && failures >= aMaxFailures) {
    FinishJob(aJobTable, aJob, JobPhase::Failed);
  }
}

/// \brief Collects the runs of one job that must be stopped and whose stop has not been ordered.
/// \return true while the job has runs to stop, including those whose stop has been ordered.
bool CollectStops(const Job& aJob, std::vector<RunRef>& aStops)
{
  bool hasRunsToStop = false;
  for (const auto& [number, occurrence] : aJob.m_occurrences) {
    for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
      for (std::uint32_t index = 0; index < occurrence.m_steps[step].size(); ++index) {
        const Subtask& subtask = occurrence.m_steps[step][index];
        if (aJob.m_phase == JobPhase::Active && !subtask.m_done) {
          continue;
        }
        hasRunsToStop = hasRunsToStop || !subtask.m_runs.empty();
        for (const auto& run : subtask.m_runs) {
          if (run.m_phase != RunPhase::Stopping) {
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
  job.m_acceptedMs = aNowMs - aAgeMs;
  if (job.m_spec.m_occurrences == 0) {
    OpenOccurrence(job, 0, aNowMs);
    job.m_dueOccurrences = 1;
  }
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
  }
  return true;
}

void FailJob(JobTable& aJobTable, const JobId& aId)
{
  const auto found = aJobTable.m_jobs.find(aId);
  if (found != aJobTable.m_jobs.end() && found->second.m_phase == JobPhase::Active) {
    found->second.m_begun = true; // Its progress is unknown, so it may have run.
    FinishJob(aJobTable, found->second, JobPhase::Failed);
  }
}

Occurrence& OpenOccurrence(Job& aJob, std::uint32_t aNumber, Millis aNowMs)
{
  const auto found = aJob.m_occurrences.find(aNumber);
  return found != aJob.m_occurrences.end()
           ? found->second
           : aJob.m_occurrences.emplace(aNumber, MakeOccurrence(aJob.m_spec, aNowMs)).first->second;
}

void OpenDueOccurrences(JobTable& aJobTable, Millis aWallMs, Millis aNowMs)
{
  for (const auto& id : aJobTable.m_active) {
    Job& job = aJobTable.m_jobs.at(id);
    while (job.m_phase == JobPhase::Active && job.m_dueOccurrences < job.m_spec.m_occurrences &&
           aWallMs >= job.m_spec.m_firstDueMs + job.m_dueOccurrences * job.m_spec.m_intervalMs) {
      OpenOccurrence(job, job.m_dueOccurrences, aNowMs);
      ++job.m_dueOccurrences;
      MarkJobChanged(aJobTable, id);
    }
  }
}

Subtask* FindSubtask(JobTable& aJobTable, const SubtaskId& aId) noexcept
{
  const auto job = aJobTable.m_jobs.find(aId.m_job);
  if (job == aJobTable.m_jobs.end()) {
    return nullptr;
  }
  const auto occurrence = job->second.m_occurrences.find(aId.m_occurrence);
  if (occurrence == job->second.m_occurrences.end() ||
      aId.m_step >= occurrence->second.m_steps.size() ||
      aId.m_index >= occurrence->second.m_steps[aId.m_step].size()) {
    return nullptr;
  }
  return &occurrence->second.m_steps[aId.m_step][aId.m_index];
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
  Subtask* subtask = FindSubtask(aJobTable, aRef.m_subtask);
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
    const auto& subtask = aJobTable.m_jobs.at(id.m_job)
                            .m_occurrences.at(id.m_occurrence)
                            .m_steps[id.m_step][id.m_index];
    for (const auto& run : subtask.m_runs) {
      if (run.m_server == aServer) {
        runs.push_back({ id, run.m_number, aServer });
      }
    }
  }
  return runs;
}

bool IsStepRunnable(const Job& aJob, const Occurrence& aOccurrence, std::uint32_t aStep) noexcept
{
  return std::ranges::all_of(
    aJob.m_spec.m_steps[aStep].m_dependencies, [&](std::uint32_t aEarlier) {
      return aEarlier < aOccurrence.m_steps.size() &&
             std::ranges::all_of(aOccurrence.m_steps[aEarlier], &Subtask::m_done);
    });
}

std::uint64_t NextRunNumber(const JobTable& aJobTable, const SubtaskId& aId)
{
  const auto& job = aJobTable.m_jobs.at(aId.m_job);
  const auto& step = job.m_occurrences.at(aId.m_occurrence).m_steps.at(aId.m_step);
  if (!job.m_spec.m_steps.at(aId.m_step).m_gang) {
    return step.at(aId.m_index).m_lastRun + 1;
  }
  return std::ranges::max(step, {}, &Subtask::m_lastRun).m_lastRun + 1;
}

void AllocateRun(JobTable& aJobTable, const SubtaskId& aId, const ServerId& aServer)
{
  aJobTable.m_byServer[aServer].insert(aId);
  const StepSpec& step = *FindStep(aJobTable, aId);
  auto& used = aJobTable.m_used[aServer];
  used = used + ReservedResources(step);
  AdjustLoad(aJobTable.m_load[aServer], step, 1);
  AddUse(aJobTable.m_usedByAccount, AccountOf(aJobTable, aId), step.m_need);
}

std::uint64_t PlanRun(JobTable& aJobTable, const SubtaskId& aId, const ServerId& aServer,
                      std::uint64_t aNumber, Millis aNowMs)
{
  Subtask* subtask = FindSubtask(aJobTable, aId);
  Run run;
  run.m_number = aNumber;
  run.m_server = aServer;
  run.m_resumed = !subtask->m_checkpoint.empty();
  run.m_sinceMs = aNowMs;
  subtask->m_lastRun = aNumber;
  subtask->m_runs.push_back(std::move(run));
  AllocateRun(aJobTable, aId, aServer);
  MarkChanged(aJobTable, aJobTable.m_jobs.at(aId.m_job), aId);
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
  Subtask* subtask = FindSubtask(aJobTable, aRef.m_subtask);
  const StepSpec* step = FindStep(aJobTable, aRef.m_subtask);
  if (subtask == nullptr || step == nullptr || aRef.m_run > kMaxRunNumber) {
    return false;
  }
  subtask->m_lastRun = std::max(subtask->m_lastRun, aRef.m_run);
  if (subtask->m_done || aRef.m_run <= subtask->m_lastEndedRun || !subtask->m_runs.empty() ||
      aJobTable.m_jobs.at(aRef.m_subtask.m_job).m_phase != JobPhase::Active) {
    return false;
  }
  PlanRun(aJobTable, aRef.m_subtask, aRef.m_server, aRef.m_run, aNowMs);
  subtask->m_runs.back().m_phase = RunPhase::Running;
  subtask->m_runs.back().m_inherited = true;
  aJobTable.m_jobs.at(aRef.m_subtask.m_job).m_begun = true;
  return true;
}

void DropRun(JobTable& aJobTable, const RunRef& aRef, Millis aNowMs)
{
  if (FindRun(aJobTable, aRef) != nullptr) {
    RemoveRun(aJobTable, *FindSubtask(aJobTable, aRef.m_subtask), aRef, aNowMs);
  }
}

bool ApplyEnd(JobTable& aJobTable, const RunEnd& aEnd, std::uint32_t aMaxFailures, Millis aNowMs)
{
  Subtask* subtask = FindSubtask(aJobTable, aEnd.m_subtask);
  if (subtask == nullptr || aEnd.m_run > kMaxRunNumber) {
    return false;
  }
  const auto run = std::ranges::find(subtask->m_runs, aEnd.m_run, &Run::m_number);
  const bool listed = run != subtask->m_runs.end();
  const Millis ran = listed ? RunTimeMs(*run, aNowMs) : 0;
  if (listed) {
    RemoveRun(aJobTable, *subtask, { aEnd.m_subtask, aEnd.m_run, run->m_server }, aNowMs);
  }
  if (!listed && aEnd.m_run <= subtask->m_lastEndedRun && !IsFirstDone(aJobTable, *subtask, aEnd)) {
    return false; // Repeated.
  }
  subtask->m_lastRun = std::max(subtask->m_lastRun, aEnd.m_run);
  subtask->m_lastEndedRun = std::max(subtask->m_lastEndedRun, aEnd.m_run);
  Job& job = aJobTable.m_jobs.at(aEnd.m_subtask.m_job);
  MarkChanged(aJobTable, job, aEnd.m_subtask);
  job.m_begun = true;
  if (subtask->m_done) {
    return true;
  }
  if (!aEnd.m_checkpoint.empty()) {
    subtask->m_checkpoint = aEnd.m_checkpoint;
  }
  if (aEnd.m_kind == EndKind::Done) {
    ApplyDone(aJobTable, job, aEnd.m_subtask, ran);
  } else if (aEnd.m_kind == EndKind::Failed) {
    ApplyFailure(aJobTable, job, aEnd, aMaxFailures);
  }
  return true;
}

std::vector<RunRef> DropServerRuns(JobTable& aJobTable, const ServerId& aServer, Millis aNowMs)
{
  auto runs = RunsOn(aJobTable, aServer);
  std::ranges::for_each(runs, [&](const RunRef& aRef) { DropRun(aJobTable, aRef, aNowMs); });
  return runs;
}

void RemoveRecords(JobTable& aJobTable, const Job& aJob)
{
  for (std::uint32_t number = 0; number < PartCount(aJob.m_spec); ++number) {
    aJobTable.m_changed.insert({ aJob.m_spec.m_id, number });
  }
}

void CompleteRestoredGangs(JobTable& aJobTable)
{
  const std::set<JobId> active = aJobTable.m_active; // Completed jobs are removed from it.
  for (const auto& id : active) {
    Job& job = aJobTable.m_jobs.at(id);
    for (auto& [number, occurrence] : job.m_occurrences) {
      for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
        const auto done = std::ranges::count(occurrence.m_steps[step], true, &Subtask::m_done);
        if (job.m_spec.m_steps[step].m_gang && done != 0 &&
            static_cast<std::size_t>(done) != occurrence.m_steps[step].size()) {
          ApplyDone(aJobTable, job, { id, number, step, 0 }, 0);
        }
      }
    }
  }
}

std::vector<RunRef> RunsToStop(JobTable& aJobTable)
{
  std::vector<RunRef> stops;
  std::erase_if(aJobTable.m_toCheck, [&](const JobId& aId) {
    const auto found = aJobTable.m_jobs.find(aId);
    return found == aJobTable.m_jobs.end() || !CollectStops(found->second, stops);
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
