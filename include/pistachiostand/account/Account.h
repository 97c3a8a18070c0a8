#pragma once

#include "pistachiostand/fleet/Resources.h"

#include <map>
#include <string>
#include <vector>

/// \file
/// \brief A client account: who may call, and what the account may use.

namespace pistachiostand::fleet {

using AccountName = std::string;

struct Account
{
  AccountName m_name;
  std::vector<std::string> m_keys; ///< Secrets of its callers; never logged, stored or reported.
  double m_weight{ 1.0 };          ///< Jobs per second that it is guaranteed in a full pool.
  /// Most that it may have running over all pools; 0: no limit in that dimension.
  Resources m_maxRunning;

  friend bool operator==(const Account&, const Account&) = default;
};

using Accounts = std::map<AccountName, Account>;

} // namespace pistachiostand::fleet
