#include "pistachiostand/process/Histograms.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace pistachiostand {
namespace {

namespace acc = boost::accumulators;

std::size_t BucketOf(Millis aLatencyMs) noexcept
{
  const auto bound = std::lower_bound(kBucketBoundsMs.begin(), kBucketBoundsMs.end(), aLatencyMs);
  return static_cast<std::size_t>(std::distance(kBucketBoundsMs.begin(), bound));
}

/// \brief Counts a value of the tenant and returns the name under which it is counted.
TenantName CountTenant(Histograms& aHistograms, const TenantName& aTenant)
{
  if (aHistograms.m_tenants.contains(aTenant) ||
      aHistograms.m_tenants.size() < aHistograms.m_maxTenants) {
    ++aHistograms.m_tenants[aTenant];
    return aTenant;
  }
  return TenantName{ kOtherTenants };
}

/// The quantile estimator has 7 markers for 2 quantiles; its result is invalid with fewer values.
constexpr std::size_t kMinValues = 7;

/// \brief Upper bound of the bucket of a quantile, but not above the largest value.
double BucketQuantile(const HistogramSnapshot& aSnapshot, double aQuantile, double aMax)
{
  const auto rank = aQuantile * static_cast<double>(aSnapshot.m_count);
  const auto found =
    std::find_if(aSnapshot.m_cumulative.begin(), aSnapshot.m_cumulative.end(),
                 [rank](std::uint64_t aCount) { return static_cast<double>(aCount) >= rank; });
  const auto index = static_cast<std::size_t>(std::distance(aSnapshot.m_cumulative.begin(), found));
  return index < kBucketBoundsMs.size()
           ? std::min(static_cast<double>(kBucketBoundsMs[index]), aMax)
           : aMax;
}

HistogramSnapshot SnapshotOf(const TenantName& aTenant, ServiceClass aClass,
                             const Histogram& aHistogram)
{
  HistogramSnapshot snapshot;
  snapshot.m_tenant = aTenant;
  snapshot.m_class = aClass;
  snapshot.m_count = acc::count(aHistogram.m_values);
  snapshot.m_meanMs = acc::mean(aHistogram.m_values);
  std::partial_sum(aHistogram.m_buckets.begin(), aHistogram.m_buckets.end(),
                   snapshot.m_cumulative.begin());
  if (snapshot.m_count < kMinValues) {
    const double maxMs = acc::max(aHistogram.m_values);
    snapshot.m_p50Ms = BucketQuantile(snapshot, kHistogramQuantiles[0], maxMs);
    snapshot.m_p99Ms = BucketQuantile(snapshot, kHistogramQuantiles[1], maxMs);
  } else {
    const auto quantiles = acc::extended_p_square(aHistogram.m_values);
    snapshot.m_p50Ms = quantiles[0];
    snapshot.m_p99Ms = quantiles[1];
  }
  return snapshot;
}

} // namespace

void AddLatency(Histograms& aHistograms, const TenantName& aTenant, ServiceClass aClass,
                Millis aLatencyMs)
{
  Histogram& histogram = aHistograms.m_byTenant[{ CountTenant(aHistograms, aTenant), aClass }];
  histogram.m_values(static_cast<double>(aLatencyMs));
  ++histogram.m_buckets[BucketOf(aLatencyMs)];
}

std::vector<HistogramSnapshot> TakeSnapshot(const Histograms& aHistograms)
{
  std::vector<HistogramSnapshot> snapshots;
  snapshots.reserve(aHistograms.m_byTenant.size());
  for (const auto& [key, histogram] : aHistograms.m_byTenant) {
    snapshots.push_back(SnapshotOf(key.first, key.second, histogram));
  }
  return snapshots;
}

} // namespace pistachiostand
