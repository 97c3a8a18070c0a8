#pragma once

#include "pistachiostand/fleet/Inventory.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief Stored progress of a maintenance wave, for later owners.

namespace pistachiostand::fleet {

struct WaveRecord
{
  std::vector<InstanceId> m_done; ///< Instances whose maintenance was ordered.
  /// Time from the request until the record was written, so that a later owner counts the wave's
  /// time from the request and not from the start of its own ownership.
  Millis m_ageMs{};

  friend auto operator<=>(const WaveRecord&, const WaveRecord&) = default;
};

[[nodiscard]] std::string EncodeWaveRecord(const WaveRecord& aRecord);
[[nodiscard]] std::optional<WaveRecord> DecodeWaveRecord(std::string_view aBytes);

} // namespace pistachiostand::fleet
