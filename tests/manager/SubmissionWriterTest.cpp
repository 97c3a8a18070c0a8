#include "../standins/PreparedStore.h"

#include "src/manager/SubmissionWriter.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/connection/HttpClient.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pistachiostand::fleet {
namespace {

class SubmissionWriterTest : public ::testing::Test
{
protected:
  static constexpr std::uint16_t kPort = 21'490;

  SubmissionWriterTest()
    : m_client(HttpClient::Create(m_loop))
    , m_standin(m_loop, { "127.0.0.1", kPort })
    , m_store(*m_client, "127.0.0.1:" + std::to_string(kPort))
    , m_writer(m_loop, m_store, 0)
  {
  }

  void Append(Millis aRefuseAfterMs, Millis aDeadlineMs)
  {
    const Millis now = MonotonicMs();
    m_writer.Append(platform::EncodeKeyed("j:a", "work"),
                    { now + aRefuseAfterMs, now + aDeadlineMs },
                    [this](platform::AppendOutcome aOutcome) { m_outcome = aOutcome; });
  }

  bool RunUntilAnswered(Millis aLimitMs)
  {
    const Millis end = MonotonicMs() + aLimitMs;
    while (!m_outcome && MonotonicMs() < end) {
      m_loop.run_for(std::chrono::milliseconds{ 1 });
    }
    return m_outcome.has_value();
  }

  asio::io_context m_loop{ 1 };
  std::unique_ptr<HttpClient> m_client;
  standin::PreparedStore m_standin;
  platform::Store m_store;
  SubmissionWriter m_writer;
  std::optional<platform::AppendOutcome> m_outcome;
};

// Guards against refusing a record although the store recovers in time.
TEST_F(SubmissionWriterTest, Append_StoreBackInTime_IsStored)
{
  m_standin.m_refusedTopic = kSubmissionTopic;
  Append(1'000, 2'000);
  EXPECT_FALSE(RunUntilAnswered(200));
  m_standin.m_refusedTopic.clear();
  ASSERT_TRUE(RunUntilAnswered(1'000));
  EXPECT_EQ(*m_outcome, platform::AppendOutcome::Stored);
}

// Guards against a caller that is held while the store refuses records.
TEST_F(SubmissionWriterTest, Append_StoreRefuses_IsRefusedInTime)
{
  m_standin.m_refusedTopic = kSubmissionTopic;
  const Millis begin = MonotonicMs();
  Append(300, 5'000);
  ASSERT_TRUE(RunUntilAnswered(2'000));
  EXPECT_EQ(*m_outcome, platform::AppendOutcome::Refused);
  EXPECT_LT(MonotonicMs() - begin, 1'000);
  EXPECT_TRUE(m_writer.IsStoreDegraded(MonotonicMs()));
}

// Guards against reporting an unknown outcome for a record that the store never accepted.
TEST_F(SubmissionWriterTest, Close_RecordNotTaken_IsRefused)
{
  m_standin.m_refusedTopic = kSubmissionTopic;
  Append(5'000, 5'000);
  EXPECT_FALSE(RunUntilAnswered(200));
  m_writer.Close();
  ASSERT_TRUE(RunUntilAnswered(1'000));
  EXPECT_EQ(*m_outcome, platform::AppendOutcome::Refused);
}

// Guards against reporting a record as refused that an unanswered append may have stored.
TEST_F(SubmissionWriterTest, Append_AnswerLostThenRefused_StaysUnknown)
{
  m_standin.m_loseAppendResponses = 1;
  Append(100, 1'500);
  EXPECT_FALSE(RunUntilAnswered(200));
  m_standin.m_refusedTopic = kSubmissionTopic;
  ASSERT_TRUE(RunUntilAnswered(3'000));
  EXPECT_EQ(*m_outcome, platform::AppendOutcome::Unknown);
}

// Guards against telling callers that their job may run although its record was sent without need:
// each try sent all waiting records to a store that breaks connections.
TEST_F(SubmissionWriterTest, StoreBreaksConnections_RecordsNotInTheAppend_AreRefused)
{
  constexpr Millis kWaitMs = 800;
  constexpr std::size_t kRecords = 6;
  m_standin.m_breakAppends = true;
  std::vector<platform::AppendOutcome> outcomes;
  for (std::size_t record = 0; record < kRecords; ++record) {
    const Millis deadline = MonotonicMs() + kWaitMs;
    m_writer.Append(
      platform::EncodeKeyed(std::to_string(record), "work"), { deadline, deadline },
      [&outcomes](platform::AppendOutcome aOutcome) { outcomes.push_back(aOutcome); });
    m_loop.run_for(std::chrono::milliseconds{ 60 });
  }
  m_loop.run_for(std::chrono::milliseconds{ 2 * kWaitMs });
  ASSERT_EQ(outcomes.size(), kRecords);
  EXPECT_EQ(outcomes.front(), platform::AppendOutcome::Unknown);
  // After the first record times out, another one probes whether the store has recovered.
  EXPECT_GE(std::ranges::count(outcomes, platform::AppendOutcome::Refused),
            static_cast<std::ptrdiff_t>(kRecords) - 2);
}

// Guards against records that are not stored after a store that broke connections has recovered.
TEST_F(SubmissionWriterTest, StoreBreaksConnections_ThenIsBack_AllRecordsAreStored)
{
  constexpr std::size_t kRecords = 6;
  m_standin.m_breakAppends = true;
  std::size_t stored = 0;
  for (std::size_t record = 0; record < kRecords; ++record) {
    const Millis deadline = MonotonicMs() + 2'000;
    m_writer.Append(platform::EncodeKeyed(std::to_string(record), "work"), { deadline, deadline },
                    [&stored](platform::AppendOutcome aOutcome) {
                      stored += aOutcome == platform::AppendOutcome::Stored ? 1 : 0;
                    });
    m_loop.run_for(std::chrono::milliseconds{ 60 });
  }
  m_standin.m_breakAppends = false;
  m_loop.run_for(std::chrono::milliseconds{ 200 });
  EXPECT_EQ(stored, kRecords);
}

} // namespace
} // namespace pistachiostand::fleet
