#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobTable.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

/// \file
/// \brief Estimates run times from the declared and actual run times of each queue and image.
///
/// Uses no clock, no socket and no other input or output. Handles queues whose declared run times
/// are wrong by a factor of two or more, which would distort their order, their urgency and the
/// number of instances ordered for them. For each queue, a line is fitted through the logarithms of
/// declared and actual run times. The better they correlate, the more a declared time counts;
/// otherwise the estimate tends to the queue's mean. Each image of a queue has its own line, which
/// counts the more against that of the queue, the more runs of the image are known.

namespace pistachiostand::fleet {

/// \brief Sums over the runs of one queue or image, with the logarithms of declared (x) and actual
/// (y) times in milliseconds. The weight of a run decays exponentially.
struct RunTimeFit
{
  double m_weight{};
  double m_sumX{};
  double m_sumY{};
  double m_sumXx{};
  double m_sumXy{};
  double m_sumYy{};
  double m_steps{};      ///< Weight of the steps summed in m_spread.
  double m_spread{};     ///< Sum of the variances of y within a step.
  double m_shiftSteps{}; ///< Weight of the steps summed in m_shift, with a faster decay.
  double m_shift{};      ///< Sum of the differences between y and the line, one for each step.

  friend auto operator<=>(const RunTimeFit&, const RunTimeFit&) = default;
};

struct ImageRunTimes
{
  RunTimeFit m_fit;
  std::uint64_t m_lastRun{}; ///< Number of its last run within its queue.

  friend auto operator<=>(const ImageRunTimes&, const ImageRunTimes&) = default;
};

/// \brief Hash of the name of an image. Names are up to 200 bytes long; images whose hashes are
/// equal share their estimates.
using ImageKey = std::uint64_t;

struct QueueRunTimes
{
  RunTimeFit m_fit; ///< Of all runs of the queue.
  /// Of the runs with an image. The image whose last run is the oldest is removed for a new one.
  std::map<ImageKey, ImageRunTimes> m_images;
  std::uint64_t m_runs{}; ///< Number of runs learned from.

  friend auto operator<=>(const QueueRunTimes&, const QueueRunTimes&) = default;
};

using RunTimes = std::map<QueueName, QueueRunTimes>;

inline constexpr std::size_t kMaxImagesPerQueue = 32;

/// \brief With fewer runs, the declared times are used unchanged.
inline constexpr double kMinRuns = 16;

[[nodiscard]] ImageKey KeyOfImage(std::string_view aImage) noexcept;

/// \brief Updates the fits with a run that ended as done.
/// \param aImage empty for a step without an image.
void LearnRun(RunTimes& aTimes, const QueueName& aQueue, Millis aDeclaredMs, Millis aRanMs,
              std::string_view aImage = {});

/// \brief Updates the fits with the run times of a step that is done, after those of its runs.
void LearnStep(RunTimes& aTimes, const QueueName& aQueue, Millis aDeclaredMs,
               const RunTimeSums& aRunTimes, std::string_view aImage = {});

/// \brief Updates the fits with a run that ended as done, and with its step when that is done too.
/// Runs that this owner did not observe from start to end have no run time and are ignored.
void LearnEnd(RunTimes& aTimes, const Job& aJob, const SubtaskId& aId, const AppliedEnd& aEnd);

/// \brief Expected times by the fits, or the declared time until the queue has had enough runs.
[[nodiscard]] StepTimes ExpectedTimes(const RunTimes& aTimes, const QueueName& aQueue,
                                      Millis aDeclaredMs, std::uint32_t aCount,
                                      std::string_view aImage = {});

/// \brief Updates the expected times, work and critical path of a job from the fits. Measured steps
/// keep their times.
void UpdateExpectedTimes(Job& aJob, const RunTimes& aTimes);

/// \brief What a fit says at its mean declared time, for logs and metrics.
struct RunTimeSummary
{
  double m_declaredMs{}; ///< Geometric mean of the declared times.
  double m_expectedMs{}; ///< Expected run time at that declared time.
  double m_spread{};     ///< Standard deviation of the logarithm of a run time around the line.

  friend auto operator<=>(const RunTimeSummary&, const RunTimeSummary&) = default;
};

/// \param aFit with a positive weight.
[[nodiscard]] RunTimeSummary SummaryOf(const RunTimeFit& aFit);

/// \brief True when the estimates by `aNew` differ enough from those by `aOld` to be worth storing.
[[nodiscard]] bool DiffersNotably(const QueueRunTimes& aOld, const QueueRunTimes& aNew);

} // namespace pistachiostand::fleet
