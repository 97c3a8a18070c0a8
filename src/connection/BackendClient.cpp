#include "pistachiostand/connection/BackendClient.h"

#include "JsonResponse.h"
#include "pistachiostand/base/PercentCoding.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace pistachiostand {

namespace {

using Json = nlohmann::json;

constexpr Millis kControlTimeoutMs = 2'000;
constexpr Millis kConnectTimeoutMs = 1'000;

std::optional<std::uint32_t> ParseUsed(std::string_view aLoad)
{
  std::uint32_t used = 0;
  const auto slash = aLoad.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto parsed = std::from_chars(aLoad.data(), aLoad.data() + slash, used);
  const bool valid = parsed.ec == std::errc{} && parsed.ptr == aLoad.data() + slash;
  return valid ? std::optional{ used } : std::nullopt;
}

RunOutcome Failure(RunResult aResult, std::string_view aDetail)
{
  RunOutcome outcome;
  outcome.m_result = aResult;
  outcome.m_detail = aDetail;
  return outcome;
}

RunOutcome FailureOf(TransferFailure aFailure)
{
  switch (aFailure) {
    case TransferFailure::NotSent:
      return Failure(RunResult::NotSent, "the server cannot be reached");
    case TransferFailure::Timeout:
      return Failure(RunResult::Timeout, "no response in time");
    case TransferFailure::Truncated:
      return Failure(RunResult::Broken, "the response was truncated");
    case TransferFailure::Broken:
      break;
  }
  return Failure(RunResult::Broken, "the connection failed");
}

/// \brief True when the response has the id of another request, or none although the server has
/// full task control (TaskControl in Rules.h); a server without it may omit the id.
bool IsMismatched(const RunRequest& aRequest, const ClientResponse& aResponse)
{
  const auto id = FindHeader(aResponse.m_headers, "x-request-id");
  return id.empty() ? aRequest.m_taskControl == TaskControl::Full : id != aRequest.m_requestId;
}

/// \brief A refusal counts as "not run" only if its status is 409 or 503 and `x-not-run` holds a
/// known reason.
RunResult RefusalOf(std::uint16_t aStatus, std::string_view aNotRun)
{
  constexpr std::array<std::string_view, 4> kReasons{ "stale", "late", "stopped", "leaving" };
  if (aStatus != 409 && aStatus != 503) {
    return RunResult::Broken;
  }
  if (aNotRun == "full") {
    return RunResult::Full;
  }
  return std::ranges::find(kReasons, aNotRun) != kReasons.end() ? RunResult::Refused
                                                                : RunResult::Broken;
}

RunResult ResultOf(const ClientResponse& aResponse, std::string_view aNotRun)
{
  if (!aNotRun.empty()) {
    return RefusalOf(aResponse.m_status, aNotRun);
  }
  return aResponse.m_status >= 500 ? RunResult::Failed : RunResult::Completed;
}

std::optional<TaskOutcome> ParseTask(const Json& aJson)
{
  const auto state = aJson.at("state").get<std::string>();
  if (state == "never-started") {
    return TaskOutcome{ TaskState::NeverStarted, 0, {} };
  }
  if (state == "running") {
    return TaskOutcome{ TaskState::Running, 0, {} };
  }
  if (state == "stopped") {
    return TaskOutcome{ TaskState::Stopped, 0, {} };
  }
  if (state == "completed") {
    return TaskOutcome{ TaskState::Completed, aJson.value("status", std::uint16_t{ 200 }),
                        aJson.value("body", std::string{}) };
  }
  return std::nullopt;
}

std::string TaskUrl(const std::string& aAddress, const JobKey& aKey)
{
  return "http://" + aAddress + "/tasks/" + PercentEncode(aKey);
}

ClientRequest ControlRequest(std::string aMethod, std::string aUrl, Millis aTimeoutMs)
{
  ClientRequest request;
  request.m_method = std::move(aMethod);
  request.m_url = std::move(aUrl);
  request.m_timeoutMs = aTimeoutMs;
  request.m_connectTimeoutMs = std::min(aTimeoutMs, kConnectTimeoutMs);
  return request;
}

ClientRequest ToClientRequest(const RunRequest& aRequest)
{
  ClientRequest request = ControlRequest(
    "POST", "http://" + aRequest.m_address + "/run/" + PercentEncode(aRequest.m_service),
    aRequest.m_timeoutMs);
  request.m_headers = aRequest.m_passedHeaders;
  SetHeader(request.m_headers, "x-request-id", aRequest.m_requestId);
  SetHeader(request.m_headers, "x-tenant", aRequest.m_tenant);
  SetHeader(request.m_headers, "x-pool", aRequest.m_pool);
  SetHeader(request.m_headers, "x-boot-id", aRequest.m_bootId);
  if (aRequest.m_job) {
    SetHeader(request.m_headers, "x-job-key", aRequest.m_job->m_key);
    SetHeader(request.m_headers, "x-attempt", std::to_string(aRequest.m_job->m_attempt));
    if (aRequest.m_job->m_startBeforeMs >= 0) {
      SetHeader(request.m_headers, "x-start-before-ms",
                std::to_string(aRequest.m_job->m_startBeforeMs));
    }
    request.m_freshConnection = true;
  }
  request.m_body = aRequest.m_body;
  return request;
}

} // namespace

std::string_view ToString(RunResult aResult) noexcept
{
  constexpr std::array<std::string_view, 7> kNames{ "completed", "not-sent", "full",   "refused",
                                                    "failed",    "broken",   "timeout" };
  return kNames.at(static_cast<std::size_t>(aResult));
}

RunOutcome ClassifyRun(const RunRequest& aRequest, ClientResponse aResponse)
{
  if (aResponse.m_failure) {
    return FailureOf(*aResponse.m_failure);
  }
  if (IsMismatched(aRequest, aResponse)) {
    return Failure(RunResult::Broken, "the response belongs to another request");
  }
  const std::string notRun{ FindHeader(aResponse.m_headers, "x-not-run") };
  const RunResult result = ResultOf(aResponse, notRun);
  if (result == RunResult::Broken) {
    return Failure(result, "the response is not a valid refusal");
  }
  RunOutcome outcome;
  outcome.m_result = result;
  outcome.m_detail = notRun;
  outcome.m_status = aResponse.m_status;
  outcome.m_usedSlots = ParseUsed(FindHeader(aResponse.m_headers, "x-load"));
  outcome.m_headers = std::move(aResponse.m_headers);
  outcome.m_body = std::move(aResponse.m_body);
  return outcome;
}

std::optional<TaskOutcome> ParseStop(const ClientResponse& aResponse, const BootId& aBoot)
{
  return internal::ParseJsonResponse(
    aResponse, [&aBoot](const Json& aJson) -> std::optional<TaskOutcome> {
      if (aJson.at("boot_id").get<std::string>() != aBoot) {
        return TaskOutcome{ TaskState::OtherBoot, 0, {} };
      }
      const auto outcome = ParseTask(aJson);
      return outcome && outcome->m_state != TaskState::Running ? outcome : std::nullopt;
    });
}

std::optional<TaskOutcome> ParseTaskOf(const ClientResponse& aResponse, std::uint32_t aAttempt)
{
  if (!aResponse.m_failure && aResponse.m_status == 404) {
    return TaskOutcome{ TaskState::NeverStarted, 0, {} };
  }
  return internal::ParseJsonResponse(
    aResponse, [aAttempt](const Json& aJson) -> std::optional<TaskOutcome> {
      // A task of another attempt shows only that this one did not start there.
      if (aJson.value("attempt", std::string{}) != std::to_string(aAttempt)) {
        return TaskOutcome{ TaskState::NeverStarted, 0, {} };
      }
      return ParseTask(aJson);
    });
}

std::optional<ServerStatus> ParseStatus(const ClientResponse& aResponse)
{
  return internal::ParseJsonResponse(aResponse, [](const Json& aJson) {
    return std::optional{ ServerStatus{
      aJson.value("pool", std::string{}), aJson.value("boot_id", std::string{}),
      aJson.value("slots", 8U), aJson.value("used", 0U), aJson.value("leaving", false),
      aJson.value("now_ms", Millis{}) } };
  });
}

BackendClient::BackendClient(HttpClient& aHttp) noexcept
  : m_http(aHttp)
{
}

void BackendClient::Run(const RunRequest& aRequest, std::function<void(RunOutcome)> aDone)
{
  m_http.Send(ToClientRequest(aRequest),
              [aRequest, done = std::move(aDone)](ClientResponse aResponse) {
                done(ClassifyRun(aRequest, std::move(aResponse)));
              });
}

void BackendClient::Stop(const std::string& aAddress, const JobKey& aKey, std::uint32_t aAttempt,
                         const BootId& aBoot, std::function<void(std::optional<TaskOutcome>)> aDone)
{
  auto request =
    ControlRequest("POST", TaskUrl(aAddress, aKey) + "/stop?attempt=" + std::to_string(aAttempt),
                   kControlTimeoutMs);
  m_http.Send(std::move(request),
              [aBoot, done = std::move(aDone)](const ClientResponse& aResponse) {
                done(ParseStop(aResponse, aBoot));
              });
}

void BackendClient::GetTask(const std::string& aAddress, const JobKey& aKey, std::uint32_t aAttempt,
                            std::function<void(std::optional<TaskOutcome>)> aDone)
{
  m_http.Send(ControlRequest("GET", TaskUrl(aAddress, aKey), kControlTimeoutMs),
              [aAttempt, done = std::move(aDone)](const ClientResponse& aResponse) {
                done(ParseTaskOf(aResponse, aAttempt));
              });
}

void BackendClient::GetStatus(const std::string& aAddress, Millis aTimeoutMs,
                              std::function<void(std::optional<ServerStatus>)> aDone)
{
  m_http.Send(
    ControlRequest("GET", "http://" + aAddress + "/status", aTimeoutMs),
    [done = std::move(aDone)](const ClientResponse& aResponse) { done(ParseStatus(aResponse)); });
}

} // namespace pistachiostand
