#pragma once

#include "pistachiostand/base/Types.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

/// \file
/// \brief Run times learned for each tenant and service.

namespace pistachiostand {

inline constexpr std::array kRunTimeQuantiles{ 0.5, 0.9, 0.99 };

/// \brief Quantiles of a run time, in milliseconds.
struct RunTimeQuantiles
{
  double m_p50Ms{};
  double m_p90Ms{};
  double m_p99Ms{};

  friend auto operator<=>(const RunTimeQuantiles&, const RunTimeQuantiles&) = default;
};

using RunTimeAccumulator = boost::accumulators::accumulator_set<
  double, boost::accumulators::stats<boost::accumulators::tag::count,
                                     boost::accumulators::tag::extended_p_square>>;

/// \brief Samples of one tenant and service. The estimator never discards old samples, so it is
/// replaced after a number of them; the previous result is used until the new one has enough.
struct RunTimeSamples
{
  RunTimeAccumulator m_current{ boost::accumulators::extended_p_square_probabilities =
                                  kRunTimeQuantiles };
  std::optional<RunTimeQuantiles> m_previous;
};

/// \brief Learned run times. The number of entries is bounded.
struct RunTimeEstimate
{
  std::size_t m_maxEntries{ 1'024 };
  std::map<std::pair<ServiceName, TenantName>, RunTimeSamples> m_byTenant;
  std::map<ServiceName, RunTimeSamples> m_byService; ///< Of all tenants together.
};

/// \brief Adds the run time of a completed request.
void AddRunTime(RunTimeEstimate& aEstimate, const ServiceName& aService, const TenantName& aTenant,
                Millis aRunTimeMs);

/// \brief Quantiles of the tenant, else of the service; nothing while there are too few samples.
[[nodiscard]] std::optional<RunTimeQuantiles> FindRunTime(const RunTimeEstimate& aEstimate,
                                                          const ServiceName& aService,
                                                          const TenantName& aTenant);

/// \brief The run time that queues assume: the learned median, else `aDeclaredMs`.
[[nodiscard]] Millis ExpectedRunMs(const RunTimeEstimate& aEstimate, const ServiceName& aService,
                                   const TenantName& aTenant, Millis aDeclaredMs);

} // namespace pistachiostand
