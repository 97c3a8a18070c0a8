#include "EntryInstanceFixture.h"

#include "src/manager/CarrierPool.h"

namespace pistachiostand::fleet {
namespace {

/// \brief An owner whose orders other entry instances carry to the backend servers.
class CarrierTest : public EntryInstanceFixture
{
protected:
  CarrierTest() { m_maxDirectServers = 0; }

  /// \brief Starts the owner first, then the others.
  void StartThree()
  {
    Start(1);
    ASSERT_TRUE(IsReady(1));
    Start(2);
    Start(3);
    ASSERT_TRUE(IsReady(2) && IsReady(3));
  }

  std::uint64_t Counter(int aInstance, const std::string& aName)
  {
    auto request = Request(aInstance, "GET", "/metrics");
    request.m_url = "http://" + pistachiostand::ToString(At(10 * aInstance + 4)) + "/metrics";
    const std::string page = Call(request).m_body;
    const std::string line = "pistachiostand_" + aName + ' ';
    const auto at = page.find(line);
    return at == std::string::npos ? 0 : std::stoull(page.substr(at + line.size()));
  }

  std::uint64_t Carried()
  {
    return Counter(2, "orders_carried_for_owner_total") +
           Counter(3, "orders_carried_for_owner_total");
  }

  ClientResponse Submit(int aInstance, const std::string& aId, const std::string& aBody)
  {
    return Call(aInstance, "POST", "/lookups/" + aId, aBody);
  }

  static std::string LongJob(int aCount)
  {
    return fmt::format(
      R"({{"spec":"work","steps":[{{"count":{},"cpu":1000,"mem-mb":1,"estimated-ms":9000}}]}})",
      aCount);
  }

  [[nodiscard]] int Starts(int aIndex)
  {
    const auto subtask = fmt::format("{}.0.0.{}", kJob, aIndex);
    return m_first.m_starts[subtask] + m_second.m_starts[subtask];
  }

  /// \brief Waits until the carriers have joined and a job has completed through them.
  void WarmUpCarriers()
  {
    RunUntil([] { return false; }, 1'000);
    ASSERT_EQ(Submit(1, "00000000ffff0000", TwoSteps()).m_status, 200);
    ASSERT_TRUE(RunUntil([this] { return m_first.m_done.size() + m_second.m_done.size() >= 5; }));
    ASSERT_GT(Carried(), 0U);
  }
};

// Verifies orders that carriers send: a job runs once, and the other instances have carried its
// orders.
TEST_F(CarrierTest, JobOfTwoSteps_OrdersCarried_RunsOnce)
{
  StartThree();
  WarmUpCarriers();
  ASSERT_EQ(Submit(2, kJob, TwoSteps()).m_status, 200);
  EXPECT_TRUE(Completes(1));
  for (const auto& subtask : AllSubtasks()) {
    EXPECT_EQ(DoneCount(subtask), 1) << subtask;
  }
}

// Guards against work that is lost or repeated because the instance that carried its orders died.
TEST_F(CarrierTest, CarriersDie_WhileWorkRuns_EachSubtaskRunsOnce)
{
  StartThree();
  WarmUpCarriers();
  m_first.m_runMs = 6'000;
  m_second.m_runMs = 6'000;
  ASSERT_EQ(Submit(1, kJob, LongJob(6)).m_status, 200);
  ASSERT_TRUE(RunUntil([this] { return m_first.Running() + m_second.Running() >= 6; }));
  m_entries.erase(2);
  m_entries.erase(3);
  EXPECT_TRUE(Completes(1));
  for (int index = 0; index < 6; ++index) {
    EXPECT_EQ(Starts(index), 1) << index;
  }
}

// Guards against orders that a paused carrier sends after it resumes, when their send deadline has
// passed: each subtask starts once, and late orders are dropped.
TEST_F(CarrierTest, CarriersPaused_WithOrders_DropThemAfterResuming)
{
  constexpr Millis kPauseMs = 4'000;
  StartThree();
  WarmUpCarriers();
  RunUntil([] { return false; }, 1'500);
  m_paused = { 2, 3 };
  ASSERT_EQ(Submit(1, kJob, LongJob(6)).m_status, 200);
  RunUntil([] { return false; }, kPauseMs);
  m_paused.clear();
  EXPECT_TRUE(Completes(1));
  for (int index = 0; index < 6; ++index) {
    EXPECT_EQ(Starts(index), 1) << index;
  }
}

// Guards against a second run when the owner dies while carriers hold its orders.
TEST_F(CarrierTest, OwnerDies_OrdersCarried_AnotherOneFinishesTheJob)
{
  StartThree();
  WarmUpCarriers();
  ASSERT_EQ(Submit(2, kJob, TwoSteps()).m_status, 200);
  ASSERT_TRUE(RunUntil([this] { return Starts(0) + Starts(1) + Starts(2) > 0; }));
  m_entries.erase(1);
  EXPECT_TRUE(Completes(2));
  for (const auto& subtask : AllSubtasks()) {
    EXPECT_EQ(DoneCount(subtask), 1) << subtask;
  }
}

/// \brief The owner's carrier pool alone, against carriers that the test simulates.
class CarrierPoolTest : public ::testing::Test
{
protected:
  CarrierPoolTest()
  {
    Reason reason;
    m_pool = CarrierPool::Create(m_loop, m_address, 7, m_metrics, reason);
  }

  void SetUp() override { ASSERT_TRUE(m_pool); }

  template<typename Condition>
  bool RunUntil(Condition aCondition, Millis aLimitMs = 4'000)
  {
    const Millis end = MonotonicMs() + aLimitMs;
    while (!aCondition() && MonotonicMs() < end) {
      m_loop.run_for(std::chrono::milliseconds{ 1 });
    }
    return aCondition();
  }

  /// \brief Connects a carrier that records the batches it receives.
  void Join()
  {
    m_link = FrameLink::Dial(
      m_loop, m_address, 500,
      { [this] {
         m_link->Send(EncodeCarrierMessage(CarrierHello{ "c@1", "z1", 0.5, 11 }));
       },
        [this](std::string_view aFrame) {
          const auto message = DecodeCarrierMessage(aFrame);
          ASSERT_TRUE(message);
          if (const auto* batch = std::get_if<OrderBatch>(&*message)) {
            m_batches.push_back(*batch);
          } else if (std::get<CarrierHeartbeat>(*message).m_echoMs == 11 && !m_mute) {
            m_link->Send(EncodeCarrierMessage(CarrierHeartbeat{ 12, 0 }));
          }
        },
        [this](std::string_view /*aCause*/) { m_closed = true; } });
    ASSERT_TRUE(RunUntil([this] { return m_pool->Count() == 1 || m_mute; }));
  }

  std::uint64_t Send(Millis aTimeoutMs = 200)
  {
    CarriedOrder order;
    order.m_server = "s1";
    order.m_timeoutMs = aTimeoutMs;
    return m_pool->Send("z1", order, [this](const CarriedResult& aResult) {
      m_outcomes.push_back(aResult.m_outcome);
    });
  }

  Endpoint m_address{ "127.0.0.1", 21'492 };
  asio::io_context m_loop{ 1 };
  Metrics m_metrics;
  std::unique_ptr<CarrierPool> m_pool;
  std::shared_ptr<FrameLink> m_link;
  std::vector<OrderBatch> m_batches;
  std::vector<platform::CallOutcome> m_outcomes;
  bool m_mute{};
  bool m_closed{};
};

// Guards against sending the orders of one event loop iteration one by one, which costs a system
// call each.
TEST_F(CarrierPoolTest, Send_ManyInOneIteration_AreSentInOneBatch)
{
  Join();
  for (int i = 0; i < 50; ++i) {
    EXPECT_NE(Send(), 0U);
  }
  ASSERT_TRUE(RunUntil([this] { return !m_batches.empty(); }));
  EXPECT_EQ(m_batches.front().m_orders.size(), 50U);
  EXPECT_EQ(m_batches.front().m_token, 7U);
}

// Guards against sending a poll that was canceled: it was meant for the previous incarnation of its
// server, and so was the acknowledgement in it.
TEST_F(CarrierPoolTest, Cancel_InTheIterationOfTheOrder_OrderIsNotSent)
{
  Join();
  m_pool->Cancel(Send());
  const auto kept = Send();
  ASSERT_TRUE(RunUntil([this] { return !m_batches.empty(); }));
  ASSERT_EQ(m_batches.front().m_orders.size(), 1U);
  EXPECT_EQ(m_batches.front().m_orders.front().m_call, kept);
}

// Guards against an order that waits for a carrier when there is none; the owner sends it itself.
TEST_F(CarrierPoolTest, Send_NoCarrier_IsNotTaken)
{
  EXPECT_EQ(Send(), 0U);
}

// Guards against using a carrier before it knows the owner's clock.
TEST_F(CarrierPoolTest, Join_BeforeTheClockIsKnown_IsNotInUse)
{
  m_mute = true;
  Join();
  RunUntil([] { return false; }, 300);
  EXPECT_EQ(m_pool->Count(), 0U);
}

// Guards against orders that wait for a lost carrier: their outcome is unknown.
TEST_F(CarrierPoolTest, CarrierLost_OrdersOnTheirWay_AreUnknown)
{
  Join();
  Send(60'000);
  ASSERT_TRUE(RunUntil([this] { return !m_batches.empty(); }));
  m_link->Close();
  ASSERT_TRUE(RunUntil([this] { return !m_outcomes.empty(); }));
  EXPECT_EQ(m_outcomes.front(), platform::CallOutcome::Unknown);
  EXPECT_EQ(Send(), 0U);
}

// Guards against a carrier that keeps its servers although it is frozen or cut off.
TEST_F(CarrierPoolTest, CarrierSilent_IsRemoved_OrdersAreUnknown)
{
  Join();
  Send(60'000);
  ASSERT_TRUE(RunUntil([this] { return !m_outcomes.empty(); }, 2 * kCarrierTimeoutMs));
  EXPECT_EQ(m_outcomes.front(), platform::CallOutcome::Unknown);
  EXPECT_EQ(m_pool->Count(), 0U);
}

// Guards against counting a result that arrives after its own order timed out as the result of
// another order.
TEST_F(CarrierPoolTest, Result_AfterTheOrderTimedOut_ChangesNothing)
{
  Join();
  const auto call = Send(50);
  ASSERT_TRUE(RunUntil([this] { return m_outcomes.size() == 1; }));
  m_link->Send(
    EncodeCarrierMessage(ResultBatch{ 1, { { call, platform::CallOutcome::Done, {}, {}, {} } } }));
  RunUntil([] { return false; }, 100);
  EXPECT_EQ(m_outcomes.size(), 1U);
}

// Guards against a frame that is not a message and terminates the owner.
TEST_F(CarrierPoolTest, MalformedFrame_CarrierIsRemoved)
{
  Join();
  m_link->Send("\xc1not a message");
  ASSERT_TRUE(RunUntil([this] { return m_closed; }));
  EXPECT_EQ(m_pool->Count(), 0U);
}

} // namespace
} // namespace pistachiostand::fleet
