#include "pistachiostand/job/SparseStates.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace pistachiostand::fleet {
namespace {

class SparseStatesTest : public ::testing::Test
{
protected:
  int& Begin(std::uint32_t aIndex)
  {
    return m_states.Begin(aIndex, [] { return 0; });
  }

  SparseStates<int> m_states;
};

TEST_F(SparseStatesTest, Begin_ElementThatHasBegun_KeepsItsState)
{
  Begin(3) = 7;
  EXPECT_EQ(Begin(3), 7);
  EXPECT_EQ(m_states.BegunCount(), 1U);
}

TEST_F(SparseStatesTest, End_Element_HasEndedWithoutAnEntry)
{
  Begin(3);
  m_states.End(3);
  EXPECT_EQ(m_states.Find(3), nullptr);
  EXPECT_TRUE(m_states.HasEnded(3));
  EXPECT_FALSE(m_states.HasEnded(2));
  EXPECT_EQ(m_states.EndedCount(), 1U);
}

TEST_F(SparseStatesTest, FirstNotBegun_BehindARange_SkipsIt)
{
  for (const std::uint32_t index : { 0, 1, 2, 5 }) {
    Begin(index);
  }
  m_states.End(1);
  EXPECT_EQ(m_states.FirstNotBegun(0), 3U);
  EXPECT_EQ(m_states.FirstNotBegun(4), 4U);
  EXPECT_EQ(m_states.FirstNotBegun(5), 6U);
  EXPECT_EQ(m_states.NotBegunWithin(0, 6), 2U);
  EXPECT_EQ(m_states.NotBegunWithin(2, 5), 2U);
  EXPECT_EQ(m_states.NotBegunWithin(5, 5), 0U);
}

TEST_F(SparseStatesTest, IndexSet_InsertedInAnyOrder_AgreesWithASet)
{
  std::mt19937 random{ 1 };
  IndexSet ranges;
  std::set<std::uint32_t> all;
  for (int round = 0; round < 500; ++round) {
    const auto index = std::uniform_int_distribution<std::uint32_t>{ 0, 200 }(random);
    ranges.Insert(index);
    all.insert(index);
    const auto from = std::uniform_int_distribution<std::uint32_t>{ 0, 200 }(random);
    std::uint32_t missing = from;
    while (all.contains(missing)) {
      ++missing;
    }
    EXPECT_EQ(ranges.FirstMissing(from), missing);
    EXPECT_EQ(ranges.size(), all.size());
    EXPECT_EQ(ranges.CountWithin(from, 150),
              from > 150 ? 0 : std::distance(all.lower_bound(from), all.lower_bound(150)));
  }
}

} // namespace
} // namespace pistachiostand::fleet
