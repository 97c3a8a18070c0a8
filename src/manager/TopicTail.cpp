#include "TopicTail.h"

#include "BackOff.h"
#include "EventLog.h"

#include "pistachiostand/base/Bounds.h"

#include "pistachiostand/base/Clock.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace pistachiostand::fleet {

namespace {

/// Pauses after failed calls, in milliseconds. The longest one keeps the time to detect that the
/// store is available again well below 2 s, the shortest time in which a change must take effect.
constexpr BackOffRange kPause{ 80, 500 };
/// Timeout of a read after a failed one, which does not wait for a record: a read that hangs in an
/// outage may go on hanging for its whole timeout after the outage ends.
constexpr Millis kProbeMs = 500;
/// One in this many such reads has the full timeout, because a slow store may need it.
constexpr unsigned kFullProbeEvery = 8;

} // namespace

TopicTail::TopicTail(asio::io_context& aLoop, platform::Store& aStore, TopicTailOptions aOptions,
                     TopicHandlers aHandlers)
  : m_store(aStore)
  , m_options(std::move(aOptions))
  , m_handlers(std::move(aHandlers))
  , m_timer(aLoop)
{
}

TopicTail::~TopicTail() = default;

void TopicTail::Start()
{
  Restart();
}

void TopicTail::Restart()
{
  m_listed.clear();
  m_listIsPartial = false;
  m_listEnd.reset();
  m_listSentMs = MonotonicMs();
  List({});
}

Millis TopicTail::OnFailure(std::string_view aCause)
{
  LogEvent("store", std::exchange(m_storeUnavailable, true) ? "still-lost" : "lost",
           "topic={} partition={} cause={} after_ms={} failures={}", m_options.m_partition.m_topic,
           m_options.m_partition.m_number, aCause, MonotonicMs() - m_sentMs, m_failures);
  // The time that a call took counts as part of the pause.
  const Millis took = MonotonicMs() - m_sentMs;
  return std::max(BackOffMs(kPause, m_failures++) - took, kPause.m_firstMs);
}

void TopicTail::OnAnswered()
{
  m_failures = 0;
  if (std::exchange(m_storeUnavailable, false)) {
    LogEvent("store", "regained", "topic={} partition={} offset={}", m_options.m_partition.m_topic,
             m_options.m_partition.m_number, m_next);
    if (m_handlers.m_onStoreAvailable) {
      m_handlers.m_onStoreAvailable();
    }
  }
}

void TopicTail::RetryNow()
{
  // If the handler is already queued, it makes the call itself.
  if (m_retry != nullptr && m_timer.cancel() != 0) {
    After(0, m_retry);
  }
}

void TopicTail::RetryAfter(Millis aDelayMs, NextCall aNext)
{
  m_retry = aNext;
  After(aDelayMs, aNext);
}

void TopicTail::After(Millis aDelayMs, NextCall aNext)
{
  m_timer.expires_after(std::chrono::milliseconds{ aDelayMs });
  m_timer.async_wait(
    [this, aNext, alive = std::weak_ptr<int>(m_alive)](const std::error_code& aError) {
      // A handler that is already queued still runs after its timer is destroyed.
      if (!aError && alive.lock()) {
        m_retry = nullptr;
        (this->*aNext)();
      }
    });
}

void TopicTail::List(const std::string& aAfter)
{
  m_sentMs = MonotonicMs();
  m_store.ListNewest(m_options.m_partition, aAfter,
                     [this, alive = std::weak_ptr<int>(m_alive)](const auto& aPage) {
                       if (alive.lock()) {
                         OnPage(aPage);
                       }
                     });
}

void TopicTail::OnPage(const std::optional<platform::KeyedPage>& aPage)
{
  if (!aPage) {
    RetryAfter(OnFailure("list"), &TopicTail::Restart);
    return;
  }
  OnAnswered();
  if (!m_listEnd) {
    m_listEnd = aPage->m_end;
  }
  for (const auto& item : aPage->m_items) {
    m_listed.insert_or_assign(item.m_key, item.m_offset);
    const auto known = m_offsets.find(item.m_key);
    if (known == m_offsets.end() || known->second < item.m_offset) {
      Apply(item.m_key, item.m_value, item.m_offset);
    }
  }
  if (aPage->m_malformedRows.m_count != 0) {
    m_listIsPartial = true;
    OnMalformed("", aPage->m_malformedRows.m_cause);
  }
  if (aPage->m_more && !aPage->m_lastKey.empty()) {
    List(aPage->m_lastKey);
    return;
  }
  FinishList();
}

void TopicTail::FinishList()
{
  // Keys that are no longer listed were removed while records were not being read.
  std::vector<std::string> gone;
  for (const auto& [key, offset] : m_offsets) {
    // A malformed item may belong to any key.
    if (!m_listIsPartial && !m_listed.contains(key)) {
      gone.push_back(key);
    }
  }
  for (const auto& key : gone) {
    Apply(key, std::nullopt, *m_listEnd);
  }
  // Changes made while the pages were read are read again as records.
  m_next = *m_listEnd;
  m_currentMs = m_listSentMs;
  m_handlers.m_onCurrent(m_listSentMs);
  Read();
}

void TopicTail::Apply(const std::string& aKey, const std::optional<std::string>& aValue,
                      Offset aOffset)
{
  if (aValue) {
    m_offsets.insert_or_assign(aKey, aOffset);
  } else {
    m_offsets.erase(aKey);
  }
  try {
    m_handlers.m_onRecord(aKey, aValue, aOffset);
  } catch (const std::exception& error) {
    // An escaping exception would keep the next read from being sent and stop the tail.
    OnMalformed(aKey, Printable(error.what()));
  }
}

void TopicTail::OnMalformed(std::string_view aKey, std::string_view aCause)
{
  if (m_handlers.m_onMalformed) {
    m_handlers.m_onMalformed(aKey, aCause);
  } else {
    LogEvent("store", "unreadable", "topic={} partition={} key={} cause={}",
             m_options.m_partition.m_topic, m_options.m_partition.m_number, Printable(aKey),
             aCause);
  }
}

void TopicTail::Read()
{
  m_sentMs = MonotonicMs();
  const bool isProbe = m_failures != 0;
  m_store.Read(
    m_options.m_partition, m_next, isProbe ? 0 : m_options.m_waitMs,
    [this, alive = std::weak_ptr<int>(m_alive)](const platform::ReadResult& aResult) {
      if (alive.lock()) {
        OnRead(aResult);
      }
    },
    isProbe && m_failures % kFullProbeEvery != 0 ? kProbeMs : platform::kStoreTimeoutMs);
}

void TopicTail::OnRead(const platform::ReadResult& aResult)
{
  if (aResult.m_outcome == platform::ReadOutcome::Expired) {
    LogEvent("store", "history-expired", "topic={} offset={}", m_options.m_partition.m_topic,
             m_next);
    Restart();
    return;
  }
  if (aResult.m_outcome == platform::ReadOutcome::Failed) {
    RetryAfter(OnFailure(aResult.m_cause),
               m_options.m_listAfterFailure ? &TopicTail::Restart : &TopicTail::Read);
    return;
  }
  OnAnswered();
  for (const auto& record : aResult.m_batch.m_records) {
    const auto keyed = platform::DecodeKeyed(record);
    const Offset offset = m_next++;
    if (keyed) {
      Apply(keyed->first, keyed->second, offset);
    } else {
      OnMalformed("", "a record without a key");
    }
  }
  if (m_next >= aResult.m_batch.m_end) {
    m_currentMs = m_sentMs;
    m_handlers.m_onCurrent(m_sentMs);
  }
  if (aResult.m_batch.m_records.empty() || m_options.m_pauseMs == 0) {
    Read();
  } else {
    After(m_options.m_pauseMs, &TopicTail::Read);
  }
}

} // namespace pistachiostand::fleet
