#include "pistachiostand/version/RuleDiff.h"

#include "pistachiostand/version/RuleParser.h"

#include <algorithm>
#include <array>

namespace pistachiostand {

namespace {

std::string Heading(const RuleChange& aChange)
{
  const auto& origin =
    aChange.m_kind == RuleChangeKind::Removed ? aChange.m_before : aChange.m_after;
  std::string text{ ToString(aChange.m_kind) };
  text += ' ' + aChange.m_rule + " (line " + std::to_string(origin.m_lineNumber) +
          ", requested by " + origin.m_requester + ")\n";
  return text;
}

} // namespace

std::string_view ToString(RuleChangeKind aKind) noexcept
{
  constexpr std::array<std::string_view, 3> kNames{ "added", "removed", "changed" };
  return kNames.at(static_cast<std::size_t>(aKind));
}

RuleChanges DiffRules(const Rules& aBefore, const Rules& aAfter)
{
  RuleChanges changes;
  for (const auto& [rule, origin] : aBefore.m_origins) {
    const auto after = aAfter.m_origins.find(rule);
    if (after == aAfter.m_origins.end()) {
      changes.push_back({ RuleChangeKind::Removed, rule, origin, {} });
    } else if (after->second.m_line != origin.m_line) {
      changes.push_back({ RuleChangeKind::Changed, rule, origin, after->second });
    }
  }
  for (const auto& [rule, origin] : aAfter.m_origins) {
    if (!aBefore.m_origins.contains(rule)) {
      changes.push_back({ RuleChangeKind::Added, rule, {}, origin });
    }
  }
  std::ranges::sort(changes, {}, &RuleChange::m_rule);
  return changes;
}

std::optional<RuleChanges> DiffRuleTexts(std::string_view aBefore, std::string_view aAfter,
                                         Reasons& aReasons)
{
  // Before the first publish the rule text is empty, which ParseRules refuses.
  const auto before =
    aBefore.empty() ? std::optional<Rules>{ Rules{} } : ParseRules(aBefore, aReasons);
  if (!before) {
    return std::nullopt;
  }
  const auto after = ParseRules(aAfter, aReasons);
  if (!after) {
    return std::nullopt;
  }
  return DiffRules(*before, *after);
}

std::string Format(const RuleChanges& aChanges)
{
  std::string text;
  for (const auto& change : aChanges) {
    text += Heading(change);
    if (change.m_kind != RuleChangeKind::Added) {
      text += "  - " + change.m_before.m_line + '\n';
    }
    if (change.m_kind != RuleChangeKind::Removed) {
      text += "  + " + change.m_after.m_line + '\n';
    }
  }
  return text;
}

} // namespace pistachiostand
