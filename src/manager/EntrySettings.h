#pragma once

#include "pistachiostand/account/Access.h"
#include "pistachiostand/base/Endpoint.h"
#include "pistachiostand/base/Reason.h"
#include "pistachiostand/base/Types.h"
#include "pistachiostand/overload/LoadLimits.h"

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Settings of an entry instance: TOML, read at start and reload.

namespace pistachiostand::fleet {

/// \brief Bounds that the platform states for the deployment, table `[bounds]`.
struct PlatformBounds
{
  Millis m_maxLeaseMs{}; ///< Longest lease of a run.
  Millis m_stopMs{};     ///< Longest time a stop takes.
  Millis m_contactMs{};
  Millis m_graceMs{};     ///< From SIGTERM to SIGKILL.
  Millis m_exclusiveMs{}; ///< Two owners must not send orders to one instance within this time.
  Millis m_drainMs{}; ///< A backend server that has begun to drain gets starts at most this long.
  Millis m_keepStateMs{};       ///< How long the state of a finished job must be readable.
  Millis m_earlyMs{};           ///< A subtask may start this long before it is due.
  double m_remoteFactor{ 1.0 }; ///< Slow-down of a run outside the rack of its data.
  Millis m_noticeMs{}; ///< A long-running subtask that was unavailable counts as unavailable for
                       ///< this much longer.
  Millis m_moveMs{};
  Millis m_maintenanceMs{};
  Millis m_maxTargetMissMs{}; ///< Longest time a serving subtask may miss its tail latency target.
  Millis m_throttleDelayMs{}; ///< Time until a throttle order takes effect.

  friend auto operator<=>(const PlatformBounds&, const PlatformBounds&) = default;
};

struct EntrySettings
{
  std::string m_id;
  ZoneName m_zone;
  double m_processorShare{ 1.0 }; ///< Cores that the instance may use.
  Endpoint m_callerListen;
  Endpoint m_readyListen;
  Endpoint m_entryListen; ///< For other entry instances.
  Endpoint m_metricsListen;
  Endpoint m_store;
  Endpoint m_instances;
  std::optional<Endpoint> m_advice;
  double m_storeWritesPerS{};
  double m_storeReadsPerS{};
  std::uint32_t m_storePartitions{ 1 };      ///< Of the submission topic.
  std::size_t m_storeRecordBytes{ 262'144 }; ///< Largest record.
  std::size_t m_storeCallBytes{ 2'097'152 }; ///< Largest total of the records of one append.
  double m_instanceOrdersPerS{};
  double m_instanceListsPerS{};
  /// With more backend servers than this, other entry instances carry the owner's orders. Up to
  /// this number an owner with a quarter of a core can send them itself, and carriers only add
  /// cost.
  std::uint32_t m_maxDirectServers{ 120 };
  AccessPolicy m_access;        ///< Table `[accounts]`; without it no key is required.
  double m_runningOverage{};    ///< Fraction of a limit of running work that may be exceeded.
  bool m_learnRunTimes{ true }; ///< False: declared run times are used.
  /// Table `[limits]`; without it requests and connections have only the fixed limits of the
  /// server.
  std::optional<overload::MachineLimits> m_machine;
  PlatformBounds m_bounds;
  std::string m_logLevel{ "info" };

  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

/// \brief Parses and validates a settings file; `aReasons` receives all errors in one pass.
[[nodiscard]] std::optional<EntrySettings> ParseEntrySettings(std::string_view aText,
                                                              Reasons& aReasons);

} // namespace pistachiostand::fleet
