#include "Elector.h"

#include "BackOff.h"
#include "EventLog.h"

#include "pistachiostand/base/Bounds.h"
#include "pistachiostand/base/Clock.h"
#include "pistachiostand/base/Hash.h"

#include <algorithm>
#include <utility>

namespace pistachiostand::fleet {

namespace {

const std::string kTopic = "keyed.owner";
constexpr std::string_view kKey = "owner";
constexpr Millis kTickMs = 50;
/// A read waits this long for a record; renewals are stored several times as often.
constexpr Millis kReadWaitMs = 800;
/// Claims of several processes are spread over this time, so that they rarely conflict.
constexpr Millis kMaxClaimJitterMs = 200;
/// A slow store takes up to 0.7 s to respond. The tail shows earlier than a longer timeout would
/// whether a record without a response was stored.
constexpr Millis kAppendTimeoutMs = 800;
/// The same while the store cannot be read: an append that hangs in an outage would still hang
/// after the outage, and the renewal would be too late.
constexpr Millis kProbeTimeoutMs = 500;
constexpr Millis kAppendTimeDecayPercent = 80;
/// After a handover, other processes have this time to claim before this one does.
constexpr Millis kHandOverMs = 2'000;
/// Pauses after claims that were not stored, in milliseconds. Claims that all instances repeat
/// without a pause fill the queue of the partition in a slow store and delay the renewals.
constexpr BackOffRange kClaimBackOff{ 100, 800 };

} // namespace

Elector::Elector(asio::io_context& aLoop, platform::Store& aStore, std::string aProcess,
                 std::string aAddress, std::function<Millis()> aClaimDelay,
                 ElectorHandlers aHandlers)
  : m_store(aStore)
  , m_process(std::move(aProcess))
  , m_address(std::move(aAddress))
  , m_handlers(std::move(aHandlers))
  , m_tail(aLoop, aStore, { { kTopic }, kReadWaitMs, 0 },
           { [this](const std::string& aKey, const auto& aValue, Offset aOffset) {
              OnRecord(aKey, aValue, aOffset);
            },
             [this](Millis /*aSentMs*/) { MarkRead(m_view, m_tail.Next(), MonotonicMs()); } })
  , m_ticker(aLoop, kTickMs, [this] { Tick(); })
  , m_claimDelay(std::move(aClaimDelay))
  , m_claimJitterMs(static_cast<Millis>(Hash(m_process) % kMaxClaimJitterMs))
{
}

void Elector::Start()
{
  m_tail.Start();
}

void Elector::Retire()
{
  m_retired = true;
  if (m_token != 0) {
    Propose(OwnershipRecordKind::Release);
    StepDown("retired");
  }
}

void Elector::HandOver()
{
  if (m_token != 0 && !m_inFlight) {
    m_claimAfterMs = MonotonicMs() + kHandOverMs;
    Propose(OwnershipRecordKind::Release);
    StepDown("a larger instance is available");
  }
}

void Elector::StepDown(std::string_view aReason)
{
  if (m_token != 0) {
    m_endedToken = std::exchange(m_token, 0);
    LogEvent("owner", "stepped-down", "process={} token={} reason={}", m_process, m_endedToken,
             aReason);
    m_handlers.m_onLost(aReason);
  }
}

void Elector::Tick()
{
  const Millis now = MonotonicMs();
  if (m_inFlight || m_retired) {
    return;
  }
  if (m_token != 0) {
    if (!HoldsOwnershipLease(now) || now - m_sentMs >= kRenewalIntervalMs) {
      Propose(OwnershipRecordKind::Renewal);
    }
  } else if (now >= m_claimAfterMs && (HasOwnerExited(m_view, m_process, m_address) ||
                                       MayClaim(m_view, now, m_claimDelay() + m_claimJitterMs,
                                                m_handlers.m_isOwnerSilent()))) {
    Propose(OwnershipRecordKind::Claim);
  }
}

void Elector::Propose(OwnershipRecordKind aKind)
{
  m_inFlight = true;
  m_sentMs = MonotonicMs();
  const OwnershipRecord record{ aKind,   m_process, m_address,
                                m_token, m_sentMs,  OwnershipLeaseMs(m_recentAppendMs) };
  platform::AppendRequest request;
  request.m_partition.m_topic = kTopic;
  request.m_records = { platform::EncodeKeyed(kKey, EncodeOwnershipRecord(record)) };
  request.m_at = m_view.m_next;
  const bool isReadable = MonotonicMs() - m_view.m_currentMs < kReadGapMs;
  request.m_timeoutMs = isReadable ? kAppendTimeoutMs : kProbeTimeoutMs;
  m_store.Append(std::move(request), [this, record, alive = std::weak_ptr<int>(m_alive)](
                                       const platform::AppendResult& aResult) {
    if (!alive.lock() || !m_inFlight || record.m_sentMs != m_sentMs) {
      return; // The tail has shown that the record is stored, and its response was lost or late.
    }
    EndCall();
    if (aResult.m_outcome == platform::AppendOutcome::Stored) {
      Apply(record, aResult.m_first);
    } else {
      if (record.m_kind == OwnershipRecordKind::Claim) {
        m_claimAfterMs = MonotonicMs() + BackOffMs(kClaimBackOff, m_failedClaims++);
      }
      // The tail of the topic shows whether a record without a response was stored.
      LogEvent("owner", "append-failed", "kind={} outcome={} at={}",
               static_cast<int>(record.m_kind), static_cast<int>(aResult.m_outcome), m_view.m_next);
    }
  });
}

void Elector::EndCall()
{
  m_inFlight = false;
  // A slow call takes effect at once and decays over the next calls.
  m_recentAppendMs =
    std::max(MonotonicMs() - m_sentMs, m_recentAppendMs * kAppendTimeDecayPercent / 100);
}

void Elector::OnRecord(const std::string& aKey, const std::optional<std::string>& aValue,
                       Offset aOffset)
{
  if (aKey == kKey && aOffset < m_view.m_next) {
    return;
  }
  const auto record = aValue ? DecodeOwnershipRecord(*aValue) : std::nullopt;
  std::string_view validationError = "no valid ownership record";
  if (aKey != kKey) {
    validationError = "the key is unknown";
  } else if (record) {
    validationError = ValidationErrorOf(m_view, aOffset, *record);
    if (validationError.empty() && record->m_process == m_process &&
        record->m_sentMs > MonotonicMs()) {
      validationError = "the record names this process, which has not sent it";
    }
  }
  if (validationError.empty()) {
    Apply(*record, aOffset);
    return;
  }
  LogEvent("owner", "record-unreadable", "key={} offset={} bytes={} cause={}", Printable(aKey),
           aOffset, aValue ? aValue->size() : 0, validationError);
  m_handlers.m_onUnreadable();
  if (aKey == kKey) {
    SkipOwnershipRecord(m_view, MonotonicMs());
  }
}

void Elector::Apply(const OwnershipRecord& aRecord, Offset aOffset)
{
  if (aOffset < m_view.m_next) {
    return;
  }
  const FencingToken before = m_view.m_token;
  ApplyOwnershipRecord(m_view, aOffset, aRecord, MonotonicMs());
  if (m_inFlight && aRecord.m_process == m_process && aRecord.m_sentMs == m_sentMs) {
    EndCall();
  }
  if (m_view.m_token != before) {
    LogEvent("owner", "changed", "token={} process={} offset={}", m_view.m_token, m_view.m_owner,
             aOffset);
  }
  if (m_view.m_owner != m_process) {
    if (m_token != 0 && m_view.m_token != m_token) {
      StepDown("another process owns the fleet");
    }
    return;
  }
  // A renewal that was in flight when the ownership ended must not resume it: the committer would
  // restart its sequence numbers, and the store would treat its appends as repeats.
  if (m_retired || m_view.m_token == m_endedToken) {
    return;
  }
  if (aRecord.m_sentMs >= m_confirmedMs) {
    m_confirmedMs = aRecord.m_sentMs;
    m_ownershipLeaseMs = aRecord.m_ownershipLeaseMs;
  }
  if (m_token != m_view.m_token) {
    m_token = m_view.m_token;
    m_failedClaims = 0;
    m_handlers.m_onOwner(m_token, aRecord.m_sentMs);
  }
}

} // namespace pistachiostand::fleet
