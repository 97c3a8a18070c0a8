#include "Metrics.h"

#include "pistachiostand/base/Bounds.h"

#include <fmt/format.h>

#include <algorithm>

#include <iterator>

namespace pistachiostand::fleet {

std::string Label(std::string_view aName)
{
  constexpr std::size_t kMaxBytes = 100;
  std::string label;
  while (!aName.empty()) {
    const std::size_t size = CharacterSize(aName);
    const std::string_view part = aName.substr(0, std::max<std::size_t>(size, 1));
    if (label.size() + part.size() > kMaxBytes) {
      return label + "...";
    }
    if (size == 0) {
      label += '?';
    } else if (part == "\n") {
      label += "\\n";
    } else {
      label += part == "\"" || part == "\\" ? "\\" : "";
      label += part;
    }
    aName.remove_prefix(part.size());
  }
  return label;
}

void Count(Metrics& aMetrics, std::string_view aName, std::uint64_t aCount)
{
  const auto found = aMetrics.m_counters.find(aName);
  if (found == aMetrics.m_counters.end()) {
    aMetrics.m_counters.emplace(aName, aCount);
  } else {
    found->second += aCount;
  }
}

void CountResponse(Metrics& aMetrics, const std::string& aQueue, std::uint16_t aStatus,
                   std::string_view aCause)
{
  const auto name = [&](std::string_view aLabel) {
    return fmt::format("answers_total{{queue=\"{}\",status=\"{}\",cause=\"{}\"}}", Label(aLabel),
                       aStatus, Label(aCause));
  };
  const std::string counterName = name(aQueue);
  const bool full =
    aMetrics.m_counters.size() >= kMaxCounters && !aMetrics.m_counters.contains(counterName);
  Count(aMetrics, full ? name("(other)") : counterName);
}

void Observe(Metrics& aMetrics, const std::string& aName, const std::string& aQueue,
             Millis aValueMs)
{
  auto key = std::pair{ aName, aQueue };
  if (aMetrics.m_histograms.size() >= kMaxHistograms && !aMetrics.m_histograms.contains(key)) {
    key.second = "(other)";
  }
  Histogram& histogram = aMetrics.m_histograms[key];
  histogram.m_values(static_cast<double>(aValueMs));
  const auto bucket = std::ranges::lower_bound(kBucketBoundsMs, aValueMs) - kBucketBoundsMs.begin();
  ++histogram.m_buckets.at(static_cast<std::size_t>(bucket));
}

std::string FormatMetrics(const Metrics& aMetrics)
{
  std::string text;
  auto out = std::back_inserter(text);
  for (const auto& [name, value] : aMetrics.m_counters) {
    fmt::format_to(out, "pistachiostand_{} {}\n", name, value);
  }
  for (const auto& [name, value] : aMetrics.m_gauges) {
    fmt::format_to(out, "pistachiostand_{} {}\n", name, value);
  }
  for (const auto& [key, histogram] : aMetrics.m_histograms) {
    const std::string queue = Label(key.second);
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < kBucketBoundsMs.size(); ++i) {
      total += histogram.m_buckets.at(i);
      fmt::format_to(out, "pistachiostand_{}_bucket{{queue=\"{}\",le=\"{}\"}} {}\n", key.first,
                     queue, kBucketBoundsMs.at(i), total);
    }
    total += histogram.m_buckets.back();
    fmt::format_to(out, "pistachiostand_{}_bucket{{queue=\"{}\",le=\"+Inf\"}} {}\n", key.first,
                   queue, total);
    fmt::format_to(out, "pistachiostand_{}_count{{queue=\"{}\"}} {}\n", key.first, queue, total);
  }
  return text;
}

} // namespace pistachiostand::fleet
