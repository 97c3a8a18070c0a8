#pragma once

#include "pistachiostand/account/Account.h"
#include "pistachiostand/job/JobTable.h"

#include <compare>
#include <deque>
#include <map>
#include <vector>

/// \file
/// \brief Decides which jobs of an account are within its guaranteed rate.
///
/// Uses no clock, no socket and no other input or output. Handles one account that sends several
/// times its usual load into a full pool: only the jobs within its weight compete with those of the
/// other accounts, and the rest is served from spare capacity.

namespace pistachiostand::fleet {

/// \brief Recent jobs of one account that were within its share.
struct ShareMeter
{
  std::deque<Millis> m_withinMs; ///< Their acceptance times, oldest first.

  friend auto operator<=>(const ShareMeter&, const ShareMeter&) = default;
};

using ShareMeters = std::map<AccountName, ShareMeter>;

/// \brief Takes the share for a job if there is any left.
///
/// In any second, and in any ten seconds, no more jobs are within the share than the weight allows,
/// rounded up to a whole job. Jobs may come in any order of their acceptance; one that was accepted
/// more than 20 s before the latest one is within the share and not counted.
/// \param aWeight in jobs per second; with 0 nothing is within the share.
/// \param aAcceptedMs on any clock that is the same for all jobs of the meter.
/// \return true when the job is within the share.
[[nodiscard]] bool TakeShare(ShareMeter& aMeter, double aWeight, Millis aAcceptedMs);

/// \brief Sets Job::m_beyondShare of a job that was added.
///
/// Jobs without an account or of an account that is not configured are within the share, and so are
/// jobs with due times or long-running steps, which take nothing of it. A job that has begun takes
/// its share and is never marked.
void AssignShare(Job& aJob, const Accounts& aAccounts, ShareMeters& aMeters);

/// \brief Jobs with a specification, in the order of their acceptance.
[[nodiscard]] std::vector<Job*> JobsByAcceptance(JobTable& aJobTable);

} // namespace pistachiostand::fleet
