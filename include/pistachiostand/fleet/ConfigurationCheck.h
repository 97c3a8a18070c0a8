#pragma once

#include "pistachiostand/fleet/Configuration.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Checks a configuration record before it is published, and compares it with another one.
///
/// Uses no clock, no socket and no other input or output. No finding contains the key of an
/// account.

namespace pistachiostand::fleet {

enum class ConfigurationPart : std::uint8_t
{
  Record,
  Revision,
  Routes,
  Pools,
  Accounts,
  Limits,
  MaxHeaderBytes,
  MaxBodyBytes,
  HeaderTimeout,
  IdleTimeout,
};

/// \brief A position in a configuration record.
struct ConfigurationPlace
{
  ConfigurationPart m_part{};
  std::optional<std::size_t> m_row; ///< Index in the list of this part.
  std::string m_name;               ///< Name of that row; empty when it has none.

  friend auto operator<=>(const ConfigurationPlace&, const ConfigurationPlace&) = default;
};

enum class FindingKind : std::uint8_t
{
  Error,   ///< Entry instances ignore the record or a part of it, or serve the wrong queue.
  Warning, ///< A part never has an effect, or contradicts another one.
  Difference,
};

struct Finding
{
  FindingKind m_kind{};
  ConfigurationPlace m_place;
  std::string m_cause;  ///< Printable; names are quoted.
  std::string m_remedy; ///< Empty for a difference.

  friend auto operator<=>(const Finding&, const Finding&) = default;
};

using Findings = std::vector<Finding>;

template<typename T>
struct ConfigurationRow
{
  std::size_t m_row{}; ///< Index in the list of the record, which may have unreadable rows.
  T m_value;

  friend bool operator==(const ConfigurationRow&, const ConfigurationRow&) = default;
};

struct UnreadablePart
{
  ConfigurationPlace m_place;
  std::string m_cause;

  friend auto operator<=>(const UnreadablePart&, const UnreadablePart&) = default;
};

/// \brief Limits on requests as the record declares them.
struct DeclaredLimits
{
  std::size_t m_maxHeaderBytes{ 16'384 };
  std::size_t m_maxBodyBytes{ 262'144 };
  Millis m_headerTimeoutMs{ 3'000 };
  Millis m_idleTimeoutMs{ 15'000 };

  friend auto operator<=>(const DeclaredLimits&, const DeclaredLimits&) = default;
};

/// \brief All rows of a record as it declares them. A Configuration holds one definition for each
/// name and key and adjusts values out of range, so it does not show what is wrong with a record.
struct ConfigurationRecord
{
  Revision m_revision{};
  std::vector<ConfigurationRow<QueueRule>> m_routes; ///< m_maxFailures is 0 where declared so.
  std::vector<ConfigurationRow<PoolSettings>> m_pools;
  bool m_requiresKeys{}; ///< The record has a list of accounts, which may be empty.
  std::vector<ConfigurationRow<Account>> m_accounts;
  DeclaredLimits m_limits;
  std::vector<UnreadablePart> m_unreadable;

  friend bool operator==(const ConfigurationRecord&, const ConfigurationRecord&) = default;
};

/// \brief Returns errors and warnings about one record.
[[nodiscard]] Findings CheckConfiguration(const ConfigurationRecord& aRecord);

/// \brief Returns the differences between a record and its predecessor, and errors and warnings
/// about the change itself. Keys appear as counts only.
[[nodiscard]] Findings CompareConfigurations(const ConfigurationRecord& aBefore,
                                             const ConfigurationRecord& aAfter);

[[nodiscard]] std::size_t CountFindings(const Findings& aFindings, FindingKind aKind) noexcept;

} // namespace pistachiostand::fleet
