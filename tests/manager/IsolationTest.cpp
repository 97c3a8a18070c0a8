#include "../standins/SilentRelay.h"
#include "EntryInstanceFixture.h"

#include "platform/Topics.h"

#include "pistachiostand/ownership/Isolation.h"

namespace pistachiostand::fleet {
namespace {

/// \brief Entry instances, some of which reach the store through a relay.
class RelayedStoreTest : public EntryInstanceFixture
{
protected:
  RelayedStoreTest()
    : m_relay(m_loop, At(8), At(0))
  {
  }

  bool IsInRotation(int aNumber)
  {
    ClientRequest request;
    request.m_url = "http://" + pistachiostand::ToString(At(10 * aNumber + 1)) +
                    std::string{ platform::kReadyPath };
    request.m_timeoutMs = 1'000;
    return Call(std::move(request)).m_status == 200;
  }

  void CutFromStore()
  {
    m_relay.m_cut = true;
    m_relay.Silence();
  }

  standin::SilentRelay m_relay;
};

/// \brief Entry 1 owns the fleet and reaches the store directly; entry 2 uses a relay.
class IsolationTest : public RelayedStoreTest
{
protected:
  void SetUp() override
  {
    RelayedStoreTest::SetUp();
    Start(1);
    ASSERT_TRUE(IsReady(1));
    m_storeAddress = At(8);
    Start(2);
    ASSERT_TRUE(IsReady(2));
    ASSERT_TRUE(RunUntil([this] { return IsInRotation(2); }));
  }

  ClientResponse Submit() { return Call(2, "POST", std::string{ "/lookups/" } + kJob, TwoSteps()); }
};

// Guards against routing callers to a zone for as long as it is cut off: their jobs were refused
// there, or answered with an unknown outcome, while other zones could have taken them (regression:
// scenario spokecalc-south-large scale-1: 139 jobs of the cut zone lost in 5 s).
TEST_F(IsolationTest, StoreAndOwnerSilent_InstanceLeavesTheRotationAndRefusesAtOnce)
{
  constexpr Millis kAtOnceMs = 300;
  constexpr Millis kNoticeMs = 2 * kSilenceTimeoutMs;
  CutFromStore();
  m_paused.insert(1);
  ASSERT_TRUE(RunUntil([this] { return !IsInRotation(2); }, kNoticeMs));
  const Millis before = MonotonicMs();
  const auto response = Submit();
  EXPECT_LT(MonotonicMs() - before, kAtOnceMs);
  EXPECT_EQ(response.m_status, 503);
  EXPECT_EQ(FindHeader(response.m_headers, "retry-after"), "1");
  // The caller's next connection goes to another instance.
  EXPECT_EQ(FindHeader(response.m_headers, "connection"), "close");
}

// Guards against refusing a job as not run although its record reaches the store later.
TEST_F(IsolationTest, RefusedWhileIsolated_JobNeverRuns)
{
  CutFromStore();
  m_paused.insert(1);
  ASSERT_TRUE(RunUntil([this] { return !IsInRotation(2); }));
  ASSERT_EQ(Submit().m_status, 503);
  m_paused.clear();
  m_relay.m_cut = false;
  ASSERT_TRUE(RunUntil([this] { return IsInRotation(2); }));
  RunUntil([] { return false; }, 1'000);
  EXPECT_TRUE(m_first.m_starts.empty() && m_second.m_starts.empty());
}

// Guards against an instance that leaves the rotation although the owner stores its records.
TEST_F(IsolationTest, OnlyStoreSilent_InstanceStaysAndTakesJobs)
{
  CutFromStore();
  RunUntil([] { return false; }, 2 * kSilenceTimeoutMs);
  EXPECT_TRUE(IsInRotation(2));
  EXPECT_EQ(Submit().m_status, 200);
}

// Guards against an instance that stays out of the rotation after a cut has ended.
TEST_F(IsolationTest, CutEnds_InstanceIsBackSoon)
{
  constexpr Millis kBackMs = 1'000; // The load balancer checks once a second.
  CutFromStore();
  m_paused.insert(1);
  ASSERT_TRUE(RunUntil([this] { return !IsInRotation(2); }));
  m_paused.clear();
  m_relay.m_cut = false;
  EXPECT_TRUE(RunUntil([this] { return IsInRotation(2); }, kBackMs));
}

/// \brief The owner and entry 2 in one zone; entry 3, which carries orders, in another one. All
/// reach the store through a relay.
class OwnersZoneTest : public RelayedStoreTest
{
protected:
  OwnersZoneTest()
  {
    m_maxDirectServers = 0;
    m_zones[3] = "z2";
  }

  void SetUp() override
  {
    RelayedStoreTest::SetUp();
    m_storeAddress = At(8);
    Start(1);
    ASSERT_TRUE(IsReady(1));
    Start(2);
    Start(3);
    ASSERT_TRUE(IsReady(2) && IsReady(3));
    RunUntil([] { return false; }, kJoinMs);
  }

  /// Time for carriers to connect, and for the polls of a job.
  static constexpr Millis kJoinMs = 1'000;
  /// The carrier timeout (1.2 s), a query to the owner every 0.2 s, and the responses.
  static constexpr Millis kNoticeMs = 2'500;
};

// Guards against callers that are held and refused in a zone that is cut off together with the
// owner, which still responds there (regression: scenario spokecalc-south-grown trouble-2: 413
// refusals in 5 s, after 0.4 s each).
TEST_F(OwnersZoneTest, ZoneCutOffWithTheOwner_InstancesLeaveTheRotation)
{
  CutFromStore();
  m_paused.insert(3);
  EXPECT_TRUE(RunUntil([this] { return !IsInRotation(2) && !IsInRotation(1); }, kNoticeMs));
}

// Guards against all instances leaving the rotation while only the store is unreachable: the store
// may still accept appends, and callers would fare no better in another zone.
TEST_F(OwnersZoneTest, StoreSilentForAll_InstancesStay)
{
  CutFromStore();
  const Millis end = MonotonicMs() + kNoticeMs;
  while (MonotonicMs() < end) {
    ASSERT_TRUE(IsInRotation(2));
    RunUntil([] { return false; }, 100);
  }
}

} // namespace
} // namespace pistachiostand::fleet
