#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/process/Histograms.h"

#include <map>
#include <string>
#include <string_view>

/// \file
/// \brief Counters and latency histograms of an entry instance.

namespace pistachiostand::fleet {

/// \brief Counters by name, and one histogram for each measured time and queue.
struct Metrics
{
  std::map<std::string, std::uint64_t, std::less<>> m_counters;
  std::map<std::pair<std::string, std::string>, Histogram> m_histograms; ///< By name and queue.
  std::map<std::string, double> m_gauges;                                ///< By name with labels.
};

/// \brief Number of histograms; beyond it further queues of a metric are counted together.
inline constexpr std::size_t kMaxHistograms = 64;

/// \brief Number of counters, and of gauges. Beyond it responses for further queues are counted
/// together, and gauges are left out.
inline constexpr std::size_t kMaxCounters = 512;

/// \brief Formats an external name as the value of a label: escaped as Prometheus requires, with
/// `?` for bytes that are not UTF-8, and truncated when it is long.
[[nodiscard]] std::string Label(std::string_view aName);

void Count(Metrics& aMetrics, std::string_view aName, std::uint64_t aCount = 1);

/// \brief Counts a response to a caller by queue, status and cause. Causes are few and fixed.
void CountResponse(Metrics& aMetrics, const std::string& aQueue, std::uint16_t aStatus,
                   std::string_view aCause);

void Observe(Metrics& aMetrics, const std::string& aName, const std::string& aQueue,
             Millis aValueMs);

/// \brief Formats all metrics in the text format of Prometheus.
[[nodiscard]] std::string FormatMetrics(const Metrics& aMetrics);

} // namespace pistachiostand::fleet
