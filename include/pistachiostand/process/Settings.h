#pragma once

#include "pistachiostand/base/Endpoint.h"
#include "pistachiostand/base/Reason.h"
#include "pistachiostand/base/Types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Settings of one entry instance, read once at the start.

namespace pistachiostand {

/// \brief Another entry instance, table `[[peer]]`.
struct PeerSettings
{
  EntryId m_id;
  ZoneName m_zone;
  Endpoint m_address;

  friend auto operator<=>(const PeerSettings&, const PeerSettings&) = default;
};

/// \brief Limits and intervals, table `[limits]`; every key is optional.
struct LimitSettings
{
  Millis m_heartbeatMs{ 500 };
  Millis m_peerTimeoutMs{ 3'000 };
  /// Longest time since this process or a live peer read the log's end. Afterwards the view, which
  /// is the copy of the shared state, is unconfirmed: it may be out of date.
  Millis m_viewConfirmMs{ 15'000 };
  Millis m_claimWindowMs{ 5'000 }; ///< Longest time from a claim to its dispatch.
  Millis m_listPollMs{ 1'000 };    ///< Interval of reading the platform's instance list.
  Millis m_tailWaitMs{ 2'000 };    ///< Longest wait for new records of one read at the log's end.
  Millis m_platformTimeoutMs{ 5'000 };
  Millis m_shutdownGraceMs{ 30'000 };
  Millis m_drainWaitMs{ 30'000 }; ///< Has no effect; the wait before a reboot is DrainTimeoutMs().
  std::uint32_t m_maxConnections{ 4'096 };
  std::uint32_t m_maxTenants{ 128 };      ///< Tenants with histograms of their own.
  std::uint32_t m_snapshotEvery{ 1'000 }; ///< Log records between two snapshots.

  friend auto operator<=>(const LimitSettings&, const LimitSettings&) = default;
};

struct Settings
{
  EntryId m_id;                     ///< `entry.id`
  ZoneName m_zone;                  ///< `entry.zone`
  Endpoint m_callerListen;          ///< `listen.callers`
  Endpoint m_peerListen;            ///< `listen.peers`
  Endpoint m_platform;              ///< `platform.address`
  std::string m_logLevel{ "info" }; ///< `log.level`: debug, info, warn or error.
  std::vector<PeerSettings> m_peers;
  LimitSettings m_limits;

  friend auto operator<=>(const Settings&, const Settings&) = default;
};

/// \brief Parses and checks a settings file.
///
/// \param aReasons receives all errors in one pass; an unknown key is refused with the nearest
/// known one.
[[nodiscard]] std::optional<Settings> ParseSettings(std::string_view aText, Reasons& aReasons);

} // namespace pistachiostand
