#include "cli/Replies.h"

#include "cli/Report.h"
#include "pistachiostand/base/Base64.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

class CliRepliesTest : public ::testing::Test
{
protected:
  static HttpReply Ok(std::string aBody) { return { 200, {}, std::move(aBody) }; }

  static constexpr const char* kStatus =
    R"({"entry":"e1","zone":"a","ready":true,"revision":7,"offset":120,"confirmed_age_ms":40,
    "pools":[{"name":"web","promised":4,"min_available":3,"serving":3,"leaving":1,"failed":0,
    "spare":false}],"instances":[{"id":"i2","pool":"web","phase":"leaving","zone":"a","rack":"r1",
    "epoch":3,"target":"admin"},{"id":"i1","pool":"web","phase":"serving","zone":"a","rack":"r1",
    "epoch":1,"target":""}],"entries":[{"id":"e2","zone":"b","revision":6,"offset":119,
    "alive":false}],"jobs":{"queued":1,"claimed":2,"completed":3,"stopped":4,"not_run":5}})";
};

// Guards against a field that is read from another field or not printed.
TEST_F(CliRepliesTest, Status_WithAllFields_IsPrinted)
{
  const auto status = ReadStatus(Ok(kStatus));
  ASSERT_TRUE(status);
  EXPECT_EQ(StatusText(*status),
            "entry e1 in zone a: ready, revision 7, offset 120, view confirmed 40 ms ago\n"
            "\n"
            "POOL  PROMISED  MIN  SERVING  LEAVING  FAILED  SPARE\n"
            "web   4         3    3        1        0       no\n"
            "\n"
            "ENTRY  ZONE  REVISION  OFFSET  ALIVE\n"
            "e2     b     6         119     no\n"
            "\n"
            "INSTANCE  POOL  PHASE    ZONE  RACK  EPOCH  TARGET\n"
            "i1        web   serving  a     r1    1\n"
            "i2        web   leaving  a     r1    3      admin\n"
            "\n"
            "jobs: 1 queued, 2 claimed, 3 completed, 4 stopped, 5 not run\n");
}

// Guards against showing zeros for the missing parts of a status.
TEST_F(CliRepliesTest, Status_WithMissingOrWrongFields_IsNoValue)
{
  EXPECT_FALSE(ReadStatus(Ok("")));
  EXPECT_FALSE(ReadStatus(Ok("[]")));
  EXPECT_FALSE(ReadStatus(Ok(std::string{ kStatus }.substr(0, 200))));
  auto json = nlohmann::json::parse(kStatus);
  json["pools"] = 5;
  EXPECT_FALSE(ReadStatus(Ok(json.dump())));
  json = nlohmann::json::parse(kStatus);
  json["jobs"].erase("not_run");
  EXPECT_FALSE(ReadStatus(Ok(json.dump())));
}

// Guards against a rule that cannot be traced to person, revision and time.
TEST_F(CliRepliesTest, Provenance_WithAllFields_NamesPersonRevisionAndTime)
{
  const auto provenance =
    ReadProvenance(Ok(R"({"rule":"pool.web","requester":"Ann","reason":"shop","line":"pool.web",
      "revision":7,"author":"Bo","time_ms":1773040500000})"));
  ASSERT_TRUE(provenance);
  EXPECT_EQ(ProvenanceText(*provenance), "pool.web\n"
                                         "  requested by  Ann\n"
                                         "  reason        shop\n"
                                         "  revision      7\n"
                                         "  published by  Bo\n"
                                         "  published at  2026-03-09 07:15:00 UTC\n"
                                         "  line          pool.web\n");
}

// Guards against an exception on a time that cannot be converted to a date.
TEST_F(CliRepliesTest, Time_OutsideTheCalendar_IsPrintedAsNumber)
{
  EXPECT_EQ(TimeText(-1), "-1 ms");
  EXPECT_EQ(TimeText(253'402'300'800'000), "253402300800000 ms");
  EXPECT_EQ(TimeText(0), "1970-01-01 00:00:00 UTC");
}

// Guards against a body that is printed encoded, or with control sequences for the terminal.
TEST_F(CliRepliesTest, Job_Body_IsDecodedAndPrintedOnlyWhenPrintable)
{
  const auto job = [](const std::string& aBody) {
    return ReadJob(Ok(R"({"key":"k1","outcome":"completed","phase":"completed","attempt":1,
      "status":200,"body":")" +
                      aBody + R"(","body_kept":true})"));
  };
  ASSERT_TRUE(job("aGVsbG8="));
  EXPECT_NE(JobText(*job("aGVsbG8=")).find("5 bytes\nhello"), std::string::npos);
  EXPECT_EQ(JobText(*job("G1sy")).find('\x1b'), std::string::npos);
  EXPECT_FALSE(job("aGVsbG8"));
}

// Guards against accepting damaged base64.
TEST_F(CliRepliesTest, Base64_WithAllLengths_IsDecoded)
{
  EXPECT_EQ(DecodeBase64(""), "");
  EXPECT_EQ(DecodeBase64("Zg=="), "f");
  EXPECT_EQ(DecodeBase64("Zm8="), "fo");
  EXPECT_EQ(DecodeBase64("Zm9v"), "foo");
  EXPECT_FALSE(DecodeBase64("Zg="));
  EXPECT_FALSE(DecodeBase64("Z==="));
  EXPECT_FALSE(DecodeBase64("Zg=v"));
  EXPECT_FALSE(DecodeBase64("Zm9*"));
}

// Guards against losing the lines of a refused rule file.
TEST_F(CliRepliesTest, Failure_OfInvalidRules_IsPrintedByFileLineAndColumn)
{
  const auto failure = ReadFailure({ 422, {}, R"({"kind":"invalid-rules","cause":"1 error",
    "remedy":"correct it","reasons":[{"kind":"bad-value","cause":"c","remedy":"r","line":3,
    "column":5}]})" });
  const auto text = FailureResult(failure, "r.toml", false);
  EXPECT_EQ(text.m_code, ExitCode::Refused);
  EXPECT_EQ(text.m_err, "pistachiostand: invalid-rules: 1 error; correct it\n"
                        "r.toml:3:5: bad-value: c; r\n");
  const auto json = nlohmann::json::parse(FailureResult(failure, "r.toml", true).m_out);
  EXPECT_EQ(json["result"], "refused");
  EXPECT_EQ(json["reasons"][0]["line"], 3);
}

// Guards against a script that reads "unknown" from the command line tool as the outcome of a job.
TEST_F(CliRepliesTest, Failure_AsJson_HasNoOutcomeKey)
{
  const Failure failure{ .m_code = ExitCode::Unreachable };
  const auto json = nlohmann::json::parse(FailureResult(failure, {}, true).m_out);
  EXPECT_EQ(json["result"], "unreachable");
  EXPECT_FALSE(json.contains("outcome"));
}

// Guards against an empty message when something other than a daemon responds.
TEST_F(CliRepliesTest, Failure_WithoutExplanation_NamesTheStatus)
{
  EXPECT_EQ(ReadFailure({ 418, {}, "<html>" }).m_kind, "http-status");
}

// Guards against a rule name that is truncated or altered in a request path.
TEST_F(CliRepliesTest, Request_Paths_AreEncoded)
{
  EXPECT_EQ(ProvenanceRequest("pool.a/b c").m_path, "/v1/provenance/pool.a%2Fb%20c");
  EXPECT_EQ(ProvenanceRequest("caf\xc3\xa9").m_path, "/v1/provenance/caf%C3%A9");
  EXPECT_EQ(PublishRequest(1, "A&base=2", "").m_path, "/v1/rules?base=1&author=A%26base%3D2");
  EXPECT_EQ(JobRequest("k?", "t").m_path, "/v1/jobs/k%3F");
  EXPECT_EQ(JobRequest("k", "t").m_headers, std::vector<std::string>{ "X-Tenant: t" });
}

} // namespace
} // namespace pistachiostand
