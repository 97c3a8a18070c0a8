#pragma once

#include "pistachiostand/base/Types.h"

#include <algorithm>
#include <vector>

/// \file
/// \brief Maximum of a value over a sliding time window.

namespace pistachiostand::fleet {

/// \code
/// RecentMaximum most{ 1'000 };
/// most.Update(5, 0);    // 5
/// most.Update(3, 500);  // 5
/// most.Update(3, 1'600); // 3
/// \endcode
class RecentMaximum
{
public:
  /// \param aHoldMs how long a value counts.
  constexpr explicit RecentMaximum(Millis aHoldMs) noexcept
    : m_holdMs(aHoldMs)
  {
  }

  double Update(double aValue, Millis aNowMs)
  {
    std::erase_if(m_recent, [&](const Sample& aSample) {
      return aSample.m_value <= aValue || aNowMs - aSample.m_atMs > m_holdMs;
    });
    m_recent.push_back({ aValue, aNowMs });
    return m_recent.front().m_value;
  }

private:
  struct Sample
  {
    double m_value{};
    Millis m_atMs{};
  };

  Millis m_holdMs;
  std::vector<Sample> m_recent; ///< Values decrease from front to back.
};

} // namespace pistachiostand::fleet
