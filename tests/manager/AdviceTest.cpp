#include "../standins/AdviceService.h"
#include "EntryInstanceFixture.h"

namespace pistachiostand::fleet {
namespace {

/// \brief A queue whose steps need tickets of the placement service.
class AdviceTest : public EntryInstanceFixture
{
protected:
  static constexpr Millis kDecisionMs = 580;
  static constexpr Millis kPerServerMs = 10;
  static constexpr Millis kCallMs = kDecisionMs + 2 * kPerServerMs;
  static constexpr int kJobs = 8;

  AdviceTest()
    : m_service(m_loop, At(8), kCallMs)
  {
    m_advice = At(8);
    auto configuration = nlohmann::json::parse(Configuration(2, "/lookups/"));
    configuration["routes"][0]["advice"] = { { "decision-ms", kDecisionMs },
                                             { "per-worker-ms", kPerServerMs },
                                             { "valid-ms", standin::AdviceService::kValidMs } };
    m_store.Put("keyed.op", "config", configuration.dump());
  }

  static std::string JobPath(int aNumber) { return fmt::format("/lookups/{:016x}", aNumber); }

  bool IsCompleted(int aNumber)
  {
    const auto response = Call(1, "GET", JobPath(aNumber));
    return response.m_body.find("completed") != std::string::npos;
  }

  bool CompletesWithin(int aNumber, Millis aLimitMs)
  {
    return RunUntil([&] { return IsCompleted(aNumber); }, aLimitMs);
  }

  bool Submit(int aNumber) { return Call(1, "POST", JobPath(aNumber), OneStep()).m_status == 200; }

  static std::string OneStep()
  {
    return R"({"spec":"work","steps":[{"count":2,"cpu":100,"mem-mb":10,"estimated-ms":400}]})";
  }

  standin::AdviceService m_service;
};

// Guards against jobs that never start after a burst: the calls for advice waited in the line of
// the service for longer than their timeouts, and were repeated behind the given-up ones (review,
// case 2).
TEST_F(AdviceTest, JobsComeAtOnce_AllComplete)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  for (int number = 1; number <= kJobs; ++number) {
    ASSERT_TRUE(Submit(number));
  }
  RunUntil([] { return false; }, kJobs * kCallMs + 2'000);
  for (int number = 1; number <= kJobs; ++number) {
    EXPECT_TRUE(IsCompleted(number)) << number;
  }
  EXPECT_LE(m_service.m_calls, kJobs);
}

// Guards against the same line of given-up calls when the service is slower than configured.
TEST_F(AdviceTest, ServiceSlowerThanConfigured_JobsComplete)
{
  constexpr Millis kSlowCallMs = 4 * kCallMs;
  m_service.m_callMs = kSlowCallMs;
  Start(1);
  ASSERT_TRUE(IsReady(1));
  for (int number = 1; number <= 3; ++number) {
    ASSERT_TRUE(Submit(number));
  }
  for (int number = 1; number <= 3; ++number) {
    EXPECT_TRUE(CompletesWithin(number, 6 * kSlowCallMs)) << number;
  }
}

// Guards against a step whose calls fail and which keeps the others from being asked for.
TEST_F(AdviceTest, FirstCallsFail_JobsComplete)
{
  m_service.m_failCalls = 3;
  Start(1);
  ASSERT_TRUE(IsReady(1));
  ASSERT_TRUE(Submit(1));
  ASSERT_TRUE(Submit(2));
  EXPECT_TRUE(CompletesWithin(1, 8 * kCallMs));
  EXPECT_TRUE(CompletesWithin(2, 8 * kCallMs));
}

} // namespace
} // namespace pistachiostand::fleet
