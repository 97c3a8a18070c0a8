#pragma once

#include "pistachiostand/base/Types.h"

#include <cstddef>
#include <string>
#include <string_view>

/// \file
/// \brief Bounds and checks of values from outside this process.

namespace pistachiostand {

/// \brief Longest duration or latest time, 31,000 years. Sums of thousands of such values, and
/// the product of one and 100, still fit in a Millis.
inline constexpr Millis kMaxTimeMs = 1'000'000'000'000'000;

[[nodiscard]] constexpr bool IsTime(Millis aTimeMs) noexcept
{
  return aTimeMs >= 0 && aTimeMs <= kMaxTimeMs;
}

/// \brief Longest name. With a prefix it fits in a record key, whose length is stored in one byte.
inline constexpr std::size_t kMaxNameBytes = 200;

/// \brief True for nonempty text of at most kMaxNameBytes without control characters.
[[nodiscard]] bool IsName(std::string_view aText) noexcept;

/// \brief Returns text for a log line: control characters and bytes that are not UTF-8 become
/// `\xNN`, and text longer than `aMaxBytes` is cut and ends with `...`.
[[nodiscard]] std::string Printable(std::string_view aText, std::size_t aMaxBytes = kMaxNameBytes);

/// \brief Returns the size of the UTF-8 character at the start of the text, or 0 when there is
/// none.
[[nodiscard]] std::size_t CharacterSize(std::string_view aText) noexcept;

} // namespace pistachiostand
