#pragma once

#include "Dispatcher.h"
#include "pistachiostand/connection/HttpServer.h"
#include "pistachiostand/request/Outcome.h"

#include <memory>
#include <string>

/// \file
/// \brief An idempotent request: queued, sent, and repeated within the retry budget.

namespace pistachiostand {

/// Assumed until run times are learned; declared ones are far off, so none is asked for.
inline constexpr Millis kDefaultRunMs = 50;
/// Told to callers whose request may be repeated.
inline constexpr Millis kRetryAfterMs = 1'000;

/// \brief A caller's request after it was checked.
struct CallerRequest
{
  std::string m_requestId;
  TenantName m_tenant;
  TenantRule m_tenantRule;
  ServiceName m_service;
  ServiceRule m_serviceRule;
  JobKey m_key; ///< Scoped by tenant; empty for a plain request.
  std::string m_body;
  HttpHeaders m_passedHeaders;
  Millis m_arrivedMs{};
  HttpResponder m_respond;
  /// What a refusal says. A refused question or cancel proves nothing about its job.
  OutcomeKind m_refusedAs{ OutcomeKind::NotRun };

  [[nodiscard]] Millis DeadlineMs() const noexcept
  {
    return m_arrivedMs + m_serviceRule.m_timeoutMs;
  }
};

/// \brief Runs the request and responds exactly once.
void StartPlainCall(Runtime& aRuntime, Dispatcher& aDispatcher, CallerRequest aRequest);

/// \brief Responds to a request that the queues refused.
void RespondRefused(const CallerRequest& aRequest, AdmissionRefusal aRefusal);

/// \brief Responds "not run" with a reason.
void RespondNotRun(const CallerRequest& aRequest, std::string aError, std::string aCause);

/// \brief The queue entry of a caller's request.
[[nodiscard]] QueuedRequest ToQueuedRequest(const Runtime& aRuntime, const CallerRequest& aRequest,
                                            std::uint64_t aId);

/// \brief A run request with an id that no other attempt of any process has.
[[nodiscard]] RunRequest ToRunRequest(Runtime& aRuntime, const CallerRequest& aRequest,
                                      const ServerRef& aServer);

} // namespace pistachiostand
