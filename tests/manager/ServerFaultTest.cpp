#include "EntryInstanceFixture.h"

namespace pistachiostand::fleet {
namespace {

/// \brief Backend servers that are slow, lose responses or change their address while a job runs.
class ServerFaultTest : public EntryInstanceFixture
{
protected:
  static std::string OneStep(int aCount)
  {
    return fmt::format(
      R"({{"spec":"work","steps":[{{"count":{},"cpu":1000,"mem-mb":100,"estimated-ms":400}}]}})",
      aCount);
  }

  ClientResponse Submit(const std::string& aBody)
  {
    return Call(1, "POST", std::string{ "/lookups/" } + kJob, aBody);
  }

  static std::string Subtask(int aIndex) { return fmt::format("{}.0.0.{}", kJob, aIndex); }

  [[nodiscard]] int StartCount(int aIndex)
  {
    return m_first.m_starts[Subtask(aIndex)] + m_second.m_starts[Subtask(aIndex)];
  }
};

// Guards against running work again because the response to its start was lost, the start was
// repeated, and by then the run had ended.
TEST_F(ServerFaultTest, RepeatedStart_FindsItsRunEnded_WorkIsNotRunAgain)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  m_first.m_endBeforeResponse = 4;
  m_second.m_endBeforeResponse = 4;
  ASSERT_EQ(Submit(OneStep(4)).m_status, 200);
  EXPECT_TRUE(Completes(1));
  for (int index = 0; index < 4; ++index) {
    EXPECT_EQ(StartCount(index), 1) << index;
    EXPECT_EQ(DoneCount(Subtask(index)), 1) << index;
  }
}

// Guards against abandoning work and running it again elsewhere because its server, which is
// healthy, takes 0.9 s for each report.
TEST_F(ServerFaultTest, ServersSlowToReport_LongRunningSubtasks_RunOnce)
{
  m_first.m_runMs = 8'000;
  m_second.m_runMs = 8'000;
  m_first.m_pollDelayMs = 900;
  m_second.m_pollDelayMs = 900;
  Start(1);
  ASSERT_TRUE(IsReady(1));
  ASSERT_EQ(Submit(OneStep(2)).m_status, 200);
  EXPECT_TRUE(Completes(1));
  for (int index = 0; index < 2; ++index) {
    EXPECT_EQ(StartCount(index), 1) << index;
  }
}

// Guards against dropping a live server and its runs because the process now at its previous
// address refuses its late orders as addressed to another server.
TEST_F(ServerFaultTest, FormerAddress_AnswersForAnotherServer_ServerStaysInUse)
{
  m_store.Put("keyed.servers", "s2", std::nullopt);
  Start(1);
  ASSERT_TRUE(IsReady(1));
  m_first.m_hold = true;
  ASSERT_EQ(Submit(OneStep(2)).m_status, 200);
  ASSERT_TRUE(RunUntil([this] { return m_first.Held() >= 1; }, 3'000));
  RunUntil([] { return false; }, 300);
  // The server restarts at the address of the second stand-in.
  m_store.Put("keyed.servers", "s1", m_second.Entry("lookup", 1));
  RunUntil([] { return false; }, 200);
  m_first.RespondToHeldAsOther();
  EXPECT_TRUE(Completes(1));
  for (int index = 0; index < 2; ++index) {
    EXPECT_EQ(StartCount(index), 1) << index;
  }
}

// Guards against a wave that misses instances because the owner notices up to a second late that a
// moved long-running subtask is running: a poll that was sent before its start waits for an end
// (regression: scenario spokecalc-south-large scale-1: 13 rounds of 2 s in a wave of 25 s).
TEST_F(ServerFaultTest, LongRunningSubtaskStarted_BesideOtherRuns_IsPolledSoon)
{
  constexpr const char* kLongRunningJob = "00000000000000bb";
  constexpr Millis kSoonMs = 400;
  m_first.m_runMs = 5'000;
  m_second.m_runMs = 5'000;
  Start(1);
  ASSERT_TRUE(IsReady(1));
  ASSERT_EQ(Call(1, "POST", std::string{ "/lookups/" } + kJob,
                 R"({"spec":"w","steps":[{"count":2,"cpu":6000,"mem-mb":1,"estimated-ms":5000}]})")
              .m_status,
            200);
  ASSERT_TRUE(RunUntil([this] { return m_first.Running() == 1 && m_second.Running() == 1; }));
  RunUntil([] { return false; }, 200); // Polls that wait for an end are in flight.
  ASSERT_EQ(Call(1, "POST", std::string{ "/lookups/" } + kLongRunningJob,
                 R"({"spec":"w","steps":[{"count":1,"cpu":1000,"mem-mb":1,"estimated-ms":9000,)"
                 R"("long-running":true}]})")
              .m_status,
            200);
  const std::string subtask = std::string{ kLongRunningJob } + ".0.0.0";
  ASSERT_TRUE(
    RunUntil([&] { return m_first.m_starts[subtask] + m_second.m_starts[subtask] == 1; }));
  const auto& server = m_first.m_starts[subtask] == 1 ? m_first : m_second;
  const Millis start = server.m_startMs.at(subtask);
  RunUntil([] { return false; }, kSoonMs);
  EXPECT_GE(std::ranges::count_if(server.m_pollMs, [start](Millis aAt) { return aAt > start; }), 2);
}

} // namespace
} // namespace pistachiostand::fleet
