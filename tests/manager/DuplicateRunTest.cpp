#include "../standins/SilentRelay.h"
#include "EntryInstanceFixture.h"

#include <asio/post.hpp>

#include <iterator>
#include <stdexcept>

namespace pistachiostand::fleet {
namespace {

/// \brief Faults after which a subtask could be run again while an earlier run is in progress, or
/// after its end as done was acknowledged.
class DuplicateRunTest : public EntryInstanceFixture
{
protected:
  static constexpr const char* kNextJob = "00000000000000bb";

  static std::string OneStep(int aCount = 1, int aCpuMillis = 1'000)
  {
    return fmt::format(R"({{"spec":"work","steps":[{{"count":{},"cpu":{},"mem-mb":100,)"
                       R"("estimated-ms":400}}]}})",
                       aCount, aCpuMillis);
  }

  void Submit(const std::string& aJob, int aCount = 1, int aCpuMillis = 1'000)
  {
    ASSERT_EQ(Call(1, "POST", "/lookups/" + aJob, OneStep(aCount, aCpuMillis)).m_status, 200);
  }

  static std::string Subtask(const std::string& aJob, int aIndex = 0)
  {
    return fmt::format("{}.0.0.{}", aJob, aIndex);
  }

  void Wait(Millis aMs)
  {
    RunUntil([] { return false; }, aMs);
  }

  /// \brief Leaves the owner only the first server.
  void DeregisterSecond() { m_store.Put("keyed.servers", "s2", std::nullopt); }
  void RegisterSecond() { m_store.Put("keyed.servers", "s2", m_second.Entry("lookup")); }

  [[nodiscard]] std::vector<standin::PreparedServer::PastRun> RunsOf(
    const std::string& aSubtask) const
  {
    std::vector<standin::PreparedServer::PastRun> runs;
    for (const auto* server : { &m_first, &m_second }) {
      std::ranges::copy_if(server->m_history, std::back_inserter(runs),
                           [&](const auto& aOne) { return aOne.m_task == aSubtask; });
    }
    std::ranges::sort(runs, {}, &standin::PreparedServer::PastRun::m_startMs);
    return runs;
  }

  /// \brief Violations of the rule on repeated runs: none may start while an earlier run is in
  /// progress, nor after its end as done was acknowledged and no lease lapsed in between. Empty if
  /// there are none.
  [[nodiscard]] std::string Violation(const std::string& aSubtask) const
  {
    std::string seen;
    const auto runs = RunsOf(aSubtask);
    for (std::size_t i = 0; i < runs.size(); ++i) {
      for (std::size_t later = i + 1; later < runs.size(); ++later) {
        const auto& one = runs[i];
        const Millis start = runs[later].m_startMs;
        if (one.m_endMs == 0 || start < one.m_endMs) {
          seen += fmt::format("run {} started {} ms after run {}, which was still going on; ",
                              runs[later].m_run, start - one.m_startMs, one.m_run);
        } else if (one.m_how == "done" && one.m_acknowledged && !one.m_lapsed) {
          seen += fmt::format(
            "run {} started {} ms after run {}, whose end as done had been acknowledged; ",
            runs[later].m_run, start - one.m_endMs, one.m_run);
        }
      }
    }
    return seen;
  }
};

// Guards against acknowledging an end after its work was abandoned and started again: the responses
// of a server were lost for 4 s, and since its last run was done, no lease was in force that could
// lapse.
TEST_F(DuplicateRunTest, SilentServer_LastRunDoneMeanwhile_EndIsNotAcknowledgedAfterASecondStart)
{
  m_first.m_runMs = 600;
  DeregisterSecond();
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Submit(kJob);
  ASSERT_TRUE(RunUntil([this] { return m_first.Running() == 1; }));
  Wait(50);
  m_first.m_loseResponses = true;
  RegisterSecond();
  ASSERT_TRUE(RunUntil([this] { return m_second.m_starts[Subtask(kJob)] == 1; }));
  m_first.m_loseResponses = false;
  ASSERT_TRUE(Completes(1));
  Wait(2'000); // The owner polls the server again.
  EXPECT_EQ(Violation(Subtask(kJob)), "");
}

// Guards against starting work elsewhere while it still runs: a server had restarted under the same
// id, its clock was behind that of its previous incarnation, and the first lease there lasted 6 s,
// the longest, instead of the 1.5 s that the owner had intended.
TEST_F(DuplicateRunTest, ServerRestarted_UnresponsiveAfterAStart_LongestLeaseIsAssumed)
{
  m_first.m_runMs = 5'500;
  m_first.m_maxHoldMs = 6'000;
  m_second.m_runMs = 400;
  DeregisterSecond();
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Wait(200);
  m_first.Restart();
  Submit(kJob);
  ASSERT_TRUE(RunUntil([this] { return m_first.Running() == 1; }));
  m_first.m_loseResponses = true;
  RegisterSecond();
  Wait(6'500);
  EXPECT_EQ(Violation(Subtask(kJob)), "");
}

// Guards against acknowledging an end that was never reported: the owner sent the number of the
// last end of the server's previous incarnation to the new one, whose ends count from 1.
TEST_F(DuplicateRunTest,
       ServerRestarted_PollUnanswered_UnreportedEndOfTheNewIncarnationIsNotAcknowledged)
{
  m_first.m_runMs = 300;
  m_second.m_runMs = 300;
  DeregisterSecond();
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Submit(kJob, 3);
  ASSERT_TRUE(Completes(1));
  Wait(300);
  m_first.Restart();
  m_first.m_losePollResponses = 1;
  Submit(kNextJob);
  EXPECT_TRUE(RunUntil([this] { return RunsOf(Subtask(kNextJob)).size() == 2; }, 4'000) ||
              RunsOf(Subtask(kNextJob)).size() == 1);
  EXPECT_EQ(Violation(Subtask(kNextJob)), "");
}

// Guards against dropping a run of a server's new incarnation in place of one of the previous
// incarnation: the response to a poll that the new incarnation had received before the start
// arrived after the response to the start.
TEST_F(DuplicateRunTest,
       ServerRestarted_PollOvertakenByAStart_RunOfTheNewIncarnationIsNotDuplicated)
{
  m_first.m_runMs = 4'000;
  m_second.m_runMs = 4'000;
  DeregisterSecond();
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Submit(kJob);
  ASSERT_TRUE(RunUntil([this] { return m_first.Running() == 1; }));
  Wait(100);
  m_first.m_holdPollResponses = true;
  m_first.Restart();
  ASSERT_TRUE(RunUntil([this] { return m_first.HeldPolls() == 1; }, 2'000));
  m_first.m_holdPollResponses = false; // The start waits for a report of the new incarnation.
  Submit(kNextJob);
  ASSERT_TRUE(RunUntil([this] { return m_first.Running() == 1; }, 500));
  Wait(20); // The response to the start arrives.
  m_first.ReleasePolls();
  Wait(1'000);
  EXPECT_EQ(Violation(Subtask(kNextJob)), "");
}

// Guards against two runs at the same time: the HTTP client had repeated a start on a new
// connection by itself, the repeat was refused as not carried out, and the first one was carried
// out a second later.
TEST_F(DuplicateRunTest, ConnectionOfAStartBreaks_RepeatRefused_WorkIsNotStartedElsewhere)
{
  m_first.m_runMs = 3'000;
  m_second.m_runMs = 3'000;
  DeregisterSecond();
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Wait(300);
  m_first.m_breakStarts = 1;
  m_first.m_unhealthyStarts = 1;
  Submit(kJob);
  ASSERT_TRUE(RunUntil([this] { return m_first.m_breakStarts == 0; }, 1'000));
  RegisterSecond();
  Wait(2'500);
  EXPECT_EQ(Violation(Subtask(kJob)), "");
}

// Guards against a later owner that repeats work because its end is not among the 500 that a server
// lists at a time.
TEST_F(DuplicateRunTest, OwnerDies_EndBeyondTheFirst500_WorkIsNotRunAgain)
{
  m_first.m_runMs = 500;
  m_second.m_runMs = 500;
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Submit(kJob);
  ASSERT_TRUE(RunUntil([this] { return m_first.Running() + m_second.Running() == 1; }));
  m_entries.erase(1);
  m_first.AddForeignEnds(500);
  m_second.AddForeignEnds(500);
  ASSERT_TRUE(RunUntil([this] { return DoneCount(Subtask(kJob)) == 1; }));
  Start(2);
  ASSERT_TRUE(IsReady(2));
  ASSERT_TRUE(Completes(2));
  Wait(500);
  EXPECT_EQ(Violation(Subtask(kJob)), "");
}

// Guards against treating records as stored that are not: an owner that began again with the same
// token counted its appends from 1 again, and the store took them for repeats of the first ones.
TEST_F(DuplicateRunTest, OwnershipBeginsAgainWithItsToken_RecordIsStoredBeforeTheStart)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Submit(kJob);
  ASSERT_TRUE(Completes(1));
  Wait(300);
  m_store.m_appendMs = 200;
  Wait(300); // A renewal is in flight.
  auto& entry = *m_entries.at(1);
  asio::post(entry.m_loop, [] { throw std::runtime_error("unexpected"); });
  asio::post(entry.m_loop, [&entry] { entry.m_loop.stop(); });
  entry.m_entryInstance->Run();
  entry.m_loop.restart();
  m_store.m_appendMs = 0;
  Wait(600);
  ASSERT_TRUE(IsReady(1));
  Submit(kNextJob);
  ASSERT_TRUE(RunUntil([this] { return RunsOf(Subtask(kNextJob)).size() == 1; }));
  EXPECT_TRUE(m_store.Value("keyed.progress", kNextJob).has_value());
}

/// \brief A server that has restarted under its id when the owner dies. The earlier owner has sent
/// it a start with a deadline on the clock of its previous incarnation, so its lease is the
/// longest.
class RestartBeforeTakeoverTest : public DuplicateRunTest
{
protected:
  static constexpr Millis kLongestLeaseMs = 10'000;
  static constexpr Millis kRunMs = 9'500;

  RestartBeforeTakeoverTest()
  {
    m_maxLeaseMs = kLongestLeaseMs;
    m_first.m_maxHoldMs = kLongestLeaseMs;
    m_first.m_runMs = kRunMs;
  }

  /// \brief Starts a run on the restarted server under the first owner, which then dies.
  void RestartAndLoseTheOwner()
  {
    DeregisterSecond();
    Start(1);
    ASSERT_TRUE(IsReady(1));
    Wait(200);
    m_first.Restart();
    Submit(kJob);
    ASSERT_TRUE(RunUntil([this] { return m_first.Running() == 1; }));
    m_store.Put("keyed.servers", "s1", m_first.Entry("lookup"));
    m_entries.erase(1);
    RegisterSecond();
  }
};

// Guards against two runs at the same time: the next owner could not reach the server, and assumed
// that its leases were over 6 s after the takeover.
TEST_F(RestartBeforeTakeoverTest, ServerCutOff_NextOwner_WaitsForTheLongestLease)
{
  ASSERT_NO_FATAL_FAILURE(RestartAndLoseTheOwner());
  m_first.m_hold = true;
  Start(2);
  Wait(kRunMs + 1'000);
  EXPECT_EQ(Violation(Subtask(kJob)), "");
}

// Guards against the same failure when the server is cut off after its first report, from which the
// next owner assumed a lease of 4 s.
TEST_F(RestartBeforeTakeoverTest, ServerCutOffAfterItsFirstReport_NextOwner_WaitsForTheLongestLease)
{
  ASSERT_NO_FATAL_FAILURE(RestartAndLoseTheOwner());
  const auto polls = m_first.m_pollMs.size();
  Start(2);
  ASSERT_TRUE(RunUntil([&] { return m_first.m_pollMs.size() > polls + 1; }));
  Wait(100);
  m_first.m_hold = true;
  Wait(kRunMs + 1'000);
  EXPECT_EQ(Violation(Subtask(kJob)), "");
}

/// \brief A server that restarts under its id, which its owner does not learn: its connections
/// break, and its new registration does not reach the store.
class UnnoticedRestartTest : public RestartBeforeTakeoverTest
{
protected:
  /// Age of the first incarnation, long before each takeover.
  static constexpr int kAgeMs = 60'000;

  UnnoticedRestartTest()
    : m_toFirst(m_loop, At(8), At(1))
  {
    auto entry = nlohmann::json::parse(m_first.Entry("lookup", -kAgeMs));
    entry["address"] = pistachiostand::ToString(At(8));
    m_store.Put("keyed.servers", "s1", entry.dump());
  }

  /// \brief Restarts the server, which then carries out a start, loses the response to it and is
  /// cut off.
  void RestartAndCutOffAfterAStart()
  {
    DeregisterSecond();
    Start(1);
    ASSERT_TRUE(IsReady(1));
    Wait(200);
    m_first.Restart();
    m_toFirst.Reset();
    m_first.m_loseStartResponses = 1;
    Submit(kJob);
    ASSERT_TRUE(RunUntil([this] { return m_first.Running() == 1; }));
    m_first.m_hold = true;
    RegisterSecond();
  }

  standin::SilentRelay m_toFirst;
};

// Guards against two runs at the same time: a start without a response had reached an incarnation
// that its owner did not know of, and its lease was the longest instead of the intended one.
TEST_F(UnnoticedRestartTest, StartUnanswered_SameOwner_WorkIsNotStartedElsewhereMeanwhile)
{
  ASSERT_NO_FATAL_FAILURE(RestartAndCutOffAfterAStart());
  Wait(kRunMs + 1'000);
  EXPECT_EQ(Violation(Subtask(kJob)), "");
}

// Guards against the same failure under the next owner, which reads the registration of the
// previous incarnation.
TEST_F(UnnoticedRestartTest, StartUnanswered_NextOwner_WorkIsNotStartedElsewhereMeanwhile)
{
  ASSERT_NO_FATAL_FAILURE(RestartAndCutOffAfterAStart());
  m_entries.erase(1);
  Start(2);
  Wait(kRunMs + 1'000);
  EXPECT_EQ(Violation(Subtask(kJob)), "");
}

} // namespace
} // namespace pistachiostand::fleet
