#include "pistachiostand/process/RunTimeEstimate.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

class RunTimeEstimateTest : public ::testing::Test
{
protected:
  void AddRunTimes(const TenantName& aTenant, Millis aFromMs, Millis aToMs, int aRounds = 1)
  {
    for (int round = 0; round < aRounds; ++round) {
      for (Millis i = 0; i < 101; ++i) { // 37 and 101 are coprime: a mixed order.
        AddRunTime(m_estimate, "builds", aTenant,
                   aFromMs + (i * 37 % 101) * (aToMs - aFromMs) / 100);
      }
    }
  }

  RunTimeEstimate m_estimate;
};

TEST_F(RunTimeEstimateTest, Quantiles_OfUniformTimes_AreClose)
{
  AddRunTimes("a", 0, 1'000, 4);
  const auto quantiles = FindRunTime(m_estimate, "builds", "a");
  ASSERT_TRUE(quantiles);
  EXPECT_NEAR(quantiles->m_p50Ms, 500, 50);
  EXPECT_NEAR(quantiles->m_p90Ms, 900, 50);
}

// Guards against using a declared run time that is wrong by 10 times once the real one is known.
TEST_F(RunTimeEstimateTest, Expected_WithFewSamples_IsDeclaredElseLearned)
{
  EXPECT_EQ(ExpectedRunMs(m_estimate, "builds", "a", 4'000), 4'000);
  AddRunTimes("a", 400, 400);
  EXPECT_EQ(ExpectedRunMs(m_estimate, "builds", "a", 4'000), 400);
  EXPECT_EQ(ExpectedRunMs(m_estimate, "builds", "unknown", 4'000), 400); // Estimate of the service.
}

// Guards against estimates that do not adapt to a change, such as a slower release.
TEST_F(RunTimeEstimateTest, Expected_AfterChange_FollowsIt)
{
  AddRunTimes("a", 100, 100, 20);
  AddRunTimes("a", 900, 900, 12);
  EXPECT_NEAR(static_cast<double>(ExpectedRunMs(m_estimate, "builds", "a", 1)), 900, 50);
}

// Guards against unbounded memory when callers send arbitrary tenants.
TEST_F(RunTimeEstimateTest, Entries_OfManyTenants_AreBounded)
{
  m_estimate.m_maxEntries = 10;
  for (int i = 0; i < 100; ++i) {
    AddRunTimes("t" + std::to_string(i), 50, 50);
  }
  EXPECT_EQ(m_estimate.m_byTenant.size(), 10U);
  EXPECT_EQ(ExpectedRunMs(m_estimate, "builds", "t99", 1), 50);
}

} // namespace
} // namespace pistachiostand
