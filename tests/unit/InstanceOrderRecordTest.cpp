#include "pistachiostand/ownership/InstanceOrder.h"

#include <gtest/gtest.h>

namespace pistachiostand::fleet {
namespace {

/// \brief Process "a" owned the fleet and sent its last record at 50,000 on its clock. "b" read it
/// at 900,000 on its own clock.
class InstanceOrderRecordTest : public ::testing::Test
{
protected:
  InstanceOrderRecordTest()
  {
    const auto read = [this](Offset aOffset, OwnershipRecordKind aKind, const char* aProcess,
                             Millis aSentMs, Millis aNowMs) {
      ApplyOwnershipRecord(m_view, aOffset,
                           { aKind, aProcess, "", 1, aSentMs, kMinOwnershipLeaseMs }, aNowMs);
    };
    read(0, OwnershipRecordKind::Claim, "a", 40'000, 890'000);
    read(1, OwnershipRecordKind::Renewal, "a", 50'000, 900'000);
    read(2, OwnershipRecordKind::Claim, "b", 901'500, 901'500);
    read(3, OwnershipRecordKind::Renewal, "b", 901'800, 901'800);
  }

  OwnershipView m_view;
};

// Guards against orders of two owners in too short a time because the wall clock has jumped. Only
// times of the same steady clock are compared.
TEST_F(InstanceOrderRecordTest, MinAge_OrderOfThePreviousOwner_IsTakenOnSteadyClocks)
{
  EXPECT_EQ(MinAgeMs({ "a", 49'000 }, m_view.m_previousOwner, 902'000), 3'000);
  EXPECT_EQ(MinAgeMs({ "a", 50'500 }, m_view.m_previousOwner, 902'000), 1'500);
}

// Guards against an age computed across clocks: an owner before the previous one has its own clock.
TEST_F(InstanceOrderRecordTest, MinAge_OrderOfAnotherProcess_IsUnknown)
{
  EXPECT_EQ(MinAgeMs({ "c", 49'000 }, m_view.m_previousOwner, 902'000), std::nullopt);
}

TEST_F(InstanceOrderRecordTest, Record_EncodedAndDecoded_IsTheSame)
{
  const InstanceOrder order{ "edge-1@0badcafe", 123 };
  EXPECT_EQ(DecodeInstanceOrder(EncodeInstanceOrder(order)), order);
  EXPECT_EQ(DecodeInstanceOrder("1796387637912"), std::nullopt);
}

} // namespace
} // namespace pistachiostand::fleet
