#include "pistachiostand/process/Membership.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

constexpr Millis kTimeoutMs = 3'000;

class MembershipTest : public ::testing::Test
{
protected:
  static PeerStatus Peer(const EntryId& aEntry, Millis aLastHeartbeatMs,
                         std::uint64_t aIncarnation = 1)
  {
    PeerStatus status;
    status.m_entry = aEntry;
    status.m_process = ProcessId(aEntry, aIncarnation);
    status.m_zone = "z1";
    status.m_lastHeartbeatMs = aLastHeartbeatMs;
    return status;
  }

  /// \brief Number of keys out of 1,000 that this process owns.
  [[nodiscard]] int OwnedKeys(Millis aNowMs) const
  {
    int owned = 0;
    for (int i = 0; i < 1'000; ++i) {
      owned += m_membership.IsOwner("job/" + std::to_string(i), aNowMs) ? 1 : 0;
    }
    return owned;
  }

  const EntryId m_self = ProcessId("e1", 1);
  Membership m_membership{ m_self, "z1", kTimeoutMs };
};

// Guards against keys that have no owner while no peer is known.
TEST_F(MembershipTest, IsOwner_WithoutPeers_IsAlwaysTrue)
{
  EXPECT_EQ(OwnedKeys(0), 1'000);
  EXPECT_FALSE(m_membership.HasLivePeer(0));
  EXPECT_EQ(m_membership.LiveCount(0), 1U);
}

// Guards against keys with two owners or none.
TEST_F(MembershipTest, IsOwner_InEachProcess_NamesExactlyOne)
{
  Membership second{ ProcessId("e2", 1), "z1", kTimeoutMs };
  Membership third{ ProcessId("e3", 1), "z1", kTimeoutMs };
  m_membership.OnHeartbeat(Peer("e2", 0));
  m_membership.OnHeartbeat(Peer("e3", 0));
  second.OnHeartbeat(Peer("e1", 0));
  second.OnHeartbeat(Peer("e3", 0));
  third.OnHeartbeat(Peer("e1", 0));
  third.OnHeartbeat(Peer("e2", 0));
  for (int i = 0; i < 1'000; ++i) {
    const std::string key = "job/" + std::to_string(i);
    const int owners = static_cast<int>(m_membership.IsOwner(key, 0)) +
                       static_cast<int>(second.IsOwner(key, 0)) +
                       static_cast<int>(third.IsOwner(key, 0));
    EXPECT_EQ(owners, 1) << key;
  }
}

// Guards against an uneven share of the work.
TEST_F(MembershipTest, IsOwner_OfManyKeys_IsAboutEven)
{
  m_membership.OnHeartbeat(Peer("e2", 0));
  m_membership.OnHeartbeat(Peer("e3", 0));
  EXPECT_NEAR(OwnedKeys(0), 333, 60);
}

// Guards against keys that stay with an unresponsive peer, and against declaring a peer lost early.
TEST_F(MembershipTest, IsOwner_AfterPeerFellSilent_TakesOver)
{
  m_membership.OnHeartbeat(Peer("e2", 1'000));
  EXPECT_LT(OwnedKeys(1'000 + kTimeoutMs), 1'000);
  EXPECT_EQ(OwnedKeys(1'001 + kTimeoutMs), 1'000);
}

// Guards against work that is given to a process that is about to stop.
TEST_F(MembershipTest, Candidates_WithDrainingPeer_LeaveItOut)
{
  auto peer = Peer("e2", 0);
  peer.m_draining = true;
  m_membership.OnHeartbeat(peer);
  EXPECT_EQ(OwnedKeys(0), 1'000);
  EXPECT_EQ(m_membership.Candidates(0), std::vector{ m_self });
}

// Guards against a takeover from a draining process that still completes its requests.
TEST_F(MembershipTest, IsProcessAlive_OfDrainingPeer_IsTrue)
{
  auto peer = Peer("e2", 0);
  peer.m_draining = true;
  m_membership.OnHeartbeat(peer);
  EXPECT_TRUE(m_membership.IsProcessAlive(ProcessId("e2", 1), 0));
  EXPECT_EQ(m_membership.LiveCount(0), 2U);
}

// Guards against claims of a dead process that count as live because its entry instance restarted
// under the same id.
TEST_F(MembershipTest, IsProcessAlive_AfterRestartUnderTheSameId_KnowsTheOldIsGone)
{
  m_membership.OnHeartbeat(Peer("e2", 0, 1));
  m_membership.OnHeartbeat(Peer("e2", 100, 2));
  EXPECT_FALSE(m_membership.IsProcessAlive(ProcessId("e2", 1), 100));
  EXPECT_TRUE(m_membership.IsProcessAlive(ProcessId("e2", 2), 100));
  EXPECT_EQ(m_membership.LiveCount(100), 2U);
}

// Guards against treating another process of this entry instance as this one.
TEST_F(MembershipTest, IsProcessAlive_OfOwnEarlierRun_IsFalse)
{
  EXPECT_TRUE(m_membership.IsProcessAlive(m_self, 0));
  EXPECT_FALSE(m_membership.IsProcessAlive(ProcessId("e1", 2), 0));
}

// Guards against a view that counts as confirmed by a peer that is gone or has no confirmation.
TEST_F(MembershipTest, LastConfirmed_OfPeers_IsTheLatestOfTheLiveOnes)
{
  EXPECT_EQ(m_membership.LastConfirmed(0), std::nullopt);
  m_membership.OnHeartbeat(Peer("e2", 1'000));
  EXPECT_EQ(m_membership.LastConfirmed(1'000), std::nullopt);
  auto third = Peer("e3", 1'000);
  third.m_confirmedMs = 900;
  m_membership.OnHeartbeat(third);
  auto fourth = Peer("e4", 2'000);
  fourth.m_confirmedMs = -500;
  m_membership.OnHeartbeat(fourth);
  EXPECT_EQ(m_membership.LastConfirmed(2'000), 900);
  EXPECT_EQ(m_membership.LastConfirmed(1'001 + kTimeoutMs), -500);
  EXPECT_EQ(m_membership.LastConfirmed(2'001 + kTimeoutMs), std::nullopt);
}

// Guards against a reboot while a peer has not read the drain yet.
TEST_F(MembershipTest, MinReadOffset_OfLivePeers_IsTheSmallestOffset)
{
  auto second = Peer("e2", 0);
  second.m_nextOffset = 7;
  auto third = Peer("e3", 2'000);
  third.m_nextOffset = 12;
  m_membership.OnHeartbeat(second);
  m_membership.OnHeartbeat(third);
  EXPECT_EQ(m_membership.MinReadOffset(10, 2'000, kTimeoutMs), 7U);
  EXPECT_EQ(m_membership.MinReadOffset(10, 1 + kTimeoutMs, kTimeoutMs), 10U);
}

// Guards against a reboot while a peer has requests in flight on the instance.
TEST_F(MembershipTest, InFlight_OfLivePeers_IsTheSum)
{
  auto second = Peer("e2", 0);
  second.m_inFlight = { { "i1", 2 }, { "i2", 1 } };
  auto third = Peer("e3", 0);
  third.m_inFlight = { { "i1", 3 } };
  m_membership.OnHeartbeat(second);
  m_membership.OnHeartbeat(third);
  EXPECT_EQ(m_membership.InFlight(0, kTimeoutMs),
            (std::map<InstanceId, std::uint32_t>{ { "i1", 5 }, { "i2", 1 } }));
  EXPECT_TRUE(m_membership.InFlight(1 + kTimeoutMs, kTimeoutMs).empty());
}

// Guards against new requests to a server that has reported only to a peer that it is leaving.
TEST_F(MembershipTest, Leaving_OfLivePeers_IsTheUnion)
{
  auto second = Peer("e2", 0);
  second.m_leaving = { "i1" };
  auto third = Peer("e3", 0);
  third.m_leaving = { "i2", "i1" };
  m_membership.OnHeartbeat(second);
  m_membership.OnHeartbeat(third);
  EXPECT_EQ(m_membership.Leaving(0), (std::set<InstanceId>{ "i1", "i2" }));
}

// Guards against reading from a peer that is not ahead, or from one that is gone.
TEST_F(MembershipTest, MostAdvancedPeer_OfLivePeers_IsTheFurthest)
{
  auto second = Peer("e2", 0);
  second.m_nextOffset = 20;
  auto third = Peer("e3", 2'000);
  third.m_nextOffset = 15;
  m_membership.OnHeartbeat(second);
  m_membership.OnHeartbeat(third);
  EXPECT_EQ(m_membership.MostAdvancedPeer(10, 2'000), "e2");
  EXPECT_EQ(m_membership.MostAdvancedPeer(10, 1 + kTimeoutMs), "e3");
  EXPECT_EQ(m_membership.MostAdvancedPeer(20, 2'000), std::nullopt);
}

} // namespace
} // namespace pistachiostand
