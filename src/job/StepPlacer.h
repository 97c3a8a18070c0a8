#pragma once

#include "pistachiostand/job/Scheduler.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

/// \file
/// \brief Chooses servers for the subtasks of one step.

namespace pistachiostand::fleet {

/// \brief True when a second copy of the run of a speculative subtask should start.
[[nodiscard]] bool NeedsSpeculativeCopy(const StepSpec& aStep, const StepTimes& aTimes,
                                        const Subtask& aSubtask, Millis aNowMs);

/// \brief What the placement of a step may use.
struct PlacementLimits
{
  const std::map<ServerId, Ticket>* m_tickets{}; ///< Null: any server may run the step.
  std::size_t m_startsWithinQuota{};             ///< Not for gangs.
  std::size_t& m_startsLeft;                     ///< Of the pass.
};

class StepPlacer
{
public:
  StepPlacer(JobTable& aJobTable, const std::vector<ServerView*>& aServers,
             const SchedulerInput& aInput, const StepId& aId, const PlacementLimits& aLimits);

  /// \return false when the quota of the account holds subtasks back.
  bool Place(std::vector<Placement>& aPlacements);

private:
  [[nodiscard]] const StepState* State() const;
  bool PlaceCopies(std::vector<Placement>& aPlacements);
  [[nodiscard]] bool CanRunOn(const ServerView& aServer, const ServerId& aExcludedServer) const;
  /// \brief Cost of a server; lower is better. Slow-downs outweigh how full the servers are.
  [[nodiscard]] double Cost(const ServerView& aServer) const;
  [[nodiscard]] ServerView* ChooseServer(const std::vector<ServerView*>& aServers,
                                         const ServerId& aExcludedServer) const;
  void PlanPlacement(ServerView& aServer, std::uint32_t aIndex, std::uint64_t aRun, bool aCopy,
                     std::vector<Placement>& aPlacements);
  /// \brief Places all members or none, because a partial gang would only wait.
  void PlaceGang(std::vector<Placement>& aPlacements);
  bool PlaceGangInOneRack(std::vector<Placement>& aPlacements);
  bool PlaceGangOn(const std::vector<ServerView*>& aServers, std::vector<Placement>& aPlacements);
  /// \brief Number of members that the servers have room for.
  [[nodiscard]] std::int64_t RoomFor(const std::vector<ServerView*>& aServers) const;

  JobTable& m_jobTable;
  const std::vector<ServerView*>& m_servers;
  const SchedulerInput& m_input;
  StepId m_id;
  const Job& m_job;
  const StepSpec& m_spec;
  PlacementLimits m_limits;
  Resources m_need;
  /// Runs of the step on each server; only for a step that limits them.
  std::map<ServerId, std::uint32_t> m_stepRunsByServer;
};

} // namespace pistachiostand::fleet
