#pragma once

#include "pistachiostand/account/Account.h"
#include "pistachiostand/fleet/Resources.h"

#include <cstddef>
#include <map>

/// \file
/// \brief Decides how much work of an account may start under its quota on running work.
///
/// Uses no clock, no socket and no other input or output. Handles an account that submits several
/// times what it may run at once: its starts wait, those of all others go on. A dimension of a
/// limit that is 0 is not limited. What is used counts every run from when it is planned until its
/// end is known, with its full declared need.

namespace pistachiostand::fleet {

/// \brief Number of subtasks of one step that may start now.
///
/// A subtask that does not fit may start while less than half of the limit is used, because work
/// must not wait then; the platform tolerates one subtask beyond the limit. Dimensions in
/// which a subtask needs nothing do not hold it back, also if a lowered limit is exceeded there.
/// \param aNeed declared need of each subtask.
/// \param aWanted subtasks that could start without a limit.
[[nodiscard]] std::size_t StartsAllowed(const Resources& aUsed, const Resources& aNeed,
                                        const Resources& aLimit, std::size_t aWanted) noexcept;

/// \brief Limit including what the platform tolerates beyond it: a fraction of the limit, and one
/// subtask.
/// \param aOverage fraction of the limit, 0 or more.
[[nodiscard]] Resources ToleratedAmount(const Resources& aNeed, const Resources& aLimit,
                                        double aOverage) noexcept;

/// \brief True when a gang may start now, as a whole. One that is wider than the limit may start
/// only while nothing is used, and only up to the tolerated amount.
[[nodiscard]] bool MayStartGang(const Resources& aUsed, const Resources& aNeed,
                                const Resources& aLimit, std::size_t aMembers,
                                double aOverage) noexcept;

/// \brief True when a step can run under the limit if its account runs nothing else. Only gangs can
/// be too wide; other steps run in waves.
[[nodiscard]] bool CanEverRun(const Resources& aNeed, const Resources& aLimit,
                              std::size_t aSubtasks, bool aIsGang, double aOverage) noexcept;

/// \brief Limit of an account. An account that is not configured has none.
[[nodiscard]] Resources LimitOf(const Accounts& aAccounts, const AccountName& aName);

/// \brief Adds the need of a run to what its account uses. Work without an account is not counted.
void AddUse(std::map<AccountName, Resources>& aUsed, const AccountName& aName,
            const Resources& aNeed);

/// \brief Removes the need of a run that has ended. Accounts that use nothing have no entry.
void RemoveUse(std::map<AccountName, Resources>& aUsed, const AccountName& aName,
               const Resources& aNeed);

} // namespace pistachiostand::fleet
