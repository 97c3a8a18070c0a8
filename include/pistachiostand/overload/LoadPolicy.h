#pragma once

#include "pistachiostand/overload/LoadLimits.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

/// \file
/// \brief Decides which connections and requests a process under overload serves, refuses or
/// closes.
///
/// Uses no clock, no socket and no other input or output. Addresses incomplete bodies in any
/// number, bodies in very small pieces, slow senders and readers, and connections that are only
/// held open.

namespace pistachiostand::overload {

enum class Phase : std::uint8_t
{
  Idle,     ///< No byte of a request has arrived.
  Header,   ///< The header is incomplete.
  Body,     ///< The body is incomplete.
  Handling, ///< The handler has the request.
  Writing,  ///< The response is being written.
  Closing,  ///< Refused; the server is about to release it.
};

/// \brief What one connection uses. Times are those of a steady clock.
struct ConnectionLoad
{
  Listener m_listener{};
  Phase m_phase{ Phase::Idle };
  Millis m_phaseSinceMs{};
  Millis m_requestSinceMs{}; ///< First byte of the request that is incomplete.
  Millis m_progressMs{};     ///< Last byte read or written.
  std::size_t m_headerBytes{};
  std::size_t m_bodyBytes{}; ///< Received so far.
  std::size_t m_declaredBytes{};
  std::size_t m_chunks{};
  bool m_chunked{};
  std::size_t m_responseBytes{}; ///< In a response that is not written yet.

  friend auto operator<=>(const ConnectionLoad&, const ConnectionLoad&) = default;
};

/// \brief Why a request is refused or a connection is closed.
enum class Cause : std::uint8_t
{
  HeaderTooLarge,
  BodyTooLarge,
  TooManyChunks,
  HeaderTimeout,
  IdleTimeout,    ///< Between two requests.
  RequestTimeout, ///< Within a request: no progress, or too long in total.
  Memory,         ///< Closed as one of the largest and slowest.
  HandlerMemory,  ///< Refused before it was passed to the handler.
  Connections,    ///< Closed as the oldest idle one of a full listener.
};

inline constexpr std::size_t kCauseCount = 9;

[[nodiscard]] std::string_view NameOf(Cause aCause) noexcept;

/// \brief Status of the response to a request that is not passed on: 413 or 503.
[[nodiscard]] std::uint16_t StatusOf(Cause aCause) noexcept;

/// \brief Memory that an incomplete request and an unwritten response use, in bytes.
[[nodiscard]] std::size_t HeldBytes(const ConnectionLoad& aLoad) noexcept;

/// \brief Memory that a complete request uses until it is answered, in bytes: its header and body,
/// the record that is made of it, and the copies that are on their way to the store.
[[nodiscard]] std::size_t HandlerBytes(const ConnectionLoad& aLoad) noexcept;

/// \brief Why a request that is incomplete must not be read on, by its own size.
[[nodiscard]] std::optional<Cause> FindExcess(const ConnectionLoad& aLoad,
                                              const LoadLimits& aLimits) noexcept;

/// \brief Why a connection must be closed by its age. Never for a request in the handler or a
/// response, which has the write timeout of the server.
[[nodiscard]] std::optional<Cause> FindTimeout(const ConnectionLoad& aLoad,
                                               const LoadLimits& aLimits, Millis aNowMs) noexcept;

/// \brief Memory in use, by what holds it.
struct HeldTotals
{
  std::size_t m_connectionBytes{}; ///< Incomplete requests and unwritten responses.
  std::size_t m_handlerBytes{};

  friend auto operator<=>(const HeldTotals&, const HeldTotals&) = default;
};

/// \brief True when a complete request may be passed to the handler.
[[nodiscard]] bool MayHandle(const HeldTotals& aTotals, std::size_t aRequestBytes,
                             const LoadLimits& aLimits) noexcept;

/// \brief Bytes to release by closing connections; 0 while the limit is kept. Goes below the limit,
/// so that the connections are not compared again for each read.
[[nodiscard]] std::size_t ExcessBytes(const HeldTotals& aTotals,
                                      const LoadLimits& aLimits) noexcept;

/// \brief Connections to close in order to release `aBytes`: the largest and slowest first. Never
/// one whose request is in the handler, and one that writes only if its reader has stalled.
/// \return Indexes into `aLoads`.
[[nodiscard]] std::vector<std::size_t> ChooseToClose(std::span<const ConnectionLoad> aLoads,
                                                     std::size_t aBytes, const LoadLimits& aLimits,
                                                     Millis aNowMs);

/// \brief The connection of a full listener that has been idle for longest, if any.
/// \return Index into `aLoads`.
[[nodiscard]] std::optional<std::size_t> ChooseIdle(std::span<const ConnectionLoad> aLoads,
                                                    Listener aListener);

} // namespace pistachiostand::overload
