#include "pistachiostand/job/Scheduler.h"

#include <algorithm>

namespace pistachiostand::fleet {

namespace {

/// A job that completes within three times its objective still has a little value.
constexpr int kLateFactor = 3;
/// A job has enough margin when it would meet its objective even if its true critical path were
/// shorter than expected by this fraction: the objective is a multiple of the true critical path,
/// so a shorter path brings the objective forward by more than the end of the job. Four in five
/// true critical paths are longer than that.
constexpr double kSafetyShare = 0.3;
/// Time from the end of a step to the start of the next: the reports, a record and the orders.
constexpr Millis kStepDelayMs = 60;
/// An overdue step is assumed to need its expected time divided by this.
constexpr Millis kMinRemainingDivisor = 5;

/// \brief Slack that a job needs beyond its expected time to rarely miss its objective.
Millis SafetyMarginMs(const Job& aJob, const QueueTerms& aTerms, Millis aCriticalPathMs)
{
  const double stretch = std::max(aTerms.m_stretch - 1.0, 0.0);
  return static_cast<Millis>(kSafetyShare * stretch * static_cast<double>(aCriticalPathMs)) +
         kStepDelayMs * static_cast<Millis>(aJob.m_spec.m_steps.size());
}

} // namespace

Urgency ObjectiveUrgency(const Job& aJob, const QueueTerms& aTerms, std::uint32_t aOccurrence,
                         Millis aRemainingMs, Millis aNowMs)
{
  const Millis finish = aNowMs + aRemainingMs;
  const Millis end = ObjectiveEndMs(aJob, aTerms, aOccurrence);
  const Millis objective = end - aJob.m_acceptedMs;
  if (finish + SafetyMarginMs(aJob, aTerms, aRemainingMs) <= end) {
    return Urgency::InTime;
  }
  if (finish <= end) {
    return Urgency::AtRisk;
  }
  return finish <= end + (kLateFactor - 1) * objective ? Urgency::Late : Urgency::NoValue;
}

Urgency ApplyShare(const Job& aJob, Urgency aUrgency) noexcept
{
  return aJob.m_beyondShare && aUrgency < Urgency::NoValue ? Urgency::BeyondShare : aUrgency;
}

Urgency UrgencyOf(const Job& aJob, const QueueRule* aRule, std::uint32_t aOccurrence,
                  const Occurrence* aState, Millis aNowMs)
{
  if (std::ranges::any_of(aJob.m_spec.m_steps, &StepSpec::m_longRunning)) {
    return Urgency::LongRunning;
  }
  const Millis remaining =
    aState == nullptr ? aJob.m_criticalPathMs : RemainingCriticalPathMs(aJob, *aState, aNowMs);
  return ApplyShare(aJob,
                    ObjectiveUrgency(aJob, TermsOf(aJob, aRule), aOccurrence, remaining, aNowMs));
}

std::uint32_t FirstWithUrgency(const Job& aJob, const QueueTerms& aTerms, std::uint32_t aFirst,
                               Urgency aUrgency, Millis aNowMs)
{
  std::uint32_t end = std::max(aFirst, aJob.m_dueOccurrences);
  while (aFirst < end) {
    const std::uint32_t middle = aFirst + (end - aFirst) / 2;
    if (ObjectiveUrgency(aJob, aTerms, middle, aJob.m_criticalPathMs, aNowMs) <= aUrgency) {
      end = middle;
    } else {
      aFirst = middle + 1;
    }
  }
  return aFirst;
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

Millis RemainingStepMs(const Job& aJob, const Occurrence* aOccurrence, std::uint32_t aStep,
                       Millis aNowMs)
{
  const SubtaskCounts counts = CountSubtasks(aJob.m_spec, aOccurrence, aStep);
  const Millis expected = aJob.m_times[aStep].m_stepMs;
  if (counts.m_waiting != 0) {
    return expected;
  }
  if (counts.m_started == 0) {
    return 0;
  }
  Millis lastStartMs = 0;
  for (const auto& [index, subtask] : aOccurrence->m_steps.Find(aStep)->Entries()) {
    if (!subtask.m_done) {
      lastStartMs = std::max(lastStartMs, subtask.m_runs.front().m_sinceMs);
    }
  }
  return std::max(expected - (aNowMs - lastStartMs), expected / kMinRemainingDivisor);
}

Millis RemainingCriticalPathMs(const Job& aJob, const Occurrence& aOccurrence, Millis aNowMs)
{
  return CriticalPathMs(aJob.m_spec, [&](std::size_t aStep) {
    return RemainingStepMs(aJob, &aOccurrence, static_cast<std::uint32_t>(aStep), aNowMs);
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
