#include "src/manager/Metrics.h"

#include <gtest/gtest.h>

#include <string>

namespace pistachiostand::fleet {
namespace {

class MetricsTest : public ::testing::Test
{
protected:
  Metrics m_metrics;
};

TEST_F(MetricsTest, Answers_AreCountedByQueueStatusAndCause)
{
  CountResponse(m_metrics, "lookups", 504, "the store has not answered");
  CountResponse(m_metrics, "lookups", 504, "the store has not answered");
  const auto page = FormatMetrics(m_metrics);
  EXPECT_NE(page.find("pistachiostand_answers_total{queue=\"lookups\",status=\"504\","
                      "cause=\"the store has not answered\"} 2\n"),
            std::string::npos)
    << page;
}

// Guards against a metrics page that grows with each queue that callers name.
TEST_F(MetricsTest, Answers_OfManyQueues_AreCountedTogetherBeyondTheBound)
{
  for (std::size_t queue = 0; queue < 2 * kMaxCounters; ++queue) {
    CountResponse(m_metrics, std::to_string(queue), 200, "stored");
  }
  EXPECT_LE(m_metrics.m_counters.size(), kMaxCounters + 1);
  EXPECT_NE(FormatMetrics(m_metrics).find("{queue=\"(other)\",status=\"200\""), std::string::npos);
}

TEST_F(MetricsTest, Gauges_AreShownWithTheirLabels)
{
  m_metrics.m_gauges["subtasks_waiting{queue=\"q\",for=\"place\"}"] = 7;
  EXPECT_NE(
    FormatMetrics(m_metrics).find("pistachiostand_subtasks_waiting{queue=\"q\",for=\"place\"} 7\n"),
    std::string::npos);
}

} // namespace
} // namespace pistachiostand::fleet
