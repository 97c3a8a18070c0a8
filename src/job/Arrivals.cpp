#include "pistachiostand/job/Arrivals.h"

#include <algorithm>
#include <cmath>

namespace pistachiostand::fleet {

namespace {

constexpr double kMsPerS = 1'000.0;
/// Weight of a job in the moving average of its queue.
constexpr double kJobWeight = 0.05;
/// Window for the rate of a busy queue, a fifth of the time until a new instance is usable.
constexpr Millis kBusyWindowMs = 400;
/// Arrivals within the short window that determine the rate to within a third.
constexpr std::ptrdiff_t kMinBusyArrivals = 12;
/// Window for the rate of a queue with fewer arrivals.
constexpr Millis kQuietWindowMs = 1'000;
/// The trend compares two consecutive windows of this length, a quarter of the time from the order
/// of an instance to its use.
constexpr Millis kTrendWindowMs = 500;
/// Part of a rise that is attributed to chance, in standard deviations of the counts.
constexpr double kNoiseDeviations = 0.7;
/// Limit of the forecast as a multiple of the current rate, since a burst may also start abruptly.
constexpr double kMaxRiseFactor = 2.5;

ResourceSeconds ResourceSecondsOf(const Job& aJob)
{
  ResourceSeconds demand;
  for (std::size_t i = 0; i < aJob.m_times.size(); ++i) {
    const StepSpec& step = aJob.m_spec.m_steps[i];
    const Resources need = ReservedResources(step);
    const double seconds =
      static_cast<double>(step.m_count) * static_cast<double>(aJob.m_times[i].m_runMs) / kMsPerS;
    demand.m_cpuMillis += seconds * static_cast<double>(need.m_cpuMillis);
    demand.m_memoryMb += seconds * static_cast<double>(need.m_memoryMb);
    demand.m_gpus += seconds * static_cast<double>(need.m_gpus);
  }
  return demand;
}

double Ratio(double aPart, std::int64_t aWhole)
{
  return aWhole <= 0 ? 0 : aPart / static_cast<double>(aWhole);
}

} // namespace

void RecordArrival(Arrivals& aArrivals, const Job& aJob, Millis aAtMs)
{
  if (aJob.m_beyondShare || aJob.m_spec.m_occurrences != 0 ||
      std::ranges::any_of(aJob.m_spec.m_steps, &StepSpec::m_longRunning)) {
    return;
  }
  const auto [entry, first] = aArrivals.try_emplace(aJob.m_spec.m_queue);
  QueueArrivals& arrivals = entry->second;
  const ResourceSeconds demand = ResourceSecondsOf(aJob);
  const double weight = first ? 1.0 : kJobWeight;
  arrivals.m_meanJob.m_cpuMillis += weight * (demand.m_cpuMillis - arrivals.m_meanJob.m_cpuMillis);
  arrivals.m_meanJob.m_memoryMb += weight * (demand.m_memoryMb - arrivals.m_meanJob.m_memoryMb);
  arrivals.m_meanJob.m_gpus += weight * (demand.m_gpus - arrivals.m_meanJob.m_gpus);
  arrivals.m_recent.push_back(aAtMs);
  while (arrivals.m_recent.front() < aAtMs - 2 * kTrendWindowMs) {
    arrivals.m_recent.pop_front();
  }
}

double ArrivalsPerS(const QueueArrivals& aArrivals, Millis aNowMs)
{
  const auto within = [&](Millis aTimeMs) {
    return std::ranges::count_if(aArrivals.m_recent,
                                 [&](Millis aAtMs) { return aNowMs - aAtMs < aTimeMs; });
  };
  const auto recent = within(kBusyWindowMs);
  return recent >= kMinBusyArrivals
           ? static_cast<double>(recent) * kMsPerS / static_cast<double>(kBusyWindowMs)
           : static_cast<double>(within(kQuietWindowMs)) * kMsPerS /
               static_cast<double>(kQuietWindowMs);
}

double ExpectedArrivalsPerS(const QueueArrivals& aArrivals, Millis aNowMs, Millis aAheadMs)
{
  const auto within = [&](Millis aFromMs, Millis aToMs) {
    return static_cast<double>(std::ranges::count_if(aArrivals.m_recent, [&](Millis aAtMs) {
      return aNowMs - aAtMs >= aFromMs && aNowMs - aAtMs < aToMs;
    }));
  };
  const double later = within(0, kTrendWindowMs);
  const double earlier = within(kTrendWindowMs, 2 * kTrendWindowMs);
  // The variance of a count of independent arrivals equals its mean.
  const double rise = later - earlier - kNoiseDeviations * std::sqrt(later + earlier);
  const double now = ArrivalsPerS(aArrivals, aNowMs);
  // A queue without earlier arrivals has no trend yet.
  if (earlier == 0 || rise <= 0) {
    return now;
  }
  constexpr double kSpanS = static_cast<double>(kTrendWindowMs) / kMsPerS;
  // The later count represents the middle of its window.
  const double aheadS = static_cast<double>(aAheadMs) / kMsPerS + kSpanS / 2;
  const double expected = later / kSpanS + rise / (kSpanS * kSpanS) * aheadS;
  return std::clamp(expected, now, kMaxRiseFactor * std::max(now, later / kSpanS));
}

double ArrivingInstances(const QueueArrivals& aArrivals, const Resources& aCapacity, Millis aNowMs,
                         Millis aAheadMs)
{
  const ResourceSeconds& job = aArrivals.m_meanJob;
  return ExpectedArrivalsPerS(aArrivals, aNowMs, aAheadMs) *
         std::max({ Ratio(job.m_cpuMillis, aCapacity.m_cpuMillis),
                    Ratio(job.m_memoryMb, aCapacity.m_memoryMb),
                    Ratio(job.m_gpus, aCapacity.m_gpus) });
}

} // namespace pistachiostand::fleet
