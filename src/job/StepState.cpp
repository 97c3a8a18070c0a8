#include "pistachiostand/job/StepState.h"

#include <algorithm>
#include <cmath>

namespace pistachiostand::fleet {

namespace {

void SetMember(std::set<std::uint32_t>& aSet, std::uint32_t aIndex, bool aIsMember)
{
  if (aIsMember) {
    aSet.insert(aIndex);
  } else {
    aSet.erase(aIndex);
  }
}

} // namespace

void AddRunTime(RunTimeSums& aSums, Millis aRanMs)
{
  if (aRanMs > 0) {
    const double logarithm = std::log(static_cast<double>(aRanMs));
    ++aSums.m_count;
    aSums.m_logSum += logarithm;
    aSums.m_logSquares += logarithm * logarithm;
    aSums.m_longestMs = std::max(aSums.m_longestMs, aRanMs);
  }
}

std::optional<std::uint32_t> StepState::FirstWaiting(std::uint32_t aFrom) const
{
  std::uint32_t first = m_subtasks.FirstNotBegun(aFrom);
  if (const auto again = m_again.lower_bound(aFrom); again != m_again.end()) {
    first = std::min(first, *again);
  }
  return first < m_count ? std::optional{ first } : std::nullopt;
}

Subtask& StepState::Edit(std::uint32_t aIndex)
{
  return m_subtasks.Begin(aIndex, [] { return Subtask{}; });
}

void StepState::Settle(std::uint32_t aIndex)
{
  const Subtask* subtask = m_subtasks.Find(aIndex);
  if (subtask == nullptr) {
    return;
  }
  SetMember(m_again, aIndex, !subtask->m_done && subtask->m_runs.empty());
  SetMember(m_doneWithRuns, aIndex, subtask->m_done && !subtask->m_runs.empty());
  if (subtask->m_done && subtask->m_runs.empty()) {
    m_subtasks.End(aIndex);
  }
}

} // namespace pistachiostand::fleet
