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
    DropKept();
  } else if (aOffset == 0) {
    m_loaded = true;
  }
  Keep(aOffset, aBytes);
  m_pendingNext = aOffset + 1;
  Reason reason;
  auto record = DecodeRecord(aBytes, reason);
  if (!record) {
    ++m_corruptRecords;
    // An empty snapshot changes no state, so the offset advances alike in every reader.
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
  const Verdict verdict = Apply(m_state, aEntry.m_offset, aEntry.m_record);
  m_observer(aEntry, verdict);
}

/// \brief Compares the digest of a snapshot with the own state at that offset, if it is known.
void LogReplica::CheckSnapshot(const Snapshot& aSnapshot)
{
  // Only at the first part can the state of the covered offset still be at hand: with a later part,
  // a foreign record may stand in the place of a part that was lost.
  if (aSnapshot.m_parts != 0 && aSnapshot.m_part == 0 &&
      aSnapshot.m_covered == m_state.m_nextOffset &&
      Hash(EncodeState(m_state)) != aSnapshot.m_digest) {
    ++m_digestMismatches;
  }
  NotePart(aSnapshot);
}

/// \brief Counts a snapshot once all its parts were seen in order.
void LogReplica::NotePart(const Snapshot& aSnapshot)
{
  if (aSnapshot.m_part == 0) {
    m_openCovered = aSnapshot.m_covered;
    m_openParts = 0;
  }
  if (aSnapshot.m_covered != m_openCovered || aSnapshot.m_part != m_openParts) {
    return;
  }
  ++m_openParts;
  if (m_openParts == aSnapshot.m_parts) {
    m_snapshotCovered = std::max(m_snapshotCovered, aSnapshot.m_covered);
  }
}

bool LogReplica::ReachEnd()
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
  DropKept();
  return true;
}

std::optional<std::vector<std::string>> LogReplica::Recent(Offset aFrom,
                                                           std::size_t aMaxBytes) const
{
  if (aFrom < m_keptFirst || aFrom > m_keptFirst + m_kept.size()) {
    return std::nullopt;
  }
  std::vector<std::string> records;
  std::size_t bytes = 0;
  for (auto each = m_kept.begin() + static_cast<std::ptrdiff_t>(aFrom - m_keptFirst);
       each != m_kept.end() && bytes < aMaxBytes; ++each) {
    bytes += each->size();
    records.push_back(*each);
  }
  return records;
}

void LogReplica::Keep(Offset aOffset, const std::string& aBytes)
{
  if (m_kept.empty()) {
    m_keptFirst = aOffset;
  }
  m_kept.push_back(aBytes);
  m_keptBytes += aBytes.size();
  while (m_keptBytes > kRelayBytes) {
    m_keptBytes -= m_kept.front().size();
    m_kept.pop_front();
    ++m_keptFirst;
  }
}

void LogReplica::DropKept()
{
  m_kept.clear();
  m_keptBytes = 0;
  m_keptFirst = m_pendingNext;
}

} // namespace pistachiostand
