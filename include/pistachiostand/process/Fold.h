#pragma once

#include "pistachiostand/process/FleetState.h"

/// \file
/// \brief The deterministic function that turns log records into state.

namespace pistachiostand {

/// Keys are remembered this long after the end of a job; a caller must not repeat one later.
inline constexpr Millis kKeyRetentionMs = 24LL * 3600 * 1000;
/// One tick moves the time no further, so that one wrong clock cannot expire every key at once.
inline constexpr Millis kMaxTickAdvanceMs = 60'000;
/// At 3,000 changes a day a repeat after a lost response is recognized for 8 h.
inline constexpr std::size_t kMaxPublishResults = 1'024;
/// A job that has ended this many instances or attempts is not tried again.
inline constexpr std::uint32_t kMaxAttempts = 5;

/// \brief Applies the record at `aOffset`, which must be `aState.m_nextOffset`.
///
/// Uses no clock, no random number and no setting: every reader gets the same state. A refused
/// record changes nothing but the offset, except that a refused publish is remembered by its id.
ApplyResult Apply(FleetState& aState, Offset aOffset, const Record& aRecord);

/// \brief Id of a publish; equal for a repeat after a lost response.
[[nodiscard]] std::uint64_t PublishId(const Publish& aPublish);

/// \brief Remembered result of a publish, or null.
[[nodiscard]] const PublishResult* FindPublish(const FleetState& aState,
                                               std::uint64_t aId) noexcept;

} // namespace pistachiostand
