#pragma once

#include "Dispatcher.h"
#include "pistachiostand/connection/HttpServer.h"
#include "pistachiostand/request/Outcome.h"

#include <memory>
#include <string>

/// \file
/// \brief Requests of callers, and the run of an idempotent one: queued, sent, and retried within
/// the retry budget.

namespace pistachiostand {

/// Run time assumed until one has been observed. Rules state no run times, because stated ones
/// differ widely from the actual ones.
inline constexpr Millis kDefaultRunMs = 50;
/// Retry delay sent to callers whose request may be repeated.
inline constexpr Millis kRetryAfterMs = 1'000;

/// \brief A request of a caller; its tenant, service and key are filled in as they are checked.
struct CallerRequest
{
  std::string m_requestId;
  TenantName m_tenant;
  TenantRule m_tenantRule;
  ServiceName m_service;
  ServiceRule m_serviceRule;
  JobKey m_key; ///< Scoped by tenant once it is checked; not used for an idempotent service.
  std::string m_body;
  HttpHeaders m_passedHeaders;
  Millis m_arrivedMs{};
  HttpResponder m_respond;
  /// Outcome that a refusal reports. A refused query or cancel implies nothing about its job.
  OutcomeKind m_refusedAs{ OutcomeKind::NotRun };

  [[nodiscard]] Millis DeadlineMs() const noexcept
  {
    return m_arrivedMs + m_serviceRule.m_timeoutMs;
  }
};

/// \brief Runs a request to an idempotent service, without a job, and responds exactly once.
void StartPlainCall(Runtime& aRuntime, Dispatcher& aDispatcher, CallerRequest aRequest);

/// \brief Responds to a request that the queues refused.
void RespondRefused(const CallerRequest& aRequest, AdmissionRefusal aRefusal);

/// \brief Responds "not run" with a reason.
void RespondNotRun(const CallerRequest& aRequest, std::string aError, std::string aCause);

/// \brief The queue entry of a caller's request.
[[nodiscard]] QueuedRequest ToQueuedRequest(const Runtime& aRuntime, const CallerRequest& aRequest,
                                            std::uint64_t aId);

/// \brief A run request with an id that is unique among the attempts of all processes.
[[nodiscard]] RunRequest ToRunRequest(Runtime& aRuntime, const CallerRequest& aRequest,
                                      const ServerRef& aServer);

} // namespace pistachiostand
