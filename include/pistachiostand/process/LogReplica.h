#pragma once

#include "pistachiostand/base/Reason.h"
#include "pistachiostand/process/FleetState.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief One reader's copy of the shared state, built from records of the platform or a peer.

namespace pistachiostand {

/// Limit of the recent records kept for peers that cannot reach the platform.
inline constexpr std::size_t kMaxRecentBytes = std::size_t{ 4 } * 1024 * 1024;

/// \brief Called for every record that is applied, after the state has changed.
using RecordObserver = std::function<void(const LogEntry&, const ApplyResult&)>;

/// \brief Applies consecutive records; loads a snapshot first if the log's beginning has expired.
///
/// The state never goes back: records below the next offset are ignored, and a snapshot or copy
/// that is older than the state is refused.
class LogReplica
{
public:
  explicit LogReplica(RecordObserver aObserver);

  [[nodiscard]] const FleetState& State() const noexcept { return m_state; }

  /// \brief True once the state is complete up to the next offset.
  [[nodiscard]] bool IsLoaded() const noexcept { return m_loaded; }

  /// \brief Offset to read from next.
  [[nodiscard]] Offset NextOffset() const noexcept;

  /// \brief Processes consecutive records from `aFirst` on and skips those already processed.
  void Feed(Offset aFirst, const std::vector<std::string>& aRecords);

  /// \brief Called when the reader has reached the end of the log. Completes loading if possible.
  ///
  /// \return false when the log holds no usable snapshot for its expired part.
  [[nodiscard]] bool OnEndOfLog();

  /// \brief Replaces the state by a copy of a peer's state if that is newer.
  bool Adopt(FleetState aState);

  /// \brief Records from `aFrom` on for a peer; nothing when they are no longer kept.
  [[nodiscard]] std::optional<std::vector<std::string>> Recent(Offset aFrom,
                                                               std::size_t aMaxBytes) const;

  /// \brief Snapshots of other processes whose digest differed from this state. Any value but 0
  /// shows a fault.
  [[nodiscard]] std::uint64_t DigestMismatches() const noexcept { return m_digestMismatches; }

  /// \brief Records that could not be decoded and were skipped by every reader.
  [[nodiscard]] std::uint64_t CorruptRecords() const noexcept { return m_corruptRecords; }

  /// \brief Offset covered by the newest complete snapshot in the log; 0 when there is none.
  [[nodiscard]] Offset LastSnapshotOffset() const noexcept { return m_lastSnapshotOffset; }

private:
  void FeedOne(Offset aOffset, const std::string& aBytes);
  void ApplyEntry(const LogEntry& aEntry);
  void CheckSnapshot(const Snapshot& aSnapshot);
  void CountSnapshotPart(const Snapshot& aSnapshot);
  void StoreRecent(Offset aOffset, const std::string& aBytes);
  void ClearRecent();

  RecordObserver m_observer;
  FleetState m_state;
  bool m_loaded{};
  std::vector<LogEntry> m_pending;         ///< Records read while not loaded.
  std::deque<std::string> m_recentRecords; ///< Encoded records before NextOffset().
  Offset m_recentFirstOffset{};
  std::size_t m_recentBytes{};
  std::uint64_t m_digestMismatches{};
  std::uint64_t m_corruptRecords{};
  Offset m_lastSnapshotOffset{};
  Offset m_partialCovered{};      ///< Covered offset of the snapshot whose parts arrive now.
  std::uint32_t m_partialParts{}; ///< Number of its parts seen so far.
  Offset m_pendingNext{};
};

} // namespace pistachiostand
