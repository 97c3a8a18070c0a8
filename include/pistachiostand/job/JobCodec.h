#pragma once

#include "pistachiostand/base/Reason.h"
#include "pistachiostand/job/JobTable.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Stored form of jobs: msgpack.
///
/// A submission is written once by the entry instance that accepts the job. The progress of a job
/// is written by the owner in parts (ProgressPart.h), each whenever it changes, and replaces the
/// previous record of the same part.

namespace pistachiostand::fleet {

[[nodiscard]] std::string EncodeSubmission(const JobSpec& aSpec);

/// \brief Decodes a submission; empty when it is malformed or exceeds the limits in JobLimits.h.
[[nodiscard]] std::optional<JobSpec> DecodeSubmission(std::string_view aBytes, Reason& aReason);
[[nodiscard]] std::optional<JobSpec> DecodeSubmission(std::string_view aBytes);

/// \brief Encodes the durable state of a part of a job: ended subtasks, and the number and server
/// of each run that may exist. Part 0 also determines the phase of the job.
///
/// A record that would exceed `aMaxBytes` omits the checkpoints, because a lost checkpoint only
/// repeats work.
[[nodiscard]] std::string EncodeProgress(
  const Job& aJob, std::uint32_t aPart = 0,
  std::size_t aMaxBytes = std::numeric_limits<std::size_t>::max());

/// \brief Restores what EncodeProgress wrote under the key of the part, in any order of the parts.
///
/// A finished job that is not in the job table is added without its specification. Runs get the
/// phase Restored until a report of their backend server shows whether they exist. Later parts of a
/// job without a specification are scheduled for removal.
/// \return false, with the job table unchanged, when the bytes are malformed, do not match the job,
/// or are part 0 of an active job that is not in the job table.
bool ApplyProgress(JobTable& aJobTable, std::string_view aKey, std::string_view aBytes,
                   Millis aNowMs, Reason& aReason);
bool ApplyProgress(JobTable& aJobTable, std::string_view aKey, std::string_view aBytes,
                   Millis aNowMs);

/// \brief Marks the job of a record that ApplyProgress has rejected as failed.
/// \param aKey key of the record.
///
/// The record shows that the job may have run, but not which parts. A job that is not in the job
/// table, because its submission is unreadable too, is added without its specification: if it were
/// reported as unknown, its caller would submit it again.
void FailUnreadableJob(JobTable& aJobTable, std::string_view aKey, Millis aNowMs);

} // namespace pistachiostand::fleet
