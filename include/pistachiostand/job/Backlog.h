#pragma once

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobTable.h"

#include <compare>
#include <cstdint>
#include <map>

/// \file
/// \brief What the work of each queue waits for.
///
/// Uses no clock, no socket and no other input or output. Shows for an underserved queue whether
/// its subtasks wait for a placement, for the record that has to be stored before a start, or for
/// the response of their backend server.

namespace pistachiostand::fleet {

/// \brief Jobs of a queue that have not ended, and their subtasks that could run now.
struct QueueBacklog
{
  std::uint32_t m_jobs{};
  std::uint32_t m_waitingForPlacement{}; ///< Subtasks without a run, for lack of capacity or of a
                                         ///< ticket, or until the next placement.
  std::uint32_t m_waitingForRecord{};    ///< Planned runs whose record is not stored yet.
  std::uint32_t m_waitingForServer{};    ///< Runs not confirmed by their server.
  std::uint32_t m_running{};             ///< Confirmed runs, including those being stopped.
  Millis m_longestPlacementWaitMs{};     ///< Longest wait of a subtask without a run.

  friend auto operator<=>(const QueueBacklog&, const QueueBacklog&) = default;
};

/// \brief Backlog of each queue with jobs that have not ended.
///
/// \code
/// BacklogByQueue(jobTable, now)["lookups"].m_waitingForPlacement; // Subtasks without a run.
/// \endcode
[[nodiscard]] std::map<QueueName, QueueBacklog> BacklogByQueue(const JobTable& aJobTable,
                                                               Millis aNowMs);

} // namespace pistachiostand::fleet
