#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobTable.h"

#include <compare>
#include <cstdint>
#include <map>

/// \file
/// \brief Estimates run times from the declared and actual run times of each queue.
///
/// Uses no clock, no socket and no other input or output. Handles queues whose declared run times
/// are wrong by a factor of two or more, which would distort their order, their urgency and the
/// number of instances ordered for them. For each queue, a line is fitted through the logarithms of
/// declared and actual run times. The better they correlate, the more a declared time counts;
/// otherwise the estimate tends to the queue's mean.

namespace pistachiostand::fleet {

/// \brief Sums over the runs of one queue, with the logarithms of declared (x) and actual (y)
/// times. The weight of a run decays exponentially.
struct RunTimeFit
{
  double m_weight{};
  double m_sumX{};
  double m_sumY{};
  double m_sumXx{};
  double m_sumXy{};
  double m_sumYy{};
  double m_steps{};  ///< Weight of the steps summed in m_spread.
  double m_spread{}; ///< Sum of the variances of y within a step.

  friend auto operator<=>(const RunTimeFit&, const RunTimeFit&) = default;
};

using RunTimes = std::map<QueueName, RunTimeFit>;

/// \brief Updates the fit with a run that ended as done.
void LearnRun(RunTimes& aTimes, const QueueName& aQueue, Millis aDeclaredMs, Millis aRanMs);

/// \brief Updates the fit with a subtask that is done, and with its step when that is done too.
void LearnEnd(RunTimes& aTimes, const Job& aJob, const SubtaskId& aId);

/// \brief Expected times by the fit, or the declared time until the queue has had enough runs.
[[nodiscard]] StepTimes ExpectedTimes(const RunTimes& aTimes, const QueueName& aQueue,
                                      Millis aDeclaredMs, std::uint32_t aCount);

/// \brief Updates the expected times, work and critical path of a job from the fit. Measured steps
/// keep their times.
void UpdateExpectedTimes(Job& aJob, const RunTimes& aTimes);

} // namespace pistachiostand::fleet
