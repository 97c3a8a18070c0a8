#include "pistachiostand/account/RunningLimit.h"

#include "JobFixture.h"

#include "pistachiostand/job/JobCodec.h"

#include <algorithm>

namespace pistachiostand::fleet {
namespace {

constexpr std::size_t kLargestRecord = 1'000'000;

class RunningLimitTest : public JobFixture
{
protected:
  RunningLimitTest() { SetLimit("hot", { 4'000, 0, 0 }); }

  void SetLimit(const AccountName& aName, const Resources& aLimit)
  {
    Account account;
    account.m_name = aName;
    account.m_maxRunning = aLimit;
    m_configuration.m_accounts.insert_or_assign(aName, account);
  }

  void AddFor(const AccountName& aAccount, const JobId& aId, std::vector<StepSpec> aSteps)
  {
    auto spec = Spec(aId, std::move(aSteps));
    spec.m_account = aAccount;
    ASSERT_TRUE(AddJob(m_jobTable, std::move(spec), kNow, 0));
  }

  static StepSpec Gang(std::uint32_t aCount, std::int64_t aCpuMillis)
  {
    StepSpec step = Step(aCount, aCpuMillis);
    step.m_gang = true;
    return step;
  }

  std::size_t CountStarts(Millis aNowMs = kNow)
  {
    std::vector<ServerView> servers{ MakeServer("s1", 1'000'000) };
    servers[0].m_capacity.m_memoryMb = servers[0].m_free.m_memoryMb = 1'000'000;
    m_input.m_nowMs = aNowMs;
    m_result = PlaceSubtasks(m_jobTable, m_configuration, servers, m_input);
    for (const auto& placement : m_result.m_placements) {
      const RunRef ref{ placement.m_subtask, placement.m_run, placement.m_server };
      FindRun(m_jobTable, ref)->m_phase = RunPhase::Sent;
      MarkRunning(m_jobTable, ref, kNow);
    }
    return m_result.m_placements.size();
  }

  /// \brief Ends the runs of the last pass.
  void EndLast(EndKind aKind = EndKind::Done)
  {
    for (const auto& placement : SchedulerResult{ m_result }.m_placements) {
      End({ placement.m_subtask, placement.m_run, placement.m_server }, aKind);
    }
  }

  /// \brief State of the next owner, from the stored submissions and progress records.
  JobTable TakeOver()
  {
    JobTable next;
    for (const auto& [id, job] : m_jobTable.m_jobs) {
      AddJob(next, *DecodeSubmission(EncodeSubmission(job.m_spec)), kNow, 0);
    }
    for (const auto& [id, job] : m_jobTable.m_jobs) {
      for (std::uint32_t part = 0; part < PartCount(job.m_spec); ++part) {
        EXPECT_TRUE(ApplyProgress(next, KeyOf({ id, part }),
                                  EncodeProgress(job, part, kLargestRecord), kNow));
      }
    }
    return next;
  }

  std::int64_t UsedCpu(const AccountName& aName)
  {
    return m_jobTable.m_usedByAccount[aName].m_cpuMillis;
  }

  SchedulerResult m_result;
};

// Guards against a start beyond the limit in any dimension, and against a limit of 0 that blocks.
TEST_F(RunningLimitTest, StartsAllowed_EachDimension_Limits)
{
  EXPECT_EQ(StartsAllowed({}, { 1'000, 10, 1 }, {}, 7), 7U);
  EXPECT_EQ(StartsAllowed({ 1'000, 0, 0 }, { 1'000, 10, 1 }, { 4'000, 0, 0 }, 7), 3U);
  EXPECT_EQ(StartsAllowed({ 1'000, 0, 0 }, { 1'000, 10, 1 }, { 4'000, 25, 0 }, 7), 2U);
  EXPECT_EQ(StartsAllowed({ 1'000, 0, 1 }, { 1'000, 10, 1 }, { 4'000, 25, 2 }, 7), 1U);
  EXPECT_EQ(StartsAllowed({ 1'000, 0, 2 }, { 1'000, 10, 1 }, { 4'000, 25, 2 }, 7), 0U);
  // What is exceeded after a limit was lowered holds back only what needs more of it.
  EXPECT_EQ(StartsAllowed({ 1'000, 0, 4 }, { 1'000, 10, 0 }, { 4'000, 0, 2 }, 7), 3U);
  EXPECT_EQ(StartsAllowed({ 9'000, 0, 0 }, { 1'000, 10, 0 }, { 4'000, 0, 0 }, 7), 0U);
}

// Guards against a subtask that never runs because it does not fit beside others or at all, and
// against a second one beyond the tolerated amount.
TEST_F(RunningLimitTest, StartsAllowed_LargeSubtaskBelowHalfOfTheLimit_IsOne)
{
  EXPECT_EQ(StartsAllowed({}, { 5'000, 0, 0 }, { 4'000, 0, 0 }, 7), 1U);
  EXPECT_EQ(StartsAllowed({}, { 5'000, 0, 0 }, { 4'000, 0, 0 }, 0), 0U);
  EXPECT_EQ(StartsAllowed({ 1'999, 0, 0 }, { 3'000, 0, 0 }, { 4'000, 0, 0 }, 7), 1U);
  EXPECT_EQ(StartsAllowed({ 2'000, 0, 0 }, { 3'000, 0, 0 }, { 4'000, 0, 0 }, 7), 0U);
  EXPECT_EQ(StartsAllowed({ 5'000, 0, 0 }, { 5'000, 0, 0 }, { 4'000, 0, 0 }, 7), 0U);
  EXPECT_EQ(StartsAllowed({ 0, 50, 0 }, { 5'000, 1, 0 }, { 4'000, 100, 0 }, 7), 0U);
}

// Guards against a gang that starts beyond the tolerance, or in part, or that is refused although
// it may run alone: 10 x 1.1 and one member of 1.
TEST_F(RunningLimitTest, Gang_UpToTheTolerance_RunsAlone)
{
  const Resources one{ 1, 0, 0 };
  const Resources ten{ 10, 0, 0 };
  EXPECT_TRUE(MayStartGang({ 4, 0, 0 }, one, ten, 6, 0.1));
  EXPECT_FALSE(MayStartGang({ 4, 0, 0 }, one, ten, 7, 0.1));
  EXPECT_TRUE(MayStartGang({}, one, ten, 12, 0.1));
  EXPECT_FALSE(MayStartGang(one, one, ten, 12, 0.1));
  EXPECT_FALSE(MayStartGang({}, one, ten, 13, 0.1));
  EXPECT_TRUE(CanEverRun(one, ten, 12, true, 0.1));
  EXPECT_FALSE(CanEverRun(one, ten, 13, true, 0.1));
  EXPECT_TRUE(CanEverRun(one, ten, 13, false, 0.1));
  EXPECT_TRUE(CanEverRun(one, {}, 13, true, 0.1));
  EXPECT_TRUE(CanEverRun({ 50, 0, 0 }, ten, 1, true, 0));
  EXPECT_FALSE(CanEverRun({ 1, 0, 1 }, { 10, 0, 1 }, 3, true, 0));
}

// Guards against an account with a large backlog that delays others, or that takes their capacity.
TEST_F(RunningLimitTest, OneHotAccount_ManySmallOnes_AllOthersStart)
{
  for (int i = 0; i < 300; ++i) {
    AddFor("hot", "a" + std::to_string(i), { Step(20) });
  }
  for (int i = 0; i < 50; ++i) {
    SetLimit("small" + std::to_string(i), { 2'000, 0, 0 });
    AddFor("small" + std::to_string(i), "z" + std::to_string(i), { Step(1) });
  }
  AddFor("", "no-account", { Step(5) });
  AddFor("removed", "not-configured", { Step(5) });
  EXPECT_EQ(CountStarts(), 4U + 50U + 5U + 5U);
  EXPECT_EQ(UsedCpu("hot"), 4'000);
  EXPECT_EQ(m_result.m_heldBack.size(), 1U);
  EXPECT_EQ(m_result.m_heldBack.at("hot").m_steps, 300U);
  EXPECT_EQ(CountStarts(), 0U);
}

// Guards against a wide step that starts as a whole or gets stuck: it runs in waves.
TEST_F(RunningLimitTest, WideStep_RunsInWaves)
{
  AddFor("hot", "wide", { Step(10) });
  EXPECT_EQ(CountStarts(), 4U);
  EndLast();
  EXPECT_EQ(CountStarts(), 4U);
  EndLast();
  EXPECT_EQ(CountStarts(), 2U);
  EndLast();
  EXPECT_EQ(m_jobTable.m_jobs.at("wide").m_phase, JobPhase::Completed);
  EXPECT_TRUE(m_jobTable.m_usedByAccount.empty());
}

// Guards against a partial gang, and against one that is skipped forever when the account is idle.
TEST_F(RunningLimitTest, GangWiderThanTheLimit_WaitsUntilTheAccountIsIdle)
{
  AddFor("hot", "first", { Step(1) });
  EXPECT_EQ(CountStarts(), 1U);
  AddFor("hot", "gang", { Gang(5, 1'000) });
  EXPECT_EQ(CountStarts(), 0U);
  m_result.m_placements = { { { "first", 0, 0, 0 }, "s1", 1, false } };
  EndLast();
  EXPECT_EQ(CountStarts(), 5U);
  EXPECT_EQ(CountStarts(), 0U);
  AddFor("hot", "too-wide", { Gang(6, 1'000) });
  m_result.m_placements = {};
  EXPECT_EQ(CountStarts(), 0U);
}

// Guards against copies that are started beyond the limit, or that are not counted.
TEST_F(RunningLimitTest, SpeculativeCopy_Counts)
{
  StepSpec step = Step(3);
  step.m_speculative = true;
  AddFor("hot", "a", { step });
  EXPECT_EQ(CountStarts(), 3U);
  std::vector<ServerView> servers{ MakeServer("s2", 100'000) };
  EXPECT_EQ(Place(servers, kNow + 10'000).size(), 1U);
  EXPECT_EQ(UsedCpu("hot"), 4'000);
}

// Guards against best-effort runs that count only with what they reserve on their server.
TEST_F(RunningLimitTest, BestEffort_CountsItsDeclaredNeed)
{
  StepSpec step = Step(10);
  step.m_bestEffort = true;
  step.m_longRunning = true;
  AddFor("hot", "a", { step });
  EXPECT_EQ(CountStarts(), 4U);
}

// Guards against runs that a lowered limit stops, and against starts before enough of them ended.
TEST_F(RunningLimitTest, LoweredLimit_HoldsBackStartsOnly)
{
  AddFor("hot", "a", { Step(4) });
  AddFor("hot", "b", { Step(4) });
  EXPECT_EQ(CountStarts(), 4U);
  const auto running = m_result.m_placements;
  SetLimit("hot", { 2'000, 0, 0 });
  EXPECT_EQ(CountStarts(), 0U);
  EXPECT_TRUE(RunsToStop(m_jobTable).empty());
  std::vector<std::size_t> starts;
  for (const auto& placement : running) {
    End({ placement.m_subtask, placement.m_run, placement.m_server }, EndKind::Done);
    starts.push_back(CountStarts());
  }
  EXPECT_EQ(starts, (std::vector<std::size_t>{ 0, 0, 1, 1 }));
  m_configuration.m_accounts.clear();
  EXPECT_EQ(CountStarts(), 2U);
}

// Guards against runs that count no more although they may still run: a stop was ordered, or their
// job has ended.
TEST_F(RunningLimitTest, StoppingRuns_CountUntilTheirEnd)
{
  AddFor("hot", "a", { Step(4) });
  EXPECT_EQ(CountStarts(), 4U);
  const auto running = m_result.m_placements;
  CancelJob(m_jobTable, "a");
  for (const auto& ref : RunsToStop(m_jobTable)) {
    FindRun(m_jobTable, ref)->m_phase = RunPhase::Stopping;
  }
  AddFor("hot", "b", { Step(4) });
  EXPECT_EQ(CountStarts(), 0U);
  m_result.m_placements = running;
  EndLast(EndKind::Stopped);
  EXPECT_EQ(CountStarts(), 4U);
}

// Guards against a new owner that starts a whole quota besides what its predecessor started.
TEST_F(RunningLimitTest, Takeover_RestoredRunsCount)
{
  StepSpec bestEffort = Step(1);
  bestEffort.m_bestEffort = true;
  AddFor("hot", "a", { Step(2) });
  AddFor("hot", "b", { bestEffort });
  AddFor("hot", "c", { Step(8) });
  EXPECT_EQ(CountStarts(), 4U);
  const auto before = m_jobTable.m_usedByAccount;
  m_jobTable = TakeOver();
  EXPECT_EQ(m_jobTable.m_usedByAccount, before);
  EXPECT_EQ(CountStarts(), 0U);
  EXPECT_FALSE(DropServerRuns(m_jobTable, "s1", kNow).empty());
  EXPECT_EQ(CountStarts(), 4U);
  // A run that only a server's report lists counts too.
  EXPECT_TRUE(AdoptRun(m_jobTable, { { "c", 0, 0, 7 }, 1, "s2" }, kNow));
  EXPECT_EQ(UsedCpu("hot"), 5'000);
}

} // namespace
} // namespace pistachiostand::fleet
