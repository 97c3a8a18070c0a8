#include "../standins/SilentRelay.h"
#include "ManagerFixture.h"

#include "platform/Topics.h"

#include "pistachiostand/ownership/Isolation.h"

namespace pistachiostand::fleet {
namespace {

/// \brief Entry 1 owns the fleet and reaches the store; entry 2 reaches it through a relay.
class IsolationTest : public ManagerFixture
{
protected:
  IsolationTest()
    : m_relay(m_loop, At(8), At(0))
  {
  }

  void SetUp() override
  {
    ManagerFixture::SetUp();
    Start(1);
    ASSERT_TRUE(IsReady(1));
    m_storeAddress = At(8);
    Start(2);
    ASSERT_TRUE(IsReady(2));
    ASSERT_TRUE(RunUntil([this] { return IsInRotation(2); }));
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

  ClientResponse Submit() { return Call(2, "POST", std::string{ "/lookups/" } + kJob, TwoSteps()); }

  standin::SilentRelay m_relay;
};

// Guards against callers who are sent to a zone that is cut off for as long as the cut lasts: their
// jobs were refused there, or answered with an unknown outcome, while other zones could have taken
// them (spokecalc-south-large scale-1: 139 jobs of the cut zone lost in 5 s).
TEST_F(IsolationTest, StoreAndOwnerSilent_InstanceLeavesTheRotationAndRefusesAtOnce)
{
  constexpr Millis kAtOnceMs = 300;
  constexpr Millis kNoticeMs = 2 * kSilentMs;
  CutFromStore();
  m_paused.insert(1);
  ASSERT_TRUE(RunUntil([this] { return !IsInRotation(2); }, kNoticeMs));
  const Millis before = MonotonicMs();
  const auto response = Submit();
  EXPECT_LT(MonotonicMs() - before, kAtOnceMs);
  EXPECT_EQ(response.m_status, 503);
  EXPECT_EQ(FindHeader(response.m_headers, "retry-after"), "1");
  // The caller's next connection leads elsewhere.
  EXPECT_EQ(FindHeader(response.m_headers, "connection"), "close");
}

// Guards against a refusal that says a job has not run, though its record reaches the store later.
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

// Guards against an instance that leaves the rotation although the owner stores for it.
TEST_F(IsolationTest, OnlyStoreSilent_InstanceStaysAndTakesJobs)
{
  CutFromStore();
  RunUntil([] { return false; }, 2 * kSilentMs);
  EXPECT_TRUE(IsInRotation(2));
  EXPECT_EQ(Submit().m_status, 200);
}

// Guards against an instance that stays away after the end of a cut.
TEST_F(IsolationTest, CutEnds_InstanceIsBackSoon)
{
  constexpr Millis kBackMs = 1'000; // The balancer checks once a second.
  CutFromStore();
  m_paused.insert(1);
  ASSERT_TRUE(RunUntil([this] { return !IsInRotation(2); }));
  m_paused.clear();
  m_relay.m_cut = false;
  EXPECT_TRUE(RunUntil([this] { return IsInRotation(2); }, kBackMs));
}

} // namespace
} // namespace pistachiostand::fleet
