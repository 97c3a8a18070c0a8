#include "OwnerState.h"

#include <fmt/format.h>

namespace pistachiostand::fleet {

namespace {

/// A backend server's clock may run this much slow, in percent.
constexpr Millis kClockDriftPercent = 2;
/// Covers the rounding of clocks to whole milliseconds and the time to end what runs.
constexpr Millis kLeaseMarginMs = 50;

} // namespace

std::optional<Millis> ServerClockMs(const ServerState& aServer, Millis aNowMs) noexcept
{
  if (!aServer.m_clock) {
    return std::nullopt;
  }
  const Millis elapsed = aNowMs - aServer.m_clock->m_localMs;
  return aServer.m_clock->m_serverMs + elapsed * (100 - kClockDriftPercent) / 100;
}

bool IsOfLaterLife(const ServerState& aServer, Millis aServerMs, Millis aSentMs) noexcept
{
  // A call that was sent before the clock was noted may have been answered before, too.
  return aServer.m_clock && aSentMs >= aServer.m_clock->m_localMs &&
         aServerMs < *ServerClockMs(aServer, aSentMs) - kLeaseMarginMs;
}

Millis LatestLeaseEndMs(Millis aNowMs, Millis aLeaseMs) noexcept
{
  return aNowMs + aLeaseMs * 100 / (100 - kClockDriftPercent) + kLeaseMarginMs;
}

std::string ToString(const SubtaskId& aId)
{
  return fmt::format("{}.{}.{}.{}", aId.m_job, aId.m_occurrence, aId.m_step, aId.m_index);
}

} // namespace pistachiostand::fleet
