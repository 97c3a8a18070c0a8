#pragma once

#include "pistachiostand/fleet/Inventory.h"
#include "pistachiostand/fleet/RecentMaximum.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Plans which instances change their pool and which go into maintenance.
///
/// The functions have no side effects. When a burst of a queue needs more instances than its pool
/// has, instances without runs move there from the spare pool and from pools that do not need them.
/// Instances that stay unused return to the spare pool. Maintenance takes the instances with the
/// least work first.
///
/// An instance that is selected for maintenance is cordoned: it gets no new work. Its long-running
/// runs are evacuated, that is stopped and started elsewhere, and its short runs are drained, that
/// is left to end. Then it goes into maintenance. A cordoned instance and one in maintenance count
/// as withdrawn from their pool.

namespace pistachiostand::fleet {

struct InstanceView
{
  InstanceId m_id;
  PoolName m_pool;        ///< Current pool, or the target of a move.
  bool m_up{};            ///< Up, without a pending order.
  bool m_usable{};        ///< Its backend server accepts work.
  bool m_inMaintenance{}; ///< In maintenance, by the latest information.
  std::uint32_t m_runs{};
  std::uint32_t m_longRunning{}; ///< Long-running ones among `m_runs`.
  /// Rounds needed to evacuate it, see EvacuationRounds(); 0: not due for maintenance.
  double m_evacuationRounds{};
  bool m_cordoned{}; ///< Selected for maintenance: gets no new work.

  friend bool operator==(const InstanceView&, const InstanceView&) = default;
};

struct WaveView
{
  std::uint64_t m_number{};
  std::set<InstanceId> m_due; ///< Instances whose maintenance has not begun.
  std::uint32_t m_maxAtOnce{ 1 };
  Millis m_endMs{}; ///< On the steady clock.

  friend bool operator==(const WaveView&, const WaveView&) = default;
};

struct CapacityInput
{
  Millis m_nowMs{};
  std::vector<InstanceView> m_instances;
  /// Instances that each pool should have, without m_wantedForLateWork.
  std::map<PoolName, std::uint32_t> m_wanted;
  std::map<PoolName, std::uint32_t> m_wantedForLateWork; ///< Additional instances for late work.
  /// Highest number wanted within kMaintenanceHoldMs. Maintenance leaves that number in the pool
  /// while it can wait.
  std::map<PoolName, std::uint32_t> m_recentMaxWanted;
  /// Demand may be higher than the known one: no instance is switched off, and maintenance waits
  /// while it can.
  bool m_keepIdle{};
  PoolName m_spare; ///< Empty when there is no spare pool.
  std::vector<WaveView> m_waves;
  Millis m_maintenanceMs{};
};

/// \brief Demand seen this long ago still counts for maintenance: a queue's burst continues for
/// some seconds after a dip in its demand.
inline constexpr Millis kMaintenanceHoldMs = 3'000;

struct InstanceMove
{
  InstanceId m_instance;
  PoolName m_pool;

  friend auto operator<=>(const InstanceMove&, const InstanceMove&) = default;
};

struct MaintenanceStart
{
  InstanceId m_instance;
  std::uint64_t m_wave{};

  friend auto operator<=>(const MaintenanceStart&, const MaintenanceStart&) = default;
};

struct CapacityPlan
{
  std::vector<InstanceMove> m_moves;
  std::vector<MaintenanceStart> m_maintenance;
  std::vector<InstanceId> m_cordon;  ///< Newly cordoned for maintenance.
  std::vector<InstanceId> m_toDrain; ///< Get no new work, so that they can move to another pool.

  friend bool operator==(const CapacityPlan&, const CapacityPlan&) = default;
};

[[nodiscard]] CapacityPlan PlanCapacity(const CapacityInput& aInput);

/// \brief Follows rising demand at once and falling demand with a delay.
///
/// Releasing an instance too early costs two moves and the wait for its return; releasing it too
/// late costs only its running time.
class DemandTracker
{
public:
  /// \brief Returns the number of instances that the pool should have.
  /// \param aSteady constant part of the demand, from long-running work.
  /// \param aFleet number of instances in all pools.
  std::uint32_t Update(double aSteady, double aInstances, std::size_t aFleet, Millis aNowMs);

private:
  /// A demand counts this long after it was seen. Pauses within a queue's burst are shorter.
  static constexpr Millis kHoldMs = 1'000;

  RecentMaximum m_highest{ kHoldMs };
};

} // namespace pistachiostand::fleet
