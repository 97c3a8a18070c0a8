#include "pistachiostand/base/Bounds.h"

#include <algorithm>
#include <array>

namespace pistachiostand {

namespace {

bool IsControl(char aByte) noexcept
{
  const auto byte = static_cast<unsigned char>(aByte);
  return byte < 0x20U || byte == 0x7fU;
}

/// \brief A length class of UTF-8 characters: the marker bits of the first byte and the lowest code
/// point that needs this length.
struct CharacterForm
{
  unsigned m_mask;
  unsigned m_mark;
  std::size_t m_size;
  unsigned m_minCodePoint;
};

constexpr std::array<CharacterForm, 4> kForms{ { { 0x80, 0x00, 1, 0 },
                                                 { 0xe0, 0xc0, 2, 0x80 },
                                                 { 0xf0, 0xe0, 3, 0x800 },
                                                 { 0xf8, 0xf0, 4, 0x10000 } } };

} // namespace

bool IsName(std::string_view aText) noexcept
{
  return !aText.empty() && aText.size() <= kMaxNameBytes && std::ranges::none_of(aText, IsControl);
}

std::size_t CharacterSize(std::string_view aText) noexcept
{
  constexpr unsigned kBitsPerContinuationByte = 6;
  constexpr unsigned kMaxCodePoint = 0x10ffff;
  if (aText.empty()) {
    return 0;
  }
  const unsigned first = static_cast<unsigned char>(aText.front());
  const auto* form = std::ranges::find_if(
    kForms, [first](const CharacterForm& aForm) { return (first & aForm.m_mask) == aForm.m_mark; });
  if (form == kForms.end() || aText.size() < form->m_size) {
    return 0;
  }
  unsigned value = first & ~form->m_mask;
  for (const char each : aText.substr(1, form->m_size - 1)) {
    const unsigned byte = static_cast<unsigned char>(each);
    if ((byte & 0xc0U) != 0x80U) {
      return 0;
    }
    value = (value << kBitsPerContinuationByte) | (byte & 0x3fU);
  }
  const bool isSurrogate = value >= 0xd800U && value <= 0xdfffU;
  return value < form->m_minCodePoint || value > kMaxCodePoint || isSurrogate ? 0 : form->m_size;
}

std::string Printable(std::string_view aText, std::size_t aMaxBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  while (!aText.empty()) {
    const std::size_t size = CharacterSize(aText);
    const bool isPlain = size != 0 && !IsControl(aText.front());
    const std::string_view part = aText.substr(0, std::max<std::size_t>(size, 1));
    std::string shown{ part };
    if (!isPlain) {
      const auto byte = static_cast<unsigned char>(part.front());
      shown = { '\\', 'x', kDigits[byte >> 4U], kDigits[byte & 0xfU] };
    }
    if (text.size() + shown.size() > aMaxBytes) {
      return text + "...";
    }
    text += shown;
    aText.remove_prefix(part.size());
  }
  return text;
}

} // namespace pistachiostand
