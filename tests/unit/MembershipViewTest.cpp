#include "pistachiostand/process/Membership.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

class MembershipViewTest : public ::testing::Test
{
protected:
  static constexpr Millis kTimeoutMs = 3'000;
  static constexpr Millis kKeepMs = 20'000;
  static constexpr Millis kHeardMs = 100'000;

  void Hear(const EntryId& aEntry, Offset aNextOffset, std::optional<Millis> aConfirmedMs)
  {
    m_membership.OnHeartbeat({ aEntry,
                               aEntry + "#1",
                               "z1",
                               kHeardMs,
                               aNextOffset,
                               1,
                               aConfirmedMs,
                               false,
                               { { "b1", 2 } },
                               {} });
  }

  Membership m_membership{ "e1#1", "z1", kTimeoutMs };
};

// Guards against a reboot that ends requests of a paused entry instance because its last heartbeat
// no longer counts.
TEST_F(MembershipViewTest, InFlight_OfSilentPeer_CountsForTheTimeGiven)
{
  Hear("e2", 7, kHeardMs);
  EXPECT_EQ(m_membership.InFlight(kHeardMs + kKeepMs, kKeepMs).at("b1"), 2U);
  EXPECT_EQ(m_membership.MinReadOffset(9, kHeardMs + kKeepMs, kKeepMs), 7U);
  EXPECT_TRUE(m_membership.InFlight(kHeardMs + kKeepMs + 1, kKeepMs).empty());
  EXPECT_EQ(m_membership.MinReadOffset(9, kHeardMs + kKeepMs + 1, kKeepMs), 9U);
}

// Guards against a fleet without a planner because the selected instance cannot reach the platform.
TEST_F(MembershipViewTest, Owner_AmongReaders_IsNeverAPeerWithoutOwnRead)
{
  Hear("e2", 7, std::nullopt);
  Hear("e3", 7, kHeardMs - kKeepMs - 1);
  bool otherOwns = false;
  for (int i = 0; i < 50; ++i) {
    const auto key = "key-" + std::to_string(i);
    EXPECT_TRUE(m_membership.IsFirstChoiceAmongReaders(key, kHeardMs, kKeepMs)) << key;
    otherOwns = otherOwns || !m_membership.IsFirstChoice(key, kHeardMs);
  }
  EXPECT_TRUE(otherOwns);
}

} // namespace
} // namespace pistachiostand
