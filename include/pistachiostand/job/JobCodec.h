#pragma once

#include "pistachiostand/base/Reason.h"
#include "pistachiostand/job/JobTable.h"

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Stored form of jobs: msgpack.
///
/// A submission is written once by the entry instance that accepts the job. The progress of a job
/// is written by the owner whenever it changes, and replaces the earlier record of the same job.

namespace pistachiostand::fleet {

[[nodiscard]] std::string EncodeSubmission(const JobSpec& aSpec);

/// \brief Reads a submission; nothing when it cannot be read or exceeds the limits of JobLimits.h.
[[nodiscard]] std::optional<JobSpec> DecodeSubmission(std::string_view aBytes, Reason& aReason);
[[nodiscard]] std::optional<JobSpec> DecodeSubmission(std::string_view aBytes);

/// \brief Durable part of a job: phase, ended subtasks, runs that may exist and where.
[[nodiscard]] std::string EncodeProgress(const Job& aJob);

/// \brief Restores what EncodeProgress wrote.
///
/// A finished job that the book does not know is added without its specification. Runs come back as
/// Restored: whether they exist is for their backend servers to say.
/// \return false, with the book unchanged, when the bytes are malformed, do not fit the job, or
/// belong to an active job that is not in the book.
bool ApplyProgress(JobTable& aJobTable, const JobId& aId, std::string_view aBytes, Millis aNowMs,
                   Reason& aReason);
bool ApplyProgress(JobTable& aJobTable, const JobId& aId, std::string_view aBytes, Millis aNowMs);

/// \brief Ends the job of a record that ApplyProgress has refused as failed.
///
/// The record says that the job may have run, and what has run cannot be told. A job that the book
/// does not know, because its submission cannot be read either, is added without its specification:
/// it must not be denied, or its caller would submit it once more.
void FailUnreadableJob(JobTable& aJobTable, const JobId& aId, Millis aNowMs);

} // namespace pistachiostand::fleet
