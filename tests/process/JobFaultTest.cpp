#include "JobDeployment.h"

namespace pistachiostand::testing {
namespace {

class JobFaultTest : public JobDeployment
{
protected:
  void SetUp() override { StartJobDeployment(); }

  /// A batch of tenant `tupelo` that runs for `aRunMs`.
  static ServiceRequest Batch(const std::string& aKey, int aRunMs = 5)
  {
    return {
      "batches", "tupelo", "body of " + aKey, aKey, { { "X-Test-Run-Ms", std::to_string(aRunMs) } }
    };
  }

  void ExpectWhole(const HttpResponse& aResponse, const std::string& aKey)
  {
    EXPECT_EQ(aResponse.m_status, 200) << aResponse.m_body;
    EXPECT_EQ(aResponse.Header("x-outcome"), "completed");
    EXPECT_EQ(aResponse.Field("body"), "body of " + aKey);
  }

  void ExpectOneRun(const std::string& aKey)
  {
    EXPECT_EQ(StartedCount(aKey), 1U) << RunsOf(aKey).dump();
    EXPECT_EQ(FinishedCount(aKey), 1U) << RunsOf(aKey).dump();
  }

  /// Waits until every running entry instance reports this phase, also one that was paused.
  void WaitForPhaseEverywhere(const std::string& aKey, const std::string& aPhase)
  {
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      if (m_entries[entry].m_child->IsRunning()) {
        WaitForPhase(entry, aKey, aPhase);
      }
    }
  }

  /// Sends the batch through the first entry instance while the platform holds reads of the log, so
  /// that the claimant does not read its own claim and does not dispatch the job.
  std::future<HttpResponse> ClaimUnseen(const std::string& aKey)
  {
    Control(m_platform, "hold-reads");
    auto call = CallAsync(0, Batch(aKey));
    WaitForClaim(aKey);
    return call;
  }

  void ReleaseReads() { Control(m_platform, "hold-reads?on=0"); }
};

// Guards against a claim that stays open, or is still dispatched, after its claimant was killed
// before the dispatch (invariants I4: a job reported as "not-run" never runs; I5: a job runs at
// most once).
TEST_F(JobFaultTest, Claimant_KilledBeforeDispatch_JobRunsOnceOnRepeat)
{
  auto call = ClaimUnseen("k1");
  m_entries[0].m_child->Kill();
  ReleaseReads();
  EXPECT_EQ(call.get().m_status, 0);
  ExpectWhole(RepeatUntilFinal(1, Batch("k1")), "k1");
  ExpectOneRun("k1");
}

// Guards against a second run, or a lost response, when the claimant is killed during the run
// (invariant I5).
TEST_F(JobFaultTest, Claimant_KilledDuringRun_RepeatGetsTheWholeResponse)
{
  auto call = CallAsync(0, Batch("k1", 1'500));
  WaitForStart("k1");
  m_entries[0].m_child->Kill();
  EXPECT_EQ(call.get().m_status, 0);
  auto second = CallAsync(1, Batch("k1"));
  auto third = CallAsync(2, Batch("k1"));
  ExpectWhole(second.get(), "k1");
  ExpectWhole(third.get(), "k1");
  Restart(m_entries[0]);
  WaitUntilReady(m_entries[0]);
  ExpectWhole(RepeatUntilFinal(0, Batch("k1")), "k1");
  ExpectOneRun("k1");
}

// Guards against a paused claimant that dispatches although a successor has released its claim, and
// against a server that accepts such a dispatch (invariants I4 and I5).
TEST_F(JobFaultTest, Claimant_PausedBeforeDispatch_NeverDispatchesLate)
{
  auto call = ClaimUnseen("k1");
  Pause(m_entries[0]);
  ReleaseReads();
  WaitForPhase(1, "k1", "not-run");
  EXPECT_EQ(StartedCount("k1"), 0U);
  ExpectWhole(RepeatUntilFinal(1, Batch("k1")), "k1");
  Resume(m_entries[0]);
  WaitForPhaseEverywhere("k1", "completed");
  const auto first = call.get();
  EXPECT_NE(first.Header("x-outcome"), "not-run") << first.m_body;
  ExpectOneRun("k1");
  EXPECT_EQ(RunsOf("k1").at(0).value("attempt", ""), "2");
}

// Guards against a server that accepts a late dispatch because it did not store the stop of that
// attempt (invariant I5).
TEST_F(JobFaultTest, Dispatch_AfterTheStopOfItsAttempt_IsRefused)
{
  auto call = ClaimUnseen("k1");
  Pause(m_entries[0]);
  ReleaseReads();
  WaitForPhase(1, "k1", "not-run");
  for (std::size_t server = 0; server < 2; ++server) {
    const auto stopped =
      SendRequest({ "POST", m_backends[server].m_address, "/tasks/tupelo%2Fk1/stop?attempt=1" });
    EXPECT_EQ(stopped.Field("state"), "never-started");
  }
  std::size_t refused = 0;
  for (std::size_t server = 0; server < 2; ++server) {
    const auto late = SendRequest({ "POST",
                                    m_backends[server].m_address,
                                    "/run/batches",
                                    { { "X-Request-Id", "late" },
                                      { "X-Tenant", "tupelo" },
                                      { "X-Pool", "batches" },
                                      { "X-Job-Key", "tupelo/k1" },
                                      { "X-Attempt", "1" } },
                                    "body" });
    refused += late.Header("x-not-run") == "stopped" ? 1 : 0;
  }
  EXPECT_EQ(refused, 2U);
  EXPECT_EQ(StartedCount("k1"), 0U);
  Resume(m_entries[0]);
  static_cast<void>(call.get());
}

// Guards against a successor that stops or repeats a running job when the claimant is paused, not
// dead.
TEST_F(JobFaultTest, Claimant_PausedDuringRun_JobRunsOnceAndBothCallersGetIt)
{
  auto call = CallAsync(0, Batch("k1", 3'000));
  WaitForStart("k1");
  Pause(m_entries[0]);
  auto second = CallAsync(1, Batch("k1"));
  ExpectWhole(second.get(), "k1");
  Resume(m_entries[0]);
  ExpectWhole(call.get(), "k1");
  WaitForPhaseEverywhere("k1", "completed");
  ExpectOneRun("k1");
}

// Guards against a second run when the claim is in the log and only the response of its append was
// lost (invariant I5).
TEST_F(JobFaultTest, Append_WithLostResponseAtTheClaim_RunsOnce)
{
  Control(m_platform, "lose?count=1000");
  const auto response = RepeatUntilFinal(0, Batch("k1"));
  Control(m_platform, "lose?count=0");
  ExpectWhole(response, "k1");
  WaitForPhaseEverywhere("k1", "completed");
  ExpectOneRun("k1");
}

// Guards against a job that stays open, or runs again, when the response to the append of its
// outcome is lost.
TEST_F(JobFaultTest, Append_WithLostResponseAtTheOutcome_IsCompletedOnce)
{
  auto call = CallAsync(0, Batch("k1", 500));
  WaitForStart("k1");
  Control(m_platform, "lose?count=1000");
  ExpectWhole(call.get(), "k1");
  WaitForPhaseEverywhere("k1", "completed");
  Control(m_platform, "lose?count=0");
  ExpectWhole(RepeatUntilFinal(2, Batch("k1")), "k1");
  ExpectOneRun("k1");
}

// Guards against the dispatch of a claim whose window has passed, and against a claim that stays
// open when the response to the append of its release is lost (invariant I4).
TEST_F(JobFaultTest, Append_WithLostResponseAtTheRelease_EndsAsNotRun)
{
  auto call = ClaimUnseen("k1");
  const auto first = call.get(); // Returns after the claim window.
  EXPECT_EQ(first.m_status, 202) << first.m_body;
  Control(m_platform, "lose?count=1000");
  ReleaseReads();
  WaitForPhaseEverywhere("k1", "not-run");
  Control(m_platform, "lose?count=0");
  EXPECT_EQ(StartedCount("k1"), 0U);
  ExpectWhole(RepeatUntilFinal(1, Batch("k1")), "k1");
  ExpectOneRun("k1");
}

// Guards against a run, or a wrong outcome, when the platform goes down between claim and dispatch.
TEST_F(JobFaultTest, Platform_DownAfterTheClaim_ReportsTheTrueOutcomeWhenItReturns)
{
  for (const std::string mode : { "down", "down?mode=hang" }) {
    const std::string key = mode == "down" ? "k1" : "k2";
    auto call = ClaimUnseen(key);
    Control(m_platform, mode);
    ReleaseReads();
    const auto first = call.get();
    EXPECT_EQ(first.m_status, 202) << first.m_body;
    EXPECT_EQ(StartedCount(key), 0U);
    Control(m_platform, "up");
    ExpectWhole(RepeatUntilFinal(1, Batch(key)), key);
    ExpectOneRun(key);
  }
}

// Guards against a response that is withheld, or a second run, when the platform goes down during
// the run.
TEST_F(JobFaultTest, Platform_DownDuringTheRun_ResponseArrivesAndIsRecordedLater)
{
  auto call = CallAsync(0, Batch("k1", 500));
  WaitForStart("k1");
  Control(m_platform, "down");
  ExpectWhole(call.get(), "k1");
  Control(m_platform, "up");
  WaitForPhaseEverywhere("k1", "completed");
  ExpectWhole(RepeatUntilFinal(2, Batch("k1")), "k1");
  ExpectOneRun("k1");
}

// Guards against two runs, or different responses, when requests with the same key arrive at
// several entry instances (invariants I5; I3: a caller gets only the whole response to its own
// request).
TEST_F(JobFaultTest, Key_ThroughThreeEntries_RunsOnceWithTheSameResponse)
{
  for (const std::size_t bytes : { 100U, 6'000U }) {
    const auto key = "k" + std::to_string(bytes);
    auto request = Batch(key, 300);
    request.m_body = std::string(bytes, 'w');
    std::vector<std::future<HttpResponse>> calls;
    for (std::size_t i = 0; i < 9; ++i) {
      calls.push_back(CallAsync(i % 3, request));
    }
    WaitForStart(key);
    calls.push_back(CallAsync(1, request));
    calls.push_back(CallAsync(2, request));
    auto other = request;
    other.m_body += "x";
    WaitForPhase(1, key, "claimed");
    EXPECT_EQ(Call(1, other).m_status, 409);
    const auto first = calls.front().get();
    EXPECT_EQ(first.Field("body"), request.m_body);
    for (std::size_t i = 1; i < calls.size(); ++i) {
      const auto response = calls[i].get();
      EXPECT_EQ(response.m_status, 200) << response.m_body;
      EXPECT_EQ(response.m_body, first.m_body);
    }
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      WaitForPhase(entry, key, "completed");
      EXPECT_EQ(Call(entry, request).m_body, first.m_body);
      EXPECT_EQ(Call(entry, other).m_status, 409);
    }
    ExpectOneRun(key);
  }
}

// Guards against a job that was reported as "not-run" and is then run, because its first entry
// instance retries it for its own caller (invariant I4).
TEST_F(JobFaultTest, Key_ReportedAsNotRun_IsNotRunByAnInternalRetry)
{
  auto call = ClaimUnseen("k1");
  ControlBackends("leaving?on=1");
  ReleaseReads();
  WaitForPhase(1, "k1", "not-run");
  EXPECT_EQ(GetJob(1, "k1").Header("x-outcome"), "not-run");
  ControlBackends("leaving?on=0");
  const auto first = call.get();
  EXPECT_NE(first.m_status, 0) << first.m_error;
  EXPECT_EQ(StartedCount("k1"), 0U) << first.m_status << first.m_body;
}

// Guards against the outcome "not-run" after one server refused the job although another has a free
// slot.
TEST_F(JobFaultTest, Job_RefusedByALeavingServer_RunsOnceOnAnother)
{
  Control(m_backends.at(0), "leaving?on=1");
  std::vector<std::future<HttpResponse>> calls;
  for (std::size_t i = 0; i < 12; ++i) {
    calls.push_back(CallAsync(i % m_entries.size(), Batch("move-" + std::to_string(i))));
  }
  for (std::size_t i = 0; i < calls.size(); ++i) {
    ExpectWhole(calls[i].get(), "move-" + std::to_string(i));
    ExpectOneRun("move-" + std::to_string(i));
  }
}

} // namespace
} // namespace pistachiostand::testing
