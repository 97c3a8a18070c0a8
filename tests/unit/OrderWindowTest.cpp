#include "pistachiostand/job/OrderWindow.h"

#include <gtest/gtest.h>

namespace pistachiostand::fleet {
namespace {

class OrderWindowTest : public ::testing::Test
{
protected:
  OrderWindow m_window{ { 2, 3 } };
};

TEST_F(OrderWindowTest, OpenOrder_ServerAtItsLimit_OthersMayOpenMore)
{
  OpenOrder(m_window, "s1");
  OpenOrder(m_window, "s1");
  EXPECT_EQ(OrdersLeft(m_window, "s1"), 0U);
  EXPECT_EQ(OrdersLeft(m_window, "s2"), 1U);
  EXPECT_EQ(OrdersLeft(m_window), 1U);
}

TEST_F(OrderWindowTest, OpenOrder_BeyondTheLimits_NothingIsLeft)
{
  for (int order = 0; order < 5; ++order) {
    OpenOrder(m_window, "s1");
  }
  EXPECT_EQ(OrdersLeft(m_window), 0U);
  EXPECT_EQ(OrdersLeft(m_window, "s1"), 0U);
}

// Guards against a server that gets no orders any more because one of them was counted twice.
TEST_F(OrderWindowTest, CloseOrder_AllOrders_WindowIsEmpty)
{
  OpenOrder(m_window, "s1");
  OpenOrder(m_window, "s2");
  CloseOrder(m_window, "s1");
  CloseOrder(m_window, "s1");
  CloseOrder(m_window, "s2");
  EXPECT_EQ(m_window, (OrderWindow{ { 2, 3 } }));
}

} // namespace
} // namespace pistachiostand::fleet
