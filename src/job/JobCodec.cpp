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
  std::uint64_t m_lastFailedRun{};
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
         aSubtask.m_done, aSubtask.m_checkpoint, aSubtask.m_runs, aSubtask.m_lastFailedRun);
}

constexpr bool SkipsUnknownFields(const StoredSubtask& /*aSubtask*/) noexcept
{
  return true;
}

constexpr bool SkipsUnknownFields(const StoredProgress& /*aProgress*/) noexcept
{
  return true;
}

/// \brief Earlier records lack m_lastFailedRun.
constexpr std::size_t AddedFieldCount(const StoredSubtask& /*aSubtask*/) noexcept
{
  return 1;
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
                        {},
                        aSubtask.m_lastFailedRun };
  for (const auto& run : aSubtask.m_runs) {
    stored.m_runs.push_back({ run.m_number, run.m_server });
  }
  return stored;
}

/// \brief Numbers of the subtasks in a part, counted over all occurrences of their job.
struct PartRange
{
  std::uint64_t m_first{};
  std::uint64_t m_end{};
};

/// \param aOccurrence null when the occurrence has ended.
/// \param aFirst number of the first subtask of the occurrence.
StoredOccurrence Store(const Job& aJob, std::uint32_t aNumber, const Occurrence* aOccurrence,
                       std::uint64_t aFirst, const PartRange& aPart)
{
  StoredOccurrence stored{ aNumber, {} };
  for (std::uint32_t step = 0; step < aJob.m_spec.m_steps.size(); ++step) {
    auto& subtasks = stored.m_steps.emplace_back();
    const std::uint32_t count = aJob.m_spec.m_steps[step].m_count;
    const std::uint64_t end = std::min(aPart.m_end, aFirst + count);
    const bool hasEnded = aOccurrence == nullptr || aOccurrence->m_steps.HasEnded(step);
    const StepState* state = hasEnded ? nullptr : aOccurrence->m_steps.Find(step);
    for (std::uint64_t number = std::max(aPart.m_first, aFirst); number < end; ++number) {
      const auto index = static_cast<std::uint32_t>(number - aFirst);
      const Subtask* subtask = state == nullptr ? nullptr : state->Find(index);
      if (hasEnded || (state != nullptr && state->HasEnded(index))) {
        subtask = &aJob.m_ended;
      }
      if (subtask != nullptr && subtask->m_lastRun != 0) {
        subtasks.push_back(Store(index, *subtask));
      }
    }
    aFirst += count;
  }
  return stored;
}

std::vector<StoredOccurrence> StoreOccurrences(const Job& aJob, std::uint32_t aPart)
{
  const std::uint64_t first = std::uint64_t{ aPart } * kSubtasksPerPart;
  const PartRange part{ first, first + kSubtasksPerPart };
  const std::uint64_t size = std::max<std::uint64_t>(SubtaskCount(aJob.m_spec), 1);
  std::vector<StoredOccurrence> stored;
  const auto end = static_cast<std::uint32_t>((part.m_end - 1) / size + 1);
  for (auto number = static_cast<std::uint32_t>(first / size); number < end; ++number) {
    if (aJob.m_occurrences.HasBegun(number)) {
      stored.push_back(Store(aJob, number, aJob.m_occurrences.Find(number), number * size, part));
    }
  }
  return stored;
}

bool HasRuns(const std::vector<StoredOccurrence>& aOccurrences)
{
  return std::ranges::any_of(aOccurrences, [](const StoredOccurrence& aOccurrence) {
    return std::ranges::any_of(aOccurrence.m_steps, [](const auto& aStep) {
      return std::ranges::any_of(
        aStep, [](const StoredSubtask& aSubtask) { return !aSubtask.m_runs.empty(); });
    });
  });
}

void RemoveCheckpoints(std::vector<StoredOccurrence>& aOccurrences)
{
  for (auto& occurrence : aOccurrences) {
    for (auto& step : occurrence.m_steps) {
      std::ranges::for_each(step, [](StoredSubtask& aSubtask) { aSubtask.m_checkpoint.clear(); });
    }
  }
}

Reason UnreadableRecord(std::string_view aCause)
{
  return { ReasonKind::BadValue, std::string{ aCause }, "the record is not used", {} };
}

std::string_view ValidationErrorOf(const StoredSubtask& aSubtask)
{
  if (aSubtask.m_lastRun == 0 || aSubtask.m_lastRun > kMaxRunNumber ||
      aSubtask.m_lastEndedRun > aSubtask.m_lastRun || aSubtask.m_lastFailedRun > kMaxRunNumber) {
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
  Job& job = aJobTable.m_jobs.at(aId.m_job);
  if (HasEnded(job, aId)) {
    return; // The record is read again.
  }
  Subtask& subtask = EditSubtask(job, aId);
  subtask.m_lastRun = aStored.m_lastRun;
  subtask.m_lastEndedRun = aStored.m_lastEndedRun;
  subtask.m_failures = aStored.m_failures;
  subtask.m_lastFailedRun = aStored.m_lastFailedRun;
  subtask.m_done = aStored.m_done;
  subtask.m_checkpoint = aStored.m_checkpoint;
  subtask.m_idleSinceMs = aNowMs;
  if (aStored.m_lastEndedRun != 0) {
    // Part 0 is not stored again when the first run of a later part begins.
    job.m_begun = true;
  }
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
    subtask.m_runs.push_back(run);
    AllocateRun(aJobTable, aId, stored.m_server);
    aJobTable.m_toCheck.insert(aId.m_job);
  }
  SettleSubtask(job, aId);
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
void Fields(AdviceCosts& aCosts, V aVisit)
{
  aVisit(aCosts.m_decisionMs, aCosts.m_perServerMs, aCosts.m_validMs);
}

template<typename V>
void Fields(QueueTerms& aTerms, V aVisit)
{
  aVisit(aTerms.m_maxFailures, aTerms.m_stretch, aTerms.m_objectiveBaseMs, aTerms.m_advice);
}

template<typename V>
void Fields(JobSpec& aSpec, V aVisit)
{
  aVisit(aSpec.m_id, aSpec.m_queue, aSpec.m_pool, aSpec.m_payload, aSpec.m_acceptedMs,
         aSpec.m_firstDueMs, aSpec.m_intervalMs, aSpec.m_occurrences, aSpec.m_steps, aSpec.m_terms,
         aSpec.m_account);
}

/// \brief Earlier records lack m_terms, m_account or both.
static constexpr std::size_t AddedFieldCount(const JobSpec& /*aSpec*/) noexcept
{
  return 2;
}

// Records of jobs and their progress are read by builds of other versions during an upgrade.

static constexpr bool SkipsUnknownFields(const JobSpec& /*aSpec*/) noexcept
{
  return true;
}

static constexpr bool SkipsUnknownFields(const StepSpec& /*aStep*/) noexcept
{
  return true;
}

static constexpr bool SkipsUnknownFields(const QueueTerms& /*aTerms*/) noexcept
{
  return true;
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

std::string EncodeProgress(const Job& aJob, std::uint32_t aPart, std::size_t aMaxBytes)
{
  StoredProgress progress{ aJob.m_spec.m_queue, aJob.m_phase, aJob.m_begun, aJob.m_dueOccurrences,
                           StoreOccurrences(aJob, aPart) };
  // A later owner must still stop the runs of an ended job, so they are stored until they end.
  if (aJob.m_phase != JobPhase::Active && !HasRuns(progress.m_occurrences)) {
    progress.m_occurrences.clear();
  }
  std::string record = internal::Pack(progress);
  if (record.size() > aMaxBytes) {
    RemoveCheckpoints(progress.m_occurrences);
    record = internal::Pack(progress);
  }
  return record;
}

namespace {

void ApplyPhase(JobTable& aJobTable, const JobId& aId, const StoredProgress& aProgress,
                Millis aNowMs)
{
  const auto [entry, added] = aJobTable.m_jobs.try_emplace(aId);
  Job& job = entry->second;
  if (added) {
    job.m_spec.m_id = aId;
    job.m_spec.m_queue = aProgress.m_queue;
  }
  job.m_storedParts.Insert(0);
  job.m_phase = aProgress.m_phase;
  if (job.m_phase != JobPhase::Active) {
    aJobTable.m_active.erase(aId);
  }
  job.m_phaseStored = aProgress.m_phase != JobPhase::Active;
  job.m_finishedMs = aNowMs;
  job.m_begun = job.m_begun || aProgress.m_begun;
  job.m_dueOccurrences = aProgress.m_dueOccurrences;
}

void RestoreOccurrences(JobTable& aJobTable, const JobId& aId, const StoredProgress& aProgress,
                        Millis aNowMs)
{
  for (const auto& stored : aProgress.m_occurrences) {
    for (std::uint32_t step = 0; step < stored.m_steps.size(); ++step) {
      for (const auto& subtask : stored.m_steps[step]) {
        Restore(aJobTable, { aId, stored.m_number, step, subtask.m_index }, subtask, aNowMs);
      }
    }
  }
}

} // namespace

bool ApplyProgress(JobTable& aJobTable, std::string_view aKey, std::string_view aBytes,
                   Millis aNowMs, Reason& aReason)
{
  const auto part = ParseProgressKey(aKey);
  if (!part) {
    aReason = UnreadableRecord("the key is no valid job id");
    return false;
  }
  const auto progress = internal::Unpack<StoredProgress>(aBytes);
  const auto found = aJobTable.m_jobs.find(part->m_job);
  const bool isSpecified = found != aJobTable.m_jobs.end() && !found->second.m_spec.m_steps.empty();
  std::string_view fault;
  if (!progress || progress->m_queue.size() > kMaxTextBytes) {
    fault = "the record holds no progress of a job";
  } else if (!isSpecified && part->m_number == 0 && progress->m_phase == JobPhase::Active) {
    fault = "the job has no submission that can be read";
  } else if (isSpecified) {
    fault = ValidationErrorOf(*progress, found->second.m_spec);
  }
  if (!fault.empty()) {
    aReason = UnreadableRecord(fault);
    return false;
  }
  if (part->m_number == 0) {
    ApplyPhase(aJobTable, part->m_job, *progress, aNowMs);
  }
  if (isSpecified) {
    found->second.m_storedParts.Insert(part->m_number);
    RestoreOccurrences(aJobTable, part->m_job, *progress, aNowMs);
  } else if (part->m_number != 0) {
    aJobTable.m_changed.insert(*part); // Its job has been forgotten or has ended.
  }
  // Without a specification, servers that list subtasks of the job get orders to stop them.
  return true;
}

bool ApplyProgress(JobTable& aJobTable, std::string_view aKey, std::string_view aBytes,
                   Millis aNowMs)
{
  Reason ignored;
  return ApplyProgress(aJobTable, aKey, aBytes, aNowMs, ignored);
}

void FailUnreadableJob(JobTable& aJobTable, std::string_view aKey, Millis aNowMs)
{
  const auto part = ParseProgressKey(aKey);
  if (!part) {
    return;
  }
  const auto [entry, added] = aJobTable.m_jobs.try_emplace(part->m_job);
  if (added) {
    entry->second.m_spec.m_id = part->m_job;
    entry->second.m_acceptedMs = aNowMs;
  }
  entry->second.m_storedParts.Insert(part->m_number);
  FailJob(aJobTable, part->m_job);
}

} // namespace pistachiostand::fleet
