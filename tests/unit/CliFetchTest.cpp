#include "cli/Fetch.h"

#include <gtest/gtest.h>

#include <deque>

namespace pistachiostand {
namespace {

const TransportError kRefusedConnection{ false, "connection refused" };
const TransportError kLostReply{ true, "timeout" };

HttpReply Reply(int aStatus, std::string aBody)
{
  return { aStatus, {}, std::move(aBody) };
}

/// Returns results from a list and repeats the last one. Every exchange advances a virtual clock.
class CliFetchTest : public ::testing::Test
{
protected:
  Environment MakeEnvironment()
  {
    return { [this](const Endpoint& aEntry, const CommandRequest& aRequest, Millis aTimeoutMs) {
              m_asked.push_back(aEntry.m_port);
              m_paths.push_back(aRequest.m_path + '\n' + aRequest.m_body);
              m_timeouts.push_back(aTimeoutMs);
              m_now += m_exchangeMs;
              auto current = m_results.front();
              if (m_results.size() > 1) {
                m_results.pop_front();
              }
              return current;
            },
             [this] { return m_now; }, [this](Millis aPauseMs) { m_now += aPauseMs; } };
  }

  FetchResult Get()
  {
    return Fetch(MakeEnvironment(), m_entries, StatusRequest(), 1000,
                 [](const HttpReply& aReply) { return aReply.m_body == "whole"; });
  }

  FetchResult Publish()
  {
    return SendPublish(MakeEnvironment(), m_entries, PublishRequest(7, "Ann Lee", "text"), 1000);
  }

  static ExitCode CodeOf(const FetchResult& aResult)
  {
    const auto* failure = std::get_if<Failure>(&aResult);
    return failure == nullptr ? ExitCode::Ok : failure->m_code;
  }

  std::vector<Endpoint> m_entries{ { "127.0.0.1", 1 }, { "127.0.0.1", 2 } };
  std::deque<TransportResult> m_results;
  std::vector<std::uint16_t> m_asked;
  std::vector<std::string> m_paths;
  std::vector<Millis> m_timeouts;
  Millis m_now{ 5000 };
  Millis m_exchangeMs{ 10 };
};

// Guards against a failed query although another entry instance responds.
TEST_F(CliFetchTest, Get_WhenFirstEntryFails_AsksTheNext)
{
  m_results = { kLostReply, Reply(200, "whole") };
  EXPECT_EQ(CodeOf(Get()), ExitCode::Ok);
  EXPECT_EQ(m_asked, (std::vector<std::uint16_t>{ 1, 2 }));
  EXPECT_EQ(m_timeouts.front(), 500) << "the first entry instance used the time of the second";
}

// Guards against printing a truncated reply as if it were complete.
TEST_F(CliFetchTest, Get_WithIncompleteReply_AsksTheNext)
{
  m_results = { Reply(200, "who"), Reply(503, "{}"), Reply(200, "whole") };
  EXPECT_EQ(CodeOf(Get()), ExitCode::Unreachable);
  EXPECT_EQ(m_asked.size(), 2U);
}

// Guards against querying further entry instances after a final response such as "not found".
TEST_F(CliFetchTest, Get_WithRefusal_IsFinal)
{
  m_results = { Reply(404, R"({"kind":"unknown-rule","cause":"c","remedy":"r"})") };
  const auto result = Get();
  EXPECT_EQ(CodeOf(result), ExitCode::Refused);
  EXPECT_EQ(std::get<Failure>(result).m_kind, "unknown-rule");
  EXPECT_EQ(m_asked.size(), 1U);
}

// Guards against reporting an accepted publish as failed because its reply was lost, and against a
// repeat that differs from the first, which the log would count as another publish.
TEST_F(CliFetchTest, Publish_WithLostReply_IsRepeatedUnchanged)
{
  m_results = { kLostReply, Reply(200, R"({"revision":8})") };
  EXPECT_EQ(CodeOf(Publish()), ExitCode::Ok);
  ASSERT_EQ(m_paths.size(), 2U);
  EXPECT_EQ(m_paths[0], m_paths[1]);
  EXPECT_EQ(m_paths[0], "/v1/rules?base=7&author=Ann%20Lee\ntext");
}

// Guards against reporting an outcome that is not known.
TEST_F(CliFetchTest, Publish_WhoseReplyStaysLost_IsUnknownAfterTheTimeout)
{
  m_results = { kLostReply };
  EXPECT_EQ(CodeOf(Publish()), ExitCode::Unknown);
  EXPECT_GE(m_asked.size(), 4U);
  EXPECT_GE(m_now, 6000);
  EXPECT_LE(m_now, 6200);
}

// Guards against exit code 3, "nothing was changed", after one entry instance received the request.
TEST_F(CliFetchTest, Publish_LostAndThenUnreachable_IsUnknown)
{
  m_results = { kLostReply, kRefusedConnection };
  EXPECT_EQ(CodeOf(Publish()), ExitCode::Unknown);
}

// Guards against waiting for the whole timeout, or returning code 4, when nothing was sent.
TEST_F(CliFetchTest, Publish_WithoutAnyConnection_IsUnreachableAfterOneRound)
{
  m_results = { kRefusedConnection };
  EXPECT_EQ(CodeOf(Publish()), ExitCode::Unreachable);
  EXPECT_EQ(m_asked.size(), 2U);
}

// Guards against treating 503 as "not published": the daemon may have appended the record.
TEST_F(CliFetchTest, Publish_WithServerError_IsRepeatedAndThenUnknown)
{
  m_results = { Reply(503, R"({"kind":"unavailable","cause":"no platform","remedy":"r"})") };
  const auto result = Publish();
  EXPECT_EQ(CodeOf(result), ExitCode::Unknown);
  EXPECT_NE(std::get<Failure>(result).m_cause.find("no platform"), std::string::npos);
  EXPECT_GE(m_asked.size(), 4U);
}

// Guards against repeating a publish that was refused.
TEST_F(CliFetchTest, Publish_WithStaleBase_IsRefusedWithTheCurrentRevision)
{
  m_results = { Reply(409, R"({"kind":"stale-base","revision":9,"cause":"c","remedy":"r"})") };
  const auto result = Publish();
  EXPECT_EQ(CodeOf(result), ExitCode::Refused);
  EXPECT_EQ(std::get<Failure>(result).m_revision, Revision{ 9 });
  EXPECT_EQ(m_asked.size(), 1U);
}

// Guards against treating the 404 of a wrong service as the result of a publish that was sent.
TEST_F(CliFetchTest, Publish_LostAndThenNotFound_IsUnknown)
{
  m_results = { kLostReply, Reply(404, "") };
  EXPECT_EQ(CodeOf(Publish()), ExitCode::Unknown);
}

// Guards against a truncated success that is printed as revision 0.
TEST_F(CliFetchTest, Publish_WithIncompleteSuccess_IsRepeated)
{
  m_results = { Reply(200, R"({"revi)"), Reply(200, R"({"revision":8})") };
  EXPECT_EQ(CodeOf(Publish()), ExitCode::Ok);
  EXPECT_EQ(m_asked.size(), 2U);
}

} // namespace
} // namespace pistachiostand
