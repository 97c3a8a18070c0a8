#include "JobDeployment.h"

#include <algorithm>
#include <chrono>
#include <future>

namespace pistachiostand::testing {
namespace {

class QueuedJobFaultTest : public JobDeployment
{
protected:
  void SetUp() override { StartJobDeployment({ "--slots=2" }); }

  /// Occupies all slots of the pool batches until ReleaseBatches(), independent of timing.
  std::vector<std::future<HttpResponse>> OccupyBatches()
  {
    std::vector<std::future<HttpResponse>> calls;
    constexpr std::size_t kSlots = 4;
    for (std::size_t i = 0; i < kSlots; ++i) {
      const auto key = "occupied-" + std::to_string(i);
      calls.push_back(
        CallAsync(1, { "batches", "tupelo", "body", key, { { "X-Test-Held", "1" } } }));
    }
    for (std::size_t i = 0; i < kSlots; ++i) {
      WaitForStart("occupied-" + std::to_string(i));
    }
    return calls;
  }

  void ReleaseBatches() const { ControlBackends("release"); }

  void ExpectAllCompleted(std::vector<std::future<HttpResponse>>& aCalls)
  {
    for (auto& call : aCalls) {
      EXPECT_EQ(call.get().m_status, 200);
    }
  }

  /// An entry instance other than the one given.
  static std::size_t Other(std::size_t aEntry) { return aEntry == 0 ? 1 : 0; }
};

// Guards against the loss of an accepted job when the entry instance that accepted it is killed.
TEST_F(QueuedJobFaultTest, Job_WhenItsAcceptorIsKilled_RunsOnce)
{
  auto occupied = OccupyBatches();
  SubmitJob(0, "batches", "k1");
  m_entries[0].m_child->Kill();
  EXPECT_EQ(StartedCount("k1"), 0U);
  ReleaseBatches();
  WaitForPhase(2, "k1", "completed");
  ExpectAllCompleted(occupied);
  EXPECT_EQ(StartedCount("k1"), 1U);
}

// Guards against queued jobs that are never run because the entry instance responsible for them
// sends heartbeats to its peers but cannot reach the platform.
TEST_F(QueuedJobFaultTest, Jobs_WhoseOwnerIsCutOffFromThePlatform_AreRunByOthers)
{
  Control(m_platform, "partition?from=" + m_entries[0].m_id);
  constexpr std::size_t kJobs = 12;
  for (std::size_t i = 0; i < kJobs; ++i) {
    SubmitJob(1, "batches", "cut-" + std::to_string(i));
  }
  for (std::size_t i = 0; i < kJobs; ++i) {
    WaitForPhase(1, "cut-" + std::to_string(i), "completed");
    EXPECT_EQ(StartedCount("cut-" + std::to_string(i)), 1U);
  }
}

// Guards against a second run of a non-idempotent queued job when the entry instance that runs it
// is killed (invariant I5: a job runs at most once).
TEST_F(QueuedJobFaultTest, NonIdempotentJob_WhenItsRunnerIsKilled_RunsOnce)
{
  ControlBackends("slow?ms=1500");
  SubmitJob(0, "batches", "k1");
  WaitForStart("k1");
  const auto claimant = ClaimantOf("k1").value();
  m_entries[claimant].m_child->Kill();
  WaitForPhase(Other(claimant), "k1", "completed");
  EXPECT_EQ(StartedCount("k1"), 1U);
  EXPECT_EQ(FinishedCount("k1"), 1U);
}

// Guards against the loss of an idempotent job when the entry instance that runs it is killed.
TEST_F(QueuedJobFaultTest, IdempotentJob_WhenItsRunnerIsKilled_RunsAgain)
{
  ControlBackends("slow?ms=600000");
  SubmitJob(0, "refresh", "k1");
  WaitForStart("k1");
  const auto claimant = ClaimantOf("k1").value();
  ControlBackends("slow?ms=0");
  m_entries[claimant].m_child->Kill();
  WaitForPhase(Other(claimant), "k1", "completed");
  EXPECT_EQ(StartedCount("k1"), 2U);
  EXPECT_EQ(FinishedCount("k1"), 1U);
}

// Guards against unlimited attempts of a job that always fails.
TEST_F(QueuedJobFaultTest, IdempotentJob_ThatAlwaysFails_EndsAfterFiveAttempts)
{
  ControlBackends("fail-fast?on=1");
  SubmitJob(0, "refresh", "k1");
  WaitForFinalPhase(1, "k1");
  EXPECT_EQ(PhaseOf(1, "k1"), "stopped");
  EXPECT_EQ(StartedCount("k1"), 5U);
}

// Guards against a run of a queued job after its cancel (invariant I4: a job reported as "not-run"
// never runs).
TEST_F(QueuedJobFaultTest, Cancel_OfQueuedJob_PreventsItsRun)
{
  auto occupied = OccupyBatches();
  SubmitJob(0, "batches", "k1");
  const auto response = CancelJob(2, "k1");
  EXPECT_EQ(response.m_status, 200) << response.m_body;
  // An entry instance with outdated load data may claim the job, which the full server refuses.
  // The outcome is "unknown" until the claim is given back.
  const auto outcome = response.Field("outcome");
  EXPECT_TRUE(outcome == "not-run" || outcome == "unknown") << response.m_body;
  WaitForPhase(2, "k1", "not-run");
  ReleaseBatches();
  ExpectAllCompleted(occupied);
  // A job submitted after the cancel has run, so the canceled one would have run before it.
  SubmitJob(0, "batches", "k2");
  WaitForPhase(2, "k2", "completed");
  EXPECT_EQ(StartedCount("k1"), 0U);
  EXPECT_EQ(PhaseOf(2, "k1"), "not-run");
}

// Guards against the loss of a cancel that arrives at an entry instance before it has read the job
// from the log.
TEST_F(QueuedJobFaultTest, Cancel_BeforeTheEntryHasReadTheJob_PreventsItsRun)
{
  auto occupied = OccupyBatches();
  Control(m_platform, "hold-reads?from=" + m_entries[2].m_id);
  SubmitJob(0, "batches", "k1");
  auto response = std::async(std::launch::async, [this] { return CancelJob(2, "k1"); });
  response.wait_for(std::chrono::milliseconds{ 200 });
  Control(m_platform, "hold-reads?on=0");
  EXPECT_EQ(response.get().m_status, 200);
  WaitForPhase(2, "k1", "not-run");
  ReleaseBatches();
  ExpectAllCompleted(occupied);
  EXPECT_EQ(StartedCount("k1"), 0U);
}

// Guards against a cancel that does not stop a running job on its server, or reports it as not run.
TEST_F(QueuedJobFaultTest, Cancel_OfRunningJob_StopsItTruthfully)
{
  ControlBackends("slow?ms=600000");
  SubmitJob(0, "batches", "k1");
  SubmitJob(0, "refresh", "k2");
  auto waiting = CallAsync(1, { "batches", "tupelo", "body", "k3" });
  for (const std::string key : { "k1", "k2", "k3" }) {
    WaitForStart(key);
    EXPECT_EQ(CancelJob(2, key).m_status, 200);
    WaitForPhase(2, key, "stopped");
    EXPECT_EQ(StartedCount(key), 1U);
    EXPECT_EQ(FinishedCount(key), 0U);
    EXPECT_EQ(RunsOf(key).at(0).value("end", ""), "stopped");
  }
  const auto response = waiting.get();
  EXPECT_EQ(response.m_status, 502) << response.m_body;
  EXPECT_EQ(response.Header("x-outcome"), "stopped");
}

// Guards against jobs that run after their cancel, or stay open, when many jobs are cancelled at
// once (invariant I4).
TEST_F(QueuedJobFaultTest, Cancel_OfManyJobs_ReportsTheirTrueOutcomes)
{
  ControlBackends("slow?ms=100");
  constexpr std::size_t kJobs = 60;
  for (std::size_t i = 0; i < kJobs; ++i) {
    SubmitJob(i % 3, i % 2 == 0 ? "batches" : "refresh", "w" + std::to_string(i));
  }
  std::vector<std::future<HttpResponse>> cancels;
  for (std::size_t i = 0; i < kJobs; ++i) {
    cancels.push_back(SendAsync({ "DELETE",
                                  m_entries[(i + 1) % 3].m_address,
                                  "/v1/jobs/w" + std::to_string(i),
                                  { { "X-Tenant", "tupelo" } } }));
  }
  for (auto& cancel : cancels) {
    EXPECT_EQ(cancel.get().m_status, 200);
  }
  std::size_t notRun = 0;
  for (std::size_t i = 0; i < kJobs; ++i) {
    const auto key = "w" + std::to_string(i);
    WaitForFinalPhase(0, key);
    const bool isNotRun = PhaseOf(0, key) == "not-run";
    notRun += isNotRun ? 1 : 0;
    EXPECT_EQ(StartedCount(key), isNotRun ? 0U : 1U) << key << " " << PhaseOf(0, key);
  }
  EXPECT_GT(notRun, 0U);
}

// Guards against a planned stop that aborts requests in flight, or waits for queued jobs that other
// entry instances can run (invariant I7: planned changes abort no requests).
TEST_F(QueuedJobFaultTest, Stop_UnderLoad_FinishesRequestsAndLeavesQueuedJobsToOthers)
{
  auto occupied = OccupyBatches();
  std::vector<std::future<HttpResponse>> lookups;
  for (std::size_t i = 0; i < 4; ++i) {
    const auto id = "flight-" + std::to_string(i);
    lookups.push_back(CallAsync(
      0, { "lookups", "tupelo", id, {}, { { "X-Request-Id", id }, { "X-Test-Run-Ms", "800" } } }));
    WaitUntil("the start of " + id, [&] { return StartedCount(id) == 1; });
  }
  constexpr std::size_t kJobs = 12;
  for (std::size_t i = 0; i < kJobs; ++i) {
    SubmitJob(0, "batches", "q" + std::to_string(i));
  }
  Terminate(m_entries[0]);
  for (std::size_t i = 0; i < lookups.size(); ++i) {
    const auto response = lookups[i].get();
    EXPECT_EQ(response.m_status, 200) << response.m_error << response.m_body;
    EXPECT_EQ(response.Field("body"), "flight-" + std::to_string(i));
  }
  EXPECT_EQ(m_entries[0].m_child->WaitForExit(), 0);
  // The slots are still occupied, so the process has neither run the queued jobs nor waited for
  // them.
  EXPECT_EQ(FinishedCount("occupied-0"), 0U);
  ReleaseBatches();
  for (std::size_t i = 0; i < kJobs; ++i) {
    const auto key = "q" + std::to_string(i);
    WaitForPhase(1, key, "completed");
    EXPECT_EQ(StartedCount(key), 1U);
  }
  ExpectAllCompleted(occupied);
}

// Guards against a planned stop that aborts a request arriving while it begins (invariant I7).
TEST_F(QueuedJobFaultTest, Stop_WhileCallersKeepCalling_AnswersOrRefusesEachRequest)
{
  constexpr std::size_t kCalls = 120;
  std::vector<std::future<HttpResponse>> calls;
  for (std::size_t i = 0; i < kCalls; ++i) {
    calls.push_back(
      CallAsync(0, { "lookups", "tupelo", "body", {}, { { "X-Test-Run-Ms", "20" } } }));
    if (i == kCalls / 2) {
      Terminate(m_entries[0]);
    }
  }
  std::size_t completed = 0;
  for (auto& call : calls) {
    const auto response = call.get();
    completed += response.m_status == 200 ? 1 : 0;
    const bool isRefused = response.m_status == 503 || response.m_status == 429 ||
                           response.m_error.find("onnect") != std::string::npos;
    EXPECT_TRUE(response.m_status == 200 || isRefused)
      << response.m_status << " " << response.m_error << response.m_body;
  }
  EXPECT_GT(completed, 0U);
  EXPECT_EQ(m_entries[0].m_child->WaitForExit(), 0);
}

} // namespace
} // namespace pistachiostand::testing
