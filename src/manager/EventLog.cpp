#include "EventLog.h"

#include "pistachiostand/base/Clock.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace pistachiostand::fleet {

namespace {

/// Bounds the processor time and the output of a burst.
constexpr std::uint64_t kMaxLinesPerS = 400;
constexpr Millis kWindowMs = 1'000;

} // namespace

void OpenEventLog(const std::string& aLevel)
{
  std::signal(SIGPIPE, SIG_IGN);
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
  spdlog::set_default_logger(spdlog::stdout_logger_st("entry"));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  spdlog::set_level(spdlog::level::from_str(aLevel));
  spdlog::flush_on(spdlog::level::warn);
}

namespace internal {

bool TakeLogLine()
{
  static Millis windowStart = 0;
  static std::uint64_t taken = 0;
  static std::uint64_t dropped = 0;
  const Millis now = MonotonicMs();
  if (now - windowStart >= kWindowMs) {
    if (dropped != 0) {
      spdlog::warn("log: dropped lines={} in_ms={}", dropped, now - windowStart);
    }
    windowStart = now;
    taken = 0;
    dropped = 0;
  }
  if (taken >= kMaxLinesPerS) {
    ++dropped;
    return false;
  }
  ++taken;
  return true;
}

} // namespace internal

} // namespace pistachiostand::fleet
