#pragma once

#include "cli/Arguments.h"
#include "cli/Http.h"

namespace pistachiostand {

/// \brief Runs one command, including the reading of its rule file.
[[nodiscard]] CommandResult RunCommand(const Arguments& aArguments,
                                       const Environment& aEnvironment);

/// \brief Runs `check` on the text of a rule file; `aFile` is only used in the output.
[[nodiscard]] CommandResult CheckRules(const std::string& aFile, std::string_view aText,
                                       bool aJson);

/// \brief Runs `publish`; invalid rules are refused before anything is sent.
[[nodiscard]] CommandResult PublishRules(const Arguments& aArguments, std::string_view aText,
                                         const Environment& aEnvironment);

/// \brief Runs `diff` between the rules in force and a text.
[[nodiscard]] CommandResult DiffAgainstActiveRules(const Arguments& aArguments,
                                                   std::string_view aText,
                                                   const Environment& aEnvironment);

} // namespace pistachiostand
