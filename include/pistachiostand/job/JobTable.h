#pragma once

#include "pistachiostand/fleet/Inventory.h"
#include "pistachiostand/job/JobSpec.h"

#include <compare>
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
/// Pure: no clock and no socket. A run is Planned until its record is stored, Sent until the
/// backend server has confirmed it, then Running. A subtask gets another run only after every
/// earlier one is known to have ended, except for copies of a speculative step.

namespace pistachiostand::fleet {

struct SubtaskId
{
  JobId m_job;
  std::uint32_t m_occurrence{};
  std::uint32_t m_step{};
  std::uint32_t m_index{};

  friend auto operator<=>(const SubtaskId&, const SubtaskId&) = default;
};

enum class RunPhase : std::uint8_t
{
  Planned,  ///< Not sent: its record is not stored yet.
  Restored, ///< Planned by an earlier owner; its backend server has not been asked yet.
  Sent,     ///< Perhaps started: no answer so far.
  Running,  ///< Confirmed by its backend server.
  Stopping, ///< A stop was ordered.
};

struct Run
{
  std::uint64_t m_number{}; ///< Counts the starts of the subtask, from 1.
  ServerId m_server;
  RunPhase m_phase{};
  bool m_resumed{};           ///< Began from a checkpoint.
  bool m_inherited{};         ///< Started by an earlier owner, which may have ordered its stop.
  Millis m_sinceMs{};         ///< When it entered the phase, on the owner's steady clock.
  Millis m_workMs{};          ///< When it was first seen running; 0 before.
  int m_percent{};            ///< Progress, or for a lasting subtask 100 while it is at work.
  int m_load{};               ///< Serving: tail in milliseconds; otherwise processor use.
  int m_speedPercent{ 100 };  ///< Share at which it may work.
  Millis m_startTimedOutMs{}; ///< When its start was given up waiting for; 0: not.
  Millis m_stopSentMs{};      ///< When the last stop was sent; 0: none.
  Millis m_stopAcceptedMs{};  ///< When a stop was accepted; 0: not.

  friend bool operator==(const Run&, const Run&) = default;
};

struct Subtask
{
  std::uint64_t m_lastRun{};
  std::uint64_t m_lastEndedRun{};
  std::uint32_t m_failures{};
  bool m_done{};
  Millis
    m_ranMs{}; ///< Time of the run that ended as done; 0 when this owner did not see all of it.
  std::string m_checkpoint;
  std::vector<Run> m_runs;
  Millis m_idleSinceMs{};  ///< Since when it has had no run.
  Millis m_readySinceMs{}; ///< Lasting subtask: since when it has been at work; 0 when it is not.

  friend bool operator==(const Subtask&, const Subtask&) = default;
};

struct Occurrence
{
  std::vector<std::vector<Subtask>> m_steps;

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
  Millis m_runMs{};  ///< Mean of one of its subtasks.
  Millis m_stepMs{}; ///< Of the longest of its subtasks, which the next step waits for.
  bool m_measured{}; ///< The step is done, and m_stepMs is what it took.

  friend auto operator<=>(const StepTimes&, const StepTimes&) = default;
};

struct Job
{
  JobSpec m_spec;
  std::vector<StepTimes> m_times; ///< Of each step; declared, expected or measured.
  double m_work{};                ///< Core-seconds of the whole job, by these times.
  Millis m_criticalPathMs{};      ///< Time of its longest chain of steps, by these times.
  JobPhase m_phase{};
  bool m_phaseStored{};  ///< The terminal phase is stored and may be shown.
  bool m_begun{};        ///< Some subtask was seen to run or to have run.
  Millis m_acceptedMs{}; ///< On the owner's steady clock.
  Millis m_finishedMs{}; ///< When the terminal phase was stored, on the owner's steady clock.
  std::uint32_t m_dueOccurrences{}; ///< Occurrences that have become due.
  std::map<std::uint32_t, Occurrence> m_occurrences;

  friend bool operator==(const Job&, const Job&) = default;
};

/// \brief How a run ended, as its backend server reports it.
enum class EndKind : std::uint8_t
{
  Done,
  Failed,
  Stopped,
  LeaseExpired,    ///< Its lease expired.
  GangMemberEnded, ///< Another member of its gang ended.
  GangTimedOut,    ///< It waited too long for the other members of its gang.
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

/// \brief Runs on a backend server, by what they mean for others there.
struct ServerLoad
{
  std::uint32_t m_runs{};
  std::uint32_t m_longRunning{};
  std::uint32_t m_bestEffortRuns{}; ///< Processor need not counted.
  std::uint32_t m_serving{};        ///< Lasting, with users of their own.

  friend auto operator<=>(const ServerLoad&, const ServerLoad&) = default;
};

struct JobTable
{
  std::map<JobId, Job> m_jobs;
  std::set<JobId> m_active;                           ///< Jobs that have not ended.
  std::map<ServerId, std::set<SubtaskId>> m_byServer; ///< Subtasks with a run on the server.
  std::map<ServerId, Resources> m_used;               ///< Counted need of the runs on the server.
  std::map<ServerId, ServerLoad> m_load;              ///< Kinds of these runs.
  std::set<JobId> m_toCheck;                          ///< Jobs with runs that may have no reason.
  std::set<JobId> m_changed;                          ///< Jobs whose durable state is not stored.
  std::set<JobId> m_cancelledBeforeSubmission;        ///< Cancels that came before their jobs.
};

/// \brief Adds a job; returns false when it is already known.
bool AddJob(JobTable& aJobTable, JobSpec aSpec, Millis aNowMs, Millis aAgeMs);

/// \brief Sums up the times of the steps of a job: its work and its longest chain.
void UpdateJobTotals(Job& aJob);

/// \brief Cancels an active job; its runs are left to be stopped.
void CancelJob(JobTable& aJobTable, const JobId& aId);

/// \brief Ends an active job as failed because what it has done cannot be told; its runs are left
/// to be stopped.
void FailJob(JobTable& aJobTable, const JobId& aId);

/// \brief Makes occurrences whose time has come available. `aWallMs` is the time of day.
void OpenDueOccurrences(JobTable& aJobTable, Millis aWallMs, Millis aNowMs);

[[nodiscard]] Subtask* FindSubtask(JobTable& aJobTable, const SubtaskId& aId) noexcept;
[[nodiscard]] const StepSpec* FindStep(const JobTable& aJobTable, const SubtaskId& aId) noexcept;

/// \brief Run of a subtask with this number, or null.
[[nodiscard]] Run* FindRun(JobTable& aJobTable, const RunRef& aRef) noexcept;

/// \brief All runs on a server, in whatever phase.
[[nodiscard]] std::vector<RunRef> RunsOn(const JobTable& aJobTable, const ServerId& aServer);

/// \brief True when all steps that the step waits for are done.
[[nodiscard]] bool IsStepRunnable(const Job& aJob, const Occurrence& aOccurrence,
                                  std::uint32_t aStep) noexcept;

/// \brief Counts a run that was added to a subtask against the room of its server.
void AllocateRun(JobTable& aJobTable, const SubtaskId& aId, const ServerId& aServer);

/// \brief Gives a subtask its next run on a server, in phase Planned.
/// \return the number of the run.
std::uint64_t PlanRun(JobTable& aJobTable, const SubtaskId& aId, const ServerId& aServer,
                      std::uint64_t aNumber, Millis aNowMs);

/// \brief Number that the next run of a subtask gets; members of a gang share theirs.
[[nodiscard]] std::uint64_t NextRunNumber(const JobTable& aJobTable, const SubtaskId& aId);

/// \brief Notes that a backend server has confirmed a run.
void MarkRunning(JobTable& aJobTable, const RunRef& aRef, Millis aNowMs);

/// \brief Takes a run over that a backend server lists and the book does not know.
/// \return false when the run has no reason to exist and must be stopped.
bool AdoptRun(JobTable& aJobTable, const RunRef& aRef, Millis aNowMs);

/// \brief Forgets a run that has not started and cannot start any more.
void DropRun(JobTable& aJobTable, const RunRef& aRef, Millis aNowMs);

/// \brief Applies an end; repeated and unknown ends change nothing.
/// \param aMaxFailures failed runs after which the job has failed; lasting steps have no limit.
/// \return true when the end was news.
bool ApplyEnd(JobTable& aJobTable, const RunEnd& aEnd, std::uint32_t aMaxFailures, Millis aNowMs);

/// \brief Forgets all runs on a server that are known to have ended with it.
/// \return the forgotten runs.
std::vector<RunRef> DropServerRuns(JobTable& aJobTable, const ServerId& aServer, Millis aNowMs);

/// \brief Runs that must be stopped: of jobs that ended, and copies of subtasks that are done.
///
/// Looks only at jobs of which a part has ended, until none of their runs is left to stop.
[[nodiscard]] std::vector<RunRef> RunsToStop(JobTable& aJobTable);

/// \brief Need that a subtask takes from the counted capacity of its server.
[[nodiscard]] Resources ReservedResources(const StepSpec& aStep) noexcept;

/// \brief Jobs of a queue that wait for their first start, without those that have due times.
[[nodiscard]] std::size_t CountPending(const JobTable& aJobTable, std::string_view aQueue);

/// \brief State as callers see it.
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
