#pragma once

#include "pistachiostand/base/Types.h"

#include <algorithm>

/// \file
/// \brief A timeout that adapts to the response time of the callee.
///
/// It prevents a retry storm against a slow store: a call that is repeated before the first copy
/// got its response lengthens the callee's queue. With a fixed timeout below the waiting time, no
/// copy gets its response in time, even after the cause is gone.

namespace pistachiostand::fleet {

class CallTimeout
{
public:
  /// Lost responses are common, so a call to a fast callee is repeated after this time.
  static constexpr Millis kMinMs = 500;
  /// The store refuses calls that would wait in its queue for more than 2 s; the rest is for the
  /// call itself.
  static constexpr Millis kMaxMs = 2'500;

  constexpr CallTimeout() = default;

  /// \param aMinMs shortest timeout; lower for calls that are cheap to repeat.
  constexpr explicit CallTimeout(Millis aMinMs) noexcept
    : m_minMs(aMinMs)
    , m_currentMs(aMinMs)
  {
  }

  [[nodiscard]] constexpr Millis CurrentMs() const noexcept { return m_currentMs; }

  constexpr void OnAnswer(Millis aTookMs) noexcept
  {
    constexpr Millis kFactor = 4; // Allows for calls that are slower than the last one.
    m_currentMs = std::clamp(kFactor * aTookMs, m_minMs, kMaxMs);
  }

  constexpr void OnTimeout() noexcept { m_currentMs = std::min(2 * m_currentMs, kMaxMs); }

private:
  Millis m_minMs{ kMinMs };
  Millis m_currentMs{ kMinMs };
};

} // namespace pistachiostand::fleet
