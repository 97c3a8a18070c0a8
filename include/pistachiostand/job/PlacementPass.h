#pragma once

#include "pistachiostand/job/Scheduler.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

/// \file
/// \brief A pass over the waiting work that can be interrupted.
///
/// Uses no clock, no socket and no other input or output. Handles jobs with up to hundreds of
/// thousands of waiting subtasks in many occurrences and steps: occurrences that have not begun are
/// equal but for their due time, so a job has one piece of work for all of those with the same
/// urgency. What a call leaves undone, the next one continues; the caller does other work in
/// between.

namespace pistachiostand::fleet {

/// \brief Waiting steps of a job with the same precedence: of an occurrence that has begun, or of
/// the first of several that have not.
struct WaitingWork
{
  Urgency m_urgency{};
  Urgency m_objectiveUrgency{}; ///< As m_urgency, regardless of the share.
  Millis m_objectiveEndMs{};
  double m_creditDensity{}; ///< Credit for each remaining core-second.
  std::size_t m_sequence{}; ///< Decides between equal ones.
  const Job* m_job{};
  std::uint32_t m_occurrence{};
  std::uint32_t m_endOccurrence{}; ///< Those before it that have not begun have the same urgency.
  bool m_longRunning{};            ///< The long-running steps; otherwise the others.
};

class PlacementPass
{
public:
  explicit PlacementPass(SchedulerInput aInput)
    : m_input(std::move(aInput))
  {
  }

  /// \brief Continues the pass until it has visited at least `aMaxVisits` jobs, steps and servers.
  /// No job may be removed from the job table between two calls.
  /// \return true when the pass is complete.
  bool Continue(JobTable& aJobTable, const Configuration& aConfiguration,
                std::vector<ServerView>& aServers, std::size_t aMaxVisits);

  [[nodiscard]] const SchedulerInput& Input() const noexcept { return m_input; }

  /// \brief The placements since the last call.
  [[nodiscard]] std::vector<Placement> TakePlacements();

  /// \brief What has been found so far, with the placements that were not taken.
  [[nodiscard]] const SchedulerResult& Result() const noexcept { return m_result; }

  /// \brief Jobs, steps and servers visited by the last call of Continue().
  [[nodiscard]] std::size_t Visits() const noexcept { return m_visits; }

private:
  /// \brief Needs that no server of a pool can satisfy any more in this pass.
  using Needs = std::vector<Resources>;
  struct View; ///< The servers and the configuration during one call.

  bool CollectWork(const JobTable& aJobTable, const QueueIndex& aQueues, std::size_t aMaxVisits);
  void CollectJob(const Job& aJob, const QueueRule* aRule);
  void CollectNotBegun(const Job& aJob, const QueueRule* aRule, bool aLongRunning);
  void Add(const Job& aJob, const QueueRule* aRule, std::uint32_t aOccurrence,
           std::uint32_t aEndOccurrence, bool aLongRunning, const Occurrence* aState);
  /// \brief True when a subtask of the step has to start, or a copy of one.
  /// \param aOccurrence null when it has not begun.
  [[nodiscard]] bool NeedsPlacement(const Job& aJob, const Occurrence* aOccurrence,
                                    std::uint32_t aStep);
  [[nodiscard]] bool HasWork(const Job& aJob, const Occurrence& aOccurrence, bool aLongRunning);
  void PlaceNext(JobTable& aJobTable, View& aView);
  /// \return true when the next occurrence may have more success: one of its steps was placed, or
  /// only tickets were missing.
  bool PlaceOccurrence(JobTable& aJobTable, View& aView, const WaitingWork& aWork,
                       const QueueRule* aRule);
  bool PlaceStep(JobTable& aJobTable, View& aView, const StepId& aStep, const QueueRule* aRule);

  SchedulerInput m_input;
  SchedulerResult m_result;
  std::vector<WaitingWork> m_work; ///< A heap once all is collected.
  JobId m_lastCollected;
  bool m_isCollected{};
  std::size_t m_visits{}; ///< In this call.
  std::map<PoolName, Needs> m_unplaceable;
  std::map<JobId, std::size_t> m_occurrencesWithoutTickets;
};

} // namespace pistachiostand::fleet
