#pragma once

/// \file
/// \brief Metrics of the admission experiment.

#include "AdmissionModel.h"

#include <array>
#include <map>
#include <vector>

namespace pistachiostand::experiment {

/// \brief Counts of one class, either of the busy tenant or of all other tenants together.
struct GroupResult
{
  std::vector<double> m_waitsMs; ///< From arrival to the accepted start, for completed requests.
  double m_offered{};
  double m_refused{}; ///< Reported to the caller as not run.
  double m_failed{};  ///< Reported to the caller as failed.
  double m_late{};    ///< Completed after the caller's timeout.
  double m_inTime{};
  double m_startedWithinLimit{}; ///< Within 1.4 s.
};

struct FairnessCell
{
  std::vector<double> m_offered = std::vector<double>(kTenants);
  std::vector<double> m_inTime = std::vector<double>(kTenants);
};

struct Result
{
  std::map<std::pair<ServiceClass, bool>, GroupResult> m_groups;  ///< True: the busy tenant.
  std::map<std::pair<std::size_t, Micros>, FairnessCell> m_cells; ///< By service and second.
  std::map<std::size_t, std::vector<double>> m_poolWaitsMs;
  double m_attempts{}; ///< Attempts that a server accepted.
  double m_failedAttempts{};
  double m_late{};
  double m_full{}; ///< Requests that a server refused because its slots were in use.
};

inline double Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto index =
    static_cast<std::ptrdiff_t>(aQuantile * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + index, aValues.end());
  return aValues[static_cast<std::size_t>(index)];
}

/// \brief Lowest ratio, over tenants and services, of requests completed in time to the tenant's
/// max-min fair share. Shares are computed for each second of arrival; 1 is fair.
inline double WorstFairShare(const Result& aResult)
{
  std::map<std::size_t, std::pair<std::vector<double>, std::vector<double>>> sums;
  for (const auto& [key, cell] : aResult.m_cells) {
    double total = 0;
    for (const double value : cell.m_inTime) {
      total += value;
    }
    const auto fair = FairShares(cell.m_offered, total);
    auto& [got, due] = sums[key.first];
    got.resize(kTenants);
    due.resize(kTenants);
    for (std::size_t tenant = 0; tenant < kTenants; ++tenant) {
      got[tenant] += cell.m_inTime[tenant];
      due[tenant] += fair[tenant];
    }
  }
  double worst = 1;
  for (const auto& [service, sum] : sums) {
    for (std::size_t tenant = 0; tenant < kTenants; ++tenant) {
      if (sum.second[tenant] > 0) {
        worst = std::min(worst, sum.first[tenant] / sum.second[tenant]);
      }
    }
  }
  return worst;
}

inline GroupResult MergeGroups(const GroupResult& aLeft, const GroupResult& aRight)
{
  GroupResult all = aLeft;
  all.m_waitsMs.insert(all.m_waitsMs.end(), aRight.m_waitsMs.begin(), aRight.m_waitsMs.end());
  all.m_offered += aRight.m_offered;
  all.m_refused += aRight.m_refused;
  all.m_failed += aRight.m_failed;
  all.m_late += aRight.m_late;
  all.m_inTime += aRight.m_inTime;
  all.m_startedWithinLimit += aRight.m_startedWithinLimit;
  return all;
}

} // namespace pistachiostand::experiment
