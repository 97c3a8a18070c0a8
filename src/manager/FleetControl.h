#pragma once

#include "OwnerState.h"
#include "RunControl.h"

#include "platform/Orders.h"

#include "pistachiostand/fleet/CapacityPlan.h"
#include "pistachiostand/job/Demand.h"
#include "pistachiostand/job/Scheduler.h"
#include "pistachiostand/ownership/CallTimeout.h"
#include "pistachiostand/ownership/InstanceOrder.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Lists the instances, moves them between pools and executes maintenance waves.

namespace pistachiostand::fleet {

class FleetControl
{
public:
  FleetControl(OwnerState& aState, RunControl& aRuns);

  FleetControl(const FleetControl&) = delete;
  FleetControl& operator=(const FleetControl&) = delete;
  ~FleetControl() = default;

  /// \brief Applies the request of a wave.
  /// \param aSeenMs when this process first read the request, on the steady clock.
  void OnWave(const MaintenanceWave& aWave, Millis aSeenMs);

  /// \brief Applies the stored progress of a wave of an earlier owner.
  void OnStoredWave(std::uint64_t aNumber, std::string_view aBytes);

  /// \brief Applies the record that an owner stored before it sent an order for an instance.
  void OnStoredOrder(const InstanceId& aInstance, std::string_view aBytes);

  /// \brief Called when all records of earlier owners have been read.
  void OnRecordsRead() { m_recordsRead = true; }

  /// \brief Called when orders may be sent again, after a time in which callers may have been
  /// refused.
  void OnOwnershipLeaseRegained(Millis aNowMs);

  void Tick(Millis aNowMs);

  /// \brief Servers that accept new work, with their free capacity.
  [[nodiscard]] std::vector<ServerView> ServerViews(Millis aNowMs) const;

  /// \brief True when the server gets no new work because its instance is cordoned or drained, or
  /// has an order.
  [[nodiscard]] bool IsUnschedulable(const ServerId& aServer) const
  {
    return m_unschedulableServers.contains(aServer);
  }

  /// \brief True when the instance of the server is still due for maintenance.
  [[nodiscard]] bool IsDue(const ServerId& aServer) const { return m_dueServers.contains(aServer); }

private:
  /// Several times the duration of an append to a fast store. A lost response delays a move by this
  /// long.
  static constexpr Millis kMinRecordTimeoutMs = 150;

  struct Wave
  {
    MaintenanceWave m_request;
    bool m_requested{};
    Millis m_beginMs{}; ///< Earliest known time of the request; 0: not known.
    std::set<InstanceId> m_done;
    std::size_t m_storedCount{}; ///< Number of these in the stored record.
    bool m_storing{};
    std::optional<bool> m_writtenStatus; ///< Status written last: completed or not.
    bool m_writingStatus{};
  };

  /// \brief An order whose result the list of instances does not show yet.
  struct Order
  {
    PoolName m_pool; ///< Target of a move; empty for maintenance.
    std::optional<std::uint64_t> m_wave;
    ServerId m_previousServer; ///< Backend server before the order.
    Millis m_answeredMs{};     ///< When it was reported as done; 0: not yet.
    Millis m_sentMs{};         ///< 0: its record is not stored yet.
    bool m_storing{};          ///< The record that precedes sending it is being stored.
  };

  void List(const std::string& aPage);
  void OnPage(const std::optional<platform::InstancePage>& aPage);
  void OnListed();
  /// \brief True when the last list shows that the instance does not exist any more.
  [[nodiscard]] bool IsGone(const InstanceId& aId) const;
  void Plan(Millis aNowMs);
  /// \brief Orders that the platform's rate allows now.
  [[nodiscard]] std::size_t OrdersLeft(Millis aNowMs);
  void LogCapacity(const CapacityInput& aInput);
  [[nodiscard]] CapacityInput MakeInput(Millis aNowMs);
  void SetWanted(CapacityInput& aInput);
  void StoreOrders(const std::vector<InstanceId>& aInstances);
  void Send(const InstanceId& aInstance);
  [[nodiscard]] bool MayOrder(const InstanceId& aInstance, Millis aNowMs) const;
  void OnAnswered(const InstanceId& aInstance, const platform::InstanceResult& aResult);
  void Evacuate(Millis aNowMs);
  void UpdateUnschedulable();
  void WriteStatus(Wave& aWave);
  void StoreWave(Wave& aWave);
  [[nodiscard]] PoolName SparePool() const;

  OwnerState& m_state;
  RunControl& m_runs;
  std::map<InstanceId, InstanceInfo> m_instances;
  std::map<InstanceId, InstanceInfo> m_partialList;
  std::set<InstanceId> m_unreadable; ///< Instances of the last list whose rows cannot be read.
  bool m_hasRowWithoutId{};          ///< Some row of that list has no readable id.
  std::string m_listPageToken;       ///< Token of the page that was requested last.
  Millis m_listedMs{};
  Millis m_listBeginMs{}; ///< When the first page was requested.
  bool m_listInFlight{};
  std::map<std::uint64_t, Wave> m_waves;
  std::map<InstanceId, Order> m_orders;
  std::map<InstanceId, Millis> m_cordoned;  ///< With the time when each was cordoned.
  std::set<InstanceId> m_drainingInstances; ///< Drained, or with a planned move.
  std::set<ServerId> m_unschedulableServers;
  std::set<ServerId> m_dueServers;
  std::map<PoolName, DemandTracker> m_demand;
  std::map<PoolName, PoolDemand> m_lastDemand;         ///< For the log.
  std::map<PoolName, RecentMaximum> m_recentMaxWanted; ///< For maintenance.
  /// An order whose record gets no response is planned again, so a short timeout costs little.
  CallTimeout m_recordTimeout{ kMinRecordTimeoutMs };
  std::vector<Millis> m_orderedMs; ///< When the orders of the last second were planned.
  Millis m_refusedUntilMs{};
  Millis m_keepIdleUntilMs{}; ///< Until then, callers that were refused may still retry.
  Millis m_capacityLoggedMs{};
  /// Last orders of earlier owners; nullopt for a record that cannot be read.
  std::map<InstanceId, std::optional<InstanceOrder>> m_earlierOwnersOrders;
  bool m_recordsRead{};
};

/// \brief Topic of the owner's records about waves and instance orders.
inline constexpr const char* kFleetTopic = "keyed.fleet";
inline constexpr std::string_view kOrderPrefix = "order/";
inline constexpr std::string_view kStoredWavePrefix = "wave/";

} // namespace pistachiostand::fleet
