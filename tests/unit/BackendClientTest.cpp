#include "pistachiostand/connection/BackendClient.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

class BackendClientTest : public ::testing::Test
{
protected:
  BackendClientTest()
  {
    m_request.m_requestId = "r-1";
    m_request.m_taskControl = TaskControl::Full;
  }

  static ClientResponse Response(std::uint16_t aStatus, HttpHeaders aHeaders,
                                 std::string aBody = "ok")
  {
    return { std::nullopt, aStatus, std::move(aHeaders), std::move(aBody) };
  }

  static ClientResponse Json(std::string aBody, std::uint16_t aStatus = 200)
  {
    return Response(aStatus, {}, std::move(aBody));
  }

  [[nodiscard]] RunResult Classify(ClientResponse aResponse) const
  {
    return ClassifyRun(m_request, std::move(aResponse)).m_result;
  }

  RunRequest m_request;
};

// Guards against a complete response of which a part is lost.
TEST_F(BackendClientTest, ClassifyRun_OfCompleteResponse_KeepsAllParts)
{
  const auto outcome =
    ClassifyRun(m_request, Response(201, { { "x-request-id", "r-1" }, { "x-load", "3/8" } }));
  EXPECT_EQ(outcome.m_result, RunResult::Completed);
  EXPECT_EQ(outcome.m_status, 201);
  EXPECT_EQ(outcome.m_body, "ok");
  EXPECT_EQ(outcome.m_usedSlots, 3U);
}

// Guards against a response that reaches the caller of another request.
TEST_F(BackendClientTest, ClassifyRun_WithCrossedId_IsBroken)
{
  const HttpHeaders crossed{ { "x-request-id", "r-2" } };
  const auto outcome = ClassifyRun(m_request, Response(200, crossed));
  EXPECT_EQ(outcome.m_result, RunResult::Broken);
  EXPECT_TRUE(outcome.m_body.empty());
  m_request.m_taskControl = TaskControl::None;
  EXPECT_EQ(Classify(Response(200, crossed)), RunResult::Broken);
}

// Guards against accepting a refusal that belongs to another request.
TEST_F(BackendClientTest, ClassifyRun_OfRefusalWithCrossedId_IsBroken)
{
  EXPECT_EQ(Classify(Response(503, { { "x-request-id", "r-2" }, { "x-not-run", "full" } })),
            RunResult::Broken);
}

// Guards against accepting a response without the id from a server that must return it, and against
// rejecting one from a server without task control.
TEST_F(BackendClientTest, ClassifyRun_WithoutId_DependsOnTaskControl)
{
  EXPECT_EQ(Classify(Response(200, {})), RunResult::Broken);
  m_request.m_taskControl = TaskControl::None;
  EXPECT_EQ(Classify(Response(200, {})), RunResult::Completed);
}

// Guards against a failed transfer that is treated as a response or as a request never sent.
TEST_F(BackendClientTest, ClassifyRun_OfFailedTransfer_ReturnsWhatIsKnown)
{
  const auto classify = [this](TransferFailure aFailure) {
    ClientResponse response = Response(200, { { "x-request-id", "r-1" } }, "half");
    response.m_failure = aFailure;
    const auto outcome = ClassifyRun(m_request, std::move(response));
    EXPECT_TRUE(outcome.m_body.empty());
    return outcome.m_result;
  };
  EXPECT_EQ(classify(TransferFailure::Truncated), RunResult::Broken);
  EXPECT_EQ(classify(TransferFailure::Broken), RunResult::Broken);
  EXPECT_EQ(classify(TransferFailure::Timeout), RunResult::Timeout);
  EXPECT_EQ(classify(TransferFailure::NotSent), RunResult::NotSent);
}

// Guards against a refusal that counts as a failure, after which the job could not be given back.
TEST_F(BackendClientTest, ClassifyRun_OfRefusal_IsNotRun)
{
  const auto refusal = [](std::uint16_t aStatus, const char* aWhy) {
    return Response(aStatus, { { "x-request-id", "r-1" }, { "x-not-run", aWhy } });
  };
  EXPECT_EQ(Classify(refusal(503, "full")), RunResult::Full);
  for (const char* why : { "stale", "late", "stopped", "leaving" }) {
    EXPECT_EQ(Classify(refusal(409, why)), RunResult::Refused) << why;
    EXPECT_EQ(Classify(refusal(503, why)), RunResult::Refused) << why;
  }
}

// Guards against "not run" for a request whose response contradicts itself.
TEST_F(BackendClientTest, ClassifyRun_OfRefusalWithAnotherStatus_IsBroken)
{
  for (const std::uint16_t status : { 200, 404, 500 }) {
    EXPECT_EQ(Classify(Response(status, { { "x-request-id", "r-1" }, { "x-not-run", "full" } })),
              RunResult::Broken)
      << status;
  }
}

// Guards against "not run" because of a reason that the protocol does not define.
TEST_F(BackendClientTest, ClassifyRun_OfRefusalWithUnknownReason_IsBroken)
{
  EXPECT_EQ(Classify(Response(503, { { "x-request-id", "r-1" }, { "x-not-run", "perhaps" } })),
            RunResult::Broken);
}

// Guards against a failed run that counts as completed or as not run.
TEST_F(BackendClientTest, ClassifyRun_OfServerError_IsFailed)
{
  const HttpHeaders headers{ { "x-request-id", "r-1" } };
  EXPECT_EQ(Classify(Response(500, headers)), RunResult::Failed);
  EXPECT_EQ(Classify(Response(503, headers)), RunResult::Failed);
  EXPECT_EQ(Classify(Response(499, headers)), RunResult::Completed);
}

// Guards against a load that is guessed from a malformed header.
TEST_F(BackendClientTest, ClassifyRun_WithMalformedLoad_ReportsNone)
{
  for (const char* load : { "", "3", "x/8", "/8", "3x/8", "-1/8", "99999999999/8" }) {
    const auto outcome =
      ClassifyRun(m_request, Response(200, { { "x-request-id", "r-1" }, { "x-load", load } }));
    EXPECT_EQ(outcome.m_result, RunResult::Completed) << load;
    EXPECT_EQ(outcome.m_usedSlots, std::nullopt) << load;
  }
}

// Guards against a job that is given back because of an inconclusive response to a stop.
TEST_F(BackendClientTest, ParseStop_OfEachState_SaysWhatIsProved)
{
  const auto parse = [](const char* aState) {
    return ParseStop(Json(std::string{ R"({"boot_id":"b1","state":")" } + aState + "\"}"), "b1");
  };
  EXPECT_EQ(parse("never-started")->m_state, TaskState::NeverStarted);
  EXPECT_EQ(parse("stopped")->m_state, TaskState::Stopped);
  EXPECT_EQ(parse("completed")->m_state, TaskState::Completed);
  EXPECT_EQ(parse("running"), std::nullopt);
  EXPECT_EQ(parse("asleep"), std::nullopt);
}

// Guards against "never started" from a server that lost its record of the attempt in a reboot.
TEST_F(BackendClientTest, ParseStop_OfAnotherBoot_ProvesOnlyTheEnd)
{
  const auto outcome = ParseStop(Json(R"({"boot_id":"b2","state":"never-started"})"), "b1");
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->m_state, TaskState::OtherBoot);
  EXPECT_EQ(ParseStop(Json(R"({"state":"never-started"})"), "b1"), std::nullopt);
}

// Guards against an outcome that is read from an unusable response.
TEST_F(BackendClientTest, ParseStop_OfUnusableResponse_IsNothing)
{
  for (const char* body : { "", "{", "[]", "null", R"({"boot_id":1,"state":"stopped"})" }) {
    EXPECT_EQ(ParseStop(Json(body), "b1"), std::nullopt) << body;
  }
  EXPECT_EQ(ParseStop(Json(R"({"boot_id":"b1","state":"stopped"})", 500), "b1"), std::nullopt);
}

// Guards against the outcome of one attempt being used for another.
TEST_F(BackendClientTest, ParseTaskOf_OfAnotherAttempt_SaysNeverStarted)
{
  const auto body = Json(R"({"attempt":"2","state":"completed","status":201,"body":"x"})");
  EXPECT_EQ(ParseTaskOf(body, 1)->m_state, TaskState::NeverStarted);
  const auto own = ParseTaskOf(body, 2);
  ASSERT_TRUE(own);
  EXPECT_EQ(own->m_state, TaskState::Completed);
  EXPECT_EQ(own->m_status, 201);
  EXPECT_EQ(own->m_body, "x");
}

// Guards against a task that counts as unknown to the server although there was no usable response.
TEST_F(BackendClientTest, ParseTaskOf_OfUnusableResponse_IsNothing)
{
  EXPECT_EQ(ParseTaskOf(Json("", 404), 1)->m_state, TaskState::NeverStarted);
  EXPECT_EQ(ParseTaskOf(Json("{}", 500), 1), std::nullopt);
  EXPECT_EQ(ParseTaskOf(Json("[]"), 1), std::nullopt);
  auto lost = Json("", 404);
  lost.m_failure = TransferFailure::Truncated;
  EXPECT_EQ(ParseTaskOf(lost, 1), std::nullopt);
}

// Guards against a server that becomes usable because of a status response of another program.
TEST_F(BackendClientTest, ParseStatus_OfUnusableResponse_IsNothing)
{
  const auto status = ParseStatus(
    Json(R"({"pool":"p","boot_id":"b1","slots":8,"used":1,"leaving":true,"now_ms":5})"));
  ASSERT_TRUE(status);
  EXPECT_EQ(status->m_bootId, "b1");
  EXPECT_EQ(status->m_used, 1U);
  EXPECT_TRUE(status->m_leaving);
  for (const char* body : { "", "[]", R"({"boot_id":7})", R"({"boot_id":"b1","slots":"8"})" }) {
    EXPECT_FALSE(ParseStatus(Json(body))) << body;
  }
  EXPECT_FALSE(ParseStatus(Json("{}", 503)));
}

} // namespace
} // namespace pistachiostand
