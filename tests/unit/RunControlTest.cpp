#include "OwnerFixture.h"

namespace pistachiostand::fleet {
namespace {

class RunControlTest : public OwnerFixture
{
protected:
  RunControlTest()
    : m_committer(m_state, [](const CommitBatch& /*aBatch*/) {})
    , m_runs(m_state, m_committer, [] {})
  {
  }

  Committer m_committer;
  RunControl m_runs;
};

// Guards against a run that begins although its subtask is done: the end of an earlier run, given
// up before, came while the record of the planned one was being stored.
TEST_F(RunControlTest, SubtaskDoneWhileTheRecordIsStored_PlannedRun_IsNotSent)
{
  PlanRun(m_state.m_book, m_subtask, "s1", 2, MonotonicMs());
  ASSERT_TRUE(ApplyEnd(m_state.m_book, { m_subtask, 1, EndKind::Done, {} }, 1, MonotonicMs()));
  CommitBatch batch;
  batch.m_planned.push_back({ m_subtask, 2, "s1" });
  m_runs.OnStored(batch);
  EXPECT_TRUE(m_client.Find("/run-start").empty());
}

} // namespace
} // namespace pistachiostand::fleet
