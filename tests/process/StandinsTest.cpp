#include "Deployment.h"

#include <csignal>

namespace pistachiostand::testing {
namespace {

/// Checks the faults that the other process tests inject: if a stand-in ignored a control command,
/// those tests would pass without testing anything.
class StandinsTest : public Deployment
{
protected:
  HttpResponse Append(const std::string& aData, const RequestHeaders& aHeaders = {})
  {
    const Json body = { { "records", { aData } } };
    return SendRequest(
      { "POST", m_platform.m_address, "/log/append", aHeaders, body.dump(), kShort });
  }

  HttpResponse Read(const std::string& aQuery, const RequestHeaders& aHeaders = {})
  {
    return SendRequest(
      { "GET", m_platform.m_address, "/log/read?" + aQuery, aHeaders, {}, kShort });
  }

  HttpResponse OrderReboot(const std::string& aOperation)
  {
    return SendRequest(
      { "POST", m_platform.m_address, "/instances/b1/reboot?op=" + aOperation + "&pool=quotes" });
  }

  Json FirstInstance() { return GetJson(m_platform, "/instances?since=0").at("instances").at(0); }

  HttpRequest RunRequest(const std::string& aId, const RequestHeaders& aHeaders = {})
  {
    HttpRequest request{ "POST", m_backends.at(0).m_address, "/run/lookups", aHeaders, "body" };
    request.m_headers.emplace_back("X-Request-Id", aId);
    request.m_headers.emplace_back("X-Tenant", "tupelo");
    request.m_timeout = kShort;
    return request;
  }

  HttpResponse Run(const std::string& aId, const RequestHeaders& aHeaders = {})
  {
    return SendRequest(RunRequest(aId, aHeaders));
  }

  Json StopTask(const std::string& aTarget)
  {
    return SendRequest({ "POST", m_backends.at(0).m_address, "/tasks/" + aTarget }).Body();
  }

  void StartOneBackend(const std::vector<std::string>& aArguments = {})
  {
    StartPlatform({ "--reboot-ms=20" });
    StartBackend({ "b1", "z1", "r1", "lookups", aArguments });
  }

  void WaitForUsedSlots(int aUsed)
  {
    WaitUntil("used slots",
              [&] { return GetJson(m_backends.at(0), "/status").at("used") == aUsed; });
  }

  static constexpr std::chrono::milliseconds kShort{ 2'000 };
};

TEST_F(StandinsTest, Append_WithLostResponse_TakesEffect)
{
  StartPlatform();
  Control(m_platform, "lose?count=1");
  EXPECT_EQ(Append("YQ==").m_status, 0);
  EXPECT_EQ(Append("Yg==").Body().at("first"), 1);
  EXPECT_EQ(Read("from=0&max=1").Body().at("records").at(0).at("data"), "YQ==");
}

TEST_F(StandinsTest, Read_AtTheEnd_WaitsForTheNextAppend)
{
  StartPlatform();
  auto read = SendAsync({ "GET", m_platform.m_address, "/log/read?from=0&max=9&wait_ms=20000" });
  WaitUntil("read in progress", [&] { return PlatformStats().at("reads") == 1; });
  Append("YQ==");
  EXPECT_EQ(read.get().Body().at("records").at(0).at("offset"), 0);
  EXPECT_TRUE(Read("from=1&max=9&wait_ms=50").Body().at("records").empty());
}

TEST_F(StandinsTest, Log_OverItsRetention_ForgetsTheOldest)
{
  StartPlatform({ "--retain=2" });
  Append("YQ==");
  Append("Yg==");
  Append("Yw==");
  EXPECT_EQ(Read("from=0&max=9").Body().at("oldest"), 1);
  Control(m_platform, "expire?before=2");
  const auto body = Read("from=0&max=9").Body();
  EXPECT_EQ(body.at("records").at(0).at("offset"), 2);
  EXPECT_EQ(body.at("next"), 3);
}

TEST_F(StandinsTest, Append_OverTheRate_IsThrottled)
{
  StartPlatform({ "--appends-per-s=1" });
  EXPECT_EQ(Append("YQ==").m_status, 200);
  EXPECT_EQ(Append("Yg==").m_status, 429);
  WaitUntil("the next second", [&] { return Append("Yg==").m_status == 200; });
  EXPECT_EQ(PlatformStats().at("records"), 2);
}

TEST_F(StandinsTest, Partition_OfEntryAndZone_HangsOnlyThem)
{
  StartPlatform();
  Control(m_platform, "partition?from=e1");
  Control(m_platform, "partition?zone=z2");
  EXPECT_EQ(Append("YQ==", { { "X-Entry-Id", "e1" } }).m_status, 0);
  EXPECT_EQ(Append("YQ==", { { "X-Entry-Id", "e2" }, { "X-Zone", "z2" } }).m_status, 0);
  EXPECT_EQ(PlatformStats().at("records"), 0);
  EXPECT_EQ(Append("YQ==", { { "X-Entry-Id", "e3" }, { "X-Zone", "z3" } }).m_status, 200);
  Control(m_platform, "heal");
  EXPECT_EQ(Append("YQ==", { { "X-Entry-Id", "e1" } }).m_status, 200);
}

TEST_F(StandinsTest, Outage_InBothModes_EndsByItselfOrByControl)
{
  StartPlatform();
  Control(m_platform, "down");
  EXPECT_EQ(Append("YQ==").m_status, 503);
  Control(m_platform, "up");
  Control(m_platform, "down?ms=100&mode=hang");
  EXPECT_EQ(Append("YQ==").m_error, "Server returned nothing (no headers, no data)");
  EXPECT_EQ(Append("YQ==").m_status, 200);
  EXPECT_EQ(PlatformStats().at("records"), 1);
}

TEST_F(StandinsTest, Reboot_WithLostResponseAndRepeat_HappensOnce)
{
  StartOneBackend();
  EXPECT_EQ(Run("r1").m_status, 200);
  const HttpRequest drain{ "POST", m_platform.m_address, "/instances/b1/drain?op=1" };
  EXPECT_EQ(SendRequest(drain).m_status, 200);
  EXPECT_EQ(FirstInstance().at("state"), "leaving");
  EXPECT_EQ(FirstInstance().at("boot_op"), "");
  Control(m_platform, "lose-reboot?count=1");
  EXPECT_EQ(OrderReboot("b1-1").m_status, 0);
  EXPECT_EQ(OrderReboot("b1-1").m_status, 200);
  WaitUntil("live instance", [&] { return FirstInstance().at("state") == "live"; });
  const auto status = GetJson(m_backends.at(0), "/status");
  EXPECT_EQ(status.at("pool"), "quotes");
  EXPECT_EQ(status.at("boot_id"), FirstInstance().at("boot_id"));
  EXPECT_NE(status.at("boot_id"), "b1-boot-0");
  EXPECT_EQ(FirstInstance().at("boot_op"), "b1-1");
  EXPECT_EQ(PlatformStats().at("reboots").at("b1"), 1);
  EXPECT_EQ(StartedCount("r1"), 1U);
}

TEST_F(StandinsTest, Instances_WithLag_AppearLater)
{
  StartPlatform({ "--list-lag-ms=300" });
  StartBackend({ "b1" });
  EXPECT_TRUE(GetJson(m_platform, "/instances").at("instances").empty());
  WaitUntil("instance", [&] { return !GetJson(m_platform, "/instances").at("instances").empty(); });
  Control(m_platform, "remove?instance=b1");
  WaitUntil("removal", [&] { return GetJson(m_platform, "/instances").at("instances").empty(); });
}

TEST_F(StandinsTest, Run_WithStaleLateOrStoppedDispatch_DoesNotStart)
{
  StartOneBackend();
  EXPECT_EQ(Run("r1", { { "X-Pool", "quotes" } }).Header("x-not-run"), "stale");
  EXPECT_EQ(Run("r1", { { "X-Boot-Id", "other" } }).Header("x-not-run"), "stale");
  EXPECT_EQ(Run("r1", { { "X-Start-Before-Ms", "0" } }).Header("x-not-run"), "late");
  EXPECT_EQ(StopTask("tupelo%2Fk1/stop?attempt=1").at("state"), "never-started");
  const RequestHeaders first{ { "X-Job-Key", "tupelo/k1" }, { "X-Attempt", "1" } };
  EXPECT_EQ(Run("r1", first).Header("x-not-run"), "stopped");
  Control(m_backends.at(0), "leaving?on=1");
  EXPECT_EQ(Run("r1").Header("x-not-run"), "leaving");
  Control(m_backends.at(0), "leaving?on=0");
  EXPECT_EQ(StartedCount("k1") + StartedCount("r1"), 0U);
  const RequestHeaders second{ { "X-Job-Key", "tupelo/k1" }, { "X-Attempt", "2" } };
  EXPECT_EQ(Run("r2", second).Field("request_id"), "r2");
  EXPECT_EQ(StopTask("tupelo%2Fk1/stop?attempt=2").at("state"), "completed");
  EXPECT_EQ(FinishedCount("k1"), 1U);
}

TEST_F(StandinsTest, Run_WithoutTaskControl_StartsStaleDispatch)
{
  StartOneBackend({ "--task-control=none" });
  EXPECT_EQ(Run("r1", { { "X-Pool", "quotes" }, { "X-Start-Before-Ms", "0" } }).m_status, 200);
}

TEST_F(StandinsTest, Run_OverTheSlots_IsRefusedAsFull)
{
  StartOneBackend({ "--slots=1" });
  auto running = SendAsync(RunRequest(
    "r1", { { "X-Test-Run-Ms", "60000" }, { "X-Job-Key", "k1" }, { "X-Attempt", "1" } }));
  WaitForUsedSlots(1);
  const auto refused = Run("r2");
  EXPECT_EQ(refused.m_status, 503);
  EXPECT_EQ(refused.Header("x-not-run"), "full");
  EXPECT_EQ(refused.Header("x-load"), "1/1");
  EXPECT_EQ(StopTask("k1/stop?attempt=1").at("state"), "stopped");
  EXPECT_EQ(running.get().m_status, 500);
  EXPECT_EQ(FinishedCount("k1"), 0U);
}

TEST_F(StandinsTest, Response_WithFaults_IsTruncatedCrossedOrMissing)
{
  StartOneBackend();
  Control(m_backends.at(0), "truncate?count=1");
  EXPECT_EQ(Run("r1").m_status, 0);
  Control(m_backends.at(0), "cross?count=1");
  auto other = SendAsync(RunRequest("r2"));
  WaitUntil("first response", [&] { return FinishedCount("r2") == 1; });
  EXPECT_EQ(Run("r3").Header("x-request-id"), "r2");
  EXPECT_EQ(other.get().Field("request_id"), "r3");
  Control(m_backends.at(0), "fail-fast?on=1");
  EXPECT_EQ(Run("r4").m_status, 500);
  Control(m_backends.at(0), "fail-fast?on=0");
  Control(m_backends.at(0), "freeze?on=1");
  EXPECT_EQ(Run("r5").m_status, 0);
  Control(m_backends.at(0), "freeze?on=0");
  EXPECT_EQ(Run("r6").m_status, 200);
}

TEST_F(StandinsTest, Boot_WithRunningRequest_BreaksItAndKeepsTheCounts)
{
  StartOneBackend();
  auto running = SendAsync(RunRequest("r1", { { "X-Test-Run-Ms", "60000" } }));
  WaitForUsedSlots(1);
  Control(m_backends.at(0), "boot?boot_id=next&pool=quotes");
  EXPECT_EQ(running.get().m_status, 0);
  EXPECT_EQ(GetJson(m_backends.at(0), "/status").at("used"), 0);
  EXPECT_EQ(StartedCount("r1"), 1U);
  EXPECT_EQ(FinishedCount("r1"), 0U);
}

TEST_F(StandinsTest, Process_PausedRestartedAndTerminated_FollowsTheSignal)
{
  StartOneBackend();
  auto& backend = m_backends.at(0);
  Pause(backend);
  EXPECT_EQ(Run("r1").m_status, 0);
  Resume(backend);
  EXPECT_EQ(Run("r2").m_status, 200);
  KillAndRestart(backend);
  EXPECT_EQ(backend.m_child->WaitForAddress(), backend.m_address);
  EXPECT_EQ(StartedCount("r2"), 0U);
  Terminate(backend);
  EXPECT_EQ(backend.m_child->WaitForExit(), 0);
}

} // namespace
} // namespace pistachiostand::testing
