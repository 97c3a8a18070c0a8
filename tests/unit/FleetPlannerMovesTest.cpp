#include "PlannerFixture.h"

namespace pistachiostand {
namespace {

class FleetPlannerMovesTest : public PlannerFixture
{
protected:
  static constexpr std::string_view kAdmin =
    "pool.admin = { instances = 6, min_available = 2, spare = true } # A: x\n";
  static constexpr std::string_view kWeb =
    "pool.web = { instances = 6, min_available = 4, tolerate = \"rack\", spread = \"zone\" } # A: "
    "x\n";
  static constexpr std::string_view kJobs = "pool.jobs = { instances = 3, min_available = 2 } # A: "
                                            "x\n";

  void SetUp() override
  {
    Apply(Tick{ 100 * kDay });
    PublishRules(std::string{ kAdmin } + std::string{ kWeb } + std::string{ kJobs });
    AddInstances("web", 6);
    AddInstances("jobs", 3);
    AddInstances("admin", 6);
  }

  void FailAndUnlist(const InstanceId& aId)
  {
    ASSERT_TRUE(Apply(Fail{ aId, 1 }).Accepted());
    std::erase_if(m_listed, [&aId](const auto& aEach) { return aEach.m_id == aId; });
  }

  std::map<ZoneName, int> Zones(const PoolName& aPool) const
  {
    std::map<ZoneName, int> zones;
    for (const auto& [id, instance] : m_state.m_instances) {
      if (instance.m_pool == aPool && instance.m_phase == InstancePhase::Serving) {
        ++zones[instance.m_zone];
      }
    }
    return zones;
  }
};

TEST_F(FleetPlannerMovesTest, Fleet_AsPromised_IsLeftAlone)
{
  EXPECT_TRUE(Plan().m_records.empty());
}

TEST_F(FleetPlannerMovesTest, FailedInstance_IsReplacedFromSparePoolInItsZone)
{
  ASSERT_TRUE(Apply(Fail{ "web0", 1 }).Accepted());
  DropRack("z0", "r0"); // Also drops one instance of each other pool from the list.
  const auto drains = RecordsOf<Drain>(PlanAndApply());
  ASSERT_EQ(drains.size(), 1U);
  EXPECT_EQ(drains[0].m_target, "web");
  EXPECT_EQ(m_state.m_instances.at(drains[0].m_instance).m_zone, "z0");
}

TEST_F(FleetPlannerMovesTest, Promise_WhenRaised_MovesSparesWithinTheirBudget)
{
  PublishRules(std::string{ kAdmin } + std::string{ kWeb } +
               "pool.jobs = { instances = 20 } # A: x\n");
  PlanAndApply();
  EXPECT_EQ(CountPool(m_state, "admin").m_serving, 2U);
}

TEST_F(FleetPlannerMovesTest, Surplus_GoesDirectlyToShortPool)
{
  PublishRules(std::string{ kAdmin } + "pool.web = { instances = 4, min_available = 3 } # A: x\n"
                                       "pool.jobs = { instances = 5, min_available = 2 } # A: x\n");
  RunUntilStable();
  EXPECT_EQ(CountPool(m_state, "jobs").m_serving, 5U);
  EXPECT_EQ(CountPool(m_state, "admin").m_serving, 6U);
}

TEST_F(FleetPlannerMovesTest, RemovedPool_MovesToSparePool)
{
  PublishRules(std::string{ kAdmin } + std::string{ kWeb });
  RunUntilStable();
  EXPECT_EQ(CountPool(m_state, "jobs"), PoolCounts{});
  EXPECT_EQ(CountPool(m_state, "admin").m_serving, 9U);
}

// Guards against moves that undo each other, and drains that are abandoned.
TEST_F(FleetPlannerMovesTest, Rules_ChangingRapidly_EndAtTheLastOnes)
{
  for (int i = 0; i < 6; ++i) {
    PublishRules(std::string{ kAdmin } + std::string{ kWeb } + "pool.jobs = { instances = " +
                 std::to_string(i % 2 == 0 ? 6 : 1) + ", min_available = 1 } # A: x\n");
    Reboot(PlanAndApply(kOrderRetryMs));
  }
  PublishRules(std::string{ kAdmin } + std::string{ kWeb } + std::string{ kJobs });
  RunUntilStable();
  EXPECT_EQ(CountPool(m_state, "jobs").m_serving, 3U);
  EXPECT_EQ(CountPool(m_state, "web").m_serving, 6U);
}

TEST_F(FleetPlannerMovesTest, Spread_WhenUneven_IsImprovedByExchange)
{
  for (const char* id : { "web2", "web5" }) { // Both of zone z2 become z0.
    m_state.m_instances.at(id).m_zone = "z0";
  }
  RunUntilStable();
  EXPECT_EQ(Zones("web"), (std::map<ZoneName, int>{ { "z0", 2 }, { "z1", 2 }, { "z2", 2 } }));
  EXPECT_EQ(CountPool(m_state, "admin").m_serving, 6U);
}

TEST_F(FleetPlannerMovesTest, Spread_WhenMovesWeighMost_IsNotImproved)
{
  PublishRules(std::string{ kAdmin } + std::string{ kWeb } + std::string{ kJobs } +
               "placement.weights = { moves = 5 } # A: x\n");
  m_state.m_instances.at("web2").m_zone = "z0";
  m_state.m_instances.at("web5").m_zone = "z0";
  EXPECT_TRUE(Plan().m_records.empty());
}

// Guards against an instance that is assigned to a pool whose service it does not run.
TEST_F(FleetPlannerMovesTest, Instance_StartedWithOtherService_IsRebooted)
{
  Listed("web1").m_pool = "jobs";
  const auto drains = RecordsOf<Drain>(PlanAndApply());
  ASSERT_EQ(drains.size(), 1U);
  EXPECT_EQ(drains[0], (Drain{ "web1", 1, "web" }));
}

// Guards against a pool that is filled to its promised size while another stays below its budget.
TEST_F(FleetPlannerMovesTest, Spares_WithTwoPoolsBelowBudget_AreSharedByShortage)
{
  PublishRules("pool.admin = { instances = 6, min_available = 3, spare = true } # A: x\n" +
               std::string{ kWeb } + std::string{ kJobs });
  for (const char* id : { "web0", "web1", "web2", "web3", "jobs0", "jobs1" }) {
    FailAndUnlist(id);
  }
  std::map<PoolName, int> targets;
  for (const auto& drain : RecordsOf<Drain>(PlanAndApply())) {
    ++targets[drain.m_target];
  }
  EXPECT_EQ(targets, (std::map<PoolName, int>{ { "jobs", 1 }, { "web", 2 } }));
}

// Guards against spares that raise one pool above its budget while another pool below its budget
// waits for a reboot that never ends.
TEST_F(FleetPlannerMovesTest, Spares_WhileAPoolWaitsForALateReboot_AreHeldForIt)
{
  PublishRules("pool.admin = { instances = 6, min_available = 5, spare = true } # A: x\n" +
               std::string{ kWeb } + std::string{ kJobs });
  ASSERT_TRUE(Apply(Drain{ "web0", 1, "web" }).Accepted());
  for (const char* id : { "web1", "web2", "jobs0" }) {
    FailAndUnlist(id);
  }
  EXPECT_TRUE(RecordsOf<Drain>(PlanAndApply()).empty());
  AdvanceFold(kSlowRebootMs);
  EXPECT_TRUE(RecordsOf<Drain>(PlanAndApply()).empty());
  AdvanceFold(1);
  const auto drains = RecordsOf<Drain>(PlanAndApply());
  ASSERT_EQ(drains.size(), 1U);
  EXPECT_EQ(drains[0].m_target, "web");
}

TEST_F(FleetPlannerMovesTest, Zone_WhenLost_KeepsBudgetsByReplacementAndLending)
{
  DropZone("z0");
  Plan();
  Plan(kAbsentGraceMs);
  for (const char* id : { "web1", "web2" }) { // Below its budget even after the spares are used.
    ASSERT_TRUE(Apply(Fail{ id, 1 }).Accepted());
  }
  PublishRules("pool.admin = { instances = 6, min_available = 4, spare = true } # A: x\n" +
               std::string{ kWeb } + "pool.jobs = { instances = 3, min_available = 1 } # A: x\n");
  const auto drains = RecordsOf<Drain>(PlanAndApply());
  ASSERT_FALSE(drains.empty());
  EXPECT_TRUE(std::ranges::all_of(drains, [](const Drain& aEach) {
    return aEach.m_target == "web" && aEach.m_instance.starts_with("jobs");
  }));
}

TEST_F(FleetPlannerMovesTest, Zone_WhenBack_RestoresEveryPromise)
{
  const auto before = m_listed;
  DropZone("z0");
  Plan();
  PlanAndApply(kAbsentGraceMs);
  RunUntilStable();
  for (const auto& listed : before) {
    if (listed.m_zone == "z0") {
      m_listed.push_back(listed);
    }
  }
  RunUntilStable();
  EXPECT_EQ(CountPool(m_state, "web").m_serving, 6U);
  EXPECT_EQ(CountPool(m_state, "jobs").m_serving, 3U);
  EXPECT_EQ(CountPool(m_state, "admin").m_serving, 6U);
}

TEST_F(FleetPlannerMovesTest, RebootThatNeverEnds_IsReplaced)
{
  ASSERT_TRUE(Apply(Drain{ "web0", 1, "web" }).Accepted());
  EXPECT_TRUE(RecordsOf<Drain>(Plan()).empty());
  AdvanceFold(kRebootTimeoutMs + 1);
  const auto drains = RecordsOf<Drain>(PlanAndApply());
  ASSERT_EQ(drains.size(), 1U);
  EXPECT_EQ(drains[0].m_target, "web");
}

TEST_F(FleetPlannerMovesTest, SpareTarget_CoversLargestRackAndPartOfWave)
{
  EXPECT_EQ(SpareTarget(m_state), 2U); // One web and one jobs instance share each rack at most.
  PublishRules(std::string{ kAdmin } + std::string{ kWeb } + std::string{ kJobs } +
               "maintenance.m = { pools = [\"*\"], period_days = 21, max_at_once = 4 } # A: x\n"
               "placement.weights = { buffer_cost = 1, rollout_time = 3 } # A: x\n");
  EXPECT_EQ(SpareTarget(m_state), 5U);
}

} // namespace
} // namespace pistachiostand
