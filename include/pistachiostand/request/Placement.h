#pragma once

#include "pistachiostand/base/Types.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

/// \file
/// \brief Choice of a backend server among the serving instances of a pool.

namespace pistachiostand {

/// \brief State of a backend server as seen by one entry instance; updated by the functions below.
struct ServerStats
{
  InstanceId m_instance;
  ZoneName m_zone;
  std::uint32_t m_slots{ 8 };
  std::uint32_t m_inFlight{};          ///< Requests sent from here that await a response.
  std::uint32_t m_slotsUsedByOthers{}; ///< Slots used by other senders at the last report.
  std::uint32_t m_limit{ 8 };          ///< Requests that may be in flight from here.
  Millis m_reportedAtMs{};
  double m_latencyMs{}; ///< Moving average; 0 means unknown. An error counts as slow.
  double m_errorRate{}; ///< Moving average of errors among the responses.
  std::uint32_t m_consecutiveErrors{};
  Millis m_fullUntilMs{}; ///< Not tried before this time after refusing as full.
  bool m_ejected{};
  Millis m_ejectedUntilMs{};   ///< Afterwards one request at a time probes it.
  std::uint32_t m_ejections{}; ///< Ejections in a row; each doubles the time of the next.
  bool m_leaving{};            ///< It receives no new request.

  friend auto operator<=>(const ServerStats&, const ServerStats&) = default;
};

/// \brief Switches that turn off single features of ChooseServer in experiments.
struct PlacementOptions
{
  bool m_powerOfTwoChoices{ true }; ///< False: a random one of the servers with a free slot.
  bool m_ejectOutliers{ true };
  bool m_preferOwnZone{ true };
};

/// \brief Inputs of a choice besides the servers.
struct PlacementContext
{
  ZoneName m_zone; ///< Of the entry instance.
  Millis m_nowMs{};
  bool m_mayProbe{}; ///< True for an idempotent request, which may be sent to an ejected server.
  PlacementOptions m_options;
};

using Random = std::mt19937_64;

/// \brief Index of the server to send to; nothing when no server seems to have a free slot.
///
/// \code
/// if (const auto index = ChooseServer(servers, { "zone-a", now, true, {} }, random)) {
///   OnSent(servers[*index]);
/// }
/// \endcode
[[nodiscard]] std::optional<std::size_t> ChooseServer(std::span<const ServerStats> aServers,
                                                      const PlacementContext& aContext,
                                                      Random& aRandom);

/// \brief Slots that seem taken: those in flight from here plus those of others at the last report.
[[nodiscard]] std::uint32_t EstimatedLoad(const ServerStats& aServer, Millis aNowMs) noexcept;

/// \brief A request was sent.
void OnSent(ServerStats& aServer) noexcept;

/// \brief `GET /status` or `X-Load` reported `aUsed` slots, the ones in flight from here included.
void OnLoadReport(ServerStats& aServer, std::uint32_t aUsed, Millis aNowMs) noexcept;

/// \brief A complete response after `aLatencyMs`; `aUsed` is from `X-Load`, this request included.
void OnResponse(ServerStats& aServer, Millis aLatencyMs, std::uint32_t aUsed,
                Millis aNowMs) noexcept;

/// \brief The server refused because its slots are taken, which is neither an error nor a response.
void OnRefusedFull(ServerStats& aServer, Millis aNowMs) noexcept;

/// \brief The request failed, was truncated or timed out. Call EjectOutliers afterwards.
void OnError(ServerStats& aServer, Millis aLatencyMs, Millis aNowMs) noexcept;

/// \brief The request was abandoned for a reason unrelated to the server.
void OnAbandoned(ServerStats& aServer) noexcept;

/// \brief Ejects servers that fail much more often than their pool, at most a third of the pool.
void EjectOutliers(std::span<ServerStats> aServers, Millis aNowMs) noexcept;

} // namespace pistachiostand
