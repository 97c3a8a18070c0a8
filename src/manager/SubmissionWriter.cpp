#include "SubmissionWriter.h"

#include "BackOff.h"
#include "EventLog.h"

#include "pistachiostand/base/Clock.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>
#include <utility>

namespace pistachiostand::fleet {

namespace {

/// A fast store takes 10 ms. Without a response for this time it is slow, or the response is lost.
constexpr Millis kSlowMs = 150;
/// First period after which a degraded store is tried again; it doubles each time. At the longest
/// period nine instances use a quarter of the time of a partition that is 50 times slower than
/// usual.
constexpr Millis kFirstDegradedMs = 1'000;
constexpr Millis kMaxDegradedMs = 8'000;
constexpr std::size_t kMaxRecords = 256;
/// The records of one call stay well below the store's limit of 2 MiB.
constexpr std::size_t kMaxBytes = std::size_t{ 512 } * 1024;
/// Pauses after failed appends, in milliseconds. At the longest one nine instances use 4 % of the
/// store's call rate.
constexpr BackOffRange kPause{ 40, 300 };
/// The longest period is reached after this many degraded periods.
constexpr unsigned kMaxDegradedDoublings = 3;
/// Shortest delay of the timer.
constexpr Millis kMinTimerMs = 10;

} // namespace

SubmissionWriter::SubmissionWriter(asio::io_context& aLoop, platform::Store& aStore,
                                   std::uint32_t aPartition, std::size_t aMaxInFlight)
  : m_store(aStore)
  , m_partition(aPartition)
  , m_timer(aLoop)
  , m_maxInFlight(aMaxInFlight)
{
}

void SubmissionWriter::Append(std::string aRecord, WriteLimits aLimits, Done aDone)
{
  if (m_closed) {
    aDone(platform::AppendOutcome::Refused);
    return;
  }
  m_waiting.push_back(
    std::make_shared<Entry>(Entry{ std::move(aRecord), aLimits, std::move(aDone), false }));
  Send();
}

void SubmissionWriter::Close()
{
  m_closed = true;
  AbandonIf([](const Entry&) { return true; });
}

bool SubmissionWriter::HasExpired(const Entry& aEntry, Millis aNowMs) const noexcept
{
  // A record that may already be stored is retried until the caller stops waiting.
  const bool refused = m_refusals != 0 && !aEntry.m_uncertain;
  return aNowMs >= (refused
                      ? std::min(aEntry.m_limits.m_refusalDeadlineMs, aEntry.m_limits.m_deadlineMs)
                      : aEntry.m_limits.m_deadlineMs);
}

void SubmissionWriter::Finish(Entry& aEntry, platform::AppendOutcome aOutcome)
{
  if (const Done done = std::exchange(aEntry.m_done, {})) {
    done(aOutcome);
  }
}

template<typename Condition>
void SubmissionWriter::AbandonIf(Condition aCondition)
{
  Entries abandoned;
  Entries kept;
  for (auto& entry : std::exchange(m_waiting, {})) {
    if (entry->m_done) { // Otherwise an earlier append has stored it meanwhile.
      (aCondition(*entry) ? abandoned : kept).push_back(std::move(entry));
    }
  }
  m_waiting = std::move(kept);
  for (const auto& entry : abandoned) {
    Finish(*entry, entry->m_uncertain ? platform::AppendOutcome::Unknown
                                      : platform::AppendOutcome::Refused);
  }
}

SubmissionWriter::Entries SubmissionWriter::TakeBatch()
{
  Entries batch;
  // While appends have no response, records that were never sent are held back, so that they can
  // still be refused for certain. Records that may be stored are at the front. If there are none,
  // the last record, which has the most time left, probes whether the store is available again.
  const bool isProbe = m_unanswered != 0;
  if (isProbe && !m_waiting.empty() && !m_waiting.front()->m_uncertain) {
    batch.push_back(std::move(m_waiting.back()));
    m_waiting.pop_back();
    return batch;
  }
  std::size_t bytes = 0;
  while (!m_waiting.empty() && batch.size() < kMaxRecords && bytes < kMaxBytes &&
         (!isProbe || m_waiting.front()->m_uncertain)) {
    bytes += m_waiting.front()->m_record.size();
    batch.push_back(std::move(m_waiting.front()));
    m_waiting.pop_front();
  }
  return batch;
}

std::size_t SubmissionWriter::InFlightCount() const noexcept
{
  return static_cast<std::size_t>(std::ranges::count_if(
    m_inFlightAppends, [](const auto& aAppend) { return !aAppend->m_overdue; }));
}

Millis SubmissionWriter::LastSentMs() const noexcept
{
  return m_inFlightAppends.empty() ? 0 : m_inFlightAppends.back()->m_sentMs;
}

bool SubmissionWriter::MaySend(Millis aNowMs) const noexcept
{
  if (m_waiting.empty() || aNowMs < m_pausedUntilMs) {
    return false;
  }
  const std::size_t inFlight = InFlightCount();
  return inFlight == 0 || (inFlight < m_maxInFlight && aNowMs - LastSentMs() >= kSlowMs);
}

bool SubmissionWriter::IsStalled(Millis aNowMs) const noexcept
{
  return std::ranges::any_of(m_inFlightAppends, [this, aNowMs](const auto& aAppend) {
    // When a later append has its response, the response to this one was lost.
    return !aAppend->m_overdue && aAppend->m_sentMs >= m_answeredSentMs &&
           aNowMs - aAppend->m_sentMs >= kSlowMs;
  });
}

void SubmissionWriter::MarkOverdue(Millis aNowMs)
{
  const Millis timeout = m_timeout.CurrentMs();
  for (const auto& append : m_inFlightAppends) {
    if (!append->m_overdue && aNowMs - append->m_sentMs >= timeout) {
      append->m_overdue = true;
      Requeue(*append, true);
      OnUnanswered(append->m_sentMs, aNowMs);
    }
  }
}

void SubmissionWriter::Send()
{
  const Millis now = MonotonicMs();
  MarkOverdue(now);
  AbandonIf([this, now](const Entry& aEntry) { return HasExpired(aEntry, now); });
  if (IsStoreDegraded(now) && m_refusals == 0) {
    AbandonIf([](const Entry& aEntry) { return aEntry.m_limits.m_abandonWhenSlow; });
  }
  while (MaySend(now)) {
    SendNext(now);
  }
  ArmTimer();
}

void SubmissionWriter::SendNext(Millis aNowMs)
{
  const auto append =
    std::make_shared<InFlightAppend>(InFlightAppend{ aNowMs, TakeBatch(), false });
  platform::AppendRequest request;
  request.m_partition = { kSubmissionTopic, m_partition };
  request.m_timeoutMs = CallTimeout::kMaxMs;
  std::ranges::transform(append->m_entries, std::back_inserter(request.m_records),
                         [](const auto& aEntry) { return aEntry->m_record; });
  m_inFlightAppends.push_back(append);
  m_store.Append(std::move(request), [this, append, alive = std::weak_ptr<int>(m_alive)](
                                       const platform::AppendResult& aResult) {
    if (alive.lock()) {
      OnAnswer(append, aResult);
    }
  });
}

void SubmissionWriter::ArmTimer()
{
  const Millis now = MonotonicMs();
  Millis next = std::numeric_limits<Millis>::max();
  for (const auto& entry : m_waiting) {
    next = std::min({ next, entry->m_limits.m_refusalDeadlineMs, entry->m_limits.m_deadlineMs });
  }
  for (const auto& append : m_inFlightAppends) {
    if (!append->m_overdue) {
      next = std::min(next, append->m_sentMs + m_timeout.CurrentMs());
    }
  }
  if (InFlightCount() == 0) {
    next = m_waiting.empty() ? next : std::min(next, m_pausedUntilMs);
  } else if (const Millis slow = LastSentMs() + kSlowMs; slow > now) {
    next = std::min(next, slow);
  }
  if (next == std::numeric_limits<Millis>::max()) {
    m_timer.cancel();
    return;
  }
  m_timer.expires_after(std::chrono::milliseconds{ std::max<Millis>(next - now, kMinTimerMs) });
  m_timer.async_wait([this, alive = std::weak_ptr<int>(m_alive)](const std::error_code& aError) {
    if (!aError && alive.lock()) {
      Send();
    }
  });
}

void SubmissionWriter::Requeue(const InFlightAppend& aAppend, bool aUncertain)
{
  for (const auto& entry : aAppend.m_entries) {
    entry->m_uncertain = entry->m_uncertain || aUncertain;
  }
  m_waiting.insert(m_waiting.begin(), aAppend.m_entries.begin(), aAppend.m_entries.end());
  if (m_closed) {
    Close();
  }
}

void SubmissionWriter::MarkStoreDegraded(Millis aNowMs)
{
  if (aNowMs >= m_degradedUntilMs) {
    const Millis period = std::min(
      kFirstDegradedMs << std::min(m_degradedPeriods++, kMaxDegradedDoublings), kMaxDegradedMs);
    m_degradedUntilMs = aNowMs + period;
    LogEvent("store", "strained", "partition={} refusals={} unanswered={} for_ms={}", m_partition,
             m_refusals, m_unanswered, period);
  }
}

void SubmissionWriter::OnStored(Millis aTookMs, Millis aNowMs)
{
  m_timeout.OnAnswer(aTookMs);
  m_refusals = 0;
  m_unanswered = 0;
  m_pausedUntilMs = 0;
  if (aTookMs > kSlowMs) {
    MarkStoreDegraded(aNowMs);
  } else {
    m_degradedPeriods = 0;
    m_degradedUntilMs = 0;
  }
}

void SubmissionWriter::OnUnanswered(Millis aSentMs, Millis aNowMs)
{
  // When a later append has its response, this response was lost and the store is not slow.
  if (aSentMs >= m_answeredSentMs) {
    m_timeout.OnTimeout();
    ++m_unanswered;
    MarkStoreDegraded(aNowMs);
  }
}

void SubmissionWriter::OnAnswer(const std::shared_ptr<InFlightAppend>& aAppend,
                                const platform::AppendResult& aResult)
{
  std::erase(m_inFlightAppends, aAppend);
  const Millis now = MonotonicMs();
  const Millis took = now - aAppend->m_sentMs;
  if (aResult.m_outcome == platform::AppendOutcome::Unknown) {
    if (!aAppend->m_overdue) { // The connection was closed.
      Requeue(*aAppend, true);
      OnUnanswered(aAppend->m_sentMs, now);
      if (took < kPause.m_firstMs) {
        m_pausedUntilMs = now + BackOffMs(kPause, 0);
      }
    }
  } else {
    m_answeredSentMs = std::max(m_answeredSentMs, aAppend->m_sentMs);
    if (aResult.m_outcome == platform::AppendOutcome::Stored) {
      OnStored(took, now);
      for (const auto& entry : aAppend->m_entries) {
        Finish(*entry, aResult.m_outcome);
      }
    } else {
      ++m_refusals;
      MarkStoreDegraded(now);
      if (took < kPause.m_firstMs) {
        m_pausedUntilMs = now + BackOffMs(kPause, m_refusals - 1);
      }
      if (!aAppend->m_overdue) {
        Requeue(*aAppend, false);
      }
    }
  }
  Send();
}

} // namespace pistachiostand::fleet
