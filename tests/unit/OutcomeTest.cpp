#include "pistachiostand/request/Outcome.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace pistachiostand {
namespace {

class OutcomeTest : public ::testing::Test
{
protected:
  OutcomeNotice m_notice{ OutcomeKind::NotRun, 503,   "overload", "the service is overloaded",
                          "repeat it",         "r-1", 0,          {} };
};

// Guards against names in X-Outcome that callers do not know.
TEST_F(OutcomeTest, ToString_OfEachKind_IsStable)
{
  EXPECT_EQ(ToString(OutcomeKind::Completed), "completed");
  EXPECT_EQ(ToString(OutcomeKind::NotRun), "not-run");
  EXPECT_EQ(ToString(OutcomeKind::Unknown), "unknown");
  EXPECT_EQ(ToString(OutcomeKind::Stopped), "stopped");
}

// Guards against an error body that callers cannot parse.
TEST_F(OutcomeTest, ToResponse_OfNotice_HoldsAllFields)
{
  const auto response = ToResponse(m_notice);
  EXPECT_EQ(response.m_status, 503);
  EXPECT_EQ(FindHeader(response.m_headers, "x-outcome"), "not-run");
  EXPECT_EQ(FindHeader(response.m_headers, "x-request-id"), "r-1");
  EXPECT_EQ(FindHeader(response.m_headers, "content-type"), "application/json");
  EXPECT_EQ(nlohmann::json::parse(response.m_body),
            (nlohmann::json{ { "outcome", "not-run" },
                             { "kind", "overload" },
                             { "cause", "the service is overloaded" },
                             { "remedy", "repeat it" },
                             { "request_id", "r-1" } }));
  EXPECT_FALSE(response.m_headers.contains("retry-after"));
  EXPECT_FALSE(response.m_headers.contains("location"));
}

// Guards against immediate retries by callers because a fraction of a second was rounded to 0.
TEST_F(OutcomeTest, ToResponse_WithRetryAfter_RoundsUpToSeconds)
{
  m_notice.m_retryAfterMs = 1;
  EXPECT_EQ(FindHeader(ToResponse(m_notice).m_headers, "retry-after"), "1");
  m_notice.m_retryAfterMs = 1'000;
  EXPECT_EQ(FindHeader(ToResponse(m_notice).m_headers, "retry-after"), "1");
  m_notice.m_retryAfterMs = 1'001;
  EXPECT_EQ(FindHeader(ToResponse(m_notice).m_headers, "retry-after"), "2");
}

// Guards against an unknown outcome whose response lacks the location to query.
TEST_F(OutcomeTest, ToResponse_WithLocation_NamesIt)
{
  m_notice.m_location = "/v1/jobs/k";
  EXPECT_EQ(FindHeader(ToResponse(m_notice).m_headers, "location"), "/v1/jobs/k");
}

// Guards against an exception, and thus no response, because of bytes from a server or caller.
TEST_F(OutcomeTest, ToResponse_WithInvalidUtf8_StaysValidJson)
{
  m_notice.m_cause = "bad \xff byte";
  EXPECT_TRUE(nlohmann::json::accept(ToResponse(m_notice).m_body));
}

// Guards against altering the response of a backend server.
TEST_F(OutcomeTest, CompletedResponse_OfBody_KeepsItAsItIs)
{
  const std::string body{ "a\0b\xff", 4 };
  const auto response = CompletedResponse(
    201, body, { { "content-type", "text/plain" }, { "x-outcome", "stopped" } }, "r-1");
  EXPECT_EQ(response.m_status, 201);
  EXPECT_EQ(response.m_body, body);
  EXPECT_EQ(FindHeader(response.m_headers, "x-outcome"), "completed");
  EXPECT_EQ(FindHeader(response.m_headers, "content-type"), "text/plain");
  EXPECT_EQ(FindHeader(response.m_headers, "x-request-id"), "r-1");
  EXPECT_TRUE(FindHeader(CompletedResponse(200, "", {}, "r").m_headers, "content-type").empty());
}

// Guards against names with characters that separate the parts of a header, a path or a key.
TEST_F(OutcomeTest, IsToken_OfUnsafeText_IsFalse)
{
  EXPECT_TRUE(IsToken("aZ09._:-"));
  EXPECT_TRUE(IsToken(std::string(128, 'a')));
  EXPECT_FALSE(IsToken(std::string(129, 'a')));
  for (const char* text : { "", " ", "a b", "a/b", "a\r\n", "a%20", "\xc3\xa9", "a\"b" }) {
    EXPECT_FALSE(IsToken(text)) << text;
  }
  EXPECT_FALSE(IsToken({ "a\0", 2 }));
}

} // namespace
} // namespace pistachiostand
