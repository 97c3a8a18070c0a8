#include "pistachiostand/process/LogReplica.h"

#include "pistachiostand/base/Hash.h"
#include "pistachiostand/process/Fold.h"
#include "pistachiostand/process/RecordCodec.h"
#include "pistachiostand/process/SnapshotCodec.h"

#include <algorithm>
#include <utility>

namespace pistachiostand {

LogReplica::LogReplica(RecordObserver aObserver)
  : m_observer(std::move(aObserver))
{
}

Offset LogReplica::NextOffset() const noexcept
{
  return m_pending.empty() ? std::max(m_state.m_nextOffset, m_pendingNext) : m_pendingNext;
}

void LogReplica::Feed(Offset aFirst, const std::vector<std::string>& aRecords)
{
  for (std::size_t i = 0; i < aRecords.size(); ++i) {
    FeedOne(aFirst + i, aRecords[i]);
  }
}

void LogReplica::FeedOne(Offset aOffset, const std::string& aBytes)
{
  if (aOffset < NextOffset()) {
    return;
  }
  const bool gap = aOffset > NextOffset();
  if (gap) {
    // The records in between have expired. The state stays as it is until a snapshot covers them.
    m_loaded = false;
    m_pending.clear();
    ClearRecent();
  } else if (aOffset == 0) {
    m_loaded = true;
  }
  StoreRecent(aOffset, aBytes);
  m_pendingNext = aOffset + 1;
  Reason reason;
  auto record = DecodeRecord(aBytes, reason);
  if (!record) {
    ++m_corruptRecords;
    // An empty snapshot changes no state, so the offset advances equally in every reader.
    record = Record{ 0, {}, Snapshot{} };
  }
  LogEntry entry{ aOffset, std::move(*record) };
  if (m_loaded) {
    ApplyEntry(entry);
  } else {
    m_pending.push_back(std::move(entry));
  }
}

void LogReplica::ApplyEntry(const LogEntry& aEntry)
{
  if (const auto* snapshot = std::get_if<Snapshot>(&aEntry.m_record.m_body)) {
    CheckSnapshot(*snapshot);
  }
  const ApplyResult applyResult = Apply(m_state, aEntry.m_offset, aEntry.m_record);
  m_observer(aEntry, applyResult);
}

/// \brief Compares the digest of a snapshot with this state, if it is at the covered offset.
void LogReplica::CheckSnapshot(const Snapshot& aSnapshot)
{
  // Only before the first part can this state be the one that the snapshot covers. If a part was
  // lost, another record may have its offset, and a later part would be compared with a state that
  // this record has changed.
  if (aSnapshot.m_parts != 0 && aSnapshot.m_part == 0 &&
      aSnapshot.m_covered == m_state.m_nextOffset &&
      Hash(EncodeState(m_state)) != aSnapshot.m_digest) {
    ++m_digestMismatches;
  }
  CountSnapshotPart(aSnapshot);
}

/// \brief Counts a snapshot once all its parts were seen in order.
void LogReplica::CountSnapshotPart(const Snapshot& aSnapshot)
{
  if (aSnapshot.m_part == 0) {
    m_partialCovered = aSnapshot.m_covered;
    m_partialParts = 0;
  }
  if (aSnapshot.m_covered != m_partialCovered || aSnapshot.m_part != m_partialParts) {
    return;
  }
  ++m_partialParts;
  if (m_partialParts == aSnapshot.m_parts) {
    m_lastSnapshotOffset = std::max(m_lastSnapshotOffset, aSnapshot.m_covered);
  }
}

bool LogReplica::OnEndOfLog()
{
  if (m_loaded) {
    return true;
  }
  if (m_pending.empty()) {
    // An empty log is complete; one whose records have all expired is not.
    m_loaded = m_pendingNext == 0 || m_state.m_nextOffset == m_pendingNext;
    return m_loaded;
  }
  auto snapshot = FindSnapshot(m_pending);
  if (!snapshot || snapshot->m_nextOffset < m_state.m_nextOffset) {
    return false;
  }
  m_state = std::move(*snapshot);
  m_loaded = true;
  const auto entries = std::exchange(m_pending, {});
  for (const auto& entry : entries) {
    if (entry.m_offset >= m_state.m_nextOffset) {
      ApplyEntry(entry);
    }
  }
  return true;
}

bool LogReplica::Adopt(FleetState aState)
{
  if (aState.m_nextOffset <= m_state.m_nextOffset) {
    return false;
  }
  m_state = std::move(aState);
  m_loaded = true;
  m_pending.clear();
  m_pendingNext = m_state.m_nextOffset;
  ClearRecent();
  return true;
}

std::optional<std::vector<std::string>> LogReplica::Recent(Offset aFrom,
                                                           std::size_t aMaxBytes) const
{
  if (aFrom < m_recentFirstOffset || aFrom > m_recentFirstOffset + m_recentRecords.size()) {
    return std::nullopt;
  }
  std::vector<std::string> records;
  std::size_t bytes = 0;
  for (auto each =
         m_recentRecords.begin() + static_cast<std::ptrdiff_t>(aFrom - m_recentFirstOffset);
       each != m_recentRecords.end() && bytes < aMaxBytes; ++each) {
    bytes += each->size();
    records.push_back(*each);
  }
  return records;
}

void LogReplica::StoreRecent(Offset aOffset, const std::string& aBytes)
{
  if (m_recentRecords.empty()) {
    m_recentFirstOffset = aOffset;
  }
  m_recentRecords.push_back(aBytes);
  m_recentBytes += aBytes.size();
  while (m_recentBytes > kMaxRecentBytes) {
    m_recentBytes -= m_recentRecords.front().size();
    m_recentRecords.pop_front();
    ++m_recentFirstOffset;
  }
}

void LogReplica::ClearRecent()
{
  m_recentRecords.clear();
  m_recentBytes = 0;
  m_recentFirstOffset = m_pendingNext;
}

} // namespace pistachiostand
