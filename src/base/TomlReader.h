#pragma once

#include "pistachiostand/base/Endpoint.h"
#include "pistachiostand/base/Reason.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Checked access to a TOML table; internal to the library.

namespace pistachiostand {

inline constexpr std::int64_t kMaxCount = 1'000'000;

/// \brief Returns the position of a node in its file.
[[nodiscard]] SourcePosition PositionOf(const toml::node& aNode) noexcept;

/// \brief Parses TOML. A syntax error is reported as one reason.
[[nodiscard]] std::optional<toml::table> ParseToml(std::string_view aText, Reasons& aReasons);

/// \brief Returns `did you mean "NAME"?` with the nearest known name, or `aOtherwise` when none is
/// close.
[[nodiscard]] std::string NearestRemedy(std::string_view aName,
                                        const std::vector<std::string_view>& aKnown,
                                        std::string aOtherwise);

/// \brief Reads the keys of one table and collects its errors.
///
/// A key without a default is required. After an error a function returns some value of its type,
/// so that the remaining keys are checked in the same pass.
class TomlReader
{
public:
  TomlReader(std::string aName, const toml::table& aTable, Reasons& aReasons);

  std::uint32_t Count(std::string_view aKey, std::optional<std::int64_t> aDefault,
                      std::int64_t aMin, std::int64_t aMax = kMaxCount);
  bool Flag(std::string_view aKey, std::optional<bool> aDefault);
  std::string Text(std::string_view aKey);
  Endpoint Address(std::string_view aKey);
  std::vector<std::string> Names(std::string_view aKey);

  /// \brief Returns the index of the value among `aNames`.
  std::size_t OneOf(std::string_view aKey, std::optional<std::size_t> aDefault,
                    const std::vector<std::string_view>& aNames);

  /// \brief Reads a value of an enumeration by its ToString name.
  template<typename Enum>
  Enum Choice(std::string_view aKey, std::optional<Enum> aDefault, const std::vector<Enum>& aValues)
  {
    std::vector<std::string_view> names;
    std::ranges::transform(aValues, std::back_inserter(names),
                           [](Enum aValue) { return ToString(aValue); });
    std::optional<std::size_t> index;
    if (aDefault) {
      index = static_cast<std::size_t>(std::ranges::find(aValues, *aDefault) - aValues.begin());
    }
    return aValues.at(OneOf(aKey, index, names));
  }

  /// \brief Reports an error for each key that no call has read.
  void Finish();

private:
  const toml::node* Find(std::string_view aKey, bool aOptional);
  void Fail(const toml::node& aNode, std::string_view aKey, std::string aRemedy);

  std::string m_name;
  const toml::table& m_table;
  Reasons& m_reasons;
  std::vector<std::string_view> m_known;
};

} // namespace pistachiostand
