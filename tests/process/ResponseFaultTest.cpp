#include "JobDeployment.h"

#include <algorithm>

namespace pistachiostand::testing {
namespace {

class ResponseFaultTest : public JobDeployment
{
protected:
  void SetUp() override { StartJobDeployment(); }

  /// Sends lookups of two tenants alternately, each with a different body.
  std::vector<std::future<HttpResponse>> SendLookups(std::size_t aCount, int aRunMs = 20)
  {
    std::vector<std::future<HttpResponse>> calls;
    for (std::size_t i = 0; i < aCount; ++i) {
      calls.push_back(CallAsync(i % 3, { "lookups",
                                         TenantOf(i),
                                         BodyOf(i),
                                         {},
                                         { { "X-Request-Id", RequestIdOf(i) },
                                           { "X-Test-Run-Ms", std::to_string(aRunMs) } } }));
    }
    return calls;
  }

  /// Half of the callers use the same id; their responses must still not be mixed up.
  static std::string RequestIdOf(std::size_t aIndex)
  {
    return aIndex % 4 < 2 ? "shared" : "own-" + std::to_string(aIndex);
  }

  static std::string TenantOf(std::size_t aIndex) { return aIndex % 2 == 0 ? "tupelo" : "pecan"; }
  static std::string BodyOf(std::size_t aIndex) { return "body " + std::to_string(aIndex); }

  /// Expects that a response is complete and belongs to this request, or does not come from a
  /// backend server; returns true in the first case.
  static bool ExpectOwn(const HttpResponse& aResponse, std::size_t aIndex)
  {
    if (aResponse.m_status == 200) {
      EXPECT_EQ(aResponse.Field("body"), BodyOf(aIndex));
      EXPECT_EQ(aResponse.Field("tenant"), TenantOf(aIndex));
      EXPECT_TRUE(IsNamed(aResponse.Field("request_id"), RequestIdOf(aIndex)))
        << aResponse.Field("request_id");
      EXPECT_EQ(aResponse.Header("x-request-id"), RequestIdOf(aIndex));
      return true;
    }
    EXPECT_NE(aResponse.m_status, 0) << aResponse.m_error;
    EXPECT_TRUE(aResponse.Field("body").empty()) << aResponse.m_body;
    return false;
  }

  std::size_t CountOwn(std::vector<std::future<HttpResponse>>& aCalls)
  {
    std::size_t whole = 0;
    for (std::size_t i = 0; i < aCalls.size(); ++i) {
      whole += ExpectOwn(aCalls[i].get(), i) ? 1 : 0;
    }
    return whole;
  }

  /// Waits until requests through every entry instance have succeeded several times in a row.
  void WaitUntilSteady(const ServiceRequest& aRequest)
  {
    constexpr std::size_t kInRow = 20;
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      std::size_t inRow = 0;
      WaitUntil("steady lookups through " + m_entries[entry].m_id, [&] {
        inRow = Call(entry, aRequest).m_status == 200 ? inRow + 1 : 0;
        return inRow >= kInRow;
      });
    }
  }
};

// Guards against returning the response of another tenant's request when a server swaps two
// responses (invariant I3: a caller gets only the whole response to its own request).
TEST_F(ResponseFaultTest, Responses_WhenSwapped_NeverReachAnotherCaller)
{
  ControlBackends("cross?count=10");
  auto calls = SendLookups(48);
  EXPECT_LT(CountOwn(calls), 48U) << "no fault has reached a request";
  ControlBackends("cross?count=0");
  WaitUntilSteady({ "lookups", "tupelo", "body" });
}

// Guards against returning a truncated body as a complete response (invariant I3).
TEST_F(ResponseFaultTest, Responses_WhenTruncated_AreNeverPassedOn)
{
  ControlBackends("truncate?count=15");
  auto calls = SendLookups(48);
  EXPECT_LT(CountOwn(calls), 48U) << "no fault has reached a request";
  ControlBackends("truncate?count=0");
  WaitUntilSteady({ "lookups", "tupelo", "body" });
}

// Guards against recording the truncated response of a job as its outcome (invariants I3; I5: a job
// runs at most once).
TEST_F(ResponseFaultTest, JobResponse_WhenTruncated_IsFetchedWholeWithoutASecondRun)
{
  ControlBackends("truncate?count=1");
  const ServiceRequest request{ "batches", "tupelo", std::string(3'000, 'w'), "k1" };
  const auto response = RepeatUntilFinal(0, request);
  EXPECT_EQ(response.m_status, 200) << response.m_body;
  EXPECT_EQ(response.Field("body"), request.m_body);
  EXPECT_EQ(RepeatUntilFinal(1, request).m_body, response.m_body);
  EXPECT_EQ(StartedCount("k1"), 1U);
}

// Guards against returning a late response to the next request on the same connection (invariant
// I3).
TEST_F(ResponseFaultTest, Responses_AfterTheTimeout_NeverReachTheNextCaller)
{
  constexpr int kLongerThanTimeoutMs = 3'200;
  auto late = SendLookups(12, kLongerThanTimeoutMs);
  for (auto& call : late) {
    const auto response = call.get();
    EXPECT_NE(response.m_status, 200) << response.m_body;
    EXPECT_NE(response.Header("x-outcome"), "not-run") << response.m_body;
  }
  auto next = SendLookups(24);
  EXPECT_EQ(CountOwn(next), 24U);
}

// Guards against a server that receives more and more requests because it fails them immediately.
TEST_F(ResponseFaultTest, Server_FailingFast_IsAvoidedAndOthersServe)
{
  Control(m_backends[4], "fail-fast?on=1");
  WaitUntilSteady({ "lookups", "tupelo", "body" });
}

// Guards against requests that keep timing out because they are routed to a frozen server.
TEST_F(ResponseFaultTest, Server_WhenFrozen_IsAvoidedAndOthersServe)
{
  Control(m_backends[4], "freeze?on=1");
  WaitUntilSteady({ "counter", "tupelo", "body" });
  Control(m_backends[4], "freeze?on=0");
}

// Guards against a burst of one tenant that fills the queues of another tenant (8).
TEST_F(ResponseFaultTest, Burst_OfOneTenant_LeavesAnotherServed)
{
  constexpr std::size_t kBurst = 80; // Five times max_queued of the tenant.
  std::vector<std::future<HttpResponse>> burst;
  for (std::size_t i = 0; i < kBurst; ++i) {
    burst.push_back(
      CallAsync(0, { "lookups", "pecan", "body", {}, { { "X-Test-Run-Ms", "1000" } } }));
  }
  // The slots of the pool and the tenant's queue hold fewer requests than the burst, so one is
  // refused.
  WaitUntil("a refused request of the burst", [&] {
    return std::any_of(burst.begin(), burst.end(), [](auto& aCall) {
      return aCall.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    });
  });
  EXPECT_EQ(Call(0, { "lookups", "tupelo", "urgent" }).m_status, 200);
  for (auto& call : burst) {
    const auto response = call.get();
    EXPECT_TRUE(response.m_status == 200 || response.Header("x-outcome") == "not-run")
      << response.m_status << response.m_body;
  }
}

class UncontrolledPoolTest : public JobDeployment
{
protected:
  void SetUp() override { StartJobDeployment({}, "none"); }
};

// Guards against a second dispatch, or an assumed outcome, when the entry instance is killed during
// the run and the pool has no task control (invariant I5).
TEST_F(UncontrolledPoolTest, Job_WhenItsRunnerDiesAfterSending_StaysUnknown)
{
  const ServiceRequest request{
    "batches", "tupelo", "body", "k1", { { "X-Test-Run-Ms", "1000" } }
  };
  auto call = CallAsync(0, request);
  WaitForStart("k1");
  m_entries[0].m_child->Kill();
  EXPECT_EQ(call.get().m_status, 0);
  auto second = CallAsync(1, request);
  const auto response = second.get(); // Returns after the timeout of the service.
  EXPECT_EQ(response.m_status, 202) << response.m_body;
  EXPECT_EQ(response.Header("x-outcome"), "unknown");
  EXPECT_EQ(PhaseOf(2, "k1"), "claimed");
  EXPECT_EQ(StartedCount("k1"), 1U);
  EXPECT_EQ(FinishedCount("k1"), 1U);
}

} // namespace
} // namespace pistachiostand::testing
