#include "ConfigFixture.h"

namespace pistachiostand::testing {
namespace {

class PartitionFaultTest : public ConfigFixture
{
protected:
  void StartAllWithRelay(const std::vector<std::string>& aZones)
  {
    UsePeerRelay();
    StartAll(aZones);
    WaitUntilPeersSeeEachOther();
  }

  void Heal()
  {
    Control(m_platform, "heal");
    m_relay->HealAll();
  }

  void WaitUntilBatchesAreRefused(std::size_t aEntry)
  {
    WaitUntil("refusal of batches by " + m_entries[aEntry].m_id, [&, number = 0]() mutable {
      const auto key = "try-" + m_entries[aEntry].m_id + "-" + std::to_string(++number);
      const auto response = CallNamed(aEntry, "batches", key, key);
      EXPECT_EQ(StartedCount(key), 0U) << key;
      return response.m_status == 503 && response.Field("outcome") == "not-run";
    });
  }

  void WaitUntilBatchesAreAccepted(std::size_t aEntry)
  {
    WaitUntil("batch through " + m_entries[aEntry].m_id, [&, number = 0]() mutable {
      const auto key = "after-" + std::to_string(++number);
      const auto response = CallNamed(aEntry, "batches", key, key);
      const auto outcome = response.Header("x-outcome");
      EXPECT_TRUE(outcome != "completed" || StartedCount(key) == 1U) << response.m_body;
      EXPECT_TRUE(outcome != "not-run" || StartedCount(key) == 0U) << response.m_body;
      return response.m_status == 200;
    });
  }

  void ExpectRefusedBatches(std::size_t aEntry)
  {
    for (int i = 0; i < 5; ++i) {
      const auto key = "cut-" + m_entries[aEntry].m_id + "-" + std::to_string(i);
      const auto response = CallNamed(aEntry, "batches", key, key);
      EXPECT_EQ(response.m_status, 503) << response.m_body;
      EXPECT_EQ(response.Field("outcome"), "not-run");
      EXPECT_EQ(StartedCount(key), 0U);
    }
  }
};

// Guards against an availability zone that is cut off from the others and stops serving or starts a
// batch whose claim they cannot read, and against states that differ after the partition.
TEST_F(PartitionFaultTest, Zone_CutOff_ServesIdempotentWorkAndRelaysTheLog)
{
  StartAllWithRelay({ "z1", "z1", "z2", "z3" });
  Pause(m_entries[1]);
  // The read that was pending when the instance was paused returns only the first of these
  // revisions.
  PublishNext(2);
  PublishNext(2);
  const auto accepted = PublishNext(2);
  WaitUntil("revision on e1", [&] { return Revision(m_entries[0]) == accepted; });
  Control(m_platform, "partition?zone=z1");
  CutPeers({ 0, 1 });
  EXPECT_GT(m_relay->ClosedByCuts(), 0U);
  Resume(m_entries[1]);
  WaitUntil("relayed revision", [&] { return Revision(m_entries[1]) == accepted; });
  EXPECT_EQ(Status(1).at("offset"), Status(0).at("offset"));
  for (std::size_t entry = 0; entry < 2; ++entry) {
    WaitUntilBatchesAreRefused(entry);
    ExpectRefusedBatches(entry);
    EXPECT_EQ(CallNamed(entry, "lookups", "in-zone").m_status, 200);
    EXPECT_EQ(CallNamed(entry, "quotes", "in-zone").m_status, 200);
  }
  const auto next = PublishNext(3);
  EXPECT_EQ(Call(2, { "batches", "tupelo", "body", "outside" }).m_status, 200);
  EXPECT_EQ(Revision(m_entries[0]), accepted);
  Heal();
  WaitForAgreement(next);
  // Peers may relay the revision before this instance itself reads the log again, so batches may
  // still be refused for a moment.
  WaitUntilBatchesAreAccepted(0);
}

// Guards against an isolated instance that sends requests to servers without task control, which
// cannot refuse a stale dispatch (invariant I3).
TEST_F(PartitionFaultTest, Instance_CutOffAlone_UsesOnlyPoolsWithTaskControl)
{
  StartAllWithRelay({ "z1", "z2", "z3" });
  Control(m_platform, "partition?from=e1");
  CutPeers({ 0 });
  WaitUntil("refusal of quotes", [&] {
    const auto response = CallNamed(0, "quotes", "probing");
    return response.m_status == 503 && response.Field("outcome") == "not-run";
  });
  for (int i = 0; i < 3; ++i) {
    const auto id = "alone-" + std::to_string(i);
    EXPECT_EQ(CallNamed(0, "quotes", id).m_status, 503);
    EXPECT_EQ(StartedCount(id), 0U);
    EXPECT_EQ(CallNamed(0, "lookups", "alone").m_status, 200);
  }
  ExpectRefusedBatches(0);
  EXPECT_EQ(CallNamed(1, "quotes", "others").m_status, 200);
  Heal();
  WaitUntilServed(0, "quotes");
  WaitForAgreement(PublishNext(0));
}

// Guards against a batch accepted by an instance that reaches its peers but cannot append to the
// log.
TEST_F(PartitionFaultTest, Instance_CutOffFromPlatformOnly_RefusesBatchesAsNotRun)
{
  StartAll({ "z1", "z2", "z3" });
  Control(m_platform, "partition?from=e1");
  const auto accepted = PublishNext(1);
  WaitUntil("relayed revision", [&] { return Revision(m_entries[0]) == accepted; });
  WaitUntilBatchesAreRefused(0);
  ExpectRefusedBatches(0);
  EXPECT_EQ(CallNamed(0, "quotes", "relayed").m_status, 200);
  Control(m_platform, "heal");
  WaitUntilBatchesAreAccepted(0);
}

} // namespace
} // namespace pistachiostand::testing
