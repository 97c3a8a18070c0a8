#pragma once

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Percent-encoding of URLs (RFC 3986).

namespace pistachiostand {

/// \brief Percent-encodes everything but unreserved characters.
[[nodiscard]] std::string PercentEncode(std::string_view aText);

/// \brief Decodes percent sequences; returns nothing for a malformed one.
[[nodiscard]] std::optional<std::string> PercentDecode(std::string_view aText);

} // namespace pistachiostand
