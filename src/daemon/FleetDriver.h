#pragma once

#include "ServerTable.h"

#include <optional>
#include <vector>

/// \file
/// \brief Polls the platform's instance list and, on the planning process, executes the planner's
/// decisions.

namespace pistachiostand {

class FleetDriver
{
public:
  FleetDriver(Runtime& aRuntime, ServerTable& aServers);

  /// \brief True while this process plans for the fleet.
  [[nodiscard]] bool IsPlanner() const;

private:
  void Poll();
  void OnList(const std::optional<InstanceList>& aList);
  void Plan();
  /// \brief Proposes a Tick record, which carries the current wall time.
  void ProposeTick();
  [[nodiscard]] bool IsSnapshotDue();
  void ProposeSnapshot();
  [[nodiscard]] std::map<InstanceId, std::uint32_t> InFlight(Millis aNowMs) const;
  [[nodiscard]] Offset MinReadOffset(Millis aNowMs) const;

  Runtime& m_runtime;
  ServerTable& m_servers;
  Millis m_startedMs;
  std::vector<ListedInstance> m_listed;
  PlannerMemory m_memory; ///< Kept between calls of the planner; empty while another process plans.
  std::size_t m_unresolved{}; ///< Records of the last decision that have not been read back yet.
  bool m_snapshotInProgress{};
  Offset m_lastSnapshotOffset{};
  Millis m_lastSnapshotSeenMs{}; ///< When the last snapshot was first seen.
  bool m_polling{};
  Ticker m_pollTicker;
  Ticker m_tickTicker;
};

} // namespace pistachiostand
