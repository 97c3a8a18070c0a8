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

/// One lost answer must not hold up all others; more in flight would only queue at the store.
constexpr std::size_t kMaxInFlight = 3;
/// A partition stores one append after the other, so a slow store gets few large ones.
constexpr std::size_t kMaxInFlightStrained = 2;
/// A fast store takes 10 ms. The next append leaves after this time without an answer, and two that
/// have none for so long show a slow store: three writes in ten may lose their answer.
constexpr Millis kSlowMs = 150;
/// Lost answers alone do not strain the store; three in a row are more than a few lost ones.
constexpr unsigned kStrainAfterUnanswered = 3;
/// First period after which a strained store is tried again; doubles each time. At the longest one
/// nine instances use a quarter of the time of a partition that is 50 times slower than usual.
constexpr Millis kFirstStrainMs = 1'000;
constexpr Millis kMaxStrainMs = 8'000;
constexpr std::size_t kMaxRecords = 256;
/// Appends of one call stay well below the store's limit of 2 MiB.
constexpr std::size_t kMaxBytes = std::size_t{ 512 } * 1024;
/// Pauses after appends without success, in milliseconds. At the longest one nine instances use 4 %
/// of the store's rate of calls.
constexpr BackOffRange kPause{ 40, 300 };
/// The longest wait is reached after this many strained periods.
constexpr unsigned kMaxStrainDoublings = 3;
/// Keeps the timer of the queue from running more often than this.
constexpr Millis kLeastTimerMs = 10;

} // namespace

SubmissionWriter::SubmissionWriter(asio::io_context& aLoop, platform::Store& aStore,
                                   std::uint32_t aPartition)
  : m_store(aStore)
  , m_partition(aPartition)
  , m_timer(aLoop)
{
}

void SubmissionWriter::Append(std::string aRecord, WriteLimits aLimits, Done aDone)
{
  if (m_closed) {
    aDone(platform::AppendOutcome::Refused);
    return;
  }
  m_waiting.push_back({ std::move(aRecord), aLimits, std::move(aDone), false });
  Send();
}

void SubmissionWriter::Close()
{
  m_closed = true;
  for (auto& entry : std::exchange(m_waiting, {})) {
    entry.m_done(entry.m_uncertain ? platform::AppendOutcome::Unknown
                                   : platform::AppendOutcome::Refused);
  }
}

bool SubmissionWriter::IsOver(const Entry& aEntry, Millis aNowMs) const noexcept
{
  // A record that may be stored is worth repeating until the caller stops waiting.
  const bool refused = m_refusals != 0 && !aEntry.m_uncertain;
  return aNowMs >= (refused ? std::min(aEntry.m_limits.m_refuseMs, aEntry.m_limits.m_deadlineMs)
                            : aEntry.m_limits.m_deadlineMs);
}

template<typename Condition>
void SubmissionWriter::GiveUpIf(Condition aCondition)
{
  std::deque<Entry> kept;
  std::vector<Entry> over;
  for (auto& entry : std::exchange(m_waiting, {})) {
    if (aCondition(entry)) {
      over.push_back(std::move(entry));
    } else {
      kept.push_back(std::move(entry));
    }
  }
  m_waiting = std::move(kept);
  for (auto& entry : over) {
    entry.m_done(entry.m_uncertain ? platform::AppendOutcome::Unknown
                                   : platform::AppendOutcome::Refused);
  }
}

SubmissionWriter::Batch SubmissionWriter::TakeBatch()
{
  auto batch = std::make_shared<std::vector<Entry>>();
  std::size_t bytes = 0;
  while (!m_waiting.empty() && batch->size() < kMaxRecords && bytes < kMaxBytes) {
    bytes += m_waiting.front().m_record.size();
    batch->push_back(std::move(m_waiting.front()));
    m_waiting.pop_front();
  }
  return batch;
}

bool SubmissionWriter::MaySend(Millis aNowMs) const noexcept
{
  if (m_waiting.empty() || aNowMs < m_pausedUntilMs) {
    return false;
  }
  const std::size_t limit = IsStrained(aNowMs) ? kMaxInFlightStrained : kMaxInFlight;
  return m_inFlight.empty() ||
         (m_inFlight.size() < limit && aNowMs - *m_inFlight.rbegin() >= kSlowMs);
}

bool SubmissionWriter::IsSlow(Millis aNowMs) const noexcept
{
  // When a later append has its answer, an earlier one is only lost.
  return std::distance(m_inFlight.upper_bound(m_answeredSentMs), m_inFlight.end()) >= 2 &&
         aNowMs - *m_inFlight.rbegin() >= kSlowMs;
}

void SubmissionWriter::Send()
{
  const Millis now = MonotonicMs();
  GiveUpIf([this, now](const Entry& aEntry) { return IsOver(aEntry, now); });
  if (IsSlow(now)) {
    Strain(now);
  }
  if (IsStrained(now) && m_refusals == 0) {
    GiveUpIf([](const Entry& aEntry) { return aEntry.m_limits.m_mayYield; });
  }
  while (MaySend(now)) {
    const Batch batch = TakeBatch();
    platform::AppendRequest request;
    request.m_partition = { kSubmissionTopic, m_partition };
    request.m_timeoutMs = m_timeout.CurrentMs();
    std::ranges::transform(*batch, std::back_inserter(request.m_records), &Entry::m_record);
    m_inFlight.insert(now);
    m_store.Append(std::move(request), [this, batch, now, alive = std::weak_ptr<int>(m_alive)](
                                         const platform::AppendResult& aResult) {
      if (alive.lock()) {
        OnAnswer(batch, now, aResult);
      }
    });
  }
  Arm();
}

void SubmissionWriter::Arm()
{
  const Millis now = MonotonicMs();
  Millis next = std::numeric_limits<Millis>::max();
  for (const auto& entry : m_waiting) {
    next = std::min({ next, entry.m_limits.m_refuseMs, entry.m_limits.m_deadlineMs });
  }
  if (m_inFlight.empty()) {
    next = m_waiting.empty() ? next : std::min(next, m_pausedUntilMs);
  } else if (const Millis slow = *m_inFlight.rbegin() + kSlowMs; slow > now) {
    next = std::min(next, slow);
  }
  if (next == std::numeric_limits<Millis>::max()) {
    m_timer.cancel();
    return;
  }
  m_timer.expires_after(std::chrono::milliseconds{ std::max<Millis>(next - now, kLeastTimerMs) });
  m_timer.async_wait([this, alive = std::weak_ptr<int>(m_alive)](const std::error_code& aError) {
    if (!aError && alive.lock()) {
      Send();
    }
  });
}

void SubmissionWriter::PutBack(const Batch& aBatch, bool aUncertain)
{
  for (auto& entry : *aBatch) {
    entry.m_uncertain = entry.m_uncertain || aUncertain;
  }
  m_waiting.insert(m_waiting.begin(), std::make_move_iterator(aBatch->begin()),
                   std::make_move_iterator(aBatch->end()));
  if (m_closed) {
    Close();
  }
}

void SubmissionWriter::Strain(Millis aNowMs)
{
  if (aNowMs >= m_strainedUntilMs) {
    const Millis period =
      std::min(kFirstStrainMs << std::min(m_strains++, kMaxStrainDoublings), kMaxStrainMs);
    m_strainedUntilMs = aNowMs + period;
    LogEvent("store", "strained", "refusals={} unanswered={} for_ms={}", m_refusals, m_unanswered,
             period);
  }
}

void SubmissionWriter::OnStored(Millis aTookMs, Millis aNowMs)
{
  m_timeout.OnAnswer(aTookMs);
  m_refusals = 0;
  m_unanswered = 0;
  m_pausedUntilMs = 0;
  if (aTookMs > kSlowMs) {
    Strain(aNowMs);
  } else {
    m_strains = 0;
    m_strainedUntilMs = 0;
  }
}

void SubmissionWriter::OnNotStored(platform::AppendOutcome aOutcome, Millis aSentMs, Millis aNowMs)
{
  if (aOutcome == platform::AppendOutcome::Unknown) {
    // When a later append has its answer, this answer was lost and the store is not slow.
    if (aSentMs >= m_answeredSentMs) {
      m_timeout.OnTimeout();
      ++m_unanswered;
    }
  } else {
    ++m_refusals;
  }
  if (m_refusals != 0 || m_strains != 0 || m_unanswered >= kStrainAfterUnanswered) {
    Strain(aNowMs);
  }
  if (aNowMs - aSentMs < kPause.m_firstMs) {
    m_pausedUntilMs = aNowMs + BackOffMs(kPause, std::max(m_refusals, 1U) - 1);
  }
}

void SubmissionWriter::OnAnswer(const Batch& aBatch, Millis aSentMs,
                                const platform::AppendResult& aResult)
{
  m_inFlight.erase(m_inFlight.find(aSentMs));
  const Millis now = MonotonicMs();
  if (aResult.m_outcome != platform::AppendOutcome::Unknown) {
    m_answeredSentMs = std::max(m_answeredSentMs, aSentMs);
  }
  if (aResult.m_outcome == platform::AppendOutcome::Stored) {
    OnStored(now - aSentMs, now);
    for (auto& entry : *aBatch) {
      entry.m_done(aResult.m_outcome);
    }
  } else {
    OnNotStored(aResult.m_outcome, aSentMs, now);
    PutBack(aBatch, aResult.m_outcome == platform::AppendOutcome::Unknown);
  }
  Send();
}

} // namespace pistachiostand::fleet
