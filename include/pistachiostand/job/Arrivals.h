#pragma once

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/fleet/Resources.h"
#include "pistachiostand/job/JobTable.h"

#include <compare>
#include <deque>
#include <map>

/// \file
/// \brief Arrival rate of each queue and its forecast.
///
/// Uses no clock, no socket and no other input or output. Handles the start of a queue's burst: an
/// instance takes two seconds from its order to its first run, so instances are ordered for the
/// work expected by then, not only once work waits.

namespace pistachiostand::fleet {

/// \brief Resources used over time: thousandths of a core, megabytes and accelerators, times
/// seconds.
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
  std::deque<Millis> m_recent; ///< Arrival times on the steady clock, oldest first.
  ResourceSeconds m_meanJob;   ///< Moving average of the demand of one job.

  friend auto operator<=>(const QueueArrivals&, const QueueArrivals&) = default;
};

using Arrivals = std::map<QueueName, QueueArrivals>;

/// \brief Records a job that arrived at `aAtMs`. Ignores jobs with due times or long-running steps,
/// and those beyond the share of their account, for which no instances are ordered ahead.
void RecordArrival(Arrivals& aArrivals, const Job& aJob, Millis aAtMs);

/// \brief Current arrival rate in jobs per second.
[[nodiscard]] double ArrivalsPerS(const QueueArrivals& aArrivals, Millis aNowMs);

/// \brief Arrival rate in jobs per second expected `aAheadMs` from now.
///
/// Extrapolates a rise that exceeds random variation; never less than the current rate.
[[nodiscard]] double ExpectedArrivalsPerS(const QueueArrivals& aArrivals, Millis aNowMs,
                                          Millis aAheadMs);

/// \brief Instances that the jobs arriving `aAheadMs` from now are expected to keep busy.
[[nodiscard]] double ArrivingInstances(const QueueArrivals& aArrivals, const Resources& aCapacity,
                                       Millis aNowMs, Millis aAheadMs);

} // namespace pistachiostand::fleet
