#pragma once

#include <cstdint>
#include <string>

namespace pistachiostand {

/// \brief Exit codes of the command line; documented in docs/cli.md and stable for scripts.
enum class ExitCode : std::uint8_t
{
  Ok = 0,
  Refused = 1, ///< Refused by the daemon, not found, or the rule file is invalid.
  Usage = 2,
  Unreachable = 3, ///< No entry instance responded; nothing was changed.
  Unknown = 4,     ///< A publish may or may not have taken effect.
};

/// \brief Output and exit code of a command.
struct CommandResult
{
  ExitCode m_code{};
  std::string m_out;
  std::string m_err;
};

} // namespace pistachiostand
