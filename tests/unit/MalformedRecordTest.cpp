#include "JobFixture.h"

#include "src/manager/CarrierMessage.h"
#include "src/manager/Metrics.h"
#include "src/process/Pack.h"

#include "pistachiostand/base/Bounds.h"
#include "pistachiostand/fleet/WaveRecord.h"
#include "pistachiostand/job/JobCodec.h"
#include "pistachiostand/ownership/InstanceOrder.h"
#include "pistachiostand/ownership/Leadership.h"

#include <functional>
#include <limits>

namespace pistachiostand::fleet {
namespace {

constexpr Millis kMaxMs = std::numeric_limits<Millis>::max();
constexpr Millis kMinMs = std::numeric_limits<Millis>::min();

/// \brief Malformed and foreign records in the store, as another writer may leave them.
class MalformedRecordTest : public JobFixture
{
protected:
  static constexpr const char* kId = "00000000000000aa";

  /// \brief Bytes that are not a valid record of any kind.
  static std::vector<std::string> MalformedRecords()
  {
    constexpr std::size_t kLevels = 100'000;
    return { "",
             "{}",
             std::string(1, '\0'),
             "\xff\xfe\xfd",
             std::string(kLevels, '\x91'),                                 // Nested arrays.
             std::string(kLevels, '['),                                    // Nested JSON.
             std::string("\xdd\xff\xff\xff\xff", 5),                       // An array of 2^32-1.
             std::string("\xdf\xff\xff\xff\xff", 5),                       // A map of 2^32-1.
             std::string("\xc6\xff\xff\xff\xff", 5),                       // Bytes, 2^32-1 of them.
             std::string("\xc9\xff\xff\xff\xff\x01", 6),                   // An extension.
             std::string("\xd4\x01\x00", 3),                               // A short extension.
             std::string("\x99", 1) + std::string(kLevels, '\xc0'),        // Trailing bytes.
             std::string("\xdc\xff\xff", 3) + std::string(65'535, '\x91'), // Malformed elements.
             std::string(std::size_t{ 1 } << 20U, 'x') };
  }

  /// \brief Adds a job to the job table and returns a copy, to encode its progress.
  Job KnownJob(std::uint32_t aCount = 2)
  {
    Add(kId, { Step(aCount) });
    return m_jobTable.m_jobs.at(kId);
  }

  Subtask& FirstOf(Job& aJob) { return EditSubtask(aJob, { kId, 0, 0, 0 }); }

  /// \brief True when the progress of a changed job is refused and leaves no run in the job table.
  bool IsRefused(const std::function<void(Job&)>& aChange)
  {
    m_jobTable = {};
    Job job = KnownJob();
    FirstOf(job).m_lastRun = 2;
    FirstOf(job).m_runs.resize(1);
    FirstOf(job).m_runs.front().m_number = 2;
    FirstOf(job).m_runs.front().m_server = "s1";
    aChange(job);
    return !ApplyProgress(m_jobTable, kId, EncodeProgress(job), kNow) &&
           m_jobTable.m_byServer.empty() &&
           m_jobTable.m_jobs.at(kId).m_occurrences.BegunCount() == 0;
  }

  /// \brief True when the submission of a changed job is refused.
  static bool IsSubmissionRefused(const std::function<void(JobSpec&)>& aChange)
  {
    JobSpec spec = Spec(kId, { Step(2), Step(1) });
    aChange(spec);
    return !DecodeSubmission(EncodeSubmission(spec));
  }
};

// Guards against bytes of another format that crash the process or exhaust its memory.
TEST_F(MalformedRecordTest, Decode_BytesOfNoRecord_AreRefused)
{
  Add(kId, { Step(2) });
  for (const auto& bytes : MalformedRecords()) {
    const std::string shown = bytes.substr(0, 8) + ", " + std::to_string(bytes.size()) + " bytes";
    EXPECT_FALSE(DecodeSubmission(bytes)) << shown;
    EXPECT_FALSE(ApplyProgress(m_jobTable, kId, bytes, kNow)) << shown;
    EXPECT_FALSE(DecodeOwnershipRecord(bytes)) << shown;
    EXPECT_FALSE(DecodeInstanceOrder(bytes)) << shown;
    EXPECT_FALSE(DecodeWaveRecord(bytes)) << shown;
    EXPECT_FALSE(DecodeCarrierMessage(bytes)) << shown;
  }
}

// Guards against a small record that exhausts the memory of each owner that reads it, and against
// overflows in arithmetic with its times and needs.
TEST_F(MalformedRecordTest, DecodeSubmission_BeyondTheLimitsForCallers_IsRefused)
{
  EXPECT_FALSE(IsSubmissionRefused([](JobSpec&) {}));
  EXPECT_TRUE(IsSubmissionRefused([](JobSpec& aSpec) { aSpec.m_steps[0].m_count = 0; }));
  EXPECT_TRUE(
    IsSubmissionRefused([](JobSpec& aSpec) { aSpec.m_steps[0].m_count = 4'000'000'000U; }));
  EXPECT_TRUE(IsSubmissionRefused([](JobSpec& aSpec) {
    aSpec.m_steps[0].m_count = 10'001;
    aSpec.m_steps[1].m_count = 10'001;
  }));
  EXPECT_TRUE(IsSubmissionRefused([](JobSpec& aSpec) {
    aSpec.m_steps[0].m_count = std::numeric_limits<std::uint32_t>::max();
    aSpec.m_steps[1].m_count = 2; // The sum does not fit in 32 bits.
  }));
  EXPECT_TRUE(IsSubmissionRefused([](JobSpec& aSpec) { aSpec.m_steps.clear(); }));
  EXPECT_TRUE(IsSubmissionRefused([](JobSpec& aSpec) { aSpec.m_steps.resize(257, Step(1)); }));
  EXPECT_TRUE(IsSubmissionRefused([](JobSpec& aSpec) { aSpec.m_payload.assign(4'001, 'x'); }));
  EXPECT_TRUE(IsSubmissionRefused([](JobSpec& aSpec) { aSpec.m_occurrences = 4'000'000'000U; }));
}

// Guards against a job that waits forever: a step after itself or a later one never starts.
TEST_F(MalformedRecordTest, DecodeSubmission_StepAfterItselfOrALaterOne_IsRefused)
{
  EXPECT_FALSE(
    IsSubmissionRefused([](JobSpec& aSpec) { aSpec.m_steps[1].m_dependencies = { 0 }; }));
  EXPECT_TRUE(IsSubmissionRefused([](JobSpec& aSpec) { aSpec.m_steps[0].m_dependencies = { 0 }; }));
  EXPECT_TRUE(IsSubmissionRefused([](JobSpec& aSpec) { aSpec.m_steps[0].m_dependencies = { 1 }; }));
  EXPECT_TRUE(IsSubmissionRefused(
    [](JobSpec& aSpec) { aSpec.m_steps[1].m_dependencies = { 4'000'000'000U }; }));
}

// Guards against sums of times and needs that overflow, and against needs that add capacity.
TEST_F(MalformedRecordTest, DecodeSubmission_TimesAndNeedsOutOfRange_AreRefused)
{
  for (const std::int64_t value : { std::int64_t{ -1 }, kMinMs, kMaxMs }) {
    EXPECT_TRUE(IsSubmissionRefused([&](JobSpec& aSpec) { aSpec.m_acceptedMs = value; }));
    EXPECT_TRUE(IsSubmissionRefused([&](JobSpec& aSpec) { aSpec.m_firstDueMs = value; }));
    EXPECT_TRUE(IsSubmissionRefused([&](JobSpec& aSpec) { aSpec.m_intervalMs = value; }));
    EXPECT_TRUE(
      IsSubmissionRefused([&](JobSpec& aSpec) { aSpec.m_steps[1].m_estimateMs = value; }));
    EXPECT_TRUE(
      IsSubmissionRefused([&](JobSpec& aSpec) { aSpec.m_steps[1].m_tailLatencyTargetMs = value; }));
    EXPECT_TRUE(
      IsSubmissionRefused([&](JobSpec& aSpec) { aSpec.m_steps[1].m_need.m_cpuMillis = value; }));
    EXPECT_TRUE(
      IsSubmissionRefused([&](JobSpec& aSpec) { aSpec.m_steps[1].m_need.m_memoryMb = value; }));
    EXPECT_TRUE(
      IsSubmissionRefused([&](JobSpec& aSpec) { aSpec.m_steps[1].m_need.m_gpus = value; }));
  }
}

// Guards against an id that does not fit into the key of a record, whose length is one byte, and
// against one that makes the name of a subtask ambiguous.
TEST_F(MalformedRecordTest, DecodeSubmission_IdThatIsNoKey_IsRefused)
{
  for (const auto& id : { std::string{}, std::string(300, 'a'), std::string{ "a.0.0" },
                          std::string{ "a\nb" }, std::string{ "\xff\xfe" } }) {
    EXPECT_TRUE(IsSubmissionRefused([&](JobSpec& aSpec) { aSpec.m_id = id; })) << id;
  }
}

// Guards against progress that adds occurrences, steps or subtasks that the job does not have.
TEST_F(MalformedRecordTest, ApplyProgress_PartsThatTheJobDoesNotHave_IsRefused)
{
  EXPECT_FALSE(IsRefused([](Job&) {}));
  EXPECT_TRUE(IsRefused([](Job& aJob) { EditSubtask(aJob, { kId, 7, 0, 0 }).m_lastRun = 1; }));
  EXPECT_TRUE(IsRefused([](Job& aJob) { aJob.m_dueOccurrences = 4'000'000'000U; }));
  EXPECT_TRUE(IsRefused([](Job& aJob) {
    aJob.m_spec.m_steps.push_back(aJob.m_spec.m_steps[0]);
    EditSubtask(aJob, { kId, 0, 1, 0 }).m_lastRun = 1;
  }));
  EXPECT_TRUE(IsRefused([](Job& aJob) {
    aJob.m_spec.m_steps[0].m_count = 3;
    EditSubtask(aJob, { kId, 0, 0, 2 }).m_lastRun = 1;
  }));
}

// Guards against a run number that wraps around to one that was used before, and against runs on
// servers with invalid names.
TEST_F(MalformedRecordTest, ApplyProgress_RunsOutOfRange_IsRefused)
{
  EXPECT_TRUE(IsRefused(
    [this](Job& aJob) { FirstOf(aJob).m_lastRun = std::numeric_limits<std::uint64_t>::max(); }));
  EXPECT_TRUE(IsRefused([this](Job& aJob) { FirstOf(aJob).m_lastEndedRun = 3; }));
  EXPECT_TRUE(IsRefused([this](Job& aJob) { FirstOf(aJob).m_runs[0].m_number = 3; }));
  EXPECT_TRUE(IsRefused([this](Job& aJob) { FirstOf(aJob).m_runs[0].m_number = 0; }));
  EXPECT_TRUE(IsRefused([this](Job& aJob) { FirstOf(aJob).m_runs[0].m_server.clear(); }));
  EXPECT_TRUE(
    IsRefused([this](Job& aJob) { FirstOf(aJob).m_runs[0].m_server.assign(1'000, 's'); }));
  EXPECT_TRUE(IsRefused([this](Job& aJob) {
    auto& runs = FirstOf(aJob).m_runs;
    runs.resize(10'000, runs[0]);
  }));
  EXPECT_TRUE(IsRefused(
    [this](Job& aJob) { FirstOf(aJob).m_failures = std::numeric_limits<std::uint32_t>::max(); }));
}

// Guards against a job whose id cannot be the key of a later record.
TEST_F(MalformedRecordTest, ApplyProgress_KeyThatIsNoJobId_IsRefused)
{
  Job job = KnownJob();
  job.m_phase = JobPhase::Completed;
  for (const auto& id : { std::string{}, std::string(255, 'a') + "b", std::string{ "a.b" } }) {
    EXPECT_FALSE(ApplyProgress(m_jobTable, id, EncodeProgress(job), kNow)) << id;
    EXPECT_FALSE(m_jobTable.m_jobs.contains(id));
  }
}

// Guards against a failed job without steps that becomes active again when its progress is read
// twice because a later page had failed.
TEST_F(MalformedRecordTest, FailUnreadableJob_ProgressReadAgain_JobStaysFailed)
{
  const auto record = EncodeProgress(KnownJob());
  m_jobTable = {};
  for (int pass = 0; pass < 2; ++pass) {
    EXPECT_FALSE(ApplyProgress(m_jobTable, kId, record, kNow));
    FailUnreadableJob(m_jobTable, kId, kNow);
    EXPECT_EQ(m_jobTable.m_jobs.at(kId).m_phase, JobPhase::Failed);
  }
  EXPECT_TRUE(m_jobTable.m_active.empty());
  EXPECT_TRUE(m_jobTable.m_changed.contains({ kId, 0 }));
  EXPECT_FALSE(AddJob(m_jobTable, Spec(kId, { Step(2) }), kNow, 0));
  FailUnreadableJob(m_jobTable, "odd key", kNow);
  EXPECT_FALSE(m_jobTable.m_jobs.contains("odd key"));
}

// Guards against a run number near the maximum, reported by a server, after which the number of the
// next run would wrap around to one that was used before.
TEST_F(MalformedRecordTest, JobTable_RunNumberNearTheLargest_IsRefused)
{
  constexpr auto kMax = std::numeric_limits<std::uint64_t>::max();
  Add(kId, { Step(1) });
  const SubtaskId id{ kId, 0, 0, 0 };
  EXPECT_FALSE(AdoptRun(m_jobTable, { id, kMax, "s1" }, kNow));
  EXPECT_FALSE(ApplyEnd(m_jobTable, { id, kMax, EndKind::Failed, "" }, 3, kNow));
  EXPECT_EQ(NextRunNumber(m_jobTable, id), 1U);
}

// Guards against overflows in the age of an instance order, and against an order without an owner.
TEST_F(MalformedRecordTest, DecodeInstanceOrder_ValuesOutOfRange_IsRefused)
{
  EXPECT_TRUE(DecodeInstanceOrder(EncodeInstanceOrder({ "a@1", 5 })));
  EXPECT_FALSE(DecodeInstanceOrder(EncodeInstanceOrder({ "", 5 })));
  EXPECT_FALSE(DecodeInstanceOrder(EncodeInstanceOrder({ std::string(1'000, 'a'), 5 })));
  for (const Millis time : { Millis{ -1 }, kMinMs, kMaxMs }) {
    EXPECT_FALSE(DecodeInstanceOrder(EncodeInstanceOrder({ "a@1", time }))) << time;
  }
}

// Guards against overflows in the remaining time of a maintenance wave.
TEST_F(MalformedRecordTest, DecodeWaveRecord_AgeOutOfRange_IsRefused)
{
  EXPECT_TRUE(DecodeWaveRecord(EncodeWaveRecord({ { "i1" }, 5 })));
  EXPECT_FALSE(DecodeWaveRecord(EncodeWaveRecord({ { "i1" }, kMaxMs })));
  EXPECT_FALSE(DecodeWaveRecord(EncodeWaveRecord({ { "" }, 5 })));
}

// Guards against an undefined sort order of the carriers when the share of one is not a number, and
// against overflows in computations with the clock of the peer.
TEST_F(MalformedRecordTest, DecodeCarrierMessage_HelloOrHeartbeatOutOfRange_IsRefused)
{
  const auto isRead = [](const CarrierMessage& aMessage) {
    return DecodeCarrierMessage(EncodeCarrierMessage(aMessage)).has_value();
  };
  EXPECT_TRUE(isRead(CarrierHello{ "a@1", "z1", 0.5, 1 }));
  EXPECT_FALSE(isRead(CarrierHello{ "", "z1", 0.5, 1 }));
  EXPECT_FALSE(isRead(CarrierHello{ std::string(1'000, 'a'), "z1", 0.5, 1 }));
  EXPECT_FALSE(isRead(CarrierHello{ "a@1", std::string(1'000, 'z'), 0.5, 1 }));
  for (const double share : { std::numeric_limits<double>::quiet_NaN(),
                              std::numeric_limits<double>::infinity(), -1.0, 1e300 }) {
    EXPECT_FALSE(isRead(CarrierHello{ "a@1", "z1", share, 1 })) << share;
  }
  EXPECT_TRUE(isRead(CarrierHeartbeat{ 1, 0 }));
  for (const Millis clock : { Millis{ -1 }, kMinMs, kMaxMs }) {
    EXPECT_FALSE(isRead(CarrierHello{ "a@1", "z1", 0.5, clock })) << clock;
    EXPECT_FALSE(isRead(CarrierHeartbeat{ clock, 0 })) << clock;
    EXPECT_FALSE(isRead(CarrierHeartbeat{ 1, clock })) << clock;
  }
}

// Guards against one malformed order or result that blocks the others of its batch, against calls
// that never end, and against overflows in computations with the clocks of servers.
TEST_F(MalformedRecordTest, ValidationErrorOf_OrderOrResultOutOfRange_IsReported)
{
  CarriedOrder good;
  good.m_server = "s1";
  good.m_timeoutMs = 200;
  EXPECT_EQ(ValidationErrorOf(good), "");
  const auto isInvalid = [&good](const auto& aChange) {
    CarriedOrder order = good;
    aChange(order);
    return !ValidationErrorOf(order).empty();
  };
  EXPECT_TRUE(isInvalid([](CarriedOrder& aOrder) { aOrder.m_server.clear(); }));
  EXPECT_TRUE(isInvalid([](CarriedOrder& aOrder) { aOrder.m_server.assign(1'000, 's'); }));
  EXPECT_TRUE(isInvalid([](CarriedOrder& aOrder) { aOrder.m_timeoutMs = 0; }));
  EXPECT_TRUE(isInvalid([](CarriedOrder& aOrder) { aOrder.m_timeoutMs = kMaxMs; }));
  EXPECT_TRUE(isInvalid([](CarriedOrder& aOrder) { aOrder.m_waitMs = kMaxMs; }));
  EXPECT_TRUE(isInvalid([](CarriedOrder& aOrder) { aOrder.m_sendBeforeMs = kMinMs; }));
  EXPECT_TRUE(isInvalid([](CarriedOrder& aOrder) { aOrder.m_leaseEndMs = kMaxMs; }));
  EXPECT_TRUE(isInvalid([](CarriedOrder& aOrder) { aOrder.m_percent = 101; }));
  EXPECT_TRUE(isInvalid([](CarriedOrder& aOrder) { aOrder.m_percent = -1; }));
  CarriedResult result;
  EXPECT_EQ(ValidationErrorOf(result), "");
  result.m_clockMs = kMinMs;
  EXPECT_NE(ValidationErrorOf(result), "");
  result.m_clockMs.reset();
  result.m_report = ServerReport{ kMaxMs, 1, {}, {} };
  EXPECT_NE(ValidationErrorOf(result), "");
  const auto most = std::numeric_limits<std::uint64_t>::max();
  result.m_report = ServerReport{ 5, 1, { { { kId, 0, 0, 0 }, most, "", 0, 0 } }, {} };
  EXPECT_NE(ValidationErrorOf(result), "");
  result.m_report = ServerReport{ 5, 1, {}, { { most, { { kId, 0, 0, 0 }, 1, {}, "" } } } };
  EXPECT_NE(ValidationErrorOf(result), "");
}

// Guards against log lines that are split, are not valid UTF-8 or flood the output because of a
// name from outside.
TEST_F(MalformedRecordTest, Printable_BytesThatAreNoText_AreEscapedAndCut)
{
  EXPECT_EQ(Printable("a b\n\x7f\xff\xc0\x80\xed\xa0\x80\xe2\x82"),
            "a b\\x0a\\x7f\\xff\\xc0\\x80\\xed\\xa0\\x80\\xe2\\x82");
  EXPECT_EQ(Printable("Sa\u0303o \u20ac \U0001f600"), "Sa\u0303o \u20ac \U0001f600");
  EXPECT_EQ(Printable("abcd\u20ac", 6), "abcd...");
  EXPECT_LE(Printable(std::string(1'000'000, '\xff')).size(), kMaxNameBytes + 3);
}

// Guards against a metrics page that cannot be parsed because of one name in it.
TEST_F(MalformedRecordTest, FormatMetrics_NameWithQuotesAndBreaks_IsEscaped)
{
  Metrics metrics;
  CountResponse(metrics, "a\"b\\c\nd\xff", 200, "stored");
  Observe(metrics, "accept_ms", "a\"b\\c\nd\xff", 5);
  const auto page = FormatMetrics(metrics);
  EXPECT_NE(page.find(R"(answers_total{queue="a\"b\\c\nd?",status="200",cause="stored"} 1)"),
            std::string::npos)
    << page;
  EXPECT_NE(page.find(R"(accept_ms_count{queue="a\"b\\c\nd?"} 1)"), std::string::npos) << page;
}

// Guards against one long name that bloats every metrics page.
TEST_F(MalformedRecordTest, FormatMetrics_LongName_IsCut)
{
  Metrics metrics;
  CountResponse(metrics, std::string(100'000, 'q'), 200, "stored");
  EXPECT_LT(FormatMetrics(metrics).size(), 1'000U);
}

} // namespace
} // namespace pistachiostand::fleet
