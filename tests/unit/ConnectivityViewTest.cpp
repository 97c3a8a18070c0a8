#include "pistachiostand/ownership/Isolation.h"

#include <gtest/gtest.h>

namespace pistachiostand::fleet {
namespace {

class ConnectivityViewTest : public ::testing::Test
{
protected:
  static constexpr Millis kNowMs = 10'000;
};

// Guards against instances that leave the rotation when the store is unavailable to all zones,
// so that no other instance could serve their callers.
TEST_F(ConnectivityViewTest, IsIsolated_OnlyStoreOrOwnerSilent_IsFalse)
{
  EXPECT_FALSE(IsIsolated({ 0, kNowMs }, kNowMs));
  EXPECT_FALSE(IsIsolated({ kNowMs, 0 }, kNowMs));
  EXPECT_TRUE(IsIsolated({ 0, 0 }, kNowMs));
}

// Guards against an instance that leaves and rejoins the rotation because a slow store responds
// only after 0.7 s.
TEST_F(ConnectivityViewTest, IsIsolated_SilentForLessThanTheLimit_IsFalse)
{
  EXPECT_FALSE(IsIsolated({ kNowMs - kSilenceTimeoutMs + 1, 0 }, kNowMs));
  EXPECT_FALSE(IsIsolated({ 0, kNowMs - kSilenceTimeoutMs + 1 }, kNowMs));
  EXPECT_TRUE(IsIsolated({ kNowMs - kSilenceTimeoutMs, kNowMs - kSilenceTimeoutMs }, kNowMs));
}

} // namespace
} // namespace pistachiostand::fleet
