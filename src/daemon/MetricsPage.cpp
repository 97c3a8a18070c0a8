#include "MetricsPage.h"

#include <fmt/format.h>

#include <iterator>

namespace pistachiostand {

namespace {

void AddValue(std::string& aText, std::string_view aName, std::uint64_t aValue)
{
  fmt::format_to(std::back_inserter(aText), "pistachiostand_{} {}\n", aName, aValue);
}

void AddHistogram(std::string& aText, const HistogramSnapshot& aHistogram)
{
  const auto labels =
    fmt::format("tenant=\"{}\",class=\"{}\"", aHistogram.m_tenant, ToString(aHistogram.m_class));
  auto out = std::back_inserter(aText);
  for (std::size_t i = 0; i < kBucketBoundsMs.size(); ++i) {
    fmt::format_to(out, "pistachiostand_latency_ms_bucket{{{},le=\"{}\"}} {}\n", labels,
                   kBucketBoundsMs.at(i), aHistogram.m_cumulative.at(i));
  }
  fmt::format_to(out, "pistachiostand_latency_ms_bucket{{{},le=\"+Inf\"}} {}\n", labels,
                 aHistogram.m_cumulative.back());
  fmt::format_to(out, "pistachiostand_latency_ms_count{{{}}} {}\n", labels, aHistogram.m_count);
  fmt::format_to(out, "pistachiostand_latency_ms_sum{{{}}} {:.3f}\n", labels,
                 aHistogram.m_meanMs * static_cast<double>(aHistogram.m_count));
  fmt::format_to(out, "pistachiostand_latency_p50_ms{{{}}} {:.3f}\n", labels, aHistogram.m_p50Ms);
  fmt::format_to(out, "pistachiostand_latency_p99_ms{{{}}} {:.3f}\n", labels, aHistogram.m_p99Ms);
}

void AddQueue(std::string& aText, const QueueCounts& aQueue)
{
  fmt::format_to(std::back_inserter(aText), "pistachiostand_queue{{pool=\"{}\",class=\"{}\"}} {}\n",
                 aQueue.m_pool, ToString(aQueue.m_class), aQueue.m_waiting);
}

void AddCounters(std::string& aText, const Counters& aCounters)
{
  AddValue(aText, "requests_total", aCounters.m_requests);
  AddValue(aText, "completed_total", aCounters.m_completed);
  AddValue(aText, "not_run_total", aCounters.m_notRun);
  AddValue(aText, "unknown_total", aCounters.m_unknown);
  AddValue(aText, "stopped_total", aCounters.m_stopped);
  AddValue(aText, "retries_total", aCounters.m_retries);
  AddValue(aText, "refused_full_total", aCounters.m_refusedFull);
  AddValue(aText, "takeovers_total", aCounters.m_resolvedClaims);
}

} // namespace

HttpResponse MetricsPage(const Runtime& aRuntime, const Dispatcher& aDispatcher)
{
  std::string text;
  AddCounters(text, aRuntime.m_counters);
  AddValue(text, "revision", aRuntime.State().m_revision);
  AddValue(text, "log_offset", aRuntime.State().m_nextOffset);
  AddValue(text, "log_digest_mismatches_total", aRuntime.m_replica.DigestMismatches());
  AddValue(text, "log_corrupt_records_total", aRuntime.m_replica.CorruptRecords());
  AddValue(text, "proposals_pending", aRuntime.m_proposals.size());
  for (const auto& queue : aDispatcher.Counts()) {
    AddQueue(text, queue);
  }
  for (const auto& histogram : TakeSnapshot(aRuntime.m_histograms)) {
    AddHistogram(text, histogram);
  }
  HttpResponse response;
  SetHeader(response.m_headers, "content-type", "text/plain; version=0.0.4");
  response.m_body = std::move(text);
  return response;
}

} // namespace pistachiostand
