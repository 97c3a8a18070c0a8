#pragma once

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobTable.h"
#include "pistachiostand/job/Scheduler.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// \brief Selects the long-running subtasks to stop on servers that are being drained.

namespace pistachiostand::fleet {

struct EvacuationInput
{
  Millis m_nowMs{};
  std::vector<ServerId> m_servers; ///< Servers to drain, in order of priority.
  /// Servers that accept new work; a subtask is stopped only when one of them has capacity for it.
  /// Without a value, time is short and subtasks are stopped regardless.
  std::optional<std::vector<ServerView>> m_destinations;
  Millis m_settleMs{}; ///< A subtask counts as unavailable until it has been ready for this long.
  /// The same for a subtask that a previous owner started: a stop ordered by that owner takes this
  /// long, and until then the subtask is still reported as ready.
  Millis m_inheritedSettleMs{};
  std::set<ServerId> m_unresponsiveServers{}; ///< Servers that do not respond or are gone; runs
                                              ///< there count as unavailable.
};

/// \brief Runs to stop now.
///
/// A subtask is stopped only while fewer others of its step are unavailable than the step allows.
/// Others count as unavailable whatever the cause; this is stricter than the limit
/// StepSpec::m_maxUnavailable, which counts only those stopped to drain their server.
[[nodiscard]] std::vector<RunRef> PlanEvacuation(const JobTable& aJobTable,
                                                 const Configuration& aConfiguration,
                                                 EvacuationInput aInput);

/// \brief Rounds of moves needed to drain each server that has long-running subtasks.
///
/// In one round, a step moves as many subtasks as it allows to be unavailable, and they become
/// ready elsewhere. Counts the subtasks of a step on all of `aServers`; a server needs as many
/// rounds as the step with the most rounds among those it runs.
[[nodiscard]] std::map<ServerId, double> EvacuationRounds(const JobTable& aJobTable,
                                                          const std::set<ServerId>& aServers);

} // namespace pistachiostand::fleet
