#pragma once

#include "PlainCall.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Keyed jobs: claim, dispatch, outcome, takeover and cancel.

namespace pistachiostand {

/// \brief A job that this process tries to run.
struct ActiveAttempt;

class JobRunner
{
public:
  JobRunner(Runtime& aRuntime, Dispatcher& aDispatcher);

  JobRunner(const JobRunner&) = delete;
  JobRunner& operator=(const JobRunner&) = delete;
  ~JobRunner() = default;

  /// \brief Runs a job while the caller waits, or joins the one that has the same key.
  void RunNow(CallerRequest aRequest);

  /// \brief Adds a job to the log; it runs when a slot is free.
  void Submit(CallerRequest aRequest);

  /// \brief Responds with what is known about a key.
  void Report(const CallerRequest& aRequest);

  /// \brief Cancels a job and responds.
  void Cancel(CallerRequest aRequest);

  /// \brief Responds to callers that wait for the job of this record, once the job is final.
  void OnApplied(const LogEntry& aEntry, const ApplyResult& aApplyResult);

  /// \brief Collects the open jobs again after the state was replaced.
  void Rescan();

  [[nodiscard]] std::size_t ActiveCount() const noexcept { return m_active.size(); }

private:
  using AttemptPtr = std::shared_ptr<ActiveAttempt>;

  // Jobs that this process tries to run.
  void Enqueue(const AttemptPtr& aAttempt);
  void OnSlot(const AttemptPtr& aAttempt, const ServerRef& aServer);
  void OnClaim(const AttemptPtr& aAttempt, ProposalResult aResult, const ApplyResult& aApplyResult);
  void OnClaimRefused(const AttemptPtr& aAttempt, const ApplyResult& aApplyResult);
  void Dispatch(const AttemptPtr& aAttempt);
  void OnOutcome(const AttemptPtr& aAttempt, RunOutcome aOutcome, Millis aTookMs);
  void FinishAttempt(const AttemptPtr& aAttempt, FinishKind aKind, std::uint16_t aStatus,
                     const std::string& aBody);
  void MoveClaim(const AttemptPtr& aAttempt, const std::string& aCause);
  void OnExpired(const AttemptPtr& aAttempt);
  void ProposeRelease(const AttemptPtr& aAttempt, bool aMayHaveRun, const std::string& aCause);
  void ReleaseSlot(const AttemptPtr& aAttempt);
  /// \brief Ends the work of this process on a job; its state in the log stays as it is.
  void Forget(const AttemptPtr& aAttempt);
  void Retry(const AttemptPtr& aAttempt, const std::string& aCause);

  // Waiting callers.
  void WaitFor(CallerRequest aRequest);
  void RespondFinal(const CallerRequest& aRequest, const Job& aJob);
  void RespondCompleted(const CallerRequest& aRequest, const Job& aJob);
  void RespondUnknown(const CallerRequest& aRequest);
  void ExpireWaiters(Millis aNowMs);

  // Jobs in the state: starts queued ones, resolves those whose process is gone, stops cancelled
  // ones. A task is the record that a backend server keeps of one attempt.
  void Tick();
  [[nodiscard]] bool OwnsJob(const JobKey& aKey, Millis aNowMs) const;
  void StartQueued(const JobKey& aKey, const Job& aJob, Millis aNowMs);
  void Resolve(const JobKey& aKey, const Job& aJob, Millis aNowMs);
  void ResolveByTask(const JobKey& aKey, const Job& aJob);
  void StopTask(const JobKey& aKey, const Job& aJob);
  void OnTaskOutcome(const JobKey& aKey, std::uint32_t aAttempt, const TaskOutcome& aOutcome);
  [[nodiscard]] bool IsStillClaimed(const JobKey& aKey, std::uint32_t aAttempt) const;
  [[nodiscard]] std::string AddressOf(const InstanceId& aInstance) const;

  Runtime& m_runtime;
  Dispatcher& m_dispatcher;
  std::map<JobKey, AttemptPtr> m_active;
  std::map<JobKey, std::vector<CallerRequest>> m_waiters;
  std::set<JobKey> m_open; ///< Keys of jobs that may not be final yet.
  std::map<JobKey, Millis> m_resolveAfterMs;
  Ticker m_ticker;
};

} // namespace pistachiostand
