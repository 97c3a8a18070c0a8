#include "PlannerFixture.h"

namespace pistachiostand {
namespace {

class FleetPlannerMembershipTest : public PlannerFixture
{
protected:
  void SetUp() override
  {
    Apply(Tick{ 100 * kDay });
    PublishRules("pool.admin = { instances = 3, spare = true } # A: x\n"
                 "pool.web = { instances = 3, min_available = 1 } # A: x\n"
                 "service.web = { pool = \"web\", class = \"batch\", idempotent = true, "
                 "timeout_ms = 2000 } # A: x\n");
    AddInstances("web", 3);
  }

  void DrainWeb0() { ASSERT_TRUE(Apply(Drain{ "web0", 1, "web" }).Accepted()); }
};

// Guards against instances that start but never join the fleet.
TEST_F(FleetPlannerMembershipTest, Instance_ListedAndUnknown_Joins)
{
  m_listed.push_back({ "new", "10.0.0.9:80", "z1", "r1", "b1", "web", false });
  m_listed.push_back({ "ending", "10.0.0.9:80", "z1", "r1", "b1", "web", true });
  const auto joins = RecordsOf<Join>(PlanAndApply());
  ASSERT_EQ(joins.size(), 1U);
  EXPECT_EQ(joins[0].m_instance, "new");
}

// Guards against failing healthy servers because one response of the lagging list lacks them.
TEST_F(FleetPlannerMembershipTest, Instance_DroppedFromList_FailsOnlyAfterGrace)
{
  m_listed.erase(m_listed.begin());
  EXPECT_TRUE(Plan().m_records.empty());
  EXPECT_TRUE(Plan(kAbsentGraceMs - 1).m_records.empty());
  const auto fails = RecordsOf<Fail>(PlanAndApply(1));
  ASSERT_EQ(fails.size(), 1U);
  EXPECT_EQ(fails[0].m_instance, "web0");
}

TEST_F(FleetPlannerMembershipTest, Instance_BackInLaggingList_StartsGraceAgain)
{
  Listed("web0").m_leaving = true;
  EXPECT_TRUE(Plan().m_records.empty());
  Listed("web0").m_leaving = false;
  EXPECT_TRUE(Plan(kAbsentGraceMs).m_records.empty());
  Listed("web0").m_leaving = true;
  EXPECT_TRUE(Plan(kAbsentGraceMs).m_records.empty());
}

TEST_F(FleetPlannerMembershipTest, Instance_SeenAliveByPeers_IsNotFailed)
{
  m_listed.erase(m_listed.begin());
  m_responsive = { "web0" };
  EXPECT_TRUE(Plan().m_records.empty());
  EXPECT_TRUE(Plan(10 * kAbsentGraceMs).m_records.empty());
}

// Guards against failing the whole fleet after an empty list from the platform.
TEST_F(FleetPlannerMembershipTest, List_WhenEmpty_ChangesNothing)
{
  m_listed.clear();
  EXPECT_TRUE(Plan().m_records.empty());
  EXPECT_TRUE(Plan(100 * kAbsentGraceMs).m_records.empty());
}

// Guards against a server that refuses all work because the fold still has its old boot id.
TEST_F(FleetPlannerMembershipTest, Instance_RestartedByItself_FailsAndJoinsWithNewBoot)
{
  m_responsive = { "web0" };
  Listed("web0").m_bootId = "b2";
  EXPECT_TRUE(Plan().m_records.empty());
  EXPECT_EQ(RecordsOf<Fail>(PlanAndApply(kAbsentGraceMs)).size(), 1U);
  EXPECT_EQ(RecordsOf<Join>(PlanAndApply()).size(), 1U);
  EXPECT_EQ(m_state.m_instances.at("web0").m_bootId, "b2");
}

TEST_F(FleetPlannerMembershipTest, FailedInstance_UnlistedForLong_IsRetired)
{
  m_listed.erase(m_listed.begin());
  Plan();
  PlanAndApply(kAbsentGraceMs);
  PlanAndApply(kRetireFailedMs);
  EXPECT_FALSE(m_state.m_instances.contains("web0"));
}

// Guards against a reboot that interrupts requests of entry instances that have not read the drain
// (invariant I7: planned changes abort no requests).
TEST_F(FleetPlannerMembershipTest, Reboot_WithRequestsOrUnreadDrain_Waits)
{
  DrainWeb0();
  m_inFlight["web0"] = 1;
  auto decision = Plan();
  EXPECT_EQ(decision.m_drainOrders.size(), 1U);
  EXPECT_TRUE(decision.m_reboots.empty());
  Listed("web0").m_leaving = true;
  EXPECT_TRUE(Plan().m_reboots.empty());
  m_inFlight["web0"] = 0;
  m_minReadOffset = 1;
  EXPECT_TRUE(Plan().m_reboots.empty());
  m_minReadOffset = m_state.m_nextOffset;
  decision = Plan();
  ASSERT_EQ(decision.m_reboots.size(), 1U);
  EXPECT_EQ(decision.m_reboots[0], (RebootOrder{ "web0", 2, "web" }));
}

TEST_F(FleetPlannerMembershipTest, Reboot_AfterLongestWait_IsOrderedWithRequestsInFlight)
{
  DrainWeb0();
  m_inFlight["web0"] = 1;
  Plan();
  AdvanceFold(10 * kMaxTickAdvanceMs); // A jump of the fold's time must not shorten the wait.
  const Millis wait = kStaleViewMs + 2'000;
  EXPECT_TRUE(Plan(wait - 1).m_reboots.empty());
  EXPECT_EQ(Plan(1).m_reboots.size(), 1U);
}

// Guards against a lost drain order that is repeated after the reboot and marks the new boot as
// leaving. In an experiment such instances never returned to service.
TEST_F(FleetPlannerMembershipTest, Drain_NotShownByList_HoldsRebootBackAndIsNotSentAfterIt)
{
  DrainWeb0();
  Plan();
  EXPECT_TRUE(Plan(DrainTimeoutMs(*m_state.m_rules) - 1).m_reboots.empty());
  EXPECT_EQ(Plan(1).m_reboots.size(), 1U);
  EXPECT_TRUE(Plan(kOrderRetryMs).m_drainOrders.empty());
}

TEST_F(FleetPlannerMembershipTest, NewBoot_ShownAsLeavingForLong_IsRetired)
{
  DrainWeb0();
  Listed("web0").m_leaving = true;
  Listed("web0").m_bootId = "b2";
  EXPECT_TRUE(Plan().m_records.empty());
  EXPECT_EQ(RecordsOf<Retire>(PlanAndApply(kRetireLeavingMs)).size(), 1U);
  EXPECT_TRUE(Plan().m_records.empty());
  Listed("web0").m_leaving = false;
  EXPECT_EQ(RecordsOf<Join>(PlanAndApply()).size(), 1U);
}

// Guards against a lost response to a reboot order: the planner must repeat the order with the same
// operation id.
TEST_F(FleetPlannerMembershipTest, Reboot_WithoutEffect_IsRepeatedWithSameEpoch)
{
  DrainWeb0();
  Listed("web0").m_leaving = true;
  const auto first = Plan().m_reboots;
  EXPECT_EQ(first.size(), 1U);
  EXPECT_TRUE(Plan(kOrderRetryMs - 1).m_reboots.empty());
  EXPECT_EQ(Plan(1).m_reboots, first);
}

TEST_F(FleetPlannerMembershipTest, Return_NeedsOwnRebootWithTargetPool)
{
  ASSERT_TRUE(Apply(Drain{ "web0", 1, "admin" }).Accepted());
  Plan();
  Listed("web0").m_bootId = "b2"; // Restarted by itself, still with the old service.
  EXPECT_TRUE(RecordsOf<Return>(Plan()).empty());
  Listed("web0").m_bootOperation = OperationId("web0", 2);
  EXPECT_TRUE(RecordsOf<Return>(Plan()).empty());
  Listed("web0").m_pool = "admin";
  EXPECT_EQ(RecordsOf<Return>(PlanAndApply()).size(), 1U);
  EXPECT_EQ(m_state.m_instances.at("web0").m_pool, "admin");
}

// Guards against a reboot order that arrives when the instance serves again. A crash during the
// drain starts the same service with a new boot id, but only the ordered reboot may end the drain.
TEST_F(FleetPlannerMembershipTest, Return_AfterRestartThatNobodyOrdered_WaitsForOwnReboot)
{
  DrainWeb0();
  Listed("web0").m_leaving = true;
  const auto first = Plan().m_reboots;
  ASSERT_EQ(first.size(), 1U);
  Listed("web0").m_leaving = false;
  Listed("web0").m_bootId = "b2";
  for (const auto* other : { "", "web0-1", "web0-3", "web1-2" }) {
    Listed("web0").m_bootOperation = other;
    const auto decision = PlanAndApply(kOrderRetryMs);
    EXPECT_TRUE(RecordsOf<Return>(decision).empty()) << other;
    EXPECT_TRUE(decision.m_drainOrders.empty()) << other;
    EXPECT_EQ(decision.m_reboots, first) << other;
  }
  Listed("web0").m_bootId = "b3";
  Listed("web0").m_bootOperation = OperationId("web0", 2);
  EXPECT_EQ(RecordsOf<Return>(PlanAndApply()).size(), 1U);
}

// Guards against a drained instance that never returns to service: the list omitted it until it was
// retired, and then shows it with the same boot and the drain still in effect.
TEST_F(FleetPlannerMembershipTest, RetiredInstance_ListedAgainAsLeaving_ResumesItsDrain)
{
  DrainWeb0();
  const auto listed = Listed("web0");
  m_listed.erase(m_listed.begin());
  Plan();
  PlanAndApply(kRetireLeavingMs);
  ASSERT_TRUE(m_state.m_retired.contains("web0"));
  m_listed.push_back(listed);
  m_listed.back().m_leaving = true;
  EXPECT_EQ(RecordsOf<Join>(PlanAndApply()).size(), 1U);
  EXPECT_EQ(m_state.m_instances.at("web0").m_phase, InstancePhase::Leaving);
  EXPECT_EQ(PlanAndApply().m_reboots, (std::vector{ RebootOrder{ "web0", 2, "web" } }));
}

// Guards against a drain that never ends: a crash right after the ordered boot hides that boot from
// the lagging list, and the platform does not carry out a repeated order a second time.
TEST_F(FleetPlannerMembershipTest, LeavingInstance_WithUnorderedBootForLong_IsRetiredAndJoins)
{
  DrainWeb0();
  Plan();
  Listed("web0").m_bootId = "b3";
  EXPECT_TRUE(PlanAndApply().m_records.empty());
  EXPECT_TRUE(PlanAndApply(kRetireLeavingMs - 1).m_records.empty());
  EXPECT_EQ(RecordsOf<Retire>(PlanAndApply(1)).size(), 1U);
  EXPECT_EQ(RecordsOf<Join>(PlanAndApply()).size(), 1U);
  EXPECT_EQ(m_state.m_instances.at("web0").m_phase, InstancePhase::Serving);
}

TEST_F(FleetPlannerMembershipTest, LeavingInstance_Unlisted_IsRetiredLate)
{
  DrainWeb0();
  m_listed.erase(m_listed.begin());
  Plan();
  EXPECT_TRUE(RecordsOf<Retire>(Plan(kRetireLeavingMs - 1)).empty());
  EXPECT_EQ(RecordsOf<Retire>(PlanAndApply(1)).size(), 1U);
}

// Guards against two planners with the same state that change it twice: the fold must refuse the
// records of the second one.
TEST_F(FleetPlannerMembershipTest, Planners_Racing_ChangeTheStateOnce)
{
  m_listed.push_back({ "new", "10.0.0.9:80", "z1", "r1", "b1", "web", false });
  const auto first = Plan();
  const auto second = Plan();
  EXPECT_EQ(first.m_records, second.m_records);
  for (const auto& body : first.m_records) {
    EXPECT_TRUE(Apply(body).Accepted());
  }
  const auto instances = m_state.m_instances;
  for (const auto& body : second.m_records) {
    EXPECT_FALSE(Apply(body).Accepted());
  }
  EXPECT_EQ(m_state.m_instances, instances);
}

} // namespace
} // namespace pistachiostand
