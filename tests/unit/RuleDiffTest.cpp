#include "pistachiostand/version/RuleDiff.h"

#include <gtest/gtest.h>

#include <string>

namespace pistachiostand {
namespace {

class RuleDiffTest : public ::testing::Test
{
protected:
  static constexpr std::string_view kBefore =
    "pool.admin = { instances = 2, spare = true } # Ann: spare\n"
    "pool.web = { instances = 4 } # Bo: shop\n";

  RuleChanges Diff(std::string_view aBefore, std::string_view aAfter)
  {
    m_reasons.clear();
    const auto changes = DiffRuleTexts(aBefore, aAfter, m_reasons);
    EXPECT_TRUE(changes);
    return changes.value_or(RuleChanges{});
  }

  Reasons m_reasons;
};

// Guards against reporting a change when rules are only reordered or separated by comments.
TEST_F(RuleDiffTest, Lines_ThatOnlyMoved_AreNoChange)
{
  EXPECT_TRUE(Diff(kBefore, "# moved\n\npool.web = { instances = 4 } # Bo: shop\n"
                            "pool.admin = { instances = 2, spare = true } # Ann: spare\n")
                .empty());
}

// Guards against a kind of change that is not reported, and against the requester or line of the
// wrong side.
TEST_F(RuleDiffTest, Rules_OfAllKinds_AreReportedWithRequesterAndLine)
{
  const auto changes = Diff(kBefore, "pool.shop = { instances = 1 } # Cy: new\n"
                                     "pool.admin = { instances = 3, spare = true } # Dee: more\n");
  ASSERT_EQ(changes.size(), 3U);
  EXPECT_EQ(changes[0].m_kind, RuleChangeKind::Changed);
  EXPECT_EQ(changes[0].m_before.m_requester, "Ann");
  EXPECT_EQ(changes[0].m_after.m_requester, "Dee");
  EXPECT_EQ(changes[0].m_after.m_lineNumber, 2U);
  EXPECT_EQ(changes[1].m_kind, RuleChangeKind::Added);
  EXPECT_EQ(changes[1].m_rule, "pool.shop");
  EXPECT_EQ(changes[2].m_kind, RuleChangeKind::Removed);
  EXPECT_EQ(changes[2].m_before.m_lineNumber, 2U);
}

// Guards against hiding that another person now requests a rule with equal values.
TEST_F(RuleDiffTest, Comment_WithAnotherRequester_IsAChange)
{
  const auto changes = Diff(kBefore, "pool.admin = { instances = 2, spare = true } # Eve: spare\n"
                                     "pool.web = { instances = 4 } # Bo: shop\n");
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(Format(changes), "changed pool.admin (line 1, requested by Eve)\n"
                             "  - pool.admin = { instances = 2, spare = true } # Ann: spare\n"
                             "  + pool.admin = { instances = 2, spare = true } # Eve: spare\n");
}

// Guards against a diff that fails before the first publish, when no rules are in force.
TEST_F(RuleDiffTest, Before_WhenEmpty_ReportsEveryRuleAsAdded)
{
  const auto changes = Diff("", kBefore);
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[1].m_kind, RuleChangeKind::Added);
  EXPECT_EQ(Format({ changes[1] }), "added pool.web (line 2, requested by Bo)\n"
                                    "  + pool.web = { instances = 4 } # Bo: shop\n");
}

// Guards against a removed rule that is printed with the empty line of the new file.
TEST_F(RuleDiffTest, Rule_WhenRemoved_IsPrintedWithItsOldLine)
{
  const auto changes = Diff(kBefore, "pool.admin = { instances = 2, spare = true } # Ann: spare\n");
  EXPECT_EQ(Format(changes), "removed pool.web (line 2, requested by Bo)\n"
                             "  - pool.web = { instances = 4 } # Bo: shop\n");
}

// Guards against a comparison with a file that the daemon would refuse.
TEST_F(RuleDiffTest, After_WhenInvalid_ReturnsItsReasons)
{
  EXPECT_FALSE(DiffRuleTexts(kBefore, "pool.web = {} # Bo: x\n", m_reasons));
  EXPECT_FALSE(m_reasons.empty());
  m_reasons.clear();
  EXPECT_FALSE(DiffRuleTexts(kBefore, "", m_reasons));
  EXPECT_FALSE(m_reasons.empty());
}

} // namespace
} // namespace pistachiostand
