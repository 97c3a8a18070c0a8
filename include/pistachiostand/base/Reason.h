#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Typed errors with cause, position and remedy. A Reason is such an error; the reason for a
/// refusal in a message of the platform is a plain string instead.

namespace pistachiostand {

/// \brief Class of an error; stable, so that scripts may match on its name.
enum class ReasonKind : std::uint8_t
{
  Syntax,
  MissingRequester,
  UnknownKey,
  BadValue,
  MissingValue,
  Inconsistent,
  Unreachable,
  Refused,
  Corrupt,
};

/// \brief Name of a kind, as printed: `"missing-requester"`.
[[nodiscard]] std::string_view ToString(ReasonKind aKind) noexcept;

/// \brief A position in a text file. Both numbers start at 1; 0 means unknown.
struct SourcePosition
{
  std::uint32_t m_line{};
  std::uint32_t m_column{};

  friend auto operator<=>(const SourcePosition&, const SourcePosition&) = default;
};

/// \brief An error: why a function returned no value.
///
/// \code
/// Reasons reasons;
/// if (const auto rules = ParseRules(text, reasons); !rules) {
///   std::cerr << Format(reasons.front(), "rules.toml") << '\n';
/// }
/// \endcode
struct Reason
{
  ReasonKind m_kind{};
  std::string m_cause;
  std::string m_remedy;
  SourcePosition m_position{};

  friend auto operator<=>(const Reason&, const Reason&) = default;
};

using Reasons = std::vector<Reason>;

/// \brief Formats a reason as one line: `file:line:column: kind: cause; remedy`.
[[nodiscard]] std::string Format(const Reason& aReason, std::string_view aFile);

/// \brief Returns the known name with the smallest edit distance to `aName`, or empty text when
/// none is close.
[[nodiscard]] std::string_view NearestName(std::string_view aName,
                                           const std::vector<std::string_view>& aKnown);

} // namespace pistachiostand
