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
/// Lets changes gather, so that a burst of ends makes one append; a tenth of the shortest run time.
constexpr Millis kGatherMs = 8;
constexpr Millis kRetryMs = 100;
constexpr Millis kMaxRetryMs = 400;
constexpr Millis kAppendTimeoutMs = 1'000;
/// Jobs in one append; with 1 kB each an append stays far below the limit of the store.
constexpr std::size_t kMaxJobsPerAppend = 500;
/// Longest pause between copies of an append to a store that was fast: a silent one that is back is
/// noticed this soon, and a slow one has at most five copies in its queue.
constexpr Millis kMaxCopyPauseMs = 500;

} // namespace

Committer::Committer(OwnerState& aState, std::function<void(const CommitBatch&)> aOnStored)
  : m_state(aState)
  , m_onStored(std::move(aOnStored))
  , m_timer(aState.m_loop)
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
        m_timer.expires_after(std::chrono::milliseconds{ kRetryMs });
        m_timer.async_wait(m_state.Guard([this, done = std::move(done)](const auto& aError) {
          if (!aError) {
            Open(done);
          }
        }));
      }
    }));
}

bool Committer::IsIdle() const
{
  return m_next.m_planned.empty() && m_next.m_ends.empty() && m_state.m_book.m_changed.empty();
}

void Committer::Wake()
{
  if (!m_open || m_busy || m_armed || IsIdle()) {
    return;
  }
  m_armed = true;
  m_timer.expires_after(std::chrono::milliseconds{ kGatherMs });
  m_timer.async_wait(m_state.Guard([this](const std::error_code& aError) {
    m_armed = false;
    if (!aError) {
      Flush();
    }
  }));
}

void Committer::Flush()
{
  if (m_busy || IsIdle()) {
    return;
  }
  m_inFlight = std::exchange(m_next, {});
  ++m_batch;
  m_begunMs = MonotonicMs();
  m_records.clear();
  auto& changed = m_state.m_book.m_changed;
  while (!changed.empty() && m_records.size() < kMaxJobsPerAppend) {
    const JobId id = *changed.begin();
    changed.erase(changed.begin());
    const auto job = m_state.m_book.m_jobs.find(id);
    if (job == m_state.m_book.m_jobs.end()) {
      m_records.push_back(platform::EncodeKeyed(id, std::nullopt));
      continue;
    }
    m_records.push_back(platform::EncodeKeyed(id, EncodeProgress(job->second)));
    if (job->second.m_phase != JobPhase::Active && !job->second.m_phaseStored) {
      m_inFlight.m_finished.push_back(id);
    }
  }
  if (!changed.empty()) {
    // The rest waits for the next append, and so do the runs and ends that belong to it.
    m_next = std::exchange(m_inFlight, {});
    m_inFlight.m_finished = std::exchange(m_next.m_finished, {});
  }
  Send();
}

void Committer::Send()
{
  m_busy = true;
  if (m_records.empty()) {
    OnStored();
    return;
  }
  ++m_copies;
  platform::AppendRequest request;
  request.m_partition.m_topic = kProgressTopic;
  request.m_records = m_records;
  request.m_writer = platform::Writer{ kWriterName, m_state.m_token, m_sequence };
  request.m_timeoutMs = CallTimeout::kMostMs;
  m_state.m_store.Append(
    std::move(request),
    m_state.Guard([this, batch = m_batch, sent = MonotonicMs()](
                    const platform::AppendResult& aResult) { OnAnswer(batch, sent, aResult); }));
  SendCopyLater();
}

void Committer::SendCopyLater()
{
  const Millis first = m_copyAfter.CurrentMs();
  const Millis pause = std::min(first * m_copies, std::max(first, kMaxCopyPauseMs));
  m_timer.expires_after(std::chrono::milliseconds{ pause });
  m_timer.async_wait(m_state.Guard([this](const std::error_code& aError) {
    if (!aError) {
      Send();
    }
  }));
}

void Committer::RetryNow()
{
  if (m_busy && m_failures != 0 && m_timer.cancel() != 0) {
    Send();
  }
}

void Committer::Retry()
{
  const Millis delay = std::min(kRetryMs * (1 + static_cast<Millis>(m_failures)), kMaxRetryMs);
  m_timer.expires_after(std::chrono::milliseconds{ delay });
  m_timer.async_wait(m_state.Guard([this](const std::error_code& aError) {
    if (!aError) {
      Send();
    }
  }));
}

void Committer::OnAnswer(std::uint64_t aBatch, Millis aSentMs,
                         const platform::AppendResult& aResult)
{
  if (aBatch != m_batch || !m_busy) {
    return; // Another copy has been answered before.
  }
  switch (aResult.m_outcome) {
    case platform::AppendOutcome::Stored:
      if (aResult.m_first < m_end || aResult.m_end - aResult.m_first != m_records.size()) {
        // The store has answered with the answer to an earlier append.
        LogEvent("owner", "commit-not-new", "sequence={} records={} first={} end={} expected={}",
                 m_sequence, m_records.size(), aResult.m_first, aResult.m_end, m_end);
        Count(m_state.m_metrics, "commits_not_new_total");
      }
      m_end = aResult.m_end;
      m_copyAfter.OnAnswer(MonotonicMs() - aSentMs);
      ++m_sequence;
      Count(m_state.m_metrics, "commits_total");
      Observe(m_state.m_metrics, "commit_ms", "", MonotonicMs() - m_begunMs);
      OnStored();
      return;
    case platform::AppendOutcome::Fenced:
      m_state.m_stepDown("a later owner writes the progress");
      return;
    case platform::AppendOutcome::OutOfSequence:
      LogEvent("owner", "sequence", "sent={} expected={}", m_sequence, aResult.m_sequence);
      m_sequence = aResult.m_sequence;
      break;
    default:
      if (m_failures++ == 0) {
        LogEvent("owner", "commit-delayed", "outcome={} jobs={} after_ms={}",
                 static_cast<int>(aResult.m_outcome), m_records.size(), MonotonicMs() - m_begunMs);
      }
      Count(m_state.m_metrics, "commit_retries_total");
      break;
  }
  Retry();
}

void Committer::OnStored()
{
  m_timer.cancel();
  m_copies = 0;
  m_busy = false;
  m_failures = 0;
  for (const auto& id : m_inFlight.m_finished) {
    Job& job = m_state.m_book.m_jobs.at(id);
    job.m_phaseStored = true;
    job.m_finishedMs = MonotonicMs();
  }
  m_onStored(std::exchange(m_inFlight, {}));
  Wake();
}

} // namespace pistachiostand::fleet
