#include "pistachiostand/base/Hash.h"

#include <algorithm>

namespace pistachiostand {

std::uint64_t Hash(std::string_view aBytes, std::uint64_t aSeed) noexcept
{
  constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  std::uint64_t hash = aSeed;
  for (const char byte : aBytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  }
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  return hash;
}

std::optional<std::string> RendezvousOwner(std::string_view aKey,
                                           const std::vector<std::string>& aCandidates)
{
  const auto owner = std::ranges::max_element(
    aCandidates, {}, [seed = Hash(aKey)](const std::string& aName) { return Hash(aName, seed); });
  return owner == aCandidates.end() ? std::nullopt : std::optional{ *owner };
}

std::string ToHex(std::uint64_t aValue)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(16, '0');
  std::generate(text.rbegin(), text.rend(), [&aValue, kDigits] {
    const char digit = kDigits[aValue & 0xfU];
    aValue >>= 4U;
    return digit;
  });
  return text;
}

} // namespace pistachiostand
