#pragma once

#include "pistachiostand/base/Types.h"

#include <algorithm>

/// \file
/// \brief A timeout that follows the speed of the callee.
///
/// Answers the load of a slow store: a call that is repeated before its first copy has been
/// answered adds to the callee's queue, and with a fixed timeout below the waiting time no copy is
/// ever answered in time, also after the cause has gone.

namespace pistachiostand::fleet {

class CallTimeout
{
public:
  /// Lost answers are common, so a fast callee is asked again after this time.
  static constexpr Millis kMinMs = 500;
  /// The store refuses calls that would wait for more than 2 s.
  static constexpr Millis kMaxMs = 2'500;

  constexpr CallTimeout() = default;

  /// \param aMinMs shortest timeout, for calls of which a copy is cheap.
  constexpr explicit CallTimeout(Millis aMinMs) noexcept
    : m_minMs(aMinMs)
    , m_currentMs(aMinMs)
  {
  }

  [[nodiscard]] constexpr Millis CurrentMs() const noexcept { return m_currentMs; }

  constexpr void OnAnswer(Millis aTookMs) noexcept
  {
    constexpr Millis kFactor = 4; // Leaves room for calls that are slower than the last one.
    m_currentMs = std::clamp(kFactor * aTookMs, m_minMs, kMaxMs);
  }

  constexpr void OnTimeout() noexcept { m_currentMs = std::min(2 * m_currentMs, kMaxMs); }

private:
  Millis m_minMs{ kMinMs };
  Millis m_currentMs{ kMinMs };
};

} // namespace pistachiostand::fleet
