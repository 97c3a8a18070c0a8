#pragma once

#include "cli/Arguments.h"
#include "cli/Http.h"

namespace pistachiostand {

/// \brief Runs one command; reads the rule file that it names.
[[nodiscard]] CommandResult RunCommand(const Arguments& aArguments,
                                       const Environment& aEnvironment);

/// \brief `check` on a text that has been read; `aFile` is only printed.
[[nodiscard]] CommandResult CheckRules(const std::string& aFile, std::string_view aText,
                                       bool aJson);

/// \brief `publish`; an invalid text is refused before anything is sent.
[[nodiscard]] CommandResult PublishRules(const Arguments& aArguments, std::string_view aText,
                                         const Environment& aEnvironment);

/// \brief `diff` of the rules in force and a text.
[[nodiscard]] CommandResult DiffAgainstActiveRules(const Arguments& aArguments,
                                                   std::string_view aText,
                                                   const Environment& aEnvironment);

} // namespace pistachiostand
