#pragma once

#include "pistachiostand/base/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>

/// \file
/// \brief Limits that keep one process within the memory and descriptors of its machine.
///
/// Addresses crowds of callers that open many connections or send much at the same time. Each limit
/// is higher than what callers within the operator's configuration use.

namespace pistachiostand::overload {

/// \brief The HTTP listeners of one process, which share its memory and descriptors.
enum class Listener : std::uint8_t
{
  Callers,
  Ready,
  Entries, ///< Other entry instances.
  Metrics,
};

inline constexpr std::size_t kListenerCount = 4;

/// \brief What the machine has, and overrides of what is derived from it. 0: derived.
struct MachineLimits
{
  std::size_t m_memoryMb{};
  std::size_t m_maxDescriptors{};
  double m_linkMbps{};
  std::size_t m_requestMb{};         ///< Memory for requests that are incomplete or not answered.
  std::size_t m_callerConnections{}; ///< Connections of the callers' listener.
  std::size_t m_maxChunks{};         ///< Pieces of a chunked body.

  friend auto operator<=>(const MachineLimits&, const MachineLimits&) = default;
};

/// \brief Limits of one listener.
struct ListenerLimits
{
  std::size_t m_maxConnections{};
  std::size_t m_maxBodyBytes{};
  Millis m_idleMs{};    ///< Longest time without a byte, between and within requests.
  Millis m_requestMs{}; ///< Longest time from the first byte of a request to its last one.

  friend auto operator<=>(const ListenerLimits&, const ListenerLimits&) = default;
};

struct LoadLimits
{
  std::size_t m_maxHeldBytes{};    ///< In requests that are incomplete or not answered.
  std::size_t m_maxHandlerBytes{}; ///< Part of these that handlers may hold.
  std::size_t m_maxHeaderBytes{};
  std::size_t m_maxChunks{};
  Millis m_headerMs{};       ///< Longest time from the first byte of a header to its end.
  Millis m_stalledWriteMs{}; ///< A response of which nothing was taken for longer may be dropped.
  std::array<ListenerLimits, kListenerCount> m_listeners{};

  [[nodiscard]] const ListenerLimits& Of(Listener aListener) const
  {
    return m_listeners.at(static_cast<std::size_t>(aListener));
  }

  friend bool operator==(const LoadLimits&, const LoadLimits&) = default;
};

/// \brief Limits on requests that the operator publishes. 0: the default.
struct RequestLimits
{
  std::size_t m_maxHeaderBytes{};
  std::size_t m_maxBodyBytes{};
  Millis m_headerTimeoutMs{};
  Millis m_idleTimeoutMs{};

  friend auto operator<=>(const RequestLimits&, const RequestLimits&) = default;
};

inline constexpr std::size_t kDefaultHeaderBytes = 16'384;
inline constexpr std::size_t kDefaultBodyBytes = 262'144;
inline constexpr Millis kDefaultHeaderTimeoutMs = 3'000;
inline constexpr Millis kDefaultIdleTimeoutMs = 15'000;

/// \brief Derives all limits. With slack, so that callers exactly at a limit of the operator are
/// served, and slightly larger bodies reach the handler, which names the reason.
[[nodiscard]] LoadLimits DeriveLimits(const MachineLimits& aMachine,
                                      const RequestLimits& aRequests);

} // namespace pistachiostand::overload
