#pragma once

#include "pistachiostand/process/FleetState.h"

#include <map>
#include <set>
#include <vector>

/// \file
/// \brief Proposes membership, move and maintenance records from the shared state.

namespace pistachiostand {

/// An instance is failed only after the list has dropped it, or shown it as leaving, for this
/// long, because the list lags by some seconds.
inline constexpr Millis kAbsentGraceMs = 30'000;
/// A failed instance that the list has dropped is retired after this time.
inline constexpr Millis kRetireFailedMs = 10LL * 60 * 1000;
/// The list may drop an instance during its reboot, so a leaving one is retired later.
inline constexpr Millis kRetireLeavingMs = 40LL * 60 * 1000;
/// A reboot that takes longer counts as failed: the instance is replaced and leaves the wave.
inline constexpr Millis kRebootTimeoutMs = 30LL * 60 * 1000;
/// A pool below its budget is helped after this time, although the instance may still return.
inline constexpr Millis kSlowRebootMs = 10LL * 60 * 1000;
/// An entry instance with an unconfirmed view may still send requests for this long.
inline constexpr Millis kStaleViewMs = 15'000;
/// Orders to the platform are repeated at this interval until the list shows their effect.
inline constexpr Millis kOrderRetryMs = 20'000;
/// Larger decisions continue in the next call, so that one append stays small.
inline constexpr std::size_t kMaxPlannedRecords = 256;

/// \brief An instance as the platform lists it.
struct ListedInstance
{
  InstanceId m_id;
  std::string m_address;
  ZoneName m_zone;
  RackName m_rack;
  BootId m_bootId;
  PoolName m_pool; ///< Pool whose service this boot was started with.
  bool m_leaving{};
  std::string m_bootOperation{}; ///< Operation that caused this boot; empty when nobody ordered it.

  friend auto operator<=>(const ListedInstance&, const ListedInstance&) = default;
};

/// \brief Everything that a decision depends on besides the planner's memory.
///
/// An entry instance whose heartbeats stop counts in `m_minReadOffset` and `m_inFlight` with its
/// last values for `DrainTimeoutMs`, because it may be cut off and still have requests in flight.
struct PlannerInput
{
  const FleetState& m_state;
  const std::vector<ListedInstance>& m_listed;    ///< Empty means unknown: nothing is failed.
  std::map<InstanceId, std::uint32_t> m_inFlight; ///< Sum over all entry instances.
  Offset m_minReadOffset{}; ///< Smallest next offset in the heartbeats of all live entry instances.
  std::set<InstanceId> m_responsive; ///< An entry instance has had a recent response, not leaving.
  Millis m_nowMs{};                  ///< Any monotonic clock; compared only with itself.
};

/// \brief Progress of a leaving instance as seen by this process.
struct LeavingProgress
{
  Epoch m_epoch{};
  Millis m_sinceMs{};
  Offset m_offset{}; ///< Readers at this offset know that the instance is leaving.
  std::optional<Millis> m_drainOrderedMs;
  std::optional<Millis> m_rebootOrderedMs;

  friend auto operator<=>(const LeavingProgress&, const LeavingProgress&) = default;
};

/// \brief What one process remembers between calls. Losing it only delays decisions.
struct PlannerMemory
{
  std::map<InstanceId, Millis> m_absentSince;
  std::map<InstanceId, LeavingProgress> m_leaving;

  friend bool operator==(const PlannerMemory&, const PlannerMemory&) = default;
};

/// \brief Parts of the planner that the experiment switches off one at a time.
struct PlannerOptions
{
  bool m_spread{ true };                 ///< Consider failure domains when choosing instances.
  bool m_combineWithMaintenance{ true }; ///< Prefer instances due for maintenance in moves.
  bool m_wideWaves{ true };              ///< Otherwise one instance at a time.
  bool m_replaceFromSpares{ true };      ///< Fill gaps from the spare pool.
  bool m_lendBetweenPools{ true };       ///< Let a pool above its budget help one below.
  std::uint32_t m_reservePerPool{};      ///< Instances that each pool holds above its promise.

  friend auto operator<=>(const PlannerOptions&, const PlannerOptions&) = default;
};

/// \brief Id under which the platform carries out an order once. Drains and reboots have separate
/// ids: a drain and a reboot with the same id are two operations.
[[nodiscard]] std::string OperationId(const InstanceId& aInstance, Epoch aEpoch);

/// \brief Drain order for the platform, with an `OperationId`.
struct DrainOrder
{
  InstanceId m_instance;
  Epoch m_epoch{};

  friend auto operator<=>(const DrainOrder&, const DrainOrder&) = default;
};

/// \brief Reboot order for the platform, with an `OperationId`.
struct RebootOrder
{
  InstanceId m_instance;
  Epoch m_epoch{};
  PoolName m_pool; ///< Pool whose service is to start.

  friend auto operator<=>(const RebootOrder&, const RebootOrder&) = default;
};

/// \brief Records to append and orders to send. Repeating any of them is harmless.
struct PlannerDecision
{
  std::vector<RecordBody> m_records; ///< Accepted by the fold in this order, if nothing intervenes.
  std::vector<DrainOrder> m_drainOrders;
  std::vector<RebootOrder> m_reboots;
  std::uint32_t m_spareTarget{};      ///< Spare instances wanted above the spare pool's budget.
  std::uint32_t m_spareAboveBudget{}; ///< Spare instances above that budget now.
};

/// \brief Decides the next steps. The cost is that of sorting the instances.
///
/// Call it after the records of the previous call have been read back from the log; an earlier
/// call proposes them again, and the fold refuses the repeats by their epoch.
///
/// \code
/// PlannerMemory memory;
/// const auto decision = PlanFleet({ state, listed, inFlight, offset, alive, nowMs }, memory);
/// \endcode
[[nodiscard]] PlannerDecision PlanFleet(const PlannerInput& aInput, PlannerMemory& aMemory,
                                        const PlannerOptions& aOptions = {});

/// \brief Instances that a wave may take at once under the weights; at least one.
[[nodiscard]] std::uint32_t WaveWidth(const MaintenanceRule& aRule,
                                      const PlacementWeights& aWeights) noexcept;

/// \brief Spare instances to hold above the spare pool's own budget: the largest rack's share of
/// the other pools, and a part of the widest wave that grows with the weight of roll-out time.
[[nodiscard]] std::uint32_t SpareTarget(const FleetState& aState);

/// \brief Time after which a drained instance is rebooted even with requests still in flight.
[[nodiscard]] Millis DrainTimeoutMs(const Rules& aRules) noexcept;

} // namespace pistachiostand
