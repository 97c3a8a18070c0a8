#include "pistachiostand/job/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace pistachiostand::fleet {

namespace {

/// Number of later runs that reduce the weight of a run to a third: some seconds of a busy queue.
constexpr double kDecayRuns = 500;
/// Factor applied to the weight of earlier runs with each new run.
constexpr double kDecay = 1.0 - 1.0 / kDecayRuns;
/// With fewer runs, the declared times are used unchanged.
constexpr double kMinRuns = 16;
constexpr double kMinSteps = 4;
/// Spread of the logarithms within a step until enough steps are known.
constexpr double kDefaultSpread = 0.2;
/// Bounds of expected times, so that one absurd declaration neither starves nor favors its job.
constexpr double kShortestMs = 10;
constexpr double kLongestMs = 600'000;

double LogOf(Millis aMs)
{
  return std::log(static_cast<double>(std::max<Millis>(aMs, 1)));
}

/// \brief Mean of the largest of `aCount` standard normal values, to within 5 % for two or more.
double ExpectedMaxOfNormals(std::uint32_t aCount)
{
  if (aCount < 2) {
    return 0;
  }
  // Blom's plotting position of the largest value, and a rational approximation of its quantile
  // (Abramowitz and Stegun, 26.2.23).
  const double tail = 1.0 - (aCount - 0.375) / (aCount + 0.25);
  const double t = std::sqrt(-2.0 * std::log(tail));
  return t - (2.515517 + t * (0.802853 + t * 0.010328)) /
               (1.0 + t * (1.432788 + t * (0.189269 + t * 0.001308)));
}

Millis ClampToMs(double aMs)
{
  return static_cast<Millis>(std::llround(std::clamp(aMs, kShortestMs, kLongestMs)));
}

} // namespace

void LearnRun(RunTimes& aTimes, const QueueName& aQueue, Millis aDeclaredMs, Millis aRanMs)
{
  const double x = LogOf(aDeclaredMs);
  const double y = LogOf(aRanMs);
  RunTimeFit& fit = aTimes[aQueue];
  fit.m_weight = fit.m_weight * kDecay + 1;
  fit.m_sumX = fit.m_sumX * kDecay + x;
  fit.m_sumY = fit.m_sumY * kDecay + y;
  fit.m_sumXx = fit.m_sumXx * kDecay + x * x;
  fit.m_sumXy = fit.m_sumXy * kDecay + x * y;
  fit.m_sumYy = fit.m_sumYy * kDecay + y * y;
}

namespace {

/// \brief Updates the spread of run times within a step from a step that is done.
void LearnStep(RunTimeFit& aFit, const std::vector<Subtask>& aSubtasks)
{
  double count = 0;
  double sum = 0;
  double squares = 0;
  for (const auto& subtask : aSubtasks) {
    if (subtask.m_ranMs > 0) {
      const double y = LogOf(subtask.m_ranMs);
      count += 1;
      sum += y;
      squares += y * y;
    }
  }
  if (count < 2) {
    return;
  }
  aFit.m_steps = aFit.m_steps * kDecay + 1;
  aFit.m_spread =
    aFit.m_spread * kDecay + std::max((squares - sum * sum / count) / (count - 1), 0.0);
}

} // namespace

void LearnEnd(RunTimes& aTimes, const Job& aJob, const SubtaskId& aId)
{
  const auto& step = aJob.m_occurrences.at(aId.m_occurrence).m_steps.at(aId.m_step);
  const Subtask& subtask = step.at(aId.m_index);
  if (!subtask.m_done || subtask.m_ranMs == 0) {
    return;
  }
  LearnRun(aTimes, aJob.m_spec.m_queue, aJob.m_spec.m_steps.at(aId.m_step).m_estimateMs,
           subtask.m_ranMs);
  if (aJob.m_times.at(aId.m_step).m_measured) {
    LearnStep(aTimes[aJob.m_spec.m_queue], step);
  }
}

StepTimes ExpectedTimes(const RunTimes& aTimes, const QueueName& aQueue, Millis aDeclaredMs,
                        std::uint32_t aCount)
{
  const auto found = aTimes.find(aQueue);
  if (found == aTimes.end() || found->second.m_weight < kMinRuns) {
    return { aDeclaredMs, aDeclaredMs, false };
  }
  const RunTimeFit& fit = found->second;
  const double meanX = fit.m_sumX / fit.m_weight;
  const double meanY = fit.m_sumY / fit.m_weight;
  const double varX = std::max(fit.m_sumXx / fit.m_weight - meanX * meanX, 0.0);
  const double varY = std::max(fit.m_sumYy / fit.m_weight - meanY * meanY, 0.0);
  const double covariance = fit.m_sumXy / fit.m_weight - meanX * meanY;
  const double slope = varX < 1e-6 ? 0.0 : std::clamp(covariance / varX, 0.0, 1.0);
  const double expected = meanY + slope * (LogOf(aDeclaredMs) - meanX);
  const double residual = std::max(varY - slope * slope * varX, 0.0);
  const double spread =
    fit.m_steps < kMinSteps ? kDefaultSpread : std::sqrt(fit.m_spread / fit.m_steps);
  // Means of log-normal values: of one subtask, and of the longest of a step. The variance that is
  // not spread within a step is common to all its subtasks.
  const double shared = std::max(residual - spread * spread, 0.0);
  return { ClampToMs(std::exp(expected + residual / 2)),
           ClampToMs(std::exp(expected + shared / 2 + spread * ExpectedMaxOfNormals(aCount))),
           false };
}

void UpdateExpectedTimes(Job& aJob, const RunTimes& aTimes)
{
  for (std::size_t i = 0; i < aJob.m_times.size(); ++i) {
    const StepSpec& step = aJob.m_spec.m_steps[i];
    if (!aJob.m_times[i].m_measured) {
      aJob.m_times[i] = ExpectedTimes(aTimes, aJob.m_spec.m_queue, step.m_estimateMs, step.m_count);
    }
  }
  UpdateJobTotals(aJob);
}

} // namespace pistachiostand::fleet
