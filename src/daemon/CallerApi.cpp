#include "CallerApi.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/connection/HeaderPolicy.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace pistachiostand {

namespace {

constexpr Millis kNotReadyRetryMs = 1'000;

void Refuse(const CallerRequest& aCall, std::uint16_t aStatus, std::string aError,
            std::string aCause, std::string aRemedy, Millis aRetryAfterMs = 0)
{
  aCall.m_respond(ToResponse({ aCall.m_refusedAs,
                               aStatus,
                               std::move(aError),
                               std::move(aCause),
                               std::move(aRemedy),
                               aCall.m_requestId,
                               aRetryAfterMs,
                               {} }));
}

struct RequestLabels
{
  std::string m_requestId;
  TenantName m_tenant;
  ServiceName m_service;
  ServiceClass m_class{};
};

/// \brief Logs one line per request: a warning if its outcome is uncertain, else debug, because an
/// overload would otherwise also overload the log.
void LogRequest(const RequestLabels& aLabels, const HttpResponse& aResponse, Revision aRevision,
                Millis aTookMs)
{
  const auto outcome = FindHeader(aResponse.m_headers, "x-outcome");
  const bool uncertain =
    outcome == ToString(OutcomeKind::Unknown) || outcome == ToString(OutcomeKind::Stopped);
  spdlog::log(uncertain ? spdlog::level::warn : spdlog::level::debug,
              "http: Answered request={} tenant={} service={} class={} revision={} status={} "
              "outcome={} ms={}.",
              aLabels.m_requestId, aLabels.m_tenant, aLabels.m_service, ToString(aLabels.m_class),
              aRevision, aResponse.m_status, outcome, aTookMs);
}

/// \brief Responds that the log, and with it the tenants, services and jobs, has not been read yet.
void RespondNotReady(const CallerRequest& aCall)
{
  Refuse(aCall, 503, "not-ready", "this entry instance has not read the rules yet",
         "repeat the request later, or send it to another entry instance", kNotReadyRetryMs);
}

} // namespace

std::vector<std::string> SplitPath(std::string_view aPath)
{
  std::vector<std::string> parts;
  while (!aPath.empty()) {
    const auto end = std::min(aPath.find('/'), aPath.size());
    if (end != 0) {
      parts.emplace_back(aPath.substr(0, end));
    }
    aPath.remove_prefix(std::min(end + 1, aPath.size()));
  }
  return parts;
}

CallerApi::CallerApi(Runtime& aRuntime, Dispatcher& aDispatcher, JobRunner& aJobs,
                     std::function<bool()> aIsReady)
  : m_runtime(aRuntime)
  , m_dispatcher(aDispatcher)
  , m_jobs(aJobs)
  , m_isReady(std::move(aIsReady))
{
}

bool CallerApi::Handle(HttpRequest& aRequest, const HttpResponder& aRespond)
{
  const Parts parts = SplitPath(aRequest.m_path);
  if (parts.size() != 3 || parts[0] != "v1" || (parts[1] != "services" && parts[1] != "jobs")) {
    return false;
  }
  const std::string method = aRequest.m_method;
  CallerRequest call = MakeCallerRequest(aRequest, aRespond);
  if (m_runtime.m_draining && method == "POST") {
    RespondNotRun(call, "draining", "this entry instance is stopping");
  } else if (!m_isReady()) {
    RespondNotReady(call);
  } else if (call.m_body.size() > kMaxRequestBytes) {
    Refuse(call, 413, "body-too-large", "the body is larger than 32 KiB", "send a smaller body");
  } else if (!CheckTenant(call)) {
    return true;
  } else if (parts[1] == "services" && method == "POST") {
    HandleService(std::move(call), parts[2]);
  } else if (parts[1] == "jobs" && method == "POST") {
    HandleSubmit(std::move(call), parts[2]);
  } else if (parts[1] == "jobs" && (method == "GET" || method == "DELETE")) {
    HandleJob(std::move(call), method, parts[2]);
  } else {
    Refuse(call, 405, "method-not-allowed", "the path does not take " + method,
           "use POST for services, and POST, GET or DELETE for jobs");
  }
  return true;
}

CallerRequest CallerApi::MakeCallerRequest(HttpRequest& aRequest, const HttpResponder& aRespond)
{
  CallerRequest call;
  call.m_arrivedMs = MonotonicMs();
  call.m_tenant = FindHeader(aRequest.m_headers, "x-tenant");
  call.m_requestId = FindHeader(aRequest.m_headers, "x-request-id");
  if (!IsToken(call.m_requestId)) {
    call.m_requestId = m_runtime.m_process + '-' + std::to_string(++m_lastRequest);
  }
  call.m_key = FindHeader(aRequest.m_headers, "idempotency-key");
  call.m_refusedAs = aRequest.m_method == "POST" ? OutcomeKind::NotRun : OutcomeKind::Unknown;
  call.m_passedHeaders = PassedToService(aRequest.m_headers);
  call.m_body = std::move(aRequest.m_body);
  call.m_respond = CountUntilAnswered(aRespond, call.m_tenant);
  return call;
}

/// \brief Counts the request until its response is sent, and ignores a second response.
HttpResponder CallerApi::CountUntilAnswered(const HttpResponder& aRespond,
                                            const TenantName& aTenant)
{
  ++m_outstanding;
  ++m_runtime.m_counters.m_requests;
  return
    [this, aRespond, aTenant, answered = std::make_shared<bool>(false)](HttpResponse aResponse) {
      if (std::exchange(*answered, true)) {
        return;
      }
      --m_outstanding;
      const auto outcome = FindHeader(aResponse.m_headers, "x-outcome");
      m_runtime.m_counters.m_completed += outcome == ToString(OutcomeKind::Completed) ? 1 : 0;
      m_runtime.m_counters.m_notRun += outcome == ToString(OutcomeKind::NotRun) ? 1 : 0;
      m_runtime.m_counters.m_stopped += outcome == ToString(OutcomeKind::Stopped) ? 1 : 0;
      aRespond(std::move(aResponse));
    };
}

bool CallerApi::CheckTenant(CallerRequest& aCall) const
{
  const TenantRule* rule = FindTenant(m_runtime.CurrentRules(), aCall.m_tenant);
  if (!IsToken(aCall.m_tenant)) {
    Refuse(aCall, 400, "bad-tenant", "X-Tenant is missing or malformed",
           "send X-Tenant with letters, digits, '.', '_', ':' or '-'");
    return false;
  }
  if (m_runtime.State().m_revision == 0) {
    RespondNotReady(aCall);
    return false;
  }
  if (rule == nullptr) {
    Refuse(aCall, 403, "unknown-tenant", "no rule names the tenant " + aCall.m_tenant,
           "publish a rule tenant." + aCall.m_tenant + " or tenant.default");
    return false;
  }
  aCall.m_tenantRule = *rule;
  return true;
}

bool CallerApi::CheckService(CallerRequest& aCall, const ServiceName& aService) const
{
  const auto& services = m_runtime.CurrentRules().m_services;
  const auto service = services.find(aService);
  if (service == services.end()) {
    Refuse(aCall, 404, "unknown-service", "no rule names the service " + aService,
           "publish a rule service." + aService);
    return false;
  }
  aCall.m_service = aService;
  aCall.m_serviceRule = service->second;
  return true;
}

bool CallerApi::CheckKey(CallerRequest& aCall) const
{
  if (!IsToken(aCall.m_key)) {
    Refuse(aCall, 400, "bad-key", "Idempotency-Key is missing or malformed",
           "send a unique key of up to 128 letters, digits, '.', '_', ':' or '-'");
    return false;
  }
  aCall.m_key = ScopedKey(aCall.m_tenant, aCall.m_key);
  return true;
}

void CallerApi::HandleService(CallerRequest aCall, const ServiceName& aService)
{
  if (!CheckService(aCall, aService)) {
    return;
  }
  // Latency is recorded by tenant and class, and the class is known only from the service.
  aCall.m_respond = [this, respond = aCall.m_respond,
                     labels = RequestLabels{ aCall.m_requestId, aCall.m_tenant, aService,
                                             aCall.m_serviceRule.m_class },
                     arrived = aCall.m_arrivedMs](HttpResponse aResponse) {
    const Millis took = MonotonicMs() - arrived;
    AddLatency(m_runtime.m_histograms, labels.m_tenant, labels.m_class, took);
    LogRequest(labels, aResponse, m_runtime.State().m_revision, took);
    respond(std::move(aResponse));
  };
  if (aCall.m_serviceRule.m_idempotent) {
    StartPlainCall(m_runtime, m_dispatcher, std::move(aCall));
  } else if (CheckKey(aCall)) {
    m_jobs.RunNow(std::move(aCall));
  }
}

void CallerApi::HandleSubmit(CallerRequest aCall, const ServiceName& aService)
{
  if (CheckService(aCall, aService) && CheckKey(aCall)) {
    m_jobs.Submit(std::move(aCall));
  }
}

void CallerApi::HandleJob(CallerRequest aCall, const std::string& aMethod, const std::string& aKey)
{
  aCall.m_key = aKey;
  if (!CheckKey(aCall)) {
    return;
  }
  if (aMethod == "GET") {
    m_jobs.Report(aCall);
  } else {
    m_jobs.Cancel(std::move(aCall));
  }
}

} // namespace pistachiostand
