#include "pistachiostand/overload/LoadPolicy.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <utility>

namespace pistachiostand::overload {

namespace {

/// A header is kept as one string for each name and each value.
constexpr std::size_t kHeaderFactor = 4;
/// A body without a stated length is in a buffer that grows by doubling, and for the time of its
/// growth in two.
constexpr std::size_t kChunkedBodyFactor = 3;
/// RESTinio keeps 48 bytes for each chunk in a vector that grows by doubling.
constexpr std::size_t kChunkBytes = 144;
/// The body that RESTinio keeps until the response, the record that is made of it, the writer's
/// copy, the copy in the call to the store and one in the allocator's free lists.
constexpr std::size_t kHandlerBodyFactor = 5;
constexpr std::size_t kHandlerBaseBytes = 2'048;

std::size_t ChunkBytes(const ConnectionLoad& aLoad)
{
  return kChunkBytes * aLoad.m_chunks;
}

} // namespace

std::string_view NameOf(Cause aCause) noexcept
{
  constexpr std::array<std::string_view, kCauseCount> kNames{
    "header-too-large", "body-too-large", "too-many-chunks", "header-timeout", "idle-timeout",
    "request-timeout",  "memory",         "handler-memory",  "connections"
  };
  return kNames.at(static_cast<std::size_t>(aCause));
}

std::uint16_t StatusOf(Cause aCause) noexcept
{
  const bool tooLarge = aCause == Cause::HeaderTooLarge || aCause == Cause::BodyTooLarge ||
                        aCause == Cause::TooManyChunks;
  return tooLarge ? 413 : 503;
}

std::size_t HeldBytes(const ConnectionLoad& aLoad) noexcept
{
  // RESTinio reserves a body of a stated length when its header is complete.
  const std::size_t body = aLoad.m_chunked ? kChunkedBodyFactor * aLoad.m_bodyBytes
                                           : std::max(aLoad.m_bodyBytes, aLoad.m_declaredBytes);
  return kHeaderFactor * aLoad.m_headerBytes + body + ChunkBytes(aLoad) + aLoad.m_responseBytes;
}

std::size_t HandlerBytes(const ConnectionLoad& aLoad) noexcept
{
  return kHandlerBaseBytes + kHeaderFactor * aLoad.m_headerBytes +
         kHandlerBodyFactor * aLoad.m_bodyBytes + ChunkBytes(aLoad);
}

std::optional<Cause> FindExcess(const ConnectionLoad& aLoad, const LoadLimits& aLimits) noexcept
{
  if (aLoad.m_headerBytes > aLimits.m_maxHeaderBytes) {
    return Cause::HeaderTooLarge;
  }
  if (std::max(aLoad.m_bodyBytes, aLoad.m_declaredBytes) >
      aLimits.Of(aLoad.m_listener).m_maxBodyBytes) {
    return Cause::BodyTooLarge;
  }
  if (aLoad.m_chunks > aLimits.m_maxChunks) {
    return Cause::TooManyChunks;
  }
  return std::nullopt;
}

std::optional<Cause> FindTimeout(const ConnectionLoad& aLoad, const LoadLimits& aLimits,
                                 Millis aNowMs) noexcept
{
  const auto& limits = aLimits.Of(aLoad.m_listener);
  if (aLoad.m_phase == Phase::Idle && aNowMs - aLoad.m_phaseSinceMs > limits.m_idleMs) {
    return Cause::IdleTimeout;
  }
  if (aLoad.m_phase == Phase::Header && aNowMs - aLoad.m_phaseSinceMs > aLimits.m_headerMs) {
    return Cause::HeaderTimeout;
  }
  if (aLoad.m_phase == Phase::Body && (aNowMs - aLoad.m_progressMs > limits.m_idleMs ||
                                       aNowMs - aLoad.m_requestSinceMs > limits.m_requestMs)) {
    return Cause::RequestTimeout;
  }
  return std::nullopt;
}

bool MayHandle(const HeldTotals& aTotals, std::size_t aRequestBytes,
               const LoadLimits& aLimits) noexcept
{
  return aTotals.m_handlerBytes + aRequestBytes <= aLimits.m_maxHandlerBytes;
}

std::size_t ExcessBytes(const HeldTotals& aTotals, const LoadLimits& aLimits) noexcept
{
  const std::size_t held = aTotals.m_connectionBytes + aTotals.m_handlerBytes;
  const std::size_t target = aLimits.m_maxHeldBytes / 8 * 7;
  return held > aLimits.m_maxHeldBytes ? held - target : 0;
}

std::vector<std::size_t> ChooseToClose(std::span<const ConnectionLoad> aLoads, std::size_t aBytes,
                                       const LoadLimits& aLimits, Millis aNowMs)
{
  std::vector<std::pair<double, std::size_t>> candidates;
  for (std::size_t index = 0; index < aLoads.size(); ++index) {
    const ConnectionLoad& load = aLoads[index];
    const bool reading = load.m_phase == Phase::Header || load.m_phase == Phase::Body;
    const bool stalled =
      load.m_phase == Phase::Writing && aNowMs - load.m_progressMs > aLimits.m_stalledWriteMs;
    if ((reading || stalled) && HeldBytes(load) > 0) {
      const Millis since = reading ? load.m_requestSinceMs : load.m_phaseSinceMs;
      const double age = 1.0 + static_cast<double>(aNowMs - since) / 1'000;
      candidates.emplace_back(static_cast<double>(HeldBytes(load)) * age, index);
    }
  }
  std::ranges::sort(candidates, std::greater<>{});
  std::vector<std::size_t> chosen;
  std::size_t released = 0;
  for (const auto& [score, index] : candidates) {
    if (released >= aBytes) {
      break;
    }
    released += HeldBytes(aLoads[index]);
    chosen.push_back(index);
  }
  return chosen;
}

std::optional<std::size_t> ChooseIdle(std::span<const ConnectionLoad> aLoads, Listener aListener)
{
  std::optional<std::size_t> oldest;
  for (std::size_t index = 0; index < aLoads.size(); ++index) {
    const ConnectionLoad& load = aLoads[index];
    if (load.m_listener == aListener && load.m_phase == Phase::Idle &&
        (!oldest || load.m_phaseSinceMs < aLoads[*oldest].m_phaseSinceMs)) {
      oldest = index;
    }
  }
  return oldest;
}

} // namespace pistachiostand::overload
