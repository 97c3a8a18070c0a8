#include "EntryInstanceFixture.h"

namespace pistachiostand::fleet {
namespace {

/// \brief A store with a low limit on records, and a job whose progress exceeds it.
class RecordLimitTest : public EntryInstanceFixture
{
protected:
  static constexpr std::size_t kMaxRecordBytes = 4'096;
  static constexpr int kWideSubtasks = 300;
  static constexpr const char* kWideJob = "00000000000000ff";

  RecordLimitTest() { m_store.m_maxRecordBytes = kMaxRecordBytes; }

  static std::string WideJob()
  {
    return fmt::format(
      R"({{"spec":"work","steps":[{{"count":{},"cpu":20,"mem-mb":16,"estimated-ms":400}}]}})",
      kWideSubtasks);
  }

  std::string StateOfWideJob(int aInstance)
  {
    const auto response = Call(aInstance, "GET", std::string{ "/lookups/" } + kWideJob);
    const auto body = nlohmann::json::parse(response.m_body, nullptr, false);
    return body.is_object() ? body.value("state", "") : "";
  }

  bool WideJobCompletes(int aInstance)
  {
    return RunUntil([&] { return StateOfWideJob(aInstance) == "completed"; }, 20'000);
  }

  std::uint16_t SubmitWideJob(int aInstance)
  {
    return Call(aInstance, "POST", std::string{ "/lookups/" } + kWideJob, WideJob()).m_status;
  }

  /// \brief Subtasks of the wide job that did not end as done exactly once.
  [[nodiscard]] std::vector<std::string> SubtasksNotDoneOnce()
  {
    std::vector<std::string> found;
    for (int index = 0; index < kWideSubtasks; ++index) {
      const std::string subtask = fmt::format("{}.0.0.{}", kWideJob, index);
      if (DoneCount(subtask) != 1) {
        found.push_back(subtask);
      }
    }
    return found;
  }
};

// Guards against a wide job that stops the whole fleet: its progress was one record, which exceeded
// the limit of the store, and the append with it was refused and repeated forever (review, case 1).
TEST_F(RecordLimitTest, WideJob_AndAnOrdinaryOneAfterIt_BothComplete)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  ASSERT_EQ(SubmitWideJob(1), 200);
  ASSERT_TRUE(RunUntil([this] { return m_first.Running() + m_second.Running() > 0; }, 2'000));
  ASSERT_EQ(Call(1, "POST", std::string{ "/lookups/" } + kJob, TwoSteps()).m_status, 200);
  EXPECT_TRUE(Completes(1));
  EXPECT_TRUE(WideJobCompletes(1));
  EXPECT_EQ(SubtasksNotDoneOnce(), std::vector<std::string>{});
}

// Guards against a second run of work whose record is not the first one of its job.
TEST_F(RecordLimitTest, OwnerDies_WhileAWideJobRuns_EachSubtaskRunsOnce)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Start(2);
  ASSERT_TRUE(IsReady(2));
  ASSERT_EQ(SubmitWideJob(1), 200);
  ASSERT_TRUE(RunUntil(
    [this] { return m_first.Running() + m_second.Running() > kWideSubtasks / 10; }, 2'000));
  m_entries.erase(1);
  EXPECT_TRUE(WideJobCompletes(2));
  EXPECT_EQ(SubtasksNotDoneOnce(), std::vector<std::string>{});
}

// Guards against a submission that the store can never take: it was repeated until its caller gave
// up, and the submissions in the same appends were refused with it.
TEST_F(RecordLimitTest, SubmissionBeyondTheLargestRecord_IsRefusedAtOnceAndOthersAreStored)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  std::string steps = R"({"count":1})";
  for (int step = 1; step < 256; ++step) {
    steps += fmt::format(R"(,{{"count":1,"image":"{}"}})", std::string(1'004, 'i'));
  }
  const std::string large = R"({"spec":"work","steps":[)" + steps + "]}";
  ASSERT_LT(large.size(), 262'144U); // The largest body that the configuration permits.
  m_store.m_maxRecordBytes = 262'144;
  const Millis before = MonotonicMs();
  EXPECT_EQ(Call(1, "POST", std::string{ "/lookups/" } + kWideJob, large).m_status, 413);
  EXPECT_LT(MonotonicMs() - before, 400);
  EXPECT_EQ(Call(1, "POST", std::string{ "/lookups/" } + kJob, TwoSteps()).m_status, 200);
}

} // namespace
} // namespace pistachiostand::fleet
