#include "../standins/AdviceService.h"
#include "EntryInstanceFixture.h"

namespace pistachiostand::fleet {
namespace {

/// \brief A job whose queue is removed from the configuration while it runs.
class RemovedRouteTest : public EntryInstanceFixture
{
protected:
  static std::string WithoutRoutes(int aRevision)
  {
    auto configuration = nlohmann::json::parse(Configuration(aRevision, "/lookups/"));
    configuration["routes"] = nlohmann::json::array();
    return configuration.dump();
  }

  bool IsRemoved()
  {
    return RunUntil([this] { return Call(1, "GET", "/lookups/").m_status == 404; }, 3'000);
  }

  bool Submit() { return Call(1, "POST", JobPath(), OneStep()).m_status == 200; }

  static std::string JobPath() { return std::string{ "/lookups/" } + kJob; }

  static std::string OneStep()
  {
    return R"({"spec":"work","steps":[{"count":1,"cpu":100,"mem-mb":10,"estimated-ms":400}]})";
  }

  /// \brief True when a subtask of the job is running.
  bool Runs()
  {
    return RunUntil([this] { return m_first.Running() + m_second.Running() > 0; }, 3'000);
  }
};

// Guards against a job that fails for good after one failed run because its queue was removed while
// it ran; the queue permits two, and is restored (review, case 3).
TEST_F(RemovedRouteTest, RunFailsWhileTheQueueIsRemoved_JobIsRunAgain)
{
  m_first.m_failRuns = 1;
  m_second.m_failRuns = 1;
  m_first.m_runMs = m_second.m_runMs = 1'500;
  Start(1);
  ASSERT_TRUE(IsReady(1));
  ASSERT_TRUE(Submit());
  ASSERT_TRUE(Runs());
  m_store.Put("keyed.op", "config", WithoutRoutes(2));
  ASSERT_TRUE(IsRemoved());
  ASSERT_TRUE(RunUntil([this] { return m_first.m_failRuns + m_second.m_failRuns < 2; }, 5'000));
  m_first.m_failRuns = m_second.m_failRuns = 0;
  RunUntil([] { return false; }, 300);
  m_store.Put("keyed.op", "config", Configuration(3, "/lookups/"));
  EXPECT_TRUE(Completes(1));
}

// Guards against a job that never starts again because its queue, which requires tickets, was
// removed: its starts carried none and were refused.
TEST_F(RemovedRouteTest, QueueWithAdviceIsRemoved_JobIsStartedWithATicket)
{
  standin::AdviceService service{ m_loop, At(8), 100 };
  m_advice = At(8);
  auto configuration = nlohmann::json::parse(Configuration(2, "/lookups/"));
  configuration["routes"][0]["advice"] = { { "decision-ms", 100 },
                                           { "per-worker-ms", 0 },
                                           { "valid-ms", standin::AdviceService::kValidMs } };
  m_store.Put("keyed.op", "config", configuration.dump());
  Start(1);
  ASSERT_TRUE(IsReady(1));
  service.m_failCalls = 1'000;
  ASSERT_TRUE(Submit());
  m_store.Put("keyed.op", "config", WithoutRoutes(3));
  ASSERT_TRUE(IsRemoved());
  service.m_failCalls = 0;
  const int before = service.m_calls;
  ASSERT_TRUE(Runs());
  EXPECT_GT(service.m_calls, before);
}

} // namespace
} // namespace pistachiostand::fleet
