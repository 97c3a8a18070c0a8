#pragma once

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobTable.h"

#include <compare>
#include <cstdint>
#include <map>

/// \file
/// \brief What the work of each queue waits for.
///
/// Pure. Tells apart, for a queue that is served too little, whether its subtasks lack a place, the
/// record that has to be stored before a start, or the answer of their backend server.

namespace pistachiostand::fleet {

/// \brief Jobs of a queue that have not ended, and their subtasks that could run now.
struct QueueBacklog
{
  std::uint32_t m_jobs{};
  std::uint32_t m_waitingForCapacity{}; ///< Subtasks without a run: no server has room for them.
  std::uint32_t m_waitingForRecord{};   ///< Planned runs: their record is not stored.
  std::uint32_t m_waitingForServer{};   ///< Runs that their server has not confirmed.
  std::uint32_t m_running{};            ///< Confirmed runs, with those that are being stopped.
  Millis m_longestCapacityWaitMs{};     ///< Longest time without a run of one that could start.

  friend auto operator<=>(const QueueBacklog&, const QueueBacklog&) = default;
};

/// \brief Backlog of each queue with jobs that have not ended.
///
/// \code
/// BacklogByQueue(book, now)["lookups"].m_waitingForCapacity; // Subtasks that could start at once.
/// \endcode
[[nodiscard]] std::map<QueueName, QueueBacklog> BacklogByQueue(const JobTable& aJobTable,
                                                               Millis aNowMs);

} // namespace pistachiostand::fleet
