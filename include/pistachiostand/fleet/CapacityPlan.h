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
/// \brief Which instances change their pool, and which go into maintenance.
///
/// Pure. Answers queues that ask by turns for more than their pool holds: instances without runs
/// come from the spare pool and from pools that do not need them, and go back to the spare pool
/// after a while without use. Maintenance takes the instances with the least work first.

namespace pistachiostand::fleet {

struct InstanceView
{
  InstanceId m_id;
  PoolName m_pool; ///< The pool it is in or moves to.
  bool m_up{};     ///< Up, and no order for it is pending.
  bool m_usable{}; ///< Its backend server takes work.
  bool m_down{};   ///< In maintenance, as far as is known.
  std::uint32_t m_runs{};
  std::uint32_t m_longRunning{}; ///< Runs that last, part of `m_runs`.
  double m_evacuationRounds{};   ///< Due for maintenance: see EvacuationRounds().
  bool m_cordoned{};             ///< Chosen for maintenance: gets no new work.

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
  std::map<PoolName, std::uint32_t> m_wanted; ///< Instances for what can be done in time.
  std::map<PoolName, std::uint32_t> m_wantedForLateWork; ///< Further instances for late work.
  /// Highest number wanted within kMaintenanceHoldMs; maintenance leaves so many while it can wait.
  std::map<PoolName, std::uint32_t> m_recentMaxWanted;
  /// What the pools want may be more than is known: nothing is switched off, and maintenance waits
  /// while it can.
  bool m_keepIdle{};
  PoolName m_spare; ///< Empty when there is no spare pool.
  std::vector<WaveView> m_waves;
  Millis m_maintenanceMs{};
};

/// \brief A queue's turn goes on for some seconds after a dip in what it wants.
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
  std::vector<InstanceId> m_cordon;  ///< To be emptied for maintenance, besides those that are.
  std::vector<InstanceId> m_toDrain; ///< To get no new work now, so that another pool gets them.

  friend bool operator==(const CapacityPlan&, const CapacityPlan&) = default;
};

[[nodiscard]] CapacityPlan PlanCapacity(const CapacityInput& aInput);

/// \brief Follows a demand that rises fast and is let go of slowly.
///
/// An instance that is sent away too early costs two moves and the wait for its return, one that
/// stays too long only its running cost.
class DemandTracker
{
public:
  /// \brief Instances that the pool should have.
  /// \param aSteady part of the demand that does not change: lasting work.
  /// \param aFleet instances of all pools.
  std::uint32_t Update(double aSteady, double aInstances, std::size_t aFleet, Millis aNowMs);

private:
  /// A demand counts this long after it was seen; a queue's pauses within its turn are shorter.
  static constexpr Millis kHoldMs = 1'000;

  RecentMaximum m_highest{ kHoldMs };
};

} // namespace pistachiostand::fleet
