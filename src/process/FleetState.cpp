#include "pistachiostand/process/FleetState.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace pistachiostand {

namespace {

auto Fields(const FleetState& aState)
{
  return std::tie(aState.m_nextOffset, aState.m_timeMs, aState.m_revision, aState.m_rulesText,
                  aState.m_provenance, aState.m_publishes, aState.m_instances, aState.m_retired,
                  aState.m_jobs);
}

} // namespace

std::string_view ToString(InstancePhase aPhase) noexcept
{
  constexpr std::array<std::string_view, 3> kNames{ "serving", "leaving", "failed" };
  return kNames.at(static_cast<std::size_t>(aPhase));
}

std::string_view ToString(JobPhase aPhase) noexcept
{
  constexpr std::array<std::string_view, 5> kNames{ "queued", "claimed", "completed", "stopped",
                                                    "not-run" };
  return kNames.at(static_cast<std::size_t>(aPhase));
}

bool IsFinal(JobPhase aPhase) noexcept
{
  return aPhase != JobPhase::Queued && aPhase != JobPhase::Claimed;
}

std::string_view ToString(Refusal aRefusal) noexcept
{
  constexpr std::array<std::string_view, 15> kNames{
    "stale-base",    "invalid-rules",      "unknown-instance", "wrong-phase",
    "stale-epoch",   "budget-exceeded",    "unknown-pool",     "same-boot",
    "duplicate-key", "key-conflict",       "unknown-job",      "stale-attempt",
    "not-claimant",  "server-unavailable", "time-not-advanced"
  };
  return kNames.at(static_cast<std::size_t>(aRefusal));
}

bool operator==(const FleetState& aLeft, const FleetState& aRight)
{
  return Fields(aLeft) == Fields(aRight);
}

Epoch EpochOf(const FleetState& aState, const InstanceId& aInstance)
{
  const auto found = aState.m_instances.find(aInstance);
  if (found != aState.m_instances.end()) {
    return found->second.m_epoch;
  }
  const auto retired = aState.m_retired.find(aInstance);
  return retired == aState.m_retired.end() ? 0 : retired->second.m_instance.m_epoch;
}

PoolCounts CountPool(const FleetState& aState, const PoolName& aPool)
{
  PoolCounts counts;
  for (const auto& [id, instance] : aState.m_instances) {
    if (instance.m_pool != aPool) {
      continue;
    }
    counts.m_serving += instance.m_phase == InstancePhase::Serving ? 1 : 0;
    counts.m_leaving += instance.m_phase == InstancePhase::Leaving ? 1 : 0;
    counts.m_failed += instance.m_phase == InstancePhase::Failed ? 1 : 0;
  }
  return counts;
}

std::string DomainOf(const Instance& aInstance, Domain aDomain)
{
  switch (aDomain) {
    case Domain::None:
      return {};
    case Domain::Rack:
      return aInstance.m_zone + '/' + aInstance.m_rack;
    case Domain::Zone:
      break;
  }
  return aInstance.m_zone;
}

std::uint32_t GuaranteedAfterLeaving(const FleetState& aState, const PoolName& aPool,
                                     const InstanceId& aWithout)
{
  const auto rule = aState.m_rules->m_pools.find(aPool);
  const Domain tolerate =
    rule == aState.m_rules->m_pools.end() ? Domain::None : rule->second.m_tolerate;
  std::map<std::string, std::uint32_t> byDomain;
  std::uint32_t serving = 0;
  for (const auto& [id, instance] : aState.m_instances) {
    if (instance.m_pool == aPool && instance.m_phase == InstancePhase::Serving && id != aWithout) {
      ++serving;
      ++byDomain[DomainOf(instance, tolerate)];
    }
  }
  if (tolerate == Domain::None || byDomain.empty()) {
    return serving;
  }
  const auto largest =
    std::ranges::max_element(byDomain, {}, [](const auto& aDomain) { return aDomain.second; });
  return serving - largest->second;
}

bool MayLeave(const FleetState& aState, const InstanceId& aInstance)
{
  const auto instance = aState.m_instances.find(aInstance);
  if (instance == aState.m_instances.end() || instance->second.m_phase != InstancePhase::Serving) {
    return false;
  }
  const auto& pool = instance->second.m_pool;
  const auto rule = aState.m_rules->m_pools.find(pool);
  return rule == aState.m_rules->m_pools.end() ||
         GuaranteedAfterLeaving(aState, pool, aInstance) >= rule->second.m_minAvailable;
}

// Any text may be a tenant's name, so its slashes are escaped: tenant "a" with key "b/c" and tenant
// "a/b" with key "c" must not share a job.
JobKey ScopedKey(const TenantName& aTenant, std::string_view aKey)
{
  JobKey key;
  for (const char letter : aTenant) {
    if (letter == '/' || letter == '%') {
      key += letter == '/' ? "%2F" : "%25";
    } else {
      key += letter;
    }
  }
  return key + '/' + std::string{ aKey };
}

} // namespace pistachiostand
