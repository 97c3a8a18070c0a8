#include "PlannerFixture.h"

namespace pistachiostand {
namespace {

class FleetPlannerWavesTest : public PlannerFixture
{
protected:
  void Start(const std::string& aMaintenance, const std::string& aWebBudget = "3")
  {
    Apply(Tick{ 100 * kDay });
    PublishRules("pool.admin = { instances = 6, min_available = 1, spare = true } # A: x\n"
                 "pool.web = { instances = 6, min_available = " +
                 aWebBudget +
                 ", tolerate = \"rack\", spread = \"zone\" } # A: x\n"
                 "maintenance.m = { " +
                 aMaintenance + " } # A: x\n");
    AddInstances("web", 6);
    AddInstances("admin", 6);
  }

  void MakeDue() { AdvanceFold(21 * kDay); }
};

TEST_F(FleetPlannerWavesTest, Wave_BeforePeriod_TakesNothing)
{
  Start("pools = [\"*\"], period_days = 21, max_at_once = 3");
  AdvanceFold(21 * kDay - 1);
  EXPECT_TRUE(Plan().m_records.empty());
}

TEST_F(FleetPlannerWavesTest, Wave_OverSeveralPools_TakesMaxAtOnceInAll)
{
  Start("pools = [\"*\"], period_days = 21, max_at_once = 3");
  MakeDue();
  EXPECT_EQ(RecordsOf<Drain>(PlanAndApply()).size(), 3U);
  EXPECT_TRUE(RecordsOf<Drain>(PlanAndApply()).empty());
}

TEST_F(FleetPlannerWavesTest, Wave_WithRackDomain_TakesOneRackAtATime)
{
  Start("pools = [\"*\"], period_days = 21, max_at_once = 6, domain = \"rack\"");
  MakeDue();
  const auto drains = RecordsOf<Drain>(PlanAndApply());
  ASSERT_EQ(drains.size(), 2U);
  const auto domain = DomainOf(m_state.m_instances.at(drains[0].m_instance), Domain::Rack);
  EXPECT_EQ(DomainOf(m_state.m_instances.at(drains[1].m_instance), Domain::Rack), domain);
  EXPECT_TRUE(RecordsOf<Drain>(PlanAndApply()).empty());
}

TEST_F(FleetPlannerWavesTest, Wave_TakesOldestFirst)
{
  Start("pools = [\"web\"], period_days = 21, max_at_once = 1");
  m_state.m_instances.at("web4").m_maintainedMs -= kDay;
  MakeDue();
  EXPECT_EQ(RecordsOf<Drain>(Plan()).at(0).m_instance, "web4");
}

TEST_F(FleetPlannerWavesTest, Wave_RebootsEveryInstanceOnce)
{
  Start("pools = [\"*\"], period_days = 21, max_at_once = 3, domain = \"zone\"");
  MakeDue();
  RunUntilStable();
  for (const auto& [id, instance] : m_state.m_instances) {
    EXPECT_EQ(instance.m_epoch, 3U) << id;
  }
}

// Guards against a pool without headroom that is never maintained although there are spares.
TEST_F(FleetPlannerWavesTest, Wave_InPoolWithoutHeadroom_IsHelpedBySpares)
{
  Start("pools = [\"web\"], period_days = 21, max_at_once = 3", "5");
  MakeDue();
  RunUntilStable();
  for (const auto& [id, instance] : m_state.m_instances) {
    EXPECT_TRUE(instance.m_pool == "admin" || instance.m_maintainedMs == m_state.m_timeMs) << id;
  }
}

TEST_F(FleetPlannerWavesTest, Move_PrefersInstancesDueForMaintenance)
{
  Start("pools = [\"*\"], period_days = 21, max_at_once = 1");
  auto& oldest = m_state.m_instances.at("admin3");
  oldest.m_rack = "r0"; // Same rack as the failed instance and admin0.
  oldest.m_maintainedMs -= kDay;
  ASSERT_TRUE(Apply(Fail{ "web0", 1 }).Accepted());
  std::erase_if(m_listed, [](const auto& aEach) { return aEach.m_id == "web0"; });
  EXPECT_EQ(RecordsOf<Drain>(Plan()).at(0), (Drain{ "admin3", 1, "web" }));
}

// Guards against a wave that continues, or a replacement that stops, when a rack fails in the
// middle of the wave (invariant I1: a pool keeps its `min_available` instances).
TEST_F(FleetPlannerWavesTest, Rack_FailingDuringWave_StopsWaveAndIsReplaced)
{
  Start("pools = [\"web\"], period_days = 21, max_at_once = 4", "3");
  MakeDue();
  ASSERT_EQ(RecordsOf<Drain>(PlanAndApply()).size(), 2U); // Four serve; one more rack may fail.
  const auto out = m_state.m_instances.at("web0");
  ASSERT_EQ(out.m_phase, InstancePhase::Leaving);
  for (const auto& [id, instance] : FleetState{ m_state }.m_instances) {
    if (id == "web2") {
      DropRack(instance.m_zone, instance.m_rack);
    }
  }
  Plan();
  const auto drains = RecordsOf<Drain>(PlanAndApply(kAbsentGraceMs));
  ASSERT_FALSE(drains.empty());
  for (const auto& drain : drains) {
    EXPECT_TRUE(drain.m_instance.starts_with("admin")) << drain.m_instance;
  }
}

TEST_F(FleetPlannerWavesTest, RebootThatNeverEnds_DoesNotBlockTheWave)
{
  Start("pools = [\"*\"], period_days = 21, max_at_once = 1, domain = \"rack\"");
  MakeDue();
  ASSERT_EQ(RecordsOf<Drain>(PlanAndApply()).size(), 1U);
  EXPECT_TRUE(RecordsOf<Drain>(PlanAndApply()).empty());
  AdvanceFold(kRebootTimeoutMs + 1);
  EXPECT_FALSE(RecordsOf<Drain>(PlanAndApply()).empty());
}

// Guards against two planners that propose different waves for one state and together exceed the
// budget.
TEST_F(FleetPlannerWavesTest, Planners_RacingWithDifferentLists_KeepBudget)
{
  Start("pools = [\"web\"], period_days = 21, max_at_once = 6");
  MakeDue();
  auto other = m_listed;
  Listed("web0").m_leaving = true; // One planner's list is ahead of the other's.
  const auto first = RecordsOf<Drain>(Plan());
  m_listed = other;
  const auto second = RecordsOf<Drain>(Plan());
  EXPECT_NE(first, second);
  for (const auto& drains : { first, second }) {
    for (const auto& drain : drains) {
      Apply(drain);
    }
  }
  EXPECT_GE(GuaranteedAfterLeaving(m_state, "web", "none"), 3U);
}

TEST_F(FleetPlannerWavesTest, WaveWidth_FollowsWeightsUpToMaxAtOnce)
{
  const MaintenanceRule rule{ {}, 21, 6, Domain::None };
  EXPECT_EQ(WaveWidth(rule, { 3, 1, 1 }), 2U);
  EXPECT_EQ(WaveWidth(rule, { 1, 3, 1 }), 6U);
  EXPECT_EQ(WaveWidth(rule, { 1, 0, 1 }), 1U);
}

} // namespace
} // namespace pistachiostand
