#pragma once

#include "pistachiostand/base/Types.h"

#include <compare>

/// \file
/// \brief When an entry instance cannot do anything for its callers.
///
/// Pure. Answers the load of an availability zone that is cut off while its callers still reach it:
/// nothing can be stored there. Its instances leave the rotation and refuse at once, so that their
/// callers are served in the other zones. When only the store is away, nobody serves better: the
/// instances stay, and try to store for as long as each caller waits.

namespace pistachiostand::fleet {

/// \brief When an entry instance last heard of others, on its steady clock.
struct ConnectivityView
{
  Millis m_storeMs{}; ///< An answer of the store.
  Millis m_ownerMs{}; ///< An answer of the owner.

  friend auto operator<=>(const ConnectivityView&, const ConnectivityView&) = default;
};

/// \brief Silence of the store after which the owner is asked. A read waits 0.8 s for a record, and
/// the owner writes one every 0.2 s.
inline constexpr Millis kAskOwnerAfterMs = 500;
/// \brief Silence that counts: two tries to reach the owner, 0.3 s each, after the store's.
inline constexpr Millis kSilenceTimeoutMs = 1'100;

/// \brief True when the store does not answer this instance. Jobs then go to the owner.
[[nodiscard]] constexpr bool IsStoreSilent(const ConnectivityView& aView, Millis aNowMs) noexcept
{
  return aNowMs - aView.m_storeMs >= kSilenceTimeoutMs;
}

/// \brief True when the owner does not answer.
[[nodiscard]] constexpr bool IsOwnerSilent(const ConnectivityView& aView, Millis aNowMs) noexcept
{
  return aNowMs - aView.m_ownerMs >= kSilenceTimeoutMs;
}

/// \brief True when neither the store nor the owner is heard of.
[[nodiscard]] constexpr bool IsIsolated(const ConnectivityView& aView, Millis aNowMs) noexcept
{
  return IsStoreSilent(aView, aNowMs) && IsOwnerSilent(aView, aNowMs);
}

} // namespace pistachiostand::fleet
