#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Stable hashes: equal on every machine and in every version.

namespace pistachiostand {

inline constexpr std::uint64_t kHashSeed = 0xcbf29ce484222325ULL;

/// \brief FNV-1a, 64 bits, with a final mix because FNV barely changes the high bits for short
/// keys.
[[nodiscard]] std::uint64_t Hash(std::string_view aBytes, std::uint64_t aSeed = kHashSeed) noexcept;

/// \brief Returns the candidate with the highest weight for `aKey` (rendezvous hashing).
///
/// All processes that see the same candidates choose the same one, and the loss of a candidate
/// moves only the keys that it held.
[[nodiscard]] std::optional<std::string> RendezvousOwner(
  std::string_view aKey, const std::vector<std::string>& aCandidates);

/// \brief Hexadecimal text of 16 digits.
[[nodiscard]] std::string ToHex(std::uint64_t aValue);

} // namespace pistachiostand
