#pragma once

#include "pistachiostand/account/Access.h"
#include "pistachiostand/fleet/Inventory.h"
#include "pistachiostand/job/JobSpec.h"
#include "pistachiostand/job/OrderWindow.h"
#include "pistachiostand/job/ProgressPart.h"
#include "pistachiostand/job/SparseStates.h"
#include "pistachiostand/job/StepState.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief State of all jobs and their subtasks, as the owner of the fleet keeps it.
///
/// Uses no clock, no socket and no other input or output. A run is Planned until its record is
/// stored, Sent until the backend server has confirmed it, then Running. A subtask gets another run
/// only after all its previous runs are known to have ended, except for copies of a speculative
/// step.

namespace pistachiostand::fleet {

struct SubtaskId
{
  JobId m_job;
  std::uint32_t m_occurrence{};
  std::uint32_t m_step{};
  std::uint32_t m_index{};

  friend auto operator<=>(const SubtaskId&, const SubtaskId&) = default;
};

/// \brief An occurrence that has begun: a subtask of it has had a run.
struct Occurrence
{
  SparseStates<StepState> m_steps;    ///< A step ends when all its subtasks have ended.
  std::vector<std::uint32_t> m_ready; ///< Steps that are not done, and whose dependencies are.

  friend bool operator==(const Occurrence&, const Occurrence&) = default;
};

enum class JobPhase : std::uint8_t
{
  Active,
  Completed,
  Failed,
  Cancelled,
};

/// \brief Expected times of a step, in milliseconds.
struct StepTimes
{
  Millis m_runMs{};  ///< Mean run time of a subtask.
  Millis m_stepMs{}; ///< Run time of the longest subtask, which the next step waits for.
  bool m_measured{}; ///< The step is done, and m_stepMs is its actual time.
  Millis m_slowMs{}; ///< Run time that few subtasks exceed; 0: not known.

  friend auto operator<=>(const StepTimes&, const StepTimes&) = default;
};

struct Job
{
  JobSpec m_spec;
  std::vector<StepTimes> m_times; ///< Of each step: declared, expected or measured.
  double m_work{};                ///< Core-seconds of the whole job, from m_times.
  Millis m_criticalPathMs{};      ///< Length of its critical path, from m_times.
  Resources m_leastNeed;          ///< Least reserved resources of any step, in each dimension.
  JobPhase m_phase{};
  bool m_phaseStored{}; ///< The terminal phase is stored and may be reported to callers.
  bool m_begun{};       ///< A run of some subtask was reported, running or ended.
  /// Sent beyond the weight of its account: it runs on capacity that jobs within theirs leave.
  bool m_beyondShare{};
  Millis m_acceptedMs{}; ///< On the owner's steady clock.
  Millis m_finishedMs{}; ///< When the terminal phase was stored, on the owner's steady clock.
  std::uint32_t m_dueOccurrences{}; ///< Occurrences that have become due.
  /// Since when an occurrence that is due has not begun, on the owner's steady clock.
  Millis m_waitingSinceMs{};
  SparseStates<Occurrence> m_occurrences; ///< An occurrence ends when all its steps have ended.
  /// Stands for all subtasks that have ended. Its run numbers are the highest of any of them.
  Subtask m_ended;
  std::uint32_t m_runCount{}; ///< Runs of all subtasks, in whatever phase.
  IndexSet m_storedParts;     ///< Parts of its progress that may be stored.

  friend bool operator==(const Job&, const Job&) = default;
};

/// \brief How a run ended, as its backend server reports it.
enum class EndKind : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  GangMemberEnded, ///< Another member of its gang ended.
  GangTimedOut,    ///< It waited too long for the other members of its gang.
};

/// \brief What the end of a run has changed.
struct AppliedEnd
{
  bool m_isNew{};
  Millis m_ranMs{}; ///< Run time of a run that ended as done; 0 when it was not observed whole.
  /// Run times of the whole step, if this end has completed it and all were observed.
  RunTimeSums m_step;

  explicit operator bool() const noexcept { return m_isNew; }
  friend bool operator==(const AppliedEnd&, const AppliedEnd&) = default;
};

struct RunEnd
{
  SubtaskId m_subtask;
  std::uint64_t m_run{};
  EndKind m_kind{};
  std::string m_checkpoint;

  friend bool operator==(const RunEnd&, const RunEnd&) = default;
};

/// \brief A run with its subtask and server.
struct RunRef
{
  SubtaskId m_subtask;
  std::uint64_t m_run{};
  ServerId m_server;

  friend auto operator<=>(const RunRef&, const RunRef&) = default;
};

/// \brief Number of runs on a backend server, by kind.
struct ServerLoad
{
  std::uint32_t m_runs{};
  std::uint32_t m_longRunning{};
  std::uint32_t m_bestEffortRuns{}; ///< Their processor need is not counted.
  std::uint32_t m_serving{};        ///< Long-running, with a tail latency target.

  friend auto operator<=>(const ServerLoad&, const ServerLoad&) = default;
};

struct JobTable
{
  std::map<JobId, Job> m_jobs;
  std::set<JobId> m_active;                           ///< Jobs that have not ended.
  std::map<ServerId, std::set<SubtaskId>> m_byServer; ///< Subtasks with a run on the server.
  std::map<ServerId, Resources> m_used;               ///< Counted need of the runs on the server.
  std::map<ServerId, ServerLoad> m_load;              ///< These runs by kind.
  /// Declared need of all runs of each account, in whatever phase and pool.
  std::map<AccountName, Resources> m_usedByAccount;
  std::set<JobId> m_toCheck;        ///< Jobs that may have runs to stop.
  std::set<ProgressPart> m_changed; ///< Parts whose durable state has yet to be stored.
  /// Cancellations of jobs that have not been added, with their callers.
  std::multimap<JobId, CallerScope> m_cancelledBeforeSubmission;
};

/// \brief Adds a job; returns false when its id already exists.
bool AddJob(JobTable& aJobTable, JobSpec aSpec, Millis aNowMs, Millis aAgeMs);

/// \brief Recomputes the work and the critical path of a job from the times of its steps.
void UpdateJobTotals(Job& aJob);

/// \brief Cancels an active job if the caller may do so; RunsToStop then returns its runs.
/// \return false when the caller may not cancel it.
bool CancelJob(JobTable& aJobTable, const JobId& aId, const CallerScope& aScope = {});

/// \brief Marks an active job as failed because its progress is unknown; RunsToStop then returns
/// its runs.
void FailJob(JobTable& aJobTable, const JobId& aId);

/// \brief Counts the occurrences that have become due. `aWallMs` is the wall clock time.
void OpenDueOccurrences(JobTable& aJobTable, Millis aWallMs, Millis aNowMs);

/// \brief Number of occurrences that are due and have not begun.
[[nodiscard]] std::uint32_t WaitingOccurrences(const Job& aJob) noexcept;

/// \brief State of a subtask, also of one that has not begun or has ended; null when the job has no
/// such subtask, or its occurrence is not due yet.
[[nodiscard]] const Subtask* FindSubtask(const JobTable& aJobTable, const SubtaskId& aId) noexcept;

/// \brief Entry of a subtask that has not ended, to change it; SettleSubtask() must follow.
Subtask& EditSubtask(Job& aJob, const SubtaskId& aId);

/// \brief Counts a subtask by its present state, and removes its entry if it has ended.
void SettleSubtask(Job& aJob, const SubtaskId& aId);

/// \brief True when the subtask is done and has no run left.
[[nodiscard]] bool HasEnded(const Job& aJob, const SubtaskId& aId);

/// \brief Subtasks of a step by what they wait for.
struct SubtaskCounts
{
  std::uint32_t m_waiting{}; ///< Without a run, and not done.
  std::uint32_t m_started{}; ///< With a run, and not done.
  std::uint32_t m_done{};

  friend auto operator<=>(const SubtaskCounts&, const SubtaskCounts&) = default;
};

/// \param aOccurrence null when the occurrence has not begun.
[[nodiscard]] SubtaskCounts CountSubtasks(const JobSpec& aSpec, const Occurrence* aOccurrence,
                                          std::uint32_t aStep);
[[nodiscard]] const StepSpec* FindStep(const JobTable& aJobTable, const SubtaskId& aId) noexcept;

/// \brief Run with this number, or null.
[[nodiscard]] Run* FindRun(JobTable& aJobTable, const RunRef& aRef) noexcept;

/// \brief All runs on a server, in whatever phase.
[[nodiscard]] std::vector<RunRef> RunsOn(const JobTable& aJobTable, const ServerId& aServer);

[[nodiscard]] bool IsStepDone(const Occurrence& aOccurrence, std::uint32_t aStep);

/// \brief True when all steps that the step waits for are done.
[[nodiscard]] bool IsStepRunnable(const Job& aJob, const Occurrence& aOccurrence,
                                  std::uint32_t aStep) noexcept;

/// \brief Counts a run that was added to a subtask against the capacity of its server and the quota
/// of its account.
void AllocateRun(JobTable& aJobTable, const SubtaskId& aId, const ServerId& aServer);

/// \brief Adds a run of a subtask on a server, in phase Planned.
/// \return the number of the run.
std::uint64_t PlanRun(JobTable& aJobTable, const SubtaskId& aId, const ServerId& aServer,
                      std::uint64_t aNumber, Millis aNowMs);

/// \brief Number of the next run of a subtask; members of a gang share it.
[[nodiscard]] std::uint64_t NextRunNumber(const JobTable& aJobTable, const SubtaskId& aId);

/// \brief Records that a backend server has confirmed a run.
void MarkRunning(JobTable& aJobTable, const RunRef& aRef, Millis aNowMs);

/// \brief Adds a run that a backend server lists and the job table does not contain.
/// \return false when the run is not needed and must be stopped.
bool AdoptRun(JobTable& aJobTable, const RunRef& aRef, Millis aNowMs);

/// \brief Removes a run that has not started and can no longer start.
void DropRun(JobTable& aJobTable, const RunRef& aRef, Millis aNowMs);

/// \brief Applies the end of a run; repeated and unknown ends change nothing.
/// \param aMaxFailures failed runs after which the job fails; long-running steps have no limit.
AppliedEnd ApplyEnd(JobTable& aJobTable, const RunEnd& aEnd, std::uint32_t aMaxFailures,
                    Millis aNowMs);

/// \brief Removes all runs on a server that are known to have ended with it.
/// \return the removed runs.
std::vector<RunRef> DropServerRuns(JobTable& aJobTable, const ServerId& aServer, Millis aNowMs);

/// \brief Schedules the removal of the stored records of a job that is about to be forgotten.
void RemoveRecords(JobTable& aJobTable, const Job& aJob);

/// \brief Completes the gangs of which only some members were restored as done.
///
/// The members of a wide gang are stored in several records. All of them end as done together, but
/// the previous owner may have stored only some of these records.
void CompleteRestoredGangs(JobTable& aJobTable);

/// \brief Runs to stop: those of ended jobs, and copies of subtasks that are done.
///
/// Checks only the jobs in m_toCheck, and removes those without such runs from it.
[[nodiscard]] std::vector<RunRef> RunsToStop(JobTable& aJobTable);

/// \brief As above, but no more than `aMaxRuns`, and only as many as the window allows for their
/// servers. Later calls return the others.
[[nodiscard]] std::vector<RunRef> RunsToStop(JobTable& aJobTable, std::size_t aMaxRuns,
                                             OrderWindow aWindow);

/// \brief Resources that a subtask reserves on its server.
[[nodiscard]] Resources ReservedResources(const StepSpec& aStep) noexcept;

/// \brief Number of jobs of a queue that wait for their first start, excluding jobs with due times.
[[nodiscard]] std::size_t CountPending(const JobTable& aJobTable, std::string_view aQueue);

/// \brief Job state as reported to callers.
enum class PublicJobState : std::uint8_t
{
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

[[nodiscard]] PublicJobState StateOf(const Job& aJob) noexcept;

} // namespace pistachiostand::fleet
