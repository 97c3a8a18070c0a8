#include "EventLog.h"

#include "pistachiostand/base/Clock.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <csignal>
#include <fcntl.h>
#include <functional>
#include <map>
#include <string>
#include <unistd.h>

namespace pistachiostand::fleet {

namespace {

/// Limits the processor time and the output that a burst costs, for each part.
constexpr std::uint64_t kMaxLinesPerS = 200;
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

bool TakeLogLine(std::string_view aPart)
{
  struct Window
  {
    Millis m_beginMs{};
    std::uint64_t m_taken{};
    std::uint64_t m_dropped{};
  };
  static std::map<std::string, Window, std::less<>> windows;
  auto found = windows.find(aPart);
  if (found == windows.end()) {
    found = windows.emplace(aPart, Window{}).first;
  }
  Window& window = found->second;
  const Millis now = MonotonicMs();
  if (now - window.m_beginMs >= kWindowMs) {
    if (window.m_dropped != 0) {
      spdlog::warn("log: dropped part={} lines={} in_ms={}", aPart, window.m_dropped,
                   now - window.m_beginMs);
    }
    window = { now, 0, 0 };
  }
  if (window.m_taken >= kMaxLinesPerS) {
    ++window.m_dropped;
    return false;
  }
  ++window.m_taken;
  return true;
}

} // namespace internal

} // namespace pistachiostand::fleet
