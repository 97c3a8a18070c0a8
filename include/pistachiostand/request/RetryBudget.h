#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

/// \file
/// \brief Limits retries to a share of the requests, so that they cannot amplify an overload.

namespace pistachiostand {

inline constexpr std::uint32_t kRequestsPerRetry = 10;

/// \brief Largest number of retries saved up; bounds the burst after a period without failures.
inline constexpr std::uint32_t kMaxRetryBurst = 20;

/// \brief Token bucket in tenths of a retry. It starts with one retry, so that a service with few
/// requests can retry as well.
struct RetryBudget
{
  std::uint32_t m_tokens{ kRequestsPerRetry };

  friend auto operator<=>(const RetryBudget&, const RetryBudget&) = default;
};

/// \brief A first attempt was sent.
inline void OnFirstAttempt(RetryBudget& aBudget) noexcept
{
  aBudget.m_tokens = std::min(aBudget.m_tokens + 1, kMaxRetryBurst * kRequestsPerRetry);
}

/// \brief Takes one retry out of the budget; false when none is left.
[[nodiscard]] inline bool TryTakeRetry(RetryBudget& aBudget) noexcept
{
  if (aBudget.m_tokens < kRequestsPerRetry) {
    return false;
  }
  aBudget.m_tokens -= kRequestsPerRetry;
  return true;
}

} // namespace pistachiostand
