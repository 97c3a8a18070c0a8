#include "pistachiostand/base/Hash.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

class HashTest : public ::testing::Test
{};

// Guards against a change of the function: digests and ids in the log must be the same in every
// version. The values were computed by a separate program.
TEST_F(HashTest, Hash_OfKnownValues_NeverChanges)
{
  EXPECT_EQ(Hash(""), 0xecba3df2c3383c52U);
  EXPECT_EQ(Hash("a"), 0xed8170de1919a24dU);
  EXPECT_EQ(Hash("wheel-17"), 0x425306825c07b0d4U);
  EXPECT_EQ(Hash({ "\x00\xff", 2 }), 0x24087fa6bb7ba314U);
  EXPECT_EQ(Hash("b", Hash("a")), 0x7e76332d53c211f5U);
}

// Guards against entry instances of two versions that compute different owners.
TEST_F(HashTest, RendezvousOwner_OfKnownKeys_NeverChanges)
{
  const std::vector<std::string> candidates{ "e1", "e2", "e3" };
  EXPECT_EQ(RendezvousOwner("key-1", candidates), "e3");
  EXPECT_EQ(RendezvousOwner("key-2", candidates), "e2");
  EXPECT_EQ(RendezvousOwner("job/tupelo/wheel-17", candidates), "e3");
  EXPECT_EQ(RendezvousOwner("key-1", {}), std::nullopt);
}

// Guards against an owner that depends on the order of the candidates.
TEST_F(HashTest, RendezvousOwner_InAnotherOrder_IsTheSame)
{
  for (int i = 0; i < 100; ++i) {
    const std::string key = std::to_string(i);
    EXPECT_EQ(RendezvousOwner(key, { "e1", "e2", "e3" }),
              RendezvousOwner(key, { "e3", "e1", "e2" }));
  }
}

// Guards against keys that move although their owner is still a candidate.
TEST_F(HashTest, RendezvousOwner_AfterLossOfACandidate_MovesOnlyItsKeys)
{
  for (int i = 0; i < 1'000; ++i) {
    const std::string key = std::to_string(i);
    const auto before = RendezvousOwner(key, { "e1", "e2", "e3" });
    if (before != "e2") {
      EXPECT_EQ(RendezvousOwner(key, { "e1", "e3" }), before) << key;
    }
  }
}

// Guards against process ids of varying length or case.
TEST_F(HashTest, ToHex_OfNumbers_Has16Digits)
{
  EXPECT_EQ(ToHex(0), "0000000000000000");
  EXPECT_EQ(ToHex(0x1234abcdU), "000000001234abcd");
  EXPECT_EQ(ToHex(~std::uint64_t{}), "ffffffffffffffff");
}

} // namespace
} // namespace pistachiostand
