#include "pistachiostand/base/PercentCoding.h"

#include <cctype>
#include <charconv>

namespace pistachiostand {

namespace {

bool IsUnreserved(unsigned char aChar)
{
  return std::isalnum(aChar) != 0 ||
         std::string_view{ "-._~" }.find(static_cast<char>(aChar)) != std::string_view::npos;
}

} // namespace

std::string PercentEncode(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char each : aText) {
    const auto byte = static_cast<unsigned char>(each);
    if (IsUnreserved(byte)) {
      encoded += each;
    } else {
      encoded += { '%', kDigits[byte >> 4U], kDigits[byte & 0xfU] };
    }
  }
  return encoded;
}

std::optional<std::string> PercentDecode(std::string_view aText)
{
  std::string decoded;
  while (!aText.empty()) {
    if (aText.front() != '%') {
      decoded += aText.front();
      aText.remove_prefix(1);
      continue;
    }
    unsigned value = 0;
    const bool valid =
      aText.size() >= 3 &&
      std::from_chars(aText.data() + 1, aText.data() + 3, value, 16).ptr == aText.data() + 3;
    if (!valid) {
      return std::nullopt;
    }
    decoded += static_cast<char>(value);
    aText.remove_prefix(3);
  }
  return decoded;
}

} // namespace pistachiostand
