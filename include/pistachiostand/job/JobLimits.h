#pragma once

#include "pistachiostand/job/JobSpec.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

/// \file
/// \brief Limits on the size of one job, so that a small body or record cannot allocate much
/// memory.
///
/// The same limits apply to requests and to records read back from the store.

namespace pistachiostand::fleet {

inline constexpr std::uint32_t kMaxSteps = 256;
inline constexpr std::uint32_t kMaxSubtasks = 20'000;
inline constexpr std::size_t kMaxPayloadBytes = 4'000;
/// \brief Largest number of subtasks of a job over all its occurrences. All occurrences may become
/// due at once, and this many subtasks use 20 MB.
inline constexpr std::uint64_t kMaxOccurrenceSubtasks = 200'000;
/// \brief Longest name of a queue, pool, image, label or rack.
inline constexpr std::size_t kMaxTextBytes = 4'000;
/// \brief Largest need of one subtask, in any unit; sums over all subtasks do not overflow.
inline constexpr std::int64_t kMaxNeed = 1'000'000'000;
/// \brief Largest accepted number of a run. Later runs count on from it, so it stays far below the
/// maximum of the type.
inline constexpr std::uint64_t kMaxRunNumber = std::uint64_t{ 1 } << 53U;
/// \brief Runs that one subtask may have at a time: speculative copies, and one for each change of
/// owner that left a start without a response.
inline constexpr std::size_t kMaxRunsOfSubtask = 64;
/// \brief Limit of QueueTerms::m_stretch. Multiplied by the longest critical path, 256 steps of the
/// longest duration, it still fits into Millis.
inline constexpr double kMaxStretch = 10'000;
inline constexpr std::uint32_t kMaxFailures = 1'000'000'000;

/// \brief True if the id is usable as a record key and as part of a subtask name.
[[nodiscard]] bool IsValidJobId(std::string_view aId) noexcept;

/// \brief Describes why a job is invalid; empty if it is valid.
[[nodiscard]] std::string_view ValidationErrorOf(const JobSpec& aSpec) noexcept;

} // namespace pistachiostand::fleet
