#pragma once

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobTable.h"
#include "pistachiostand/job/Scheduler.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// \brief Which lasting subtasks may be taken away from servers that are to be emptied.

namespace pistachiostand::fleet {

struct EvacuationInput
{
  Millis m_nowMs{};
  std::vector<ServerId> m_servers; ///< To be emptied, the first ones first.
  /// Servers that take new work; a subtask leaves only when one has a place for it. Nothing: the
  /// time is short, and subtasks leave all the same.
  std::optional<std::vector<ServerView>> m_destinations;
  Millis m_settleMs{}; ///< A subtask counts as away until it has been at work for this long.
  /// The same for a subtask that an earlier owner started: a stop that it ordered takes this long,
  /// and until then the subtask is still reported as at work.
  Millis m_inheritedSettleMs{};
  std::set<ServerId>
    m_unresponsiveServers{}; ///< Do not answer, or have left: what runs there counts as away.
};

/// \brief Runs to stop now.
///
/// A subtask is taken away only while fewer others of its step are away than the step may miss.
/// Others count as away for whatever cause they are not at work; this is stricter than the bound,
/// which counts only what planned work has taken away.
[[nodiscard]] std::vector<RunRef> PlanEvacuation(const JobTable& aJobTable,
                                                 const Configuration& aConfiguration,
                                                 EvacuationInput aInput);

/// \brief For each server that is to be emptied and has lasting subtasks, how many times a subtask
/// of the tightest of their steps has to leave and be at work elsewhere before all of them are
/// gone.
[[nodiscard]] std::map<ServerId, double> EvacuationRounds(const JobTable& aJobTable,
                                                          const std::set<ServerId>& aServers);

} // namespace pistachiostand::fleet
