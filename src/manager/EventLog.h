#pragma once

#include "pistachiostand/base/Bounds.h"
#include "pistachiostand/base/Types.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

/// \file
/// \brief Structured log lines: an event name and `key=value` pairs.
///
/// Each part has a limit of lines a second, so that a burst of runs neither fills the output nor
/// keeps the lines of other parts out; lines beyond the limit are counted and the count is logged.
/// Standard output does not block: a reader that stops reading loses lines and stops nothing.
/// Names from outside neither break a line nor fill the output: control characters and bytes that
/// are not UTF-8 are escaped, and long lines are cut.

namespace pistachiostand::fleet {

/// \brief Sends the log to standard output at `aLevel`; SIGPIPE and blocking writes are turned off.
void OpenEventLog(const std::string& aLevel);

namespace internal {

inline constexpr std::size_t kMaxLineBytes = 1'000;

/// \brief Takes one line from what a part may log in this second.
[[nodiscard]] bool TakeLogLine(std::string_view aPart);

} // namespace internal

/// \brief Logs a decision.
///
/// \code
/// LogEvent("job", "accepted", "id={} queue={}", id, queue);
/// \endcode
template<typename... Args>
void LogEvent(std::string_view aPart, std::string_view aEvent, fmt::format_string<Args...> aFormat,
              Args&&... aArgs)
{
  if (spdlog::should_log(spdlog::level::info) && internal::TakeLogLine(aPart)) {
    spdlog::info(
      "{}: {} {}", aPart, aEvent,
      Printable(fmt::format(aFormat, std::forward<Args>(aArgs)...), internal::kMaxLineBytes));
  }
}

} // namespace pistachiostand::fleet
