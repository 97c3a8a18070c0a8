#include "OwnerState.h"

#include <fmt/format.h>

namespace pistachiostand::fleet {

namespace {

/// A backend server's clock may run slower than the owner's by this much.
constexpr Millis kClockDriftPercent = 2;
/// Covers the rounding of clocks to whole milliseconds and the time to stop runs. Also the
/// tolerance when clocks are compared to detect a later incarnation.
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

bool IsLaterIncarnation(const ServerState& aServer, Millis aServerMs, Millis aSentMs) noexcept
{
  if (!aServer.m_clock) {
    return false;
  }
  // A call that was sent before the clock was recorded may have been answered earlier than that, at
  // the earliest when it was sent.
  const Millis lowest = aSentMs < aServer.m_clock->m_localMs
                          ? aServer.m_clock->m_serverMs - (aServer.m_clock->m_localMs - aSentMs)
                          : *ServerClockMs(aServer, aSentMs);
  return aServerMs < lowest - kLeaseMarginMs;
}

Millis LatestLeaseEndMs(Millis aNowMs, Millis aLeaseMs) noexcept
{
  return aNowMs + aLeaseMs * 100 / (100 - kClockDriftPercent) + kLeaseMarginMs;
}

void ExtendLease(ServerState& aServer, Millis aEndMs, std::string_view aBasis)
{
  if (aEndMs > aServer.m_leaseEndMs) {
    aServer.m_leaseEndMs = aEndMs;
    aServer.m_leaseBasis = aBasis;
  }
}

std::string ToString(const SubtaskId& aId)
{
  return fmt::format("{}.{}.{}.{}", aId.m_job, aId.m_occurrence, aId.m_step, aId.m_index);
}

} // namespace pistachiostand::fleet
