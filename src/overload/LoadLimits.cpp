#include "pistachiostand/overload/LoadLimits.h"

#include <algorithm>

namespace pistachiostand::overload {

namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1024 } * 1024;
/// Share of the memory for requests. The rest is for the jobs of an owner, for the store's records
/// and for memory that is freed but fragmented: 600 chunked bodies used three times their bytes.
constexpr std::size_t kRequestMemoryParts = 4;
/// Descriptors for the store, backend servers, carriers, listeners and files. An instance with 120
/// direct servers uses about 200.
constexpr std::size_t kMinReservedDescriptors = 64;
constexpr double kReservedDescriptors = 0.12;
/// Shares of the remaining descriptors: callers, readiness, other entry instances, metrics.
constexpr std::array<double, kListenerCount> kConnectionShares{ 0.51, 0.19, 0.20, 0.10 };
/// A read takes up to 4,096 bytes, which may begin with the end of one request.
constexpr std::size_t kHeaderSlackBytes = 8'192;
constexpr std::size_t kBodySlackBytes = 16'384;
constexpr double kTimeoutSlack = 1.25;
constexpr Millis kTimeoutSlackMs = 500;
/// Total time for a request, as before there were these limits.
constexpr Millis kRequestMs = 60'000;
/// Checks of readiness and reads of metrics have no body.
constexpr std::size_t kSmallBodyBytes = 16'384;
constexpr Millis kSmallRequestMs = 5'000;
constexpr Millis kOtherIdleMs = 60'000;
/// An instance relays one record in a request, which is at most as long as the server reads.
constexpr std::size_t kRelayBodyBytes = kMegabyte;
constexpr Millis kRelayRequestMs = 10'000;
constexpr std::size_t kBaseChunks = 4'096;
/// Smallest mean size of the pieces of a body of the largest size.
constexpr std::size_t kMeanChunkBytes = 16;
constexpr Millis kStalledWriteMs = 3'000;

Millis WithSlack(Millis aTimeoutMs)
{
  return static_cast<Millis>(kTimeoutSlack * static_cast<double>(aTimeoutMs)) + kTimeoutSlackMs;
}

template<typename Value>
Value Or(Value aValue, Value aDefault)
{
  return aValue > 0 ? aValue : aDefault;
}

} // namespace

LoadLimits DeriveLimits(const MachineLimits& aMachine, const RequestLimits& aRequests)
{
  LoadLimits limits;
  limits.m_maxHeldBytes =
    kMegabyte *
    Or(aMachine.m_requestMb, std::max<std::size_t>(aMachine.m_memoryMb / kRequestMemoryParts, 1));
  limits.m_maxHandlerBytes = limits.m_maxHeldBytes / 4 * 3;
  limits.m_maxHeaderBytes = Or(aRequests.m_maxHeaderBytes, kDefaultHeaderBytes) + kHeaderSlackBytes;
  const std::size_t maxBody = Or(aRequests.m_maxBodyBytes, kDefaultBodyBytes);
  limits.m_maxChunks = Or(aMachine.m_maxChunks, kBaseChunks + maxBody / kMeanChunkBytes);
  limits.m_headerMs = WithSlack(Or(aRequests.m_headerTimeoutMs, kDefaultHeaderTimeoutMs));
  limits.m_stalledWriteMs = kStalledWriteMs;
  const Millis idle = WithSlack(Or(aRequests.m_idleTimeoutMs, kDefaultIdleTimeoutMs));
  limits.m_listeners = { { { 0, maxBody + kBodySlackBytes, idle, std::max(kRequestMs, 2 * idle) },
                           { 0, kSmallBodyBytes, kOtherIdleMs, kSmallRequestMs },
                           { 0, kRelayBodyBytes, kOtherIdleMs, kRelayRequestMs },
                           { 0, kSmallBodyBytes, kOtherIdleMs, kSmallRequestMs } } };
  const auto descriptors = static_cast<double>(aMachine.m_maxDescriptors);
  const double reserve =
    std::max(kReservedDescriptors * descriptors, static_cast<double>(kMinReservedDescriptors));
  for (std::size_t each = 0; each < kListenerCount; ++each) {
    const double share = kConnectionShares.at(each) * std::max(descriptors - reserve, 0.0);
    limits.m_listeners.at(each).m_maxConnections =
      std::max<std::size_t>(static_cast<std::size_t>(share), 4);
  }
  auto& callers = limits.m_listeners.at(static_cast<std::size_t>(Listener::Callers));
  callers.m_maxConnections = Or(aMachine.m_callerConnections, callers.m_maxConnections);
  return limits;
}

} // namespace pistachiostand::overload
