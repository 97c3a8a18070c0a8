#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

/// \file
/// \brief Amounts of processor, memory and accelerators.

namespace pistachiostand::fleet {

struct Resources
{
  std::int64_t m_cpuMillis{}; ///< Thousandths of a core.
  std::int64_t m_memoryMb{};
  std::int64_t m_gpus{};

  friend auto operator<=>(const Resources&, const Resources&) = default;
};

[[nodiscard]] constexpr Resources operator+(const Resources& aLeft,
                                            const Resources& aRight) noexcept
{
  return { aLeft.m_cpuMillis + aRight.m_cpuMillis, aLeft.m_memoryMb + aRight.m_memoryMb,
           aLeft.m_gpus + aRight.m_gpus };
}

[[nodiscard]] constexpr Resources operator-(const Resources& aLeft,
                                            const Resources& aRight) noexcept
{
  return { aLeft.m_cpuMillis - aRight.m_cpuMillis, aLeft.m_memoryMb - aRight.m_memoryMb,
           aLeft.m_gpus - aRight.m_gpus };
}

/// \brief True when `aNeed` fits into `aAvailable` in every dimension.
[[nodiscard]] constexpr bool Fits(const Resources& aNeed, const Resources& aAvailable) noexcept
{
  return aNeed.m_cpuMillis <= aAvailable.m_cpuMillis && aNeed.m_memoryMb <= aAvailable.m_memoryMb &&
         aNeed.m_gpus <= aAvailable.m_gpus;
}

/// \brief The largest share of `aTotal` that `aNeed` takes in any dimension; at least 1 when a
/// needed dimension is absent.
[[nodiscard]] constexpr double DominantShare(const Resources& aNeed,
                                             const Resources& aTotal) noexcept
{
  const auto share = [](std::int64_t aPart, std::int64_t aWhole) {
    if (aPart <= 0) {
      return 0.0;
    }
    return aWhole <= 0 ? 1.0 : static_cast<double>(aPart) / static_cast<double>(aWhole);
  };
  return std::max({ share(aNeed.m_cpuMillis, aTotal.m_cpuMillis),
                    share(aNeed.m_memoryMb, aTotal.m_memoryMb),
                    share(aNeed.m_gpus, aTotal.m_gpus) });
}

} // namespace pistachiostand::fleet
