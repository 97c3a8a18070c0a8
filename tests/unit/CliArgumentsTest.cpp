#include "cli/Arguments.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

class CliArgumentsTest : public ::testing::Test
{
protected:
  static Arguments Parse(const std::vector<std::string>& aArguments)
  {
    const auto parsed = ParseArguments(aArguments);
    const auto* arguments = std::get_if<Arguments>(&parsed);
    EXPECT_NE(arguments, nullptr) << aArguments.front();
    return arguments == nullptr ? Arguments{} : *arguments;
  }

  static ExitCode CodeOf(const std::vector<std::string>& aArguments)
  {
    const auto parsed = ParseArguments(aArguments);
    const auto* result = std::get_if<CommandResult>(&parsed);
    EXPECT_NE(result, nullptr) << "accepted";
    return result == nullptr ? ExitCode::Ok : result->m_code;
  }
};

// Guards against an option that is accepted but not stored.
TEST_F(CliArgumentsTest, Publish_WithAllOptions_IsRead)
{
  const auto arguments =
    Parse({ "publish", "r.toml", "--base", "7", "--author=Ann Lee", "--entry", "127.0.0.1:1",
            "--entry=[::1]:2", "--timeout-ms", "250", "--json" });
  EXPECT_EQ(arguments.m_command, Command::Publish);
  EXPECT_EQ(arguments.m_subject, "r.toml");
  EXPECT_EQ(arguments.m_base, 7U);
  EXPECT_EQ(arguments.m_author, "Ann Lee");
  ASSERT_EQ(arguments.m_entries.size(), 2U);
  EXPECT_EQ(arguments.m_entries[1], (Endpoint{ "::1", 2 }));
  EXPECT_EQ(arguments.m_timeoutMs, 250);
  EXPECT_TRUE(arguments.m_json);
}

// Guards against a command that is parsed as another one.
TEST_F(CliArgumentsTest, Commands_OfEveryKind_AreDistinguished)
{
  EXPECT_EQ(Parse({ "check", "r.toml" }).m_command, Command::Check);
  EXPECT_EQ(Parse({ "diff", "r.toml" }).m_command, Command::Diff);
  EXPECT_EQ(Parse({ "who", "pool.web" }).m_subject, "pool.web");
  EXPECT_EQ(Parse({ "status" }).m_command, Command::Status);
  const auto job = Parse({ "job", "k1", "--tenant=tupelo" });
  EXPECT_EQ(job.m_command, Command::Job);
  EXPECT_EQ(job.m_subject, "k1");
  EXPECT_EQ(job.m_tenant, "tupelo");
}

// Guards against a default that is lost when an option is declared as repeatable.
TEST_F(CliArgumentsTest, Defaults_WithoutOptions_AreFilledIn)
{
  const auto arguments = Parse({ "status" });
  EXPECT_EQ(arguments.m_entries, (std::vector<Endpoint>{ { "127.0.0.1", 8080 } }));
  EXPECT_EQ(arguments.m_timeoutMs, 10'000);
  EXPECT_FALSE(arguments.m_json);
}

// Guards against a publish without an explicit base revision, and against unknown commands.
TEST_F(CliArgumentsTest, Usage_WhenWrong_IsRefused)
{
  EXPECT_EQ(CodeOf({}), ExitCode::Usage);
  EXPECT_EQ(CodeOf({ "drain", "i1" }), ExitCode::Usage);
  EXPECT_EQ(CodeOf({ "publish", "r.toml", "--author=A" }), ExitCode::Usage);
  EXPECT_EQ(CodeOf({ "publish", "r.toml", "--base=-1", "--author=A" }), ExitCode::Usage);
  EXPECT_EQ(CodeOf({ "publish", "r.toml", "--base=1x", "--author=A" }), ExitCode::Usage);
  EXPECT_EQ(CodeOf({ "publish", "r.toml", "--base=1", "--author=" }), ExitCode::Usage);
  EXPECT_EQ(CodeOf({ "status", "--entry=localhost:80" }), ExitCode::Usage);
  EXPECT_EQ(CodeOf({ "status", "--timeout-ms=0" }), ExitCode::Usage);
  EXPECT_EQ(CodeOf({ "job", "k1" }), ExitCode::Usage);
}

// Guards against a tenant that adds header lines to the request.
TEST_F(CliArgumentsTest, Tenant_WithLineEnd_IsRefused)
{
  EXPECT_EQ(CodeOf({ "job", "k1", "--tenant=a\r\nX-Other: b" }), ExitCode::Usage);
}

// Guards against help and version that count as failures in scripts.
TEST_F(CliArgumentsTest, HelpAndVersion_WhenAsked_SucceedWithText)
{
  EXPECT_EQ(CodeOf({ "--help" }), ExitCode::Ok);
  EXPECT_EQ(CodeOf({ "--version" }), ExitCode::Ok);
}

} // namespace
} // namespace pistachiostand
