#include "../standins/PreparedInstances.h"
#include "EntryInstanceFixture.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/job/JobCodec.h"

#include <fmt/format.h>

#include <map>
#include <string>
#include <vector>

namespace pistachiostand::fleet {
namespace {

/// \brief A queue whose burst begins when the store becomes unreachable, and a pool whose instances
/// are busy until then.
class StoreOutageTest : public EntryInstanceFixture
{
protected:
  static constexpr std::size_t kBuilders = 5;
  static constexpr Millis kBuildMs = 1'500; ///< Runs end during the outage.
  static constexpr Millis kOutageMs = 3'000;

  StoreOutageTest()
    : m_instances(m_loop, At(9))
  {
    m_store.Put("keyed.op", "config", ThreePools());
    m_instances.Add("i1", "lookup", "s1");
    m_instances.Add("i2", "lookup", "s2");
    for (std::size_t number = 0; number < kBuilders; ++number) {
      const std::string id = fmt::format("b{}", number);
      m_builders.push_back(std::make_unique<standin::PreparedServer>(
        m_loop, At(60 + static_cast<int>(number)), kBuildMs));
      m_store.Put("keyed.servers", id, m_builders.back()->Entry("build"));
      m_instances.Add(fmt::format("m{}", number), "build", id);
    }
  }

  void SetUp() override
  {
    EntryInstanceFixture::SetUp();
    Start(1);
    ASSERT_TRUE(IsReady(1));
  }

  static std::string ThreePools()
  {
    auto configuration = nlohmann::json::parse(Configuration(2, "/lookups/"));
    auto builds = configuration["routes"][0];
    builds["name"] = "builds";
    builds["path-prefix"] = "/builds/";
    builds["upstream"] = "build";
    configuration["routes"].push_back(builds);
    configuration["upstreams"].push_back({ { "name", "build" }, { "admission-check", true } });
    configuration["upstreams"].push_back({ { "name", "spare" }, { "spare", true } });
    return configuration.dump();
  }

  ClientResponse Submit(const std::string& aPrefix, int aJob, const std::string& aSteps)
  {
    return Call(1, "POST", fmt::format("{}{:016x}", aPrefix, aJob),
                R"({"spec":"w","steps":[)" + aSteps + "]}");
  }

  /// \brief Occupies each instance of the other pool with one run.
  void KeepBuildersBusy()
  {
    ASSERT_EQ(
      Submit("/builds/", 1, R"({"count":5,"cpu":8000,"mem-mb":100,"estimated-ms":1500})").m_status,
      200);
    ASSERT_TRUE(RunUntil([this] {
      return std::ranges::all_of(m_builders,
                                 [](const auto& aServer) { return aServer->Running() != 0; });
    }));
  }

  /// \brief Submits jobs to the queue at a rate for which its pool lacks instances.
  void SubmitFor(Millis aForMs)
  {
    constexpr Millis kEveryMs = 25;
    for (const Millis end = MonotonicMs() + aForMs; MonotonicMs() < end;) {
      m_client->Send(Request(1, "POST", fmt::format("/lookups/{:016x}", 100 + m_jobs++),
                             R"({"spec":"w","steps":[)"
                             R"({"count":2,"cpu":2000,"mem-mb":100,"estimated-ms":400}]})"),
                     [](const ClientResponse&) {});
      RunUntil([] { return false; }, kEveryMs);
    }
  }

  /// \brief A job of one step with one subtask.
  static JobSpec OneSubtask(const JobId& aId)
  {
    JobSpec spec;
    spec.m_id = aId;
    spec.m_queue = "r";
    spec.m_pool = "lookup";
    spec.m_payload = "w";
    spec.m_acceptedMs = WallMs();
    spec.m_steps.emplace_back();
    spec.m_steps.back().m_need = { 1'000, 100, 0 };
    spec.m_steps.back().m_estimateMs = 400;
    return spec;
  }

  /// \brief Stores a job as another entry instance does.
  void StoreJob(const std::string& aLog, const JobSpec& aSpec)
  {
    m_store.Put(aLog, std::string{ kSubmissionPrefix } + aSpec.m_id, EncodeSubmission(aSpec));
  }

  standin::PreparedInstances m_instances;
  std::vector<std::unique_ptr<standin::PreparedServer>> m_builders;
  int m_jobs{};
};

// Guards against moving idle instances away during a queue's burst, because after an outage of the
// store the owner plans before it has read the submissions of the callers.
TEST_F(StoreOutageTest, StoreRecoversDuringABurst_IdleInstancesGoToItsQueueAndNotToTheSparePool)
{
  constexpr Millis kBeforeMs = 500;
  constexpr Millis kPlansMs = 600;
  constexpr std::ptrdiff_t kIdle = kBuilders - 2; // The other pool keeps two.
  KeepBuildersBusy();
  SubmitFor(kBeforeMs);
  m_store.m_down = true;
  SubmitFor(kOutageMs);
  m_instances.m_arrivals.clear();
  m_store.m_down = false;
  SubmitFor(kPlansMs);
  std::vector<std::string> pools;
  std::ranges::transform(m_instances.m_arrivals, std::back_inserter(pools),
                         &standin::PreparedInstances::Arrival::m_pool);
  EXPECT_EQ(std::ranges::count(pools, "lookup"), kIdle);
  EXPECT_EQ(std::ranges::count(pools, "spare"), 0);
}

// Guards against jobs that wait for the retry pause of one partition's reader, up to half a second,
// after the store has answered the others.
TEST_F(StoreOutageTest, StoreRecovers_SubmissionsOfAllPartitionsAreReadAtOnce)
{
  constexpr Millis kAtOnceMs = 300; // The next renewal, a record, and a start.
  m_store.m_down = true;
  RunUntil([] { return false; }, kOutageMs);
  int job = 0;
  for (const auto& log : SubmissionLogs()) {
    StoreJob(log, OneSubtask(fmt::format("{:016x}", ++job)));
  }
  m_store.m_down = false;
  const auto started = [&] { return m_first.m_starts.size() + m_second.m_starts.size(); };
  EXPECT_TRUE(RunUntil([&] { return started() == SubmissionLogs().size(); }, kAtOnceMs))
    << started();
}

/// \brief A pool that lacks more instances than may be ordered in a second.
class OrderRateTest : public StoreOutageTest
{
protected:
  static constexpr std::size_t kSpare = 12;
  static constexpr std::size_t kOrders = 10; ///< Per second.

  OrderRateTest()
  {
    m_instanceOrdersPerS = 12; // The rest is reserved for repeated orders.
    for (std::size_t number = 0; number < kSpare; ++number) {
      m_instances.Add(fmt::format("n{:02}", number), "spare", "");
    }
  }

  void CauseInstanceShortage()
  {
    RunUntil([] { return false; }, 300); // All servers have been polled.
    ASSERT_EQ(
      Submit("/lookups/", 1,
             R"({"count":40,"cpu":4000,"mem-mb":1,"estimated-ms":9000,"long-running":true})")
        .m_status,
      200);
    ASSERT_TRUE(RunUntil([this] { return !m_instances.m_arrivals.empty(); }, 2'000));
  }
};

// Guards against ordering instances one by one in each plan while callers wait for all of them.
TEST_F(OrderRateTest, PoolLacksMany_OrdersOfASecondAreSentAtOnce)
{
  CauseInstanceShortage();
  RunUntil([] { return false; }, 100);
  EXPECT_EQ(m_instances.m_arrivals.size(), kOrders);
  RunUntil([] { return false; }, 700);
  EXPECT_EQ(m_instances.m_arrivals.size(), kOrders);
}

// Guards against new work on an idle instance whose move waits for the rate limit of orders: the
// pool that lacks the instance would wait for that work too.
TEST_F(OrderRateTest, MoveWaitsForTheRateLimit_InstanceGetsNoNewWork)
{
  constexpr std::ptrdiff_t kKept = 2; // Instances that the pool keeps.
  CauseInstanceShortage();
  constexpr Millis kLateMs = 60'000;
  JobSpec late = OneSubtask(fmt::format("{:016x}", 2));
  late.m_queue = "builds";
  late.m_pool = "build";
  late.m_acceptedMs -= kLateMs;
  late.m_steps.back().m_count = kBuilders;
  late.m_steps.back().m_need.m_cpuMillis = 8'000;
  StoreJob("keyed.jobs", late);
  RunUntil([] { return false; }, 300);
  EXPECT_LE(
    std::ranges::count_if(m_builders, [](const auto& aServer) { return aServer->Running() != 0; }),
    kKept);
}

/// \brief Callers at an instance that does not own the fleet, while connections to the store break.
class BrokenStoreTest : public StoreOutageTest
{
protected:
  static constexpr std::size_t kJobs = 12;

  void SetUp() override
  {
    StoreOutageTest::SetUp();
    Start(2);
    ASSERT_TRUE(IsReady(2));
    m_store.m_breakAppends = true;
    for (std::size_t job = 0; job < kJobs; ++job) {
      const std::string id = fmt::format("{:016x}", 1 + job);
      m_client->Send(
        Request(2, "POST", "/lookups/" + id,
                R"({"spec":"w","steps":[{"count":1,"cpu":1000,"mem-mb":100,"estimated-ms":400}]})"),
        [this, id](const ClientResponse& aResponse) { m_statuses[id] = aResponse.m_status; });
      RunUntil([] { return false; }, 50);
    }
  }

  [[nodiscard]] std::ptrdiff_t Answered(std::uint16_t aStatus) const
  {
    return std::ranges::count(m_statuses, aStatus,
                              &std::map<std::string, std::uint16_t>::value_type::second);
  }

  std::map<std::string, std::uint16_t> m_statuses; ///< Status by job.
};

// Guards against telling callers that their job may run although its record was never sent: the
// owner, which stores for instances that consider the store degraded, responded so for all records
// that it had not tried.
TEST_F(BrokenStoreTest, JobsThroughTheOwner_AreRefusedAndNeverRun)
{
  // Each of the two writers tries at most twice: once before the callers' timeout, once after.
  constexpr std::ptrdiff_t kTried = 4;
  ASSERT_TRUE(RunUntil([this] { return m_statuses.size() == kJobs; }, 4'000));
  EXPECT_LE(Answered(504), kTried);
  m_store.m_breakAppends = false;
  RunUntil([] { return false; }, 1'500);
  for (const auto& [id, status] : m_statuses) {
    const bool ran =
      m_first.m_starts.contains(id + ".0.0.0") || m_second.m_starts.contains(id + ".0.0.0");
    EXPECT_FALSE(status == 503 && ran) << id;
  }
}

// Guards against refusing callers although the store recovers before their timeout, because the
// owner drops the records of other instances sooner.
TEST_F(BrokenStoreTest, StoreRecoversBeforeTheCallersTimeOut_AllJobsAreStored)
{
  // After 0.6 s of submissions; the owner drops records after 1.8 s.
  constexpr Millis kUntilBackMs = 1'700;
  RunUntil([] { return false; }, kUntilBackMs);
  m_store.m_breakAppends = false;
  ASSERT_TRUE(RunUntil([this] { return m_statuses.size() == kJobs; }, 1'000));
  EXPECT_EQ(Answered(200), static_cast<std::ptrdiff_t>(kJobs));
}

} // namespace
} // namespace pistachiostand::fleet
