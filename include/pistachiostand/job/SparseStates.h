#pragma once

#include "pistachiostand/base/IndexSet.h"

#include <cstdint>
#include <map>
#include <utility>

/// \file
/// \brief States of numbered elements, most of which have not begun or have ended.
///
/// An element has an entry from its begin to its end only, so the memory grows with those in
/// between, and not with all elements.

namespace pistachiostand::fleet {

template<typename T>
class SparseStates
{
public:
  /// \brief The state of an element that has begun and has not ended; otherwise null.
  [[nodiscard]] const T* Find(std::uint32_t aIndex) const
  {
    const auto found = m_entries.find(aIndex);
    return found == m_entries.end() ? nullptr : &found->second;
  }
  [[nodiscard]] T* Find(std::uint32_t aIndex)
  {
    const auto found = m_entries.find(aIndex);
    return found == m_entries.end() ? nullptr : &found->second;
  }

  [[nodiscard]] bool HasBegun(std::uint32_t aIndex) const { return m_begun.Contains(aIndex); }
  [[nodiscard]] bool HasEnded(std::uint32_t aIndex) const
  {
    return HasBegun(aIndex) && !m_entries.contains(aIndex);
  }
  [[nodiscard]] std::uint32_t BegunCount() const noexcept { return m_begun.size(); }
  [[nodiscard]] std::uint32_t EndedCount() const noexcept
  {
    return m_begun.size() - static_cast<std::uint32_t>(m_entries.size());
  }

  /// \brief Elements that have begun and have not ended.
  [[nodiscard]] const std::map<std::uint32_t, T>& Entries() const noexcept { return m_entries; }

  /// \brief Lowest index from `aFrom` on of an element that has not begun.
  [[nodiscard]] std::uint32_t FirstNotBegun(std::uint32_t aFrom) const
  {
    return m_begun.FirstMissing(aFrom);
  }

  /// \brief Number of elements from `aFirst` up to, but not including, `aEnd` that have not begun.
  [[nodiscard]] std::uint32_t NotBegunWithin(std::uint32_t aFirst, std::uint32_t aEnd) const
  {
    return aEnd <= aFirst ? 0 : aEnd - aFirst - m_begun.CountWithin(aFirst, aEnd);
  }

  /// \brief Returns the state of an element that has not ended. If it has not begun, it begins with
  /// the state that `aMake()` returns.
  template<typename Make>
  T& Begin(std::uint32_t aIndex, Make aMake)
  {
    const auto found = m_entries.find(aIndex);
    if (found != m_entries.end()) {
      return found->second;
    }
    m_begun.Insert(aIndex);
    return m_entries.emplace(aIndex, aMake()).first->second;
  }

  /// \brief Ends an element, which removes its state.
  void End(std::uint32_t aIndex) { m_entries.erase(aIndex); }

  friend bool operator==(const SparseStates&, const SparseStates&) = default;

private:
  IndexSet m_begun; ///< Including those that have ended.
  std::map<std::uint32_t, T> m_entries;
};

} // namespace pistachiostand::fleet
