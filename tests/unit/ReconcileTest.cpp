#include "JobFixture.h"

#include "pistachiostand/job/Reconcile.h"

namespace pistachiostand::fleet {
namespace {

class ReconcileTest : public JobFixture
{
protected:
  static constexpr Millis kRequested = kNow + 100;
  static constexpr Millis kResponded = kNow + 110;
  const SubtaskId m_subtask{ "a", 0, 0, 0 };

  ReconcileTest() { Add("a", { Step(1) }); }

  std::vector<RunRef> Report(const std::vector<ReportedRun>& aRunning)
  {
    ServerReport report;
    report.m_running = aRunning;
    return Reconcile(m_jobTable, "s1", report, kRequested, kResponded).m_stops;
  }

  fleet::Run& Planned(RunPhase aPhase)
  {
    PlanRun(m_jobTable, m_subtask, "s1", 1, kNow);
    auto& run = *FindRun(m_jobTable, { m_subtask, 1, "s1" });
    run.m_phase = aPhase;
    return run;
  }

  bool HasRun() { return FindRun(m_jobTable, { m_subtask, 1, "s1" }) != nullptr; }
};

// Guards against a second run while a start without a response may still be carried out.
TEST_F(ReconcileTest, StartWithoutAnswer_NotListed_IsKeptAndStopped)
{
  Planned(RunPhase::Sent).m_startTimedOutMs = kNow + 50;
  EXPECT_EQ(Report({}), (std::vector<RunRef>{ { m_subtask, 1, "s1" } }));
  EXPECT_TRUE(HasRun());
}

// Guards against dropping a start that was sent after the report was requested.
TEST_F(ReconcileTest, StartInFlight_NotListed_IsKept)
{
  Planned(RunPhase::Sent);
  EXPECT_TRUE(Report({}).empty());
  EXPECT_TRUE(HasRun());
}

// Guards against waiting forever for the end of a stopped run that never started.
TEST_F(ReconcileTest, StopAccepted_NotListed_IsDropped)
{
  Planned(RunPhase::Stopping).m_stopAcceptedMs = kNow + 60;
  EXPECT_TRUE(Report({}).empty());
  EXPECT_FALSE(HasRun());
}

// Guards against dropping a run whose stop has not been accepted: the order may have been lost.
TEST_F(ReconcileTest, StopNotAccepted_NotListed_IsKept)
{
  Planned(RunPhase::Stopping).m_stopSentMs = kNow + 60;
  Report({});
  EXPECT_TRUE(HasRun());
}

// Guards against a subtask that never runs again after a takeover: the server rejects the previous
// owner's orders once it has reported under the new token, so the run can be dropped.
TEST_F(ReconcileTest, RestoredRun_NotListed_IsDropped)
{
  Planned(RunPhase::Restored);
  Report({});
  EXPECT_FALSE(HasRun());
}

// Guards against a second run of a subtask that a previous owner started.
TEST_F(ReconcileTest, RestoredRun_Listed_GoesOn)
{
  Planned(RunPhase::Restored);
  Report({ { m_subtask, 1, "saved", 40, 0 } });
  ASSERT_TRUE(HasRun());
  EXPECT_EQ(FindRun(m_jobTable, { m_subtask, 1, "s1" })->m_phase, RunPhase::Running);
  EXPECT_EQ(FindSubtask(m_jobTable, m_subtask)->m_checkpoint, "saved");
}

// Guards against runs of unknown jobs, and of subtasks that already run elsewhere.
TEST_F(ReconcileTest, UnknownRuns_Listed_AreStopped)
{
  Run(m_subtask, "s2");
  const SubtaskId foreign{ "b", 0, 0, 0 };
  EXPECT_EQ(Report({ { m_subtask, 1, "", 10, 0 }, { foreign, 1, "", 10, 0 } }),
            (std::vector<RunRef>{ { m_subtask, 1, "s1" }, { foreign, 1, "s1" } }));
}

// Guards against dropping a start that is still in flight to a server that has restarted.
TEST_F(ReconcileTest, PreviousIncarnation_StartInFlight_IsKept)
{
  Planned(RunPhase::Sent);
  DropPreviousIncarnation(m_jobTable, "s1", kRequested, kNow);
  EXPECT_TRUE(HasRun());
  FindRun(m_jobTable, { m_subtask, 1, "s1" })->m_phase = RunPhase::Running;
  DropPreviousIncarnation(m_jobTable, "s1", kRequested, kNow);
  EXPECT_FALSE(HasRun());
}

// Guards against a second run beside one that the new incarnation has confirmed: the response that
// shows the restart belongs to an earlier request.
TEST_F(ReconcileTest, PreviousIncarnation_RunConfirmedSinceTheRequest_IsKept)
{
  auto& run = Planned(RunPhase::Running);
  run.m_sinceMs = kRequested;
  DropPreviousIncarnation(m_jobTable, "s1", kRequested, kNow);
  EXPECT_TRUE(HasRun());
}

// Guards against a second run beside one that starts late: a start without a response was to be
// stopped, its server restarted and lost the stop, and the start can still be carried out.
TEST_F(ReconcileTest, PreviousIncarnation_StopOfAStartWithoutAnswer_IsKept)
{
  auto& run = Planned(RunPhase::Sent);
  run.m_startTimedOutMs = kNow + 50;
  ASSERT_EQ(Report({}).size(), 1U);
  run.m_phase = RunPhase::Stopping;
  run.m_stopSentMs = kNow + 110;
  DropPreviousIncarnation(m_jobTable, "s1", kRequested, kNow + 200);
  EXPECT_TRUE(HasRun());
}

class ThrottleTest : public JobFixture
{
protected:
  ThrottleTest()
  {
    StepSpec serving = Step(1);
    serving.m_longRunning = true;
    serving.m_tailLatencyTargetMs = 100;
    StepSpec bestEffort = Step(1);
    bestEffort.m_longRunning = true;
    bestEffort.m_bestEffort = true;
    Add("a", { serving, bestEffort });
    m_serving = Run({ "a", 0, 0, 0 }, "s1");
    m_bestEffort = Run({ "a", 0, 1, 0 }, "s1");
  }

  std::vector<ThrottleChange> Plan(int aTailLatencyMs, int aSpeedPercent)
  {
    FindRun(m_jobTable, m_serving)->m_load = aTailLatencyMs;
    FindRun(m_jobTable, m_bestEffort)->m_speedPercent = aSpeedPercent;
    return PlanThrottling(m_jobTable, "s1");
  }

  RunRef m_serving;
  RunRef m_bestEffort;
};

// Guards against best-effort runs that keep a serving subtask above its tail latency target.
TEST_F(ThrottleTest, TailLatency_NearItsTarget_ThrottlesBestEffortRuns)
{
  EXPECT_EQ(Plan(95, 100), (std::vector<ThrottleChange>{ { m_bestEffort, 50 } }));
  EXPECT_EQ(Plan(95, 20), (std::vector<ThrottleChange>{ { m_bestEffort, 0 } }));
}

// Guards against best-effort runs that stay slow forever.
TEST_F(ThrottleTest, TailLatency_WellBelowItsTarget_SpeedsBestEffortRunsUp)
{
  EXPECT_EQ(Plan(30, 50), (std::vector<ThrottleChange>{ { m_bestEffort, 70 } }));
  EXPECT_TRUE(Plan(30, 100).empty());
  EXPECT_TRUE(Plan(70, 50).empty());
}

} // namespace
} // namespace pistachiostand::fleet
