#include "pistachiostand/job/JobCodec.h"

#include "process/Pack.h"

#include "pistachiostand/base/Bounds.h"
#include "pistachiostand/job/JobLimits.h"

#include <algorithm>

namespace pistachiostand::fleet {

namespace {

/// \brief Stored form of a run: number and server.
struct StoredRun
{
  std::uint64_t m_number{};
  std::string m_server;
};

/// \brief Stored form of a subtask. Subtasks without history are omitted, so each one has its
/// index.
struct StoredSubtask
{
  std::uint32_t m_index{};
  std::uint64_t m_lastRun{};
  std::uint64_t m_lastEndedRun{};
  std::uint32_t m_failures{};
  bool m_done{};
  std::string m_checkpoint;
  std::vector<StoredRun> m_runs;
};

struct StoredOccurrence
{
  std::uint32_t m_number{};
  std::vector<std::vector<StoredSubtask>> m_steps;
};

struct StoredProgress
{
  std::string m_queue;
  JobPhase m_phase{};
  bool m_begun{};
  std::uint32_t m_dueOccurrences{};
  std::vector<StoredOccurrence> m_occurrences;
};

template<typename V>
void Fields(StoredRun& aRun, V aVisit)
{
  aVisit(aRun.m_number, aRun.m_server);
}

template<typename V>
void Fields(StoredSubtask& aSubtask, V aVisit)
{
  aVisit(aSubtask.m_index, aSubtask.m_lastRun, aSubtask.m_lastEndedRun, aSubtask.m_failures,
         aSubtask.m_done, aSubtask.m_checkpoint, aSubtask.m_runs);
}

template<typename V>
void Fields(StoredOccurrence& aOccurrence, V aVisit)
{
  aVisit(aOccurrence.m_number, aOccurrence.m_steps);
}

template<typename V>
void Fields(StoredProgress& aProgress, V aVisit)
{
  aVisit(aProgress.m_queue, aProgress.m_phase, aProgress.m_begun, aProgress.m_dueOccurrences,
         aProgress.m_occurrences);
}

StoredSubtask Store(std::uint32_t aIndex, const Subtask& aSubtask)
{
  StoredSubtask stored{ aIndex,
                        aSubtask.m_lastRun,
                        aSubtask.m_lastEndedRun,
                        aSubtask.m_failures,
                        aSubtask.m_done,
                        aSubtask.m_checkpoint,
                        {} };
  for (const auto& run : aSubtask.m_runs) {
    stored.m_runs.push_back({ run.m_number, run.m_server });
  }
  return stored;
}

StoredOccurrence Store(std::uint32_t aNumber, const Occurrence& aOccurrence)
{
  StoredOccurrence stored{ aNumber, {} };
  for (const auto& step : aOccurrence.m_steps) {
    auto& subtasks = stored.m_steps.emplace_back();
    for (std::uint32_t i = 0; i < step.size(); ++i) {
      if (step[i].m_lastRun != 0) {
        subtasks.push_back(Store(i, step[i]));
      }
    }
  }
  return stored;
}

Reason UnreadableRecord(std::string_view aCause)
{
  return { ReasonKind::BadValue, std::string{ aCause }, "the record is not used", {} };
}

std::string_view ValidationErrorOf(const StoredSubtask& aSubtask)
{
  if (aSubtask.m_lastRun == 0 || aSubtask.m_lastRun > kMaxRunNumber ||
      aSubtask.m_lastEndedRun > aSubtask.m_lastRun) {
    return "the number of the last run of a subtask is out of range";
  }
  if (aSubtask.m_failures > kMaxFailures || aSubtask.m_runs.size() > kMaxRunsOfSubtask) {
    return "a subtask has too many runs or failures";
  }
  const bool isInRange = std::ranges::all_of(aSubtask.m_runs, [&aSubtask](const StoredRun& aRun) {
    return aRun.m_number != 0 && aRun.m_number <= aSubtask.m_lastRun && IsName(aRun.m_server);
  });
  return isInRange ? ""
                   : "the number of a run is out of range or the name of its server is invalid";
}

std::string_view ValidationErrorOf(const StoredOccurrence& aOccurrence, const JobSpec& aSpec)
{
  if (aOccurrence.m_steps.size() > aSpec.m_steps.size()) {
    return "the record has more steps than the job";
  }
  for (std::size_t step = 0; step < aOccurrence.m_steps.size(); ++step) {
    const auto& subtasks = aOccurrence.m_steps[step];
    // The encoder writes them sorted by index and without duplicates.
    const bool isSorted = std::ranges::adjacent_find(subtasks, std::ranges::greater_equal{},
                                                     &StoredSubtask::m_index) == subtasks.end();
    if (!isSorted ||
        (!subtasks.empty() && subtasks.back().m_index >= aSpec.m_steps[step].m_count)) {
      return "a step has subtasks that do not match the job";
    }
    for (const auto& subtask : subtasks) {
      const auto fault = ValidationErrorOf(subtask);
      if (!fault.empty()) {
        return fault;
      }
    }
  }
  return {};
}

/// \brief Describes how the progress contradicts the job; empty if it does not.
std::string_view ValidationErrorOf(const StoredProgress& aProgress, const JobSpec& aSpec)
{
  const auto total = std::max<std::uint32_t>(aSpec.m_occurrences, 1);
  if (aProgress.m_dueOccurrences > total ||
      aProgress.m_occurrences.size() > aProgress.m_dueOccurrences) {
    return "the record has more occurrences than the job";
  }
  const bool isSorted =
    std::ranges::adjacent_find(aProgress.m_occurrences, std::ranges::greater_equal{},
                               &StoredOccurrence::m_number) == aProgress.m_occurrences.end();
  if (!isSorted || (!aProgress.m_occurrences.empty() &&
                    aProgress.m_occurrences.back().m_number >= aProgress.m_dueOccurrences)) {
    return "the record has occurrences that do not match the job";
  }
  for (const auto& occurrence : aProgress.m_occurrences) {
    const auto fault = ValidationErrorOf(occurrence, aSpec);
    if (!fault.empty()) {
      return fault;
    }
  }
  return {};
}

void Restore(JobTable& aJobTable, const SubtaskId& aId, const StoredSubtask& aStored, Millis aNowMs)
{
  Subtask* subtask = FindSubtask(aJobTable, aId);
  if (subtask == nullptr) {
    return;
  }
  subtask->m_lastRun = aStored.m_lastRun;
  subtask->m_lastEndedRun = aStored.m_lastEndedRun;
  subtask->m_failures = aStored.m_failures;
  subtask->m_done = aStored.m_done;
  subtask->m_checkpoint = aStored.m_checkpoint;
  for (const auto& stored : aStored.m_runs) {
    if (FindRun(aJobTable, { aId, stored.m_number, stored.m_server }) != nullptr) {
      continue;
    }
    Run run;
    run.m_number = stored.m_number;
    run.m_server = stored.m_server;
    run.m_phase = RunPhase::Restored;
    run.m_inherited = true;
    run.m_sinceMs = aNowMs;
    subtask->m_runs.push_back(run);
    AllocateRun(aJobTable, aId, stored.m_server);
    aJobTable.m_toCheck.insert(aId.m_job);
  }
}

} // namespace

/// \brief Number of phases, used to check decoded values.
static constexpr std::uint8_t EnumeratorCount(JobPhase /*aPhase*/) noexcept
{
  return 4;
}

template<typename V>
void Fields(Resources& aNeed, V aVisit)
{
  aVisit(aNeed.m_cpuMillis, aNeed.m_memoryMb, aNeed.m_gpus);
}

template<typename V>
void Fields(StepSpec& aStep, V aVisit)
{
  aVisit(aStep.m_count, aStep.m_need, aStep.m_estimateMs, aStep.m_dependencies, aStep.m_image,
         aStep.m_requiredLabel, aStep.m_dataRack, aStep.m_maxPerServer, aStep.m_tailLatencyTargetMs,
         aStep.m_maxUnavailable, aStep.m_checkpointing, aStep.m_gang, aStep.m_sameRack,
         aStep.m_speculative, aStep.m_longRunning, aStep.m_bestEffort);
}

template<typename V>
void Fields(JobSpec& aSpec, V aVisit)
{
  aVisit(aSpec.m_id, aSpec.m_queue, aSpec.m_pool, aSpec.m_payload, aSpec.m_acceptedMs,
         aSpec.m_firstDueMs, aSpec.m_intervalMs, aSpec.m_occurrences, aSpec.m_steps);
}

std::string EncodeSubmission(const JobSpec& aSpec)
{
  return internal::Pack(aSpec);
}

std::optional<JobSpec> DecodeSubmission(std::string_view aBytes, Reason& aReason)
{
  auto spec = internal::Unpack<JobSpec>(aBytes);
  const std::string_view fault = spec ? ValidationErrorOf(*spec) : "the record holds no submission";
  if (!fault.empty()) {
    aReason = UnreadableRecord(fault);
    return std::nullopt;
  }
  return spec;
}

std::optional<JobSpec> DecodeSubmission(std::string_view aBytes)
{
  Reason ignored;
  return DecodeSubmission(aBytes, ignored);
}

std::string EncodeProgress(const Job& aJob)
{
  StoredProgress progress{
    aJob.m_spec.m_queue, aJob.m_phase, aJob.m_begun, aJob.m_dueOccurrences, {}
  };
  // A later owner must still stop the runs of an ended job, so they are stored until they end.
  const bool keep = aJob.m_phase == JobPhase::Active ||
                    std::ranges::any_of(aJob.m_occurrences, [](const auto& aEntry) {
                      return std::ranges::any_of(aEntry.second.m_steps, [](const auto& aStep) {
                        return std::ranges::any_of(
                          aStep, [](const Subtask& aSubtask) { return !aSubtask.m_runs.empty(); });
                      });
                    });
  if (keep) {
    for (const auto& [number, occurrence] : aJob.m_occurrences) {
      progress.m_occurrences.push_back(Store(number, occurrence));
    }
  }
  return internal::Pack(progress);
}

bool ApplyProgress(JobTable& aJobTable, const JobId& aId, std::string_view aBytes, Millis aNowMs,
                   Reason& aReason)
{
  const auto progress = internal::Unpack<StoredProgress>(aBytes);
  const auto found = aJobTable.m_jobs.find(aId);
  const bool known = found != aJobTable.m_jobs.end();
  const bool isSpecified = known && !found->second.m_spec.m_steps.empty();
  std::string_view fault;
  if (!IsValidJobId(aId)) {
    fault = "the key is no valid job id";
  } else if (!progress || progress->m_queue.size() > kMaxTextBytes) {
    fault = "the record holds no progress of a job";
  } else if (!isSpecified && progress->m_phase == JobPhase::Active) {
    fault = "the job has no submission that can be read";
  } else if (isSpecified) {
    fault = ValidationErrorOf(*progress, found->second.m_spec);
  }
  if (!fault.empty()) {
    aReason = UnreadableRecord(fault);
    return false;
  }
  Job& job = aJobTable.m_jobs[aId];
  if (!known) {
    job.m_spec.m_id = aId;
    job.m_spec.m_queue = progress->m_queue;
  }
  job.m_phase = progress->m_phase;
  if (job.m_phase != JobPhase::Active) {
    aJobTable.m_active.erase(aId);
  }
  job.m_phaseStored = progress->m_phase != JobPhase::Active;
  job.m_finishedMs = aNowMs;
  job.m_begun = progress->m_begun;
  job.m_dueOccurrences = progress->m_dueOccurrences;
  if (job.m_spec.m_steps.empty()) {
    return true; // Without a specification; servers that list its subtasks get orders to stop them.
  }
  for (const auto& stored : progress->m_occurrences) {
    auto& occurrence = job.m_occurrences[stored.m_number];
    occurrence.m_steps.resize(std::max(occurrence.m_steps.size(), job.m_spec.m_steps.size()));
    for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
      Subtask idle;
      idle.m_idleSinceMs = aNowMs;
      occurrence.m_steps[step].resize(job.m_spec.m_steps[step].m_count, idle);
      if (step < stored.m_steps.size()) {
        for (const auto& subtask : stored.m_steps[step]) {
          Restore(aJobTable, { aId, stored.m_number, step, subtask.m_index }, subtask, aNowMs);
        }
      }
    }
  }
  return true;
}

bool ApplyProgress(JobTable& aJobTable, const JobId& aId, std::string_view aBytes, Millis aNowMs)
{
  Reason ignored;
  return ApplyProgress(aJobTable, aId, aBytes, aNowMs, ignored);
}

void FailUnreadableJob(JobTable& aJobTable, const JobId& aId, Millis aNowMs)
{
  if (!IsValidJobId(aId)) {
    return;
  }
  const auto [entry, added] = aJobTable.m_jobs.try_emplace(aId);
  if (added) {
    entry->second.m_spec.m_id = aId;
    entry->second.m_acceptedMs = aNowMs;
  }
  FailJob(aJobTable, aId);
}

} // namespace pistachiostand::fleet
