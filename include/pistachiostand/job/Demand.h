#pragma once

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/Arrivals.h"
#include "pistachiostand/job/JobTable.h"

#include <compare>
#include <cstdint>
#include <map>

/// \file
/// \brief Capacity that the jobs of each pool need.

namespace pistachiostand::fleet {

struct PoolDemand
{
  double m_longRunning{}; ///< Instances that long-running subtasks fill.
  /// Instances that other runs and runnable subtasks fill, of jobs that can still meet their
  /// objective and benefit from more capacity.
  double m_runnable{};
  double m_averageParallelism{}; ///< Average instances that these jobs keep busy.
  double m_arriving{};           ///< Instances that jobs arriving soon will keep busy.
  /// Remaining instance-seconds of jobs that will be late or are beyond the share of their account.
  double m_lateInstanceSeconds{};
  /// Fewest instances that satisfy the limit of subtasks per server of each long-running step.
  std::uint32_t m_minSpreadInstances{};

  friend auto operator<=>(const PoolDemand&, const PoolDemand&) = default;
};

struct DemandInput
{
  const JobTable& m_jobTable;
  const Configuration& m_configuration;
  const Arrivals& m_arrivals;
  /// Capacity of one instance; pools without an entry are ignored.
  std::map<PoolName, Resources> m_capacity;
  Millis m_nowMs{};
  /// Time from the order of an instance to its first run. A job that has not begun and cannot wait
  /// that long does not benefit from another instance.
  Millis m_provisioningMs{};
};

/// \brief Demand of each pool in instances.
///
/// Includes steps that still wait for others, because they follow within a second or two.
[[nodiscard]] std::map<PoolName, PoolDemand> DemandByPool(const DemandInput& aInput);

/// \brief Instances needed to end the urgent work in time, besides those of long-running subtasks.
[[nodiscard]] double UrgentInstances(const PoolDemand& aDemand) noexcept;

/// \brief Additional instances that late work can use.
[[nodiscard]] double LateInstances(const PoolDemand& aDemand) noexcept;

} // namespace pistachiostand::fleet
