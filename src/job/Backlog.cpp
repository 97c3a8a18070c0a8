#include "pistachiostand/job/Backlog.h"

#include <algorithm>
#include <optional>

namespace pistachiostand::fleet {

namespace {

void CountRuns(QueueBacklog& aBacklog, const StepState& aStep)
{
  for (const auto& [index, subtask] : aStep.Entries()) {
    if (subtask.m_done) {
      continue;
    }
    for (const auto& run : subtask.m_runs) {
      switch (run.m_phase) {
        case RunPhase::Planned:
          ++aBacklog.m_waitingForRecord;
          break;
        case RunPhase::Restored:
        case RunPhase::Sent:
          ++aBacklog.m_waitingForServer;
          break;
        case RunPhase::Running:
        case RunPhase::Stopping:
          ++aBacklog.m_running;
          break;
      }
    }
  }
}

/// \brief Since when the subtask without a run has waited that has waited longest.
/// \param aStep null when the step has not begun.
Millis WaitingSinceMs(const Job& aJob, const StepState* aStep, Millis aNowMs)
{
  Millis since = aNowMs;
  auto index = aStep == nullptr ? std::nullopt : aStep->FirstWaiting(0);
  while (index && aStep->Find(*index) != nullptr) {
    since = std::min(since, aStep->Find(*index)->m_idleSinceMs);
    index = aStep->FirstWaiting(*index + 1);
  }
  if (aStep == nullptr || index) { // The others have had no run.
    since = std::min(since, aJob.m_waitingSinceMs);
  }
  return std::max(aJob.m_acceptedMs, since);
}

void CountStep(QueueBacklog& aBacklog, const Job& aJob, const Occurrence& aOccurrence,
               std::uint32_t aStep, Millis aNowMs)
{
  const StepState* step = aOccurrence.m_steps.Find(aStep);
  const auto waiting = CountSubtasks(aJob.m_spec, &aOccurrence, aStep).m_waiting;
  aBacklog.m_waitingForPlacement += waiting;
  if (waiting != 0) {
    aBacklog.m_longestPlacementWaitMs =
      std::max(aBacklog.m_longestPlacementWaitMs, aNowMs - WaitingSinceMs(aJob, step, aNowMs));
  }
  if (step != nullptr) {
    CountRuns(aBacklog, *step);
  }
}

/// \brief Counts the occurrences that are due and have not begun.
void CountWaitingOccurrences(QueueBacklog& aBacklog, const Job& aJob, Millis aNowMs)
{
  const std::uint32_t waiting = WaitingOccurrences(aJob);
  if (waiting == 0) {
    return;
  }
  for (const auto& step : aJob.m_spec.m_steps) {
    if (step.m_dependencies.empty()) {
      aBacklog.m_waitingForPlacement += waiting * step.m_count;
    }
  }
  aBacklog.m_longestPlacementWaitMs =
    std::max(aBacklog.m_longestPlacementWaitMs, aNowMs - WaitingSinceMs(aJob, nullptr, aNowMs));
}

} // namespace

std::map<QueueName, QueueBacklog> BacklogByQueue(const JobTable& aJobTable, Millis aNowMs)
{
  std::map<QueueName, QueueBacklog> backlogs;
  for (const auto& id : aJobTable.m_active) {
    const Job& job = aJobTable.m_jobs.at(id);
    QueueBacklog& backlog = backlogs[job.m_spec.m_queue];
    ++backlog.m_jobs;
    for (const auto& [number, occurrence] : job.m_occurrences.Entries()) {
      for (const auto step : occurrence.m_ready) {
        CountStep(backlog, job, occurrence, step, aNowMs);
      }
    }
    CountWaitingOccurrences(backlog, job, aNowMs);
  }
  return backlogs;
}

} // namespace pistachiostand::fleet
