#include "OwnerFixture.h"

#include "src/manager/AdviceCalls.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace pistachiostand::fleet {
namespace {

class AdviceCallsTest : public OwnerFixture
{
protected:
  static constexpr AdviceCosts kCosts{ 200, 30, 3'000 };
  /// Half of the validity, less the decision, divided by the time for each server.
  static constexpr std::size_t kMaxServers = 43;
  const StepId m_step{ "a", 0, 0 };

  AdviceCallsTest()
    : m_advice(m_state, [] {})
  {
    m_settings.m_advice = Endpoint{ "127.0.0.1", 1'000 };
    QueueRule queue;
    queue.m_name = "lookups";
    queue.m_pool = "lookup";
    queue.m_advice = kCosts;
    m_configuration.m_queues = { queue };
  }

  static std::vector<ServerView> Servers(int aCount)
  {
    std::vector<ServerView> servers;
    for (int number = 0; number < aCount; ++number) {
      ServerView server;
      server.m_id = "s" + std::to_string(number);
      server.m_pool = "lookup";
      servers.push_back(server);
    }
    return servers;
  }

  [[nodiscard]] std::set<std::string> NamedIn(std::size_t aCall) const
  {
    return nlohmann::json::parse(m_client.m_sent.at(aCall).m_request.m_body)
      .at("workers")
      .get<std::set<std::string>>();
  }

  void Grant(std::size_t aCall, const std::vector<std::string>& aServers)
  {
    nlohmann::json good = nlohmann::json::array();
    for (const auto& server : aServers) {
      good.push_back({ server, "ticket" });
    }
    m_client.Respond(aCall, 200, nlohmann::json{ { "good", good }, { "valid-ms", 3'000 } }.dump());
  }

  AdviceCalls m_advice;
};

// Guards against calls that wait in the line of the service for each other (review, case 2).
TEST_F(AdviceCallsTest, Ask_CallInFlight_NoOtherIsSent)
{
  AddSubmission("b");
  m_advice.Ask({ m_step, { "b", 0, 0 } }, Servers(3));
  m_advice.Ask({ m_step, { "b", 0, 0 } }, Servers(3));
  EXPECT_EQ(m_client.m_sent.size(), 1U);
  Grant(0, { "s1" });
  m_advice.Ask({ { "b", 0, 0 } }, Servers(3));
  EXPECT_EQ(m_client.m_sent.size(), 2U);
}

// Guards against tickets that have expired before the answer with them arrives, and against a step
// that no server of the first call may run.
TEST_F(AdviceCallsTest, Ask_MorePlentifulServersThanOneCallTakes_NextCallNamesTheOthers)
{
  const auto servers = Servers(60);
  m_advice.Ask({ m_step }, servers);
  EXPECT_EQ(NamedIn(0).size(), kMaxServers);
  Grant(0, {});
  m_advice.Ask({ m_step }, servers);
  auto named = NamedIn(0);
  named.merge(NamedIn(1));
  EXPECT_EQ(named.size(), servers.size());
}

// Guards against a step that keeps the others from being asked for.
TEST_F(AdviceCallsTest, Ask_CallOfTheFirstStepFails_AnotherStepIsNext)
{
  AddSubmission("b");
  const std::vector<StepId> steps{ m_step, { "b", 0, 0 } };
  m_advice.Ask(steps, Servers(1));
  m_client.Respond(0, 429, {});
  m_advice.Ask(steps, Servers(1));
  EXPECT_EQ(m_client.m_sent.size(), 1U); // Paused.
  RunFor(150);
  std::this_thread::sleep_for(std::chrono::milliseconds{ 150 });
  m_advice.Ask(steps, Servers(1));
  ASSERT_EQ(m_client.m_sent.size(), 2U);
  EXPECT_NE(m_client.m_sent[1].m_request.m_body.find("b.0.0"), std::string::npos);
}

// Guards against a ticket that is sent again and again after its server has started again and
// refuses it.
TEST_F(AdviceCallsTest, Discard_LastTicketOfAStep_StepIsAskedForAgain)
{
  m_advice.Ask({ m_step }, Servers(2));
  Grant(0, { "s0", "s1" });
  m_advice.Discard(m_step, "s0");
  EXPECT_EQ(m_advice.Tickets(MonotonicMs()).at(m_step).size(), 1U);
  m_advice.Discard(m_step, "s1");
  EXPECT_TRUE(m_advice.Tickets(MonotonicMs()).empty());
}

// Guards against a timeout that is too short for a service that is slower than configured.
TEST_F(AdviceCallsTest, AdviceTimeoutMs_CallsWithoutAnAnswer_GrowsUpToALimit)
{
  EXPECT_GT(AdviceTimeoutMs(680, 0), 680);
  EXPECT_GT(AdviceTimeoutMs(680, 1), AdviceTimeoutMs(680, 0));
  EXPECT_EQ(AdviceTimeoutMs(680, 100), AdviceTimeoutMs(680, 101));
  EXPECT_GT(AdviceTimeoutMs(30'000, 100), 30'000);
}

} // namespace
} // namespace pistachiostand::fleet
