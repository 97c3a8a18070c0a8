#include "JobFixture.h"

#include "pistachiostand/job/Demand.h"

namespace pistachiostand::fleet {
namespace {

class DemandTest : public JobFixture
{
protected:
  PoolDemand Demand()
  {
    return DemandByPool({ m_jobTable,
                          m_configuration,
                          m_arrivals,
                          { { "lookup", { 64'000, 262'144, 0 } } },
                          kNow,
                          kProvisioningMs })["lookup"];
  }

  static constexpr Millis kProvisioningMs = 2'000;
  Arrivals m_arrivals;
};

// Guards against a pool with fewer instances than a long-running step must be spread over, so that
// some subtasks wait forever (regression: scenario spokecalc-south-large quiet-1: rim-refresh met
// 19 of 34 objectives).
TEST_F(DemandTest, LongRunningStepSpreadOut_AsksForAsManyInstances)
{
  StepSpec step = Step(26);
  step.m_longRunning = true;
  step.m_maxPerServer = 1;
  Add("a", { step });
  step.m_count = 25;
  step.m_maxPerServer = 2;
  Add("b", { step });
  EXPECT_EQ(Demand().m_minSpreadInstances, 26U);
}

// Guards against extra instances for long-running subtasks that may share one.
TEST_F(DemandTest, LongRunningStepWithoutLimit_AsksForItsResourcesOnly)
{
  StepSpec step = Step(32);
  step.m_longRunning = true;
  Add("a", { step });
  EXPECT_EQ(Demand().m_minSpreadInstances, 0U);
  EXPECT_NEAR(Demand().m_longRunning, 0.5, 0.01);
}

// Guards against instances that arrive too late for the start of a burst, because they are ordered
// for waiting work only and not for work that is still arriving (regression: scenario
// spokecalc-south-large quiet-1: 160 instances were wanted only 2 s into a burst that needed 165
// from its start).
TEST_F(DemandTest, BurstBegins_AsksForWhatArrives)
{
  constexpr double kJobsPerS = 140;
  constexpr Millis kSeenMs = 400;
  constexpr int kJobs = static_cast<int>(kJobsPerS * kSeenMs / 1'000);
  for (int i = 0; i < kJobs; ++i) {
    const JobId id = "job-" + std::to_string(i);
    Add(id, { Step(8, 9'000, 1'000) });
    RecordArrival(m_arrivals, m_jobTable.m_jobs.at(id), kNow - kSeenMs + 1 + i * kSeenMs / kJobs);
  }
  const double busy = kJobsPerS * 8 * 9.0 / 64;
  EXPECT_NEAR(UrgentInstances(Demand()), busy, busy / 20);
}

// Guards against ordering instances for jobs that cannot wait until they are usable.
TEST_F(DemandTest, JobThatCannotWaitForAnInstance_AsksForNone)
{
  Add("a", { Step(8, 64'000, 1'000) }); // May wait for 1.1 s.
  EXPECT_EQ(UrgentInstances(Demand()), 0);
  Run({ "a", 0, 0, 0 }, "s1");
  EXPECT_GT(UrgentInstances(Demand()), 4);
}

// Guards against instances for work that the quota of its account holds back, and against a quota
// that reduces the demand of others: 64 of 640 cores may run, and another account needs 32.
TEST_F(DemandTest, WorkBeyondTheQuota_AsksForNoInstances)
{
  Account account;
  account.m_name = "hot";
  account.m_maxRunning = { 64'000, 0, 0 };
  m_configuration.m_accounts.emplace("hot", account);
  const auto add = [&](const JobId& aId, const AccountName& aAccount, std::uint32_t aCount,
                       Millis aAgeMs) {
    auto spec = Spec(aId, { Step(aCount) });
    spec.m_account = aAccount;
    ASSERT_TRUE(AddJob(m_jobTable, std::move(spec), kNow, aAgeMs));
    m_jobTable.m_jobs.at(aId).m_begun = true;
  };
  add("a", "hot", 320, 0);
  add("b", "hot", 320, 0);
  add("late", "hot", 640, 60'000);
  EXPECT_NEAR(Demand().m_runnable, 1, 0.01);
  EXPECT_NEAR(UrgentInstances(Demand()), 1, 0.01);
  EXPECT_NEAR(LateInstances(Demand()), 0, 0.01);
  add("c", "other", 32, 0);
  EXPECT_NEAR(Demand().m_runnable, 1.5, 0.01);
  m_configuration.m_accounts.clear();
  EXPECT_NEAR(Demand().m_runnable, 10.5, 0.01);
}

} // namespace
} // namespace pistachiostand::fleet
