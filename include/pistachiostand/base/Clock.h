#pragma once

#include "pistachiostand/base/Types.h"

#include <chrono>
#include <ctime>

/// \file
/// \brief Clocks in milliseconds.

namespace pistachiostand {

/// \brief Monotonic time since an arbitrary start. It advances while the process is paused or the
/// machine is suspended, so a process that resumes can tell how long it was stopped.
[[nodiscard]] inline Millis MonotonicMs() noexcept
{
  // std::chrono::steady_clock stops while the machine is suspended.
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<Millis>(now.tv_sec) * 1'000 + now.tv_nsec / 1'000'000;
}

/// \brief Time since 1970.
[[nodiscard]] inline Millis WallMs() noexcept
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace pistachiostand
