#include "pistachiostand/process/RunTimeEstimate.h"

#include <algorithm>
#include <cmath>

namespace pistachiostand {
namespace {

namespace acc = boost::accumulators;

/// The quantile estimator has 9 markers for 3 quantiles; its result is invalid with fewer samples.
constexpr std::size_t kMinSamples = 9;
/// From this many samples on, the current estimator is preferred to the previous one.
constexpr std::size_t kMinCurrentSamples = 64;
constexpr std::size_t kMaxSamples = 512;

std::optional<RunTimeQuantiles> Quantiles(const RunTimeAccumulator& aSamples)
{
  if (acc::count(aSamples) < kMinSamples) {
    return std::nullopt;
  }
  const auto values = acc::extended_p_square(aSamples);
  return RunTimeQuantiles{ values[0], values[1], values[2] };
}

std::optional<RunTimeQuantiles> Quantiles(const RunTimeSamples& aSamples)
{
  if (aSamples.m_previous && acc::count(aSamples.m_current) < kMinCurrentSamples) {
    return aSamples.m_previous;
  }
  return Quantiles(aSamples.m_current);
}

void Add(RunTimeSamples& aSamples, Millis aRunTimeMs)
{
  if (acc::count(aSamples.m_current) >= kMaxSamples) {
    RunTimeSamples next;
    next.m_previous = Quantiles(aSamples.m_current);
    aSamples = next;
  }
  aSamples.m_current(static_cast<double>(std::max<Millis>(aRunTimeMs, 0)));
}

template<typename Key>
void AddBounded(std::map<Key, RunTimeSamples>& aMap, const Key& aKey, std::size_t aLimit,
                Millis aRunTimeMs)
{
  const auto found = aMap.find(aKey);
  if (found != aMap.end()) {
    Add(found->second, aRunTimeMs);
  } else if (aMap.size() < aLimit) {
    Add(aMap[aKey], aRunTimeMs);
  }
}

} // namespace

void AddRunTime(RunTimeEstimate& aEstimate, const ServiceName& aService, const TenantName& aTenant,
                Millis aRunTimeMs)
{
  AddBounded(aEstimate.m_byService, aService, aEstimate.m_maxEntries, aRunTimeMs);
  AddBounded(aEstimate.m_byTenant, { aService, aTenant }, aEstimate.m_maxEntries, aRunTimeMs);
}

std::optional<RunTimeQuantiles> FindRunTime(const RunTimeEstimate& aEstimate,
                                            const ServiceName& aService, const TenantName& aTenant)
{
  const auto tenant = aEstimate.m_byTenant.find({ aService, aTenant });
  if (tenant != aEstimate.m_byTenant.end()) {
    if (const auto quantiles = Quantiles(tenant->second)) {
      return quantiles;
    }
  }
  const auto service = aEstimate.m_byService.find(aService);
  return service == aEstimate.m_byService.end() ? std::nullopt : Quantiles(service->second);
}

Millis ExpectedRunMs(const RunTimeEstimate& aEstimate, const ServiceName& aService,
                     const TenantName& aTenant, Millis aDeclaredMs)
{
  const auto found = FindRunTime(aEstimate, aService, aTenant);
  return found ? static_cast<Millis>(std::llround(found->m_p50Ms)) : aDeclaredMs;
}

} // namespace pistachiostand
