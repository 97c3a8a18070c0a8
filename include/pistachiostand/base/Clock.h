#pragma once

#include "pistachiostand/base/Types.h"

#include <chrono>

/// \file
/// \brief Clocks in milliseconds.

namespace pistachiostand {

/// \brief Monotonic time since an arbitrary start. It goes on while the process is paused, so a
/// process that wakes sees how long it was away.
[[nodiscard]] inline Millis MonotonicMs() noexcept
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

/// \brief Time since 1970.
[[nodiscard]] inline Millis WallMs() noexcept
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace pistachiostand
