#include "../standins/SilentRelay.h"
#include "EntryInstanceFixture.h"

#include "platform/Topics.h"

namespace pistachiostand::fleet {
namespace {

/// \brief Entry 1 reaches the store directly, entry 2 through a relay. Two accounts, and one queue
/// without keys.
class AccountTest : public EntryInstanceFixture
{
protected:
  AccountTest()
    : m_relay(m_loop, At(8), At(0))
  {
    m_access = { true, true, 5'000 };
    Publish(2, { "key-1", "key-2" });
  }

  void SetUp() override
  {
    EntryInstanceFixture::SetUp();
    Start(1);
    ASSERT_TRUE(RunUntil([this] { return Status(1, "GET", "/lookups/", "key-1") == 200; }));
    m_storeAddress = At(8);
    Start(2);
    ASSERT_TRUE(RunUntil([this] { return Status(2, "GET", "/lookups/", "key-1") == 200; }));
  }

  /// \brief Publishes a configuration in which the account tupelo has these keys.
  void Publish(int aRevision, const std::vector<std::string>& aKeys)
  {
    auto configuration = nlohmann::json::parse(Configuration(aRevision, "/lookups/"));
    auto open = configuration["routes"][0];
    open["name"] = "open";
    open["path-prefix"] = "/open/";
    open["public"] = true;
    configuration["routes"].push_back(open);
    configuration["tenants"] = { { { "name", "tupelo" }, { "api-keys", aKeys } },
                                 { { "name", "macon" }, { "api-keys", { "key-3" } } } };
    m_store.Put("keyed.op", "config", configuration.dump());
  }

  ClientResponse Send(int aInstance, const std::string& aMethod, const std::string& aPath,
                      const std::string& aKey, const std::string& aBody = {})
  {
    auto request = Request(aInstance, aMethod, aPath, aBody);
    if (!aKey.empty()) {
      request.m_headers.emplace(platform::kAccountKeyHeader, aKey);
    }
    return Call(std::move(request));
  }

  std::uint16_t Status(int aInstance, const std::string& aMethod, const std::string& aPath,
                       const std::string& aKey, const std::string& aBody = {})
  {
    return Send(aInstance, aMethod, aPath, aKey, aBody).m_status;
  }

  std::uint16_t Submit(int aInstance, const std::string& aKey)
  {
    return Status(aInstance, "POST", JobPath(), aKey, TwoSteps());
  }

  static std::string JobPath() { return std::string{ "/lookups/" } + kJob; }

  bool IsInRotation(int aNumber)
  {
    ClientRequest request;
    request.m_url = "http://" + pistachiostand::ToString(At(10 * aNumber + 1)) +
                    std::string{ platform::kReadyPath };
    request.m_timeoutMs = 1'000;
    return Call(std::move(request)).m_status == 200;
  }

  standin::SilentRelay m_relay;
};

// Guards against jobs of callers without a valid key, and against refusing those of a public queue.
TEST_F(AccountTest, Key_UnknownOrMissing_GetsStatus401AndTheJobIsNotKnown)
{
  EXPECT_EQ(Submit(1, "key-9"), 401);
  EXPECT_EQ(Submit(1, ""), 401);
  EXPECT_EQ(Status(1, "GET", JobPath(), ""), 401);
  EXPECT_EQ(Status(1, "DELETE", JobPath(), "key-9"), 401);
  EXPECT_TRUE(RunUntil([this] { return Status(1, "GET", JobPath(), "key-1") == 410; }));
  EXPECT_EQ(Status(1, "POST", std::string{ "/open/" } + kJob, "", TwoSteps()), 200);
}

// Guards against keys that keep working, or are not accepted again, after a change.
TEST_F(AccountTest, Key_RemovedAndAddedAgain_IsRejectedThenAccepted)
{
  Publish(3, { "key-2" });
  EXPECT_TRUE(RunUntil([this] { return Status(1, "GET", "/lookups/", "key-1") == 401; }, 3'000));
  EXPECT_EQ(Status(1, "GET", "/lookups/", "key-2"), 200);
  Publish(4, { "key-1", "key-2" });
  EXPECT_TRUE(RunUntil([this] { return Status(1, "GET", "/lookups/", "key-1") == 200; }, 3'000));
}

// Guards against a withdrawn key that an instance without the store goes on accepting: its owner
// would still store the jobs for it.
TEST_F(AccountTest, InstanceCutFromTheStore_KeyRemoved_RefusesAndLeavesTheRotation)
{
  ASSERT_TRUE(RunUntil([this] { return IsInRotation(2); }));
  m_relay.m_cut = true;
  m_relay.Silence();
  Publish(3, { "key-2" });
  EXPECT_TRUE(RunUntil([this] { return Submit(2, "key-1") == 503; }, 5'000));
  const auto refused = Send(2, "POST", JobPath(), "key-2", TwoSteps());
  EXPECT_EQ(refused.m_status, 503);
  EXPECT_NE(FindHeader(refused.m_headers, "retry-after"), "");
  EXPECT_FALSE(IsInRotation(2));
}

// Guards against a paused instance that accepts a key which was withdrawn during the pause.
TEST_F(AccountTest, InstancePaused_KeyRemoved_RejectsTheFirstRequestAfterwards)
{
  m_paused.insert(2);
  Publish(3, { "key-2" });
  RunUntil([] { return false; }, 3'200);
  m_paused.clear();
  const auto status = Submit(2, "key-1");
  EXPECT_TRUE(status == 503 || status == 401) << status;
}

// Guards against callers without a key that see a private job for as long as its instance remembers
// that it has accepted it.
TEST_F(AccountTest, PrivateJobJustAccepted_CallerOfAPublicQueue_DoesNotSeeIt)
{
  ASSERT_EQ(Submit(1, "key-1"), 200);
  EXPECT_NE(Status(1, "GET", std::string{ "/open/" } + kJob, ""), 200);
}

// Guards against a cancellation by another account that blocks the job id for its owner.
TEST_F(AccountTest, CancelledByAnotherAccountBefore_Submission_IsAcceptedAndCompletes)
{
  Status(1, "DELETE", JobPath(), "key-3");
  ASSERT_EQ(Submit(1, "key-1"), 200);
  EXPECT_TRUE(RunUntil(
    [this] {
      return Send(1, "GET", JobPath(), "key-1").m_body.find("completed") != std::string::npos;
    },
    20'000));
}

// Guards against callers that read or cancel the jobs of another account.
TEST_F(AccountTest, JobOfAnotherAccount_StateAndCancel_HaveNoEffect)
{
  ASSERT_EQ(Submit(1, "key-1"), 200);
  ASSERT_TRUE(RunUntil([this] { return Status(1, "GET", JobPath(), "key-2") == 200; }));
  EXPECT_EQ(Status(1, "GET", JobPath(), "key-3"), 410);
  EXPECT_EQ(Status(2, "GET", JobPath(), "key-3"), 410);
  Status(2, "DELETE", JobPath(), "key-3");
  EXPECT_TRUE(RunUntil(
    [this] {
      return Send(2, "GET", JobPath(), "key-1").m_body.find("completed") != std::string::npos;
    },
    20'000));
}

// Guards against a gang that is accepted although its account may never run it, and against a
// refusal of a gang, or of a wide step, that may run.
TEST_F(AccountTest, GangWiderThanTheQuota_IsRefusedWithTheReason)
{
  auto configuration = nlohmann::json::parse(*m_store.Value("keyed.op", "config"));
  configuration["version"] = 3;
  configuration["tenants"][0]["max-count"] = { { "cpu", 4'000 } };
  m_store.Put("keyed.op", "config", configuration.dump());
  const auto body = [](int aCount, bool aGang) {
    auto job = nlohmann::json::parse(TwoSteps());
    job["steps"][0]["count"] = aCount;
    job["steps"][0]["gang"] = aGang;
    job["steps"][0]["cpu"] = 1'000;
    return job.dump();
  };
  // An earlier configuration may still accept the first ones, each of which has an id of its own.
  int tries = 0;
  ASSERT_TRUE(RunUntil([&] {
    const auto path = fmt::format("/lookups/{:016x}", 0xe0 + tries++);
    return Status(1, "POST", path, "key-1", body(6, true)) == 400;
  }));
  EXPECT_NE(Send(1, "POST", JobPath(), "key-1", body(6, true)).m_body.find("gang"),
            std::string::npos);
  EXPECT_EQ(Status(1, "POST", JobPath(), "key-1", body(5, true)), 200);
  EXPECT_EQ(Status(1, "POST", "/lookups/00000000000000f1", "key-1", body(40, false)), 200);
  EXPECT_EQ(Status(1, "POST", "/lookups/00000000000000f2", "key-3", body(40, true)), 200);
}

} // namespace
} // namespace pistachiostand::fleet
