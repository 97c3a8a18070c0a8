#include "pistachiostand/version/RuleParser.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

class RuleParserTest : public ::testing::Test
{
protected:
  static constexpr std::string_view kSpare =
    "pool.admin = { instances = 2, spare = true } # Ann: spare\n";

  std::optional<Rules> Parse(std::string_view aRest)
  {
    m_reasons.clear();
    return ParseRules(std::string{ kSpare } + std::string{ aRest }, m_reasons);
  }

  Reasons m_reasons;
};

TEST_F(RuleParserTest, File_WithAllKinds_IsRead)
{
  const auto rules = Parse("pool.web = { instances = 4, min_available = 3, tolerate = \"rack\", "
                           "task_control = \"full\" } # Bo Cruz: shop # 7\n"
                           "service.web = { pool = \"web\", class = \"urgent\", idempotent = true, "
                           "timeout_ms = 800 } # Bo: x\n"
                           "tenant.default = { share = 2 } # Bo: x\n"
                           "maintenance.all = { pools = [\"*\"], period_days = 21, max_at_once = "
                           "2, domain = \"rack\" } # Cy: x\n"
                           "placement.weights = { buffer_cost = 3 } # Cy: x\n");
  ASSERT_TRUE(rules) << Format(m_reasons.front(), "rules");
  EXPECT_EQ(rules->m_pools.at("web").m_tolerate, Domain::Rack);
  EXPECT_EQ(rules->m_origins.at("pool.web").m_requester, "Bo Cruz");
  EXPECT_EQ(rules->m_origins.at("pool.web").m_rationale, "shop # 7");
  EXPECT_EQ(rules->m_origins.at("pool.web").m_lineNumber, 2U);
  EXPECT_EQ(FindTenant(*rules, "anyone")->m_share, 2U);
}

TEST_F(RuleParserTest, Rule_WithoutRequester_IsRefusedWithItsLine)
{
  EXPECT_FALSE(Parse("pool.web = { instances = 4 }\n"));
  ASSERT_EQ(m_reasons.size(), 1U);
  EXPECT_EQ(m_reasons[0].m_kind, ReasonKind::MissingRequester);
  EXPECT_EQ(m_reasons[0].m_position.m_line, 2U);
}

TEST_F(RuleParserTest, Rule_WithHashInStringOnly_IsRefused)
{
  EXPECT_FALSE(Parse("service.web = { pool = \"ad#min\", class = \"urgent\", idempotent = true, "
                     "timeout_ms = 5 }\n"));
  EXPECT_EQ(m_reasons[0].m_kind, ReasonKind::MissingRequester);
}

TEST_F(RuleParserTest, Rule_AfterTextOfSeveralBytes_KeepsItsRequester)
{
  const auto rules = Parse("pool.\"caf\xc3\xa9\" = { instances = 1 } # Zo\xc3\xab: caf\xc3\xa9\n");
  ASSERT_TRUE(rules);
  EXPECT_EQ(rules->m_origins.at("pool.caf\xc3\xa9").m_requester, "Zo\xc3\xab");
}

TEST_F(RuleParserTest, Errors_OfSeveralLines_AreAllReported)
{
  EXPECT_FALSE(Parse("pool.web = { instancs = 4 } # Bo: x\ntenant.a = { share = 0 } # Bo: x\n"));
  ASSERT_EQ(m_reasons.size(), 3U);
  EXPECT_EQ(m_reasons[1].m_kind, ReasonKind::UnknownKey);
  EXPECT_EQ(m_reasons[1].m_remedy, "did you mean \"instances\"?");
  EXPECT_EQ(m_reasons[2].m_position.m_line, 3U);
}

TEST_F(RuleParserTest, Pool_OfUnknownName_IsRefusedWithNearestName)
{
  EXPECT_FALSE(Parse("service.web = { pool = \"admim\", class = \"urgent\", idempotent = true, "
                     "timeout_ms = 5 } # Bo: x\n"));
  EXPECT_EQ(m_reasons[0].m_remedy, "did you mean \"admin\"?");
}

// Guards against two placement rules, one of which would silently replace the other.
TEST_F(RuleParserTest, Placement_OfAnotherName_IsRefused)
{
  EXPECT_FALSE(Parse("placement.weights = { moves = 2 } # Bo: x\n"
                     "placement.weight = { moves = 3 } # Bo: x\n"));
  ASSERT_EQ(m_reasons.size(), 1U);
  EXPECT_EQ(m_reasons[0].m_kind, ReasonKind::UnknownKey);
  EXPECT_EQ(m_reasons[0].m_position.m_line, 3U);
}

TEST_F(RuleParserTest, Syntax_WhenBroken_NamesLineAndColumn)
{
  EXPECT_FALSE(Parse("pool.web = { instances = } # Bo: x\n"));
  EXPECT_EQ(m_reasons[0].m_kind, ReasonKind::Syntax);
  EXPECT_EQ(m_reasons[0].m_position.m_line, 2U);
}

} // namespace
} // namespace pistachiostand
