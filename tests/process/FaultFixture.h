#pragma once

#include "Deployment.h"

#include "pistachiostand/process/LogReplica.h"

#include <functional>
#include <string>
#include <vector>

/// \file
/// \brief Fixture for failure tests of configuration and of the fleet.

namespace pistachiostand::testing {

/// Short intervals and timeouts, so that tests do not wait for the defaults.
inline constexpr auto kFastLimits = R"(heartbeat_ms = 100
peer_timeout_ms = 600
list_poll_ms = 100
tail_wait_ms = 200
platform_timeout_ms = 800
view_confirm_ms = 1500
)";

class FaultFixture : public Deployment
{
protected:
  /// \brief Starts one backend server for each pool name, each in its own rack, and assigns zones
  /// z1 to z3 in rotation.
  void StartBackends(const std::vector<std::string>& aPools);
  void WaitUntilServed(const std::string& aService);
  void WaitUntilPeersSeeEachOther();
  void WaitUntilServed(std::size_t aEntry, const std::string& aService);

  [[nodiscard]] HttpResponse CallNamed(std::size_t aEntry, const std::string& aService,
                                       const std::string& aId, const std::string& aKey = {});
  /// \brief Appends records to the platform's log, as an entry instance would.
  void AppendRecords(const std::vector<RecordBody>& aBodies);
  /// \brief Appends as many ticks as it takes to advance the time of the fold by `aByMs`; the
  /// advance of one tick is limited.
  void AdvanceFoldTime(Millis aByMs);

  /// \brief Calls `aObserve` with the state after each record of the log.
  ///
  /// The records are applied by the program's own fold, so `aObserve` receives every state that a
  /// reader of the log passed through.
  FleetState ReplayLog(const std::function<void(const FleetState&, const LogEntry&,
                                                const ApplyResult&)>& aObserve = {});
  /// \brief The state at the end of the log.
  [[nodiscard]] FleetState LogState() { return ReplayLog(); }

  [[nodiscard]] Json Status(std::size_t aEntry)
  {
    return GetJson(m_entries.at(aEntry), "/v1/status");
  }
  [[nodiscard]] static Json PoolOf(const Json& aStatus, const std::string& aPool);
  [[nodiscard]] static Json InstanceOf(const Json& aStatus, const std::string& aInstance);
  void ExpectNoDigestMismatch();

private:
  std::uint64_t m_lastRecordId = 0;
};

} // namespace pistachiostand::testing
