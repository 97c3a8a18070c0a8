#include "pistachiostand/account/RunningLimit.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

namespace pistachiostand::fleet {

namespace {

constexpr std::array kDimensions{ &Resources::m_cpuMillis, &Resources::m_memoryMb,
                                  &Resources::m_gpus };

/// \brief Number of subtasks that fit into what is left, up to `aWanted`.
std::size_t CountThatFits(const Resources& aUsed, const Resources& aNeed, const Resources& aLimit,
                          std::size_t aWanted) noexcept
{
  std::size_t count = aWanted;
  for (const auto dimension : kDimensions) {
    if (aLimit.*dimension > 0 && aNeed.*dimension > 0) {
      const std::int64_t left = std::max<std::int64_t>(aLimit.*dimension - aUsed.*dimension, 0);
      count = std::min(count, static_cast<std::size_t>(left / (aNeed.*dimension)));
    }
  }
  return count;
}

/// \brief True when less than half of the limit is used in every limited dimension. One more
/// subtask of any size then stays within what the platform tolerates.
bool IsBelowHalf(const Resources& aUsed, const Resources& aLimit) noexcept
{
  return std::ranges::all_of(kDimensions, [&](const auto aDimension) {
    return aLimit.*aDimension <= 0 || 2 * (aUsed.*aDimension) < aLimit.*aDimension;
  });
}

} // namespace

std::size_t StartsAllowed(const Resources& aUsed, const Resources& aNeed, const Resources& aLimit,
                          std::size_t aWanted) noexcept
{
  const std::size_t count = CountThatFits(aUsed, aNeed, aLimit, aWanted);
  return count == 0 && IsBelowHalf(aUsed, aLimit) ? std::min<std::size_t>(aWanted, 1) : count;
}

Resources ToleratedAmount(const Resources& aNeed, const Resources& aLimit, double aOverage) noexcept
{
  Resources tolerated;
  for (const auto dimension : kDimensions) {
    if (aLimit.*dimension > 0) {
      // Rounded to avoid that 1.1 x 10 is 10 or 11, depending on the representation of 0.1.
      const auto extra = std::llround(
        std::floor(static_cast<double>(aLimit.*dimension) * std::max(aOverage, 0.0) + 1e-6));
      tolerated.*dimension = aLimit.*dimension + extra + aNeed.*dimension;
    }
  }
  return tolerated;
}

bool MayStartGang(const Resources& aUsed, const Resources& aNeed, const Resources& aLimit,
                  std::size_t aMembers, double aOverage) noexcept
{
  return CountThatFits(aUsed, aNeed, aLimit, aMembers) == aMembers ||
         (aUsed == Resources{} && CanEverRun(aNeed, aLimit, aMembers, true, aOverage));
}

bool CanEverRun(const Resources& aNeed, const Resources& aLimit, std::size_t aSubtasks,
                bool aIsGang, double aOverage) noexcept
{
  return !aIsGang ||
         CountThatFits({}, aNeed, ToleratedAmount(aNeed, aLimit, aOverage), aSubtasks) == aSubtasks;
}

Resources LimitOf(const Accounts& aAccounts, const AccountName& aName)
{
  const auto found = aAccounts.find(aName);
  return found == aAccounts.end() ? Resources{} : found->second.m_maxRunning;
}

void AddUse(std::map<AccountName, Resources>& aUsed, const AccountName& aName,
            const Resources& aNeed)
{
  if (!aName.empty() && aNeed != Resources{}) {
    Resources& used = aUsed[aName];
    used = used + aNeed;
  }
}

void RemoveUse(std::map<AccountName, Resources>& aUsed, const AccountName& aName,
               const Resources& aNeed)
{
  const auto found = aUsed.find(aName);
  if (found != aUsed.end()) {
    found->second = found->second - aNeed;
    if (found->second == Resources{}) {
      aUsed.erase(found);
    }
  }
}

} // namespace pistachiostand::fleet
