#pragma once

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobTable.h"

#include <compare>
#include <cstddef>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Decides which subtask starts next, and on which server.
///
/// Uses no clock, no socket and no other input or output. Handles bursts in which queues need
/// several times the capacity of their pool for some seconds: jobs that can still meet their
/// objective come first, earliest deadline first, so that as few objectives as possible are missed
/// and large jobs are served as well as small ones. Work that the quota of its account holds back
/// delays no other work.

namespace pistachiostand::fleet {

/// \brief A backend server that may receive work, with its free capacity.
struct ServerView
{
  ServerId m_id;
  PoolName m_pool;
  ZoneName m_zone;
  std::vector<std::string> m_labels;
  Resources m_capacity;
  Resources m_free;
  ServerLoad m_load;
  bool m_avoid{};          ///< Its last runs failed; used only as a last resort.
  bool m_maintenanceDue{}; ///< Due for maintenance; avoided for long-running work.
  bool m_unschedulable{};  ///< Accepts no new work.
  /// Further runs that may be planned on it until starts are answered; not for gangs.
  std::size_t m_startsLeft{ std::numeric_limits<std::size_t>::max() };

  friend bool operator==(const ServerView&, const ServerView&) = default;
};

struct StepId
{
  JobId m_job;
  std::uint32_t m_occurrence{};
  std::uint32_t m_step{};

  friend auto operator<=>(const StepId&, const StepId&) = default;
};

/// \brief Permission of the placement service to start the subtasks of a step on a server.
using Ticket = std::string;

/// \brief How a job stands to its time objective. Jobs are placed in the order of the enumerators.
///
/// The value of a job is what its completion is worth to its caller; it decreases after the
/// objective.
enum class Urgency : std::uint8_t
{
  LongRunning, ///< Produces value continuously.
  InTime,      ///< Meets its objective with a margin if it starts now.
  AtRisk,      ///< Meets its objective if it takes no longer than expected.
  Late,        ///< Misses its objective, and still has a little value.
  BeyondShare, ///< Sent beyond the weight of its account, and still has value.
  NoValue,     ///< Has no value left but must finish.
};

/// \param aRule rule of its queue; null when the queue no longer exists.
/// \param aState state of the occurrence; null when it has not begun.
[[nodiscard]] Urgency UrgencyOf(const Job& aJob, const QueueRule* aRule, std::uint32_t aOccurrence,
                                const Occurrence* aState, Millis aNowMs);

/// \brief Urgency by the objective alone, without the share of the account.
/// \param aRemainingMs expected time of the critical path through the steps that are not done.
[[nodiscard]] Urgency ObjectiveUrgency(const Job& aJob, const QueueTerms& aTerms,
                                       std::uint32_t aOccurrence, Millis aRemainingMs,
                                       Millis aNowMs);

/// \brief Urgency of a job whose ObjectiveUrgency() is `aUrgency`: jobs beyond the share come after
/// the jobs within theirs that have value.
[[nodiscard]] Urgency ApplyShare(const Job& aJob, Urgency aUrgency) noexcept;

/// \brief First due occurrence from `aFirst` on whose ObjectiveUrgency() would be `aUrgency` or
/// better if it has not begun; the number of due occurrences when there is none. Later ones are no
/// worse.
[[nodiscard]] std::uint32_t FirstWithUrgency(const Job& aJob, const QueueTerms& aTerms,
                                             std::uint32_t aFirst, Urgency aUrgency, Millis aNowMs);

struct SchedulerInput
{
  Millis m_nowMs{};
  /// Cost added for a server outside the rack of the step's data: the slow-down of a run there.
  double m_remoteFactor{ 3.0 };
  std::map<QueueName, double> m_meanWork; ///< Mean core-seconds of a job, by queue.
  /// Valid tickets of queues with a placement service.
  std::map<StepId, std::map<ServerId, Ticket>> m_tickets;
  /// Fraction of the quota of an account by which a gang may exceed it while the account runs
  /// nothing else.
  double m_runningOverage{};
  /// Runs that may be planned in all. A gang that is placed as a whole may exceed it.
  std::size_t m_startsLeft{ std::numeric_limits<std::size_t>::max() };
};

struct Placement
{
  SubtaskId m_subtask;
  ServerId m_server;
  std::uint64_t m_run{};
  bool m_copy{}; ///< A second copy of a running subtask.

  friend auto operator<=>(const Placement&, const Placement&) = default;
};

/// \brief Work of an account that its quota holds back.
struct HeldBackWork
{
  std::uint32_t m_steps{};
  StepId m_first; ///< The one with the highest precedence.

  friend auto operator<=>(const HeldBackWork&, const HeldBackWork&) = default;
};

struct SchedulerResult
{
  std::vector<Placement> m_placements;       ///< Already planned in the job table.
  std::vector<StepId> m_stepsWithoutTickets; ///< Steps that wait for tickets.
  std::map<AccountName, HeldBackWork> m_heldBack;
  /// Subtasks would fit, and wait until starts are answered.
  bool m_startsHeldBack{};
};

/// \brief Places the subtasks that fit and that the quotas of their accounts allow, plans their
/// runs in the job table and updates `aServers`.
SchedulerResult PlaceSubtasks(JobTable& aJobTable, const Configuration& aConfiguration,
                              std::vector<ServerView>& aServers, const SchedulerInput& aInput);

/// \brief Terms of the queue of a job: those in force, or those at acceptance if the configuration
/// does not contain the queue.
/// \param aRule the queue in force; null when the configuration does not contain it.
[[nodiscard]] const QueueTerms& TermsOf(const Job& aJob, const QueueRule* aRule) noexcept;

/// \brief Pool that runs the subtasks of a job: that of its queue, or the one it was accepted for
/// when the queue no longer exists.
[[nodiscard]] const PoolName& PoolOf(const Job& aJob, const Configuration& aConfiguration) noexcept;

/// \brief Expected time until the subtasks of a step are done. Elapsed time counts only once all of
/// them have started.
/// \param aOccurrence null when it has not begun.
[[nodiscard]] Millis RemainingStepMs(const Job& aJob, const Occurrence* aOccurrence,
                                     std::uint32_t aStep, Millis aNowMs);

/// \brief Expected time of the critical path through the steps that are not done.
[[nodiscard]] Millis RemainingCriticalPathMs(const Job& aJob, const Occurrence& aOccurrence,
                                             Millis aNowMs);

/// \brief Deadline of the objective of an occurrence, on the owner's steady clock.
[[nodiscard]] Millis ObjectiveEndMs(const Job& aJob, const QueueTerms& aTerms,
                                    std::uint32_t aOccurrence) noexcept;

} // namespace pistachiostand::fleet
