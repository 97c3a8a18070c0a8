#include "JobApi.h"

#include "EventLog.h"
#include "FleetOwner.h"

#include "platform/Topics.h"
#include "platform/Wire.h"

#include "pistachiostand/account/RunningLimit.h"
#include "pistachiostand/base/Clock.h"
#include "pistachiostand/base/PercentCoding.h"
#include "pistachiostand/job/JobCodec.h"
#include "pistachiostand/job/JobLimits.h"

#include <asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace pistachiostand::fleet {

namespace {

/// Timeout of a caller that states none.
constexpr Millis kDefaultCallerTimeoutMs = 3'000;
/// A caller's timeout is capped at this value.
constexpr Millis kMaxCallerTimeoutMs = 600'000;
/// The response is sent this long before the caller stops waiting.
constexpr Millis kResponseMarginMs = 150;
/// A refused append is retried for this long; after that the caller may retry.
constexpr Millis kRefusalRetryMs = 500;
/// A slow store takes up to a second for an append, which also waits for the one in flight before
/// it. After a failed relay enough time must remain for an append by this instance.
constexpr Millis kRelayTimeoutMs = 2'000;
/// A fast store takes 10 ms for an append; with less time than this no append is started.
constexpr Millis kMinAppendTimeMs = 50;
/// The owner reads a submission within this time unless the store is unavailable.
constexpr Millis kAcceptedRetentionMs = 10'000;
constexpr Millis kPruneIntervalMs = 1'000;
constexpr std::string_view kAccountParameter = "account";
constexpr std::string_view kQueueParameter = "queue";

std::string_view WithoutPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.find(':'));
}

Millis CallerTimeoutMs(const HttpRequest& aRequest)
{
  const auto text = FindHeader(aRequest.m_headers, platform::kCallerTimeoutHeader);
  Millis value = kDefaultCallerTimeoutMs;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool isValid = error == std::errc{} && end == text.data() + text.size() && value > 0;
  return isValid ? std::min(value, kMaxCallerTimeoutMs) : kDefaultCallerTimeoutMs;
}

HttpResponse JsonResponse(std::uint16_t aStatus, std::string aBody)
{
  HttpResponse response;
  response.m_status = aStatus;
  SetHeader(response.m_headers, "content-type", "application/json");
  response.m_body = std::move(aBody);
  return response;
}

HttpResponse ErrorResponse(std::uint16_t aStatus, std::string_view aCause)
{
  HttpResponse response = JsonResponse(aStatus, platform::EncodeError(aCause));
  if (aStatus == 503 || aStatus == 429) {
    SetHeader(response.m_headers, "retry-after", "1");
  }
  return response;
}

} // namespace

/// \brief A submission or a cancellation that is being stored.
struct JobApi::Submission
{
  JobId m_id;
  QueueName m_queue;
  AccountName m_account;
  std::string m_record;
  HttpResponder m_respond;
  Millis m_receivedMs{};
  Millis m_deadlineMs{}; ///< Time on the steady clock at which the response must be sent.
  unsigned m_tries{};
  bool m_relayed{};           ///< The owner was asked to store it.
  bool m_uncertain{};         ///< An append had no response and may still take effect.
  asio::steady_timer m_timer; ///< Ends the submission at its deadline.
  bool m_isCancel{};
};

JobApi::JobApi(JobApiContext aContext)
  : m_context(std::move(aContext))
{
}

void JobApi::Handle(HttpRequest aRequest, HttpResponder aRespond)
{
  ++m_inFlight;
  HttpResponder respond = [this, respond = std::move(aRespond)](HttpResponse aResponse) {
    --m_inFlight;
    // The caller's next connection may reach an instance that can serve it.
    if (m_context.m_isStopping() || m_context.m_isIsolated()) {
      SetHeader(aResponse.m_headers, "connection", "close");
    }
    respond(std::move(aResponse));
  };
  Count(m_context.m_metrics, "requests_total");
  if (m_closed) {
    respond(ErrorResponse(503, "this instance stops"));
    return;
  }
  if (m_context.m_configuration.m_revision == 0) {
    respond(ErrorResponse(503, "no configuration has been read yet"));
    return;
  }
  const QueueRule* queue =
    FindQueue(m_context.m_configuration, WithoutPort(FindHeader(aRequest.m_headers, "host")),
              aRequest.m_path);
  if (queue == nullptr) {
    LogEvent("http", "no-queue", "host={} path={} revision={}",
             FindHeader(aRequest.m_headers, "host"), aRequest.m_path,
             m_context.m_configuration.m_revision);
    respond(ErrorResponse(404, "no queue has this host and path"));
    return;
  }
  const auto access =
    m_context.m_authorize(*queue, FindHeader(aRequest.m_headers, platform::kAccountKeyHeader));
  if (access.m_outcome != AccessOutcome::Allowed) {
    Reject(*queue, access.m_outcome, respond);
    return;
  }
  const std::string id = aRequest.m_path.substr(queue->m_pathPrefix.size());
  if (id.empty() && aRequest.m_method == "GET") {
    AskPending(*queue, std::move(respond));
  } else if (!platform::IsJobId(id)) {
    respond(ErrorResponse(400, "a job id has 16 hexadecimal digits"));
  } else if (aRequest.m_method == "POST") {
    Submit(aRequest, *queue, id, access.m_scope, std::move(respond));
  } else if (aRequest.m_method == "DELETE") {
    Cancel(aRequest, id, access.m_scope, std::move(respond));
  } else if (aRequest.m_method == "GET") {
    AskState(id, access.m_scope, std::move(respond));
  } else {
    respond(ErrorResponse(405, "use POST, GET or DELETE"));
  }
}

void JobApi::Reject(const QueueRule& aQueue, AccessOutcome aOutcome, const HttpResponder& aRespond)
{
  const bool unknown = aOutcome == AccessOutcome::UnknownKey;
  const std::string_view cause = unknown ? "unknown key" : "the configuration may be outdated here";
  const std::uint16_t status = unknown ? 401 : 503;
  LogEvent("http", "rejected", "queue={} status={} cause={} revision={}", aQueue.m_name, status,
           cause, m_context.m_configuration.m_revision);
  CountResponse(m_context.m_metrics, aQueue.m_name, status, cause);
  HttpResponse response = ErrorResponse(status, cause);
  if (!unknown) {
    // The caller's next connection may reach an instance that can read the store.
    SetHeader(response.m_headers, "connection", "close");
  }
  aRespond(std::move(response));
}

void JobApi::Submit(const HttpRequest& aRequest, const QueueRule& aQueue, const JobId& aId,
                    const CallerScope& aScope, HttpResponder aRespond)
{
  if (aRequest.m_body.size() > m_context.m_configuration.m_maxBodyBytes) {
    aRespond(ErrorResponse(413, "the body exceeds the configured limit"));
    return;
  }
  if (const auto known = m_accepted.find(aId); known != m_accepted.end()) {
    if (known->second.m_scope.m_account != aScope.m_account) {
      aRespond(ErrorResponse(400, "the job id is in use"));
      return;
    }
    aRespond(JsonResponse(200, platform::EncodeJobState(PublicJobState::Queued)));
    return;
  }
  Reason reason;
  auto spec = platform::DecodeJob(aRequest.m_body, reason);
  if (!spec) {
    LogEvent("http", "malformed", "id={} queue={} cause={}", aId, aQueue.m_name, reason.m_cause);
    aRespond(ErrorResponse(400, reason.m_cause));
    return;
  }
  spec->m_id = aId;
  spec->m_queue = aQueue.m_name;
  spec->m_pool = aQueue.m_pool;
  spec->m_terms = aQueue;
  spec->m_acceptedMs = WallMs();
  spec->m_account = aScope.m_account;
  // The owner rejects a stored job beyond these limits.
  const auto fault = ValidationErrorOf(*spec);
  if (!fault.empty()) {
    LogEvent("http", "malformed", "id={} queue={} cause={}", aId, aQueue.m_name, fault);
    aRespond(ErrorResponse(400, fault));
    return;
  }
  const Resources limit = LimitOf(m_context.m_configuration.m_accounts, aScope.m_account);
  const auto tooWide = std::ranges::find_if(spec->m_steps, [&](const StepSpec& aStep) {
    return !CanEverRun(aStep.m_need, limit, aStep.m_count, aStep.m_gang,
                       m_context.m_runningOverage);
  });
  if (tooWide != spec->m_steps.end()) {
    RejectGang(aQueue, aId, aScope.m_account,
               static_cast<std::size_t>(tooWide - spec->m_steps.begin()), aRespond);
    return;
  }
  std::string record =
    platform::EncodeKeyed(std::string{ kSubmissionPrefix } + aId, EncodeSubmission(*spec));
  // The store would refuse it each time, together with the submissions of other callers in the same
  // append.
  if (record.size() > m_context.m_maxRecordBytes) {
    LogEvent("http", "too-large", "id={} queue={} bytes={} max_bytes={}", aId, aQueue.m_name,
             record.size(), m_context.m_maxRecordBytes);
    aRespond(ErrorResponse(413, "the job exceeds the largest record of the store"));
    return;
  }
  const Millis now = MonotonicMs();
  auto submission = std::make_shared<Submission>(
    Submission{ aId, aQueue.m_name, aScope.m_account, std::move(record), std::move(aRespond), now,
                now + CallerTimeoutMs(aRequest) - kResponseMarginMs, 0, false, false,
                asio::steady_timer{ m_context.m_loop } });
  Begin(submission);
}

void JobApi::RejectGang(const QueueRule& aQueue, const JobId& aId, const AccountName& aAccount,
                        std::size_t aStep, const HttpResponder& aRespond)
{
  constexpr std::string_view kCause = "gang wider than the quota of its account";
  LogEvent("job", "not-accepted", "id={} queue={} account={} status=400 reason={} step={}", aId,
           aQueue.m_name, aAccount, kCause, aStep);
  CountResponse(m_context.m_metrics, aQueue.m_name, 400, kCause);
  aRespond(ErrorResponse(
    400, fmt::format("step {} is a gang that needs more than its account may run at once", aStep)));
}

void JobApi::Begin(const std::shared_ptr<Submission>& aSubmission)
{
  m_pendingSubmissions.insert(aSubmission);
  const Millis left = aSubmission->m_deadlineMs - MonotonicMs();
  if (m_context.m_isIsolated()) {
    Finish(aSubmission, 503, "neither the store nor the owner can be reached");
    return;
  }
  if (left < kMinAppendTimeMs) {
    Finish(aSubmission, 503, "too little time is left to store it");
    return;
  }
  // An append without a response may take longer than the caller waits.
  aSubmission->m_timer.expires_after(std::chrono::milliseconds{ left });
  aSubmission->m_timer.async_wait([this, aSubmission](const std::error_code& aError) {
    if (!aError && m_pendingSubmissions.contains(aSubmission)) {
      Finish(aSubmission, 504, "the store has not answered");
    }
  });
  // A slow store stores more with one writer for all instances, and it may refuse this instance.
  if (m_context.m_writer.IsStoreDegraded(MonotonicMs()) || m_context.m_isStoreSilent()) {
    Relay(aSubmission);
  } else {
    Store(aSubmission);
  }
}

void JobApi::Close()
{
  m_closed = true;
  m_context.m_writer.Close();
  while (!m_pendingSubmissions.empty()) {
    const auto submission = *m_pendingSubmissions.begin(); // Finish removes the element.
    Finish(submission, 504, "this instance stops");
  }
}

void JobApi::Store(const std::shared_ptr<Submission>& aSubmission)
{
  ++aSubmission->m_tries;
  // The writer's deadline is before the timer's, because it knows whether the record was sent.
  const WriteLimits limits{ aSubmission->m_uncertain ? aSubmission->m_deadlineMs
                                                     : aSubmission->m_receivedMs + kRefusalRetryMs,
                            aSubmission->m_deadlineMs - kMinAppendTimeMs / 2,
                            !aSubmission->m_relayed };
  m_context.m_writer.Append(aSubmission->m_record, limits,
                            [this, aSubmission](platform::AppendOutcome aOutcome) {
                              if (m_pendingSubmissions.contains(aSubmission)) {
                                OnWritten(aSubmission, aOutcome);
                              }
                            });
}

void JobApi::Relay(const std::shared_ptr<Submission>& aSubmission)
{
  ++aSubmission->m_tries;
  aSubmission->m_relayed = true;
  Count(m_context.m_metrics, "submissions_relayed_total");
  const Millis left = aSubmission->m_deadlineMs - MonotonicMs();
  m_context.m_relay(aSubmission->m_record, std::clamp(left, kMinAppendTimeMs, kRelayTimeoutMs),
                    [this, aSubmission](RelayOutcome aOutcome) {
                      if (m_pendingSubmissions.contains(aSubmission)) {
                        OnRelayed(aSubmission, aOutcome);
                      }
                    });
}

void JobApi::OnWritten(const std::shared_ptr<Submission>& aSubmission,
                       platform::AppendOutcome aOutcome)
{
  if (aOutcome == platform::AppendOutcome::Stored) {
    Accept(aSubmission);
    return;
  }
  aSubmission->m_uncertain =
    aSubmission->m_uncertain || aOutcome == platform::AppendOutcome::Unknown;
  if (!aSubmission->m_relayed && !m_closed &&
      MonotonicMs() + kMinAppendTimeMs < aSubmission->m_deadlineMs) {
    Relay(aSubmission);
  } else if (aSubmission->m_uncertain) {
    Finish(aSubmission, 504, "the store has not answered");
  } else {
    Finish(aSubmission, 503, "the store does not take it");
  }
}

void JobApi::OnRelayed(const std::shared_ptr<Submission>& aSubmission, RelayOutcome aOutcome)
{
  if (aOutcome == RelayOutcome::Stored) {
    Accept(aSubmission);
    return;
  }
  // Retries by all instances would only load a store that refuses even the owner.
  if (aOutcome == RelayOutcome::Refused && !aSubmission->m_uncertain) {
    Finish(aSubmission, 503, "the store refuses");
    return;
  }
  // The owner's append may still take effect, in which case a refusal would be wrong, so this
  // instance retries the record.
  aSubmission->m_uncertain = aSubmission->m_uncertain || aOutcome == RelayOutcome::Unknown;
  Store(aSubmission);
}

void JobApi::Accept(const std::shared_ptr<Submission>& aSubmission)
{
  const Millis now = MonotonicMs();
  PruneAccepted(now);
  if (!aSubmission->m_isCancel) {
    m_accepted.emplace(aSubmission->m_id,
                       AcceptedJob{ now, { aSubmission->m_account, aSubmission->m_queue } });
  }
  Finish(aSubmission, 200, "stored");
}

void JobApi::Finish(const std::shared_ptr<Submission>& aSubmission, std::uint16_t aStatus,
                    std::string_view aReason)
{
  m_pendingSubmissions.erase(aSubmission);
  aSubmission->m_timer.cancel();
  const Millis took = MonotonicMs() - aSubmission->m_receivedMs;
  LogEvent("job", aStatus == 200 ? "accepted" : "not-accepted",
           "id={} queue={} account={} status={} reason={} tries={} after_ms={}", aSubmission->m_id,
           aSubmission->m_queue, aSubmission->m_account, aStatus, aReason, aSubmission->m_tries,
           took);
  Observe(m_context.m_metrics, "accept_ms", aSubmission->m_queue, took);
  Count(m_context.m_metrics, aStatus == 200 ? "jobs_accepted_total" : "jobs_not_accepted_total");
  CountResponse(m_context.m_metrics, aSubmission->m_queue, aStatus, aReason);
  aSubmission->m_respond(aStatus == 200
                           ? JsonResponse(200, platform::EncodeJobState(PublicJobState::Queued))
                           : ErrorResponse(aStatus, aReason));
}

void JobApi::Cancel(const HttpRequest& aRequest, const JobId& aId, const CallerScope& aScope,
                    HttpResponder aRespond)
{
  const Millis now = MonotonicMs();
  auto submission = std::make_shared<Submission>(
    Submission{ aId, "cancel", aScope.m_account,
                platform::EncodeKeyed(std::string{ kCancelPrefix } + aId, EncodeCancel(aScope)),
                std::move(aRespond), now, now + CallerTimeoutMs(aRequest) - kResponseMarginMs, 0,
                false, false, asio::steady_timer{ m_context.m_loop }, true });
  Begin(submission);
}

void JobApi::AskState(const JobId& aId, const CallerScope& aScope, HttpResponder aRespond)
{
  const auto known = m_accepted.find(aId);
  const bool accepted =
    known != m_accepted.end() &&
    (aScope.m_account.empty() ? known->second.m_scope.m_queue == aScope.m_queue
                              : known->second.m_scope.m_account == aScope.m_account);
  m_context.m_askOwner(
    OwnerJobPath(aId, aScope), [accepted, respond = std::move(aRespond)](HttpResponse aResponse) {
      if (accepted && aResponse.m_status == 410) {
        aResponse = JsonResponse(200, platform::EncodeJobState(PublicJobState::Queued));
      }
      respond(std::move(aResponse));
    });
}

void JobApi::AskPending(const QueueRule& aQueue, HttpResponder aRespond)
{
  m_context.m_askOwner(OwnerPendingPath(aQueue.m_name), std::move(aRespond));
}

void JobApi::PruneAccepted(Millis aNowMs)
{
  if (aNowMs - m_lastPruneMs > kPruneIntervalMs) {
    m_lastPruneMs = aNowMs;
    std::erase_if(m_accepted, [aNowMs](const auto& aEntry) {
      return aNowMs - aEntry.second.m_sinceMs > kAcceptedRetentionMs;
    });
  }
}

std::string OwnerJobPath(const JobId& aId, const CallerScope& aScope)
{
  std::string path = "/jobs/" + aId;
  if (!aScope.m_account.empty()) {
    path += fmt::format("?{}={}", kAccountParameter, PercentEncode(aScope.m_account));
  } else if (!aScope.m_queue.empty()) {
    path += fmt::format("?{}={}", kQueueParameter, PercentEncode(aScope.m_queue));
  }
  return path;
}

CallerScope ScopeOfOwnerRequest(const HttpRequest& aRequest)
{
  const auto parameter = [&aRequest](std::string_view aName) {
    const auto found = aRequest.m_query.find(aName);
    return found == aRequest.m_query.end() ? std::string{} : found->second;
  };
  return { parameter(kAccountParameter), parameter(kQueueParameter) };
}

std::string OwnerPendingPath(const QueueName& aQueue)
{
  return "/queues/" + PercentEncode(aQueue);
}

} // namespace pistachiostand::fleet
