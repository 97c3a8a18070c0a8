#include "JobFixture.h"

#include "pistachiostand/job/RunTimes.h"

#include <cmath>
#include <random>

namespace pistachiostand::fleet {
namespace {

/// \brief A queue whose declared run times are wrong by a random factor.
class RunTimesTest : public JobFixture
{
protected:
  void Learn(double aErrorSigma, int aRuns)
  {
    std::mt19937 random{ 7 };
    std::normal_distribution<double> normal;
    for (int i = 0; i < aRuns; ++i) {
      const double run = kMeanMs * std::exp(kRunSigma * normal(random));
      const double declared = run * std::exp(aErrorSigma * normal(random));
      LearnRun(m_times, "lookups", static_cast<Millis>(declared), static_cast<Millis>(run));
    }
  }

  [[nodiscard]] Millis Expected(Millis aDeclaredMs) const
  {
    return ExpectedTimes(m_times, "lookups", aDeclaredMs, 1).m_runMs;
  }

  static constexpr double kMeanMs = 640;
  static constexpr double kRunSigma = 0.47;
  RunTimes m_times;
};

// Guards against work that is ordered by wrong declarations: when they are wrong by a factor of
// 2.5, the mean run time of the queue is a better estimate (regression: scenario
// spokecalc-south-large, counter-lookup).
TEST_F(RunTimesTest, DeclarationsFarOff_ExpectedIsNearTheMean)
{
  Learn(0.9, 400);
  EXPECT_NEAR(static_cast<double>(Expected(60)), kMeanMs, kMeanMs / 2);
  EXPECT_NEAR(static_cast<double>(Expected(6'000)), kMeanMs, kMeanMs);
  EXPECT_LT(Expected(60), Expected(6'000));
}

// Guards against ignoring accurate declarations.
TEST_F(RunTimesTest, DeclarationsRight_AreFollowed)
{
  Learn(0.05, 400);
  EXPECT_NEAR(static_cast<double>(Expected(200)), 200, 20);
  EXPECT_NEAR(static_cast<double>(Expected(2'000)), 2'000, 200);
}

// Guards against an estimate from a handful of runs or from runs of another queue.
TEST_F(RunTimesTest, FewRuns_DeclarationIsUsed)
{
  Learn(0.9, 5);
  EXPECT_EQ(Expected(60), 60);
  Learn(0.9, 400);
  EXPECT_EQ(ExpectedTimes(m_times, "other", 60, 1).m_runMs, 60);
}

// Guards against a critical path that is too short: a step ends with its longest subtask.
TEST_F(RunTimesTest, WideStep_TakesLongerThanOneOfItsSubtasks)
{
  Learn(0.5, 400);
  const auto wide = ExpectedTimes(m_times, "lookups", 640, 16);
  EXPECT_GT(wide.m_stepMs, wide.m_runMs * 11 / 10);
}

// Guards against an objective that uses the declared time of a step whose real time is known.
TEST_F(RunTimesTest, StepDone_ItsTimeIsMeasured)
{
  StepSpec second = Step(1, 1'000, 1'000);
  second.m_dependencies = { 0 };
  Add("a", { Step(1, 1'000, 5'000), second });
  const RunRef run = Run({ "a", 0, 0, 0 }, "s1");
  ApplyEnd(m_jobTable, { run.m_subtask, run.m_run, EndKind::Done, "" }, 3, kNow + 700);
  Job& job = m_jobTable.m_jobs.at("a");
  EXPECT_EQ(job.m_criticalPathMs, 1'700);
  UpdateExpectedTimes(job, m_times);
  EXPECT_EQ(job.m_criticalPathMs, 1'700);
}

// Guards against learning from a run of which this owner has seen only a part.
TEST_F(RunTimesTest, ResumedOrInheritedRun_IsNotLearnedFrom)
{
  Add("a", { Step(1, 1'000, 5'000) });
  const RunRef run = Run({ "a", 0, 0, 0 }, "s1");
  FindRun(m_jobTable, run)->m_inherited = true;
  ApplyEnd(m_jobTable, { run.m_subtask, run.m_run, EndKind::Done, "" }, 3, kNow + 700);
  LearnEnd(m_times, m_jobTable.m_jobs.at("a"), run.m_subtask);
  EXPECT_TRUE(m_times.empty());
}

} // namespace
} // namespace pistachiostand::fleet
