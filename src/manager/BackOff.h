#pragma once

#include "pistachiostand/base/Types.h"

#include <algorithm>
#include <random>

/// \file
/// \brief Pauses between tries of a call that fails.

namespace pistachiostand::fleet {

/// \brief Shortest and longest upper bound of a pause.
struct BackOffRange
{
  Millis m_firstMs{};
  Millis m_maxMs{};

  friend constexpr auto operator<=>(const BackOffRange&, const BackOffRange&) = default;
};

/// \brief Pause after `aFailures` earlier failures in a row: doubled with each of them, and random
/// in its upper half, so that instances which failed together do not try again together.
[[nodiscard]] inline Millis BackOffMs(const BackOffRange& aRange, unsigned aFailures)
{
  constexpr unsigned kMaxDoublings = 10; // Beyond every range in use.
  static std::minstd_rand random{ std::random_device{}() };
  const Millis upperBound =
    std::min(aRange.m_firstMs << std::min(aFailures, kMaxDoublings), aRange.m_maxMs);
  return std::uniform_int_distribution<Millis>{ upperBound / 2, upperBound }(random);
}

} // namespace pistachiostand::fleet
