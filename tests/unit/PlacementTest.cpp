#include "pistachiostand/request/Placement.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace pistachiostand {
namespace {

class PlacementTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    for (int i = 0; i < 9; ++i) {
      ServerStats server;
      server.m_instance = "i-" + std::to_string(i);
      server.m_zone = i % 3 == 0 ? "a" : "b";
      server.m_latencyMs = 50;
      m_servers.push_back(server);
    }
    m_context.m_zone = "a";
    m_context.m_mayProbe = true;
  }

  std::vector<int> Choices(int aCount)
  {
    std::vector<int> chosen(m_servers.size());
    for (int i = 0; i < aCount; ++i) {
      if (const auto index = ChooseServer(m_servers, m_context, m_random)) {
        ++chosen[*index];
      }
    }
    return chosen;
  }

  void Fail(ServerStats& aServer, int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      OnSent(aServer);
      OnError(aServer, 1, m_context.m_nowMs);
      EjectOutliers(m_servers, m_context.m_nowMs);
    }
  }

  std::size_t CountEjected() const
  {
    return static_cast<std::size_t>(
      std::count_if(m_servers.begin(), m_servers.end(),
                    [](const ServerStats& aServer) { return aServer.m_ejected; }));
  }

  std::vector<ServerStats> m_servers;
  PlacementContext m_context;
  Random m_random{ 7 };
};

// Guards against needless traffic between zones, and against waiting for the own zone while others
// have free slots.
TEST_F(PlacementTest, Choice_WithOwnZoneFull_SpillsOver)
{
  const auto before = Choices(300);
  EXPECT_EQ(before[0] + before[3] + before[6], 300);
  for (const std::size_t index : { 0U, 3U, 6U }) {
    m_servers[index].m_inFlight = 8;
  }
  const auto after = Choices(300);
  EXPECT_EQ(after[0] + after[3] + after[6], 0);
  EXPECT_EQ(after[1] + after[2] + after[4] + after[5] + after[7] + after[8], 300);
}

// Guards against sending to a server whose slots other entry instances have taken.
TEST_F(PlacementTest, Choice_WithReportedLoad_AvoidsTheServer)
{
  OnLoadReport(m_servers[0], 8, 0);
  EXPECT_EQ(Choices(300)[0], 0);
  m_context.m_nowMs = 1'000; // The report has expired, so the server is tried again.
  EXPECT_GT(Choices(300)[0], 0);
}

// Guards against sending each waiting request to a server that has just refused one as full.
TEST_F(PlacementTest, Choice_AfterRefusal_PausesTheServer)
{
  m_context.m_zone = "none";
  std::for_each(m_servers.begin(), m_servers.end(), [](ServerStats& aServer) {
    OnSent(aServer);
    OnRefusedFull(aServer, 0);
  });
  EXPECT_FALSE(ChooseServer(m_servers, m_context, m_random));
  EXPECT_EQ(m_servers[0].m_inFlight, 0U);
  EXPECT_EQ(m_servers[0].m_errorRate, 0);
}

// Guards against preferring a server that fails within 1 ms as the fastest one.
TEST_F(PlacementTest, Choice_WithFastFailures_IsRareBeforeEjection)
{
  Fail(m_servers[0], 2);
  EXPECT_FALSE(m_servers[0].m_ejected);
  EXPECT_LT(Choices(300)[0], 20);
}

TEST_F(PlacementTest, Choice_WithSlowServer_PrefersTheOthers)
{
  m_servers[0].m_latencyMs = 500;
  EXPECT_LT(Choices(300)[0], 20);
}

// Guards against sending new work to a server that is leaving (invariant I6: a leaving server gets
// no new work).
TEST_F(PlacementTest, Choice_WithLeavingServer_IsNever)
{
  m_servers[0].m_leaving = true;
  EXPECT_EQ(Choices(300)[0], 0);
}

TEST_F(PlacementTest, Ejection_AfterErrorsInRow_EndsWithASuccessfulProbe)
{
  Fail(m_servers[0], 5);
  ASSERT_TRUE(m_servers[0].m_ejected);
  EXPECT_EQ(Choices(300)[0], 0);
  m_context.m_nowMs = 1'000;
  EXPECT_EQ(Choices(1)[0], 1);
  OnSent(m_servers[0]);
  EXPECT_EQ(Choices(300)[0], 0); // One probe at a time.
  OnResponse(m_servers[0], 50, 1, 1'000);
  EXPECT_GT(Choices(300)[0], 50);
}

// Guards against sending a request that must not be repeated to a failing server as a probe, which
// may lose it.
TEST_F(PlacementTest, Probe_WithNonIdempotentRequest_IsNotSent)
{
  Fail(m_servers[0], 5);
  m_context.m_nowMs = 1'000;
  m_context.m_mayProbe = false;
  EXPECT_EQ(Choices(300)[0], 0);
}

TEST_F(PlacementTest, Probe_AfterFailure_WaitsTwiceAsLong)
{
  Fail(m_servers[0], 5);
  m_context.m_nowMs = 1'000;
  Fail(m_servers[0], 1);
  m_context.m_nowMs = 2'999;
  EXPECT_EQ(Choices(100)[0], 0);
  m_context.m_nowMs = 3'000;
  EXPECT_EQ(Choices(1)[0], 1);
}

// Guards against ejecting a whole pool when the requests or a dependency cause the failures.
TEST_F(PlacementTest, Ejection_WhenAllFail_StopsAtAThird)
{
  for (int round = 0; round < 20; ++round) {
    std::for_each(m_servers.begin(), m_servers.end(),
                  [this](ServerStats& aServer) { Fail(aServer, 1); });
  }
  EXPECT_EQ(CountEjected(), 3U);
}

} // namespace
} // namespace pistachiostand
