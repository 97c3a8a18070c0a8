#include "Deployment.h"

namespace pistachiostand::testing {
namespace {

constexpr auto kRules =
  R"(pool.lookups = { instances = 3, min_available = 1, spread = "zone", task_control = "full" } # Ann Lee: counter lookups
pool.batches = { instances = 2, min_available = 1, task_control = "full" } # Ann Lee: wheel-build batches
pool.admin = { instances = 1, spare = true } # Ann Lee: shop admin is the spare pool
service.lookups = { pool = "lookups", class = "urgent", idempotent = true, timeout_ms = 5000 } # Ann Lee: customer waits
service.batches = { pool = "batches", class = "batch", idempotent = false, timeout_ms = 10000 } # Ann Lee: billed once
tenant.tupelo = { share = 2, max_queued = 64 } # Bo Cruz: larger contract
)";

class RequestPathTest : public Deployment
{
protected:
  void SetUp() override
  {
    StartPlatform({ "--reboot-ms=50" });
    const std::vector<std::string> pools{ "lookups", "lookups", "lookups",
                                          "batches", "batches", "admin" };
    for (std::size_t i = 0; i < pools.size(); ++i) {
      const auto zone = "z" + std::to_string(i % 3 + 1);
      StartBackend({ "b" + std::to_string(i + 1), zone, "rack-" + zone, pools[i] });
    }
    StartEntries({ "z1", "z2", "z3" });
    PublishRules(0, { kRules });
    WaitUntilReady();
    WaitForRevision(1);
    WaitUntilServing();
  }

  /// Waits until a lookup through every entry instance succeeds, which requires that the backend
  /// servers have joined.
  void WaitUntilServing()
  {
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      WaitUntil("a lookup through " + m_entries[entry].m_id, [&] {
        return Call(entry, { "lookups", "tupelo", "probe" }).m_status == 200;
      });
    }
  }
};

// Guards against an entry instance that returns a partial response or that of another request
// (invariant I3: a caller gets only the whole response to its own request).
TEST_F(RequestPathTest, Request_ThroughEachEntry_ReturnsItsOwnWholeResponse)
{
  std::vector<std::future<HttpResponse>> calls;
  std::vector<std::string> bodies;
  constexpr std::size_t kCalls = 30;
  for (std::size_t i = 0; i < kCalls; ++i) {
    bodies.push_back(std::string(1'000 + i * 100, static_cast<char>('a' + i % 26)));
    calls.push_back(CallAsync(
      i % m_entries.size(),
      { "lookups", "tupelo", bodies[i], {}, { { "X-Request-Id", "own-" + std::to_string(i) } } }));
  }
  for (std::size_t i = 0; i < kCalls; ++i) {
    const auto response = calls[i].get();
    EXPECT_EQ(response.m_status, 200) << response.m_body;
    EXPECT_EQ(response.Header("x-outcome"), "completed");
    EXPECT_EQ(response.Field("body"), bodies[i]);
    EXPECT_EQ(response.Field("tenant"), "tupelo");
    EXPECT_EQ(response.Field("pool"), "lookups");
  }
}

// Guards against a revision that is applied only by the entry instance that accepted it (invariant
// I8: revisions are ordered and never go back).
TEST_F(RequestPathTest, Rules_WhenChanged_ShowTheNewRevisionOnAllEntries)
{
  const std::string changed =
    std::string(kRules) + "tenant.pecan = { share = 1 } # Bo Cruz: new shop\n";
  PublishRules(1, { changed, 1, "Bo Cruz" });
  WaitForRevision(2);
  for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
    EXPECT_EQ(Call(entry, { "lookups", "pecan", "body" }).m_status, 200);
  }
}

// Guards against an operator who overwrites a newer revision with a publish on an old base.
TEST_F(RequestPathTest, Publish_OnAnOldBase_IsRefused)
{
  const std::string changed =
    std::string(kRules) + "tenant.pecan = { share = 1 } # Bo Cruz: new shop\n";
  const auto response = TryPublish(2, { changed, 0, "Bo Cruz" });
  EXPECT_GE(response.m_status, 400);
  EXPECT_LT(response.m_status, 500);
  WaitForRevision(1);
}

// Guards against running a request of a tenant that is not in the rules.
TEST_F(RequestPathTest, Tenant_WhenUnknown_IsRefusedBeforeAnyRun)
{
  const auto response =
    Call(0, { "lookups", "stranger", "body", {}, { { "X-Request-Id", "unknown-tenant" } } });
  EXPECT_EQ(response.m_status, 403);
  EXPECT_EQ(response.Field("outcome"), "not-run");
  EXPECT_EQ(StartedCount("unknown-tenant"), 0U);
}

// Guards against a body that exceeds the limit reaching a backend server or the log.
TEST_F(RequestPathTest, Body_OverTheLimit_IsRefusedBeforeAnyRun)
{
  constexpr std::size_t kLimit = 32'768;
  const RequestHeaders over{ { "X-Request-Id", "oversized" } };
  const RequestHeaders within{ { "X-Request-Id", "largest" } };
  EXPECT_EQ(Call(0, { "lookups", "tupelo", std::string(kLimit + 1, 'x'), {}, over }).m_status, 413);
  EXPECT_EQ(StartedCount("oversized"), 0U);
  EXPECT_EQ(Call(0, { "lookups", "tupelo", std::string(kLimit, 'x'), {}, within }).m_status, 200);
}

// Guards against malformed input that terminates the daemon or leaves the connection open.
TEST_F(RequestPathTest, Bytes_ThatAreNotHttp_CloseOnlyTheirConnection)
{
  const auto& entry = m_entries.at(0);
  const auto output = ExchangeBytes(entry.m_address, "THIS IS NOT HTTP\r\n\r\n");
  EXPECT_NE(output.find("HTTP/1.1 400"), std::string::npos) << output;
  EXPECT_NE(output.find("malformed-http"), std::string::npos) << output;
  EXPECT_TRUE(entry.m_child->IsRunning());
  EXPECT_EQ(Call(0, { "lookups", "tupelo", "body" }).m_status, 200);
}

// Guards against a job that runs twice, and a key that returns the result of another body
// (invariant I5: a job runs at most once).
TEST_F(RequestPathTest, Key_WhenRepeated_RunsOnceAndRefusesAnotherBody)
{
  const auto first = Call(0, { "batches", "tupelo", "wheel 1", "batch-1" });
  EXPECT_EQ(first.m_status, 200) << first.m_body;
  EXPECT_EQ(first.Field("body"), "wheel 1");
  const auto repeated = Call(1, { "batches", "tupelo", "wheel 1", "batch-1" });
  EXPECT_EQ(repeated.m_status, 200) << repeated.m_body;
  EXPECT_EQ(repeated.m_body, first.m_body);
  EXPECT_EQ(Call(2, { "batches", "tupelo", "wheel 2", "batch-1" }).m_status, 409);
  EXPECT_EQ(StartedCount("batch-1"), 1U);
}

// Guards against jobs that are missing from the counter of completed requests.
TEST_F(RequestPathTest, Metrics_AfterRequestsOfBothKinds_CountThemAsCompleted)
{
  const auto completed = [this] {
    const auto page = SendRequest({ "GET", m_entries.at(0).m_address, "/metrics" }).m_body;
    const std::string name = "pistachiostand_completed_total ";
    return std::stoi(page.substr(page.find(name) + name.size()));
  };
  const int before = completed();
  EXPECT_EQ(Call(0, { "lookups", "tupelo", "body" }).m_status, 200);
  EXPECT_EQ(completed(), before + 1);
  EXPECT_EQ(Call(0, { "batches", "tupelo", "wheel 9", "batch-9" }).m_status, 200);
  EXPECT_EQ(completed(), before + 2);
}

// Guards against the outcome "not-run" in the rejection of a query, which says nothing about
// whether the job has run (invariant I4: a job reported as "not-run" never runs).
TEST_F(RequestPathTest, Question_OfUnknownTenant_IsNotAnsweredWithNotRun)
{
  const auto response = SendRequest(
    { "GET", m_entries.at(0).m_address, "/v1/jobs/batch-1", { { "X-Tenant", "stranger" } } });
  EXPECT_EQ(response.m_status, 403);
  EXPECT_EQ(response.Header("x-outcome"), "unknown");
}

} // namespace
} // namespace pistachiostand::testing
