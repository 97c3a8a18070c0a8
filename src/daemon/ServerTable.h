#pragma once

#include "Runtime.h"
#include "pistachiostand/request/Placement.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief This process's view of the backend servers of each pool.

namespace pistachiostand {

/// \brief A server chosen for one request.
struct ServerRef
{
  InstanceId m_instance;
  PoolName m_pool;
  BootId m_bootId;
  std::string m_address;
  TaskControl m_taskControl{};
  std::optional<Millis> m_clockOffsetMs; ///< Server clock minus own clock, or a little less.
  bool m_probe{};                        ///< The server is ejected; the request probes it.

  friend auto operator<=>(const ServerRef&, const ServerRef&) = default;
};

class ServerTable
{
public:
  explicit ServerTable(Runtime& aRuntime);

  /// \brief Chooses a server with a free slot and counts the request as in flight there.
  ///
  /// Returns nothing for a pool without task control while neither the platform nor a peer is
  /// reachable: the servers of such a pool cannot refuse a dispatch that is outdated because other
  /// processes have changed the fleet meanwhile.
  [[nodiscard]] std::optional<ServerRef> Choose(const PoolName& aPool, bool aMayProbe);

  /// \brief Releases the slot of Choose() and updates the server's statistics from the outcome.
  void OnOutcome(const ServerRef& aServer, const RunOutcome& aOutcome, Millis aTookMs);

  /// \brief Releases the slot of Choose() if no request was sent.
  void OnUnused(const ServerRef& aServer);

  /// \brief Marks the table as outdated after a record changed the serving instances or their
  /// pools.
  ///
  /// The table is updated once for all records of a read, and always before a server is chosen or
  /// an outcome is recorded: at 8,500 instances each update takes some milliseconds.
  void MarkChanged();

  /// \brief Receives the platform's instance list from FleetDriver.
  void OnList(const std::vector<ListedInstance>& aListed);

  [[nodiscard]] const std::map<InstanceId, std::uint32_t>& InFlight() const noexcept
  {
    return m_inFlight;
  }

  /// \brief Servers that reported that they are leaving.
  [[nodiscard]] std::vector<InstanceId> ReportedLeaving() const;

  /// \brief Servers that responded recently and did not report that they are leaving.
  [[nodiscard]] std::set<InstanceId> SeenAlive(Millis aNowMs) const;

private:
  struct Info
  {
    std::string m_address;
    BootId m_bootId;
    std::optional<Millis> m_clockOffsetMs;
    bool m_needsClock{}; ///< Its pool has task control.
    std::optional<Millis> m_polledMs;
    Millis m_aliveMs{};
    bool m_reportedLeaving{};
    bool m_listedLeaving{};
    /// The server reported another boot than in the state, or refused as stale.
    bool m_otherBoot{};
    bool m_polling{};
  };

  /// \brief Both vectors have the same order; Placement uses only the first.
  struct PoolServers
  {
    std::vector<ServerStats> m_stats;
    std::vector<Info> m_info;
    Millis m_usedMs{}; ///< When Choose() last looked for a server of this pool.
  };

  struct Position
  {
    PoolServers* m_pool;
    std::size_t m_index;
  };

  /// \brief Calls `aVisit` with ServerStats and Info of every server.
  template<typename Pools, typename Visit>
  static void ForEach(Pools& aPools, Visit aVisit)
  {
    for (auto& [name, pool] : aPools) {
      for (std::size_t i = 0; i < pool.m_stats.size(); ++i) {
        aVisit(pool.m_stats[i], pool.m_info[i]);
      }
    }
  }

  [[nodiscard]] std::optional<Position> Find(const InstanceId& aInstance);
  void SyncIfChanged();
  void Sync();
  [[nodiscard]] bool HasTaskControl(const PoolName& aPool) const;
  void ReleaseSlot(const InstanceId& aInstance);
  /// \brief True if the server must not be chosen: it is leaving by the platform's list or its own
  /// response, its boot differs from the state, or its pool has task control and its clock is
  /// unknown.
  [[nodiscard]] static bool IsUnusable(const Info& aInfo) noexcept;
  /// \brief Updates which servers must not be chosen, also from the reports of peers.
  void RefreshLeaving();
  void PollDue();
  void PollPool(PoolServers& aPool, Millis aNowMs);
  void Poll(const InstanceId& aInstance, const std::string& aAddress, const BootId& aBoot);
  void OnStatus(const InstanceId& aInstance, const BootId& aBoot, Millis aSentMs,
                const std::optional<ServerStatus>& aStatus);

  Runtime& m_runtime;
  std::map<PoolName, PoolServers> m_pools;
  std::map<InstanceId, std::uint32_t> m_inFlight; ///< Including servers that are no longer serving.
  std::set<InstanceId> m_leavingByPeers;          ///< As of the last RefreshLeaving().
  Random m_random;
  bool m_changed{};      ///< The state has changed since the last Sync().
  std::size_t m_polls{}; ///< In progress.
  PoolName m_pollFrom;   ///< Pool with which the next PollDue() starts.
  Ticker m_pollTicker;
  Ticker m_leavingTicker;
};

} // namespace pistachiostand
