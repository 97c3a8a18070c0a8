#include "JobFixture.h"

#include "pistachiostand/job/JobCodec.h"

namespace pistachiostand::fleet {
namespace {

using JobTableTest = JobFixture;

const SubtaskId kFirst{ "a", 0, 0, 0 };
const SubtaskId kSecond{ "a", 0, 0, 1 };

// Guards against a job that runs twice because its submission was repeated.
TEST_F(JobTableTest, AddJob_RepeatedId_IsRefused)
{
  Add("a", { Step(1) });
  EXPECT_FALSE(AddJob(m_jobTable, Spec("a", { Step(2) }), kNow, 0));
  EXPECT_EQ(FindSubtask(m_jobTable, kSecond), nullptr);
}

// Guards against losing a cancellation that was read before the submission.
TEST_F(JobTableTest, CancelJob_BeforeItsSubmission_CancelsItOnArrival)
{
  CancelJob(m_jobTable, "a");
  Add("a", { Step(1) });
  EXPECT_EQ(m_jobTable.m_jobs.at("a").m_phase, JobPhase::Cancelled);
  EXPECT_TRUE(m_jobTable.m_active.empty());
}

// Guards against a step that starts before the steps that it waits for are done.
TEST_F(JobTableTest, IsStepRunnable_EarlierStepPartlyDone_IsFalse)
{
  StepSpec second = Step(1);
  second.m_dependencies = { 0 };
  Add("a", { Step(2), second });
  const Job& job = m_jobTable.m_jobs.at("a");
  End(Run(kFirst, "s1"), EndKind::Done);
  EXPECT_FALSE(IsStepRunnable(job, *job.m_occurrences.Find(0), 1));
  End(Run(kSecond, "s1"), EndKind::Done);
  EXPECT_TRUE(IsStepRunnable(job, *job.m_occurrences.Find(0), 1));
}

// Guards against counting an end twice when a server lists it again.
TEST_F(JobTableTest, ApplyEnd_RepeatedFailure_CountsOnce)
{
  Add("a", { Step(1) });
  const auto run = Run(kFirst, "s1");
  EXPECT_TRUE(End(run, EndKind::Failed));
  EXPECT_FALSE(End(run, EndKind::Failed));
  EXPECT_EQ(FindSubtask(m_jobTable, kFirst)->m_failures, 1U);
}

// Guards against a count of waiting jobs that omits those whose runs are planned but were never
// sent because the store was unavailable (0 of 4 waiting jobs were counted).
TEST_F(JobTableTest, CountPending_RunPlannedButNotStarted_StillCounts)
{
  Add("a", { Step(1) });
  PlanRun(m_jobTable, kFirst, "s1", 1, kNow);
  EXPECT_EQ(CountPending(m_jobTable, "lookups"), 1U);
  EXPECT_EQ(StateOf(m_jobTable.m_jobs.at("a")), PublicJobState::Queued);
  FindRun(m_jobTable, { kFirst, 1, "s1" })->m_phase = RunPhase::Sent;
  EXPECT_EQ(CountPending(m_jobTable, "lookups"), 1U);
  MarkRunning(m_jobTable, { kFirst, 1, "s1" }, kNow);
  EXPECT_EQ(CountPending(m_jobTable, "lookups"), 0U);
}

// Guards against a job that is retried forever or fails too early.
TEST_F(JobTableTest, ApplyEnd_LastAllowedFailure_FailsTheJob)
{
  Add("a", { Step(1) });
  End(Run(kFirst, "s1"), EndKind::Failed);
  End(Run(kFirst, "s1"), EndKind::Failed);
  EXPECT_EQ(m_jobTable.m_jobs.at("a").m_phase, JobPhase::Active);
  End(Run(kFirst, "s1"), EndKind::Failed);
  EXPECT_EQ(m_jobTable.m_jobs.at("a").m_phase, JobPhase::Failed);
}

// Guards against a long-running job that ends because its subtasks failed often.
TEST_F(JobTableTest, ApplyEnd_LongRunningSubtask_NeverFailsNorCompletes)
{
  StepSpec longRunning = Step(1);
  longRunning.m_longRunning = true;
  Add("a", { longRunning });
  for (int i = 0; i < 5; ++i) {
    End(Run(kFirst, "s1"), i % 2 == 0 ? EndKind::Failed : EndKind::Done);
  }
  EXPECT_EQ(m_jobTable.m_jobs.at("a").m_phase, JobPhase::Active);
  EXPECT_FALSE(FindSubtask(m_jobTable, kFirst)->m_done);
}

// Guards against applying the end of a gang, which one member reports, to that member only.
TEST_F(JobTableTest, ApplyEnd_OneMemberOfAGangDone_CompletesTheStep)
{
  StepSpec gang = Step(3);
  gang.m_gang = true;
  Add("a", { gang });
  End(Run(kFirst, "s1"), EndKind::Done);
  EXPECT_EQ(m_jobTable.m_jobs.at("a").m_phase, JobPhase::Completed);
}

// Guards against reporting a state before it is stored, since a change of owner could revert it.
TEST_F(JobTableTest, StateOf_CompletedButNotStored_IsRunning)
{
  Add("a", { Step(1) });
  End(Run(kFirst, "s1"), EndKind::Done);
  Job& job = m_jobTable.m_jobs.at("a");
  EXPECT_EQ(StateOf(job), PublicJobState::Running);
  job.m_phaseStored = true;
  EXPECT_EQ(StateOf(job), PublicJobState::Completed);
}

// Guards against completing a job that has occurrences to come.
TEST_F(JobTableTest, OpenDueOccurrences_BeforeTheLastIsDue_JobStaysActive)
{
  JobSpec spec = Spec("a", { Step(1) });
  spec.m_occurrences = 2;
  spec.m_firstDueMs = 1'000;
  spec.m_intervalMs = 500;
  ASSERT_TRUE(AddJob(m_jobTable, spec, kNow, 0));
  OpenDueOccurrences(m_jobTable, 999, kNow);
  EXPECT_EQ(m_jobTable.m_jobs.at("a").m_dueOccurrences, 0U);
  OpenDueOccurrences(m_jobTable, 1'000, kNow);
  End(Run(kFirst, "s1"), EndKind::Done);
  EXPECT_EQ(m_jobTable.m_jobs.at("a").m_phase, JobPhase::Active);
  OpenDueOccurrences(m_jobTable, 1'500, kNow);
  End(Run({ "a", 1, 0, 0 }, "s1"), EndKind::Done);
  EXPECT_EQ(m_jobTable.m_jobs.at("a").m_phase, JobPhase::Completed);
}

// Guards against capacity that is lost or counted twice, however runs end.
TEST_F(JobTableTest, UsedCapacity_AfterAllRunsEnded_IsZero)
{
  Add("a", { Step(3) });
  const auto done = Run(kFirst, "s1");
  const auto dropped = Run(kSecond, "s1");
  Run({ "a", 0, 0, 2 }, "s1");
  EXPECT_EQ(m_jobTable.m_used.at("s1").m_cpuMillis, 3'000);
  End(done, EndKind::Done);
  DropRun(m_jobTable, dropped, kNow);
  DropServerRuns(m_jobTable, "s1", kNow);
  EXPECT_EQ(m_jobTable.m_used.at("s1"), Resources{});
  EXPECT_TRUE(m_jobTable.m_byServer.empty());
}

// Guards against runs of an ended job that are never stopped.
TEST_F(JobTableTest, RunsToStop_CancelledJob_ListsItsRuns)
{
  Add("a", { Step(1) });
  const auto run = Run(kFirst, "s1");
  EXPECT_TRUE(RunsToStop(m_jobTable).empty());
  CancelJob(m_jobTable, "a");
  EXPECT_EQ(RunsToStop(m_jobTable), std::vector<RunRef>{ run });
}

// Guards against an owner that loses the job progress that its predecessor stored.
TEST_F(JobTableTest, Progress_EncodedAndApplied_RestoresRunsAndEnds)
{
  Add("a", { Step(2) });
  End(Run(kFirst, "s1"), EndKind::Done);
  const auto open = Run(kSecond, "s2");
  JobTable later;
  ASSERT_TRUE(AddJob(later, Spec("a", { Step(2) }), kNow, 0));
  ASSERT_TRUE(ApplyProgress(later, "a", EncodeProgress(m_jobTable.m_jobs.at("a")), kNow));
  EXPECT_TRUE(FindSubtask(later, kFirst)->m_done);
  ASSERT_NE(FindRun(later, open), nullptr);
  EXPECT_EQ(FindRun(later, open)->m_phase, RunPhase::Restored);
  EXPECT_EQ(later.m_used.at("s2").m_cpuMillis, 1'000);
}

// Guards against reporting a finished job as unknown after its submission was removed.
TEST_F(JobTableTest, Progress_OfAFinishedJob_IsKnownWithoutItsSubmission)
{
  Add("a", { Step(1) });
  End(Run(kFirst, "s1"), EndKind::Done);
  JobTable later;
  ASSERT_TRUE(ApplyProgress(later, "a", EncodeProgress(m_jobTable.m_jobs.at("a")), kNow));
  EXPECT_EQ(StateOf(later.m_jobs.at("a")), PublicJobState::Completed);
  EXPECT_FALSE(AddJob(later, Spec("a", { Step(1) }), kNow, 0));
}

// Guards against a crash or a spurious job when a stored record is corrupt.
TEST_F(JobTableTest, Progress_DamagedBytes_IsRefused)
{
  EXPECT_FALSE(ApplyProgress(m_jobTable, "a", "\xc1garbage", kNow));
  EXPECT_FALSE(DecodeSubmission("\x99\x01"));
  EXPECT_TRUE(m_jobTable.m_jobs.empty());
}

// Guards against fields that are lost when a submission is stored and read back.
TEST_F(JobTableTest, Submission_EncodedAndDecoded_IsEqual)
{
  JobSpec spec = Spec("a", { Step(2), Step(1) });
  spec.m_steps[1].m_dependencies = { 0 };
  spec.m_steps[1].m_image = "image";
  spec.m_steps[1].m_gang = true;
  spec.m_firstDueMs = 5;
  spec.m_terms = { 4, 1.5, 600, AdviceCosts{ 200, 30, 3'000 } };
  EXPECT_EQ(DecodeSubmission(EncodeSubmission(spec)), spec);
}

// Guards against jobs that are lost in an upgrade, because their submissions were stored before the
// terms of the queue, or the account, were part of them.
TEST_F(JobTableTest, Submission_StoredWithLaterFieldsMissing_IsDecoded)
{
  constexpr std::size_t kEmptyAccountBytes = 2; // A header for 0 bytes.
  constexpr std::size_t kDefaultTermsBytes = 5; // Array header, 1, 1, 0 and an empty array.
  std::string record = EncodeSubmission(Spec("a", { Step(2) }));
  record.front() = '\x9a';
  record.resize(record.size() - kEmptyAccountBytes);
  ASSERT_TRUE(DecodeSubmission(record));
  EXPECT_EQ(DecodeSubmission(record)->m_account, "");
  record.front() = '\x99';
  record.resize(record.size() - kDefaultTermsBytes);
  const auto spec = DecodeSubmission(record);
  ASSERT_TRUE(spec);
  EXPECT_EQ(spec->m_steps.at(0).m_count, 2U);
  EXPECT_EQ(spec->m_terms, QueueTerms{});
}

// Guards against jobs that are lost in an upgrade, because an instance that is upgraded later
// refuses the fields that a newer one has appended to the record.
TEST_F(JobTableTest, Submission_StoredWithAFieldOfALaterVersion_IsDecoded)
{
  JobSpec spec = Spec("a", { Step(2) });
  spec.m_account = "tupelo";
  std::string record = EncodeSubmission(spec);
  record.front() = '\x9c';
  record += '\x07';
  EXPECT_EQ(DecodeSubmission(record), spec);
}

// Guards against running a subtask again after it is done: a run that had been dropped ended as
// done after a later one had ended, and its end was ignored as outdated.
TEST_F(JobTableTest, ApplyEnd_EarlierRunDoneAfterALaterOneEnded_SubtaskIsDone)
{
  Add("a", { Step(1) });
  const auto first = Run(kFirst, "s1");
  DropRun(m_jobTable, first, kNow);
  End(Run(kFirst, "s2"), EndKind::Stopped);
  EXPECT_TRUE(End(first, EndKind::Done));
  EXPECT_TRUE(FindSubtask(m_jobTable, kFirst)->m_done);
}

// Guards against servers that seem full for as long as an owner holds its lease: progress records
// were read a second time because a later page had failed, and the runs were counted twice.
TEST_F(JobTableTest, ApplyProgress_ReadTwice_CountsRunsOnce)
{
  Add("a", { Step(1) });
  const auto run = Run(kFirst, "s1");
  const auto record = EncodeProgress(m_jobTable.m_jobs.at("a"));
  m_jobTable = {};
  Add("a", { Step(1) });
  ASSERT_TRUE(ApplyProgress(m_jobTable, "a", record, kNow));
  ASSERT_TRUE(ApplyProgress(m_jobTable, "a", record, kNow));
  EXPECT_EQ(FindSubtask(m_jobTable, kFirst)->m_runs.size(), 1U);
  End(run, EndKind::Done);
  EXPECT_EQ(m_jobTable.m_used["s1"], Resources{});
}

// Guards against an owner that loses the progress of a wide job, which is stored in several
// records.
TEST_F(JobTableTest, Progress_WideJob_IsRestoredFromItsPartsInAnyOrder)
{
  constexpr std::uint32_t kCount = 3 * kSubtasksPerPart;
  JobSpec spec = Spec("a", { Step(1), Step(kCount) });
  spec.m_intervalMs = 1'000;
  spec.m_occurrences = 2;
  ASSERT_TRUE(AddJob(m_jobTable, spec, kNow, 0));
  OpenDueOccurrences(m_jobTable, 10'000, kNow);
  for (std::uint32_t occurrence = 0; occurrence < 2; ++occurrence) {
    for (std::uint32_t index = 0; index < kCount; ++index) {
      const auto run = Run({ "a", occurrence, 1, index }, "s1");
      if (index % 3 != 0) {
        End(run, index % 3 == 1 ? EndKind::Done : EndKind::Stopped, "saved");
      }
    }
  }
  const Job& job = m_jobTable.m_jobs.at("a");
  ASSERT_EQ(PartCount(spec), m_jobTable.m_changed.size());
  JobTable later;
  ASSERT_TRUE(AddJob(later, spec, kNow, 0));
  for (std::uint32_t number = PartCount(spec); number-- > 0;) {
    ASSERT_TRUE(ApplyProgress(later, KeyOf({ "a", number }), EncodeProgress(job, number), kNow));
  }
  for (std::uint32_t occurrence = 0; occurrence < 2; ++occurrence) {
    for (std::uint32_t index = 0; index < kCount; ++index) {
      const SubtaskId id{ "a", occurrence, 1, index };
      const Subtask& before = *FindSubtask(m_jobTable, id);
      const Subtask& after = *FindSubtask(later, id);
      EXPECT_EQ(after.m_done, before.m_done) << index;
      EXPECT_EQ(after.m_lastEndedRun, before.m_lastEndedRun) << index;
      EXPECT_EQ(after.m_runs.size(), before.m_runs.size()) << index;
      EXPECT_EQ(after.m_checkpoint, before.m_checkpoint) << index;
    }
  }
  EXPECT_EQ(later.m_load.at("s1").m_runs, m_jobTable.m_load.at("s1").m_runs);
}

/// \brief A scheduled job with more subtasks in an occurrence than fit into one record.
class RestoredOccurrencesTest : public JobTableTest
{
protected:
  static constexpr std::uint32_t kOccurrences = 3;
  static constexpr std::uint32_t kCount = 40;

  RestoredOccurrencesTest()
  {
    m_spec = Spec("a", { Step(kCount) });
    m_spec.m_occurrences = kOccurrences;
    m_spec.m_intervalMs = 500;
  }

  void SetUp() override
  {
    ASSERT_TRUE(AddJob(m_jobTable, m_spec, kNow, 0));
    OpenDueOccurrences(m_jobTable, (kOccurrences - 1) * m_spec.m_intervalMs, kNow);
    ASSERT_EQ(m_jobTable.m_jobs.at("a").m_dueOccurrences, kOccurrences);
  }

  /// \brief Ends all subtasks of an occurrence as done.
  void Finish(std::uint32_t aOccurrence)
  {
    for (std::uint32_t index = 0; index < kCount; ++index) {
      const SubtaskId id{ "a", aOccurrence, 0, index };
      if (!FindSubtask(m_jobTable, id)->m_done) {
        End(Run(id, "s1"), EndKind::Done);
      }
    }
  }

  /// \brief Replaces the job table by that of a later owner, which reads the changed records.
  void ChangeOwner()
  {
    const Job job = m_jobTable.m_jobs.at("a");
    const auto changed = m_jobTable.m_changed;
    m_jobTable = {};
    ASSERT_TRUE(AddJob(m_jobTable, m_spec, kNow, 0));
    for (const auto& part : changed) {
      ASSERT_TRUE(ApplyProgress(m_jobTable, KeyOf(part), EncodeProgress(job, part.m_number), kNow));
    }
  }

  JobSpec m_spec;
};

// Guards against subtasks that never run: occurrences that were due without a run in any record
// were unknown to the next owner, and the job was completed without them (review, case 6).
TEST_F(RestoredOccurrencesTest, ChangeOfOwner_OccurrencesDueWithoutARun_RunBeforeTheJobCompletes)
{
  End(Run({ "a", 0, 0, 0 }, "s1"), EndKind::Done);
  ChangeOwner();
  Finish(0);
  EXPECT_EQ(m_jobTable.m_jobs.at("a").m_phase, JobPhase::Active);
  ASSERT_EQ(m_jobTable.m_jobs.at("a").m_dueOccurrences, kOccurrences);
  Finish(1);
  Finish(2);
  EXPECT_EQ(m_jobTable.m_jobs.at("a").m_phase, JobPhase::Completed);
}

// Guards against a job that is shown as running for good: its first occurrence was done before the
// change of the owner, so that no end was left to complete it (review, case 6).
TEST_F(RestoredOccurrencesTest, ChangeOfOwner_KnownOccurrencesDone_TheOthersRun)
{
  Finish(0);
  ChangeOwner();
  ASSERT_EQ(m_jobTable.m_jobs.at("a").m_dueOccurrences, kOccurrences);
  Finish(1);
  Finish(2);
  EXPECT_EQ(m_jobTable.m_jobs.at("a").m_phase, JobPhase::Completed);
}

// Guards against a job that is completed without one of its occurrences, whatever the cause.
TEST_F(RestoredOccurrencesTest, CompleteIfDone_OccurrenceUnknown_JobStaysActive)
{
  ASSERT_FALSE(m_jobTable.m_jobs.at("a").m_occurrences.HasBegun(1));
  Finish(0);
  Finish(2);
  EXPECT_EQ(m_jobTable.m_jobs.at("a").m_phase, JobPhase::Active);
}

// Guards against a job that has run and is shown as queued by a later owner: part 0, which stores
// that it has begun, is not stored again when a run of a later part begins.
TEST_F(RestoredOccurrencesTest, ChangeOfOwner_RunEndedInALaterPart_JobIsRunning)
{
  const SubtaskId late{ "a", 0, 0, kCount - 1 };
  const auto run = Run(late, "s1");
  m_jobTable.m_jobs.at("a").m_begun = false;
  const std::string first = EncodeProgress(m_jobTable.m_jobs.at("a"), 0);
  End(run, EndKind::Stopped);
  const std::string second = EncodeProgress(m_jobTable.m_jobs.at("a"), 1);
  m_jobTable = {};
  ASSERT_TRUE(AddJob(m_jobTable, m_spec, kNow, 0));
  ASSERT_TRUE(ApplyProgress(m_jobTable, KeyOf({ "a", 0 }), first, kNow));
  ASSERT_TRUE(ApplyProgress(m_jobTable, KeyOf({ "a", 1 }), second, kNow));
  EXPECT_EQ(StateOf(m_jobTable.m_jobs.at("a")), PublicJobState::Running);
}

// Guards against a gang that never ends: its owner died after it had stored the end of the gang for
// some members only, because the records of all of them do not fit into one append.
TEST_F(JobTableTest, CompleteRestoredGangs_SomeMembersDone_JobIsCompleted)
{
  StepSpec gang = Step(2 * kSubtasksPerPart);
  gang.m_gang = true;
  Add("a", { gang });
  Job& job = m_jobTable.m_jobs.at("a");
  EditSubtask(job, kFirst).m_done = true;
  SettleSubtask(job, kFirst);
  CompleteRestoredGangs(m_jobTable);
  EXPECT_EQ(m_jobTable.m_jobs.at("a").m_phase, JobPhase::Completed);
}

/// \brief A step with a gang of six.
class GangTest : public JobTableTest
{
protected:
  static constexpr std::uint32_t kMembers = 6;

  GangTest()
  {
    StepSpec gang = Step(kMembers);
    gang.m_gang = true;
    Add("a", { gang });
  }

  /// \brief Starts a run of all members.
  std::vector<RunRef> RunGang()
  {
    const auto number = NextRunNumber(m_jobTable, kFirst);
    std::vector<RunRef> runs;
    for (std::uint32_t index = 0; index < kMembers; ++index) {
      const SubtaskId id{ "a", 0, 0, index };
      PlanRun(m_jobTable, id, "s1", number, kNow);
      runs.push_back({ id, number, "s1" });
      MarkRunning(m_jobTable, runs.back(), kNow);
    }
    return runs;
  }

  /// \brief Runs the gang once; some members end as failed before they know of each other.
  void FailRun(std::uint32_t aFailedMembers)
  {
    const auto runs = RunGang();
    for (std::uint32_t index = 0; index < kMembers; ++index) {
      End(runs[index], index < aFailedMembers ? EndKind::Failed : EndKind::GangMemberEnded);
    }
  }

  [[nodiscard]] JobPhase Phase() const { return m_jobTable.m_jobs.at("a").m_phase; }
};

// Guards against a job that fails before its gang has failed as often as its queue permits: each
// member that failed in one run counted as a run (review, case 5).
TEST_F(GangTest, ApplyEnd_SeveralMembersFailInOneRun_CountsOneFailedRun)
{
  FailRun(2);
  FailRun(kMembers);
  EXPECT_EQ(Phase(), JobPhase::Active);
  EXPECT_EQ(FindSubtask(m_jobTable, kFirst)->m_failures, 2U);
  FailRun(1);
  EXPECT_EQ(Phase(), JobPhase::Failed);
}

// Guards against an owner that counts a failed run of a gang again, because its predecessor had
// stored the end of one member only.
TEST_F(GangTest, ApplyEnd_OtherMemberUnderALaterOwner_CountsOneFailedRun)
{
  const auto runs = RunGang();
  End(runs[0], EndKind::Failed);
  const std::string record = EncodeProgress(m_jobTable.m_jobs.at("a"));
  const JobSpec spec = m_jobTable.m_jobs.at("a").m_spec;
  m_jobTable = {};
  ASSERT_TRUE(AddJob(m_jobTable, spec, kNow, 0));
  ASSERT_TRUE(ApplyProgress(m_jobTable, "a", record, kNow));
  EXPECT_TRUE(End(runs[1], EndKind::Failed));
  EXPECT_EQ(FindSubtask(m_jobTable, kFirst)->m_failures, 1U);
}

// Guards against jobs that are lost in an upgrade, because their progress was stored before the
// last failed run was part of it.
TEST_F(JobTableTest, Progress_StoredWithoutTheLastFailedRun_IsRestored)
{
  Add("a", { Step(1) });
  End(Run(kFirst, "s1"), EndKind::Failed);
  std::string record = EncodeProgress(m_jobTable.m_jobs.at("a"));
  constexpr char kEightFields = '\x98';
  constexpr char kSevenFields = '\x97';
  const auto header = record.rfind(kEightFields);
  ASSERT_NE(header, std::string::npos);
  record[header] = kSevenFields;
  record.pop_back(); // The last failed run, 0.
  JobTable later;
  ASSERT_TRUE(AddJob(later, Spec("a", { Step(1) }), kNow, 0));
  ASSERT_TRUE(ApplyProgress(later, "a", record, kNow));
  EXPECT_EQ(FindSubtask(later, kFirst)->m_failures, 1U);
}

// Guards against records that stay in the store after their job was forgotten.
TEST_F(JobTableTest, ApplyProgress_LaterPartOfAnUnknownJob_IsScheduledForRemoval)
{
  Add("a", { Step(2 * kSubtasksPerPart) });
  const std::string record = EncodeProgress(m_jobTable.m_jobs.at("a"), 1);
  JobTable later;
  EXPECT_TRUE(ApplyProgress(later, "a.1", record, kNow));
  EXPECT_TRUE(later.m_jobs.empty());
  EXPECT_TRUE(later.m_changed.contains({ "a", 1 }));
}

// Guards against a record that exceeds the limit of the store because of long checkpoints.
TEST_F(JobTableTest, EncodeProgress_LongCheckpoints_OmittedBeyondTheLimit)
{
  Add("a", { Step(1) });
  End(Run(kFirst, "s1"), EndKind::Stopped, std::string(4'000, 'c'));
  const Job& job = m_jobTable.m_jobs.at("a");
  EXPECT_GT(EncodeProgress(job, 0, 5'000).size(), 4'000U);
  EXPECT_LT(EncodeProgress(job, 0, 3'000).size(), 3'000U);
}

// Guards against records that are stored under the key of another part or job.
TEST_F(JobTableTest, ParseProgressKey_KeysOfParts_RoundTripAndOthersAreRefused)
{
  for (const std::uint32_t number : { 0U, 1U, 6'249U }) {
    EXPECT_EQ(ParseProgressKey(KeyOf({ "a", number })), (ProgressPart{ "a", number }));
  }
  for (const auto* key : { "", ".1", "a.", "a.0", "a.01", "a.-1", "a.b", "a.1.2", "a.1 " }) {
    EXPECT_EQ(ParseProgressKey(key), std::nullopt) << key;
  }
}

} // namespace
} // namespace pistachiostand::fleet
