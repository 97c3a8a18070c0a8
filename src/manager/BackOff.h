#pragma once

#include "pistachiostand/base/Types.h"

#include <algorithm>
#include <random>

/// \file
/// \brief Pauses between attempts of a call that fails.

namespace pistachiostand::fleet {

/// \brief Upper bound of the first pause, and the largest upper bound of a pause.
struct BackOffRange
{
  Millis m_firstMs{};
  Millis m_maxMs{};

  friend constexpr auto operator<=>(const BackOffRange&, const BackOffRange&) = default;
};

/// \brief Returns the pause after `aFailures` earlier consecutive failures. The upper bound doubles
/// with each of them, and the pause is random in its upper half, so that instances that failed at
/// the same time do not retry at the same time.
[[nodiscard]] inline Millis BackOffMs(const BackOffRange& aRange, unsigned aFailures)
{
  constexpr unsigned kMaxDoublings = 10; // Exceeds every range in use.
  static std::minstd_rand random{ std::random_device{}() };
  const Millis upperBound =
    std::min(aRange.m_firstMs << std::min(aFailures, kMaxDoublings), aRange.m_maxMs);
  return std::uniform_int_distribution<Millis>{ upperBound / 2, upperBound }(random);
}

} // namespace pistachiostand::fleet
