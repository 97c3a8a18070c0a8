#include "JobFixture.h"

#include "pistachiostand/job/Backlog.h"

namespace pistachiostand::fleet {
namespace {

class BacklogTest : public JobFixture
{
protected:
  QueueBacklog Backlog(Millis aNowMs = kNow)
  {
    return BacklogByQueue(m_jobTable, aNowMs)["lookups"];
  }
};

TEST_F(BacklogTest, NoCapacity_CountsSubtasksAndTheLongestWait)
{
  constexpr Millis kWaitMs = 700;
  Add("a", { Step(3) });
  const auto backlog = Backlog(kNow + kWaitMs);
  EXPECT_EQ(backlog.m_jobs, 1U);
  EXPECT_EQ(backlog.m_waitingForPlacement, 3U);
  EXPECT_EQ(backlog.m_longestPlacementWaitMs, kWaitMs);
}

TEST_F(BacklogTest, RunsOfEachPhase_AreCountedByWhatTheyWaitFor)
{
  Add("a", { Step(4) });
  Run({ "a", 0, 0, 0 }, "s1");
  PlanRun(m_jobTable, { "a", 0, 0, 1 }, "s1", 1, kNow);
  PlanRun(m_jobTable, { "a", 0, 0, 2 }, "s1", 1, kNow);
  FindRun(m_jobTable, { { "a", 0, 0, 2 }, 1, "s1" })->m_phase = RunPhase::Sent;
  const auto backlog = Backlog();
  EXPECT_EQ(backlog.m_running, 1U);
  EXPECT_EQ(backlog.m_waitingForRecord, 1U);
  EXPECT_EQ(backlog.m_waitingForServer, 1U);
  EXPECT_EQ(backlog.m_waitingForPlacement, 1U);
}

TEST_F(BacklogTest, LaterStep_IsNotWaitingYet)
{
  StepSpec second = Step(2);
  second.m_dependencies = { 0 };
  Add("a", { Step(1), second });
  EXPECT_EQ(Backlog().m_waitingForPlacement, 1U);
  End(Run({ "a", 0, 0, 0 }, "s1"), EndKind::Done);
  EXPECT_EQ(Backlog().m_waitingForPlacement, 2U);
}

TEST_F(BacklogTest, EndedJob_IsLeftOut)
{
  Add("a", { Step(1) });
  CancelJob(m_jobTable, "a");
  EXPECT_EQ(Backlog(), QueueBacklog{});
}

} // namespace
} // namespace pistachiostand::fleet
