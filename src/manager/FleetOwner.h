#pragma once

#include "Committer.h"
#include "FleetControl.h"
#include "OwnerState.h"
#include "RunControl.h"
#include "SubmissionCleaner.h"
#include "SubmissionWriter.h"
#include "TopicTail.h"

#include "pistachiostand/connection/Ticker.h"
#include "pistachiostand/job/Scheduler.h"

#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief The owner of the fleet: reads the jobs from the store, decides and orders.
///
/// One process owns the fleet at a time. Another one begins anew from the store: submissions,
/// progress, and then what the backend servers report.

namespace pistachiostand::fleet {

/// \brief What is known of a job that a caller asks for.
struct JobLookup
{
  bool m_current{};                      ///< The jobs are read up to a recent moment.
  std::optional<PublicJobState> m_state; ///< Nothing: no such job.
};

class FleetOwner
{
public:
  explicit FleetOwner(OwnerState aState);

  FleetOwner(const FleetOwner&) = delete;
  FleetOwner& operator=(const FleetOwner&) = delete;
  ~FleetOwner() = default;

  void Start();

  [[nodiscard]] JobLookup Find(const JobId& aId) const;

  /// \brief Pending jobs of a queue; nothing while the jobs are not read.
  [[nodiscard]] std::optional<std::size_t> Pending(std::string_view aQueue) const;

  /// \brief True when this instance's zone is cut off from the others, as its carriers show.
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
  /// \brief One call has been answered after failed ones: the others need not end their pauses.
  void OnStoreAvailable();
  void OnServerRecord(const std::string& aKey, const std::optional<std::string>& aValue);
  void OnFleetRecord(const std::string& aKey, const std::optional<std::string>& aValue);
  void LoadProgress(const std::string& aAfter);
  void OnProgressPage(const std::optional<platform::KeyedPage>& aPage);
  void FinishLoad();
  void AddSubmission(JobSpec aSpec);
  void ScheduleSoon();
  /// \brief What the log says of the owner's own load.
  struct LoadWindow
  {
    Millis m_beginMs{};
    unsigned m_passes{};
    Millis m_longestPassMs{};
    Millis m_longestGapMs{};
  };

  void Schedule();
  void UseCarriers();
  void HandOverToLarger(Millis aNowMs);
  void LogLoad(Millis aNowMs);
  void LogBacklog(Millis aNowMs);
  void Place(Millis aNowMs);
  void LeaveDrainingServers();
  void AskAdvice(const std::vector<StepId>& aSteps, const std::vector<ServerView>& aServers);
  void OnStored(const CommitBatch& aBatch);
  void Tick();
  void ForgetOldJobs(Millis aNowMs);
  [[nodiscard]] bool IsCurrent(Millis aNowMs) const;
  /// \brief True when the owner may act and has read what callers sent while it could not.
  ///
  /// After an outage neither instances nor places are given away on the view from before it: the
  /// queue whose turn it is shows only in the submissions that were stored since. Plans the
  /// capacity when it becomes true.
  [[nodiscard]] bool CatchUp(Millis aNowMs);

  OwnerState m_state;
  Committer m_committer;
  RunControl m_runs;
  FleetControl m_fleet;
  SubmissionCleaner m_cleaner;
  std::vector<std::unique_ptr<TopicTail>> m_submissions; ///< One for each partition.
  TopicTail m_registry;
  TopicTail m_fleetRecords;
  asio::steady_timer m_scheduleTimer;
  asio::steady_timer m_loadTimer;
  Ticker m_ticker;
  bool m_submissionsRead{};
  std::optional<Millis> m_leaseHeldSinceMs; ///< Since when it may act; nothing while it may not.
  bool m_caughtUp{};                        ///< Has read, since then, what came before.
  bool m_loaded{};
  Millis m_handOverTriedMs{};
  Millis m_carriersTriedMs{};
  bool m_scheduled{};
  Millis m_passMs{}; ///< Duration of the last pass over the jobs.
  LoadWindow m_load;
  Millis m_expectedTimesUpdatedMs{}; ///< When the expected times of all jobs were set.
  Millis m_tickMs{};                 ///< Of the last tick.
  std::set<JobId> m_cancels;         ///< Read before the progress was.
  std::map<StepId, std::map<ServerId, Ticket>> m_tickets;
  std::map<StepId, Millis> m_ticketsEndMs;
  std::set<StepId> m_adviceInFlight;
};

} // namespace pistachiostand::fleet
