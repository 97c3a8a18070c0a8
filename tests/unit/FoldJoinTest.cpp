#include "PlannerFixture.h"

namespace pistachiostand {
namespace {

class FoldJoinTest : public PlannerFixture
{
protected:
  void SetUp() override
  {
    PublishRules("pool.spare = { instances = 1, spare = true } # A: x\n"
                 "pool.web = { instances = 3 } # A: x\n");
  }

  /// \brief Returns a Join of i1 with an address, zone and rack derived from `aPlace`.
  static Join JoinOf(const std::string& aPlace, const BootId& aBoot, Epoch aEpoch)
  {
    return { "i1", "10.0.0." + aPlace + ":80", "z" + aPlace, "r" + aPlace, aBoot, "web", aEpoch };
  }

  std::optional<Refusal> TryApply(const RecordBody& aBody) { return Apply(aBody).m_refusal; }

  const Instance& TheInstance() { return m_state.m_instances.at("i1"); }
};

// Guards against a late copy of a failed instance's first Join that returns it to service.
TEST_F(FoldJoinTest, Join_WithOldEpoch_IsRefused)
{
  const Join first = JoinOf("1", "b1", 0);
  EXPECT_FALSE(TryApply(first));
  EXPECT_FALSE(TryApply(Fail{ "i1", 1 }));
  EXPECT_EQ(TryApply(first), Refusal::StaleEpoch);
  EXPECT_EQ(TheInstance().m_phase, InstancePhase::Failed);
  EXPECT_FALSE(TryApply(Retire{ "i1", 2 }));
  EXPECT_EQ(TryApply(first), Refusal::StaleEpoch);
  EXPECT_FALSE(m_state.m_instances.contains("i1"));
  EXPECT_FALSE(TryApply(JoinOf("1", "b1", 2)));
  EXPECT_EQ(TheInstance().m_phase, InstancePhase::Serving);
}

TEST_F(FoldJoinTest, Join_OfUnknownInstanceWithAnEpoch_IsRefused)
{
  EXPECT_EQ(TryApply(JoinOf("1", "b1", 1)), Refusal::StaleEpoch);
}

// Guards against counting a replacement instance in the rack and zone of the instance it replaces.
TEST_F(FoldJoinTest, Join_OfFailedInstanceWithNewBoot_UpdatesAddressZoneAndRack)
{
  EXPECT_FALSE(TryApply(JoinOf("1", "b1", 0)));
  EXPECT_FALSE(TryApply(Fail{ "i1", 1 }));
  EXPECT_FALSE(TryApply(JoinOf("2", "b2", 2)));
  EXPECT_EQ(TheInstance().m_address, "10.0.0.2:80");
  EXPECT_EQ(TheInstance().m_zone, "z2");
  EXPECT_EQ(TheInstance().m_rack, "r2");
}

} // namespace
} // namespace pistachiostand
