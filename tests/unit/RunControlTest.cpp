#include "OwnerFixture.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace pistachiostand::fleet {
namespace {

class RunControlTest : public OwnerFixture
{
protected:
  RunControlTest()
    : m_committer(m_state, [](const CommitBatch& /*aBatch*/) {})
    , m_runs(m_state, m_committer, [this] { ++m_changeCount; })
  {
  }

  static constexpr Millis kLongestLeaseMs = 6'000;

  /// \brief Responds to the only request so far to a path.
  void Respond(const std::string& aPath, const std::string& aBody)
  {
    const auto calls = m_client.Find(aPath);
    ASSERT_EQ(calls.size(), 1U);
    m_client.Respond(calls.front(), 200, aBody);
  }

  void Register(std::int64_t aIncarnation, Millis aClockMs)
  {
    ServerState& server = m_state.m_servers["s1"];
    if (server.m_clock && server.m_clock->m_incarnation == 0) {
      server.m_clock.reset(); // The clock of the fixture belongs to no incarnation.
    }
    ServerRegistration registration = server.m_registration;
    registration.m_incarnation = aIncarnation;
    registration.m_clockMs = aClockMs;
    m_runs.OnServerRegistration("s1", registration);
  }

  /// \brief Sends the start of the first run.
  void StartRun()
  {
    PlanRun(m_state.m_jobTable, m_subtask, "s1", 1, MonotonicMs());
    CommitBatch batch;
    batch.m_planned.push_back({ m_subtask, 1, "s1" });
    m_runs.OnStored(batch);
  }

  /// \brief Plans all runs of a job with many subtasks on one server.
  CommitBatch WideBatch(std::uint32_t aCount)
  {
    JobSpec spec;
    spec.m_id = "wide";
    spec.m_queue = "lookups";
    spec.m_steps.emplace_back();
    spec.m_steps.back().m_count = aCount;
    AddJob(m_state.m_jobTable, std::move(spec), MonotonicMs(), 0);
    CommitBatch batch;
    for (std::uint32_t index = 0; index < aCount; ++index) {
      batch.m_planned.push_back({ { "wide", 0, 0, index }, 1, "s1" });
      PlanRun(m_state.m_jobTable, batch.m_planned.back().m_subtask, "s1", 1, MonotonicMs());
    }
    return batch;
  }

  int m_changeCount{};
  Committer m_committer;
  RunControl m_runs;
};

// Guards against starting a run of a subtask that is already done: the end of an earlier run, which
// had been dropped, arrived while the record of the planned run was being stored.
TEST_F(RunControlTest, SubtaskDoneWhileTheRecordIsStored_PlannedRun_IsNotSent)
{
  PlanRun(m_state.m_jobTable, m_subtask, "s1", 2, MonotonicMs());
  ASSERT_TRUE(ApplyEnd(m_state.m_jobTable, { m_subtask, 1, EndKind::Done, {} }, 1, MonotonicMs()));
  CommitBatch batch;
  batch.m_planned.push_back({ m_subtask, 2, "s1" });
  m_runs.OnStored(batch);
  EXPECT_TRUE(m_client.Find("/run-start").empty());
}

// Guards against acknowledging an end that was never applied, because a server lists a later end
// before it.
TEST_F(RunControlTest, EndsListedOutOfOrder_AllAreApplied)
{
  AddSubmission("b");
  const SubtaskId other{ "b", 0, 0, 0 };
  m_state.m_servers["s1"].m_hasReported = false;
  m_runs.Tick(MonotonicMs());
  ASSERT_EQ(m_client.Find("/hold").size(), 1U);
  m_client.Respond(m_client.Find("/hold").front(), 200,
                   R"({"clock-ms":50010,"born":5,"running":[],"finished":)"
                   R"([[2,"a.0.0.0",1,"done",""],[1,"b.0.0.0",1,"done",""]]})");
  EXPECT_TRUE(FindSubtask(m_state.m_jobTable, m_subtask)->m_done);
  EXPECT_TRUE(FindSubtask(m_state.m_jobTable, other)->m_done);
}

// Guards against a lease that lasts longer than the owner assumes: a server restarted before its
// first report, and the owner still used the clock of the previous incarnation.
TEST_F(RunControlTest, ServerRestartedBeforeItsFirstReport_Lease_UsesTheNewClock)
{
  m_state.m_servers.clear();
  ServerRegistration registration;
  registration.m_id = "s2";
  registration.m_address = { "127.0.0.1", 1'002 };
  registration.m_incarnation = 5;
  registration.m_clockMs = 900'000;
  m_runs.OnServerRegistration("s2", registration);
  registration.m_incarnation = 9;
  registration.m_clockMs = 100;
  m_runs.OnServerRegistration("s2", registration);
  m_runs.Tick(MonotonicMs());
  const auto polls = m_client.Find("/hold");
  ASSERT_EQ(polls.size(), 1U);
  const auto body = nlohmann::json::parse(m_client.m_sent[polls.front()].m_request.m_body);
  EXPECT_LE(body.value("deadline-ms", Millis{ 0 }), registration.m_clockMs + kLongestLeaseMs);
}

// Guards against a second run beside one that was just reported: the poll that reported it had
// renewed no lease, and the next tick dropped the server because an old lease had ended.
TEST_F(RunControlTest, RunReportedAfterTheLeaseEnd_IsNotDroppedAtOnce)
{
  ServerState& server = m_state.m_servers["s1"];
  server.m_hasReported = false;
  server.m_unansweredCalls = 1;
  server.m_leaseEndMs = MonotonicMs() - 100;
  m_runs.Tick(MonotonicMs());
  const auto polls = m_client.Find("/hold");
  ASSERT_EQ(polls.size(), 1U);
  m_client.Respond(polls.front(), 200,
                   R"({"clock-ms":50010,"born":5,"running":[["a.0.0.0",1,"",40]],"finished":[]})");
  ASSERT_NE(FindRun(m_state.m_jobTable, { m_subtask, 1, "s1" }), nullptr);
  m_runs.Tick(MonotonicMs());
  EXPECT_NE(FindRun(m_state.m_jobTable, { m_subtask, 1, "s1" }), nullptr);
}

// Guards against dropping a planned run while its record is being stored, because the last lease of
// its idle server ended long ago. Each such run uses up a run number and a record.
TEST_F(RunControlTest, RunPlannedOnAnIdleServer_OldLease_IsKept)
{
  m_state.m_servers["s1"].m_leaseEndMs = MonotonicMs() - 10'000;
  PlanRun(m_state.m_jobTable, m_subtask, "s1", 1, MonotonicMs());
  m_runs.Tick(MonotonicMs());
  EXPECT_NE(FindRun(m_state.m_jobTable, { m_subtask, 1, "s1" }), nullptr);
}

// Guards against the same fault as RunReportedAfterTheLeaseEnd_IsNotDroppedAtOnce when the server's
// lease ends between the poll and the tick.
TEST_F(RunControlTest, RunReportedShortlyBeforeTheLeaseEnd_IsNotDroppedAtOnce)
{
  ServerState& server = m_state.m_servers["s1"];
  server.m_hasReported = false;
  server.m_unansweredCalls = 1;
  server.m_leaseEndMs = MonotonicMs() + 50;
  m_runs.Tick(MonotonicMs());
  Respond("/hold", R"({"clock-ms":50010,"born":5,"running":[["a.0.0.0",1,"",40]],"finished":[]})");
  m_runs.Tick(MonotonicMs() + 100);
  EXPECT_NE(FindRun(m_state.m_jobTable, { m_subtask, 1, "s1" }), nullptr);
}

// Guards against a second run beside a first one: a restarted server received a start with a
// deadline on its previous clock, the response was lost, and only the registration reported the new
// incarnation.
TEST_F(RunControlTest, StartWithoutAnswer_ServerRegistersANewIncarnation_LongestLeaseIsAssumed)
{
  Register(5, 50'000);
  StartRun();
  Register(9, 100);
  EXPECT_GE(m_state.m_servers["s1"].m_leaseEndMs, MonotonicMs() + kLongestLeaseMs);
}

// Guards against the same failure under a new owner, which knows the previous incarnation only from
// its registration: the first poll uses the clock of that incarnation.
TEST_F(RunControlTest, FirstReportIsOfALaterIncarnation_LongestLeaseIsAssumed)
{
  Register(5, 50'000);
  m_state.m_servers["s1"].m_hasReported = false;
  m_runs.Tick(MonotonicMs());
  Respond("/hold", R"({"clock-ms":120,"born":9,"running":[],"finished":[]})");
  EXPECT_GE(m_state.m_servers["s1"].m_leaseEndMs, MonotonicMs() + kLongestLeaseMs);
}

// Guards against the same failure when a start is overtaken by a poll that the previous incarnation
// answers.
TEST_F(RunControlTest, StartSentBeforeAPoll_AnsweredByALaterIncarnation_LongestLeaseIsAssumed)
{
  StartRun();
  std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
  m_runs.Tick(MonotonicMs());
  Respond("/hold", R"({"clock-ms":50010,"born":5,"running":[],"finished":[]})");
  Respond("/run-start", R"({"clock-ms":5})");
  EXPECT_GE(m_state.m_servers["s1"].m_leaseEndMs, MonotonicMs() + kLongestLeaseMs);
}

// Guards against dropping the runs of a new incarnation: a late response of the previous one
// restored its clock, so that the next response of the new one looked like another restart.
TEST_F(RunControlTest, AnswerOfThePreviousIncarnation_AfterTheNewRegistration_DoesNotSetTheClock)
{
  Register(5, 50'000);
  StartRun();
  Respond("/hold", R"({"clock-ms":50000,"born":5,"running":[],"finished":[]})");
  std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
  Register(9, 100);
  Respond("/run-start", R"({"clock-ms":50005})");
  EXPECT_LT(ServerClockMs(m_state.m_servers["s1"], MonotonicMs()), 10'000);
}

// Guards against two runs at the same time under a new owner: the earlier one had sent orders with
// deadlines on the clock of the server's previous incarnation, so that its lease is the longest.
TEST_F(RunControlTest, FirstRegistration_BornShortlyBeforeTheTakeover_LongestLeaseIsAssumed)
{
  Register(WallMs() - 1'000, 100);
  EXPECT_GE(m_state.m_servers["s1"].m_leaseEndMs, m_state.m_claimedMs + kLongestLeaseMs);
}

// The same when the server is known from its report only.
TEST_F(RunControlTest, FirstReport_BornShortlyBeforeTheTakeover_LongestLeaseIsAssumed)
{
  m_state.m_servers["s1"].m_hasReported = false;
  m_runs.Tick(MonotonicMs());
  Respond("/hold", fmt::format(R"({{"clock-ms":120,"born":{},"running":[],"finished":[]}})",
                               WallMs() - 1'000));
  EXPECT_GE(m_state.m_servers["s1"].m_leaseEndMs, m_state.m_claimedMs + kLongestLeaseMs);
}

// Guards against work of a lost server that waits longer than any lease can last: no order of the
// earlier owner can have met another incarnation.
TEST_F(RunControlTest, FirstRegistration_BornLongBeforeTheTakeover_NoLeaseIsAssumed)
{
  Register(WallMs() - 60'000, 59'000);
  EXPECT_EQ(m_state.m_servers["s1"].m_leaseEndMs, 0);
}

// Guards against a poll that is sent seconds late, after its process or its carrier was paused: the
// number of acknowledged ends in it may then reach a new incarnation, which counts its ends anew.
TEST_F(RunControlTest, Poll_WaitingToBeSent_HasASendDeadline)
{
  m_state.m_servers["s1"].m_hasReported = false;
  m_runs.Tick(MonotonicMs());
  const auto polls = m_client.Find("/hold");
  ASSERT_EQ(polls.size(), 1U);
  const Millis end = m_client.m_sent[polls.front()].m_request.m_sendBeforeMs;
  EXPECT_GT(end, MonotonicMs());
  EXPECT_LE(end, MonotonicMs() + 1'000);
}

// Guards against a lease that outlasts what the owner assumes by the transit time of a start that
// was sent before the server restarted.
TEST_F(RunControlTest, StartInFlightToALaterIncarnation_LeaseIsCountedFromItsArrival)
{
  constexpr Millis kStartTimeoutMs = 700;
  Register(5, 50'000);
  StartRun();
  Register(9, 100);
  const Millis latest = LatestLeaseEndMs(MonotonicMs() + kStartTimeoutMs, kLongestLeaseMs);
  EXPECT_GE(m_state.m_servers["s1"].m_leaseEndMs, latest - 50);
}

// Guards against counting a run as stopped because the previous incarnation of its server had
// accepted an earlier stop.
TEST_F(RunControlTest, StopSentAgain_AnswerToTheFirst_DoesNotCount)
{
  StartRun();
  const RunRef ref{ m_subtask, 1, "s1" };
  m_runs.Stop(ref, "test");
  std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
  m_runs.Stop(ref, "test");
  const auto stops = m_client.Find("/run-stop");
  ASSERT_EQ(stops.size(), 2U);
  m_client.Respond(stops.front(), 200, R"({"clock-ms":50010})");
  EXPECT_EQ(FindRun(m_state.m_jobTable, ref)->m_stopAcceptedMs, 0);
  m_client.Respond(stops.back(), 200, R"({"clock-ms":50010})");
  EXPECT_NE(FindRun(m_state.m_jobTable, ref)->m_stopAcceptedMs, 0);
}

// Guards against forgetting, when its server restarts, a start that can still be carried out,
// because its stop was ordered before the start timed out.
TEST_F(RunControlTest, StartWithoutAnswer_StoppedMeanwhile_CountsAsUnanswered)
{
  StartRun();
  const RunRef ref{ m_subtask, 1, "s1" };
  m_runs.Stop(ref, "test");
  const auto starts = m_client.Find("/run-start");
  ASSERT_EQ(starts.size(), 1U);
  ClientResponse lost;
  lost.m_failure = TransferFailure::Timeout;
  m_client.m_sent[starts.front()].m_callback(lost);
  EXPECT_NE(FindRun(m_state.m_jobTable, ref)->m_startTimedOutMs, 0);
}

// Guards against a server that gets no work any more: it has restarted, its registration does not
// arrive, and the starts for the previous incarnation are withheld.
TEST_F(RunControlTest, AnotherIncarnationAnswersBeforeAStart_ServerIsPolledAgain)
{
  Register(5, 50'000);
  StartRun();
  ASSERT_TRUE(m_client.Find("/run-start").empty());
  Respond("/hold", R"({"clock-ms":10,"born":6,"running":[],"finished":[]})");
  EXPECT_TRUE(m_client.Find("/run-start").empty());
  EXPECT_EQ(FindRun(m_state.m_jobTable, { m_subtask, 1, "s1" }), nullptr);
  m_runs.Tick(MonotonicMs());
  EXPECT_EQ(m_client.Find("/hold").size(), 2U);
}

// Guards against an idle server that gets no work any more: two starts could not be sent to it, and
// it was not polled.
TEST_F(RunControlTest, StartsToAnIdleServerNotSent_ServerIsPolledUntilItResponds)
{
  ServerState& server = m_state.m_servers["s1"];
  for (int i = 0; i < 2; ++i) {
    StartRun();
    const auto callback = m_client.m_sent.back().m_callback;
    ClientResponse response;
    response.m_failure = TransferFailure::NotSent;
    callback(response);
  }
  ASSERT_FALSE(m_runs.IsUsable(server, MonotonicMs()));
  ASSERT_TRUE(m_client.Find("/hold").empty());
  m_runs.Tick(MonotonicMs());
  Respond("/hold", R"({"clock-ms":50010,"born":5,"running":[],"finished":[]})");
  EXPECT_TRUE(m_runs.IsUsable(server, MonotonicMs()));
}

// Guards against a renewal that a late answer cancels: a start for the previous incarnation was
// withheld after the new one had reported.
TEST_F(RunControlTest, StartWithheldAfterALaterReport_ServerStaysUsable)
{
  Register(5, 50'000);
  StartRun();
  Register(9, 100);
  m_runs.Tick(MonotonicMs());
  const auto polls = m_client.Find("/hold");
  ASSERT_EQ(polls.size(), 2U);
  const std::string report = R"({"clock-ms":110,"born":9,"running":[],"finished":[]})";
  m_client.Respond(polls[1], 200, report);
  ASSERT_TRUE(m_runs.IsUsable(m_state.m_servers["s1"], MonotonicMs()));
  m_client.Respond(polls[0], 200, report);
  EXPECT_TRUE(m_runs.IsUsable(m_state.m_servers["s1"], MonotonicMs()));
  EXPECT_TRUE(m_client.Find("/run-start").empty());
}

// Guards against leases that lapse after a takeover, because the first poll renews nothing and the
// next one waits for its turn.
TEST_F(RunControlTest, FirstReportOfAServerWithRuns_LeaseIsRenewedAtOnce)
{
  Register(5, 50'000);
  PlanRun(m_state.m_jobTable, m_subtask, "s1", 1, MonotonicMs());
  m_state.m_servers["s1"].m_hasReported = false;
  m_runs.Tick(MonotonicMs());
  Respond("/hold", R"({"clock-ms":50010,"born":5,"running":[["a.0.0.0",1,"",50]],"finished":[]})");
  const auto polls = m_client.Find("/hold");
  ASSERT_EQ(polls.size(), 2U);
  EXPECT_TRUE(
    nlohmann::json::parse(m_client.m_sent.at(polls[1]).m_request.m_body).contains("deadline-ms"));
}

// Guards against an owner that exceeds its memory and starts nothing: all starts of a wide job were
// sent in one turn of the loop, and those that had to wait were withheld (review, case 11).
TEST_F(RunControlTest, OnStored_WideJob_StartsInFlightAreBounded)
{
  const auto first = WideBatch(5'000);
  m_runs.OnStored(first);
  EXPECT_LE(m_client.Find("/run-start").size(), 64U);
  m_loop.poll();
  const auto sent = m_client.Find("/run-start");
  EXPECT_EQ(sent.size(), 2'048U);
  for (std::size_t index = 0; index < 100; ++index) {
    m_client.Respond(sent[index], 200, R"({"clock-ms":50010})");
  }
  m_loop.restart();
  m_loop.poll();
  EXPECT_EQ(m_client.Find("/run-start").size(), 2'148U);
}

// Guards against starts that stay counted, so that a server gets none any more: their runs ended
// before the record was stored.
TEST_F(RunControlTest, OnPlanned_RunsDroppedBeforeTheirStart_AreNotCounted)
{
  const std::size_t all = m_runs.StartsLeft("s1");
  const auto batch = WideBatch(static_cast<std::uint32_t>(all));
  std::ranges::for_each(batch.m_planned, [this](const RunRef& aRun) { m_runs.OnPlanned(aRun); });
  EXPECT_EQ(m_runs.StartsLeft("s1"), 0U);
  EXPECT_TRUE(CancelJob(m_state.m_jobTable, "wide"));
  m_runs.StopObsoleteRuns();
  m_runs.OnStored(batch);
  EXPECT_EQ(m_runs.StartsLeft("s1"), all);
  EXPECT_TRUE(m_client.Find("/run-start").empty());
}

// Guards against a pass that is never repeated after a server had no starts left.
TEST_F(RunControlTest, StartAnswered_StartsWereHeldBack_OwnerIsToldOnce)
{
  StartRun();
  m_runs.SetStartsHeldBack(true);
  const int before = m_changeCount;
  Respond("/run-start", R"({"clock-ms":50010})");
  EXPECT_EQ(m_changeCount, before + 1);
}

// Guards against an owner that exceeds its memory, and the next one after it: the stops of all runs
// of a cancelled job were in flight at a time (review, case 14).
TEST_F(RunControlTest, StopObsoleteRuns_WideJobCancelled_StopsInFlightAreBounded)
{
  const auto batch = WideBatch(5'000);
  for (const auto& run : batch.m_planned) {
    FindRun(m_state.m_jobTable, run)->m_phase = RunPhase::Running;
  }
  ASSERT_TRUE(CancelJob(m_state.m_jobTable, "wide"));
  m_runs.StopObsoleteRuns();
  const auto sent = m_client.Find("/run-stop");
  EXPECT_EQ(sent.size(), 64U); // As many as one server gets at a time.
  m_loop.poll();
  EXPECT_EQ(m_client.Find("/run-stop").size(), 64U);
  m_client.Respond(sent[0], 200, R"({"clock-ms":50010})");
  m_client.Respond(sent[1], 200, R"({"clock-ms":50010})");
  m_loop.restart();
  m_loop.poll();
  EXPECT_EQ(m_client.Find("/run-stop").size(), 66U);
}

// Guards against runs that work on although their job was cancelled, because the stops to a silent
// server take the place of those to the others.
TEST_F(RunControlTest, StopObsoleteRuns_OneServerSilent_OthersGetTheirStops)
{
  const auto batch = WideBatch(1'000);
  for (const auto& run : batch.m_planned) {
    FindRun(m_state.m_jobTable, run)->m_phase = RunPhase::Running;
  }
  const SubtaskId last{ "wide", 0, 0, 999 };
  DropRun(m_state.m_jobTable, { last, 1, "s1" }, MonotonicMs());
  PlanRun(m_state.m_jobTable, last, "s2", 2, MonotonicMs());
  FindRun(m_state.m_jobTable, { last, 2, "s2" })->m_phase = RunPhase::Running;
  m_state.m_servers["s2"].m_registration.m_id = "s2";
  ASSERT_TRUE(CancelJob(m_state.m_jobTable, "wide"));
  m_runs.StopObsoleteRuns();
  m_loop.poll();
  EXPECT_EQ(m_client.Find("/run-stop").size(), 65U);
  EXPECT_EQ(FindRun(m_state.m_jobTable, { last, 2, "s2" })->m_phase, RunPhase::Stopping);
}

} // namespace
} // namespace pistachiostand::fleet
