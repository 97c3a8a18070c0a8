#include "ConfigFixture.h"

#include <algorithm>
#include <future>

namespace pistachiostand::testing {
namespace {

class ConfigFaultTest : public ConfigFixture
{};

// Guards against two accepted publishes on the same base revision, and against a rejection that
// does not report the current revision (invariant I8: revisions are ordered and never go back).
TEST_F(ConfigFaultTest, Publish_OfTwoOperatorsOnOneBase_HasOneWinner)
{
  StartAll({ "z1", "z2" });
  constexpr std::uint64_t kRounds = 10;
  for (std::uint64_t base = 1; base <= kRounds; ++base) {
    std::vector<std::future<HttpResponse>> calls;
    for (std::size_t entry = 0; entry < 2; ++entry) {
      calls.push_back(std::async(std::launch::async, [this, entry, base] {
        const auto name = "t" + std::to_string(entry) + "-" + std::to_string(base);
        return TryPublish(entry, { RulesWith(name), base, entry == 0 ? "Ann Lee" : "Bo Cruz" });
      }));
    }
    const auto first = calls[0].get();
    const auto second = calls[1].get();
    EXPECT_EQ(std::min(first.m_status, second.m_status), 200) << first.m_body << second.m_body;
    EXPECT_EQ(std::max(first.m_status, second.m_status), 409) << first.m_body << second.m_body;
    EXPECT_EQ(first.Body().value("revision", 0U), base + 1);
    EXPECT_EQ(second.Body().value("revision", 0U), base + 1);
    WaitForRevision(static_cast<std::int64_t>(base + 1));
  }
}

// Guards against a second revision when the response to the append of a publish is lost and the
// publish is repeated.
TEST_F(ConfigFaultTest, Publish_WithLostResponseAndRepeated_MakesOneRevision)
{
  StartAll({ "z1", "z2" });
  // More than one response is lost, because ticks and planner records may be appended first.
  Control(m_platform, "lose?count=1000");
  const auto first = TryPublish(0, { RulesWith("pecan"), 1 });
  EXPECT_EQ(first.m_status, 200) << first.m_body;
  const auto repeated = TryPublish(0, { RulesWith("pecan"), 1 });
  Control(m_platform, "lose?count=0");
  const auto elsewhere = TryPublish(1, { RulesWith("pecan"), 1 });
  for (const auto& response : { first, repeated, elsewhere }) {
    EXPECT_EQ(response.m_status, 200) << response.m_body;
    EXPECT_EQ(response.Body().value("revision", 0), 2);
  }
  WaitForAgreement(2);
  EXPECT_EQ(LogState().m_revision, 2U);
}

// Guards against an instance that reports an older revision after a pause, a kill or a platform
// outage (invariant I8).
TEST_F(ConfigFaultTest, Revision_ThroughPauseKillAndOutage_NeverGoesBack)
{
  StartAll({ "z1", "z2", "z3" });
  Pause(m_entries[0]);
  PublishNext(1);
  auto accepted = PublishNext(2);
  Resume(m_entries[0]);
  WaitForAgreement(accepted);
  for (std::size_t entry = 1; entry < m_entries.size(); ++entry) {
    KillAndRestart(m_entries[entry]);
  }
  for (const auto& entry : m_entries) {
    WaitUntilReady(entry);
    EXPECT_GE(Revision(entry), accepted) << entry.m_id;
  }
  accepted = PublishNext(1);
  WaitForAgreement(accepted);
  Control(m_platform, "down");
  WaitUntilLogReadFails(m_entries[1]);
  for (const auto& entry : m_entries) {
    EXPECT_EQ(Revision(entry), accepted) << entry.m_id;
  }
  Control(m_platform, "up");
  WaitUntil("publish after the outage", [&] {
    return TryPublish(2, { RulesWith("late"), static_cast<std::uint64_t>(accepted) }).m_status ==
           200;
  });
  WaitForAgreement(accepted + 1);
}

// Guards against a restarted or paused instance that lacks the effect of records that expired
// before it read them.
TEST_F(ConfigFaultTest, Reader_AfterExpiryOfOldRecords_StartsFromSnapshot)
{
  StartAll({ "z1", "z2", "z3" }, "snapshot_every = 10\n");
  Pause(m_entries[0]);
  auto accepted = PublishNext(1);
  Offset covered = 0;
  const auto joinsEnd = LogState().m_nextOffset;
  WaitUntil("snapshot in the log", [&] {
    accepted = PublishNext(1);
    ReplayLog([&](const FleetState&, const LogEntry& aEntry, const ApplyResult&) {
      const auto* snapshot = std::get_if<Snapshot>(&aEntry.m_record.m_body);
      covered = snapshot != nullptr ? snapshot->m_covered : covered;
    });
    return covered > joinsEnd;
  });
  Control(m_platform, "expire?before=" + std::to_string(covered));
  EXPECT_EQ(PlatformStats().at("oldest"), covered);
  // With both peers paused, the restarted instance can read the state only from the snapshot.
  Pause(m_entries[1]);
  KillAndRestart(m_entries[2]);
  WaitUntilReady(m_entries[2]);
  EXPECT_GE(Revision(m_entries[2]), accepted);
  Resume(m_entries[0]);
  Resume(m_entries[1]);
  WaitUntilReady();
  WaitForAgreement(accepted);
  WaitForAgreement(PublishNext(2));
  WaitUntilServed("lookups");
}

// Guards against an instance that never becomes ready because no snapshot covers the expired
// records, and against one that reads the log in a busy loop until then.
TEST_F(ConfigFaultTest, Reader_WithoutSnapshotAfterExpiry_CopiesTheStateOfAPeer)
{
  StartAll({ "z1", "z2", "z3" });
  Pause(m_entries[0]);
  PublishNext(1);
  const auto accepted = PublishNext(1);
  WaitUntil("revision on e2", [&] { return Revision(m_entries[1]) == accepted; });
  const auto before = PlatformStats();
  Control(m_platform, "expire?before=" + std::to_string(before.at("records").get<Offset>()));
  KillAndRestart(m_entries[2]);
  WaitUntilReady(m_entries[2]);
  EXPECT_EQ(Revision(m_entries[2]), accepted);
  Resume(m_entries[0]);
  const auto next = PublishNext(1);
  WaitForAgreement(next);
  // Three idle instances that long-poll the log issue about 15 reads per second.
  constexpr std::uint64_t kReads = 300;
  EXPECT_LT(PlatformStats().at("reads").get<std::uint64_t>(),
            before.at("reads").get<std::uint64_t>() + kReads);
}

// Guards against an instance that serves before it has read the rules, or that does not become
// ready after the outage.
TEST_F(ConfigFaultTest, Platform_DownAtTheStart_DelaysReadiness)
{
  StartServers();
  Control(m_platform, "down");
  StartEntries({ "z1", "z2" });
  for (const auto& entry : m_entries) {
    WaitUntilLogReadFails(entry);
  }
  WaitUntilPeersSeeEachOther();
  for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
    ExpectNotReady(entry, "early" + std::to_string(entry));
  }
  Control(m_platform, "up");
  WaitUntilReady();
  PublishRules(0, { kConfigRules });
  WaitForRevision(1);
  WaitUntilServed("lookups");
}

// Guards against an instance that has no rules after a restart during an outage although its peers
// have them.
TEST_F(ConfigFaultTest, Instance_StartedDuringOutage_CopiesTheStateOfAPeer)
{
  StartAll({ "z1", "z2", "z3" });
  const auto accepted = PublishNext(0);
  WaitForRevision(accepted);
  Control(m_platform, "down");
  KillAndRestart(m_entries[2]);
  WaitUntilReady(m_entries[2]);
  EXPECT_EQ(Revision(m_entries[2]), accepted);
  WaitUntilServed(2, "lookups");
  // No instance can append to the log, so none may report a batch as accepted.
  WaitUntil("refusal of a batch", [&, number = 0]() mutable {
    const auto key = "outage-" + std::to_string(++number);
    const auto response = CallNamed(2, "batches", key, key);
    EXPECT_NE(response.m_status, 200);
    EXPECT_EQ(StartedCount(key), 0U);
    return response.m_status == 503 && response.Field("outcome") == "not-run";
  });
  Control(m_platform, "up");
  WaitForAgreement(accepted);
}

// Guards against instances without rules that serve requests, or that report an outcome
// that they cannot know.
TEST_F(ConfigFaultTest, AllInstances_ReplacedDuringOutage_ServeNothingUntilItEnds)
{
  StartAll({ "z1", "z2", "z3" });
  Control(m_platform, "down");
  for (auto& entry : m_entries) {
    entry.m_child->Kill();
  }
  for (auto& entry : m_entries) {
    Restart(entry);
  }
  for (const auto& entry : m_entries) {
    WaitUntilLogReadFails(entry);
  }
  WaitUntilPeersSeeEachOther();
  for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
    ExpectNotReady(entry, "replaced" + std::to_string(entry));
  }
  Control(m_platform, "up");
  WaitUntilReady();
  WaitForAgreement(1);
  WaitUntilServed("lookups");
}

} // namespace
} // namespace pistachiostand::testing
