#pragma once

#include "pistachiostand/process/FleetState.h"

/// \file
/// \brief Deterministic fold of log records into the shared state.

namespace pistachiostand {

/// The key of a job is kept this long after the job's end; a caller must not retry with it later.
inline constexpr Millis kKeyRetentionMs = 24LL * 3600 * 1000;
/// Limits how far one tick advances the time, so that one wrong clock cannot expire every key
/// at once.
inline constexpr Millis kMaxTickAdvanceMs = 60'000;
/// At 3,000 publishes a day, a repeated publish after a lost response is recognized for 8 h.
inline constexpr std::size_t kMaxPublishResults = 1'024;
/// After this many attempts a job that may have run is not retried, because the job itself may be
/// what makes the attempts or their instances fail.
inline constexpr std::uint32_t kMaxAttempts = 5;

/// \brief Applies the record at `aOffset`, which must be `aState.m_nextOffset`.
///
/// Uses no clock, random number or setting, so that every reader computes the same state. A refused
/// record changes only the offset; the result of a refused publish is also stored under its id.
ApplyResult Apply(FleetState& aState, Offset aOffset, const Record& aRecord);

/// \brief Id of a publish; the same when it is repeated after a lost response.
[[nodiscard]] std::uint64_t PublishId(const Publish& aPublish);

/// \brief Stored result of a publish, or null.
[[nodiscard]] const PublishResult* FindPublish(const FleetState& aState,
                                               std::uint64_t aId) noexcept;

} // namespace pistachiostand
