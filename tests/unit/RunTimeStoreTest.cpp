#include "OwnerFixture.h"
#include "RunTimeSums.h"

#include "src/manager/EntrySettings.h"
#include "src/manager/RunTimeStore.h"

#include "pistachiostand/base/Bounds.h"

#include <msgpack.hpp>

#include <limits>
#include <string>

namespace pistachiostand::fleet {
namespace {

/// \brief An owner that has learned from a queue whose runs take three times their declared time.
class RunTimeStoreTest : public OwnerFixture
{
protected:
  static constexpr Millis kStart = 100'000;

  RunTimeStoreTest()
    : m_runTimeStore(m_state)
  {
    m_state.m_holdsOwnershipLease = [this] { return m_holdsLease; };
  }

  static void Learn(RunTimes& aTimes, Millis aRanMs, int aRuns = 64, const QueueName& aQueue = "q")
  {
    for (int i = 0; i < aRuns; ++i) {
      LearnRun(aTimes, aQueue, aRanMs / 3 + i, aRanMs + Millis{ 3 } * i,
               "image-" + std::to_string(i % 4));
    }
  }

  static std::string Record(FencingToken aToken, Millis aRanMs, std::uint64_t aSequence = 1)
  {
    RunTimes times;
    Learn(times, aRanMs);
    return EncodeRunTimeRecord({ aToken, aSequence, "q", times.at("q") });
  }

  [[nodiscard]] Millis Expected() const
  {
    return ExpectedTimes(m_state.m_runTimes, "q", 300, 1).m_runMs;
  }

  [[nodiscard]] std::size_t AppendCount() const { return m_client.Find("/log-append").size(); }

  void RespondToAppend(std::uint16_t aStatus = 200)
  {
    m_client.Respond(m_client.Find("/log-append").back(), aStatus, R"({"offset":0,"end":1})");
  }

  [[nodiscard]] std::uint64_t UnreadableCount() const
  {
    const auto found = m_metrics.m_counters.find("records_unreadable_total");
    return found == m_metrics.m_counters.end() ? 0 : found->second;
  }

  bool m_holdsLease{ true };
  RunTimeStore m_runTimeStore;
};

// Guards against a record from which the next owner computes other times than this one.
TEST_F(RunTimeStoreTest, Record_RoundTrip_GivesTheSameEstimates)
{
  Learn(m_state.m_runTimes, 900);
  Reason reason;
  const auto record =
    DecodeRunTimeRecord(EncodeRunTimeRecord({ 3, 4, "q", m_state.m_runTimes.at("q") }), reason);
  ASSERT_TRUE(record) << reason.m_cause;
  EXPECT_EQ(record->m_token, 3U);
  EXPECT_EQ(record->m_sequence, 4U);
  const RunTimes restored{ { "q", record->m_times } };
  for (const char* image : { "", "image-1", "unknown" }) {
    const auto before = ExpectedTimes(m_state.m_runTimes, "q", 400, 8, image);
    const auto after = ExpectedTimes(restored, "q", 400, 8, image);
    EXPECT_NEAR(static_cast<double>(before.m_stepMs), static_cast<double>(after.m_stepMs), 2);
    EXPECT_NEAR(static_cast<double>(before.m_slowMs), static_cast<double>(after.m_slowMs), 2);
  }
}

// Guards against records and keys that grow with the names that callers choose.
TEST_F(RunTimeStoreTest, Record_LongNamesAndManyImages_IsBounded)
{
  const QueueName queue(kMaxNameBytes, '%');
  for (int i = 0; i < 1'000; ++i) {
    const auto image = std::string(150, 'x') + std::to_string(i);
    for (const Millis ran : { 701, 1'103, 907 }) {
      LearnRun(m_state.m_runTimes, queue, ran / 3 + i % 7, ran, image);
    }
    LearnStep(m_state.m_runTimes, queue, 300, SumsOf({ 701, 1'103 }), image);
    LearnStep(m_state.m_runTimes, queue, 300, SumsOf({ 701, 907, 800 }), image);
  }
  constexpr auto kMax = std::numeric_limits<std::uint64_t>::max();
  const auto bytes = EncodeRunTimeRecord({ kMax, kMax, queue, m_state.m_runTimes.at(queue) });
  EXPECT_LE(bytes.size(), kMaxRunTimeRecordBytes);
  RecordProperty("largest_bytes", static_cast<int>(bytes.size()));
  RecordProperty("four_images_bytes", static_cast<int>(Record(1, 900).size()));
  EXPECT_LE(RunTimeKey(queue).size(), kMaxNameBytes);
  EXPECT_NE(RunTimeKey(queue), RunTimeKey(queue.substr(1)));
  EXPECT_EQ(RunTimeKey("a b"), "runtime/a%20b");
}

// Guards against a new owner that places its first jobs by declared times although the run times
// are in the store.
TEST_F(RunTimeStoreTest, Takeover_RecordIsUsedBeforeThePlacement)
{
  Job& job = m_state.m_jobTable.m_jobs.at("a");
  job.m_spec.m_queue = "q";
  job.m_spec.m_steps[0].m_estimateMs = 300;
  EXPECT_FALSE(m_runTimeStore.IsReady(kStart));
  m_runTimeStore.OnRecord("runtime/q", Record(kToken - 1, 900));
  m_runTimeStore.OnRecordsRead();
  EXPECT_TRUE(m_runTimeStore.IsReady(kStart));
  EXPECT_NEAR(static_cast<double>(job.m_times[0].m_runMs), 900, 100);
}

// Guards against a fleet that starts nothing because the store does not return the records.
TEST_F(RunTimeStoreTest, Takeover_RecordsUnavailable_PlacementWaitsBriefly)
{
  EXPECT_FALSE(m_runTimeStore.IsReady(kStart));
  EXPECT_TRUE(m_runTimeStore.IsReady(kStart + 300));
}

// Guards against an older record that replaces a newer one or what this owner has learned.
TEST_F(RunTimeStoreTest, OlderRecord_ChangesNothing)
{
  m_runTimeStore.OnRecord("runtime/q", Record(5, 900, 2));
  m_runTimeStore.OnRecord("runtime/q", Record(5, 3'000, 1));
  m_runTimeStore.OnRecord("runtime/q", Record(4, 3'000, 9));
  EXPECT_LT(Expected(), 1'100);
  Learn(m_state.m_runTimes, 900, 20);
  m_runTimeStore.OnRecord("runtime/q", Record(6, 3'000, 1));
  EXPECT_LT(Expected(), 1'100);
}

// Guards against a late write of an earlier owner that stays in the store in place of this owner's.
TEST_F(RunTimeStoreTest, RecordOfAnEarlierOwnerAfterOwn_IsReplaced)
{
  Learn(m_state.m_runTimes, 900);
  m_runTimeStore.OnRecordsRead();
  m_runTimeStore.Tick(kStart);
  ASSERT_EQ(AppendCount(), 1U);
  RespondToAppend();
  m_runTimeStore.Tick(kStart + 6'000);
  EXPECT_EQ(AppendCount(), 1U); // Unchanged.
  m_runTimeStore.OnRecord("runtime/q", Record(kToken - 1, 3'000));
  m_runTimeStore.Tick(kStart + 12'000);
  EXPECT_EQ(AppendCount(), 2U);
  EXPECT_LT(Expected(), 1'100);
}

// Guards against a record that is unreadable, or that would make every estimate absurd.
TEST_F(RunTimeStoreTest, MalformedRecord_IsCountedAndIgnored)
{
  const std::string valid = Record(1, 900);
  msgpack::sbuffer later;
  msgpack::packer<msgpack::sbuffer> packer{ later };
  packer.pack_array(2);
  packer.pack(2);
  packer.pack("fields of a later version");
  RunTimes absurd;
  Learn(absurd, 900);
  absurd.at("q").m_fit.m_sumY = std::numeric_limits<double>::quiet_NaN();
  std::uint64_t count = 0;
  for (const std::string& bytes :
       { std::string{}, valid.substr(0, valid.size() - 1), std::string(500, '\xff'),
         std::string{ later.data(), later.size() },
         EncodeRunTimeRecord({ 1, 1, "q", absurd.at("q") }),
         EncodeRunTimeRecord({ 1, 1, "q", {} }) }) {
    m_runTimeStore.OnRecord("runtime/q", bytes);
    EXPECT_EQ(UnreadableCount(), ++count);
  }
  m_runTimeStore.OnRecord("runtime/other", valid);
  EXPECT_EQ(UnreadableCount(), count + 1);
  EXPECT_EQ(Expected(), 300);
}

// Guards against a record for every run, and against one without the ownership.
TEST_F(RunTimeStoreTest, Tick_StoresAtMostOnceInFiveSecondsWithTheLease)
{
  Learn(m_state.m_runTimes, 900);
  m_runTimeStore.Tick(kStart);
  EXPECT_EQ(AppendCount(), 0U); // The records have not been read.
  m_runTimeStore.OnRecordsRead();
  m_holdsLease = false;
  m_runTimeStore.Tick(kStart);
  EXPECT_EQ(AppendCount(), 0U);
  m_holdsLease = true;
  for (Millis now = kStart; now < kStart + 20'000; now += 100) {
    for (int i = 0; i < 20; ++i) { // 200 runs per second, which take longer and longer.
      LearnRun(m_state.m_runTimes, "q", 300, 900 + (now - kStart));
    }
    const auto before = AppendCount();
    m_runTimeStore.Tick(now);
    if (AppendCount() != before) {
      RespondToAppend(before == 1 ? 503 : 200); // The second one fails.
    }
  }
  EXPECT_EQ(AppendCount(), 4U);
  EXPECT_EQ(m_metrics.m_counters.at("run_time_records_stored_total"), 3U);
  EXPECT_EQ(m_metrics.m_counters.at("run_time_records_failed_total"), 1U);
}

// Guards against a second append while the first has no response.
TEST_F(RunTimeStoreTest, Tick_StoreSilent_HasOneAppendInFlight)
{
  Learn(m_state.m_runTimes, 900);
  m_runTimeStore.OnRecordsRead();
  m_runTimeStore.Tick(kStart);
  Learn(m_state.m_runTimes, 3'000);
  m_runTimeStore.Tick(kStart + 10'000);
  EXPECT_EQ(AppendCount(), 1U);
}

// Guards against a setting that leaves a part of the learning on.
TEST_F(RunTimeStoreTest, LearningOff_NothingIsReadOrStored)
{
  m_settings.m_learnRunTimes = false;
  EXPECT_TRUE(m_runTimeStore.IsReady(kStart));
  m_runTimeStore.OnRecord("runtime/q", Record(1, 900));
  m_runTimeStore.OnRecordsRead();
  m_runTimeStore.Tick(kStart);
  EXPECT_TRUE(m_state.m_runTimes.empty());
  EXPECT_EQ(AppendCount(), 0U);
}

// Guards against an operator who cannot see what is learned.
TEST_F(RunTimeStoreTest, Gauges_ShowTheRatioToDeclaredTimes)
{
  Learn(m_state.m_runTimes, 900);
  Learn(m_state.m_runTimes, 900, 3, "few");
  m_runTimeStore.AddGauges();
  ASSERT_EQ(m_metrics.m_gauges.size(), 1U);
  EXPECT_NEAR(m_metrics.m_gauges.at("run_time_ratio{queue=\"q\"}"), 3, 0.1);
}

} // namespace
} // namespace pistachiostand::fleet
