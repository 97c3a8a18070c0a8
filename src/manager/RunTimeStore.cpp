#include "RunTimeStore.h"

#include "EventLog.h"
#include "FleetControl.h"
#include "MalformedEntry.h"

#include "platform/Wire.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace pistachiostand::fleet {

namespace {

constexpr Millis kStoreIntervalMs = 5'000; ///< Between two records of a queue.
constexpr Millis kAppendIntervalMs = 1'000;
constexpr Millis kAppendTimeoutMs = 1'000;
/// Bounds one append; with more queues, those that have waited longest come first.
constexpr std::size_t kMaxRecordsPerAppend = 32;
/// The records are usually read before the jobs. A store that does not return them delays the first
/// starts by no more than this; they are then placed by their declared times.
constexpr Millis kMaxReadWaitMs = 300;
constexpr Millis kLogMs = 10'000;

} // namespace

RunTimeStore::RunTimeStore(OwnerState& aState)
  : m_state(aState)
{
}

void RunTimeStore::OnRecord(const std::string& aKey, const std::string& aBytes)
{
  if (!m_state.m_settings.m_learnRunTimes) {
    return;
  }
  Reason reason;
  auto record = DecodeRunTimeRecord(aBytes, reason);
  if (record && aKey != RunTimeKey(record->m_queue)) {
    reason.m_cause = "the key and the queue in the record differ";
    record.reset();
  }
  if (!record) {
    ReportMalformedEntry(m_state.m_metrics, "records_unreadable_total", "runtime", aKey,
                         reason.m_cause);
    return;
  }
  if (record->m_token >= m_state.m_token) {
    return; // Written by this owner, or by a later one.
  }
  Stored& stored = m_stored[record->m_queue];
  QueueRunTimes& times = m_state.m_runTimes[record->m_queue];
  if (stored.m_token == m_state.m_token) {
    stored.m_overwritten = true;
    return;
  }
  // Fewer runs of this owner than the fit needs are not worth more than the record.
  if (static_cast<double>(times.m_runs - stored.m_restoredRuns) >= kMinRuns ||
      std::pair{ record->m_token, record->m_sequence } <
        std::pair{ stored.m_token, stored.m_sequence }) {
    return;
  }
  times = record->m_times;
  stored = { record->m_token, record->m_sequence,          std::move(record->m_times),
             times.m_runs,    /* m_overwritten = */ false, stored.m_triedMs };
  m_restored = true;
}

void RunTimeStore::OnRecordsRead()
{
  m_recordsRead = true;
  if (!std::exchange(m_restored, false)) {
    return;
  }
  for (const auto& id : m_state.m_jobTable.m_active) {
    UpdateExpectedTimes(m_state.m_jobTable.m_jobs.at(id), m_state.m_runTimes);
  }
  LogEvent("runtime", "restored", "queues={} active={}", m_stored.size(),
           m_state.m_jobTable.m_active.size());
}

bool RunTimeStore::IsReady(Millis aNowMs)
{
  if (m_recordsRead || !m_state.m_settings.m_learnRunTimes) {
    return true;
  }
  if (!m_firstAskedMs) {
    m_firstAskedMs = aNowMs;
  }
  return aNowMs - *m_firstAskedMs >= kMaxReadWaitMs;
}

void RunTimeStore::Tick(Millis aNowMs)
{
  if (!m_state.m_settings.m_learnRunTimes) {
    return;
  }
  if (aNowMs - m_loggedMs >= kLogMs) {
    m_loggedMs = aNowMs;
    Log();
  }
  // Until the records have been read, one with more runs may be in the store.
  if (m_appending || !m_recordsRead || aNowMs - m_appendedMs < kAppendIntervalMs ||
      !m_state.m_holdsOwnershipLease()) {
    return;
  }
  m_appendedMs = aNowMs;
  if (const auto queues = QueuesToStore(aNowMs); !queues.empty()) {
    Append(queues, aNowMs);
  }
}

std::vector<QueueName> RunTimeStore::QueuesToStore(Millis aNowMs) const
{
  std::vector<std::pair<Millis, QueueName>> due;
  for (const auto& [queue, times] : m_state.m_runTimes) {
    const auto found = m_stored.find(queue);
    const Stored stored = found == m_stored.end() ? Stored{} : found->second;
    if (times.m_fit.m_weight >= kMinRuns &&
        (!stored.m_triedMs || aNowMs - *stored.m_triedMs >= kStoreIntervalMs) &&
        (stored.m_overwritten || DiffersNotably(stored.m_times, times))) {
      due.emplace_back(stored.m_triedMs.value_or(0), queue);
    }
  }
  std::ranges::sort(due);
  std::vector<QueueName> queues;
  for (auto& [tried, queue] : due) {
    if (queues.size() < kMaxRecordsPerAppend) {
      queues.push_back(std::move(queue));
    }
  }
  return queues;
}

void RunTimeStore::Append(const std::vector<QueueName>& aQueues, Millis aNowMs)
{
  platform::AppendRequest request;
  request.m_partition.m_topic = kFleetTopic;
  request.m_timeoutMs = kAppendTimeoutMs;
  std::vector<RunTimeRecord> records;
  std::size_t bytes = 0;
  for (const auto& queue : aQueues) {
    Stored& stored = m_stored[queue];
    stored.m_triedMs = aNowMs;
    RunTimeRecord record{ m_state.m_token, ++m_lastSequence, queue, m_state.m_runTimes.at(queue) };
    auto encoded = platform::EncodeKeyed(RunTimeKey(queue), EncodeRunTimeRecord(record));
    bytes += encoded.size();
    if (encoded.size() > m_state.m_settings.m_storeRecordBytes ||
        bytes > m_state.m_settings.m_storeCallBytes) {
      bytes -= encoded.size();
      continue; // Tried again after the interval, when others have been stored.
    }
    request.m_records.push_back(std::move(encoded));
    records.push_back(std::move(record));
  }
  if (records.empty()) {
    return;
  }
  m_appending = true;
  m_state.m_store.Append(
    std::move(request),
    m_state.Guard([this, records = std::move(records)](const platform::AppendResult& aResult) {
      m_appending = false;
      OnAppended(records, aResult.m_outcome == platform::AppendOutcome::Stored);
    }));
}

void RunTimeStore::OnAppended(const std::vector<RunTimeRecord>& aRecords, bool aStored)
{
  // A record without a response is sent again after the interval. It may be stored twice.
  if (!aStored) {
    Count(m_state.m_metrics, "run_time_records_failed_total", aRecords.size());
    return;
  }
  Count(m_state.m_metrics, "run_time_records_stored_total", aRecords.size());
  for (const auto& record : aRecords) {
    Stored& stored = m_stored[record.m_queue];
    stored.m_token = record.m_token;
    stored.m_sequence = record.m_sequence;
    stored.m_times = record.m_times;
    stored.m_overwritten = false;
  }
}

void RunTimeStore::AddGauges()
{
  for (const auto& [queue, times] : m_state.m_runTimes) {
    if (times.m_fit.m_weight < kMinRuns || m_state.m_metrics.m_gauges.size() >= kMaxCounters) {
      continue;
    }
    const RunTimeSummary summary = SummaryOf(times.m_fit);
    m_state.m_metrics.m_gauges.insert_or_assign(
      fmt::format("run_time_ratio{{queue=\"{}\"}}", Label(queue)),
      summary.m_expectedMs / std::max(summary.m_declaredMs, 1.0));
  }
}

void RunTimeStore::Log()
{
  for (const auto& [queue, times] : m_state.m_runTimes) {
    std::uint64_t& logged = m_loggedRuns[queue];
    if (times.m_fit.m_weight < kMinRuns || std::exchange(logged, times.m_runs) == times.m_runs) {
      continue;
    }
    const RunTimeSummary summary = SummaryOf(times.m_fit);
    LogEvent("runtime", "learned",
             "queue={} runs={} declared_ms={:.0f} expected_ms={:.0f} spread={:.2f} images={}",
             queue, times.m_runs, summary.m_declaredMs, summary.m_expectedMs, summary.m_spread,
             times.m_images.size());
  }
}

} // namespace pistachiostand::fleet
