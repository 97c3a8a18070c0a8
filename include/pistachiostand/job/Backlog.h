#pragma once

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobTable.h"

#include <compare>
#include <cstdint>
#include <map>

/// \file
/// \brief What the work of each queue waits for.
///
/// Pure. Shows for an underserved queue whether its subtasks wait for capacity, for the record that
/// has to be stored before a start, or for the response of their backend server.

namespace pistachiostand::fleet {

/// \brief Jobs of a queue that have not ended, and their subtasks that could run now.
struct QueueBacklog
{
  std::uint32_t m_jobs{};
  std::uint32_t m_waitingForPlacement{}; ///< Subtasks without a run: no server has capacity.
  std::uint32_t m_waitingForRecord{};    ///< Planned runs whose record is not stored yet.
  std::uint32_t m_waitingForServer{};    ///< Runs not confirmed by their server.
  std::uint32_t m_running{};             ///< Confirmed runs, including those being stopped.
  Millis m_longestPlacementWaitMs{};     ///< Longest wait of a subtask that could start.

  friend auto operator<=>(const QueueBacklog&, const QueueBacklog&) = default;
};

/// \brief Backlog of each queue with jobs that have not ended.
///
/// \code
/// BacklogByQueue(jobTable, now)["lookups"].m_waitingForPlacement; // Could start at once.
/// \endcode
[[nodiscard]] std::map<QueueName, QueueBacklog> BacklogByQueue(const JobTable& aJobTable,
                                                               Millis aNowMs);

} // namespace pistachiostand::fleet
