#include "ActiveAttempt.h"
#include "JobRunner.h"

#include "pistachiostand/base/Clock.h"

#include <spdlog/spdlog.h>

#include <utility>

/// \file
/// \brief Starts or resolves jobs that no live process runs, and stops running jobs on cancel.

namespace pistachiostand {

namespace {

constexpr Millis kResolveIntervalMs = 1'000;

} // namespace

void JobRunner::Rescan()
{
  for (const auto& [key, job] : m_runtime.State().m_jobs) {
    if (!IsFinal(job.m_phase)) {
      m_open.insert(key);
    }
  }
}

void JobRunner::Tick()
{
  const Millis now = MonotonicMs();
  ExpireWaiters(now);
  if (!ReadsPlatform(m_runtime, now) || m_runtime.m_draining) {
    return;
  }
  std::erase_if(m_open, [this](const JobKey& aKey) {
    const auto job = m_runtime.State().m_jobs.find(aKey);
    const bool closed = job == m_runtime.State().m_jobs.end() || IsFinal(job->second.m_phase);
    if (closed) {
      m_resolveAfterMs.erase(aKey);
    }
    return closed;
  });
  const std::set<JobKey> open = m_open; // A copy, because m_open may change below.
  for (const auto& key : open) {
    const auto job = m_runtime.State().m_jobs.find(key);
    if (job == m_runtime.State().m_jobs.end()) {
      continue;
    }
    if (job->second.m_phase == JobPhase::Queued) {
      StartQueued(key, job->second, now);
    } else if (job->second.m_phase == JobPhase::Claimed) {
      Resolve(key, job->second, now);
    }
  }
}

/// \brief True if this process is responsible for the job. Only processes that read the platform's
/// log are eligible, because all work on a job appends to it.
bool JobRunner::OwnsJob(const JobKey& aKey, Millis aNowMs) const
{
  return m_runtime.m_membership.IsFirstChoiceAmongReaders(
    "job/" + aKey, aNowMs, m_runtime.m_settings.m_limits.m_viewConfirmMs);
}

void JobRunner::StartQueued(const JobKey& aKey, const Job& aJob, Millis aNowMs)
{
  const Rules& rules = m_runtime.CurrentRules();
  const auto service = rules.m_services.find(aJob.m_service);
  const TenantRule* tenant = FindTenant(rules, aJob.m_tenant);
  if (m_active.contains(aKey) || service == rules.m_services.end() || tenant == nullptr ||
      !OwnsJob(aKey, aNowMs)) {
    return;
  }
  auto attempt = std::make_shared<ActiveAttempt>();
  attempt->m_queuedJob = true;
  CallerRequest& request = attempt->m_request;
  request.m_requestId = "job-" + std::to_string(m_dispatcher.NextId());
  request.m_tenant = aJob.m_tenant;
  request.m_tenantRule = *tenant;
  request.m_service = aJob.m_service;
  request.m_serviceRule = service->second;
  request.m_key = aKey;
  request.m_body = aJob.m_payload;
  request.m_arrivedMs = aNowMs;
  m_active.emplace(aKey, attempt);
  Enqueue(attempt);
}

bool JobRunner::IsStillClaimed(const JobKey& aKey, std::uint32_t aAttempt) const
{
  const auto job = m_runtime.State().m_jobs.find(aKey);
  return job != m_runtime.State().m_jobs.end() && job->second.m_phase == JobPhase::Claimed &&
         job->second.m_attempt == aAttempt;
}

std::string JobRunner::AddressOf(const InstanceId& aInstance) const
{
  const FleetState& state = m_runtime.State();
  if (const auto found = state.m_instances.find(aInstance); found != state.m_instances.end()) {
    return found->second.m_address;
  }
  const auto retired = state.m_retired.find(aInstance);
  return retired == state.m_retired.end() ? std::string{} : retired->second.m_instance.m_address;
}

/// \brief Stops a cancelled attempt that this process runs, and determines the outcome of one that
/// it does not run.
void JobRunner::Resolve(const JobKey& aKey, const Job& aJob, Millis aNowMs)
{
  const auto active = m_active.find(aKey);
  if (active != m_active.end()) {
    const bool stop = aJob.m_cancelRequested && active->second->m_sentMs != 0;
    if (stop && !std::exchange(active->second->m_stopSent, true)) {
      StopTask(aKey, aJob);
    }
    return;
  }
  const bool own = aJob.m_claimant == m_runtime.m_process;
  const bool orphan = !own && !m_runtime.m_membership.IsProcessAlive(aJob.m_claimant, aNowMs) &&
                      OwnsJob(aKey, aNowMs);
  Millis& after = m_resolveAfterMs[aKey];
  if ((!own && !orphan) || aNowMs < after) {
    return;
  }
  after = aNowMs + kResolveIntervalMs;
  const Rules& rules = m_runtime.CurrentRules();
  const auto service = rules.m_services.find(aJob.m_service);
  if (service == rules.m_services.end()) {
    return;
  }
  if (service->second.m_idempotent) {
    m_runtime.m_proposals.Propose(ReleaseClaim{ aKey, aJob.m_attempt, false, true }, {},
                                  [](ProposalResult, const ApplyResult&) {});
    return;
  }
  const auto pool = rules.m_pools.find(service->second.m_pool);
  if (pool != rules.m_pools.end() && pool->second.m_taskControl == TaskControl::Full) {
    ResolveByTask(aKey, aJob);
  }
}

/// \brief Resolves a claim from its task on the server. A task that runs is stopped only on cancel:
/// its claimant may be alive and merely partitioned. One that has not started is stopped, so that a
/// delayed dispatch cannot start it.
void JobRunner::ResolveByTask(const JobKey& aKey, const Job& aJob)
{
  const auto& instances = m_runtime.State().m_instances;
  const auto server = instances.find(aJob.m_target.m_server);
  if (server != instances.end() && server->second.m_bootId != aJob.m_target.m_bootId) {
    OnTaskOutcome(aKey, aJob.m_attempt, { TaskState::OtherBoot, 0, {} });
    return;
  }
  const std::string address = AddressOf(aJob.m_target.m_server);
  if (address.empty()) {
    return;
  }
  if (aJob.m_cancelRequested) {
    StopTask(aKey, aJob);
    return;
  }
  m_runtime.m_backend.GetTask(
    address, aKey, aJob.m_attempt, [this, aKey, job = aJob](const auto& aTask) {
      if (!aTask || aTask->m_state == TaskState::Running || !IsStillClaimed(aKey, job.m_attempt)) {
        return;
      }
      if (aTask->m_state == TaskState::NeverStarted) {
        StopTask(aKey, job);
      } else {
        OnTaskOutcome(aKey, job.m_attempt, *aTask);
      }
    });
}

void JobRunner::StopTask(const JobKey& aKey, const Job& aJob)
{
  const std::string address = AddressOf(aJob.m_target.m_server);
  if (address.empty()) {
    return;
  }
  m_runtime.m_backend.Stop(address, aKey, aJob.m_attempt, aJob.m_target.m_bootId,
                           [this, aKey, attempt = aJob.m_attempt](const auto& aTask) {
                             if (aTask && IsStillClaimed(aKey, attempt) &&
                                 !m_active.contains(aKey)) {
                               OnTaskOutcome(aKey, attempt, *aTask);
                             }
                           });
}

/// \brief Proposes the record for the outcome that a stop or a task query has reported.
void JobRunner::OnTaskOutcome(const JobKey& aKey, std::uint32_t aAttempt,
                              const TaskOutcome& aOutcome)
{
  RecordBody body;
  if (aOutcome.m_state == TaskState::NeverStarted) {
    body = ReleaseClaim{ aKey, aAttempt, true, false };
  } else {
    const bool completed = aOutcome.m_state == TaskState::Completed && aOutcome.m_status < 500;
    const bool kept = aOutcome.m_body.size() <= kMaxKeptBodyBytes;
    body = Finish{ aKey,
                   aAttempt,
                   completed ? FinishKind::Completed : FinishKind::Stopped,
                   aOutcome.m_status,
                   kept ? aOutcome.m_body : std::string{},
                   kept };
  }
  ++m_runtime.m_counters.m_resolvedClaims;
  spdlog::info("job: Resolved {} attempt {} as {}.", aKey, aAttempt, KindName(body));
  m_runtime.m_proposals.Propose(std::move(body), {}, [](ProposalResult, const ApplyResult&) {});
}

} // namespace pistachiostand
