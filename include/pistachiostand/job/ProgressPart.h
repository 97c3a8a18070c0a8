#pragma once

#include "pistachiostand/job/JobSpec.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Division of the progress of a job into parts that fit into one record each.
///
/// The store limits the size of a record, and no limit on the width of a job keeps its whole
/// progress below that. The subtasks of a job, counted over all its occurrences, are divided into
/// parts of equal size. Part 0 also holds the state of the job itself.

namespace pistachiostand::fleet {

/// \brief Subtasks in one part. Without long checkpoints, which a record that would be too large
/// omits, they need far less than the 256 KiB that a record of the platform's store may have.
inline constexpr std::uint32_t kSubtasksPerPart = 32;

/// \brief One part of the progress of a job, which is stored as one record.
struct ProgressPart
{
  JobId m_job;
  std::uint32_t m_number{}; ///< From 0.

  friend auto operator<=>(const ProgressPart&, const ProgressPart&) = default;
};

/// \brief Number of subtasks of one occurrence.
[[nodiscard]] std::uint64_t SubtaskCount(const JobSpec& aSpec) noexcept;

/// \brief Number of the part that holds a subtask.
[[nodiscard]] std::uint32_t PartNumberOf(const JobSpec& aSpec, std::uint32_t aOccurrence,
                                         std::uint32_t aStep, std::uint32_t aIndex) noexcept;

/// \brief Number of parts of a job, at least 1.
[[nodiscard]] std::uint32_t PartCount(const JobSpec& aSpec) noexcept;

/// \brief Key of the record of a part: the job id, followed by `.NUMBER` for parts after part 0.
[[nodiscard]] std::string KeyOf(const ProgressPart& aPart);

/// \brief Parses a key that KeyOf has returned; nullopt for any other.
[[nodiscard]] std::optional<ProgressPart> ParseProgressKey(std::string_view aKey);

} // namespace pistachiostand::fleet
