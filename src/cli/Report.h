#pragma once

#include "cli/Replies.h"

#include "pistachiostand/version/RuleDiff.h"

/// \file
/// \brief Text and JSON that the commands print.

namespace pistachiostand {

[[nodiscard]] std::string StatusText(const StatusReply& aStatus);
[[nodiscard]] std::string ProvenanceText(const ProvenanceReply& aProvenance);
[[nodiscard]] std::string JobText(const JobReply& aJob);

/// \brief Time as `2026-03-09 07:15:00 UTC`.
[[nodiscard]] std::string TimeText(Millis aTimeMs);

/// \brief One line of JSON with a line end; invalid UTF-8 is replaced.
[[nodiscard]] std::string JsonLine(const nlohmann::json& aValue);
[[nodiscard]] nlohmann::json ReasonsJson(const Reasons& aReasons);
[[nodiscard]] nlohmann::json ChangesJson(const RuleChanges& aChanges);

/// \brief A failure as text to the error output, or as JSON to the standard output.
[[nodiscard]] CommandResult FailureResult(const Failure& aFailure, const std::string& aFile,
                                          bool aJson);

} // namespace pistachiostand
