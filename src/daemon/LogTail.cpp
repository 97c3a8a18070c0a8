#include "LogTail.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/process/SnapshotCodec.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <string>

namespace pistachiostand {

namespace {

constexpr std::uint32_t kReadRecords = 512;
constexpr std::chrono::milliseconds kReadRetryDelay{ 200 };
constexpr Millis kFetchIntervalMs = 200;
/// Records are fetched from peers only when the platform has not responded for this long.
constexpr Millis kPlatformUnreachableMs = 1'500;
constexpr std::size_t kRelayBatchBytes = std::size_t{ 256 } * 1024;

} // namespace

LogTail::LogTail(Runtime& aRuntime)
  : m_runtime(aRuntime)
  , m_startedMs(MonotonicMs())
  , m_retry(aRuntime.m_loop)
  , m_appendTicker(aRuntime.m_loop, BatchIntervalMs(aRuntime.m_settings.m_peers.size() + 1),
                   [this] { AppendBatch(); })
  , m_fetchTicker(aRuntime.m_loop, kFetchIntervalMs, [this] { FetchFromPeer(); })
{
}

void LogTail::Start(PeerMesh& aPeers)
{
  m_peers = &aPeers;
  ReadNext();
}

void LogTail::ReadNext()
{
  const Millis wait = m_ready ? m_runtime.m_settings.m_limits.m_tailWaitMs : 0;
  // The state is as recent as the start of the read, because a process that was paused may receive
  // an old response.
  m_readStartedMs = MonotonicMs();
  m_runtime.m_platform.Read(m_runtime.m_replica.NextOffset(), kReadRecords, wait,
                            [this](const auto& aResult) { OnRead(aResult); });
}

void LogTail::OnRead(const std::optional<ReadResult>& aResult)
{
  if (!aResult) {
    m_platformReachable = false;
    if (!std::exchange(m_loggedUnreachable, true)) {
      spdlog::warn("log: The platform's log cannot be read. Reading is repeated.");
    }
    ReadLater();
    return;
  }
  if (std::exchange(m_loggedUnreachable, false)) {
    spdlog::info("log: The platform's log can be read again.");
  }
  m_platformReachable = true;
  m_lastReadMs = MonotonicMs();
  const Offset before = m_runtime.m_replica.NextOffset();
  m_runtime.m_replica.Feed(aResult->m_first, aResult->m_records);
  const bool atEnd = m_runtime.m_replica.NextOffset() >= aResult->m_next;
  if (atEnd) {
    OnEndOfLog();
  }
  // If expired records prevent progress, the platform responds to each read at once, so the next
  // read is delayed.
  const bool blocked = !atEnd || !m_runtime.m_replica.IsLoaded();
  if (blocked && m_runtime.m_replica.NextOffset() == before) {
    ReadLater();
  } else {
    ReadNext();
  }
}

void LogTail::ReadLater()
{
  m_retry.expires_after(kReadRetryDelay);
  m_retry.async_wait([this](const std::error_code& aError) {
    if (!aError) {
      ReadNext();
    }
  });
}

void LogTail::OnEndOfLog()
{
  if (!m_runtime.m_replica.OnEndOfLog()) {
    if (!std::exchange(m_loggedGap, true)) {
      spdlog::error("log: Old records have expired and no snapshot covers them. "
                    "Waiting for the state of a peer.");
    }
    return;
  }
  m_loggedGap = false;
  m_runtime.m_confirmedMs = m_readStartedMs;
  if (!std::exchange(m_ready, true)) {
    spdlog::info("log: Ready at offset {}, revision {}.", m_runtime.m_replica.NextOffset(),
                 m_runtime.State().m_revision);
  }
}

void LogTail::AppendBatch()
{
  const Millis now = MonotonicMs();
  m_runtime.m_proposals.Expire(now);
  const auto batch = m_runtime.m_proposals.TakeBatch(now);
  if (batch.empty()) {
    return;
  }
  m_runtime.m_platform.Append(batch, [this](AppendResult aResult) {
    const Millis at = MonotonicMs();
    switch (aResult) {
      case AppendResult::Appended:
        m_runtime.m_proposals.OnAppended(at);
        break;
      case AppendResult::NotAppended:
        m_runtime.m_proposals.OnNotAppended(at);
        break;
      case AppendResult::Unknown:
        m_runtime.m_proposals.OnResponseLost(at);
        break;
    }
  });
}

/// \brief Fetches records from the most advanced peer while the platform does not respond, or the
/// whole state while none is loaded.
void LogTail::FetchFromPeer()
{
  const Millis now = MonotonicMs();
  const bool unreachable = !m_platformReachable && now - m_lastReadMs > kPlatformUnreachableMs;
  if (m_peers == nullptr || (!unreachable && m_runtime.m_replica.IsLoaded())) {
    return;
  }
  const Offset own = m_runtime.m_replica.IsLoaded() ? m_runtime.m_replica.NextOffset() : 0;
  const auto peer = m_runtime.m_membership.MostAdvancedPeer(own, now);
  if (!peer) {
    return;
  }
  if (m_runtime.m_replica.IsLoaded()) {
    m_peers->Send(*peer, FetchLog{ own });
  } else {
    m_peers->Send(*peer, FetchState{ m_runtime.State().m_nextOffset });
  }
}

void LogTail::OnPeerMessage(const Hello& aFrom, const PeerMessage& aMessage)
{
  if (const auto* fetch = std::get_if<FetchLog>(&aMessage)) {
    SendRecords(aFrom.m_entry, fetch->m_from);
  } else if (const auto* batch = std::get_if<LogBatch>(&aMessage)) {
    // A batch after a gap is ignored: records cannot be skipped, so the state is needed instead.
    if (m_runtime.m_replica.IsLoaded() && batch->m_first <= m_runtime.m_replica.NextOffset()) {
      m_runtime.m_replica.Feed(batch->m_first, batch->m_records);
    }
  } else if (const auto* state = std::get_if<FetchState>(&aMessage)) {
    SendState(aFrom.m_entry, state->m_newerThan);
  } else if (const auto* copy = std::get_if<StateCopy>(&aMessage)) {
    AdoptState(*copy);
  }
}

void LogTail::SendRecords(const EntryId& aPeer, Offset aFrom)
{
  if (!m_runtime.m_replica.IsLoaded()) {
    return;
  }
  if (auto records = m_runtime.m_replica.Recent(aFrom, kRelayBatchBytes)) {
    m_peers->Send(aPeer, LogBatch{ aFrom, std::move(*records) });
  } else {
    SendState(aPeer, aFrom);
  }
}

void LogTail::SendState(const EntryId& aPeer, Offset aNewerThan)
{
  if (m_runtime.m_replica.IsLoaded() && m_runtime.State().m_nextOffset > aNewerThan) {
    m_peers->Send(aPeer, StateCopy{ EncodeState(m_runtime.State()) });
  }
}

void LogTail::AdoptState(const StateCopy& aCopy)
{
  Reason reason;
  auto state = DecodeState(aCopy.m_state, reason);
  if (!state) {
    spdlog::error("log: {}", Format(reason, "peer"));
    return;
  }
  if (m_runtime.m_replica.Adopt(std::move(*state))) {
    m_ready = true;
    spdlog::info("log: Took over the state of a peer at offset {}, revision {}.",
                 m_runtime.State().m_nextOffset, m_runtime.State().m_revision);
  }
}

} // namespace pistachiostand
