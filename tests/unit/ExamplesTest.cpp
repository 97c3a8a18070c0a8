#include "pistachiostand/process/Settings.h"
#include "pistachiostand/version/RuleParser.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <numeric>
#include <string>

namespace pistachiostand {
namespace {

class ExamplesTest : public ::testing::Test
{
protected:
  static std::string Read(const std::string& aName)
  {
    std::ifstream stream{ std::string{ SOURCE_DIR } + "/examples/" + aName, std::ios::binary };
    EXPECT_TRUE(stream) << aName;
    return { std::istreambuf_iterator<char>{ stream }, {} };
  }

  Rules ReadRules(const std::string& aName)
  {
    auto rules = ParseRules(Read(aName), m_reasons);
    EXPECT_TRUE(rules) << (m_reasons.empty() ? aName : Format(m_reasons.front(), aName));
    return rules.value_or(Rules{});
  }

  static std::uint32_t Promised(const Rules& aRules)
  {
    return std::accumulate(
      aRules.m_pools.begin(), aRules.m_pools.end(), 0U,
      [](std::uint32_t aSum, const auto& aPool) { return aSum + aPool.second.m_instances; });
  }

  Reasons m_reasons;
};

// Guards against an example that the parser refuses or that promises more than about 50 instances,
// and against a build batch that may run twice (9 March).
TEST_F(ExamplesTest, CottonRow_File_IsAcceptedAndRunsBuildsOnce)
{
  const auto rules = ReadRules("cotton-row.rules.toml");
  ASSERT_EQ(rules.m_services.size(), 5U);
  EXPECT_EQ(SparePool(rules), "admin");
  EXPECT_LE(Promised(rules), 50U);
  EXPECT_FALSE(rules.m_services.at("builds").m_idempotent);
  EXPECT_EQ(rules.m_services.at("lookups").m_class, ServiceClass::Urgent);
  EXPECT_GT(rules.m_weights.m_bufferCost, rules.m_weights.m_rolloutTime);
}

// Guards against an example that the parser refuses, and against services of the dues
// administration that may run twice.
TEST_F(ExamplesTest, Dijleland_File_IsAcceptedAndRunsDuesWorkOnce)
{
  const auto rules = ReadRules("dijleland.rules.toml");
  ASSERT_EQ(rules.m_services.size(), 5U);
  EXPECT_EQ(SparePool(rules), "portal");
  EXPECT_LE(Promised(rules), 50U);
  EXPECT_FALSE(rules.m_services.at("reminders").m_idempotent);
  EXPECT_FALSE(rules.m_services.at("matching").m_idempotent);
  EXPECT_FALSE(rules.m_services.at("water").m_idempotent);
  EXPECT_FALSE(rules.m_services.at("bookkeeping").m_idempotent);
  EXPECT_GT(rules.m_weights.m_rolloutTime, rules.m_weights.m_bufferCost);
}

// Guards against a budget that every wave would violate, so that maintenance never starts.
TEST_F(ExamplesTest, Budgets_OfBothFiles_LeaveRoomForAWave)
{
  // Instances of the largest zone of a pool that is spread evenly: an upper bound for the loss of a
  // zone or of a rack, which holds 4 instances.
  const auto largestDomain = [](const PoolRule& aPool, std::uint32_t aZones) {
    const std::uint32_t perZone = (aPool.m_instances + aZones - 1) / aZones;
    return aPool.m_tolerate == Domain::None ? 0U : perZone;
  };
  const auto check = [&](const std::string& aFile, std::uint32_t aZones) {
    for (const auto& [name, pool] : ReadRules(aFile).m_pools) {
      EXPECT_GE(pool.m_instances, pool.m_minAvailable + largestDomain(pool, aZones) + 1)
        << aFile << ' ' << name;
    }
  };
  check("cotton-row.rules.toml", 3);
  check("dijleland.rules.toml", 4);
}

// Guards against example settings that the daemon refuses, or that do not show the real defaults.
TEST_F(ExamplesTest, EntrySettings_File_IsAcceptedAndShowsTheDefaults)
{
  const auto settings = ParseSettings(Read("entry.toml"), m_reasons);
  ASSERT_TRUE(settings) << Format(m_reasons.front(), "entry.toml");
  EXPECT_EQ(settings->m_limits, LimitSettings{});
  EXPECT_EQ(settings->m_logLevel, Settings{}.m_logLevel);
}

} // namespace
} // namespace pistachiostand
