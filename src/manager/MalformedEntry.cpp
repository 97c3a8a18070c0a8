#include "MalformedEntry.h"

#include "EventLog.h"

#include "pistachiostand/base/Bounds.h"

#include <functional>
#include <map>
#include <string>

namespace pistachiostand::fleet {

namespace {

/// Number of keys whose cause is kept; beyond it all are cleared, and their entries logged again.
constexpr std::size_t kMaxRemembered = 4'096;

} // namespace

void ReportMalformedEntry(Metrics& aMetrics, std::string_view aCounter, std::string_view aPart,
                          std::string_view aKey, std::string_view aCause)
{
  static std::map<std::string, std::size_t, std::less<>> causes;
  Count(aMetrics, aCounter);
  const auto key = Printable(aKey);
  if (causes.size() >= kMaxRemembered) {
    causes.clear();
  }
  const auto hash = std::hash<std::string_view>{}(aCause);
  const auto [known, first] = causes.try_emplace(std::string{ aCounter } + ' ' + key, hash);
  if (first || known->second != hash) {
    known->second = hash;
    LogEvent(aPart, "unreadable", "key={} cause={}", key, aCause);
  }
}

} // namespace pistachiostand::fleet
