#include "JobFixture.h"

#include "pistachiostand/job/Demand.h"
#include "pistachiostand/job/JobCodec.h"
#include "pistachiostand/job/PlacementPass.h"

#include <malloc.h>

#include <random>

namespace pistachiostand::fleet {
namespace {

/// \brief Accepted jobs with many waiting subtasks.
class LargeJobTest : public JobFixture
{
protected:
  static constexpr Millis kDueMs = 1'000'000;

  /// \brief Adds a job of which all occurrences are due.
  void AddDue(const JobId& aId, std::vector<StepSpec> aSteps, std::uint32_t aOccurrences)
  {
    JobSpec spec = Spec(aId, std::move(aSteps));
    spec.m_occurrences = aOccurrences;
    spec.m_intervalMs = 200;
    ASSERT_TRUE(AddJob(m_jobTable, std::move(spec), kNow, 0));
    OpenDueOccurrences(m_jobTable, kDueMs, kNow);
  }

  /// \brief Scheduled jobs whose second half of steps follows all of the first half.
  void AddJobsOfManySteps(int aJobs)
  {
    std::vector<StepSpec> steps(256, Step(1, 4'000));
    for (std::uint32_t step = 128; step < steps.size(); ++step) {
      for (std::uint32_t earlier = 0; earlier < 128; ++earlier) {
        steps[step].m_dependencies.push_back(earlier);
      }
    }
    for (int job = 0; job < aJobs; ++job) {
      AddDue("job" + std::to_string(job), steps, 100);
    }
  }

  static std::size_t HeapBytes()
  {
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
  }
};

// Guards against an owner that exceeds its memory, and the next one after it: each subtask of each
// due occurrence had an entry, 288 MB for these jobs (review, case 12).
TEST_F(LargeJobTest, ScheduledJobs_AllOccurrencesDue_TakeMemoryForTheirSpecificationOnly)
{
  constexpr std::size_t kMaxBytes = 1'000'000;
  const std::size_t before = HeapBytes();
  for (int job = 0; job < 12; ++job) {
    AddDue("job" + std::to_string(job), { Step(20'000) }, 10);
  }
  EXPECT_LT(HeapBytes() - before, kMaxBytes);
}

// Guards against the same memory for subtasks that are done.
TEST_F(LargeJobTest, WideJob_NearlyDone_TakesMemoryForWhatRunsOnly)
{
  constexpr std::size_t kMaxBytes = 200'000;
  constexpr std::uint32_t kCount = 20'000;
  const std::size_t before = HeapBytes();
  AddDue("a", { Step(kCount) }, 2);
  for (std::uint32_t index = 0; index + 1 < kCount; ++index) {
    End(Run({ "a", 0, 0, index }, "s1"), EndKind::Done);
  }
  m_jobTable.m_changed.clear();
  EXPECT_LT(HeapBytes() - before, kMaxBytes);
  EXPECT_TRUE(FindSubtask(m_jobTable, { "a", 0, 0, 17 })->m_done);
  EXPECT_FALSE(FindSubtask(m_jobTable, { "a", 0, 0, kCount - 1 })->m_done);
}

// Guards against the same memory in the next owner.
TEST_F(LargeJobTest, ChangeOfOwner_ScheduledJob_TakesMemoryForWhatHasBegunOnly)
{
  constexpr std::size_t kMaxBytes = 200'000;
  AddDue("a", { Step(20'000) }, 10);
  End(Run({ "a", 3, 0, 5 }, "s1"), EndKind::Done);
  const Job job = m_jobTable.m_jobs.at("a");
  const std::size_t before = HeapBytes();
  JobTable later;
  ASSERT_TRUE(AddJob(later, job.m_spec, kNow, 0));
  for (const auto& part : m_jobTable.m_changed) {
    ASSERT_TRUE(ApplyProgress(later, KeyOf(part), EncodeProgress(job, part.m_number), kNow));
  }
  EXPECT_LT(HeapBytes() - before, kMaxBytes);
  EXPECT_TRUE(FindSubtask(later, { "a", 3, 0, 5 })->m_done);
  EXPECT_EQ(WaitingOccurrences(later.m_jobs.at("a")), 9U);
}

// Guards against occurrences that start out of order, or twice, because they have no entry.
TEST_F(LargeJobTest, ScheduledJob_CapacityForAPart_EarliestOccurrencesComeFirst)
{
  AddDue("a", { Step(2) }, 50);
  std::vector<ServerView> servers{ MakeServer("s1", 7'000) };
  const auto placed = Place(servers);
  ASSERT_EQ(placed.size(), 7U);
  for (std::uint32_t number = 0; number < placed.size(); ++number) {
    EXPECT_EQ(placed[number].m_subtask, (SubtaskId{ "a", number / 2, 0, number % 2 }));
  }
  servers[0].m_free = { 2'000, 10'000, 0 };
  const auto next = Place(servers);
  ASSERT_EQ(next.size(), 2U);
  EXPECT_EQ(next[0].m_subtask, (SubtaskId{ "a", 3, 0, 1 }));
  EXPECT_EQ(next[1].m_subtask, (SubtaskId{ "a", 4, 0, 0 }));
}

// Guards against an occurrence that delays the later ones although it has no value any more.
TEST_F(LargeJobTest, ScheduledJob_EarlyOccurrencesAreLate_ThoseInTimeComeFirst)
{
  AddDue("a", { Step(1) }, 100);
  std::vector<ServerView> servers{ MakeServer("s1", 1'000) };
  const auto placed = Place(servers, kNow + 10'000);
  ASSERT_EQ(placed.size(), 1U);
  const Job& job = m_jobTable.m_jobs.at("a");
  const QueueRule& rule = m_configuration.m_queues.front();
  const auto occurrence = placed[0].m_subtask.m_occurrence;
  EXPECT_GT(occurrence, 0U);
  EXPECT_EQ(UrgencyOf(job, &rule, occurrence, nullptr, kNow + 10'000), Urgency::InTime);
  EXPECT_GT(UrgencyOf(job, &rule, occurrence - 1, nullptr, kNow + 10'000), Urgency::InTime);
}

// Guards against instances that are not ordered for occurrences without an entry.
TEST_F(LargeJobTest, DemandByPool_OccurrencesThatHaveNotBegun_CountLikeThoseThatHave)
{
  const auto demand = [this] {
    return DemandByPool(
      { m_jobTable, m_configuration, {}, { { "lookup", { 8'000, 100'000, 0 } } }, kNow, 0 });
  };
  AddDue("a", { Step(4), Step(2) }, 6);
  const auto waiting = demand().at("lookup");
  for (std::uint32_t number = 0; number < 6; ++number) {
    const RunRef run{ { "a", number, 0, 0 }, 1, "s1" };
    PlanRun(m_jobTable, run.m_subtask, run.m_server, run.m_run, kNow);
    DropRun(m_jobTable, run, kNow);
  }
  ASSERT_EQ(WaitingOccurrences(m_jobTable.m_jobs.at("a")), 0U);
  const auto begun = demand().at("lookup");
  EXPECT_NEAR(begun.m_runnable, waiting.m_runnable, 1e-6);
  EXPECT_NEAR(begun.m_averageParallelism, waiting.m_averageParallelism, 1e-6);
  EXPECT_NEAR(begun.m_lateInstanceSeconds, waiting.m_lateInstanceSeconds, 1e-6);
}

// Guards against ends that are lost or counted twice: the counts are kept, not computed.
TEST_F(LargeJobTest, AnyHistory_CountsOfSubtasks_AgreeWithTheirStates)
{
  std::mt19937 random{ 7 };
  const auto below = [&random](std::uint32_t aEnd) {
    return std::uniform_int_distribution<std::uint32_t>{ 0, aEnd - 1 }(random);
  };
  StepSpec second = Step(3);
  second.m_dependencies = { 0 };
  AddDue("a", { Step(5), second }, 4);
  const Job& job = m_jobTable.m_jobs.at("a");
  for (int round = 0; round < 2'000 && job.m_phase == JobPhase::Active; ++round) {
    const SubtaskId id{ "a", below(4), below(2), below(3) + below(3) };
    const Subtask* subtask = FindSubtask(m_jobTable, id);
    if (subtask == nullptr || subtask->m_done) {
      continue;
    }
    if (subtask->m_runs.empty()) {
      Run(id, "s" + std::to_string(below(3)));
    } else {
      const RunRef run{ id, subtask->m_runs.front().m_number, subtask->m_runs.front().m_server };
      switch (below(4)) {
        case 0:
          DropRun(m_jobTable, run, kNow);
          break;
        case 1:
          End(run, EndKind::Stopped);
          break;
        default:
          End(run, EndKind::Done);
          EXPECT_FALSE(End(run, EndKind::Done));
      }
    }
    for (std::uint32_t occurrence = 0; occurrence < 4; ++occurrence) {
      const fleet::Occurrence* state = job.m_occurrences.Find(occurrence);
      for (std::uint32_t step = 0; step < 2 && !job.m_occurrences.HasEnded(occurrence); ++step) {
        SubtaskCounts counts;
        for (std::uint32_t index = 0; index < job.m_spec.m_steps[step].m_count; ++index) {
          const Subtask& one = *FindSubtask(m_jobTable, { "a", occurrence, step, index });
          counts.m_done += one.m_done ? 1 : 0;
          counts.m_started += !one.m_done && !one.m_runs.empty() ? 1 : 0;
          counts.m_waiting += !one.m_done && one.m_runs.empty() ? 1 : 0;
        }
        ASSERT_EQ(CountSubtasks(job.m_spec, state, step), counts);
      }
    }
  }
  EXPECT_EQ(job.m_phase, JobPhase::Completed);
  EXPECT_EQ(job.m_runCount, 0U);
  EXPECT_EQ(m_jobTable.m_used["s0"], Resources{});
}

// Guards against an owner that loses its ownership in the middle of a pass: a pass visited each
// waiting step of each occurrence, with all that it depends on (review, case 13).
TEST_F(LargeJobTest, Pass_JobsOfManySteps_VisitsFarLessThanWhatWaits)
{
  constexpr std::size_t kWaitingSteps = std::size_t{ 20 } * 100 * 128;
  AddJobsOfManySteps(20);
  std::vector<ServerView> servers{ MakeServer("s1", 8'000) };
  PlacementPass pass{ m_input };
  EXPECT_TRUE(pass.Continue(m_jobTable, m_configuration, servers, kWaitingSteps));
  EXPECT_EQ(pass.Result().m_placements.size(), 2U);
  EXPECT_LT(pass.Visits(), kWaitingSteps / 10);
}

// Guards against a pass that keeps the loop from renewing the ownership however long it is.
TEST_F(LargeJobTest, Pass_InTurns_EachVisitsNoMoreThanItsBudgetAndAllIsPlaced)
{
  constexpr std::size_t kBudget = 1'000;
  // The last job or step visited ends the turn.
  constexpr std::size_t kMaxVisits = kBudget + std::size_t{ 3 } * 256;
  AddJobsOfManySteps(20);
  std::vector<ServerView> servers{ MakeServer("s1", 400'000) };
  servers[0].m_capacity.m_memoryMb = servers[0].m_free.m_memoryMb = 1'000'000;
  PlacementPass pass{ m_input };
  int turns = 1;
  for (; !pass.Continue(m_jobTable, m_configuration, servers, kBudget); ++turns) {
    EXPECT_LE(pass.Visits(), kMaxVisits);
  }
  EXPECT_GT(turns, 5);
  EXPECT_EQ(pass.TakePlacements().size(), 100U);
}

// Guards against a start of a job that ended between two turns of a pass.
TEST_F(LargeJobTest, Pass_JobCancelledBetweenTurns_IsNotPlaced)
{
  Add("a", { Step(1) });
  Add("b", { Step(1) });
  std::vector<ServerView> servers{ MakeServer("s1", 8'000) };
  PlacementPass pass{ m_input };
  ASSERT_FALSE(pass.Continue(m_jobTable, m_configuration, servers, 1));
  CancelJob(m_jobTable, "a");
  while (!pass.Continue(m_jobTable, m_configuration, servers, 1)) {
  }
  const auto placed = pass.TakePlacements();
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_EQ(placed[0].m_subtask.m_job, "b");
}

} // namespace
} // namespace pistachiostand::fleet
