#pragma once

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/fleet/Resources.h"
#include "pistachiostand/job/JobTable.h"

#include <compare>
#include <deque>
#include <map>

/// \file
/// \brief How much work arrives for a queue at the moment.
///
/// Pure. Answers the begin of a queue's turn: an instance takes two seconds from its order to its
/// first run, so instances are ordered for the work that will arrive then, and not only once it
/// waits.

namespace pistachiostand::fleet {

/// \brief Room for a time: thousandths of a core, megabytes and accelerators, times seconds.
struct ResourceSeconds
{
  double m_cpuMillis{};
  double m_memoryMb{};
  double m_gpus{};

  friend auto operator<=>(const ResourceSeconds&, const ResourceSeconds&) = default;
};

/// \brief Recent arrivals of one queue.
struct QueueArrivals
{
  std::deque<Millis> m_recent; ///< Times of arrival on the steady clock, in the order they came.
  ResourceSeconds m_meanJob;   ///< Of a job, a moving average.

  friend auto operator<=>(const QueueArrivals&, const QueueArrivals&) = default;
};

using Arrivals = std::map<QueueName, QueueArrivals>;

/// \brief Notes a job that arrived at `aAtMs`. Jobs with due times or lasting steps do not count.
void RecordArrival(Arrivals& aArrivals, const Job& aJob, Millis aAtMs);

/// \brief Jobs that arrive in a second, by the last moments.
[[nodiscard]] double ArrivalsPerS(const QueueArrivals& aArrivals, Millis aNowMs);

/// \brief Jobs that will arrive in a second `aAheadMs` from now, when a rise that chance does not
/// explain goes on; never less than now.
[[nodiscard]] double ExpectedArrivalsPerS(const QueueArrivals& aArrivals, Millis aNowMs,
                                          Millis aAheadMs);

/// \brief Instances that the jobs keep busy which arrive until `aAheadMs` from now.
[[nodiscard]] double ArrivingInstances(const QueueArrivals& aArrivals, const Resources& aCapacity,
                                       Millis aNowMs, Millis aAheadMs);

} // namespace pistachiostand::fleet
