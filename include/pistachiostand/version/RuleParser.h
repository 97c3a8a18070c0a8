#pragma once

#include "pistachiostand/base/Reason.h"
#include "pistachiostand/version/Rules.h"

#include <optional>
#include <string_view>

/// \file
/// \brief Parser of rule files.

namespace pistachiostand {

inline constexpr std::size_t kMaxRuleFileBytes = std::size_t{ 256 } * 1024;

/// \brief Parses and checks a rule file; the same text gives the same result in every process.
///
/// \param aReasons receives every error found, sorted by line, when no value is returned.
///
/// \code
/// Reasons reasons;
/// const auto rules =
///   ParseRules("pool.web = { instances = 2, spare = true } # Ann: trial", reasons);
/// \endcode
[[nodiscard]] std::optional<Rules> ParseRules(std::string_view aText, Reasons& aReasons);

} // namespace pistachiostand
