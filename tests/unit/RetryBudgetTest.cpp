#include "pistachiostand/request/RetryBudget.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

class RetryBudgetTest : public ::testing::Test
{
protected:
  int Retries(int aRequests)
  {
    int retries = 0;
    for (int i = 0; i < aRequests; ++i) {
      OnFirstAttempt(m_budget);
      retries += TryTakeRetry(m_budget) ? 1 : 0;
    }
    return retries;
  }

  RetryBudget m_budget;
};

// Guards against retries that multiply an overload.
TEST_F(RetryBudgetTest, Retries_WhenEveryRequestFails_AreATenth)
{
  EXPECT_NEAR(Retries(1'000), 100, 1);
}

// Guards against a burst of retries from a budget that grew without bound while requests succeeded.
TEST_F(RetryBudgetTest, Retries_AfterManySuccesses_AreBounded)
{
  for (int i = 0; i < 100'000; ++i) {
    OnFirstAttempt(m_budget);
  }
  int retries = 0;
  while (TryTakeRetry(m_budget)) {
    ++retries;
  }
  EXPECT_EQ(retries, 20);
}

} // namespace
} // namespace pistachiostand
