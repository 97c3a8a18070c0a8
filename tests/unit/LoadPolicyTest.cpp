#include "pistachiostand/overload/LoadPolicy.h"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace pistachiostand::overload {
namespace {

LoadLimits Smallest()
{
  return DeriveLimits({ 160, 4'100, 10 }, {});
}

ConnectionLoad Load(Phase aPhase, std::size_t aBodyBytes, Millis aSinceMs)
{
  ConnectionLoad load;
  load.m_phase = aPhase;
  load.m_phaseSinceMs = load.m_requestSinceMs = load.m_progressMs = aSinceMs;
  load.m_bodyBytes = aBodyBytes;
  return load;
}

/// Guards against limits that leave no descriptors for the store and the backend servers.
TEST(LoadLimitsTest, Connections_OfAllListeners_LeaveAReserve)
{
  for (const std::size_t descriptors : { 100U, 150U, 4'100U, 8'192U }) {
    std::size_t sum = 0;
    for (const auto& listener : DeriveLimits({ 160, descriptors }, {}).m_listeners) {
      EXPECT_GE(listener.m_maxConnections, 3U);
      sum += listener.m_maxConnections;
    }
    EXPECT_LE(sum + 64, descriptors);
  }
}

/// Guards against defaults that cut a caller exactly at the limits of the configuration.
TEST(LoadLimitsTest, CallerAtTheLimits_OfTheConfiguration_IsServed)
{
  const auto limits = Smallest();
  auto load = Load(Phase::Body, 262'144, 0);
  load.m_declaredBytes = 262'144;
  load.m_headerBytes = 16'384;
  load.m_chunks = 262'144 / 16;
  EXPECT_EQ(FindExcess(load, limits), std::nullopt);
  EXPECT_TRUE(MayHandle({}, HandlerBytes(load), limits));
  EXPECT_EQ(ExcessBytes({ HeldBytes(load), 0 }, limits), 0U);
  EXPECT_EQ(FindTimeout(Load(Phase::Header, 0, 0), limits, 3'500), std::nullopt);
  EXPECT_EQ(FindTimeout(Load(Phase::Idle, 0, 0), limits, 15'500), std::nullopt);
  EXPECT_EQ(FindTimeout(Load(Phase::Body, 9, 0), limits, 15'500), std::nullopt);
}

/// Guards against an operator's limits that have no effect, and a 0 that cuts everyone.
TEST(LoadLimitsTest, RequestLimits_OfTheConfiguration_AreUsed)
{
  const auto limits = DeriveLimits({ 160, 4'100 }, { 1'000, 2'000, 100, 200 });
  EXPECT_LT(limits.m_maxHeaderBytes, Smallest().m_maxHeaderBytes);
  EXPECT_LT(limits.Of(Listener::Callers).m_maxBodyBytes, 20'000U);
  EXPECT_LT(limits.m_headerMs, 1'000);
  EXPECT_EQ(DeriveLimits({ 160, 4'100 }, {}).m_headerMs,
            DeriveLimits({ 160, 4'100 }, { 0, 0, 3'000, 15'000 }).m_headerMs);
}

/// Guards against requests that are read on although they can never be accepted.
TEST(LoadPolicyTest, Excess_OfEachKind_IsNamed)
{
  const auto limits = Smallest();
  ConnectionLoad load;
  load.m_declaredBytes = 1'000'000;
  EXPECT_EQ(FindExcess(load, limits), Cause::BodyTooLarge);
  load = {};
  load.m_bodyBytes = 300'000;
  EXPECT_EQ(FindExcess(load, limits), Cause::BodyTooLarge);
  load = {};
  load.m_headerBytes = 30'000;
  EXPECT_EQ(FindExcess(load, limits), Cause::HeaderTooLarge);
  load = {};
  load.m_chunks = 30'000;
  EXPECT_EQ(FindExcess(load, limits), Cause::TooManyChunks);
  EXPECT_EQ(StatusOf(Cause::TooManyChunks), 413);
  EXPECT_EQ(StatusOf(Cause::Memory), 503);
}

/// Guards against connections that stay open for ever, and handled requests that are cut.
TEST(LoadPolicyTest, Timeout_ByPhase_NeverCutsHandledRequests)
{
  const auto limits = Smallest();
  constexpr Millis kLong = 3'600'000;
  EXPECT_EQ(FindTimeout(Load(Phase::Idle, 0, 0), limits, kLong), Cause::IdleTimeout);
  EXPECT_EQ(FindTimeout(Load(Phase::Header, 0, 0), limits, 5'000), Cause::HeaderTimeout);
  EXPECT_EQ(FindTimeout(Load(Phase::Handling, 0, 0), limits, kLong), std::nullopt);
  auto dripping = Load(Phase::Body, 1, 0);
  dripping.m_progressMs = 61'000;
  EXPECT_EQ(FindTimeout(dripping, limits, 61'000), Cause::RequestTimeout);
}

/// Guards against tiny chunks and growing buffers that are counted by their bytes only.
TEST(LoadPolicyTest, HeldBytes_OfChunkedBodies_CountWhatTheyCost)
{
  auto load = Load(Phase::Body, 1'000, 0);
  EXPECT_EQ(HeldBytes(load), 1'000U);
  load.m_chunked = true;
  load.m_chunks = 1'000;
  EXPECT_GE(HeldBytes(load), 48'000U);
}

/// Guards against a handler that is given more requests than there is memory for.
TEST(LoadPolicyTest, Handling_BeyondTheBudget_IsRefused)
{
  const auto limits = Smallest();
  EXPECT_TRUE(MayHandle({ limits.m_maxHeldBytes, 0 }, 100'000, limits));
  EXPECT_FALSE(MayHandle({ 0, limits.m_maxHandlerBytes }, 1, limits));
}

/// Guards against shedding that hits ordinary requests before large and slow ones.
TEST(LoadPolicyTest, Shedding_TakesLargestAndSlowest_NeverHandledOnes)
{
  const std::array loads{ Load(Phase::Body, 1'000, 9'900), Load(Phase::Body, 200'000, 9'000),
                          Load(Phase::Body, 200'000, 0), Load(Phase::Handling, 900'000, 0),
                          Load(Phase::Idle, 0, 0) };
  const auto limits = Smallest();
  EXPECT_EQ(ChooseToClose(loads, 100'000, limits, 10'000), (std::vector<std::size_t>{ 2 }));
  EXPECT_EQ(ChooseToClose(loads, 300'000, limits, 10'000), (std::vector<std::size_t>{ 2, 1 }));
  EXPECT_EQ(ChooseToClose(loads, 900'000, limits, 10'000), (std::vector<std::size_t>{ 2, 1, 0 }));
}

/// Guards against responses that are dropped while their caller reads them.
TEST(LoadPolicyTest, Shedding_OfResponses_OnlyWhenTheReaderHasStalled)
{
  auto writing = Load(Phase::Writing, 0, 0);
  writing.m_responseBytes = 100'000;
  const auto limits = Smallest();
  EXPECT_FALSE(ChooseToClose(std::array{ writing }, 1, limits, 10'000).empty());
  writing.m_progressMs = 9'000;
  EXPECT_TRUE(ChooseToClose(std::array{ writing }, 1, limits, 10'000).empty());
}

/// Guards against shedding for each single read.
TEST(LoadPolicyTest, ExcessBytes_BeyondTheLimit_GoBelowIt)
{
  const auto limits = Smallest();
  EXPECT_EQ(ExcessBytes({ limits.m_maxHeldBytes, 0 }, limits), 0U);
  EXPECT_GT(ExcessBytes({ limits.m_maxHeldBytes, 1 }, limits), limits.m_maxHeldBytes / 10);
}

/// Guards against a full listener that is held by idle connections.
TEST(LoadPolicyTest, FullListener_WithIdleConnections_ClosesItsOldest)
{
  auto other = Load(Phase::Idle, 0, 0);
  other.m_listener = Listener::Ready;
  const std::array loads{ other, Load(Phase::Idle, 0, 20), Load(Phase::Idle, 0, 10),
                          Load(Phase::Header, 0, 0) };
  EXPECT_EQ(ChooseIdle(loads, Listener::Callers), 2U);
  EXPECT_EQ(ChooseIdle(loads, Listener::Metrics), std::nullopt);
}

} // namespace
} // namespace pistachiostand::overload
