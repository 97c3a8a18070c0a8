#pragma once

#include "pistachiostand/fleet/ConfigurationCheck.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief The command that checks a configuration record before it is published.

namespace pistachiostand::fleet {

/// \brief Checks a record, and compares it with `aBefore` when that is given.
[[nodiscard]] Findings CheckRecordText(std::string_view aText,
                                       std::optional<std::string_view> aBefore);

/// \brief Formats one line per finding: `FILE: PLACE: KIND: CAUSE; REMEDY`. A record without errors
/// ends with a line `FILE: valid`.
[[nodiscard]] std::string FindingsText(const Findings& aFindings, std::string_view aFile);

/// \brief Formats one JSON object with `file`, `result` (`ok` or `refused`) and `findings`.
[[nodiscard]] std::string FindingsJson(const Findings& aFindings, const std::string& aFile);

/// \brief Prints the findings about a file.
/// \return false when there are errors.
bool CheckConfigurationFile(const std::string& aFile, const std::optional<std::string>& aAgainst,
                            bool aJson, std::ostream& aOutput);

} // namespace pistachiostand::fleet
