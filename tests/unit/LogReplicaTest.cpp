#include "pistachiostand/process/LogReplica.h"

#include "pistachiostand/process/RecordCodec.h"
#include "pistachiostand/process/SnapshotCodec.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

class LogReplicaTest : public ::testing::Test
{
protected:
  static std::string Encoded(RecordBody aBody)
  {
    return EncodeRecord({ 0, "e1", std::move(aBody) });
  }

  /// \brief Ticks of a log that begins at offset 0, one second apart.
  static std::vector<std::string> Ticks(int aFirst, int aCount)
  {
    std::vector<std::string> records;
    records.reserve(static_cast<std::size_t>(aCount));
    for (int i = 0; i < aCount; ++i) {
      records.push_back(Encoded(Tick{ (aFirst + i + 1) * Millis{ 1'000 } }));
    }
    return records;
  }

  static FleetState StateAt(int aCount)
  {
    LogReplica reader{ [](const LogEntry&, const ApplyResult&) {} };
    reader.Feed(0, Ticks(0, aCount));
    return reader.State();
  }

  static std::vector<std::string> SnapshotOf(const FleetState& aState,
                                             std::size_t aPartBytes = kSnapshotPartBytes)
  {
    std::vector<std::string> records;
    for (auto& part : MakeSnapshot(aState, aPartBytes)) {
      records.push_back(Encoded(std::move(part)));
    }
    return records;
  }

  /// \brief Parts small enough that every state takes several.
  static std::vector<std::string> PartsOf(const FleetState& aState)
  {
    return SnapshotOf(aState, EncodeState(aState).size() / 2 + 1);
  }

  std::vector<Offset> m_applied;
  LogReplica m_replica{ [this](const LogEntry& aEntry, const ApplyResult&) {
    m_applied.push_back(aEntry.m_offset);
  } };
};

// Guards against a first daemon that never becomes ready on a new log.
TEST_F(LogReplicaTest, OnEndOfLog_OfEmptyLog_Loads)
{
  EXPECT_FALSE(m_replica.IsLoaded());
  EXPECT_TRUE(m_replica.OnEndOfLog());
  EXPECT_TRUE(m_replica.IsLoaded());
  EXPECT_EQ(m_replica.NextOffset(), 0U);
}

// Guards against a reader that waits for a snapshot although it has read everything.
TEST_F(LogReplicaTest, Feed_FromOffsetZero_AppliesAtOnce)
{
  m_replica.Feed(0, Ticks(0, 3));
  EXPECT_TRUE(m_replica.IsLoaded());
  EXPECT_EQ(m_replica.State(), StateAt(3));
  EXPECT_EQ(m_applied, (std::vector<Offset>{ 0, 1, 2 }));
}

// Guards against a state that misses the expired records.
TEST_F(LogReplicaTest, OnEndOfLog_AfterExpiryWithoutSnapshot_StaysUnloaded)
{
  m_replica.Feed(10, Ticks(10, 3));
  EXPECT_FALSE(m_replica.OnEndOfLog());
  EXPECT_FALSE(m_replica.IsLoaded());
  EXPECT_EQ(m_replica.NextOffset(), 13U);
  EXPECT_TRUE(m_applied.empty());
}

// Guards against a snapshot that is loaded without the records that follow it.
TEST_F(LogReplicaTest, OnEndOfLog_AfterExpiryWithSnapshot_AppliesTheRest)
{
  m_replica.Feed(10, SnapshotOf(StateAt(10)));
  m_replica.Feed(11, Ticks(10, 2));
  ASSERT_TRUE(m_replica.OnEndOfLog());
  EXPECT_EQ(m_replica.State().m_nextOffset, 13U);
  EXPECT_EQ(m_replica.State().m_timeMs, 12'000);
  EXPECT_EQ(m_replica.LastSnapshotOffset(), 10U);
  EXPECT_EQ(m_replica.DigestMismatches(), 0U);
}

// Guards against records before the snapshot that are applied twice.
TEST_F(LogReplicaTest, OnEndOfLog_WithRecordsBeforeSnapshot_SkipsThem)
{
  m_replica.Feed(8, Ticks(8, 2));
  m_replica.Feed(10, SnapshotOf(StateAt(10)));
  ASSERT_TRUE(m_replica.OnEndOfLog());
  EXPECT_EQ(m_applied, (std::vector<Offset>{ 10 }));
}

// Guards against a snapshot of which a part was never written.
TEST_F(LogReplicaTest, OnEndOfLog_WithPartMissing_StaysUnloaded)
{
  const auto parts = PartsOf(StateAt(10));
  ASSERT_EQ(parts.size(), 2U);
  m_replica.Feed(10, { parts.back() });
  EXPECT_FALSE(m_replica.OnEndOfLog());
  m_replica.Feed(11, PartsOf(StateAt(11)));
  EXPECT_TRUE(m_replica.OnEndOfLog());
}

// Guards against a snapshot whose covered offset lies in the expired part of the log.
TEST_F(LogReplicaTest, OnEndOfLog_WithSnapshotOlderThanTheLog_StaysUnloaded)
{
  m_replica.Feed(10, SnapshotOf(StateAt(9)));
  EXPECT_FALSE(m_replica.OnEndOfLog());
}

// Guards against a late snapshot of a paused process that hides a usable one.
TEST_F(LogReplicaTest, OnEndOfLog_WithLateOlderSnapshotAtTheEnd_UsesTheNewer)
{
  m_replica.Feed(10, SnapshotOf(StateAt(10)));
  m_replica.Feed(11, SnapshotOf(StateAt(5)));
  ASSERT_TRUE(m_replica.OnEndOfLog());
  EXPECT_EQ(m_replica.State().m_nextOffset, 12U);
  EXPECT_EQ(m_replica.State().m_timeMs, 10'000);
}

// Guards against using a snapshot whose covered offset differs from the offset of its state.
TEST_F(LogReplicaTest, OnEndOfLog_WithSnapshotOfAnotherOffset_StaysUnloaded)
{
  auto parts = MakeSnapshot(StateAt(5));
  ASSERT_EQ(parts.size(), 1U);
  parts.front().m_covered = 10;
  m_replica.Feed(10, { Encoded(parts.front()) });
  EXPECT_FALSE(m_replica.OnEndOfLog());
}

// Guards against a reader that continues across a gap, and against one that discards its state.
TEST_F(LogReplicaTest, Feed_WithGap_KeepsStateUntilASnapshotCoversIt)
{
  m_replica.Feed(0, Ticks(0, 3));
  m_replica.Feed(10, Ticks(10, 1));
  EXPECT_FALSE(m_replica.IsLoaded());
  EXPECT_EQ(m_replica.State(), StateAt(3));
  EXPECT_FALSE(m_replica.OnEndOfLog());
  m_replica.Feed(11, SnapshotOf(StateAt(11)));
  ASSERT_TRUE(m_replica.OnEndOfLog());
  EXPECT_EQ(m_replica.State().m_timeMs, 11'000);
}

// Guards against rolling back the state when old records arrive again, for example from a peer.
TEST_F(LogReplicaTest, Feed_OfKnownRecords_ChangesNothing)
{
  m_replica.Feed(0, Ticks(0, 5));
  m_replica.Feed(2, Ticks(0, 4));
  EXPECT_EQ(m_replica.State().m_timeMs, 5'000);
  EXPECT_EQ(m_replica.NextOffset(), 6U);
  EXPECT_EQ(m_applied, (std::vector<Offset>{ 0, 1, 2, 3, 4, 5 }));
}

// Guards against a running reader that takes its state from a snapshot record.
TEST_F(LogReplicaTest, Feed_OfSnapshot_ChangesOnlyTheOffset)
{
  m_replica.Feed(0, Ticks(0, 5));
  m_replica.Feed(5, SnapshotOf(StateAt(2)));
  EXPECT_EQ(m_replica.State().m_timeMs, 5'000);
  EXPECT_EQ(m_replica.State().m_nextOffset, 6U);
}

// Guards against a reader that never starts in a zone without the platform.
TEST_F(LogReplicaTest, Adopt_OfNewerState_LoadsAndContinuesThere)
{
  EXPECT_TRUE(m_replica.Adopt(StateAt(7)));
  EXPECT_TRUE(m_replica.IsLoaded());
  EXPECT_EQ(m_replica.NextOffset(), 7U);
  m_replica.Feed(7, Ticks(7, 1));
  EXPECT_EQ(m_replica.State(), StateAt(8));
}

// Guards against replacing the state with the older one of a lagging peer.
TEST_F(LogReplicaTest, Adopt_OfOlderOrEqualState_IsRefused)
{
  m_replica.Feed(0, Ticks(0, 5));
  EXPECT_FALSE(m_replica.Adopt(StateAt(4)));
  EXPECT_FALSE(m_replica.Adopt(StateAt(5)));
  EXPECT_EQ(m_replica.State(), StateAt(5));
}

// Guards against a reader that skips the records between a peer's copy and those that it has read.
TEST_F(LogReplicaTest, Adopt_BelowRecordsAfterAGap_ReadsOnFromTheCopy)
{
  m_replica.Feed(10, Ticks(10, 2));
  EXPECT_TRUE(m_replica.Adopt(StateAt(7)));
  EXPECT_EQ(m_replica.NextOffset(), 7U);
  m_replica.Feed(7, Ticks(7, 5));
  EXPECT_EQ(m_replica.State(), StateAt(12));
}

// Guards against readers that differ because one of them stopped at a corrupt record.
TEST_F(LogReplicaTest, Feed_OfCorruptRecord_CountsItAndGoesOn)
{
  m_replica.Feed(0, { "garbage", Encoded(Tick{ 1'000 }), {} });
  EXPECT_EQ(m_replica.CorruptRecords(), 2U);
  EXPECT_EQ(m_replica.State().m_nextOffset, 3U);
  EXPECT_EQ(m_replica.State().m_timeMs, 1'000);
}

// Guards against a relay that misses records or repeats them.
TEST_F(LogReplicaTest, Recent_InsideTheBuffer_ReturnsTheRecords)
{
  const auto records = Ticks(0, 4);
  m_replica.Feed(0, records);
  EXPECT_EQ(m_replica.Recent(2, 1'000'000), (std::vector{ records[2], records[3] }));
  EXPECT_EQ(m_replica.Recent(4, 1'000'000), std::vector<std::string>{});
  EXPECT_EQ(m_replica.Recent(5, 1'000'000), std::nullopt);
  EXPECT_EQ(m_replica.Recent(0, 1), std::vector{ records[0] });
}

// Guards against a buffer that grows with the log.
TEST_F(LogReplicaTest, Recent_OfMoreThanTheBuffer_DropsTheOldest)
{
  const std::string large = Encoded(Submit{ "t/k", "t", "s", 1, std::string(1 << 20U, 'x'), {} });
  m_replica.Feed(0, { 6, large });
  EXPECT_EQ(m_replica.Recent(0, 1), std::nullopt);
  std::size_t bytes = 0;
  for (Offset first = 0; first < 6; ++first) {
    if (const auto kept = m_replica.Recent(first, kMaxRecentBytes)) {
      bytes = std::max(bytes, kept->size() * large.size());
    }
  }
  EXPECT_GT(bytes, 0U);
  EXPECT_LE(bytes, kMaxRecentBytes);
}

// Guards against relaying records from before a gap under later offsets.
TEST_F(LogReplicaTest, Recent_AfterAGap_HoldsOnlyLaterRecords)
{
  m_replica.Feed(0, Ticks(0, 3));
  const auto later = Ticks(10, 2);
  m_replica.Feed(10, later);
  EXPECT_EQ(m_replica.Recent(2, 1'000), std::nullopt);
  EXPECT_EQ(m_replica.Recent(9, 1'000), std::nullopt);
  EXPECT_EQ(m_replica.Recent(10, 1'000), later);
}

// Guards against states that differ between readers without a counted digest mismatch.
TEST_F(LogReplicaTest, Digest_OfAnotherState_IsCounted)
{
  auto other = StateAt(5);
  other.m_timeMs += 1;
  m_replica.Feed(0, Ticks(0, 5));
  m_replica.Feed(5, PartsOf(other));
  EXPECT_EQ(m_replica.DigestMismatches(), 1U);
}

// Guards against counting a digest mismatch for equal states.
TEST_F(LogReplicaTest, Digest_OfTheSameState_IsNotCounted)
{
  m_replica.Feed(0, Ticks(0, 5));
  m_replica.Feed(5, PartsOf(StateAt(5)));
  EXPECT_EQ(m_replica.NextOffset(), 7U);
  EXPECT_EQ(m_replica.DigestMismatches(), 0U);
  EXPECT_EQ(m_replica.LastSnapshotOffset(), 5U);
}

// Guards against counting a digest mismatch when another record has the offset of a lost part.
TEST_F(LogReplicaTest, Digest_OfSnapshotWithLostFirstPart_IsNotCompared)
{
  m_replica.Feed(0, Ticks(0, 5));
  const auto parts = PartsOf(StateAt(5));
  m_replica.Feed(5, Ticks(5, 1));
  m_replica.Feed(6, { parts.back() });
  EXPECT_EQ(m_replica.DigestMismatches(), 0U);
}

// Guards against delaying the next snapshot because of an incomplete one that cannot be loaded.
TEST_F(LogReplicaTest, LastSnapshotOffset_OfIncompleteSnapshot_StaysBehind)
{
  m_replica.Feed(0, Ticks(0, 5));
  m_replica.Feed(5, { PartsOf(StateAt(5)).back() });
  EXPECT_EQ(m_replica.LastSnapshotOffset(), 0U);
}

} // namespace
} // namespace pistachiostand
