#include "cli/Commands.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace pistachiostand {
namespace {

class CliCommandsTest : public ::testing::Test
{
protected:
  static constexpr std::string_view kRules =
    "pool.admin = { instances = 2, spare = true } # Ann: spare\n";

  Environment MakeEnvironment()
  {
    return { [this](const Endpoint&, const CommandRequest& aRequest, Millis) {
              m_requests.push_back(aRequest);
              return m_answer;
            },
             [this] { return m_now += 10; }, [this](Millis aPauseMs) { m_now += aPauseMs; } };
  }

  static Arguments Make(Command aCommand, bool aJson = false)
  {
    return { .m_command = aCommand,
             .m_subject = "r.toml",
             .m_base = 7,
             .m_author = "Ann",
             .m_tenant = "tupelo",
             .m_entries = { { "127.0.0.1", 1 } },
             .m_timeoutMs = 1000,
             .m_json = aJson };
  }

  TransportResult m_answer = TransportError{ false, "connection refused" };
  std::vector<CommandRequest> m_requests;
  Millis m_now{};
};

// Guards against an error without file, line, column, cause or remedy.
TEST_F(CliCommandsTest, Check_OfInvalidFile_PrintsPlaceCauseAndRemedy)
{
  const auto result = CheckRules("r.toml", "pool.admin = { instances = 2, spare = true }\n", false);
  EXPECT_EQ(result.m_code, ExitCode::Refused);
  EXPECT_EQ(result.m_err, "r.toml:1:14: missing-requester: pool.admin does not name who asked for "
                          "it; end the line with \"# WHO: REASON\"\n");
}

// Guards against a result that scripts cannot parse.
TEST_F(CliCommandsTest, Check_WithJson_PrintsOneObject)
{
  const auto valid = nlohmann::json::parse(CheckRules("r.toml", kRules, true).m_out);
  EXPECT_EQ(valid["result"], "ok");
  EXPECT_EQ(valid["pools"], 1);
  const auto invalid = nlohmann::json::parse(CheckRules("r.toml", "x = 1\n", true).m_out);
  EXPECT_EQ(invalid["result"], "refused");
  EXPECT_EQ(invalid["reasons"][0]["line"], 1);
}

// Guards against a check that sends something, and against a crash on a missing file.
TEST_F(CliCommandsTest, Check_OfMissingFile_IsAUsageErrorWithoutRequest)
{
  auto arguments = Make(Command::Check);
  arguments.m_subject = std::string{ SOURCE_DIR } + "/examples/none.toml";
  EXPECT_EQ(RunCommand(arguments, MakeEnvironment()).m_code, ExitCode::Usage);
  arguments.m_subject = SOURCE_DIR;
  EXPECT_EQ(RunCommand(arguments, MakeEnvironment()).m_code, ExitCode::Usage);
  EXPECT_TRUE(m_requests.empty());
}

// Guards against a command that reads only a part of its file.
TEST_F(CliCommandsTest, Check_OfExampleFile_Succeeds)
{
  auto arguments = Make(Command::Check);
  arguments.m_subject = std::string{ SOURCE_DIR } + "/examples/cotton-row.rules.toml";
  EXPECT_EQ(RunCommand(arguments, MakeEnvironment()).m_code, ExitCode::Ok);
}

// Guards against sending a file that cannot be accepted.
TEST_F(CliCommandsTest, Publish_OfInvalidFile_SendsNothing)
{
  const auto result = PublishRules(Make(Command::Publish), "x = 1\n", MakeEnvironment());
  EXPECT_EQ(result.m_code, ExitCode::Refused);
  EXPECT_TRUE(m_requests.empty());
}

// Guards against sending a text that differs from the file.
TEST_F(CliCommandsTest, Publish_WhenAccepted_PrintsTheRevision)
{
  m_answer = HttpReply{ 200, {}, R"({"revision":8})" };
  const auto result = PublishRules(Make(Command::Publish), kRules, MakeEnvironment());
  EXPECT_EQ(result.m_code, ExitCode::Ok);
  EXPECT_EQ(result.m_out, "published as revision 8\n");
  ASSERT_EQ(m_requests.size(), 1U);
  EXPECT_EQ(m_requests[0].m_body, kRules);
}

// Guards against an unknown outcome whose message does not state what to do.
TEST_F(CliCommandsTest, Publish_WithUnknownOutcome_SaysWhatToDo)
{
  m_answer = TransportError{ true, "timeout" };
  const auto result = PublishRules(Make(Command::Publish), kRules, MakeEnvironment());
  EXPECT_EQ(result.m_code, ExitCode::Unknown);
  EXPECT_NE(result.m_err.find("repeat the same command"), std::string::npos);
}

// Guards against a comparison with anything other than the rules in force.
TEST_F(CliCommandsTest, Diff_AgainstRulesInForce_PrintsTheChanges)
{
  m_answer = HttpReply{ 200, { { "x-revision", "7" } }, std::string{ kRules } };
  EXPECT_EQ(DiffAgainstActiveRules(Make(Command::Diff), kRules, MakeEnvironment()).m_out,
            "no changes against revision 7\n");
  m_answer = HttpReply{ 200, { { "x-revision", "0" } }, "" };
  const auto first = DiffAgainstActiveRules(Make(Command::Diff), kRules, MakeEnvironment());
  EXPECT_EQ(first.m_code, ExitCode::Ok);
  EXPECT_EQ(first.m_out.find("changes against revision 0\nadded pool.admin"), 0U);
  const auto json = nlohmann::json::parse(
    DiffAgainstActiveRules(Make(Command::Diff, true), kRules, MakeEnvironment()).m_out);
  EXPECT_EQ(json["changes"][0]["after"]["requester"], "Ann");
}

// Guards against a reply without revision, such as one of a proxy, that counts as "no rules".
TEST_F(CliCommandsTest, Diff_WithoutRevisionHeader_IsUnreachable)
{
  m_answer = HttpReply{ 200, {}, "" };
  EXPECT_EQ(DiffAgainstActiveRules(Make(Command::Diff), kRules, MakeEnvironment()).m_code,
            ExitCode::Unreachable);
}

// Guards against exit codes that differ between the commands.
TEST_F(CliCommandsTest, Queries_WithoutEntry_AreUnreachable)
{
  for (const auto command : { Command::Who, Command::Status, Command::Job }) {
    EXPECT_EQ(RunCommand(Make(command), MakeEnvironment()).m_code, ExitCode::Unreachable);
  }
}

// Guards against a query for the wrong tenant, and against "not found" as success.
TEST_F(CliCommandsTest, Job_WhenNotFound_IsRefused)
{
  m_answer = HttpReply{ 404, {}, R"({"kind":"unknown-job","cause":"c","remedy":"r"})" };
  const auto result = RunCommand(Make(Command::Job, true), MakeEnvironment());
  EXPECT_EQ(result.m_code, ExitCode::Refused);
  EXPECT_EQ(nlohmann::json::parse(result.m_out)["kind"], "unknown-job");
  EXPECT_EQ(m_requests.at(0).m_headers.at(0), "X-Tenant: tupelo");
}

} // namespace
} // namespace pistachiostand
