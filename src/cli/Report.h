#pragma once

#include "cli/Replies.h"

#include "pistachiostand/version/RuleDiff.h"

/// \file
/// \brief Text and JSON output of the commands.

namespace pistachiostand {

[[nodiscard]] std::string StatusText(const StatusReply& aStatus);
[[nodiscard]] std::string ProvenanceText(const ProvenanceReply& aProvenance);
[[nodiscard]] std::string JobText(const JobReply& aJob);

/// \brief Formats a time as `2026-03-09 07:15:00 UTC`.
[[nodiscard]] std::string TimeText(Millis aTimeMs);

/// \brief Formats one line of JSON with a line end; invalid UTF-8 is replaced.
[[nodiscard]] std::string JsonLine(const nlohmann::json& aValue);
[[nodiscard]] nlohmann::json ReasonsJson(const Reasons& aReasons);
[[nodiscard]] nlohmann::json ChangesJson(const RuleChanges& aChanges);

/// \brief Formats a failure as text for standard error, or as JSON for standard output.
///
/// In the text, `aFile` precedes each error that the daemon found in the rule file.
[[nodiscard]] CommandResult FailureResult(const Failure& aFailure, const std::string& aFile,
                                          bool aJson);

} // namespace pistachiostand
