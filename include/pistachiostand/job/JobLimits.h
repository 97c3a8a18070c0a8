#pragma once

#include "pistachiostand/job/JobSpec.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

/// \file
/// \brief Limits of what one job may announce, so that a small body or record cannot claim much
/// memory. The same limits hold for callers and for what is read back from the store.

namespace pistachiostand::fleet {

inline constexpr std::uint32_t kMaxSteps = 256;
inline constexpr std::uint32_t kMaxSubtasks = 20'000;
inline constexpr std::size_t kMaxPayloadBytes = 4'000;
/// \brief Subtasks of all occurrences together. All may become due at once, and take 20 MB then.
inline constexpr std::uint64_t kMaxOccurrenceSubtasks = 200'000;
/// \brief Names of queues, pools, images, labels and racks.
inline constexpr std::size_t kMaxTextBytes = 4'000;
/// \brief Need of one subtask, in any unit; sums over all subtasks still fit.
inline constexpr std::int64_t kMaxNeed = 1'000'000'000;
/// \brief Largest number of a run; later ones count on from it, so it leaves room to the end of the
/// type.
inline constexpr std::uint64_t kMaxRunNumber = std::uint64_t{ 1 } << 53U;
/// \brief Runs that one subtask may have at a time: copies, and one for each change of owner that
/// left a start without an answer.
inline constexpr std::size_t kMaxRunsOfSubtask = 64;
inline constexpr std::uint32_t kMaxFailures = 1'000'000'000;

/// \brief True for an id that can be the key of a record and a part of the name of a subtask.
[[nodiscard]] bool IsValidJobId(std::string_view aId) noexcept;

/// \brief What of a job cannot be accepted or followed; empty when there is nothing.
[[nodiscard]] std::string_view ValidationErrorOf(const JobSpec& aSpec) noexcept;

} // namespace pistachiostand::fleet
