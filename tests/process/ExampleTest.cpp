#include "pistachiostand/version/RuleParser.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace pistachiostand {
namespace {

// Guards against an example rule file that the current parser rejects.
TEST(ExampleTest, DemoRules_AreAccepted)
{
  std::ifstream input(SOURCE_DIR "/examples/demo_rules.toml");
  std::ostringstream text;
  text << input.rdbuf();
  Reasons reasons;
  const auto rules = ParseRules(text.str(), reasons);
  ASSERT_TRUE(rules) << Format(reasons.front(), "demo_rules.toml");
  EXPECT_EQ(rules->m_pools.size(), 3U);
}

} // namespace
} // namespace pistachiostand
