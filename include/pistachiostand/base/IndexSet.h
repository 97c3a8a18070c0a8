#pragma once

#include <cstdint>
#include <map>

/// \file
/// \brief Set of indexes, stored as ranges.
///
/// \code
/// IndexSet set;
/// set.Insert(4);
/// set.Insert(5);
/// set.FirstMissing(4); // 6
/// \endcode

namespace pistachiostand {

class IndexSet
{
public:
  [[nodiscard]] std::uint32_t size() const noexcept { return m_size; }
  [[nodiscard]] bool empty() const noexcept { return m_size == 0; }
  [[nodiscard]] bool Contains(std::uint32_t aIndex) const { return FirstMissing(aIndex) != aIndex; }

  /// \brief Lowest index from `aFrom` on that is not in the set.
  [[nodiscard]] std::uint32_t FirstMissing(std::uint32_t aFrom) const;

  /// \brief Number of indexes in the set from `aFirst` up to, but not including, `aEnd`.
  [[nodiscard]] std::uint32_t CountWithin(std::uint32_t aFirst, std::uint32_t aEnd) const;

  /// \brief Adds an index; one that is in the set already changes nothing.
  void Insert(std::uint32_t aIndex);

  /// \brief First index of each range, with the index after its last one.
  [[nodiscard]] const std::map<std::uint32_t, std::uint32_t>& Ranges() const noexcept
  {
    return m_ranges;
  }

  friend bool operator==(const IndexSet&, const IndexSet&) = default;

private:
  std::map<std::uint32_t, std::uint32_t> m_ranges;
  std::uint32_t m_size{};
};

} // namespace pistachiostand
