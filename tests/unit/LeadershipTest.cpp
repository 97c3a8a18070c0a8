#include "pistachiostand/ownership/Leadership.h"

#include <gtest/gtest.h>

namespace pistachiostand::fleet {
namespace {

class LeadershipTest : public ::testing::Test
{
protected:
  void Read(Offset aOffset, OwnershipRecordKind aKind, const std::string& aProcess,
            FencingToken aToken, Millis aNowMs)
  {
    ApplyOwnershipRecord(m_view, aOffset, { aKind, aProcess, "10.0.0.1:1", aToken, 0, kMinActMs },
                         aNowMs);
  }

  OwnershipView m_view;
};

// Guards against two holders of one token: each claim has an offset of its own.
TEST_F(LeadershipTest, Claims_AtLaterOffsets_HaveHigherTokens)
{
  Read(0, OwnershipRecordKind::Claim, "a", 0, 0);
  const auto first = m_view.m_token;
  Read(7, OwnershipRecordKind::Claim, "b", 0, 0);
  EXPECT_GT(m_view.m_token, first);
  EXPECT_EQ(m_view.m_owner, "b");
}

// Guards against a claim while the owner may still act.
TEST_F(LeadershipTest, MayClaim_WhileTheOwnerMayAct_IsFalse)
{
  MarkCurrent(m_view, 0);
  Read(0, OwnershipRecordKind::Claim, "a", 0, 1'000);
  EXPECT_FALSE(MayClaim(m_view, 1'000 + kMinActMs, 0));
  EXPECT_TRUE(MayClaim(m_view, 1'000 + kMinActMs + kClaimMarginMs, 0));
}

// Guards against a change of owner because the store is slow: with calls of 0.7 s the owner says a
// longer time, and others wait for it.
TEST_F(LeadershipTest, ActMs_SlowCalls_AreBridged)
{
  EXPECT_EQ(ActMs(10), kMinActMs);
  EXPECT_GT(ActMs(700), 3 * 700);
  EXPECT_LE(ActMs(60'000), kMaxActMs);
}

// Guards against an owner that is too small for the fleet while larger instances are alive.
TEST_F(LeadershipTest, ClaimDelay_SmallerInstance_WaitsLonger)
{
  EXPECT_EQ(ClaimDelayMs(0.5), 0);
  EXPECT_EQ(ClaimDelayMs(0.25), 0);
  EXPECT_GE(ClaimDelayMs(0.12), 500);
  EXPECT_LE(ClaimDelayMs(0.0), 1'000);
}

// Guards against a claim by a process that has not read the log to its end.
TEST_F(LeadershipTest, MayClaim_BeforeTheLogWasRead_IsFalse)
{
  EXPECT_FALSE(MayClaim(m_view, 100'000, 0));
}

// Guards against a wait for an owner that has given up.
TEST_F(LeadershipTest, MayClaim_AfterARelease_IsTrueAtOnce)
{
  MarkCurrent(m_view, 0);
  Read(0, OwnershipRecordKind::Claim, "a", 0, 0);
  Read(1, OwnershipRecordKind::Release, "a", 1, 10);
  EXPECT_TRUE(MayClaim(m_view, 10, 0));
}

// Guards against a record that is applied again after later ones.
TEST_F(LeadershipTest, Record_ReadAgain_ChangesNothing)
{
  Read(0, OwnershipRecordKind::Claim, "a", 0, 0);
  Read(5, OwnershipRecordKind::Claim, "b", 0, 0);
  const auto before = m_view;
  Read(0, OwnershipRecordKind::Claim, "a", 0, 500);
  EXPECT_EQ(m_view, before);
}

// Guards against a record that another version cannot read being taken for an owner.
TEST_F(LeadershipTest, Decode_DamagedRecord_IsRefused)
{
  const OwnershipRecord record{ OwnershipRecordKind::Renewal, "a", "10.0.0.1:1", 4, 9, 1 };
  const auto bytes = EncodeOwnershipRecord(record);
  EXPECT_EQ(DecodeOwnershipRecord(bytes), record);
  EXPECT_FALSE(DecodeOwnershipRecord(bytes.substr(0, bytes.size() - 1)));
}

} // namespace
} // namespace pistachiostand::fleet
