#include "Committer.h"

#include "EventLog.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/job/JobCodec.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pistachiostand::fleet {

namespace {

const std::string kWriterName = "owner";
/// Collects changes, so that a burst of ends needs one append. A tenth of the shortest run time.
constexpr Millis kBatchDelayMs = 8;
constexpr Millis kRetryMs = 100;
constexpr Millis kMaxRetryMs = 400;
constexpr Millis kAppendTimeoutMs = 1'000;
/// Limits the time that one append takes to encode.
constexpr std::size_t kMaxRecordsPerAppend = 500;
/// The store adds a length of this size to each record.
constexpr std::size_t kRecordLengthBytes = 4;
/// Length of a key, in its record.
constexpr std::size_t kKeyLengthBytes = 1;
/// Longest pause between copies of an append to a store that was fast. The recovery of an
/// unresponsive store is noticed within this time, and a slow store has at most five copies in its
/// queue.
constexpr Millis kMaxResendDelayMs = 500;

} // namespace

Committer::Committer(OwnerState& aState, std::function<void(const CommitBatch&)> aOnStored)
  : m_state(aState)
  , m_onStored(std::move(aOnStored))
  , m_flushTimer(aState.m_loop)
  , m_resendTimer(aState.m_loop)
{
}

void Committer::Open(std::function<void()> aDone)
{
  platform::AppendRequest request;
  request.m_partition.m_topic = kProgressTopic;
  request.m_writer = platform::Writer{ kWriterName, m_state.m_token, 0 };
  request.m_timeoutMs = kAppendTimeoutMs;
  m_state.m_store.Append(
    std::move(request),
    m_state.Guard([this, done = std::move(aDone)](const platform::AppendResult& aResult) mutable {
      if (aResult.m_outcome == platform::AppendOutcome::Fenced) {
        m_state.m_stepDown("a later owner writes the progress");
      } else if (aResult.m_outcome == platform::AppendOutcome::Stored) {
        m_open = true;
        done();
      } else {
        LogEvent("owner", "open-failed", "outcome={} token={}", static_cast<int>(aResult.m_outcome),
                 m_state.m_token);
        m_flushTimer.expires_after(std::chrono::milliseconds{ kRetryMs });
        m_flushTimer.async_wait(m_state.Guard([this, done = std::move(done)](const auto& aError) {
          if (!aError) {
            Open(done);
          }
        }));
      }
    }));
}

bool Committer::IsIdle() const
{
  return m_next.m_planned.empty() && m_next.m_ends.empty() && m_state.m_jobTable.m_changed.empty();
}

void Committer::FlushSoon()
{
  if (!m_open || m_inFlight || m_flushScheduled || IsIdle()) {
    return;
  }
  m_flushScheduled = true;
  m_flushTimer.expires_after(std::chrono::milliseconds{ kBatchDelayMs });
  m_flushTimer.async_wait(m_state.Guard([this](const std::error_code& aError) {
    m_flushScheduled = false;
    if (!aError) {
      Flush();
    }
  }));
}

void Committer::Flush()
{
  if (m_inFlight || IsIdle()) {
    return;
  }
  Append append;
  append.m_batch = std::exchange(m_next, {});
  auto& changed = m_state.m_jobTable.m_changed;
  std::size_t bytes = 0;
  while (!changed.empty() && append.m_records.size() < kMaxRecordsPerAppend) {
    const ProgressPart& part = *changed.begin();
    std::string record = EncodeRecord(part);
    bytes += kRecordLengthBytes + record.size();
    if (!append.m_records.empty() && bytes > m_state.m_settings.m_storeCallBytes) {
      break;
    }
    append.m_records.push_back(std::move(record));
    const auto job = m_state.m_jobTable.m_jobs.find(part.m_job);
    if (job != m_state.m_jobTable.m_jobs.end()) {
      job->second.m_storedParts.Insert(part.m_number);
    }
    if (part.m_number == 0 && job != m_state.m_jobTable.m_jobs.end() &&
        job->second.m_phase != JobPhase::Active && !job->second.m_phaseStored) {
      append.m_batch.m_finished.push_back(part.m_job);
    }
    changed.erase(changed.begin());
  }
  if (!changed.empty()) {
    // The rest waits for the next append, and so do the runs and ends that belong to it.
    m_next = std::exchange(append.m_batch, {});
    append.m_batch.m_finished = std::exchange(m_next.m_finished, {});
  }
  append.m_begunMs = MonotonicMs();
  const bool hasRecords = !append.m_records.empty();
  append.m_sequence = hasRecords ? ++m_lastSequence : m_lastSequence;
  m_inFlight = std::move(append);
  if (hasRecords) {
    Send();
  } else {
    OnStored();
  }
}

std::string Committer::EncodeRecord(const ProgressPart& aPart) const
{
  const std::string key = KeyOf(aPart);
  const auto job = m_state.m_jobTable.m_jobs.find(aPart.m_job);
  // A job without a specification has no subtasks, so its later parts are removed.
  if (job == m_state.m_jobTable.m_jobs.end() ||
      (aPart.m_number != 0 && job->second.m_spec.m_steps.empty())) {
    return platform::EncodeKeyed(key, std::nullopt);
  }
  const std::size_t maxBytes = m_state.m_settings.m_storeRecordBytes;
  std::string record = platform::EncodeKeyed(
    key, EncodeProgress(job->second, aPart.m_number, maxBytes - kKeyLengthBytes - key.size()));
  if (record.size() > maxBytes) {
    LogEvent("owner", "record-too-large", "id={} part={} bytes={} max_bytes={}", aPart.m_job,
             aPart.m_number, record.size(), maxBytes);
    Count(m_state.m_metrics, "records_too_large_total");
  }
  return record;
}

void Committer::Send()
{
  ++m_inFlight->m_sendCount;
  platform::AppendRequest request;
  request.m_partition.m_topic = kProgressTopic;
  request.m_records = m_inFlight->m_records;
  request.m_writer = platform::Writer{ kWriterName, m_state.m_token, m_inFlight->m_sequence };
  request.m_timeoutMs = CallTimeout::kMaxMs;
  m_state.m_store.Append(
    std::move(request),
    m_state.Guard([this, sequence = m_inFlight->m_sequence, sent = MonotonicMs()](
                    const platform::AppendResult& aResult) { OnAnswer(sequence, sent, aResult); }));
  ResendAfter(ResendDelayMs());
}

Millis Committer::ResendDelayMs() const noexcept
{
  const Millis first = m_resendDelay.CurrentMs();
  return std::min(first * m_inFlight->m_sendCount, std::max(first, kMaxResendDelayMs));
}

void Committer::ResendAfter(Millis aDelayMs)
{
  m_resendTimer.expires_after(std::chrono::milliseconds{ aDelayMs });
  m_resendTimer.async_wait(
    m_state.Guard([this, sequence = m_inFlight->m_sequence](const std::error_code& aError) {
      // A timer whose handler is already queued can no longer be canceled.
      if (!aError && m_inFlight && m_inFlight->m_sequence == sequence) {
        Send();
      }
    }));
}

void Committer::RetryNow()
{
  if (m_inFlight && m_inFlight->m_failures != 0 && m_resendTimer.cancel() != 0) {
    Send();
  }
}

void Committer::OnAnswer(std::uint64_t aSequence, Millis aSentMs,
                         const platform::AppendResult& aResult)
{
  if (!m_inFlight || aSequence != m_inFlight->m_sequence) {
    return; // Another copy has got a response before.
  }
  switch (aResult.m_outcome) {
    case platform::AppendOutcome::Stored:
      if (aResult.m_first < m_end) {
        LogEvent("owner", "commit-not-new", "sequence={} records={} first={} expected={}",
                 aSequence, m_inFlight->m_records.size(), aResult.m_first, m_end);
        Count(m_state.m_metrics, "commits_not_new_total");
        m_state.m_stepDown(
          "the store answered the append with an offset before the end of the topic");
        return;
      }
      m_end = aResult.m_end;
      m_resendDelay.OnAnswer(MonotonicMs() - aSentMs);
      Count(m_state.m_metrics, "commits_total");
      Observe(m_state.m_metrics, "commit_ms", "", MonotonicMs() - m_inFlight->m_begunMs);
      OnStored();
      return;
    case platform::AppendOutcome::Fenced:
      m_state.m_stepDown("a later owner writes the progress");
      return;
    case platform::AppendOutcome::OutOfSequence:
      // It is no longer known what the store holds under the sequence numbers of this owner.
      LogEvent("owner", "sequence", "sent={} expected={}", aSequence, aResult.m_sequence);
      m_state.m_stepDown("the store expects another sequence number");
      return;
    default:
      if (m_inFlight->m_failures++ == 0) {
        LogEvent("owner", "commit-delayed", "outcome={} records={} after_ms={}",
                 static_cast<int>(aResult.m_outcome), m_inFlight->m_records.size(),
                 MonotonicMs() - m_inFlight->m_begunMs);
      }
      Count(m_state.m_metrics, "commit_retries_total");
      break;
  }
  ResendAfter(std::min(kRetryMs * (1 + static_cast<Millis>(m_inFlight->m_failures)), kMaxRetryMs));
}

void Committer::OnStored()
{
  m_resendTimer.cancel();
  const CommitBatch batch = std::exchange(m_inFlight, std::nullopt)->m_batch;
  for (const auto& id : batch.m_finished) {
    Job& job = m_state.m_jobTable.m_jobs.at(id);
    job.m_phaseStored = true;
    job.m_finishedMs = MonotonicMs();
  }
  m_onStored(batch);
  FlushSoon();
}

} // namespace pistachiostand::fleet
