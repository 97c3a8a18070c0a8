#pragma once

#include "AdviceCalls.h"
#include "Committer.h"
#include "FleetControl.h"
#include "OwnerState.h"
#include "RunControl.h"
#include "RunTimeStore.h"
#include "SubmissionCleaner.h"
#include "SubmissionWriter.h"
#include "TopicTail.h"

#include "pistachiostand/account/Access.h"
#include "pistachiostand/connection/Ticker.h"
#include "pistachiostand/job/PlacementPass.h"

#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief The owner of the fleet: reads the jobs from the store, plans their runs and sends orders.
///
/// One process owns the fleet at a time. A new owner rebuilds its state from the store
/// (submissions, then progress) and from the reports of the backend servers.

namespace pistachiostand::fleet {

/// \brief Result of looking up a job.
struct JobLookup
{
  bool m_current{};                      ///< The jobs are read up to a recent time.
  std::optional<PublicJobState> m_state; ///< nullopt: no such job, if m_current is set.
};

class FleetOwner
{
public:
  explicit FleetOwner(OwnerState aState);

  FleetOwner(const FleetOwner&) = delete;
  FleetOwner& operator=(const FleetOwner&) = delete;
  ~FleetOwner() = default;

  void Start();

  /// \brief Looks up a job as far as the caller may read it.
  [[nodiscard]] JobLookup Find(const JobId& aId, const CallerScope& aScope) const;

  /// \brief Number of pending jobs of a queue; nullopt while the jobs are not read up to a recent
  /// time.
  [[nodiscard]] std::optional<std::size_t> Pending(std::string_view aQueue) const;

  /// \brief True when this instance's zone is isolated from the others, judging by its carriers.
  [[nodiscard]] bool IsZoneIsolated() const
  {
    return m_state.m_orders.HasLostOtherZones(m_state.m_settings.m_zone);
  }

  void OnConfiguration() { ScheduleSoon(); }
  void OnWave(const MaintenanceWave& aWave, Millis aSeenMs) { m_fleet.OnWave(aWave, aSeenMs); }

private:
  void OnSubmissionRecord(std::uint32_t aPartition, const std::string& aKey,
                          const std::optional<std::string>& aValue);
  void OnSubmissionsCurrent();
  /// \brief Called when a call to the store succeeds after failed ones. All others are retried
  /// without waiting for the end of their pauses.
  void OnStoreAvailable();
  void OnServerRecord(const std::string& aKey, const std::optional<std::string>& aValue);
  void OnFleetRecord(const std::string& aKey, const std::optional<std::string>& aValue);
  void LoadProgress(const std::string& aAfter);
  void OnProgressPage(const std::optional<platform::KeyedPage>& aPage);
  void FinishLoad();
  void AddSubmission(JobSpec aSpec);
  /// \brief Applies the share of its account to a job, and counts it for the forecast.
  void RecordAccepted(Job& aJob);
  void Cancel(const JobId& aId, const CallerScope& aScope);
  void ScheduleSoon();
  /// \brief Load of the owner since the last log line about it.
  struct LoadWindow
  {
    Millis m_beginMs{};
    unsigned m_passes{};
    Millis m_longestPassMs{};
    Millis m_longestTurnMs{};
    Millis m_longestGapMs{};
  };

  void Schedule();
  void UseCarriers();
  void HandOverToLarger(Millis aNowMs);
  void LogLoad(Millis aNowMs);
  void LogBacklog(Millis aNowMs);
  /// \brief Logs the accounts whose work their quota held back in the last pass.
  void LogHeldBack() const;
  /// \brief True when the quota of its account would hold back the first subtask of a job.
  [[nodiscard]] bool IsAtLimit(const Job& aJob) const;
  void BeginPass(Millis aNowMs);
  /// \brief Does a part of the pass; the rest follows in later turns of the loop.
  void ContinuePass();
  void CountTurn(Millis aBeginMs);
  /// \brief Updates the expected times of some jobs.
  void UpdateJobTimes(Millis aNowMs);
  void StopRunsOnDrainingServers();
  void OnStored(const CommitBatch& aBatch);
  void Tick();
  void ForgetOldJobs(Millis aNowMs);
  [[nodiscard]] bool IsCurrent(Millis aNowMs) const;
  /// \brief True when the owner holds the ownership lease and has read what callers submitted while
  /// it did not.
  ///
  /// After an outage, the view from before it is not used to assign instances or capacity: the
  /// burst of a queue shows only in the submissions that were stored since. Plans the capacity when
  /// it becomes true.
  [[nodiscard]] bool CatchUp(Millis aNowMs);

  OwnerState m_state;
  Committer m_committer;
  RunControl m_runs;
  AdviceCalls m_advice;
  FleetControl m_fleet;
  SubmissionCleaner m_cleaner;
  RunTimeStore m_runTimeStore;
  std::vector<std::unique_ptr<TopicTail>> m_submissions; ///< One for each partition.
  TopicTail m_registry;
  TopicTail m_fleetRecords;
  asio::steady_timer m_scheduleTimer;
  asio::steady_timer m_loadTimer;
  Ticker m_ticker;
  bool m_submissionsRead{};
  /// Start of the current ownership lease; nullopt: not held.
  std::optional<Millis> m_leaseHeldSinceMs;
  bool m_caughtUp{}; ///< Has read, since then, what was submitted before.
  bool m_loaded{};
  Millis m_handOverTriedMs{};
  Millis m_carriersTriedMs{};
  bool m_scheduled{};
  std::optional<PlacementPass> m_pass; ///< The pass in progress.
  bool m_passWanted{};                 ///< Another pass has to follow it.
  Millis m_passMs{};                   ///< Time that the last pass over the jobs took in all.
  LoadWindow m_load;
  std::map<AccountName, HeldBackWork> m_heldBack; ///< In the last pass.
  Millis m_expectedTimesUpdatedMs{}; ///< When the last update of the expected times began.
  JobId m_lastUpdated; ///< Last job of that update whose times are up to date; empty: all are.
  Millis m_tickMs{};   ///< Time of the last tick.
  std::multimap<JobId, CallerScope> m_cancels; ///< Cancellations read before the progress.
};

} // namespace pistachiostand::fleet
