#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/version/Rules.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief Latency histograms for each tenant and class.

namespace pistachiostand {

/// \brief Upper bounds of the buckets. 1,400 ms is one of them because urgent
/// work must start within this time.
inline constexpr std::array<Millis, 12> kBucketBoundsMs{ 1,   2,   5,     10,    25,    50,
                                                         100, 250, 1'000, 1'400, 5'000, 30'000 };

inline constexpr std::array kHistogramQuantiles{ 0.5, 0.99 };

/// \brief Name under which the tenants beyond the limit are counted together.
inline constexpr std::string_view kOtherTenants = "(other)";

using LatencyAccumulator = boost::accumulators::accumulator_set<
  double, boost::accumulators::stats<boost::accumulators::tag::count,
                                     boost::accumulators::tag::mean, boost::accumulators::tag::max,
                                     boost::accumulators::tag::extended_p_square>>;

struct Histogram
{
  LatencyAccumulator m_values{ boost::accumulators::extended_p_square_probabilities =
                                 kHistogramQuantiles };
  /// Number of values up to each bound and above the previous one; the last bucket has the rest.
  std::array<std::uint64_t, kBucketBoundsMs.size() + 1> m_buckets{};
};

struct Histograms
{
  std::size_t m_maxTenants{ 128 };
  std::map<std::pair<TenantName, ServiceClass>, Histogram> m_byTenant;
  std::map<TenantName, std::uint64_t> m_tenants; ///< Number of values by tenant label.
};

/// \brief One histogram in the form that /metrics reports.
struct HistogramSnapshot
{
  TenantName m_tenant;
  ServiceClass m_class{};
  std::uint64_t m_count{};
  double m_meanMs{};
  double m_p50Ms{}; ///< With fewer than 7 values, the bound of its bucket.
  double m_p99Ms{};
  std::array<std::uint64_t, kBucketBoundsMs.size() + 1> m_cumulative{}; ///< The last is the total.
};

void AddLatency(Histograms& aHistograms, const TenantName& aTenant, ServiceClass aClass,
                Millis aLatencyMs);

[[nodiscard]] std::vector<HistogramSnapshot> TakeSnapshot(const Histograms& aHistograms);

} // namespace pistachiostand
