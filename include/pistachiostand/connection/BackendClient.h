#pragma once

#include "pistachiostand/connection/HttpClient.h"
#include "pistachiostand/process/FleetState.h"

#include <functional>
#include <optional>
#include <string>

/// \file
/// \brief Requests to backend servers, and what their responses prove.

namespace pistachiostand {

/// \brief Identifies an attempt of a job, so that the server can refuse an older attempt or one
/// that arrives too late to start.
struct JobDispatch
{
  JobKey m_key;
  std::uint32_t m_attempt{};
  Millis m_startBeforeMs{}; ///< Latest start, on the server's clock; negative: unknown.

  friend auto operator<=>(const JobDispatch&, const JobDispatch&) = default;
};

struct RunRequest
{
  std::string m_requestId;
  TenantName m_tenant;
  ServiceName m_service;
  PoolName m_pool;
  BootId m_bootId;
  std::string m_address;
  std::string m_body;
  HttpHeaders m_passedHeaders; ///< Headers of the caller that are forwarded to the service.
  Millis m_timeoutMs{};
  TaskControl m_taskControl{};
  std::optional<JobDispatch> m_job;
};

/// \brief What a response proves about the request.
enum class RunResult : std::uint8_t
{
  Completed, ///< A complete response to this request.
  NotSent,   ///< No byte left this process.
  Full,      ///< Refused before the start: no free slot.
  Refused,   ///< Refused before the start: leaving, stale, late or stopped.
  Failed,    ///< The server responded with a 5xx status: the run started and failed.
  Broken,    ///< No usable response: truncated, mismatched, or the connection failed.
  Timeout,
};

[[nodiscard]] std::string_view ToString(RunResult aResult) noexcept;

struct RunOutcome
{
  RunResult m_result{};
  std::string m_detail; ///< Reason for a refusal, or what was wrong with the response.
  std::uint16_t m_status{};
  HttpHeaders m_headers;
  std::string m_body;
  std::optional<std::uint32_t> m_usedSlots; ///< From `X-Load`.
};

/// \brief State of a task: an attempt of a job as its backend server knows it. Never `Running` in a
/// response to Stop().
enum class TaskState : std::uint8_t
{
  NeverStarted,
  Running,
  Stopped,
  Completed,
  OtherBoot, ///< The server has rebooted since the claim; its earlier tasks have ended.
};

struct TaskOutcome
{
  TaskState m_state{};
  std::uint16_t m_status{};
  std::string m_body;
};

struct ServerStatus
{
  PoolName m_pool;
  BootId m_bootId;
  std::uint32_t m_slots{};
  std::uint32_t m_used{};
  bool m_leaving{};
  Millis m_nowMs{}; ///< The server's own clock.
};

class BackendClient
{
public:
  explicit BackendClient(HttpClient& aHttp) noexcept;

  void Run(const RunRequest& aRequest, std::function<void(RunOutcome)> aDone);

  /// \brief Stops an attempt; the server remembers it for later dispatches of the same attempt.
  void Stop(const std::string& aAddress, const JobKey& aKey, std::uint32_t aAttempt,
            const BootId& aBoot, std::function<void(std::optional<TaskOutcome>)> aDone);

  /// \brief Reads the state of an attempt. `NeverStarted` is not final here: a late dispatch may
  /// follow.
  void GetTask(const std::string& aAddress, const JobKey& aKey, std::uint32_t aAttempt,
               std::function<void(std::optional<TaskOutcome>)> aDone);

  void GetStatus(const std::string& aAddress, Millis aTimeoutMs,
                 std::function<void(std::optional<ServerStatus>)> aDone);

private:
  HttpClient& m_http;
};

/// \brief Classifies a response to Run().
[[nodiscard]] RunOutcome ClassifyRun(const RunRequest& aRequest, ClientResponse aResponse);

/// \brief Reads a response to Stop(); nothing when it is inconclusive.
[[nodiscard]] std::optional<TaskOutcome> ParseStop(const ClientResponse& aResponse,
                                                   const BootId& aBoot);

/// \brief Reads a response to GetTask(); nothing when it is unusable.
[[nodiscard]] std::optional<TaskOutcome> ParseTaskOf(const ClientResponse& aResponse,
                                                     std::uint32_t aAttempt);

/// \brief Reads a response to GetStatus(); nothing when it is unusable.
[[nodiscard]] std::optional<ServerStatus> ParseStatus(const ClientResponse& aResponse);

} // namespace pistachiostand
