#include "pistachiostand/process/Histograms.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

class HistogramsTest : public ::testing::Test
{
protected:
  Histograms m_histograms;
};

TEST_F(HistogramsTest, Snapshot_OfUniformValues_HasQuantilesAndBuckets)
{
  for (Millis i = 0; i < 1'009; ++i) {
    AddLatency(m_histograms, "a", ServiceClass::Urgent, i * 37 % 1'009);
  }
  const auto snapshots = TakeSnapshot(m_histograms);
  ASSERT_EQ(snapshots.size(), 1U);
  EXPECT_EQ(snapshots[0].m_count, 1'009U);
  EXPECT_NEAR(snapshots[0].m_meanMs, 504, 1);
  EXPECT_NEAR(snapshots[0].m_p50Ms, 504, 20);
  EXPECT_NEAR(snapshots[0].m_p99Ms, 998, 20);
  EXPECT_EQ(snapshots[0].m_cumulative[0], 2U); // 0 and 1: a bound is part of its bucket.
  EXPECT_EQ(snapshots[0].m_cumulative.back(), 1'009U);
}

// Guards against the meaningless quantiles that the estimator gives for a few values.
TEST_F(HistogramsTest, Snapshot_OfFewValues_UsesTheBuckets)
{
  for (const Millis value : { 900, 3, 3 }) {
    AddLatency(m_histograms, "a", ServiceClass::Batch, value);
  }
  EXPECT_EQ(TakeSnapshot(m_histograms)[0].m_p50Ms, 5);
  EXPECT_EQ(TakeSnapshot(m_histograms)[0].m_p99Ms, 900);
}

// Guards against a /metrics page that grows with arbitrary tenants, and against losing their
// values.
TEST_F(HistogramsTest, Tenants_BeyondTheLimit_AreCountedTogether)
{
  m_histograms.m_maxTenants = 2;
  for (int i = 0; i < 10; ++i) {
    AddLatency(m_histograms, "t" + std::to_string(i), ServiceClass::Batch, 1);
  }
  const auto snapshots = TakeSnapshot(m_histograms);
  ASSERT_EQ(snapshots.size(), 3U);
  EXPECT_EQ(snapshots[0].m_tenant, kOtherTenants);
  EXPECT_EQ(snapshots[0].m_count, 8U);
}

} // namespace
} // namespace pistachiostand
