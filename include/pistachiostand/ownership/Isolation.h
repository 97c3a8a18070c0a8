#pragma once

#include "pistachiostand/base/Types.h"

#include <compare>

/// \file
/// \brief Detects that an entry instance is isolated and cannot serve its callers.
///
/// The functions have no side effects. Nothing can be stored from an availability zone that is cut
/// off, while its callers may still reach it. The instances of the zone then leave the rotation
/// and refuse requests at once, so that the other zones serve these callers. When only the store is
/// unavailable, no other instance could serve them better: the instances stay in rotation and try
/// to store each request for as long as its caller waits.

namespace pistachiostand::fleet {

/// \brief Times of the last responses to an entry instance, on its steady clock.
struct ConnectivityView
{
  Millis m_storeMs{}; ///< Last response of the store.
  Millis m_ownerMs{}; ///< Last response of the owner.

  friend auto operator<=>(const ConnectivityView&, const ConnectivityView&) = default;
};

/// \brief Time without a response of the store after which the owner is called. A read waits up
/// to 0.8 s for a record, but the owner writes one every 0.2 s, so reads normally return sooner
/// than this.
inline constexpr Millis kAskOwnerAfterMs = 500;
/// \brief Time without a response after which a peer counts as unresponsive: kAskOwnerAfterMs for
/// the store, then two calls to the owner of 0.3 s each.
inline constexpr Millis kSilenceTimeoutMs = 1'100;

/// \brief True when the store is unresponsive to this instance. Jobs are then sent to the owner.
[[nodiscard]] constexpr bool IsStoreSilent(const ConnectivityView& aView, Millis aNowMs) noexcept
{
  return aNowMs - aView.m_storeMs >= kSilenceTimeoutMs;
}

/// \brief True when the owner is unresponsive.
[[nodiscard]] constexpr bool IsOwnerSilent(const ConnectivityView& aView, Millis aNowMs) noexcept
{
  return aNowMs - aView.m_ownerMs >= kSilenceTimeoutMs;
}

/// \brief True when both the store and the owner are unresponsive.
[[nodiscard]] constexpr bool IsIsolated(const ConnectivityView& aView, Millis aNowMs) noexcept
{
  return IsStoreSilent(aView, aNowMs) && IsOwnerSilent(aView, aNowMs);
}

} // namespace pistachiostand::fleet
