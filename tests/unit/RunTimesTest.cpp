#include "JobFixture.h"
#include "RunTimeSums.h"

#include "pistachiostand/job/RunTimes.h"

#include <cmath>
#include <random>
#include <string>
#include <vector>

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
  const auto end =
    ApplyEnd(m_jobTable, { run.m_subtask, run.m_run, EndKind::Done, "" }, 3, kNow + 700);
  LearnEnd(m_times, m_jobTable.m_jobs.at("a"), run.m_subtask, end);
  EXPECT_TRUE(m_times.empty());
}

// Guards against learning from runs that tell nothing about how long a run takes.
TEST_F(RunTimesTest, FailedOrStoppedRun_IsNotLearnedFrom)
{
  Add("a", { Step(1, 1'000, 5'000) });
  for (const EndKind kind : { EndKind::Failed, EndKind::Stopped, EndKind::LeaseExpired }) {
    const RunRef run = Run({ "a", 0, 0, 0 }, "s1");
    const auto end = ApplyEnd(m_jobTable, { run.m_subtask, run.m_run, kind, "" }, 3, kNow + 700);
    LearnEnd(m_times, m_jobTable.m_jobs.at("a"), run.m_subtask, end);
  }
  EXPECT_TRUE(m_times.empty());
}

// Guards against one absurd value in fifty that distorts the estimates of all other jobs.
TEST_F(RunTimesTest, PoisonedValues_OtherEstimatesStay)
{
  Learn(0.1, 400);
  const auto clean = [this](Millis aDeclaredMs) {
    return static_cast<double>(Expected(aDeclaredMs));
  };
  const double small = clean(300);
  const double large = clean(2'000);
  std::mt19937 random{ 3 };
  std::normal_distribution<double> normal;
  for (int i = 0; i < 1'000; ++i) {
    const double run = kMeanMs * std::exp(kRunSigma * normal(random));
    const double declared = run * std::exp(0.1 * normal(random));
    const int kind = i % 150;
    LearnRun(m_times, "lookups",
             kind == 0    ? 0
             : kind == 50 ? 36'000'000
                          : static_cast<Millis>(declared),
             kind == 100 ? 2 : static_cast<Millis>(run));
  }
  EXPECT_NEAR(clean(300), small, small * 0.15);
  EXPECT_NEAR(clean(2'000), large, large * 0.15);
  // A declared time of 0 declares nothing.
  EXPECT_NEAR(clean(0), kMeanMs, kMeanMs * 0.3);
}

// Guards against a queue whose callers declare nothing: it must still be learned.
TEST_F(RunTimesTest, NothingDeclared_MeanIsExpected)
{
  for (int i = 0; i < 100; ++i) {
    LearnRun(m_times, "lookups", 0, 700);
  }
  EXPECT_NEAR(static_cast<double>(Expected(0)), 700, 10);
  EXPECT_NEAR(static_cast<double>(Expected(90)), 700, 10);
}

/// \brief A queue of jobs with one step of six subtasks, of one image each.
class RunTimesOfImagesTest : public RunTimesTest
{
protected:
  static constexpr int kWidth = 6;

  /// \brief Learns from a step whose true mean run time is aMeanMs and whose declared one is wrong
  /// by a factor of two.
  void LearnOne(double aMeanMs, const std::string& aImage = {}, double aSigma = 0.5)
  {
    const double step = aMeanMs * std::exp(aSigma * m_normal(m_random));
    const auto declared = static_cast<Millis>(300 * std::exp(0.7 * m_normal(m_random)));
    std::vector<Millis> ran;
    for (int i = 0; i < kWidth; ++i) {
      ran.push_back(static_cast<Millis>(step * std::exp(0.15 * m_normal(m_random))));
      LearnRun(m_times, "lookups", declared, ran.back(), aImage);
    }
    LearnStep(m_times, "lookups", declared, SumsOf(ran), aImage);
  }

  [[nodiscard]] double ExpectedOf(const std::string& aImage) const
  {
    return static_cast<double>(ExpectedTimes(m_times, "lookups", 300, 1, aImage).m_runMs);
  }

  std::mt19937 m_random{ 11 };
  std::normal_distribution<double> m_normal;
};

// Guards against one estimate for images whose runs take very different times.
TEST_F(RunTimesOfImagesTest, TwoImages_EachHasItsOwnTime)
{
  for (int i = 0; i < 60; ++i) {
    LearnOne(200, "thumbnail", 0.2);
    LearnOne(2'000, "transcode", 0.2);
  }
  EXPECT_NEAR(ExpectedOf("thumbnail"), 200, 60);
  EXPECT_NEAR(ExpectedOf("transcode"), 2'000, 600);
  // Unknown images, and steps without one, have the estimate of their queue.
  EXPECT_EQ(ExpectedOf("unknown"), ExpectedOf(""));
  const auto wide = ExpectedTimes(m_times, "lookups", 300, 16, "thumbnail");
  EXPECT_GT(wide.m_stepMs, wide.m_runMs * 11 / 10);
  EXPECT_LT(wide.m_stepMs, wide.m_runMs * 2);
}

// Guards against an estimate that jumps with the first runs of an image.
TEST_F(RunTimesOfImagesTest, FewRunsOfAnImage_AreShrunkToTheQueue)
{
  for (int i = 0; i < 60; ++i) {
    LearnOne(1'000, "usual", 0.2);
  }
  LearnRun(m_times, "lookups", 300, 10, "new");
  EXPECT_GT(ExpectedOf("new"), 700);
  for (int i = 0; i < 100; ++i) {
    LearnRun(m_times, "lookups", 300, 10, "new");
  }
  EXPECT_LT(ExpectedOf("new"), 50);
}

// Guards against memory that grows with the names of images, and against dropping a busy one.
TEST_F(RunTimesOfImagesTest, ManyImages_LeastRecentlyUsedIsRemoved)
{
  for (std::size_t i = 0; i < 3 * kMaxImagesPerQueue; ++i) {
    LearnRun(m_times, "lookups", 300, 100, "busy");
    LearnRun(m_times, "lookups", 300, 100, "once-" + std::to_string(i));
  }
  EXPECT_EQ(m_times.at("lookups").m_images.size(), kMaxImagesPerQueue);
  EXPECT_TRUE(m_times.at("lookups").m_images.contains(KeyOfImage("busy")));
  EXPECT_FALSE(m_times.at("lookups").m_images.contains(KeyOfImage("once-0")));
}

// Guards against estimates that follow a change of the workload only after a minute: a queue of 10
// runs per second has 250 runs in 25 s.
TEST_F(RunTimesOfImagesTest, WorkloadChanges_IsTrackedWithinSeconds)
{
  for (const double factor : { 3.0, 1.0 / 3.0 }) {
    m_times.clear();
    for (int i = 0; i < 400; ++i) {
      LearnOne(600);
    }
    int runs = 0;
    while (std::abs(std::log(ExpectedOf("") / (600 * factor * std::exp(0.125)))) > 0.3 &&
           runs < 2'000) {
      LearnOne(600 * factor);
      runs += kWidth;
    }
    EXPECT_LT(runs, 250) << factor;
    RecordProperty("runs_factor_" + std::to_string(static_cast<int>(factor * 100)), runs);
  }
}

// Guards against false alarms, which would make the estimates of a steady queue noisy.
TEST_F(RunTimesOfImagesTest, WorkloadSteady_EstimateStays)
{
  for (int i = 0; i < 400; ++i) {
    LearnOne(600);
  }
  for (int i = 0; i < 4'000; ++i) {
    LearnOne(600);
    ASSERT_GT(m_times.at("lookups").m_fit.m_weight, 400) << i;
  }
}

// Guards against estimates of steps without an image that depend on the images of other steps.
TEST_F(RunTimesOfImagesTest, StepsWithoutImage_AreEstimatedAsBefore)
{
  for (int i = 0; i < 100; ++i) {
    LearnOne(600, i % 2 == 0 ? "even" : "odd");
  }
  const StepTimes withImages = ExpectedTimes(m_times, "lookups", 400, 8);
  m_times.clear();
  m_random.seed(11);
  m_normal.reset();
  for (int i = 0; i < 100; ++i) {
    LearnOne(600);
  }
  EXPECT_EQ(withImages, ExpectedTimes(m_times, "lookups", 400, 8));
}

} // namespace
} // namespace pistachiostand::fleet
