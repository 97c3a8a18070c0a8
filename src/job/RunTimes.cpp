#include "pistachiostand/job/RunTimes.h"

#include "pistachiostand/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace pistachiostand::fleet {

namespace {

/// Number of later runs that reduce the weight of a run to a third. Many runs are needed to tell
/// how far the declared times can be trusted.
constexpr double kDecayRuns = 500;
/// Factor applied to the weight of earlier runs with each new run.
constexpr double kDecay = 1.0 - 1.0 / kDecayRuns;
constexpr double kMinSteps = 4;
/// Spread of the logarithms within a step until enough steps are known.
constexpr double kDefaultSpread = 0.2;
/// Bounds of expected times, so that one absurd declaration neither starves nor favors its job.
constexpr double kShortestMs = 10;
constexpr double kLongestMs = 600'000;
/// Stands for declared times of 0 until the queue has had others.
constexpr double kUndeclaredMs = 1'000;
/// A run further from the line than this many standard deviations counts less, by the square of the
/// distance: a declared time of hours or a run of milliseconds among a hundred others would
/// otherwise double the variance. Of normally distributed runs, 0.3 % are that far away.
constexpr double kOutlierDeviations = 3;
/// Least standard deviation for this purpose: a run within a factor of 2 is never an outlier.
constexpr double kMinDeviation = 0.25;

/// Number of later steps that reduce the weight of a step to a third when looking for a change of
/// the workload: some seconds of a queue with 10 runs per second, where kDecayRuns are 50 s.
constexpr double kShiftDecaySteps = 20;
constexpr double kShiftDecay = 1.0 - 1.0 / kShiftDecaySteps;
/// The workload has changed when the mean difference of the last steps to the line exceeds this
/// many standard errors. At 4, one of some 100,000 steps of an unchanged workload exceeds it.
constexpr double kShiftErrors = 4;
/// A smaller change, by 20 %, is left to the slow decay.
constexpr double kMinShift = 0.18;
constexpr double kMinShiftSteps = 4;
/// Weight of the earlier runs after a change: they still tell the slope, and new runs soon dominate
/// the level.
constexpr double kWeightAfterShift = 32;

/// Runs of an image that count as much as the fit of its queue.
constexpr double kImagePriorRuns = 16;
/// Steps of an image that count as much as the spread within the steps of its queue.
constexpr double kImagePriorSteps = 4;

/// A run longer than the expected logarithm plus this many standard deviations is slow; of normally
/// distributed runs, 1 in 700 is.
constexpr double kSlowDeviations = 3;

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

/// \brief The line of a fit, and the variance of the runs around it.
struct Line
{
  double m_meanX{};
  double m_meanY{};
  double m_slope{};
  double m_residual{};

  [[nodiscard]] double At(double aX) const { return m_meanY + m_slope * (aX - m_meanX); }
};

Line LineOf(const RunTimeFit& aFit)
{
  Line line;
  line.m_meanX = aFit.m_sumX / aFit.m_weight;
  line.m_meanY = aFit.m_sumY / aFit.m_weight;
  const double varX = std::max(aFit.m_sumXx / aFit.m_weight - line.m_meanX * line.m_meanX, 0.0);
  const double varY = std::max(aFit.m_sumYy / aFit.m_weight - line.m_meanY * line.m_meanY, 0.0);
  const double covariance = aFit.m_sumXy / aFit.m_weight - line.m_meanX * line.m_meanY;
  line.m_slope = varX < 1e-6 ? 0.0 : std::clamp(covariance / varX, 0.0, 1.0);
  line.m_residual = std::max(varY - line.m_slope * line.m_slope * varX, 0.0);
  return line;
}

/// \brief Logarithm of a declared time. One of 0 declares nothing and stands for the mean.
double DeclaredLog(const RunTimeFit& aFit, Millis aDeclaredMs)
{
  if (aDeclaredMs > 0) {
    return LogOf(aDeclaredMs);
  }
  return aFit.m_weight > 0 ? aFit.m_sumX / aFit.m_weight : std::log(kUndeclaredMs);
}

double DeviationOf(const Line& aLine)
{
  return std::max(std::sqrt(aLine.m_residual), kMinDeviation);
}

double WeightOfRun(const RunTimeFit& aFit, double aX, double aY)
{
  if (aFit.m_weight < kMinRuns) {
    return 1;
  }
  const Line line = LineOf(aFit);
  const double ratio = kOutlierDeviations * DeviationOf(line) / std::abs(aY - line.At(aX));
  return ratio < 1 ? ratio * ratio : 1;
}

void Learn(RunTimeFit& aFit, Millis aDeclaredMs, Millis aRanMs)
{
  const double x = DeclaredLog(aFit, aDeclaredMs);
  const double y = LogOf(aRanMs);
  const double weight = WeightOfRun(aFit, x, y);
  aFit.m_weight = aFit.m_weight * kDecay + weight;
  aFit.m_sumX = aFit.m_sumX * kDecay + weight * x;
  aFit.m_sumY = aFit.m_sumY * kDecay + weight * y;
  aFit.m_sumXx = aFit.m_sumXx * kDecay + weight * x * x;
  aFit.m_sumXy = aFit.m_sumXy * kDecay + weight * x * y;
  aFit.m_sumYy = aFit.m_sumYy * kDecay + weight * y * y;
}

/// \brief Moves the line by `aBy` and reduces the weight of the earlier runs.
void MoveLine(RunTimeFit& aFit, double aBy)
{
  aFit.m_sumYy += aBy * (2 * aFit.m_sumY + aBy * aFit.m_weight);
  aFit.m_sumXy += aBy * aFit.m_sumX;
  aFit.m_sumY += aBy * aFit.m_weight;
  const double factor = std::min(kWeightAfterShift / aFit.m_weight, 1.0);
  for (double* sum : { &aFit.m_weight, &aFit.m_sumX, &aFit.m_sumY, &aFit.m_sumXx, &aFit.m_sumXy,
                       &aFit.m_sumYy }) {
    *sum *= factor;
  }
  aFit.m_shiftSteps = 0;
  aFit.m_shift = 0;
}

/// \brief Detects a change of the workload. The runs of a step count as one, because they deviate
/// from the line together.
void TrackShift(RunTimeFit& aFit, Millis aDeclaredMs, double aMeanY)
{
  if (aFit.m_weight < kMinRuns) {
    return;
  }
  const Line line = LineOf(aFit);
  const double deviation = DeviationOf(line);
  const double limit = kOutlierDeviations * deviation;
  const double difference = aMeanY - line.At(DeclaredLog(aFit, aDeclaredMs));
  aFit.m_shiftSteps = aFit.m_shiftSteps * kShiftDecay + 1;
  aFit.m_shift = aFit.m_shift * kShiftDecay + std::clamp(difference, -limit, limit);
  // Sum of the squares of the weights, which follows from the sum of the weights.
  const double first = 1 - aFit.m_shiftSteps * (1 - kShiftDecay);
  const double squares = (1 - first * first) / (1 - kShiftDecay * kShiftDecay);
  const double mean = aFit.m_shift / aFit.m_shiftSteps;
  const double error = deviation * std::sqrt(squares) / aFit.m_shiftSteps;
  if (aFit.m_shiftSteps >= kMinShiftSteps && aFit.m_weight > kWeightAfterShift &&
      std::abs(mean) > std::max(kShiftErrors * error, kMinShift)) {
    MoveLine(aFit, mean);
  }
}

/// \brief Updates a fit with the run times of a step that is done.
void LearnStepTimes(RunTimeFit& aFit, Millis aDeclaredMs, const RunTimeSums& aRunTimes)
{
  const double count = aRunTimes.m_count;
  const double sum = aRunTimes.m_logSum;
  const double squares = aRunTimes.m_logSquares;
  if (count < 1) {
    return;
  }
  TrackShift(aFit, aDeclaredMs, sum / count);
  if (count < 2) {
    return;
  }
  aFit.m_steps = aFit.m_steps * kDecay + 1;
  aFit.m_spread =
    aFit.m_spread * kDecay + std::max((squares - sum * sum / count) / (count - 1), 0.0);
}

/// \brief Entry of an image; a new one replaces the one whose last run is the oldest.
ImageRunTimes& EntryOf(QueueRunTimes& aTimes, ImageKey aImage)
{
  if (!aTimes.m_images.contains(aImage) && aTimes.m_images.size() >= kMaxImagesPerQueue) {
    aTimes.m_images.erase(std::ranges::min_element(
      aTimes.m_images, {}, [](const auto& aEntry) { return aEntry.second.m_lastRun; }));
  }
  return aTimes.m_images[aImage];
}

double SpreadOf(const RunTimeFit& aFit)
{
  return aFit.m_steps < kMinSteps ? kDefaultSpread : std::sqrt(aFit.m_spread / aFit.m_steps);
}

/// \brief Estimate of the logarithm of a run time.
struct Estimate
{
  double m_mean{};
  double m_residual{}; ///< Variance of one run.
  double m_spread{};   ///< Standard deviation within a step.
};

Estimate EstimateBy(const RunTimeFit& aFit, Millis aDeclaredMs)
{
  const Line line = LineOf(aFit);
  return { line.At(DeclaredLog(aFit, aDeclaredMs)), line.m_residual, SpreadOf(aFit) };
}

/// \brief Estimate by the fit of an image, shrunk to that of its queue.
Estimate Shrink(const RunTimeFit& aImage, const Estimate& aQueue, Millis aDeclaredMs)
{
  const Estimate own = EstimateBy(aImage, aDeclaredMs);
  const double share = aImage.m_weight / (aImage.m_weight + kImagePriorRuns);
  const double spreadShare = aImage.m_steps / (aImage.m_steps + kImagePriorSteps);
  return { std::lerp(aQueue.m_mean, own.m_mean, share),
           std::lerp(aQueue.m_residual, own.m_residual, share),
           std::lerp(aQueue.m_spread, own.m_spread, spreadShare) };
}

double MeanMs(const Line& aLine)
{
  return std::clamp(std::exp(aLine.m_meanY + aLine.m_residual / 2), kShortestMs, kLongestMs);
}

bool DiffersNotably(const RunTimeFit& aOld, const RunTimeFit& aNew)
{
  constexpr double kLevel = 0.05; // 5 % of an expected time.
  constexpr double kShape = 0.1;
  if (aOld.m_weight <= 0 || aNew.m_weight <= 0) {
    return aOld.m_weight != aNew.m_weight;
  }
  const Line before = LineOf(aOld);
  const Line after = LineOf(aNew);
  const bool hasMoreRuns = aNew.m_weight > 2 * aOld.m_weight && aOld.m_weight < kDecayRuns / 4;
  return hasMoreRuns || std::abs(before.At(after.m_meanX) - after.m_meanY) > kLevel ||
         std::abs(before.m_slope - after.m_slope) > kShape ||
         std::abs(std::sqrt(before.m_residual) - std::sqrt(after.m_residual)) > kShape ||
         std::abs(SpreadOf(aOld) - SpreadOf(aNew)) > kShape;
}

} // namespace

ImageKey KeyOfImage(std::string_view aImage) noexcept
{
  return Hash(aImage);
}

void LearnRun(RunTimes& aTimes, const QueueName& aQueue, Millis aDeclaredMs, Millis aRanMs,
              std::string_view aImage)
{
  QueueRunTimes& times = aTimes[aQueue];
  ++times.m_runs;
  Learn(times.m_fit, aDeclaredMs, aRanMs);
  if (!aImage.empty()) {
    ImageRunTimes& image = EntryOf(times, KeyOfImage(aImage));
    image.m_lastRun = times.m_runs;
    Learn(image.m_fit, aDeclaredMs, aRanMs);
  }
}

void LearnStep(RunTimes& aTimes, const QueueName& aQueue, Millis aDeclaredMs,
               const RunTimeSums& aRunTimes, std::string_view aImage)
{
  QueueRunTimes& times = aTimes[aQueue];
  LearnStepTimes(times.m_fit, aDeclaredMs, aRunTimes);
  const auto image = times.m_images.find(KeyOfImage(aImage));
  if (!aImage.empty() && image != times.m_images.end()) {
    LearnStepTimes(image->second.m_fit, aDeclaredMs, aRunTimes);
  }
}

void LearnEnd(RunTimes& aTimes, const Job& aJob, const SubtaskId& aId, const AppliedEnd& aEnd)
{
  if (aEnd.m_ranMs == 0) {
    return;
  }
  const StepSpec& spec = aJob.m_spec.m_steps.at(aId.m_step);
  LearnRun(aTimes, aJob.m_spec.m_queue, spec.m_estimateMs, aEnd.m_ranMs, spec.m_image);
  if (aEnd.m_step.m_count != 0) {
    LearnStep(aTimes, aJob.m_spec.m_queue, spec.m_estimateMs, aEnd.m_step, spec.m_image);
  }
}

StepTimes ExpectedTimes(const RunTimes& aTimes, const QueueName& aQueue, Millis aDeclaredMs,
                        std::uint32_t aCount, std::string_view aImage)
{
  const auto found = aTimes.find(aQueue);
  if (found == aTimes.end() || found->second.m_fit.m_weight < kMinRuns) {
    return { aDeclaredMs, aDeclaredMs, false };
  }
  Estimate estimate = EstimateBy(found->second.m_fit, aDeclaredMs);
  if (!aImage.empty()) {
    const auto image = found->second.m_images.find(KeyOfImage(aImage));
    if (image != found->second.m_images.end()) {
      estimate = Shrink(image->second.m_fit, estimate, aDeclaredMs);
    }
  }
  // Means of log-normal values: of one subtask, and of the longest of a step. The variance that is
  // not spread within a step is common to all its subtasks.
  const auto& [mean, residual, spread] = estimate;
  const double shared = std::max(residual - spread * spread, 0.0);
  return { ClampToMs(std::exp(mean + residual / 2)),
           ClampToMs(std::exp(mean + shared / 2 + spread * ExpectedMaxOfNormals(aCount))), false,
           ClampToMs(std::exp(mean + kSlowDeviations * std::sqrt(residual))) };
}

RunTimeSummary SummaryOf(const RunTimeFit& aFit)
{
  const Line line = LineOf(aFit);
  return { std::exp(line.m_meanX), MeanMs(line), std::sqrt(line.m_residual) };
}

bool DiffersNotably(const QueueRunTimes& aOld, const QueueRunTimes& aNew)
{
  return DiffersNotably(aOld.m_fit, aNew.m_fit) ||
         std::ranges::any_of(aNew.m_images, [&aOld](const auto& aEntry) {
           const auto old = aOld.m_images.find(aEntry.first);
           return old == aOld.m_images.end() ||
                  DiffersNotably(old->second.m_fit, aEntry.second.m_fit);
         });
}

void UpdateExpectedTimes(Job& aJob, const RunTimes& aTimes)
{
  for (std::size_t i = 0; i < aJob.m_times.size(); ++i) {
    const StepSpec& step = aJob.m_spec.m_steps[i];
    if (!aJob.m_times[i].m_measured) {
      aJob.m_times[i] =
        ExpectedTimes(aTimes, aJob.m_spec.m_queue, step.m_estimateMs, step.m_count, step.m_image);
    }
  }
  UpdateJobTotals(aJob);
}

} // namespace pistachiostand::fleet
