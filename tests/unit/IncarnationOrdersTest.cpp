#include "FakeHttpClient.h"

#include "src/manager/IncarnationOrders.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace pistachiostand::fleet {
namespace {

using platform::CallOutcome;

class IncarnationOrdersTest : public ::testing::Test
{
protected:
  static constexpr std::int64_t kIncarnation = 5;
  static constexpr Millis kTimeoutMs = 700;

  IncarnationOrdersTest()
    : m_orders(m_client)
  {
    m_server.m_id = "s1";
    m_server.m_address = { "127.0.0.1", 1'001 };
  }

  void Start()
  {
    platform::StartOrder order;
    order.m_run = { { "a", 0, 0, 0 }, 1, "s1" };
    order.m_leaseEndMs = 50'000;
    order.m_incarnation = kIncarnation;
    m_orders.Start(m_server, order, 0, m_timeoutMs, [this](const platform::OrderResult& aResult) {
      m_outcomes.push_back(aResult.m_outcome);
    });
  }

  std::uint64_t Poll()
  {
    platform::PollRequest request;
    request.m_leaseEndMs = 50'000;
    request.m_acknowledged = 3;
    request.m_waitMs = 400;
    request.m_incarnation = kIncarnation;
    return m_orders.Poll(m_server, request, kTimeoutMs,
                         [this](const platform::PollResult&) { ++m_reportCount; });
  }

  /// \brief Responds to the latest poll as an incarnation of the server, by default at once.
  void Report(std::int64_t aIncarnation)
  {
    m_client.Respond(
      m_client.Find("/hold").back(), 200,
      fmt::format(R"({{"clock-ms":50010,"born":{},"running":[],"finished":[]}})", aIncarnation));
  }

  /// \brief Fails the latest request.
  void Fail(TransferFailure aFailure)
  {
    const auto callback = m_client.m_sent.back().m_callback;
    ClientResponse response;
    response.m_failure = aFailure;
    callback(response);
  }

  [[nodiscard]] std::size_t StartCount() const { return m_client.Find("/run-start").size(); }

  [[nodiscard]] const ClientRequest& LatestPoll() const
  {
    return m_client.m_sent.at(m_client.Find("/hold").back()).m_request;
  }

  FakeHttpClient m_client;
  ServerRegistration m_server;
  IncarnationOrders m_orders;
  std::vector<CallOutcome> m_outcomes;
  int m_reportCount{};
  Millis m_timeoutMs{ kTimeoutMs };
};

// Guards against a start that reaches a later incarnation: it waits until the intended one has
// reported on an open connection, and may use only a connection of that time.
TEST_F(IncarnationOrdersTest, StartWithoutAKnownConnection_IsSentAfterAReport)
{
  Start();
  ASSERT_EQ(StartCount(), 0U);
  EXPECT_EQ(nlohmann::json::parse(LatestPoll().m_body).contains("deadline-ms"), false);
  Report(kIncarnation);
  ASSERT_EQ(StartCount(), 1U);
  EXPECT_GT(m_client.m_sent.back().m_request.m_establishedByMs, 0);
  EXPECT_TRUE(m_outcomes.empty());
}

// Guards against a start with a deadline on the clock of a previous incarnation.
TEST_F(IncarnationOrdersTest, StartWhenAnotherIncarnationReports_IsNotSent)
{
  Start();
  Report(kIncarnation + 1);
  EXPECT_EQ(StartCount(), 0U);
  EXPECT_EQ(m_outcomes, std::vector{ CallOutcome::IncarnationMismatch });
}

// Guards against treating a start as possibly carried out although only the poll before it was
// sent: its work would wait for a lease.
TEST_F(IncarnationOrdersTest, StartWhenThePollIsUnanswered_CountsAsNotSent)
{
  Start();
  Fail(TransferFailure::Timeout);
  EXPECT_EQ(StartCount(), 0U);
  EXPECT_EQ(m_outcomes, std::vector{ CallOutcome::NotSent });
}

// Guards against an additional poll for each start.
TEST_F(IncarnationOrdersTest, StartAfterAReport_IsSentAtOnce)
{
  Poll();
  Report(kIncarnation);
  Start();
  EXPECT_EQ(StartCount(), 1U);
}

// Guards against work that is given up because the server had closed the idle connection.
TEST_F(IncarnationOrdersTest, StartOnAClosedConnection_IsSentAfterAnotherReport)
{
  Poll();
  Report(kIncarnation);
  Start();
  Fail(TransferFailure::NotSent);
  ASSERT_TRUE(m_outcomes.empty());
  Report(kIncarnation);
  EXPECT_EQ(StartCount(), 2U);
}

// Guards against work that is planned again because a connection was chosen that is newer than the
// report: in a burst, other starts open connections at the same time.
TEST_F(IncarnationOrdersTest, StartAfterThePollOnANewerConnection_IsSentAfterAnotherReport)
{
  Start();
  Report(kIncarnation);
  ASSERT_EQ(StartCount(), 1U);
  Fail(TransferFailure::NotSent);
  ASSERT_TRUE(m_outcomes.empty());
  Report(kIncarnation);
  EXPECT_EQ(StartCount(), 2U);
}

// Guards against a wide job that blocks its owner: each of hundreds of starts to one server was
// preceded by a poll of its own, whose response lists all runs there.
TEST_F(IncarnationOrdersTest, ManyStartsWithoutAConnection_FewPollsAreInFlight)
{
  constexpr std::size_t kStarts = 20;
  constexpr std::size_t kMaxPolls = 4;
  m_client.m_hasIdleConnection = false;
  for (std::size_t i = 0; i < kStarts; ++i) {
    Start();
  }
  EXPECT_EQ(m_client.Find("/hold").size(), kMaxPolls);
  m_client.m_hasIdleConnection = true;
  Report(kIncarnation);
  EXPECT_EQ(StartCount(), kStarts);
}

// Guards against a renewal or an acknowledgment that reaches a later incarnation.
TEST_F(IncarnationOrdersTest, PollWithoutAKnownConnection_RenewsAndAcknowledgesNothing)
{
  Poll();
  const auto body = nlohmann::json::parse(LatestPoll().m_body);
  EXPECT_FALSE(body.contains("deadline-ms"));
  EXPECT_EQ(body.at("ack-cursor"), 0);
  EXPECT_FALSE(body.contains("wait-ms"));
}

// Guards against leases that lapse because they are never renewed.
TEST_F(IncarnationOrdersTest, PollAfterAReport_RenewsOnAConnectionOfThatTime)
{
  Poll();
  Report(kIncarnation);
  Poll();
  const auto body = nlohmann::json::parse(LatestPoll().m_body);
  EXPECT_EQ(body.at("deadline-ms"), 50'000);
  EXPECT_EQ(body.at("ack-cursor"), 3);
  EXPECT_GT(LatestPoll().m_establishedByMs, 0);
}

// Guards against a server that counts as silent because it has closed an idle connection.
TEST_F(IncarnationOrdersTest, PollOnAClosedConnection_IsSentAgainWithoutALease)
{
  Poll();
  Report(kIncarnation);
  Poll();
  Fail(TransferFailure::NotSent);
  ASSERT_EQ(m_client.Find("/hold").size(), 3U);
  EXPECT_FALSE(nlohmann::json::parse(LatestPoll().m_body).contains("deadline-ms"));
}

// Guards against the report of a poll that was canceled.
TEST_F(IncarnationOrdersTest, CancelOfAPollThatWasSentAgain_CallbackIsNotCalled)
{
  Poll();
  Report(kIncarnation);
  ASSERT_EQ(m_reportCount, 1);
  const auto call = Poll();
  Fail(TransferFailure::NotSent);
  m_orders.Cancel(call);
  Report(kIncarnation);
  EXPECT_EQ(m_reportCount, 1);
}

// Guards against the same failures when no connection of the time of the report is left.
TEST_F(IncarnationOrdersTest, NoIdleConnection_ThePollComesFirstAgain)
{
  Poll();
  Report(kIncarnation);
  m_client.m_hasIdleConnection = false;
  Start();
  EXPECT_EQ(StartCount(), 0U);
  Poll();
  EXPECT_FALSE(nlohmann::json::parse(LatestPoll().m_body).contains("deadline-ms"));
}

// Guards against starts that are withheld although a connection becomes free for each of them.
TEST_F(IncarnationOrdersTest, ManyStartsWait_ConnectionsBecomeFree_AllAreSentInOrder)
{
  m_client.m_hasIdleConnection = false;
  for (int start = 0; start < 100; ++start) {
    Start();
  }
  EXPECT_EQ(StartCount(), 0U);
  EXPECT_EQ(m_client.Find("/hold").size(), 4U);
  m_client.m_hasIdleConnection = true;
  Report(kIncarnation);
  EXPECT_EQ(StartCount(), 100U);
  EXPECT_TRUE(m_outcomes.empty());
}

// Guards against a start that is sent with too little time left for its response.
TEST_F(IncarnationOrdersTest, StartWaits_TimeForItsResponseIsOver_IsWithheld)
{
  m_client.m_hasIdleConnection = false;
  m_timeoutMs = 310;
  Start();
  std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
  m_client.m_hasIdleConnection = true;
  Report(kIncarnation);
  EXPECT_EQ(StartCount(), 0U);
  EXPECT_EQ(m_outcomes, std::vector{ CallOutcome::NotSent });
}

} // namespace
} // namespace pistachiostand::fleet
