#include "pistachiostand/base/Base64.h"

#include <cstdint>
#include <utility>

namespace pistachiostand {

namespace {

constexpr std::string_view kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

} // namespace

std::string EncodeBase64(std::string_view aBytes)
{
  std::string text;
  text.reserve((aBytes.size() + 2) / 3 * 4);
  while (!aBytes.empty()) {
    const std::size_t count = aBytes.size() < 3 ? aBytes.size() : 3;
    std::uint32_t group = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      group = (group << 8U) | (i < count ? static_cast<unsigned char>(aBytes[i]) : 0U);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text += i <= count ? kAlphabet[(group >> (18U - 6U * i)) & 0x3fU] : '=';
    }
    aBytes.remove_prefix(count);
  }
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  std::size_t padding = 0;
  while (padding < 2 && !aText.empty() && aText.back() == '=') {
    aText.remove_suffix(1);
    ++padding;
  }
  std::string bytes;
  std::uint32_t group = 0;
  unsigned bits = 0;
  for (const char each : aText) {
    const auto value = kAlphabet.find(each);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    group = (group << 6U) | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>((group >> bits) & 0xffU);
    }
  }
  const bool canonical = (group & ((1U << bits) - 1U)) == 0;
  return canonical ? std::optional{ std::move(bytes) } : std::nullopt;
}

} // namespace pistachiostand
