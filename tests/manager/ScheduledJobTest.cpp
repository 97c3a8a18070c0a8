#include "EntryInstanceFixture.h"

namespace pistachiostand::fleet {
namespace {

/// \brief A scheduled job whose occurrences overlap and need more room than the servers have.
class ScheduledJobTest : public EntryInstanceFixture
{
protected:
  static constexpr int kOccurrences = 3;
  static constexpr int kSubtasks = 40; ///< Of one occurrence; the servers have room for 16.
  static constexpr Millis kIntervalMs = 100;
  static constexpr Millis kRunMs = 800;

  ScheduledJobTest()
  {
    m_first.m_runMs = kRunMs;
    m_second.m_runMs = kRunMs;
  }

  [[nodiscard]] std::uint16_t Submit(int aInstance)
  {
    return Call(aInstance, "POST", std::string{ "/lookups/" } + kJob,
                fmt::format(R"({{"spec":"work","repeat-count":{},"interval-ms":{},)"
                            R"("start-at-ms":{},"steps":[{{"count":{},"cpu":1000,"mem-mb":100,)"
                            R"("estimated-ms":400}}]}})",
                            kOccurrences, kIntervalMs, WallMs(), kSubtasks))
      .m_status;
  }

  /// \brief Subtasks that did not end as done exactly once.
  [[nodiscard]] std::vector<std::string> SubtasksNotDoneOnce()
  {
    std::vector<std::string> found;
    for (int number = 0; number < kOccurrences * kSubtasks; ++number) {
      const auto subtask = fmt::format("{}.{}.0.{}", kJob, number / kSubtasks, number % kSubtasks);
      if (DoneCount(subtask) != 1) {
        found.push_back(subtask);
      }
    }
    return found;
  }
};

// Guards against occurrences that are lost with their owner: they were due and waited for room, and
// the next owner showed the job as completed without them (review, case 6).
TEST_F(ScheduledJobTest, OwnerDies_OccurrencesWaitForRoom_AllSubtasksRunOnce)
{
  constexpr Millis kAllDueMs = (kOccurrences - 1) * kIntervalMs + 300;
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Start(2);
  ASSERT_TRUE(IsReady(2));
  ASSERT_EQ(Submit(1), 200);
  RunUntil([] { return false; }, kAllDueMs);
  ASSERT_GT(m_first.Running(), 0U);
  m_entries.erase(1);
  EXPECT_TRUE(Completes(2));
  EXPECT_EQ(SubtasksNotDoneOnce(), std::vector<std::string>{});
}

} // namespace
} // namespace pistachiostand::fleet
