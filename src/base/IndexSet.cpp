#include "pistachiostand/base/IndexSet.h"

#include <algorithm>
#include <iterator>

namespace pistachiostand {

std::uint32_t IndexSet::FirstMissing(std::uint32_t aFrom) const
{
  const auto after = m_ranges.upper_bound(aFrom);
  return after == m_ranges.begin() ? aFrom : std::max(aFrom, std::prev(after)->second);
}

std::uint32_t IndexSet::CountWithin(std::uint32_t aFirst, std::uint32_t aEnd) const
{
  auto range = m_ranges.upper_bound(aFirst);
  if (range != m_ranges.begin()) {
    --range;
  }
  std::uint32_t count = 0;
  for (; range != m_ranges.end() && range->first < aEnd; ++range) {
    const auto first = std::max(range->first, aFirst);
    const auto end = std::min(range->second, aEnd);
    count += end > first ? end - first : 0;
  }
  return count;
}

void IndexSet::Insert(std::uint32_t aIndex)
{
  if (Contains(aIndex)) {
    return;
  }
  ++m_size;
  const auto after = m_ranges.upper_bound(aIndex);
  const bool joinsAfter = after != m_ranges.end() && after->first == aIndex + 1;
  const auto end = joinsAfter ? after->second : aIndex + 1;
  const bool joinsBefore = after != m_ranges.begin() && std::prev(after)->second == aIndex;
  if (joinsBefore) {
    std::prev(after)->second = end;
  } else {
    m_ranges.emplace(aIndex, end);
  }
  if (joinsAfter) {
    m_ranges.erase(after);
  }
}

} // namespace pistachiostand
