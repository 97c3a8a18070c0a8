#pragma once

#include "pistachiostand/process/FleetState.h"

#include <map>
#include <set>
#include <vector>

/// \file
/// \brief Proposes membership, move and maintenance records from the shared state.

namespace pistachiostand {

/// An instance is marked as failed only after the platform's list has omitted it, or shown it as
/// leaving or with another boot id, for this long, because the list lags by some seconds.
inline constexpr Millis kAbsentGraceMs = 30'000;
/// A failed instance that the list has dropped is retired after this time.
inline constexpr Millis kRetireFailedMs = 10LL * 60 * 1000;
/// The list may drop an instance during its reboot, so a leaving one is retired later.
inline constexpr Millis kRetireLeavingMs = 40LL * 60 * 1000;
/// A reboot that takes longer counts as failed: the instance is replaced and no longer counts in
/// its maintenance wave.
inline constexpr Millis kRebootTimeoutMs = 30LL * 60 * 1000;
/// A pool below its budget, which is its `min_available`, gets a replacement for a rebooting
/// instance after this time, although the instance may still return.
inline constexpr Millis kSlowRebootMs = 10LL * 60 * 1000;
/// An entry instance whose view, its copy of the shared state, is out of date may still send
/// requests for this long. Upper bound of the setting `view_confirm_ms`.
inline constexpr Millis kStaleViewMs = 15'000;
/// Orders to the platform are repeated at this interval until the list shows their effect.
inline constexpr Millis kOrderRetryMs = 20'000;
/// Larger decisions are continued in the next call, which bounds the size of one append.
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
  std::string m_bootOperation{}; ///< Operation that caused this boot; empty if not ordered.

  friend auto operator<=>(const ListedInstance&, const ListedInstance&) = default;
};

/// \brief Inputs of a decision besides the planner's memory.
///
/// After its heartbeats stop, an entry instance still counts in `m_minReadOffset` and `m_inFlight`
/// with its last values for `DrainTimeoutMs`, because it may be cut off and still have requests in
/// flight.
struct PlannerInput
{
  const FleetState& m_state;
  const std::vector<ListedInstance>& m_listed;    ///< Empty means unknown: nothing is planned.
  std::map<InstanceId, std::uint32_t> m_inFlight; ///< Sum over all entry instances.
  Offset m_minReadOffset{}; ///< Smallest next offset of the entry instances, as described above.
  /// Instances that are not leaving and from which this process has recently had a response.
  std::set<InstanceId> m_responsive;
  Millis m_nowMs{}; ///< Any monotonic clock; only differences are used.
};

/// \brief Progress of a leaving instance as seen by this process.
struct LeavingProgress
{
  Epoch m_epoch{};
  Millis m_sinceMs{};
  Offset m_offset{}; ///< Readers at this offset have read that the instance is leaving.
  std::optional<Millis> m_drainOrderedMs;
  std::optional<Millis> m_rebootOrderedMs;

  friend auto operator<=>(const LeavingProgress&, const LeavingProgress&) = default;
};

/// \brief State that one process keeps between calls. Its loss only delays decisions.
struct PlannerMemory
{
  /// First call of an unbroken series in which the list omitted the instance or showed it as
  /// leaving or with another boot id.
  std::map<InstanceId, Millis> m_absentSince;
  std::map<InstanceId, LeavingProgress> m_leaving;

  friend bool operator==(const PlannerMemory&, const PlannerMemory&) = default;
};

/// \brief Features of the planner that experiments switch off one at a time.
struct PlannerOptions
{
  bool m_spread{ true };                   ///< Consider failure domains when choosing instances.
  bool m_combineWithMaintenance{ true };   ///< Prefer instances due for maintenance in moves.
  bool m_wideWaves{ true };                ///< Otherwise one instance at a time.
  bool m_replaceFromSpares{ true };        ///< Fill gaps from the spare pool.
  bool m_moveFromPoolsAboveBudget{ true }; ///< Fill pools below budget from pools above theirs.
  std::uint32_t m_reservePerPool{};        ///< Instances that each pool holds above `instances`.

  friend auto operator<=>(const PlannerOptions&, const PlannerOptions&) = default;
};

/// \brief Id of an order, which the platform carries out once. The drain and the reboot of an epoch
/// have the same id, but the platform treats them as two operations.
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
  std::vector<RecordBody> m_records; ///< Accepted in this order if no other record intervenes.
  std::vector<DrainOrder> m_drainOrders;
  std::vector<RebootOrder> m_reboots;
  std::uint32_t m_spareTarget{};      ///< Spare instances wanted above the spare pool's budget.
  std::uint32_t m_spareAboveBudget{}; ///< Spare instances above that budget now.
};

/// \brief Decides the next steps. The running time grows like that of sorting the instances.
///
/// Call it after the records of the previous call have been read back from the log. An earlier call
/// proposes them again, and the fold refuses the duplicates by their epoch.
///
/// \code
/// PlannerMemory memory;
/// const auto decision = PlanFleet({ state, listed, inFlight, offset, responsive, nowMs }, memory);
/// \endcode
[[nodiscard]] PlannerDecision PlanFleet(const PlannerInput& aInput, PlannerMemory& aMemory,
                                        const PlannerOptions& aOptions = {});

/// \brief Instances that a wave may take at once under the weights; at least one.
[[nodiscard]] std::uint32_t WaveWidth(const MaintenanceRule& aRule,
                                      const PlacementWeights& aWeights) noexcept;

/// \brief Spare instances to hold above the spare pool's own budget: the instances of other pools
/// in the largest rack, and a part of the widest wave that grows with the weight of roll-out time.
[[nodiscard]] std::uint32_t SpareTarget(const FleetState& aState);

/// \brief Time after which a drained instance is rebooted even with requests still in flight.
[[nodiscard]] Millis DrainTimeoutMs(const Rules& aRules) noexcept;

} // namespace pistachiostand
