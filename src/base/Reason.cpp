#include "pistachiostand/base/Reason.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace pistachiostand {

namespace {

std::size_t EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{ 0 });
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t substitute = diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ row[j] + 1, diagonal + 1, substitute });
    }
  }
  return row.back();
}

} // namespace

std::string_view ToString(ReasonKind aKind) noexcept
{
  constexpr std::array<std::string_view, 9> kNames{
    "syntax",       "missing-requester", "unknown-key", "bad-value", "missing-value",
    "inconsistent", "unreachable",       "refused",     "corrupt"
  };
  return kNames.at(static_cast<std::size_t>(aKind));
}

std::string Format(const Reason& aReason, std::string_view aFile)
{
  std::string text{ aFile };
  if (aReason.m_position.m_line != 0) {
    text += ':' + std::to_string(aReason.m_position.m_line) + ':' +
            std::to_string(aReason.m_position.m_column);
  }
  text += ": ";
  text += ToString(aReason.m_kind);
  text += ": " + aReason.m_cause;
  if (!aReason.m_remedy.empty()) {
    text += "; " + aReason.m_remedy;
  }
  return text;
}

std::string_view NearestName(std::string_view aName, const std::vector<std::string_view>& aKnown)
{
  const auto nearest = std::ranges::min_element(
    aKnown, {}, [aName](std::string_view aOther) { return EditDistance(aName, aOther); });
  if (nearest == aKnown.end()) {
    return {};
  }
  // A third of the name may differ; with more differences a suggestion would mislead.
  const std::size_t limit = std::max<std::size_t>(2, aName.size() / 3);
  return EditDistance(aName, *nearest) <= limit ? *nearest : std::string_view{};
}

} // namespace pistachiostand
