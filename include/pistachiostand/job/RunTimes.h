#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobTable.h"

#include <compare>
#include <cstdint>
#include <map>

/// \file
/// \brief Learns how far the declared run times of a queue can be trusted.
///
/// Pure. Answers queues whose declared run times are wrong by a factor of two or more: their order,
/// their urgency and the instances that they ask for would follow the errors. For each queue a line
/// is fitted through the logarithms of declared and true run times. A declaration that says much is
/// followed, one that says little is drawn to the mean of the queue.

namespace pistachiostand::fleet {

/// \brief Sums over the runs of one queue, with the logarithms of declared (x) and true (y) times.
/// Earlier runs weigh less and less.
struct RunTimeFit
{
  double m_weight{};
  double m_sumX{};
  double m_sumY{};
  double m_sumXx{};
  double m_sumXy{};
  double m_sumYy{};
  double m_steps{};  ///< Weight of the steps behind m_spread.
  double m_spread{}; ///< Sum of the variances of y within a step.

  friend auto operator<=>(const RunTimeFit&, const RunTimeFit&) = default;
};

using RunTimes = std::map<QueueName, RunTimeFit>;

/// \brief Learns from a run that ended as done.
void LearnRun(RunTimes& aTimes, const QueueName& aQueue, Millis aDeclaredMs, Millis aRanMs);

/// \brief Learns from a subtask of a job that is done, and from its step when that is done too.
void LearnEnd(RunTimes& aTimes, const Job& aJob, const SubtaskId& aId);

/// \brief The declared time until enough runs of the queue are known, then what the fit says.
[[nodiscard]] StepTimes ExpectedTimes(const RunTimes& aTimes, const QueueName& aQueue,
                                      Millis aDeclaredMs, std::uint32_t aCount);

/// \brief Sets the expected times, work and chain of a job by what has been learned. Steps that
/// were measured keep their times.
void UpdateExpectedTimes(Job& aJob, const RunTimes& aTimes);

} // namespace pistachiostand::fleet
