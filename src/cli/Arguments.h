#pragma once

#include "cli/ExitCode.h"

#include "pistachiostand/base/Endpoint.h"
#include "pistachiostand/base/Types.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pistachiostand {

enum class Command : std::uint8_t
{
  Check,
  Publish,
  Diff,
  Who,
  Status,
  Job,
};

/// \brief Validated command line arguments.
struct Arguments
{
  Command m_command{};
  std::string m_subject{}; ///< File, rule name or job key.
  Revision m_base{};
  std::string m_author{};
  TenantName m_tenant{};
  std::vector<Endpoint> m_entries{};
  Millis m_timeoutMs{};
  bool m_json{};
};

/// \brief Parses the arguments after the program name. Returns a result to print instead for a
/// usage error, `--help` or `--version`.
[[nodiscard]] std::variant<Arguments, CommandResult> ParseArguments(
  const std::vector<std::string>& aArguments);

} // namespace pistachiostand
