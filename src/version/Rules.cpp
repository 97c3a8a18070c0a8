#include "pistachiostand/version/Rules.h"

#include <algorithm>

namespace pistachiostand {

std::string_view ToString(Domain aDomain) noexcept
{
  constexpr std::array<std::string_view, 3> kNames{ "none", "rack", "zone" };
  return kNames.at(static_cast<std::size_t>(aDomain));
}

std::string_view ToString(ServiceClass aClass) noexcept
{
  constexpr std::array<std::string_view, 3> kNames{ "urgent", "batch", "overnight" };
  return kNames.at(static_cast<std::size_t>(aClass));
}

std::string_view ToString(TaskControl aControl) noexcept
{
  return aControl == TaskControl::Full ? "full" : "none";
}

const TenantRule* FindTenant(const Rules& aRules, const TenantName& aTenant) noexcept
{
  auto found = aRules.m_tenants.find(aTenant);
  if (found == aRules.m_tenants.end()) {
    found = aRules.m_tenants.find(std::string{ kDefaultTenant });
  }
  return found == aRules.m_tenants.end() ? nullptr : &found->second;
}

PoolName SparePool(const Rules& aRules)
{
  const auto spare =
    std::ranges::find_if(aRules.m_pools, [](const auto& aPool) { return aPool.second.m_spare; });
  return spare == aRules.m_pools.end() ? PoolName{} : spare->first;
}

} // namespace pistachiostand
