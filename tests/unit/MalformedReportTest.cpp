#include "OwnerFixture.h"

#include <fmt/format.h>

namespace pistachiostand::fleet {
namespace {

/// \brief Reports of a backend server in which one part is malformed.
class MalformedReportTest : public OwnerFixture
{
protected:
  MalformedReportTest()
    : m_committer(m_state, [](const CommitBatch& /*aBatch*/) {})
    , m_runs(m_state, m_committer, [] {})
  {
    PlanRun(m_state.m_jobTable, m_subtask, "s1", 1, MonotonicMs());
    fleet::Run& run = *FindRun(m_state.m_jobTable, m_ref);
    run.m_phase = RunPhase::Running;
    run.m_sinceMs = MonotonicMs() - 1'000;
    ServerState& server = m_state.m_servers["s1"];
    server.m_incarnation = 5;
    server.m_leaseEndMs = MonotonicMs() + 5'000;
  }

  /// \brief Polls the server, and responds with this report.
  void Poll(const std::string& aReport)
  {
    m_state.m_servers["s1"].m_nextPollMs = 0;
    m_runs.Tick(MonotonicMs());
    const auto polls = m_client.Find("/hold");
    ASSERT_FALSE(polls.empty());
    m_client.Respond(polls.back(), 200, aReport);
  }

  bool HasRun() { return FindRun(m_state.m_jobTable, m_ref) != nullptr; }

  const RunRef m_ref{ m_subtask, 1, "s1" };
  Committer m_committer;
  RunControl m_runs;
};

// Guards against a second run beside one that is still running, because its row could not be read.
TEST_F(MalformedReportTest, RowOfTheRun_Unreadable_RunIsKept)
{
  for (const auto* row : { "7", R"(["a.0.0",1,"",40])", R"(["a.0.0.0",1,"",1e999])",
                           R"(["a.0.0.0",-1,"",40])", R"(["a.0.0.0",1])" }) {
    Poll(fmt::format(R"({{"clock-ms":50010,"born":5,"running":[{}],"finished":[]}})", row));
    EXPECT_TRUE(HasRun()) << row;
    EXPECT_EQ(m_state.m_servers["s1"].m_unansweredCalls, 0U) << row;
  }
  Poll(R"({"clock-ms":50010,"born":5,"running":[],"finished":[]})");
  EXPECT_FALSE(HasRun()); // A report without malformed rows is applied in full again.
}

// Guards against a second run beside one that is still running: a report without an incarnation, or
// with an invalid one, was taken for that of a new incarnation.
TEST_F(MalformedReportTest, Incarnation_MissingOrInvalid_RunIsKept)
{
  for (const auto* born : { "", R"("born":0,)", R"("born":null,)", R"("born":-1,)",
                            R"("born":1e300,)", R"("born":"5",)", R"("born":5.5,)" }) {
    Poll(fmt::format(R"({{"clock-ms":50010,{}"running":[],"finished":[]}})", born));
    EXPECT_TRUE(HasRun()) << born;
    EXPECT_EQ(m_state.m_servers["s1"].m_incarnation, 5) << born;
  }
}

// Guards against leases that end at once because an unreadable clock value replaced the last valid
// one.
TEST_F(MalformedReportTest, Clock_Unreadable_LastOneStays)
{
  Poll(R"({"clock-ms":-7,"born":5,"running":[["a.0.0.0",1,"",40]],"finished":[]})");
  EXPECT_TRUE(HasRun());
  const auto clock = ServerClockMs(m_state.m_servers["s1"], MonotonicMs());
  ASSERT_TRUE(clock.has_value());
  EXPECT_GE(*clock, 49'000);
  m_runs.Stop(m_ref, "test");
  const auto stops = m_client.Find("/run-stop");
  ASSERT_EQ(stops.size(), 1U);
  m_client.Respond(stops.front(), 200, R"({"clock-ms":1e300})");
  EXPECT_GE(*ServerClockMs(m_state.m_servers["s1"], MonotonicMs()), 49'000);
}

// Guards against ignoring all later ends as already applied after one whose number is too large.
TEST_F(MalformedReportTest, EndWithANumberTooLarge_LaterEndsAreApplied)
{
  AddSubmission("b");
  Poll(R"({"clock-ms":50010,"born":5,"running":[["a.0.0.0",1,"",40]],"finished":)"
       R"([[1,"x.0.0.0",1,"done",""],[9007199254740991,"x.0.0.1",1,"done",""]]})");
  EXPECT_EQ(m_state.m_servers["s1"].m_appliedEnds, 1U);
  Poll(R"({"clock-ms":50010,"born":5,"running":[["a.0.0.0",1,"",40]],"finished":)"
       R"([[9007199254740990,"x.0.0.1",1,"done",""]]})");
  EXPECT_EQ(m_state.m_servers["s1"].m_appliedEnds, 1U);
  Poll(R"({"clock-ms":50010,"born":5,"running":[],"finished":[[2,"a.0.0.0",1,"done",""]]})");
  EXPECT_TRUE(FindSubtask(m_state.m_jobTable, m_subtask)->m_done);
}

// Guards against run numbers that no report can express: a server listed a run with a number that
// is too large, the later runs of the subtask got larger ones, and their ends counted as already
// applied.
TEST_F(MalformedReportTest, RunWithANumberTooLarge_LaterRunsCount)
{
  Poll(R"({"clock-ms":50010,"born":5,"running":[["a.0.0.0",9007199254740991,"",40]],)"
       R"("finished":[[1,"a.0.0.0",9007199254740991,"stopped",""]]})");
  EXPECT_TRUE(HasRun());
  EXPECT_EQ(FindSubtask(m_state.m_jobTable, m_subtask)->m_lastRun, 1U);
  EXPECT_EQ(FindSubtask(m_state.m_jobTable, m_subtask)->m_lastEndedRun, 0U);
}

// Guards against malformed rows that no metric counts.
TEST_F(MalformedReportTest, MalformedRows_AreCounted)
{
  Poll(R"({"clock-ms":50010,"born":5,"running":[7],"finished":[7]})");
  EXPECT_EQ(m_metrics.m_counters["reports_unreadable_total"], 1U);
}

} // namespace
} // namespace pistachiostand::fleet
