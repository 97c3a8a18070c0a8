#pragma once

#include "Metrics.h"

#include <string_view>

/// \file
/// \brief Reports malformed records, rows and reports that this process reads.

namespace pistachiostand::fleet {

/// \brief Counts a malformed entry, and logs it once for each key and cause, because the same entry
/// is read again with every list and report.
/// \param aCause text without control characters.
void ReportMalformedEntry(Metrics& aMetrics, std::string_view aCounter, std::string_view aPart,
                          std::string_view aKey, std::string_view aCause);

} // namespace pistachiostand::fleet
