#include "pistachiostand/account/Share.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <tuple>

namespace pistachiostand::fleet {

namespace {

constexpr Millis kMsPerS = 1'000;
/// The weight is a rate in jobs per second, so that is the length of the window.
constexpr Millis kWindowMs = kMsPerS;
/// The limit of a window is a whole number of jobs. This window keeps the rate of a weight such as
/// 1.5 from being rounded up to 2.
constexpr Millis kLongWindowMs = 10 * kMsPerS;
/// Times are kept this long, so that jobs may be read ten seconds late.
constexpr Millis kHistoryMs = 2 * kLongWindowMs;
/// Above all rates that a fleet can serve; keeps the limit within the range of its type.
constexpr double kMaxLimit = 1e9;

/// \brief True when no window with the element at `aIndex` has more elements than the weight
/// allows.
bool IsWithinWindow(const std::deque<Millis>& aTimes, std::size_t aIndex, double aWeight,
                    Millis aWindowMs)
{
  const double jobs = aWeight * static_cast<double>(aWindowMs) / static_cast<double>(kMsPerS);
  const auto limit = static_cast<std::size_t>(std::ceil(std::min(jobs, kMaxLimit)));
  for (std::size_t first = aIndex - std::min(aIndex, limit);
       first <= aIndex && first + limit < aTimes.size(); ++first) {
    if (aTimes[first + limit] - aTimes[first] < aWindowMs) {
      return false;
    }
  }
  return true;
}

} // namespace

bool TakeShare(ShareMeter& aMeter, double aWeight, Millis aAcceptedMs)
{
  if (!(aWeight > 0)) {
    return false;
  }
  auto& times = aMeter.m_withinMs;
  if (!times.empty() && aAcceptedMs < times.back() - kHistoryMs) {
    return true;
  }
  const auto position = times.insert(std::ranges::upper_bound(times, aAcceptedMs), aAcceptedMs);
  const auto index = static_cast<std::size_t>(position - times.begin());
  if (!IsWithinWindow(times, index, aWeight, kWindowMs) ||
      !IsWithinWindow(times, index, aWeight, kLongWindowMs)) {
    times.erase(position);
    return false;
  }
  while (times.front() < times.back() - kHistoryMs) {
    times.pop_front();
  }
  return true;
}

void AssignShare(Job& aJob, const Accounts& aAccounts, ShareMeters& aMeters)
{
  aJob.m_beyondShare = false;
  const auto account = aAccounts.find(aJob.m_spec.m_account);
  if (aJob.m_spec.m_account.empty() || account == aAccounts.end() ||
      aJob.m_spec.m_occurrences != 0 ||
      std::ranges::any_of(aJob.m_spec.m_steps, &StepSpec::m_longRunning)) {
    return;
  }
  const bool within =
    TakeShare(aMeters[account->first], account->second.m_weight, aJob.m_acceptedMs);
  aJob.m_beyondShare = !within && !aJob.m_begun;
}

std::vector<Job*> JobsByAcceptance(JobTable& aJobTable)
{
  std::vector<Job*> jobs;
  for (auto& [id, job] : aJobTable.m_jobs) {
    if (!job.m_spec.m_steps.empty()) {
      jobs.push_back(&job);
    }
  }
  std::ranges::sort(
    jobs, {}, [](const Job* aJob) { return std::tie(aJob->m_acceptedMs, aJob->m_spec.m_id); });
  return jobs;
}

} // namespace pistachiostand::fleet
