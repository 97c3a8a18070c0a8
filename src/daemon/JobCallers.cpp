#include "ActiveAttempt.h"
#include "JobRunner.h"

#include "pistachiostand/base/Base64.h"
#include "pistachiostand/base/Clock.h"
#include "pistachiostand/base/Hash.h"
#include "pistachiostand/request/Outcome.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

/// \file
/// \brief Callers' requests to wait for, submit, query and cancel jobs.

namespace pistachiostand {

namespace {

constexpr Millis kProposalWaitMs = 10'000;

/// \brief The key as the caller sent it.
std::string_view WithoutTenant(const JobKey& aScoped)
{
  const std::string_view scoped{ aScoped };
  return scoped.substr(scoped.find('/') + 1);
}

std::string LocationOf(const CallerRequest& aRequest)
{
  return "/v1/jobs/" + std::string{ WithoutTenant(aRequest.m_key) };
}

OutcomeKind OutcomeOf(JobPhase aPhase)
{
  switch (aPhase) {
    case JobPhase::Queued:
    case JobPhase::Claimed:
      return OutcomeKind::Unknown;
    case JobPhase::Completed:
      return OutcomeKind::Completed;
    case JobPhase::Stopped:
      return OutcomeKind::Stopped;
    case JobPhase::NotRun:
      break;
  }
  return OutcomeKind::NotRun;
}

HttpResponse JobResponse(const CallerRequest& aRequest, const Job& aJob, std::uint16_t aStatus)
{
  HttpResponse response;
  response.m_status = aStatus;
  const auto outcome = ToString(OutcomeOf(aJob.m_phase));
  SetHeader(response.m_headers, "content-type", "application/json");
  SetHeader(response.m_headers, "x-outcome", outcome);
  response.m_body = nlohmann::json{
    { "key", WithoutTenant(aRequest.m_key) },
    { "outcome", outcome },
    { "phase", ToString(aJob.m_phase) },
    { "attempt", aJob.m_attempt },
    { "status", aJob.m_status },
    { "body", EncodeBase64(aJob.m_body) },
    { "body_kept", aJob.m_bodyKept }
  }.dump() + "\n";
  return response;
}

HttpResponse UnknownJob(const CallerRequest& aRequest)
{
  return ToResponse({ OutcomeKind::Unknown,
                      404,
                      "unknown-job",
                      "no job with this key is known for this tenant",
                      "check X-Tenant and the key; keys are kept for 24 h after the end",
                      aRequest.m_requestId,
                      0,
                      {} });
}

} // namespace

void JobRunner::Submit(CallerRequest aRequest)
{
  const std::uint64_t digest = Hash(aRequest.m_body, Hash(aRequest.m_service));
  // An empty payload denotes a job whose caller waits, so an empty body is stored as a space.
  const std::string payload = aRequest.m_body.empty() ? " " : aRequest.m_body;
  const Millis resolveBy = MonotonicMs() + kProposalWaitMs;
  pistachiostand::Submit body{ aRequest.m_key, aRequest.m_tenant, aRequest.m_service,
                               digest,         payload,           std::nullopt };
  m_runtime.m_proposals.Propose(
    std::move(body), { false, resolveBy },
    [this, request = std::move(aRequest)](ProposalResult aResult, const ApplyResult& aApplyResult) {
      const auto job = m_runtime.State().m_jobs.find(request.m_key);
      const bool known = aApplyResult.Accepted() || aApplyResult.m_refusal == Refusal::DuplicateKey;
      if (aResult == ProposalResult::Unresolved) {
        RespondUnknown(request);
      } else if (aResult == ProposalResult::NotAppended) {
        RespondNotRun(request, "log-unavailable", "the platform's log did not take the job");
      } else if (known && job != m_runtime.State().m_jobs.end()) {
        auto response = JobResponse(request, job->second, 202);
        SetHeader(response.m_headers, "location", LocationOf(request));
        request.m_respond(std::move(response));
      } else {
        const Refusal refusal = aApplyResult.m_refusal.value_or(Refusal::UnknownJob);
        request.m_respond(ToResponse({ OutcomeKind::NotRun,
                                       409,
                                       std::string{ ToString(refusal) },
                                       "the job was refused",
                                       "use a new Idempotency-Key for a new request",
                                       request.m_requestId,
                                       0,
                                       {} }));
      }
    });
}

void JobRunner::Report(const CallerRequest& aRequest)
{
  const auto job = m_runtime.State().m_jobs.find(aRequest.m_key);
  if (job == m_runtime.State().m_jobs.end()) {
    aRequest.m_respond(UnknownJob(aRequest));
    return;
  }
  aRequest.m_respond(JobResponse(aRequest, job->second, 200));
}

void JobRunner::Cancel(CallerRequest aRequest)
{
  const auto job = m_runtime.State().m_jobs.find(aRequest.m_key);
  if (job != m_runtime.State().m_jobs.end() && IsFinal(job->second.m_phase)) {
    Report(aRequest);
    return;
  }
  const auto active = m_active.find(aRequest.m_key);
  if (active != m_active.end() && active->second->m_queuedJob && !active->second->m_server) {
    m_dispatcher.Cancel(active->second->m_queued.m_id);
    Forget(AttemptPtr{ active->second });
  }
  // The cancel is proposed even if the job is unknown here, because another entry instance may just
  // have submitted it.
  pistachiostand::Cancel body{ aRequest.m_key };
  m_runtime.m_proposals.Propose(
    std::move(body), { false, MonotonicMs() + kProposalWaitMs },
    [this, request = std::move(aRequest)](ProposalResult aResult, const ApplyResult&) {
      if (aResult == ProposalResult::NotAppended) {
        request.m_respond(
          ToResponse({ OutcomeKind::Unknown, 503, "log-unavailable",
                       "the platform's log did not take the cancel", "repeat the request later",
                       request.m_requestId, kRetryAfterMs, LocationOf(request) }));
      } else if (aResult == ProposalResult::Unresolved) {
        RespondUnknown(request);
      } else {
        Report(request);
      }
    });
}

void JobRunner::WaitFor(CallerRequest aRequest)
{
  const auto job = m_runtime.State().m_jobs.find(aRequest.m_key);
  if (job != m_runtime.State().m_jobs.end() && IsFinal(job->second.m_phase)) {
    RespondFinal(aRequest, job->second);
    return;
  }
  const JobKey key = aRequest.m_key;
  m_waiters[key].push_back(std::move(aRequest));
}

void JobRunner::OnApplied(const LogEntry& aEntry, const ApplyResult& aApplyResult)
{
  if (!aApplyResult.Accepted()) {
    return;
  }
  const JobKey* key = nullptr;
  std::visit(
    [&key](const auto& aBody) {
      if constexpr (requires { aBody.m_key; }) {
        key = &aBody.m_key;
      }
    },
    aEntry.m_record.m_body);
  if (key == nullptr) {
    return;
  }
  m_open.insert(*key);
  const auto job = m_runtime.State().m_jobs.find(*key);
  if (job == m_runtime.State().m_jobs.end() || !IsFinal(job->second.m_phase)) {
    return;
  }
  auto node = m_waiters.extract(*key);
  if (!node.empty()) {
    for (const auto& request : node.mapped()) {
      RespondFinal(request, job->second);
    }
  }
}

void JobRunner::RespondFinal(const CallerRequest& aRequest, const Job& aJob)
{
  switch (aJob.m_phase) {
    case JobPhase::Completed:
      RespondCompleted(aRequest, aJob);
      return;
    case JobPhase::Stopped:
      aRequest.m_respond(
        ToResponse({ OutcomeKind::Stopped, 502, "stopped",
                     "the job may have run in part and will not run again",
                     "check what the job has done before it is submitted under a new key",
                     aRequest.m_requestId, 0, LocationOf(aRequest) }));
      return;
    case JobPhase::NotRun:
      RespondNotRun(aRequest, "not-started", "the job ended before it was started");
      return;
    case JobPhase::Queued:
    case JobPhase::Claimed:
      break;
  }
  RespondUnknown(aRequest);
}

/// \brief Responds with the result of a job; a body that is too large for the log is fetched from
/// the backend server that produced it.
void JobRunner::RespondCompleted(const CallerRequest& aRequest, const Job& aJob)
{
  if (aJob.m_bodyKept) {
    aRequest.m_respond(
      CompletedResponse(aJob.m_status, aJob.m_body, kJsonHeaders, aRequest.m_requestId));
    return;
  }
  m_runtime.m_backend.GetTask(
    AddressOf(aJob.m_target.m_server), aRequest.m_key, aJob.m_attempt,
    [request = aRequest](const auto& aTask) {
      if (aTask && aTask->m_state == TaskState::Completed) {
        request.m_respond(
          CompletedResponse(aTask->m_status, aTask->m_body, kJsonHeaders, request.m_requestId));
        return;
      }
      request.m_respond(ToResponse({ OutcomeKind::Completed, 410, "body-not-kept",
                                     "the job has completed, but its response is no longer kept",
                                     "ask the service for the result", request.m_requestId, 0,
                                     LocationOf(request) }));
    });
}

void JobRunner::RespondUnknown(const CallerRequest& aRequest)
{
  ++m_runtime.m_counters.m_unknown;
  aRequest.m_respond(ToResponse({ OutcomeKind::Unknown, 202, "outcome-unknown",
                                  "the outcome of the job is not known yet",
                                  "ask again at the location, or repeat the request with its key",
                                  aRequest.m_requestId, kRetryAfterMs, LocationOf(aRequest) }));
}

void JobRunner::ExpireWaiters(Millis aNowMs)
{
  std::vector<CallerRequest> expired;
  for (auto& [key, waiters] : m_waiters) {
    const auto late =
      std::partition(waiters.begin(), waiters.end(), [aNowMs](const CallerRequest& aRequest) {
        return aNowMs < aRequest.DeadlineMs();
      });
    std::move(late, waiters.end(), std::back_inserter(expired));
    waiters.erase(late, waiters.end());
  }
  std::erase_if(m_waiters, [](const auto& aEntry) { return aEntry.second.empty(); });
  std::ranges::for_each(expired, [this](const auto& aRequest) { RespondUnknown(aRequest); });
}

} // namespace pistachiostand
