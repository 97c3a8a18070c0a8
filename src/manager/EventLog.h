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
/// Each part has a limit of lines per second, so that a burst of runs neither floods the output nor
/// suppresses the lines of other parts; the number of lines dropped beyond the limit is logged.
/// Standard output does not block: a reader that stops reading loses lines but stalls nothing.
/// External names can neither break a line nor flood the output: control characters and bytes that
/// are not UTF-8 are escaped, and long lines are truncated.

namespace pistachiostand::fleet {

/// \brief Sends the log to standard output at `aLevel`; SIGPIPE and blocking writes are turned off.
void OpenEventLog(const std::string& aLevel);

namespace internal {

inline constexpr std::size_t kMaxLineBytes = 1'000;

/// \brief Counts one line of a part; false when the part has reached its limit for this second.
[[nodiscard]] bool TakeLogLine(std::string_view aPart);

} // namespace internal

/// \brief Logs an event at level info.
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
