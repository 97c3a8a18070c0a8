#include "pistachiostand/request/Placement.h"

#include <algorithm>

namespace pistachiostand {
namespace {

/// Weight of a new value in the moving averages: the last ten responses dominate.
constexpr double kSmoothingFactor = 0.1;

/// Age up to which a load report counts. Afterwards the slots that others use are unknown and
/// assumed to be free, so that the server is tried.
constexpr Millis kReportLifetimeMs = 500;

/// A full server is tried again after half of its average latency. This suits nine entry instances
/// that compete for a server with eight slots, all of which become free during one latency. The
/// bounds apply when the latency is unknown or raised by errors.
constexpr Millis kMinFullBackOffMs = 5;
constexpr Millis kMaxFullBackOffMs = 200;

/// An error counts as at least this latency, so that a server that fails fast is not preferred.
constexpr double kErrorLatencyMs = 1'000;

constexpr std::uint32_t kErrorsToEject = 5;
constexpr double kErrorRateToEject = 0.5;
constexpr Millis kFirstEjectionMs = 1'000;
constexpr std::uint32_t kMaxDoublings = 5; ///< 32 s at most between two probes.

bool IsProbeDue(const ServerStats& aServer, Millis aNowMs) noexcept
{
  return aServer.m_ejected && aServer.m_inFlight == 0 && aNowMs >= aServer.m_ejectedUntilMs;
}

bool IsAvailable(const ServerStats& aServer, const PlacementContext& aContext) noexcept
{
  if (aServer.m_leaving || aContext.m_nowMs < aServer.m_fullUntilMs) {
    return false;
  }
  if (aServer.m_ejected && aContext.m_options.m_ejectOutliers) {
    return false;
  }
  return aServer.m_inFlight < aServer.m_limit &&
         EstimatedLoad(aServer, aContext.m_nowMs) < aServer.m_slots;
}

/// \brief Load including the new request, times the latency of the server. Lower is better.
double ScoreOf(const ServerStats& aServer, Millis aNowMs) noexcept
{
  const double load = EstimatedLoad(aServer, aNowMs) + 1.0;
  return load * std::max(aServer.m_latencyMs, 1.0);
}

std::optional<std::size_t> ChooseAmong(std::span<const ServerStats> aServers,
                                       const std::vector<std::size_t>& aCandidates,
                                       const PlacementContext& aContext, Random& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  const std::size_t size = aCandidates.size();
  const std::size_t first = aRandom() % size;
  if (!aContext.m_options.m_powerOfTwoChoices || size == 1) {
    return aCandidates[first];
  }
  const std::size_t second = (first + 1 + aRandom() % (size - 1)) % size;
  const auto scoreOf = [&](std::size_t aIndex) {
    return ScoreOf(aServers[aCandidates[aIndex]], aContext.m_nowMs);
  };
  return aCandidates[scoreOf(second) < scoreOf(first) ? second : first];
}

void UpdateAverage(double& aValue, double aNew) noexcept
{
  aValue = aValue <= 0 ? aNew : aValue + kSmoothingFactor * (aNew - aValue);
}

void Release(ServerStats& aServer) noexcept
{
  aServer.m_inFlight -= std::min(aServer.m_inFlight, 1U);
}

void Eject(ServerStats& aServer, Millis aNowMs) noexcept
{
  const std::uint32_t doublings = std::min(aServer.m_ejections, kMaxDoublings);
  aServer.m_ejected = true;
  aServer.m_ejectedUntilMs = aNowMs + (kFirstEjectionMs << doublings);
  ++aServer.m_ejections;
}

bool IsOutlier(const ServerStats& aServer, double aPoolErrorRate) noexcept
{
  if (aServer.m_ejected) {
    return false;
  }
  return aServer.m_consecutiveErrors >= kErrorsToEject &&
         aServer.m_errorRate > std::min(kErrorRateToEject, 2 * aPoolErrorRate);
}

} // namespace

std::uint32_t EstimatedLoad(const ServerStats& aServer, Millis aNowMs) noexcept
{
  const bool isFresh = aNowMs - aServer.m_reportedAtMs < kReportLifetimeMs;
  return aServer.m_inFlight + (isFresh ? aServer.m_slotsUsedByOthers : 0);
}

std::optional<std::size_t> ChooseServer(std::span<const ServerStats> aServers,
                                        const PlacementContext& aContext, Random& aRandom)
{
  std::vector<std::size_t> own;
  std::vector<std::size_t> others;
  for (std::size_t index = 0; index < aServers.size(); ++index) {
    const ServerStats& server = aServers[index];
    const bool isProbe = aContext.m_options.m_ejectOutliers && !server.m_leaving &&
                         IsProbeDue(server, aContext.m_nowMs);
    if (isProbe && aContext.m_mayProbe) {
      return index;
    }
    if (IsAvailable(server, aContext)) {
      const bool isOwn = !aContext.m_options.m_preferOwnZone || server.m_zone == aContext.m_zone;
      (isOwn ? own : others).push_back(index);
    }
  }
  return ChooseAmong(aServers, own.empty() ? others : own, aContext, aRandom);
}

void OnSent(ServerStats& aServer) noexcept
{
  ++aServer.m_inFlight;
}

void OnLoadReport(ServerStats& aServer, std::uint32_t aUsed, Millis aNowMs) noexcept
{
  aServer.m_slotsUsedByOthers = aUsed - std::min(aUsed, aServer.m_inFlight);
  aServer.m_reportedAtMs = aNowMs;
}

void OnResponse(ServerStats& aServer, Millis aLatencyMs, std::uint32_t aUsed,
                Millis aNowMs) noexcept
{
  OnLoadReport(aServer, aUsed, aNowMs);
  Release(aServer);
  aServer.m_limit = std::min(aServer.m_limit + 1, aServer.m_slots);
  if (aServer.m_ejected) { // The probe succeeded. The errors no longer describe the server.
    aServer.m_ejected = false;
    aServer.m_errorRate = 0;
    aServer.m_latencyMs = 0;
  }
  UpdateAverage(aServer.m_latencyMs, static_cast<double>(std::max<Millis>(aLatencyMs, 1)));
  aServer.m_errorRate -= kSmoothingFactor * aServer.m_errorRate;
  if (aServer.m_errorRate < kSmoothingFactor) {
    aServer.m_ejections = 0;
  }
  aServer.m_consecutiveErrors = 0;
}

void OnRefusedFull(ServerStats& aServer, Millis aNowMs) noexcept
{
  Release(aServer);
  // One request at a time probes for a free slot; each response raises the limit by one.
  aServer.m_limit = aServer.m_inFlight + 1;
  const auto halfLatencyMs = static_cast<Millis>(aServer.m_latencyMs / 2);
  aServer.m_fullUntilMs = aNowMs + std::clamp(halfLatencyMs, kMinFullBackOffMs, kMaxFullBackOffMs);
}

void OnError(ServerStats& aServer, Millis aLatencyMs, Millis aNowMs) noexcept
{
  Release(aServer);
  UpdateAverage(aServer.m_latencyMs, std::max(static_cast<double>(aLatencyMs), kErrorLatencyMs));
  aServer.m_errorRate += kSmoothingFactor * (1 - aServer.m_errorRate);
  ++aServer.m_consecutiveErrors;
  if (aServer.m_ejected) {
    Eject(aServer, aNowMs);
  }
}

void OnAbandoned(ServerStats& aServer) noexcept
{
  Release(aServer);
}

void EjectOutliers(std::span<ServerStats> aServers, Millis aNowMs) noexcept
{
  if (aServers.empty()) {
    return;
  }
  std::size_t ejected = 0;
  double sum = 0;
  for (const ServerStats& server : aServers) {
    ejected += server.m_ejected ? 1 : 0;
    sum += server.m_errorRate;
  }
  const double poolErrorRate = sum / static_cast<double>(aServers.size());
  for (ServerStats& server : aServers) {
    if ((ejected + 1) * 3 > aServers.size()) {
      return;
    }
    if (IsOutlier(server, poolErrorRate)) {
      Eject(server, aNowMs);
      ++ejected;
    }
  }
}

} // namespace pistachiostand
