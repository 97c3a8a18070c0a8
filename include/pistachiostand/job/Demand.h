#pragma once

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobBook.h"

#include <map>

/// \file
/// \brief How much room the jobs of each pool ask for.

namespace pistachiostand::fleet {

struct PoolDemand
{
  double m_lasting{};  ///< Instances' worth of room of lasting subtasks.
  double m_open{};     ///< Instances' worth of room of other runs and of subtasks that could start,
                       ///< of jobs that can still meet their objective.
  double m_parallel{}; ///< Instances that these jobs keep busy on average until they end.
  double m_lateS{};    ///< Instance-seconds left of jobs that cannot meet it.

  friend auto operator<=>(const PoolDemand&, const PoolDemand&) = default;
};

/// \brief Demand of each pool in instances of `aCapacity`; pools without a known capacity are left
/// out. Steps that are not open yet count, because they follow within a second or two.
[[nodiscard]] std::map<PoolName, PoolDemand> DemandByPool(
  const JobBook& aBook, const Configuration& aConfiguration,
  const std::map<PoolName, Resources>& aCapacity, Millis aNowMs);

/// \brief Instances, besides those of lasting subtasks, that let the urgent work end in time.
[[nodiscard]] double UrgentInstances(const PoolDemand& aDemand) noexcept;

/// \brief Further instances that late work can use.
[[nodiscard]] double LateInstances(const PoolDemand& aDemand) noexcept;

} // namespace pistachiostand::fleet
