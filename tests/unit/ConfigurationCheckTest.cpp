#include "platform/Wire.h"
#include "src/manager/ConfigurationCommand.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace pistachiostand::fleet {
namespace {

using Json = nlohmann::json;

/// \brief A record without findings, and patches of it (RFC 6902).
class ConfigurationCheckTest : public ::testing::Test
{
protected:
  static Json Valid()
  {
    return Json::parse(R"({"version":7,
      "routes":[{"name":"r-a","host":"jobs.example","path-prefix":"/a/","upstream":"u-a"},
                {"name":"r-b","host":"jobs.example","path-prefix":"/a/b/","upstream":"u-b",
                 "attempts":2,"stretch":1.5,"public":true}],
      "upstreams":[{"name":"u-a","admission-check":true},{"name":"u-b"},
                   {"name":"off","spare":true}],
      "tenants":[{"name":"tupelo","api-keys":["secret-1","secret-2"],"weight":2},
                 {"name":"poplar","api-keys":["secret-3"],"max-count":{"cpu":8000}}],
      "limits":{"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})");
  }

  static Json Patched(const std::string& aPatch) { return Valid().patch(Json::parse(aPatch)); }

  /// \brief Returns the findings as lines without remedies, for example `routes[0] "r-a": error:
  /// CAUSE`, and checks that none shows a key and that only differences have no remedy.
  static std::vector<std::string> Check(const Json& aRecord,
                                        const std::optional<Json>& aBefore = {})
  {
    const auto before = aBefore ? std::optional{ aBefore->dump() } : std::nullopt;
    const auto findings = CheckRecordText(aRecord.dump(), before);
    for (const auto& text : { FindingsText(findings, "f"), FindingsJson(findings, "f") }) {
      EXPECT_EQ(text.find("secret"), std::string::npos) << text;
    }
    std::vector<std::string> lines;
    std::ranges::transform(findings, std::back_inserter(lines), [](Finding aFinding) {
      EXPECT_EQ(aFinding.m_remedy.empty(), aFinding.m_kind == FindingKind::Difference);
      aFinding.m_remedy.clear();
      auto text = FindingsText({ aFinding }, "f");
      return text.substr(3, text.find('\n') - 3);
    });
    return lines;
  }

  /// \brief Expects that a patch causes exactly one finding, which begins with `aLine`.
  static void ExpectOne(const std::string& aPatch, const std::string& aLine,
                        const std::optional<Json>& aBefore = {})
  {
    const auto lines = Check(Patched(aPatch), aBefore);
    ASSERT_EQ(lines.size(), 1U) << aPatch << '\n' << ::testing::PrintToString(lines);
    EXPECT_TRUE(lines.front().starts_with(aLine)) << aPatch << '\n' << lines.front();
  }
};

// Guards against findings about a correct record, which operators would learn to ignore.
TEST_F(ConfigurationCheckTest, Record_Valid_HasNoFinding)
{
  EXPECT_EQ(Check(Valid()), std::vector<std::string>{});
  const auto findings = CheckRecordText(Valid().dump(), {});
  EXPECT_EQ(FindingsText(findings, "f"), "f: valid\n");
  EXPECT_EQ(FindingsJson(findings, "f"), "{\"file\":\"f\",\"findings\":[],\"result\":\"ok\"}\n");
}

// Guards against a warning about deployments without accounts, which need no keys.
TEST_F(ConfigurationCheckTest, Record_WithoutAccounts_HasNoFinding)
{
  EXPECT_EQ(Check(Patched(R"([{"op":"remove","path":"/tenants"},
                              {"op":"remove","path":"/routes/1/public"}])")),
            std::vector<std::string>{});
}

// Guards against a record that is accepted although entry instances ignore it or a row of it.
TEST_F(ConfigurationCheckTest, Record_WithUnreadablePart_IsAnErrorWithItsPlace)
{
  ExpectOne(R"([{"op":"remove","path":"/version"}])", "record: error: version is missing");
  ExpectOne(R"([{"op":"replace","path":"/version","value":0}])", "version: error: revision 0");
  ExpectOne(R"([{"op":"replace","path":"/routes/1/stretch","value":"x"}])",
            R"(routes[1] "r-b": error: stretch: string where a number belongs)");
  ExpectOne(R"([{"op":"add","path":"/routes/0","value":7}])", "routes[0]: error: ");
  ExpectOne(R"([{"op":"add","path":"/upstreams/1/spare","value":1}])",
            R"(upstreams[1] "u-b": error: spare: )");
  ExpectOne(R"([{"op":"replace","path":"/tenants/0/weight","value":-1}])",
            R"(tenants[0] "tupelo": error: weight: -1 is not from 0)");
  ExpectOne(R"([{"op":"replace","path":"/tenants/0/api-keys","value":"secret"}])",
            R"(tenants[0] "tupelo": error: api-keys: string where a list belongs)");
  ExpectOne(R"([{"op":"replace","path":"/limits/max-body-bytes","value":-1}])",
            "limits.max-body-bytes: error: ");
  ExpectOne(R"([{"op":"replace","path":"/limits","value":[]}])", "limits: error: ");
  EXPECT_EQ(Check(Patched(R"([{"op":"replace","path":"/routes/0/host","value":""},
                              {"op":"add","path":"/routes/-","value":{"name":"r-c"}}])")),
            (std::vector<std::string>{ R"(routes[0] "r-a": error: host: an empty string)",
                                       R"(routes[2] "r-c": error: host is missing)" }));
}

// Guards against a record that sends jobs to nowhere, or in which one row hides another.
TEST_F(ConfigurationCheckTest, Rows_InConflict_AreErrors)
{
  ExpectOne(R"([{"op":"add","path":"/routes/-","value":{"name":"r-c","host":"jobs.example",
                 "path-prefix":"/c/","upstream":"u-c"}}])",
            R"(routes[2] "r-c": error: the pool "u-c" does not exist)");
  ExpectOne(R"([{"op":"replace","path":"/routes/1/path-prefix","value":"/a/"}])",
            R"(routes[1] "r-b": error: row 0 has the same host and path prefix)");
  ExpectOne(R"([{"op":"replace","path":"/routes/1/name","value":"r-a"}])",
            R"(routes[1] "r-a": error: row 0 has the same name)");
  ExpectOne(R"([{"op":"add","path":"/upstreams/-","value":{"name":"u-a"}}])",
            R"(upstreams[3] "u-a": error: row 0 has the same name)");
  ExpectOne(R"([{"op":"replace","path":"/tenants/1/name","value":"tupelo"}])",
            R"(tenants[1] "tupelo": error: row 0 has the same name)");
  ExpectOne(R"([{"op":"add","path":"/tenants/1/api-keys/-","value":"secret-2"}])",
            R"(tenants[1] "poplar": error: a key belongs to the account in row 0 too)");
  ExpectOne(R"([{"op":"replace","path":"/tenants/1/api-keys","value":[""]}])",
            R"(tenants[1] "poplar": error: the account has no key)");
}

// Guards against entries that look as if they were in force and never match.
TEST_F(ConfigurationCheckTest, Entry_ThatNeverMatches_IsAWarning)
{
  for (const char* host : { "https://jobs.example", "jobs.example:80", "*.example", "Jobs.example",
                            "[::1]", "jobs.example/a" }) {
    ExpectOne(
      Json::array({ { { "op", "replace" }, { "path", "/routes/0/host" }, { "value", host } } })
        .dump(),
      R"(routes[0] "r-a": warning: the host ")" + std::string{ host });
  }
  for (const char* prefix : { "a/", "/a?b", "/a b/" }) {
    ExpectOne(
      Json::array(
        { { { "op", "replace" }, { "path", "/routes/0/path-prefix" }, { "value", prefix } } })
        .dump(),
      R"(routes[0] "r-a": warning: the path prefix ")" + std::string{ prefix });
  }
  ExpectOne(R"([{"op":"add","path":"/upstreams/-","value":{"name":"u-c"}}])",
            R"(upstreams[3] "u-c": warning: no route uses this pool)");
  ExpectOne(R"([{"op":"add","path":"/tenants/0/api-keys/-","value":""}])",
            R"(tenants[0] "tupelo": warning: an empty key)");
  ExpectOne(R"([{"op":"add","path":"/tenants/0/api-keys/-","value":"secret-1"}])",
            R"(tenants[0] "tupelo": warning: a key is listed twice)");
}

// Guards against limits under which nothing can run, or that another limit makes meaningless.
TEST_F(ConfigurationCheckTest, Limits_InContradiction_AreWarnings)
{
  ExpectOne(R"([{"op":"replace","path":"/tenants/0/weight","value":0}])",
            R"(tenants[0] "tupelo": warning: the weight 0)");
  ExpectOne(R"([{"op":"replace","path":"/tenants/1/max-count/cpu","value":8}])",
            R"(tenants[1] "poplar": warning: the processor limit 8 is less than one core)");
  ExpectOne(R"([{"op":"replace","path":"/routes/1/attempts","value":0}])",
            R"(routes[1] "r-b": warning: 0 attempts)");
  ExpectOne(R"([{"op":"replace","path":"/routes/1/stretch","value":0.5}])",
            R"(routes[1] "r-b": warning: the stretch 0.5 is below 1)");
  ExpectOne(R"([{"op":"replace","path":"/limits/max-body-bytes","value":0}])",
            "limits.max-body-bytes: warning: the limit 0");
  ExpectOne(R"([{"op":"replace","path":"/limits/max-body-bytes","value":262145}])",
            "limits.max-body-bytes: warning: the limit 262145 is above");
  ExpectOne(R"([{"op":"replace","path":"/limits/header-timeout-ms","value":15001}])",
            "limits.header-timeout-ms: warning: the header timeout 15001 ms is above");
  ExpectOne(R"([{"op":"add","path":"/upstreams/-","value":{"name":"off-2","spare":true}}])",
            R"(upstreams[3] "off-2": warning: row 2 is a spare pool too)");
  ExpectOne(R"([{"op":"remove","path":"/upstreams/2"}])", "upstreams: warning: no pool is spare");
  ExpectOne(R"([{"op":"replace","path":"/tenants","value":[]}])",
            R"(routes[0] "r-a": warning: the route is not public)");
  ExpectOne(R"([{"op":"remove","path":"/tenants"}])",
            R"(routes[0] "r-a": warning: the route is not public)");
}

// Guards against a revision that entry instances ignore as an old one.
TEST_F(ConfigurationCheckTest, Revision_ThatDoesNotRise_IsAnError)
{
  ExpectOne("[]", "version: error: revision 7 does not follow revision 7", Valid());
  ExpectOne(R"([{"op":"replace","path":"/version","value":6}])",
            "version: error: revision 6 does not follow revision 7", Valid());
  ExpectOne(R"([{"op":"replace","path":"/version","value":8}])",
            "record: error: the earlier record cannot be read", Json::array());
}

// Guards against changes that are published without being noticed, and against keys in their list.
TEST_F(ConfigurationCheckTest, Records_ThatDiffer_ListEachChangeWithoutKeys)
{
  const auto after = Patched(R"([{"op":"replace","path":"/version","value":8},
    {"op":"add","path":"/routes/0/stretch","value":2},
    {"op":"replace","path":"/routes/0/host","value":"shop.example"},
    {"op":"replace","path":"/routes/1/name","value":"r-c"},
    {"op":"replace","path":"/upstreams/0/admission-check","value":false},
    {"op":"replace","path":"/tenants/0/api-keys","value":["secret-2","secret-4","secret-5"]},
    {"op":"replace","path":"/tenants/1/max-count/cpu","value":4000},
    {"op":"replace","path":"/limits/idle-timeout-ms","value":9000}])");
  EXPECT_EQ(
    Check(after, Valid()),
    (std::vector<std::string>{
      R"(routes[0] "r-a": difference: host "jobs.example" -> "shop.example", stretch 1 -> 2)",
      R"(routes[1] "r-c": difference: added)", R"(routes "r-b": difference: removed)",
      R"(upstreams[0] "u-a": difference: admission check true -> false)",
      R"(tenants[0] "tupelo": difference: keys: 1 removed, 2 added)",
      R"(tenants[1] "poplar": difference: processor limit 8000 -> 4000)",
      "limits.idle-timeout-ms: difference: 15000 -> 9000" }));
}

// Guards against an account list that is lost by mistake: instances go on asking for keys.
TEST_F(ConfigurationCheckTest, Accounts_MissingInTheNewRecord_AreAWarning)
{
  const auto lines = Check(Patched(R"([{"op":"replace","path":"/version","value":8},
                                       {"op":"remove","path":"/tenants"},
                                       {"op":"remove","path":"/routes/1/public"}])"),
                           Valid());
  EXPECT_EQ(
    std::ranges::count_if(
      lines, [](const std::string& aLine) { return aLine.starts_with("tenants: warning: "); }),
    1);
}

// Guards against an unreadable row of the earlier record that makes an unchanged row look new
// without an explanation.
TEST_F(ConfigurationCheckTest, EarlierRecord_WithUnreadableRow_IsAWarning)
{
  const auto before = Patched(R"([{"op":"replace","path":"/routes/0/host","value":7}])");
  const auto lines = Check(Patched(R"([{"op":"replace","path":"/version","value":8}])"), before);
  EXPECT_EQ(lines, (std::vector<std::string>{
                     "record: warning: unreadable parts of the earlier record, which are not "
                     "compared: 1",
                     R"(routes[0] "r-a": difference: added)" }));
}

// Guards against a key that is printed because it was written into the field of a name.
TEST_F(ConfigurationCheckTest, Key_InAnotherField_IsRedacted)
{
  const auto lines = Check(Patched(R"([{"op":"replace","path":"/version","value":8},
                                       {"op":"replace","path":"/tenants/0/name","value":"secret-1"},
                                       {"op":"replace","path":"/routes/0/upstream","value":"secret-3"},
                                       {"op":"replace","path":"/tenants/0/weight","value":0}])"),
                           Valid());
  EXPECT_EQ(lines.front(), R"(routes[0] "r-a": error: the pool (a key) does not exist)");
}

// Guards against keys in the error about a record that is cut short.
TEST_F(ConfigurationCheckTest, Record_CutShort_QuotesNothing)
{
  const auto text = FindingsText(CheckRecordText(R"({"tenants":[{"api-keys":["secret)", {}), "f");
  EXPECT_TRUE(text.starts_with("f: record: error: invalid JSON at byte ")) << text;
  EXPECT_EQ(text.find("secret"), std::string::npos);
}

} // namespace
} // namespace pistachiostand::fleet
