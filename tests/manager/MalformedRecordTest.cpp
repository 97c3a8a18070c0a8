#include "EntryInstanceFixture.h"

#include "src/manager/CarrierMessage.h"
#include "src/manager/CarrierPool.h"
#include "src/manager/Committer.h"
#include "src/manager/FleetControl.h"
#include "src/manager/OrderCarrier.h"
#include "src/manager/SubmissionCleaner.h"
#include "src/manager/SubmissionWriter.h"

#include "platform/Topics.h"

#include "pistachiostand/connection/FrameLink.h"
#include "pistachiostand/fleet/WaveRecord.h"
#include "pistachiostand/job/JobCodec.h"
#include "pistachiostand/ownership/Leadership.h"

#include <limits>

namespace pistachiostand::fleet {
namespace {

constexpr Millis kMaxMs = std::numeric_limits<Millis>::max();

/// \brief Entry instances while another writer adds malformed records to their topics.
class MalformedRecordManagerTest : public EntryInstanceFixture
{
protected:
  static constexpr const char* kOwnerTopic = "keyed.owner";
  static constexpr const char* kOtherJob = "00000000000000bb";

  static std::string DeeplyNested() { return std::string(100'000, '\x91'); }

  static std::string OneStep(std::uint32_t aCount = 1)
  {
    return fmt::format(
      R"({{"spec":"work","steps":[{{"count":{},"cpu":1000,"mem-mb":100,"estimated-ms":400}}]}})",
      aCount);
  }

  std::uint16_t Submit(int aInstance, const std::string& aBody, const std::string& aJob = kJob)
  {
    return Call(aInstance, "POST", "/lookups/" + aJob, aBody).m_status;
  }

  /// \brief Value of a counter on the metrics page; 0 if it is missing.
  int Counter(int aInstance, const std::string& aName)
  {
    ClientRequest request;
    request.m_url = "http://" + pistachiostand::ToString(At(10 * aInstance + 4)) + "/metrics";
    request.m_timeoutMs = 2'000;
    const std::string page = Call(std::move(request)).m_body;
    const std::string line = "pistachiostand_" + aName + " ";
    const auto at = page.find(line);
    return at == std::string::npos ? 0 : std::stoi(page.substr(at + line.size()));
  }

  static std::string Record(OwnershipRecordKind aKind, const std::string& aProcess,
                            FencingToken aToken, Millis aSentMs, Millis aActMs)
  {
    return EncodeOwnershipRecord({ aKind, aProcess, "127.0.0.1:9", aToken, aSentMs, aActMs });
  }

  /// \brief The newest ownership record; empty if it cannot be read.
  std::optional<OwnershipRecord> NewestOwner()
  {
    const auto value = m_store.Value(kOwnerTopic, "owner");
    return value ? DecodeOwnershipRecord(*value) : std::nullopt;
  }

  static std::string Submission(const JobId& aId, std::uint32_t aCount)
  {
    JobSpec spec;
    spec.m_id = aId;
    spec.m_queue = "r";
    spec.m_pool = "lookup";
    spec.m_payload = "work";
    spec.m_acceptedMs = 1;
    StepSpec step;
    step.m_count = aCount;
    step.m_need = { 1'000, 100, 0 };
    step.m_estimateMs = 400;
    spec.m_steps = { step };
    return EncodeSubmission(spec);
  }

  void Wait(Millis aMs)
  {
    RunUntil([] { return false; }, aMs);
  }
};

// Guards against a fleet that never gets an owner: claims were appended at the end of the last
// readable record, and the store refused them all.
TEST_F(MalformedRecordManagerTest, MalformedOwnershipRecordBeforeTheFirstStart_FleetIsOwned)
{
  m_store.Put(kOwnerTopic, "owner", DeeplyNested());
  m_store.Put(kOwnerTopic, "other", "x");
  Start(1);
  ASSERT_TRUE(IsReady(1));
  ASSERT_EQ(Submit(1, OneStep()), 200);
  EXPECT_TRUE(Completes(1));
  EXPECT_EQ(Counter(1, "records_unreadable_total"), 2);
}

// Guards against an owner that loses the fleet forever because of a record of another writer.
TEST_F(MalformedRecordManagerTest, MalformedOwnershipRecords_OwnerRenewsAndContinues)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  const auto before = NewestOwner();
  ASSERT_TRUE(before);
  m_store.Put(kOwnerTopic, "owner", DeeplyNested());
  m_store.Put(kOwnerTopic, "other", "x");
  m_store.Put(kOwnerTopic, "owner", std::string{ "\xff" });
  m_store.Put(kOwnerTopic, "owner", std::nullopt);
  Wait(1'500); // Longer than the lease of one record.
  ASSERT_EQ(Submit(1, OneStep()), 200);
  EXPECT_TRUE(Completes(1));
  const auto after = NewestOwner();
  ASSERT_TRUE(after);
  EXPECT_EQ(after->m_process, before->m_process);
  EXPECT_EQ(after->m_kind, OwnershipRecordKind::Renewal);
}

// Guards against readable records with values that no process writes: they must neither prevent
// claims of the ownership, nor take it from its owner, nor extend the owner's lease forever.
TEST_F(MalformedRecordManagerTest, OwnershipRecordsOutOfRange_OwnerStays)
{
  constexpr auto kRenewal = OwnershipRecordKind::Renewal;
  constexpr auto kClaim = OwnershipRecordKind::Claim;
  Start(1);
  ASSERT_TRUE(IsReady(1));
  const auto owner = NewestOwner();
  ASSERT_TRUE(owner);
  const Millis now = MonotonicMs();
  for (const auto& record :
       { Record(kClaim, "", 0, now, kMinOwnershipLeaseMs), Record(kClaim, "x@1", 0, now, kMaxMs),
         Record(kClaim, "x@1", 0, now, -1), Record(kClaim, "x@1", 0, kMaxMs, kMinOwnershipLeaseMs),
         Record(kClaim, std::string(1'000, 'x'), 0, now, kMinOwnershipLeaseMs),
         Record(kRenewal, "x@1", std::numeric_limits<FencingToken>::max(), now,
                kMinOwnershipLeaseMs),
         Record(kRenewal, "x@1", 0, now, kMinOwnershipLeaseMs),
         Record(kRenewal, owner->m_process, 1'000'000, now, kMinOwnershipLeaseMs),
         Record(kRenewal, owner->m_process, owner->m_token, now + 1'000'000, kMinOwnershipLeaseMs),
         Record(OwnershipRecordKind::Release, "x@1", 1, now, kMinOwnershipLeaseMs) }) {
    m_store.Put(kOwnerTopic, "owner", record);
    Wait(50);
  }
  Wait(1'000);
  ASSERT_EQ(Submit(1, OneStep()), 200);
  EXPECT_TRUE(Completes(1));
  const auto after = NewestOwner();
  ASSERT_TRUE(after);
  EXPECT_EQ(after->m_process, owner->m_process);
  EXPECT_EQ(after->m_token, owner->m_token == 0 ? after->m_token : owner->m_token);
  EXPECT_LE(after->m_sentMs, MonotonicMs());
}

// Guards against two owners: a malformed record hides the owner's last one from a process that
// starts.
TEST_F(MalformedRecordManagerTest, MalformedRecordHidesTheOwner_AnotherProcessStarts_OwnerStays)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  const auto owner = NewestOwner();
  ASSERT_TRUE(owner);
  m_paused.insert(1);
  m_store.Put(kOwnerTopic, "owner", DeeplyNested());
  Start(2);
  Wait(kMinOwnershipLeaseMs);
  const auto hidden = NewestOwner();
  EXPECT_FALSE(hidden) << "claimed by " << hidden->m_process
                       << " while the owner may hold its lease";
  // The wait is bounded by the longest ownership lease.
  EXPECT_TRUE(RunUntil([this] { return NewestOwner().has_value(); }, kMaxOwnershipLeaseMs + 1'500));
}

// Guards against a lost owner that is not replaced because malformed records follow its last one.
TEST_F(MalformedRecordManagerTest, OwnerLost_MalformedRecordsContinue_AnotherTakesOver)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Start(2);
  ASSERT_TRUE(IsReady(2));
  ASSERT_EQ(Submit(2, TwoSteps()), 200);
  m_entries.erase(1);
  const Millis begin = MonotonicMs();
  while (MonotonicMs() - begin < 2'400) {
    m_store.Put(kOwnerTopic, "owner", "odd");
    Wait(300);
  }
  EXPECT_TRUE(Completes(2));
  for (const auto& subtask : AllSubtasks()) {
    EXPECT_EQ(DoneCount(subtask), 1) << subtask;
  }
}

// Guards against jobs that wait, or an owner that terminates, because of a submission of another
// writer: one with four billion subtasks exhausted the memory of each owner in turn.
TEST_F(MalformedRecordManagerTest, MalformedSubmissionsAmongValidOnes_JobsAreDone)
{
  const std::string prefix{ kSubmissionPrefix };
  m_store.Put(kSubmissionTopic, prefix + kOtherJob, Submission(kOtherJob, 4'000'000'000U));
  m_store.Put(kSubmissionTopic, prefix + "00000000000000cc", DeeplyNested());
  m_store.Put(kSubmissionTopic, "", "x");
  Start(1);
  ASSERT_TRUE(IsReady(1));
  m_store.Put(kSubmissionTopic, prefix + "00000000000000dd", "\xff\xff");
  m_store.Put(kSubmissionTopic, "z", "z");
  ASSERT_EQ(Submit(1, OneStep()), 200);
  EXPECT_TRUE(Completes(1));
  EXPECT_GE(Counter(1, "records_unreadable_total"), 4);
}

// Guards against a record under a malformed key that replaces the job whose id it names.
TEST_F(MalformedRecordManagerTest, SubmissionUnderAnotherKey_DoesNotReplaceTheJob)
{
  m_store.Put(kSubmissionTopic, std::string{ kSubmissionPrefix } + kOtherJob, Submission(kJob, 3));
  Start(1);
  ASSERT_TRUE(IsReady(1));
  ASSERT_EQ(Submit(1, OneStep(1)), 200);
  ASSERT_TRUE(Completes(1));
  EXPECT_EQ(DoneCount(std::string{ kJob } + ".0.0.2"), 0);
}

// Guards against work that runs twice: the progress record of its job was no longer readable, and a
// later owner took the job for a new one.
TEST_F(MalformedRecordManagerTest, ProgressUnreadable_WorkIsNotRunAgain)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  ASSERT_EQ(Submit(1, TwoSteps()), 200);
  const std::string first = std::string{ kJob } + ".0.0.0";
  ASSERT_TRUE(RunUntil([&] { return m_first.m_starts[first] + m_second.m_starts[first] > 0; }));
  m_entries.erase(1);
  Wait(1'000); // The runs of the first step end meanwhile.
  m_store.Put(kProgressTopic, kJob, DeeplyNested());
  m_store.Put(kProgressTopic, "odd\nkey", "\xff");
  Start(2);
  ASSERT_TRUE(IsReady(2));
  ASSERT_EQ(Submit(2, OneStep(), kOtherJob), 200);
  EXPECT_TRUE(RunUntil([this] { return DoneCount(std::string{ kOtherJob } + ".0.0.0") == 1; }));
  EXPECT_TRUE(RunUntil([this] { return StateAt(2) == "failed"; }));
  for (const auto& subtask : AllSubtasks()) {
    EXPECT_LE(m_first.m_starts[subtask] + m_second.m_starts[subtask], 1) << subtask;
  }
  EXPECT_EQ(Counter(2, "records_unreadable_total"), 2);
}

// Guards against reporting a job as unknown after it has run, so that its caller submits it again:
// its submission was no longer readable.
TEST_F(MalformedRecordManagerTest, SubmissionOfAJobAtWorkUnreadable_JobIsKnownAsFailed)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  ASSERT_EQ(Submit(1, TwoSteps()), 200);
  const std::string first = std::string{ kJob } + ".0.0.0";
  ASSERT_TRUE(RunUntil([&] { return m_first.m_starts[first] + m_second.m_starts[first] > 0; }));
  m_entries.erase(1);
  for (const auto& log : SubmissionLogs()) {
    m_store.Put(log, std::string{ kSubmissionPrefix } + kJob, "\xff");
  }
  Start(2);
  ASSERT_TRUE(IsReady(2));
  EXPECT_TRUE(RunUntil([this] { return StateAt(2) == "failed"; }));
  ASSERT_EQ(Submit(2, TwoSteps()), 200);
  Wait(1'000);
  EXPECT_EQ(StateAt(2), "failed");
  for (const auto& subtask : AllSubtasks()) {
    EXPECT_LE(m_first.m_starts[subtask] + m_second.m_starts[subtask], 1) << subtask;
  }
}

// Guards against malformed wave and order records that terminate the owner or block the records
// after them.
TEST_F(MalformedRecordManagerTest, MalformedFleetRecords_JobsAreDone)
{
  for (const auto& key : { "wave/7", "wave/99999999999999999999", "wave/", "wave/7x", "order/i1",
                           "order/", "nothing" }) {
    m_store.Put(kFleetTopic, key, DeeplyNested());
  }
  m_store.Put(kFleetTopic, "wave/8", EncodeWaveRecord({ { "i1" }, kMaxMs }));
  Start(1);
  ASSERT_TRUE(IsReady(1));
  ASSERT_EQ(Submit(1, OneStep()), 200);
  EXPECT_TRUE(Completes(1));
  EXPECT_GE(Counter(1, "records_unreadable_total"), 4);
}

// Guards against an owner that terminates or loses its other carriers because of one malformed
// message.
TEST_F(MalformedRecordManagerTest, MalformedCarrierMessages_OwnerAndItsCarriersContinue)
{
  m_maxDirectServers = 0;
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Start(2);
  ASSERT_TRUE(IsReady(2));
  Wait(1'000); // The carrier joins.
  ASSERT_EQ(Submit(1, OneStep(), kOtherJob), 200);
  ASSERT_TRUE(RunUntil([this] { return Counter(1, "orders_carried_total") > 0; }));
  CarriedResult malformed;
  malformed.m_call = std::numeric_limits<std::uint64_t>::max();
  malformed.m_clockMs = std::numeric_limits<Millis>::min();
  malformed.m_report = ServerReport{ kMaxMs, -1, {}, {} };
  const std::vector<std::string> frames{
    "",
    DeeplyNested(),
    "\xff",
    EncodeCarrierMessage(CarrierHello{ "o@1", "z1", std::numeric_limits<double>::infinity(), 1 }),
    EncodeCarrierMessage(CarrierHeartbeat{ kMaxMs, std::numeric_limits<Millis>::min() }),
    EncodeCarrierMessage(ResultBatch{ kMaxMs, { malformed } })
  };
  std::vector<std::shared_ptr<FrameLink>> links(frames.size());
  for (std::size_t i = 0; i < frames.size(); ++i) {
    links[i] =
      FrameLink::Dial(m_loop, CarrierEndpoint(At(12)), 500,
                      { [&, i] {
                         links[i]->Send(frames[i]);
                         links[i]->Send(EncodeCarrierMessage(CarrierHeartbeat{ 1, 0 }));
                       },
                        [](std::string_view /*aFrame*/) {}, [](std::string_view /*aCause*/) {} });
  }
  Wait(200);
  const int carried = Counter(1, "orders_carried_total");
  ASSERT_EQ(Submit(1, TwoSteps()), 200);
  EXPECT_TRUE(Completes(1));
  EXPECT_GT(Counter(1, "orders_carried_total"), carried);
  EXPECT_EQ(Counter(1, "orders_without_result_total"), 0);
  EXPECT_EQ(Counter(1, "messages_unreadable_total"), 5);
  std::ranges::for_each(links, [](const auto& aLink) { aLink->Close(); });
}

// Guards against a caller's request that terminates the process or is taken for another one.
TEST_F(MalformedRecordManagerTest, MalformedRequests_AreRefusedAndOthersServed)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  EXPECT_EQ(Submit(1, std::string(100'000, '[')), 400);
  EXPECT_EQ(Submit(1, "\"\xff\xfe"), 400);
  EXPECT_EQ(Submit(1, OneStep(0)), 400);
  EXPECT_EQ(Submit(1, OneStep(4'000'000'000U)), 400);
  const std::string step = R"("steps":[{"count":1,"cpu":1000}])";
  EXPECT_EQ(Submit(1, R"({"spec":"w","repeat-count":4000000000,)" + step + "}"), 400);
  EXPECT_EQ(Submit(1, R"({"spec":"w","interval-ms":-1,)" + step + "}"), 400);
  EXPECT_EQ(Submit(1, R"({"spec":"w","steps":[{"count":1,"cpu":-1000}]})"), 400);
  EXPECT_EQ(Submit(1, R"({"spec":"w","steps":[{"count":1,"estimated-ms":9e18}]})"), 400);
  EXPECT_EQ(Call(1, "GET", "/lookups/%00%0a%ff").m_status, 400);
  EXPECT_EQ(Call(1, "GET", "/lookups/?a=%ff&b=1e999&b=").m_status, 200);
  ASSERT_EQ(Submit(1, OneStep()), 200);
  EXPECT_TRUE(Completes(1));
}

// Guards against a request that times out before it starts, because its deadline overflowed.
TEST_F(MalformedRecordManagerTest, DeadlineOutOfRange_RequestIsServed)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  int number = 16;
  for (const auto& deadline :
       { "9223372036854775807", "99999999999999999999999", "-5", "0", "nan", "1e3", "5x", "" }) {
    auto request = Request(1, "POST", fmt::format("/lookups/{:016x}", ++number), OneStep());
    request.m_headers.insert_or_assign(std::string{ platform::kCallerTimeoutHeader }, deadline);
    EXPECT_EQ(Call(std::move(request)).m_status, 200) << deadline;
  }
}

} // namespace
} // namespace pistachiostand::fleet
