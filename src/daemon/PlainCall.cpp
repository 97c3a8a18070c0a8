#include "PlainCall.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/connection/HeaderPolicy.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace pistachiostand {

namespace {

class PlainCall : public std::enable_shared_from_this<PlainCall>
{
public:
  PlainCall(Runtime& aRuntime, Dispatcher& aDispatcher, CallerRequest aRequest)
    : m_runtime(aRuntime)
    , m_dispatcher(aDispatcher)
    , m_request(std::move(aRequest))
  {
  }

  void Start()
  {
    m_dispatcher.CountFirstAttempt(m_request.m_service);
    Enqueue();
  }

private:
  void Enqueue()
  {
    m_queued = ToQueuedRequest(m_runtime, m_request, m_dispatcher.NextId());
    if (const auto refusal = m_dispatcher.Enqueue(MakeQueuedCall(), m_request.m_tenantRule)) {
      if (m_sent) {
        RespondUnknown("the retry could not be queued");
      } else {
        RespondRefused(m_request, *refusal);
      }
    }
  }

  QueuedCall MakeQueuedCall()
  {
    const auto self = shared_from_this();
    return { m_queued, [self](const ServerRef& aServer) { self->Send(aServer); },
             [self] { self->Expire(); } };
  }

  void Expire()
  {
    if (m_sent) {
      RespondUnknown("no response in time");
    } else {
      RespondNotRun(m_request, "deadline", "no slot became free in time");
    }
  }

  void Send(const ServerRef& aServer)
  {
    const Millis now = MonotonicMs();
    RunRequest run = ToRunRequest(m_runtime, m_request, aServer);
    run.m_timeoutMs = std::max<Millis>(1, m_request.DeadlineMs() - now);
    m_runtime.m_backend.Run(run, [self = shared_from_this(), aServer, now](RunOutcome aOutcome) {
      self->OnOutcome(aServer, std::move(aOutcome), MonotonicMs() - now);
    });
  }

  void OnOutcome(const ServerRef& aServer, RunOutcome aOutcome, Millis aTookMs)
  {
    m_dispatcher.Servers().OnOutcome(aServer, aOutcome, aTookMs);
    if (aOutcome.m_result == RunResult::Full || aOutcome.m_result == RunResult::Refused) {
      m_dispatcher.PutBack(MakeQueuedCall());
      return;
    }
    m_dispatcher.Finish(m_queued, aTookMs);
    if (aOutcome.m_result == RunResult::Completed) {
      AddRunTime(m_runtime.m_estimate, m_request.m_service, m_request.m_tenant, aTookMs);
      m_request.m_respond(CompletedResponse(aOutcome.m_status, std::move(aOutcome.m_body),
                                            PassedToCaller(aOutcome.m_headers),
                                            m_request.m_requestId));
      return;
    }
    m_sent = m_sent || aOutcome.m_result != RunResult::NotSent;
    Retry(aOutcome);
  }

  void Retry(const RunOutcome& aOutcome)
  {
    spdlog::debug("http: Request {} of {} to {} failed: {}.", m_request.m_requestId,
                  m_request.m_tenant, m_request.m_service, aOutcome.m_detail);
    const bool inTime = MonotonicMs() < m_request.DeadlineMs();
    if (inTime && m_dispatcher.TryTakeRetry(m_request.m_service)) {
      Enqueue();
    } else if (!m_sent) {
      RespondNotRun(m_request, "unreachable", aOutcome.m_detail);
    } else if (aOutcome.m_result == RunResult::Timeout || !inTime) {
      RespondUnknown("no response in time");
    } else {
      RespondFailed(aOutcome);
    }
  }

  void RespondUnknown(std::string aCause)
  {
    ++m_runtime.m_counters.m_unknown;
    m_request.m_respond(ToResponse({ OutcomeKind::Unknown,
                                     504,
                                     "timeout",
                                     std::move(aCause),
                                     "repeat the request; the service is idempotent",
                                     m_request.m_requestId,
                                     kRetryAfterMs,
                                     {} }));
  }

  void RespondFailed(const RunOutcome& aOutcome)
  {
    ++m_runtime.m_counters.m_unknown;
    m_request.m_respond(ToResponse(
      { OutcomeKind::Unknown,
        502,
        "backend-failed",
        aOutcome.m_detail.empty()
          ? "the backend server answered with status " + std::to_string(aOutcome.m_status)
          : aOutcome.m_detail,
        "repeat the request; the service is idempotent",
        m_request.m_requestId,
        0,
        {} }));
  }

  Runtime& m_runtime;
  Dispatcher& m_dispatcher;
  CallerRequest m_request;
  QueuedRequest m_queued;
  bool m_sent{}; ///< An attempt was sent, which rules out the outcome "not run".
};

} // namespace

void StartPlainCall(Runtime& aRuntime, Dispatcher& aDispatcher, CallerRequest aRequest)
{
  std::make_shared<PlainCall>(aRuntime, aDispatcher, std::move(aRequest))->Start();
}

void RespondRefused(const CallerRequest& aRequest, AdmissionRefusal aRefusal)
{
  const bool tenantFull = aRefusal == AdmissionRefusal::TenantQueueFull;
  aRequest.m_respond(ToResponse(
    { OutcomeKind::NotRun,
      static_cast<std::uint16_t>(tenantFull ? 429 : 503),
      std::string{ ToString(aRefusal) },
      tenantFull ? "the tenant has its limit of requests waiting" : "the service is overloaded",
      "repeat the request later",
      aRequest.m_requestId,
      kRetryAfterMs,
      {} }));
}

void RespondNotRun(const CallerRequest& aRequest, std::string aError, std::string aCause)
{
  aRequest.m_respond(ToResponse({ OutcomeKind::NotRun,
                                  503,
                                  std::move(aError),
                                  std::move(aCause),
                                  "repeat the request later",
                                  aRequest.m_requestId,
                                  kRetryAfterMs,
                                  {} }));
}

QueuedRequest ToQueuedRequest(const Runtime& aRuntime, const CallerRequest& aRequest,
                              std::uint64_t aId)
{
  const ServiceRule& rule = aRequest.m_serviceRule;
  return { aId,
           aRequest.m_tenant,
           aRequest.m_service,
           rule.m_class,
           rule.m_pool,
           aRequest.m_arrivedMs,
           aRequest.DeadlineMs(),
           ExpectedRunMs(aRuntime.m_estimate, aRequest.m_service, aRequest.m_tenant, kDefaultRunMs),
           rule.m_idempotent };
}

RunRequest ToRunRequest(Runtime& aRuntime, const CallerRequest& aRequest, const ServerRef& aServer)
{
  RunRequest run;
  // Callers may use an id twice; a response to the wrong request could then not be detected.
  run.m_requestId = aRequest.m_requestId + '~' + aRuntime.NextRunId();
  run.m_tenant = aRequest.m_tenant;
  run.m_service = aRequest.m_service;
  run.m_pool = aServer.m_pool;
  run.m_bootId = aServer.m_bootId;
  run.m_address = aServer.m_address;
  run.m_body = aRequest.m_body;
  run.m_passedHeaders = aRequest.m_passedHeaders;
  run.m_taskControl = aServer.m_taskControl;
  return run;
}

} // namespace pistachiostand
