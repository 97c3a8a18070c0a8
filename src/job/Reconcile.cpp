#include "pistachiostand/job/Reconcile.h"

#include <algorithm>
#include <set>

namespace pistachiostand::fleet {

namespace {

/// Fillers slow down before a tail reaches its target, because a share takes effect with a delay.
constexpr double kSlowDownAt = 0.85;
/// Below this share of the target the fillers get room back.
constexpr double kSpeedUpBelow = 0.6;
constexpr int kSpeedUpStep = 20;
/// Smaller shares are paused altogether.
constexpr int kLeastShare = 15;
constexpr int kFullShare = 100;

void Update(Run& aRun, const StepSpec& aStep, Subtask& aSubtask, const ReportedRun& aReported,
            Millis aNowMs)
{
  aRun.m_percent = aReported.m_percent;
  aRun.m_load = aReported.m_load;
  if (!aReported.m_checkpoint.empty()) {
    aSubtask.m_checkpoint = aReported.m_checkpoint;
  }
  if (aStep.m_lasting) {
    const bool atWork = aReported.m_percent >= kFullShare;
    if (!atWork) {
      aSubtask.m_atWorkSinceMs = 0;
    } else if (aSubtask.m_atWorkSinceMs == 0) {
      aSubtask.m_atWorkSinceMs = aNowMs;
    }
  }
}

/// \brief What follows for a run that a report does not list.
enum class Missing : std::uint8_t
{
  Waits,   ///< It may still be on its way.
  Stopped, ///< A stop has to be sent.
  Gone,    ///< It can't start any more.
};

Missing ReconcileMissing(const Run& aRun, Millis aAskedMs)
{
  switch (aRun.m_phase) {
    case RunPhase::Planned:
      return Missing::Waits;
    case RunPhase::Restored:
      return Missing::Gone;
    case RunPhase::Sent:
      return aRun.m_unansweredMs != 0 && aRun.m_unansweredMs <= aAskedMs ? Missing::Stopped
                                                                         : Missing::Waits;
    case RunPhase::Running:
      return aRun.m_sinceMs < aAskedMs ? Missing::Gone : Missing::Waits;
    case RunPhase::Stopping:
      return aRun.m_stopAcceptedMs != 0 && aRun.m_stopAcceptedMs < aAskedMs ? Missing::Gone
                                                                            : Missing::Waits;
  }
  return Missing::Waits;
}

} // namespace

Reconciliation Reconcile(JobBook& aBook, const ServerId& aServer, const ServerReport& aReport,
                         Millis aAskedMs, Millis aNowMs)
{
  Reconciliation result;
  std::set<RunRef> listed;
  for (const auto& reported : aReport.m_running) {
    const RunRef ref{ reported.m_subtask, reported.m_run, aServer };
    listed.insert(ref);
    if (FindRun(aBook, ref) == nullptr && !AdoptRun(aBook, ref, aNowMs)) {
      result.m_stops.push_back(ref);
      continue;
    }
    MarkRunning(aBook, ref, aNowMs);
    Update(*FindRun(aBook, ref), *FindStep(aBook, ref.m_subtask),
           *FindSubtask(aBook, ref.m_subtask), reported, aNowMs);
  }
  if (aReport.m_partial) {
    return result;
  }
  for (const auto& ref : RunsOn(aBook, aServer)) {
    const auto missing =
      listed.contains(ref) ? Missing::Waits : ReconcileMissing(*FindRun(aBook, ref), aAskedMs);
    if (missing == Missing::Stopped) {
      result.m_stops.push_back(ref);
    } else if (missing == Missing::Gone) {
      result.m_dropped.push_back(ref);
      DropRun(aBook, ref, aNowMs);
    }
  }
  return result;
}

std::vector<RunRef> DropFormerLife(JobBook& aBook, const ServerId& aServer, Millis aAskedMs,
                                   Millis aNowMs)
{
  std::vector<RunRef> dropped;
  for (const auto& ref : RunsOn(aBook, aServer)) {
    Run& run = *FindRun(aBook, ref);
    const bool isUnanswered = run.m_phase == RunPhase::Sent ||
                              (run.m_phase == RunPhase::Stopping && run.m_unansweredMs != 0);
    const bool isConfirmedLater = run.m_phase == RunPhase::Running && run.m_sinceMs >= aAskedMs;
    if (isUnanswered) {
      run.m_phase = RunPhase::Sent;
      run.m_stopAcceptedMs = 0;
    } else if (run.m_phase != RunPhase::Planned && !isConfirmedLater) {
      dropped.push_back(ref);
      DropRun(aBook, ref, aNowMs);
    }
  }
  return dropped;
}

std::vector<PaceChange> PlanPace(const JobBook& aBook, const ServerId& aServer)
{
  std::vector<std::pair<RunRef, int>> fillers;
  double worst = 0;
  for (const auto& ref : RunsOn(aBook, aServer)) {
    const StepSpec& step = *FindStep(aBook, ref.m_subtask);
    const auto& subtask = aBook.m_jobs.at(ref.m_subtask.m_job)
                            .m_occurrences.at(ref.m_subtask.m_occurrence)
                            .m_steps[ref.m_subtask.m_step][ref.m_subtask.m_index];
    const auto run = std::ranges::find(subtask.m_runs, ref.m_run, &Run::m_number);
    if (run->m_phase != RunPhase::Running) {
      continue;
    }
    if (step.m_filler) {
      fillers.emplace_back(ref, run->m_pace);
    } else if (step.m_tailTargetMs > 0) {
      worst = std::max(worst,
                       static_cast<double>(run->m_load) / static_cast<double>(step.m_tailTargetMs));
    }
  }
  std::vector<PaceChange> changes;
  for (const auto& [ref, pace] : fillers) {
    int next = pace;
    if (worst > kSlowDownAt) {
      next = pace / 2 < kLeastShare ? 0 : pace / 2;
    } else if (worst < kSpeedUpBelow) {
      next = std::min(kFullShare, pace + kSpeedUpStep);
    }
    if (next != pace) {
      changes.push_back({ ref, next });
    }
  }
  return changes;
}

} // namespace pistachiostand::fleet
