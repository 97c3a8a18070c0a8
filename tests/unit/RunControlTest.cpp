#include "OwnerFixture.h"

#include <nlohmann/json.hpp>

namespace pistachiostand::fleet {
namespace {

class RunControlTest : public OwnerFixture
{
protected:
  RunControlTest()
    : m_committer(m_state, [](const CommitBatch& /*aBatch*/) {})
    , m_runs(m_state, m_committer, [] {})
  {
  }

  Committer m_committer;
  RunControl m_runs;
};

// Guards against a run that begins although its subtask is done: the end of an earlier run, given
// up before, came while the record of the planned one was being stored.
TEST_F(RunControlTest, SubtaskDoneWhileTheRecordIsStored_PlannedRun_IsNotSent)
{
  PlanRun(m_state.m_book, m_subtask, "s1", 2, MonotonicMs());
  ASSERT_TRUE(ApplyEnd(m_state.m_book, { m_subtask, 1, EndKind::Done, {} }, 1, MonotonicMs()));
  CommitBatch batch;
  batch.m_planned.push_back({ m_subtask, 2, "s1" });
  m_runs.OnStored(batch);
  EXPECT_TRUE(m_client.Find("/run-start").empty());
}

// Guards against an end that is acknowledged unseen because a server lists a later one before it.
TEST_F(RunControlTest, EndsListedOutOfOrder_AllAreApplied)
{
  AddSubmission("b");
  const SubtaskId other{ "b", 0, 0, 0 };
  m_state.m_servers["s1"].m_looked = false;
  m_runs.Tick(MonotonicMs());
  ASSERT_EQ(m_client.Find("/hold").size(), 1U);
  m_client.Answer(m_client.Find("/hold").front(), 200,
                  R"({"clock-ms":50010,"born":5,"running":[],"finished":)"
                  R"([[2,"a.0.0.0",1,"done",""],[1,"b.0.0.0",1,"done",""]]})");
  EXPECT_TRUE(FindSubtask(m_state.m_book, m_subtask)->m_done);
  EXPECT_TRUE(FindSubtask(m_state.m_book, other)->m_done);
}

// Guards against a lease that lasts longer than the owner reckons: a server started again before
// its first report, and the owner went on by the clock of the former life.
TEST_F(RunControlTest, ServerStartedAgainBeforeItsFirstReport_Lease_GoesByTheNewClock)
{
  constexpr Millis kLongestLeaseMs = 6'000;
  m_state.m_servers.clear();
  ServerEntry entry;
  entry.m_id = "s2";
  entry.m_address = { "127.0.0.1", 1'002 };
  entry.m_incarnation = 5;
  entry.m_clockMs = 900'000;
  m_runs.OnServerEntry("s2", entry);
  entry.m_incarnation = 9;
  entry.m_clockMs = 100;
  m_runs.OnServerEntry("s2", entry);
  m_runs.Tick(MonotonicMs());
  const auto looks = m_client.Find("/hold");
  ASSERT_EQ(looks.size(), 1U);
  const auto body = nlohmann::json::parse(m_client.m_sent[looks.front()].m_request.m_body);
  EXPECT_LE(body.value("deadline-ms", Millis{ 0 }), entry.m_clockMs + kLongestLeaseMs);
}

// Guards against a second run beside one that has just been seen: a look that had renewed no lease
// showed it, and its server was given up in the next tick by the end of an old lease.
TEST_F(RunControlTest, RunSeenAfterTheLeaseEnd_IsNotGivenUpAtOnce)
{
  ServerState& server = m_state.m_servers["s1"];
  server.m_looked = false;
  server.m_silent = 1;
  server.m_leaseEndMs = MonotonicMs() - 100;
  m_runs.Tick(MonotonicMs());
  const auto looks = m_client.Find("/hold");
  ASSERT_EQ(looks.size(), 1U);
  m_client.Answer(looks.front(), 200,
                  R"({"clock-ms":50010,"born":5,"running":[["a.0.0.0",1,"",40]],"finished":[]})");
  ASSERT_NE(FindRun(m_state.m_book, { m_subtask, 1, "s1" }), nullptr);
  m_runs.Tick(MonotonicMs());
  EXPECT_NE(FindRun(m_state.m_book, { m_subtask, 1, "s1" }), nullptr);
}

// Guards against a planned run that is dropped while its record is being stored, because the last
// lease of its idle server ended long ago; each such run uses up a number and a record.
TEST_F(RunControlTest, RunPlannedOnAnIdleServer_OldLease_IsKept)
{
  m_state.m_servers["s1"].m_leaseEndMs = MonotonicMs() - 10'000;
  PlanRun(m_state.m_book, m_subtask, "s1", 1, MonotonicMs());
  m_runs.Tick(MonotonicMs());
  EXPECT_NE(FindRun(m_state.m_book, { m_subtask, 1, "s1" }), nullptr);
}

} // namespace
} // namespace pistachiostand::fleet
