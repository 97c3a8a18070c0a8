#pragma once

#include "pistachiostand/base/Types.h"

#include <cstddef>
#include <string>
#include <string_view>

/// \file
/// \brief Bounds of values that come from outside this process.

namespace pistachiostand {

/// \brief Longest time or latest moment, 31,000 years: sums of thousands of them, and hundredfold
/// ones, still fit in a Millis.
inline constexpr Millis kMaxTimeMs = 1'000'000'000'000'000;

[[nodiscard]] constexpr bool IsTime(Millis aTimeMs) noexcept
{
  return aTimeMs >= 0 && aTimeMs <= kMaxTimeMs;
}

/// \brief Longest name: with a prefix it fits in the key of a record, whose length is one byte.
inline constexpr std::size_t kMaxNameBytes = 200;

/// \brief True for text without control characters that is not empty and not too long.
[[nodiscard]] bool IsName(std::string_view aText) noexcept;

/// \brief Text for a log line: control characters and bytes that are not UTF-8 as `\xNN`, and at
/// most `aMaxBytes` bytes, followed by `...` when there was more.
[[nodiscard]] std::string Printable(std::string_view aText, std::size_t aMaxBytes = kMaxNameBytes);

/// \brief Size of the UTF-8 character that the text begins with; 0 when it begins with none.
[[nodiscard]] std::size_t CharacterSize(std::string_view aText) noexcept;

} // namespace pistachiostand
