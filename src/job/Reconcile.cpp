#include "pistachiostand/job/Reconcile.h"

#include <algorithm>
#include <set>

namespace pistachiostand::fleet {

namespace {

/// Best-effort runs slow down before the tail latency reaches its target, because a new speed takes
/// effect with a delay.
constexpr double kSlowDownAt = 0.85;
/// Below this fraction of the target, best-effort runs speed up again.
constexpr double kSpeedUpBelow = 0.6;
constexpr int kSpeedUpStepPercent = 20;
/// Runs that would be slower are paused.
constexpr int kMinSpeedPercent = 15;
constexpr int kFullPercent = 100;

void Update(Run& aRun, const StepSpec& aStep, Subtask& aSubtask, const ReportedRun& aReported,
            Millis aNowMs)
{
  aRun.m_percent = aReported.m_percent;
  aRun.m_load = aReported.m_load;
  if (!aReported.m_checkpoint.empty()) {
    aSubtask.m_checkpoint = aReported.m_checkpoint;
  }
  if (aStep.m_longRunning) {
    const bool isReady = aReported.m_percent >= kFullPercent;
    if (!isReady) {
      aSubtask.m_readySinceMs = 0;
    } else if (aSubtask.m_readySinceMs == 0) {
      aSubtask.m_readySinceMs = aNowMs;
    }
  }
}

/// \brief Action for a run that a report does not list.
enum class MissingRunAction : std::uint8_t
{
  Wait, ///< It may still start or be reported.
  Stop, ///< A stop must be sent.
  Drop, ///< It can no longer start.
};

MissingRunAction ActionForMissingRun(const Run& aRun, Millis aRequestedMs)
{
  switch (aRun.m_phase) {
    case RunPhase::Planned:
      return MissingRunAction::Wait;
    case RunPhase::Restored:
      return MissingRunAction::Drop;
    case RunPhase::Sent:
      return aRun.m_startTimedOutMs != 0 && aRun.m_startTimedOutMs <= aRequestedMs
               ? MissingRunAction::Stop
               : MissingRunAction::Wait;
    case RunPhase::Running:
      return aRun.m_sinceMs < aRequestedMs ? MissingRunAction::Drop : MissingRunAction::Wait;
    case RunPhase::Stopping:
      return aRun.m_stopAcceptedMs != 0 && aRun.m_stopAcceptedMs < aRequestedMs
               ? MissingRunAction::Drop
               : MissingRunAction::Wait;
  }
  return MissingRunAction::Wait;
}

} // namespace

Reconciliation Reconcile(JobTable& aJobTable, const ServerId& aServer, const ServerReport& aReport,
                         Millis aRequestedMs, Millis aNowMs)
{
  Reconciliation result;
  std::set<RunRef> listed;
  for (const auto& reported : aReport.m_running) {
    const RunRef ref{ reported.m_subtask, reported.m_run, aServer };
    listed.insert(ref);
    if (FindRun(aJobTable, ref) == nullptr && !AdoptRun(aJobTable, ref, aNowMs)) {
      result.m_stops.push_back(ref);
      continue;
    }
    MarkRunning(aJobTable, ref, aNowMs);
    Update(*FindRun(aJobTable, ref), *FindStep(aJobTable, ref.m_subtask),
           EditSubtask(aJobTable.m_jobs.at(ref.m_subtask.m_job), ref.m_subtask), reported, aNowMs);
  }
  if (aReport.m_partial) {
    return result;
  }
  for (const auto& ref : RunsOn(aJobTable, aServer)) {
    const auto action = listed.contains(ref)
                          ? MissingRunAction::Wait
                          : ActionForMissingRun(*FindRun(aJobTable, ref), aRequestedMs);
    if (action == MissingRunAction::Stop) {
      result.m_stops.push_back(ref);
    } else if (action == MissingRunAction::Drop) {
      result.m_dropped.push_back(ref);
      DropRun(aJobTable, ref, aNowMs);
    }
  }
  return result;
}

std::vector<RunRef> DropPreviousIncarnation(JobTable& aJobTable, const ServerId& aServer,
                                            Millis aRequestedMs, Millis aNowMs)
{
  std::vector<RunRef> dropped;
  for (const auto& ref : RunsOn(aJobTable, aServer)) {
    Run& run = *FindRun(aJobTable, ref);
    const bool isUnanswered = run.m_phase == RunPhase::Sent ||
                              (run.m_phase == RunPhase::Stopping && run.m_startTimedOutMs != 0);
    const bool isConfirmedLater = run.m_phase == RunPhase::Running && run.m_sinceMs >= aRequestedMs;
    if (isUnanswered) {
      run.m_phase = RunPhase::Sent;
      run.m_stopAcceptedMs = 0;
    } else if (run.m_phase != RunPhase::Planned && !isConfirmedLater) {
      dropped.push_back(ref);
      DropRun(aJobTable, ref, aNowMs);
    }
  }
  return dropped;
}

std::vector<ThrottleChange> PlanThrottling(const JobTable& aJobTable, const ServerId& aServer)
{
  const auto load = aJobTable.m_load.find(aServer);
  if (load == aJobTable.m_load.end() || load->second.m_bestEffortRuns == 0) {
    return {};
  }
  std::vector<std::pair<RunRef, int>> bestEffortRuns;
  double worst = 0;
  for (const auto& ref : RunsOn(aJobTable, aServer)) {
    const StepSpec& step = *FindStep(aJobTable, ref.m_subtask);
    const Subtask& subtask = *FindSubtask(aJobTable, ref.m_subtask);
    const auto run = std::ranges::find(subtask.m_runs, ref.m_run, &Run::m_number);
    if (run->m_phase != RunPhase::Running) {
      continue;
    }
    if (step.m_bestEffort) {
      bestEffortRuns.emplace_back(ref, run->m_speedPercent);
    } else if (step.m_tailLatencyTargetMs > 0) {
      worst = std::max(worst, static_cast<double>(run->m_load) /
                                static_cast<double>(step.m_tailLatencyTargetMs));
    }
  }
  std::vector<ThrottleChange> changes;
  for (const auto& [ref, speed] : bestEffortRuns) {
    int next = speed;
    if (worst > kSlowDownAt) {
      next = speed / 2 < kMinSpeedPercent ? 0 : speed / 2;
    } else if (worst < kSpeedUpBelow) {
      next = std::min(kFullPercent, speed + kSpeedUpStepPercent);
    }
    if (next != speed) {
      changes.push_back({ ref, next });
    }
  }
  return changes;
}

} // namespace pistachiostand::fleet
