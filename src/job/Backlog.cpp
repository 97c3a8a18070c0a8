#include "pistachiostand/job/Backlog.h"

#include <algorithm>

namespace pistachiostand::fleet {

namespace {

void CountSubtask(QueueBacklog& aBacklog, const Subtask& aSubtask, Millis aSinceMs, Millis aNowMs)
{
  if (aSubtask.m_runs.empty()) {
    ++aBacklog.m_waitingForPlacement;
    aBacklog.m_longestPlacementWaitMs =
      std::max(aBacklog.m_longestPlacementWaitMs, aNowMs - aSinceMs);
    return;
  }
  for (const auto& run : aSubtask.m_runs) {
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

} // namespace

std::map<QueueName, QueueBacklog> BacklogByQueue(const JobTable& aJobTable, Millis aNowMs)
{
  std::map<QueueName, QueueBacklog> backlogs;
  for (const auto& id : aJobTable.m_active) {
    const Job& job = aJobTable.m_jobs.at(id);
    QueueBacklog& backlog = backlogs[job.m_spec.m_queue];
    ++backlog.m_jobs;
    for (const auto& [number, occurrence] : job.m_occurrences) {
      for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
        if (!IsStepRunnable(job, occurrence, step)) {
          continue;
        }
        for (const auto& subtask : occurrence.m_steps[step]) {
          if (!subtask.m_done) {
            CountSubtask(backlog, subtask, std::max(job.m_acceptedMs, subtask.m_idleSinceMs),
                         aNowMs);
          }
        }
      }
    }
  }
  return backlogs;
}

} // namespace pistachiostand::fleet
