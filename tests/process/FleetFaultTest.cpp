#include "FleetFixture.h"

#include <chrono>
#include <iostream>

namespace pistachiostand::testing {
namespace {

class FleetFaultTest : public FleetFixture
{};

// Guards against new work being sent to a server that the platform lists as leaving (invariant I6:
// a leaving server gets no new work), and against a drain that aborts a request in flight
// (invariant I7: planned changes abort no requests).
TEST_F(FleetFaultTest, Server_ListedAsLeaving_GetsNoNewWork)
{
  StartFleet({ "lookups", "lookups", "batches", "admin" }, MakeRules(2, 1));
  std::vector<std::future<HttpResponse>> inFlight;
  constexpr int kRunMs = 2'000;
  WaitUntil("a request in flight on b1", [&] {
    inFlight.push_back(
      LongLookup(inFlight.size() % 3, "long-" + std::to_string(inFlight.size()), kRunMs));
    return GetJson(m_backends[0], "/status").at("used") != 0;
  });
  const auto from = std::chrono::steady_clock::now();
  const auto drained =
    SendRequest({ "POST", m_platform.m_address, "/instances/b1/drain?op=operator" });
  EXPECT_EQ(drained.m_status, 200);
  constexpr std::chrono::seconds kQuietLimit{ 5 };
  constexpr int kQuietRounds = 10;
  int quiet = 0;
  WaitUntil(
    "rounds without a start on b1",
    [&] {
      const auto before = StartsOn(0);
      ServeRound();
      quiet = StartsOn(0) == before ? quiet + 1 : 0;
      return quiet == kQuietRounds;
    },
    kQuietLimit);
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - from;
  std::cout << "no start on b1 after at most " << took.count() << " s\n";
  for (auto& call : inFlight) {
    EXPECT_EQ(call.get().m_status, 200);
  }
  const auto before = StartsOn(0);
  ServeRound();
  EXPECT_EQ(StartsOn(0), before);
  ExpectRunsInTheirPool();
}

// Guards against a rejected request when one server of the pool reports that it is leaving
// (invariant I6).
TEST_F(FleetFaultTest, Server_ThatSaysItIsLeaving_GetsNoNewWork)
{
  StartFleet({ "lookups", "lookups", "batches", "admin" }, MakeRules(2, 1));
  std::vector<std::future<HttpResponse>> inFlight;
  constexpr int kRunMs = 1'000;
  WaitUntil("a request in flight on b1", [&] {
    inFlight.push_back(
      LongLookup(inFlight.size() % 3, "long-" + std::to_string(inFlight.size()), kRunMs));
    return GetJson(m_backends[0], "/status").at("used") != 0;
  });
  Control(m_backends[0], "leaving?on=1");
  const auto before = StartsOn(0);
  for (int round = 0; round < 10; ++round) {
    ServeRound();
  }
  EXPECT_EQ(StartsOn(0), before);
  for (auto& call : inFlight) {
    EXPECT_EQ(call.get().m_status, 200);
  }
  Control(m_backends[0], "leaving?on=0");
  WaitUntil("work for b1 after it stops leaving", [&] {
    ServeRound();
    return StartsOn(0) > before;
  });
}

// Guards against a request that runs in a pool other than its own during a move (invariant I2: a
// request runs only in its own pool).
TEST_F(FleetFaultTest, Move_ByRuleChange_KeepsEachInstanceInOnePool)
{
  StartFleet({ "lookups", "lookups", "lookups", "batches", "admin" }, MakeRules(3, 1));
  PublishRules(1, { MakeRules(2, 2), 1 });
  ServeUntilSettled(2, 2);
  ExpectRunsInTheirPool();
  ExpectInvariantsInEveryState();
  ExpectNoDigestMismatch();
}

// Guards against a move that never ends because the response of its reboot order was lost.
TEST_F(FleetFaultTest, Move_WithLostRebootResponse_Ends)
{
  StartFleet({ "lookups", "lookups", "lookups", "batches", "admin" }, MakeRules(3, 1));
  Control(m_platform, "lose-reboot?count=1");
  PublishRules(1, { MakeRules(2, 2), 1 });
  ServeUntilSettled(2, 2);
  EXPECT_EQ(PlatformStats().at("reboots").size(), 1U);
  ExpectRunsInTheirPool();
  ExpectInvariantsInEveryState();
}

// Guards against a move that is abandoned when the planner that started it is killed.
TEST_F(FleetFaultTest, Move_WhosePlannerIsKilled_Ends)
{
  StartFleet({ "lookups", "lookups", "lookups", "batches", "admin" }, MakeRules(3, 1));
  // Requests in flight delay the reboot until the planner is killed.
  std::vector<std::future<HttpResponse>> inFlight;
  const auto planner = FindPlanner();
  const auto other = (planner + 1) % m_entries.size();
  constexpr int kRunMs = 1'500;
  WaitUntil("requests in flight on all lookups servers", [&] {
    inFlight.push_back(LongLookup(other, "long-" + std::to_string(inFlight.size()), kRunMs));
    return GetJson(m_backends[0], "/status").at("used") != 0 &&
           GetJson(m_backends[1], "/status").at("used") != 0 &&
           GetJson(m_backends[2], "/status").at("used") != 0;
  });
  PublishRules(other, { MakeRules(2, 2), 1 });
  WaitUntil("drain", [&] { return IsAnyLeaving(other); });
  m_entries[planner].m_child->Kill();
  EXPECT_TRUE(PlatformStats().at("reboots").empty());
  for (auto& call : inFlight) {
    EXPECT_EQ(call.get().m_status, 200);
  }
  Restart(m_entries[planner]);
  WaitUntilReady(m_entries[planner]);
  ServeUntilSettled(2, 2);
  ExpectRunsInTheirPool();
  ExpectInvariantsInEveryState();
}

// Guards against a reboot that aborts a request of an entry instance whose heartbeats have stopped
// (invariant I7), and against stale requests of that instance after it resumes (invariant I2).
TEST_F(FleetFaultTest, Move_WhileAnEntryIsPaused_WaitsForItsRequests)
{
  StartFleet({ "lookups", "lookups", "batches", "admin" }, MakeRules(2, 1));
  std::vector<std::future<HttpResponse>> inFlight;
  constexpr int kRunMs = 3'000;
  WaitUntil("requests in flight on both lookups servers", [&] {
    inFlight.push_back(LongLookup(0, "long-" + std::to_string(inFlight.size()), kRunMs));
    return GetJson(m_backends[0], "/status").at("used") != 0 &&
           GetJson(m_backends[1], "/status").at("used") != 0;
  });
  const auto running = inFlight.size();
  WaitUntil("start of the requests", [&] {
    std::size_t started = 0;
    for (std::size_t i = 0; i < running; ++i) {
      started += StartedCount("long-" + std::to_string(i));
    }
    return started == running;
  });
  Pause(m_entries[0]);
  PublishRules(1, { MakeRules(1, 2), 1 });
  WaitUntil("drain", [&] { return IsAnyLeaving(1); });
  const auto ended = [&] {
    std::size_t count = 0;
    for (std::size_t i = 0; i < running; ++i) {
      const auto name = "long-" + std::to_string(i);
      for (const auto& backend : m_backends) {
        const auto executions = GetJson(backend, "/control/executions");
        for (const auto& [full, execution] : executions.items()) {
          if (IsNamed(full, name)) {
            const auto end = execution.at("runs").at(0).at("end");
            EXPECT_NE(end, "rebooted") << name;
            count += end != "running" ? 1 : 0;
          }
        }
      }
    }
    return count;
  };
  WaitUntil("end of the requests in flight", [&] { return ended() == running; });
  Resume(m_entries[0]);
  for (auto& call : inFlight) {
    EXPECT_EQ(call.get().m_status, 200);
  }
  ServeUntilSettled(1, 2);
  ExpectRunsInTheirPool();
  ExpectInvariantsInEveryState();
}

// Guards against a fleet without a planner when the selected entry instance cannot reach the
// platform.
TEST_F(FleetFaultTest, Move_WhosePlannerIsCutOffFromThePlatform_EndsThroughAnother)
{
  StartFleet({ "lookups", "lookups", "lookups", "batches", "admin" }, MakeRules(3, 1));
  const auto planner = FindPlanner();
  const auto other = (planner + 1) % m_entries.size();
  Control(m_platform, "partition?from=" + m_entries[planner].m_id);
  PublishRules(other, { MakeRules(2, 2), 1 });
  ServeUntilSettled(2, 2);
  Control(m_platform, "heal");
  ExpectRunsInTheirPool();
  ExpectInvariantsInEveryState();
}

// Guards against a stale request that runs on a server of another pool (invariants I2 and I3),
// because an isolated entry instance does not receive the records of a move. The planner waits for
// such an instance for 15 s plus the longest service timeout.
TEST_F(FleetFaultTest, Move_WhileAnEntryIsIsolated_KeepsStaleRequestsOut)
{
  const auto withShortTimeouts = [](std::string aRules) {
    for (const std::string timeout : { "timeout_ms = 20000", "timeout_ms = 8000" }) {
      aRules.replace(aRules.find(timeout), timeout.size(), "timeout_ms = 1000");
    }
    return aRules;
  };
  UsePeerRelay();
  StartFleet({ "lookups", "lookups", "batches", "admin" }, withShortTimeouts(MakeRules(2, 1)));
  Control(m_platform, "partition?from=e1");
  CutPeers({ 0 });
  PublishRules(1, { withShortTimeouts(MakeRules(1, 2)), 1 });
  int served = 0;
  const auto serveStale = [&] {
    const auto response = CallNamed(0, "lookups", "lookups-stale-" + std::to_string(++served));
    EXPECT_TRUE(response.m_status != 200 || response.Field("pool") == "lookups");
  };
  WaitUntil("end of the move", [&] {
    serveStale();
    const auto status = Status(1);
    return PoolOf(status, "lookups").at("serving") == 1 &&
           PoolOf(status, "batches").at("serving") == 2;
  });
  constexpr int kRequestsAfterMove = 50;
  for (int i = 0; i < kRequestsAfterMove; ++i) {
    serveStale();
  }
  EXPECT_EQ(PoolOf(Status(0), "lookups").at("serving"), 2) << "e1 is not isolated";
  std::cout << "stale requests: " << served << '\n';
  Control(m_platform, "heal");
  m_relay->HealAll();
  ServeUntilSettled(1, 2);
  ExpectRunsInTheirPool(true);
  ExpectInvariantsInEveryState();
}

} // namespace
} // namespace pistachiostand::testing
