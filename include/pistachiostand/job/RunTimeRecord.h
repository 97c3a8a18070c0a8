#pragma once

#include "pistachiostand/base/Reason.h"
#include "pistachiostand/job/RunTimes.h"
#include "pistachiostand/ownership/Leadership.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Stored form of the run times of a queue, which the next owner begins with.

namespace pistachiostand::fleet {

struct RunTimeRecord
{
  FencingToken m_token{};     ///< Of the owner that wrote it.
  std::uint64_t m_sequence{}; ///< Number of the record among those of this owner.
  QueueName m_queue;
  QueueRunTimes m_times; ///< Without what looks for a change of the workload.

  friend auto operator<=>(const RunTimeRecord&, const RunTimeRecord&) = default;
};

inline constexpr std::string_view kRunTimePrefix = "runtime/";

/// \brief Bound of an encoded record: 41 bytes for each fit, 10 more for each image, and the queue.
inline constexpr std::size_t kMaxRunTimeRecordBytes = 2'000;

/// \brief Key of the record of a queue, at most kMaxNameBytes long: the name percent-encoded, or
/// its hash when that is too long.
[[nodiscard]] std::string RunTimeKey(const QueueName& aQueue);

[[nodiscard]] std::string EncodeRunTimeRecord(const RunTimeRecord& aRecord);

/// \brief Decodes a record; nullopt with a reason for an unknown version and for values that no
/// owner writes.
[[nodiscard]] std::optional<RunTimeRecord> DecodeRunTimeRecord(std::string_view aBytes,
                                                               Reason& aReason);

} // namespace pistachiostand::fleet
