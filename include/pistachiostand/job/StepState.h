#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/fleet/Inventory.h"
#include "pistachiostand/job/SparseStates.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief State of the subtasks of one step of an occurrence.

namespace pistachiostand::fleet {

enum class RunPhase : std::uint8_t
{
  Planned,  ///< Not sent yet: its record is not stored.
  Restored, ///< Planned by a previous owner and not checked with its backend server yet.
  Sent,     ///< May have started: no response yet.
  Running,  ///< Confirmed by its backend server.
  Stopping, ///< A stop was ordered.
};

struct Run
{
  std::uint64_t m_number{}; ///< Start number within the subtask, from 1.
  ServerId m_server;
  RunPhase m_phase{};
  bool m_resumed{};           ///< Started from a checkpoint.
  bool m_inherited{};         ///< Started by a previous owner, which may have ordered its stop.
  Millis m_sinceMs{};         ///< When it entered the phase, on the owner's steady clock.
  Millis m_workMs{};          ///< When it was first reported running; 0 before.
  int m_percent{};            ///< Progress; a long-running subtask is ready at 100.
  int m_load{};               ///< Serving: tail latency in milliseconds; otherwise processor use.
  int m_speedPercent{ 100 };  ///< Permitted speed.
  Millis m_startTimedOutMs{}; ///< When its start timed out; 0: it has not.
  Millis m_stopSentMs{};      ///< When the last stop was sent; 0: none.
  Millis m_stopAcceptedMs{};  ///< When a stop was accepted; 0: none.

  friend bool operator==(const Run&, const Run&) = default;
};

struct Subtask
{
  std::uint64_t m_lastRun{};
  std::uint64_t m_lastEndedRun{};
  std::uint32_t m_failures{};      ///< Failed runs; of a gang, the same for all members.
  std::uint64_t m_lastFailedRun{}; ///< Run of a gang that was counted last; 0: none.
  bool m_done{};
  std::string m_checkpoint;
  std::vector<Run> m_runs;
  Millis m_idleSinceMs{};  ///< Since when it has had no run.
  Millis m_readySinceMs{}; ///< Since when a long-running subtask has been ready; 0: it is not.

  friend bool operator==(const Subtask&, const Subtask&) = default;
};

/// \brief Run times of the subtasks of a step that this owner has observed from start to end.
struct RunTimeSums
{
  std::uint32_t m_count{};
  double m_logSum{};     ///< Of the natural logarithms, in milliseconds.
  double m_logSquares{}; ///< Of the squares of the logarithms.
  Millis m_longestMs{};

  friend bool operator==(const RunTimeSums&, const RunTimeSums&) = default;
};

void AddRunTime(RunTimeSums& aSums, Millis aRanMs);

/// \brief The subtasks of a step, which has begun.
///
/// A subtask has an entry from its first run on, until it is done and all its runs have ended. The
/// numbers of subtasks by what they wait for are known without visiting them.
class StepState
{
public:
  explicit StepState(std::uint32_t aCount)
    : m_count(aCount)
  {
  }

  /// \brief The entry of a subtask; null when it has not begun or has ended.
  [[nodiscard]] const Subtask* Find(std::uint32_t aIndex) const { return m_subtasks.Find(aIndex); }
  [[nodiscard]] Subtask* Find(std::uint32_t aIndex) { return m_subtasks.Find(aIndex); }

  /// \brief True for a subtask that is done and has no run left.
  [[nodiscard]] bool HasEnded(std::uint32_t aIndex) const { return m_subtasks.HasEnded(aIndex); }
  [[nodiscard]] const std::map<std::uint32_t, Subtask>& Entries() const noexcept
  {
    return m_subtasks.Entries();
  }

  [[nodiscard]] std::uint32_t Count() const noexcept { return m_count; }
  [[nodiscard]] std::uint32_t DoneCount() const noexcept
  {
    return m_subtasks.EndedCount() + static_cast<std::uint32_t>(m_doneWithRuns.size());
  }
  /// \brief Subtasks that are not done and have a run.
  [[nodiscard]] std::uint32_t StartedCount() const noexcept
  {
    return m_subtasks.BegunCount() - DoneCount() - static_cast<std::uint32_t>(m_again.size());
  }
  /// \brief Subtasks that are not done and have no run.
  [[nodiscard]] std::uint32_t WaitingCount() const noexcept
  {
    return m_count - DoneCount() - StartedCount();
  }
  [[nodiscard]] bool IsDone() const noexcept { return DoneCount() == m_count; }
  [[nodiscard]] bool HaveAllEnded() const noexcept { return m_subtasks.EndedCount() == m_count; }

  /// \brief Lowest index from `aFrom` on of a subtask that is not done and has no run.
  [[nodiscard]] std::optional<std::uint32_t> FirstWaiting(std::uint32_t aFrom) const;

  /// \brief Entry of a subtask that has not ended, to change it; Settle() must follow.
  Subtask& Edit(std::uint32_t aIndex);

  /// \brief Counts a subtask by its present state, and removes its entry if it has ended.
  void Settle(std::uint32_t aIndex);

  RunTimeSums m_runTimes; ///< Of the subtasks that are done.

  friend bool operator==(const StepState&, const StepState&) = default;

private:
  std::uint32_t m_count;
  SparseStates<Subtask> m_subtasks;
  std::set<std::uint32_t> m_again;        ///< With an entry and without a run, and not done.
  std::set<std::uint32_t> m_doneWithRuns; ///< Done, with runs that have not ended yet.
};

} // namespace pistachiostand::fleet
