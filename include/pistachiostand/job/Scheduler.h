#pragma once

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobTable.h"

#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Which subtask starts next, and where.
///
/// Pure. Answers the load of queues that ask for several times the room of their pool for some
/// seconds: jobs that can still meet their objective come first, by the end of it, so that a burst
/// costs as few objectives as possible and large jobs get their turn like small ones.

namespace pistachiostand::fleet {

/// \brief A backend server that may receive work, with the room that is left.
struct ServerView
{
  ServerId m_id;
  PoolName m_pool;
  ZoneName m_zone;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  Resources m_free;
  ServerLoad m_load;
  bool m_avoid{};          ///< Fails or hangs; used only when nothing else is left.
  bool m_maintenanceDue{}; ///< Due for maintenance: no lasting work.
  bool m_unschedulable{};  ///< Takes no new work.

  friend bool operator==(const ServerView&, const ServerView&) = default;
};

struct StepId
{
  JobId m_job;
  std::uint32_t m_occurrence{};
  std::uint32_t m_step{};

  friend auto operator<=>(const StepId&, const StepId&) = default;
};

using Ticket = std::string;

/// \brief What a job can still earn.
enum class Urgency : std::uint8_t
{
  LongRunning, ///< Earns at all times.
  InTime,      ///< Meets its objective when it is started now.
  AtRisk,      ///< Meets its objective when it takes no longer than expected.
  Late,        ///< Earns a little.
  NoValue,     ///< Earns nothing but must finish.
};

/// \param aRule of its queue; null when the queue is gone.
[[nodiscard]] Urgency UrgencyOf(const Job& aJob, const QueueRule* aRule, std::uint32_t aOccurrence,
                                const Occurrence& aState, Millis aNowMs);

struct SchedulerInput
{
  Millis m_nowMs{};
  double m_remoteFactor{ 3.0 }; ///< Slow-down of work away from its data or its gang's rack.
  std::map<QueueName, double> m_meanWork;                 ///< Mean core-seconds of a job, by queue.
  std::map<StepId, std::map<ServerId, Ticket>> m_tickets; ///< Valid tickets of queues with advice.
};

struct Placement
{
  SubtaskId m_subtask;
  ServerId m_server;
  std::uint64_t m_run{};
  bool m_copy{}; ///< A second copy of a running subtask.

  friend auto operator<=>(const Placement&, const Placement&) = default;
};

struct SchedulerResult
{
  std::vector<Placement> m_placements;       ///< Already planned in the book.
  std::vector<StepId> m_stepsWithoutTickets; ///< Steps that wait for tickets.
};

/// \brief Places what fits; plans the runs in the book and takes their room from `aServers`.
SchedulerResult PlaceSubtasks(JobTable& aJobTable, const Configuration& aConfiguration,
                              std::vector<ServerView>& aServers, const SchedulerInput& aInput);

/// \brief Pool that runs the subtasks of a job now: that of its queue, or the one it was accepted
/// for when the queue is gone.
[[nodiscard]] const PoolName& PoolOf(const Job& aJob, const Configuration& aConfiguration) noexcept;

/// \brief Expected time until the subtasks of a step are done; less than all of it once the last of
/// them has started.
[[nodiscard]] Millis RemainingStepMs(const StepTimes& aTimes, const std::vector<Subtask>& aSubtasks,
                                     Millis aNowMs);

/// \brief Expected time of the longest chain of steps that are not done.
[[nodiscard]] Millis RemainingCriticalPathMs(const Job& aJob, const Occurrence& aOccurrence,
                                             Millis aNowMs);

/// \brief When the objective of an occurrence ends, on the owner's steady clock.
[[nodiscard]] Millis ObjectiveEndMs(const Job& aJob, const QueueRule& aRule,
                                    std::uint32_t aOccurrence) noexcept;

} // namespace pistachiostand::fleet
