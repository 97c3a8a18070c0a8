#pragma once

#include "pistachiostand/base/Reason.h"
#include "pistachiostand/process/FleetState.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Encoded state: snapshots in the log and copies between peers.

namespace pistachiostand {

/// Keeps a snapshot record below the size that log services commonly accept for one record.
inline constexpr std::size_t kSnapshotPartBytes = std::size_t{ 48 } * 1024;

[[nodiscard]] std::string EncodeState(const FleetState& aState);

/// \brief Decodes a state and parses its rules; fails with `ReasonKind::Corrupt`.
[[nodiscard]] std::optional<FleetState> DecodeState(std::string_view aBytes, Reason& aReason);

/// \brief Cuts the encoded state into records.
[[nodiscard]] std::vector<Snapshot> MakeSnapshot(const FleetState& aState,
                                                 std::size_t aPartBytes = kSnapshotPartBytes);

/// \brief The newest complete snapshot whose following records are all present.
///
/// \param aEntries consecutive log entries, oldest first.
/// \return nothing when no snapshot can be used, which is no error if the log begins at offset 0.
[[nodiscard]] std::optional<FleetState> FindSnapshot(std::span<const LogEntry> aEntries);

} // namespace pistachiostand
