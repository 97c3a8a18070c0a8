#pragma once

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/Arrivals.h"
#include "pistachiostand/job/JobTable.h"

#include <compare>
#include <cstdint>
#include <map>

/// \file
/// \brief How much room the jobs of each pool ask for.

namespace pistachiostand::fleet {

struct PoolDemand
{
  double m_longRunning{}; ///< Instances' worth of room of lasting subtasks.
  double m_runnable{}; ///< Instances' worth of room of other runs and of subtasks that could start,
                       ///< of jobs that can still meet their objective and gain from more room.
  double m_averageParallelism{}; ///< Instances that these jobs keep busy on average until they end.
  double m_arriving{};           ///< Instances that the jobs arriving soon keep busy.
  double m_lateInstanceSeconds{}; ///< Instance-seconds left of jobs that cannot meet it.
  /// Fewest instances that keep the subtasks of each lasting step as far apart as it asks for.
  std::uint32_t m_minSpreadInstances{};

  friend auto operator<=>(const PoolDemand&, const PoolDemand&) = default;
};

struct DemandInput
{
  const JobTable& m_jobTable;
  const Configuration& m_configuration;
  const Arrivals& m_arrivals;
  std::map<PoolName, Resources> m_capacity; ///< Of an instance; pools without are left out.
  Millis m_nowMs{};
  /// From the order of an instance to its first run. A job that has not begun and cannot wait for
  /// so long gains nothing from another instance.
  Millis m_provisioningMs{};
};

/// \brief Demand of each pool in instances. Steps that are not open yet count, because they follow
/// within a second or two.
[[nodiscard]] std::map<PoolName, PoolDemand> DemandByPool(const DemandInput& aInput);

/// \brief Instances, besides those of lasting subtasks, that let the urgent work end in time.
[[nodiscard]] double UrgentInstances(const PoolDemand& aDemand) noexcept;

/// \brief Further instances that late work can use.
[[nodiscard]] double LateInstances(const PoolDemand& aDemand) noexcept;

} // namespace pistachiostand::fleet
