#pragma once

#include "Metrics.h"

#include <string_view>

/// \file
/// \brief Entries of other writers that cannot be read.

namespace pistachiostand::fleet {

/// \brief Counts an entry that cannot be read, and logs it once for each key and cause: the same
/// entry is read again with every list and report.
/// \param aCause fit for a log line.
void ReportMalformedEntry(Metrics& aMetrics, std::string_view aCounter, std::string_view aPart,
                          std::string_view aKey, std::string_view aCause);

} // namespace pistachiostand::fleet
