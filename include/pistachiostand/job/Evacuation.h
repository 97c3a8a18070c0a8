#pragma once

#include "pistachiostand/job/JobBook.h"

#include <set>
#include <vector>

/// \file
/// \brief Which lasting subtasks may be taken away from servers that are to be emptied.

namespace pistachiostand::fleet {

/// \brief Runs to stop now.
///
/// A subtask is taken away only while fewer others of its step are away than the step may miss.
/// Others count as away until they have been at work for `aSettleMs`, for whatever cause they were
/// not; this is stricter than the bound, which counts only what planned work has taken away.
[[nodiscard]] std::vector<RunRef> PlanEvacuation(const JobBook& aBook,
                                                 const std::set<ServerId>& aServers,
                                                 Millis aSettleMs, Millis aNowMs);

} // namespace pistachiostand::fleet
