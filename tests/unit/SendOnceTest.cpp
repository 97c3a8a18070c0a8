#include "FakeHttpClient.h"

#include "platform/Orders.h"
#include "platform/Store.h"

#include <gtest/gtest.h>

#include <utility>

namespace pistachiostand::fleet {
namespace {

class SendOnceTest : public ::testing::Test
{
protected:
  [[nodiscard]] bool IsSentOnce() const { return m_client.m_sent.at(0).m_request.m_sendOnce; }

  FakeHttpClient m_client;
};

// Guards against a running job that is reported as refused: the HTTP client had repeated the append
// by itself on a new connection, and the repeat was refused.
TEST_F(SendOnceTest, Append_WithoutSequenceNumber_IsNotRepeated)
{
  platform::Store store{ m_client, "store.example" };
  platform::AppendRequest request;
  request.m_records = { "record" };
  store.Append(std::move(request), [](const platform::AppendResult&) {});
  EXPECT_TRUE(IsSentOnce());
}

// Guards against an instance that is moved while the owner assumes that nothing was done, because
// the HTTP client repeated the order and the repeat was refused.
TEST_F(SendOnceTest, InstanceOrder_IsNotRepeated)
{
  platform::InstanceOrders orders{ m_client, "instances.example", "entry-1" };
  orders.Move("m1", "lookup", { 1, 0 }, [](const platform::InstanceResult&) {});
  EXPECT_TRUE(IsSentOnce());
}

} // namespace
} // namespace pistachiostand::fleet
