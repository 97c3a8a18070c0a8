#pragma once

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobBook.h"

#include <map>

/// \file
/// \brief How many instances the jobs of each pool could use now.

namespace pistachiostand::fleet {

struct PoolDemand
{
  double m_running{}; ///< Instances' worth of room that runs take.
  double m_waiting{}; ///< Instances' worth of room that open subtasks wait for.

  friend auto operator<=>(const PoolDemand&, const PoolDemand&) = default;
};

/// \brief Demand of each pool in instances of `aCapacity`; pools without a known capacity are left
/// out.
[[nodiscard]] std::map<PoolName, PoolDemand> DemandByPool(
  const JobBook& aBook, const Configuration& aConfiguration,
  const std::map<PoolName, Resources>& aCapacity);

} // namespace pistachiostand::fleet
