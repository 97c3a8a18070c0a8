#pragma once

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Base64 with padding (RFC 4648), for binary values in JSON.

namespace pistachiostand {

[[nodiscard]] std::string EncodeBase64(std::string_view aBytes);

/// \brief Decodes padded base64; returns nothing for any other text.
[[nodiscard]] std::optional<std::string> DecodeBase64(std::string_view aText);

} // namespace pistachiostand
