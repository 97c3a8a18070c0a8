#pragma once

#include "pistachiostand/base/Reason.h"
#include "pistachiostand/version/Rules.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Differences between two rule files.

namespace pistachiostand {

enum class RuleChangeKind : std::uint8_t
{
  Added,
  Removed,
  Changed,
};

[[nodiscard]] std::string_view ToString(RuleChangeKind aKind) noexcept;

/// \brief One rule that differs. `m_before` is empty when added, `m_after` when removed.
struct RuleChange
{
  RuleChangeKind m_kind{};
  std::string m_rule; ///< Such as `pool.lookups`.
  RuleOrigin m_before;
  RuleOrigin m_after;

  friend auto operator<=>(const RuleChange&, const RuleChange&) = default;
};

using RuleChanges = std::vector<RuleChange>;

/// \brief Compares the lines of two revisions; a line that only moved is equal.
///
/// Comments are compared too, because they name the requester. The result is sorted by rule name.
[[nodiscard]] RuleChanges DiffRules(const Rules& aBefore, const Rules& aAfter);

/// \brief Compares two rule texts; an empty `aBefore` holds no rules.
///
/// \param aReasons receives the errors of the text that is invalid when no value is returned.
///
/// \code
/// Reasons reasons;
/// if (const auto changes = DiffRuleTexts(inForce, edited, reasons)) {
///   std::cout << Format(*changes);
/// }
/// \endcode
[[nodiscard]] std::optional<RuleChanges> DiffRuleTexts(std::string_view aBefore,
                                                       std::string_view aAfter, Reasons& aReasons);

/// \brief A heading for each rule, then its old line after `-` and its new line after `+`.
[[nodiscard]] std::string Format(const RuleChanges& aChanges);

} // namespace pistachiostand
