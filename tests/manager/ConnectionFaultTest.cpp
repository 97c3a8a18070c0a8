#include "../standins/SilentRelay.h"
#include "EntryInstanceFixture.h"

#include "pistachiostand/connection/HttpServer.h"

#include <asio/post.hpp>

#include <chrono>
#include <stdexcept>
#include <thread>

namespace pistachiostand::fleet {
namespace {

/// \brief Entry instances that reach the store through a relay.
class ConnectionFaultTest : public EntryInstanceFixture
{
protected:
  ConnectionFaultTest()
    : m_relay(m_loop, At(8), At(0))
  {
    m_storeAddress = At(8);
  }

  /// \brief Opens six connections to the store, makes them unresponsive after `aIdleMs` and reads
  /// twice, one read after the other.
  /// \return the outcomes of the two reads, or fewer if one is not answered.
  std::vector<platform::ReadOutcome> ReadTwiceOnSilentConnections(Millis aIdleMs)
  {
    constexpr std::size_t kConnections = 6;
    platform::Store store{ *m_client, pistachiostand::ToString(At(8)) };
    std::vector<platform::ReadOutcome> outcomes;
    const auto read = [&] {
      store.Read({ "keyed.op" }, 0, 0,
                 [&](const auto& aResult) { outcomes.push_back(aResult.m_outcome); });
    };
    for (std::size_t i = 0; i < kConnections; ++i) {
      read();
    }
    EXPECT_TRUE(RunUntil([&] { return outcomes.size() == kConnections; }));
    RunUntil([] { return false; }, aIdleMs);
    m_relay.Silence();
    outcomes.clear();
    for (std::size_t count = 1; count <= 2; ++count) {
      read();
      RunUntil([&] { return outcomes.size() == count; });
    }
    return outcomes;
  }

  standin::SilentRelay m_relay;
};

// Guards against an outdated configuration that stays in force after the store was unreachable,
// because reads use connections that have been unresponsive since the cut (regression: scenario
// dijleland-sched, mix, seed 220244400405). The test allows 3 s after the cut.
TEST_F(ConnectionFaultTest, OpenConnectionsSilentSinceACut_Configuration_IsInForceInTime)
{
  constexpr Millis kCutMs = 4'000;
  constexpr Millis kMaxDelayMs = 3'000;
  Start(1);
  ASSERT_TRUE(IsReady(1));
  // A burst of reads and appends leaves idle connections open.
  for (int i = 0; i < 20; ++i) {
    m_client->Send(Request(1, "POST", fmt::format("/lookups/{:016x}", i), TwoSteps()),
                   [](const ClientResponse&) {});
  }
  RunUntil([] { return false; }, 500);
  m_relay.m_cut = true;
  m_relay.Silence();
  m_store.Put("keyed.op", "config", Configuration(2, "/quotes/"));
  RunUntil([] { return false; }, kCutMs);
  m_relay.m_cut = false;
  EXPECT_TRUE(RunUntil([this] { return Call(1, "GET", "/quotes/").m_status != 404; }, kMaxDelayMs));
}

// Guards against an outdated configuration that stays in force because the records published during
// a cut do not arrive over a slow link within the timeout of a read, and each read starts over (7
// publications of 25 kB, 175 kB in all, at 41 kB/s; regression: scenario dijleland-sched, mix, seed
// 220244400405).
TEST_F(ConnectionFaultTest, SlowLinkAfterACut_ManyPublications_NewestIsInForceInTime)
{
  constexpr Millis kCutMs = 1'000;
  constexpr Millis kMaxDelayMs = 3'000;
  constexpr Millis kApplyMs = 2'000;
  constexpr int kPublications = 7;
  Start(1);
  ASSERT_TRUE(IsReady(1));
  m_relay.m_cut = true;
  m_relay.Silence();
  auto large = nlohmann::json::parse(Configuration(2, "/quotes/"));
  large["comment"] = std::string(25'000, 'x');
  for (int revision = 2; revision < 2 + kPublications; ++revision) {
    large["version"] = revision;
    m_store.Put("keyed.op", "config", large.dump());
  }
  RunUntil([] { return false; }, kCutMs);
  m_relay.m_responseBytesPerS = 41'000;
  m_relay.m_cut = false;
  EXPECT_TRUE(RunUntil([this] { return Call(1, "GET", "/quotes/").m_status != 404; },
                       kMaxDelayMs + kApplyMs));
}

// Guards against trying one unresponsive connection after the other: six connections were idle when
// they became unresponsive, and each read waited on one of them for its full timeout (2 s) before a
// new connection was opened.
TEST_F(ConnectionFaultTest, IdleConnectionsSilent_ReadAfterAFailedOne_IsAnswered)
{
  EXPECT_EQ(ReadTwiceOnSilentConnections(2'500),
            (std::vector{ platform::ReadOutcome::Failed, platform::ReadOutcome::Ok }));
}

// Guards against connections that are used again because they were opened less than a second before
// the one that failed: the limit on their age had whole seconds.
TEST_F(ConnectionFaultTest, NewConnectionsSilent_ReadAfterAFailedOne_IsAnswered)
{
  EXPECT_EQ(ReadTwiceOnSilentConnections(0),
            (std::vector{ platform::ReadOutcome::Failed, platform::ReadOutcome::Ok }));
}

/// \brief Backend servers that are reached through a relay.
class ServerConnectionTest : public EntryInstanceFixture
{
protected:
  static constexpr Millis kLastingRunMs = 60'000;
  static constexpr int kLastingSubtasks = 2; ///< One on each server.

  ServerConnectionTest()
    : m_toFirst(m_loop, At(5), At(1))
    , m_toSecond(m_loop, At(6), At(2))
  {
    m_store.Put("keyed.servers", "s1", Behind(At(5), m_first.Entry("lookup")));
    m_store.Put("keyed.servers", "s2", Behind(At(6), m_second.Entry("lookup")));
  }

  static std::string Behind(const Endpoint& aRelay, const std::string& aEntry)
  {
    auto entry = nlohmann::json::parse(aEntry);
    entry["address"] = pistachiostand::ToString(aRelay);
    return entry.dump();
  }

  /// \brief Starts subtasks that last, then ends a job that needs several connections to each
  /// server.
  void OpenConnections()
  {
    m_first.m_runMs = kLastingRunMs;
    m_second.m_runMs = kLastingRunMs;
    ASSERT_EQ(Call(1, "POST", "/lookups/00000000000000bb",
                   R"({"spec":"work","steps":[{"count":2,"cpu":1000,"mem-mb":100,)"
                   R"("long-running":true,"anti-affinity":1}]})")
                .m_status,
              200);
    ASSERT_TRUE(RunUntil([this] { return m_first.Running() == 1 && m_second.Running() == 1; }));
    m_first.m_runMs = 200;
    m_second.m_runMs = 200;
    ASSERT_EQ(Call(1, "POST", std::string{ "/lookups/" } + kJob,
                   R"({"spec":"work","steps":[{"count":14,"cpu":1000,"mem-mb":100,)"
                   R"("estimated-ms":200}]})")
                .m_status,
              200);
    ASSERT_TRUE(Completes(1));
  }

  standin::SilentRelay m_toFirst;
  standin::SilentRelay m_toSecond;
};

// Guards against leases that lapse and servers that get no work for many seconds, because the calls
// to them go through one unresponsive connection after the other (review, case 8).
TEST_F(ServerConnectionTest, OpenConnectionsSilent_LastingSubtasks_KeepTheirRuns)
{
  constexpr Millis kObservedMs = 7'000;
  Start(1);
  ASSERT_TRUE(IsReady(1));
  ASSERT_NO_FATAL_FAILURE(OpenConnections());
  m_toFirst.Silence();
  m_toSecond.Silence();
  RunUntil([] { return false; }, kObservedMs);
  EXPECT_EQ(
    m_first.m_starts["00000000000000bb.0.0.0"] + m_second.m_starts["00000000000000bb.0.0.0"], 1);
  EXPECT_EQ(
    m_first.m_starts["00000000000000bb.0.0.1"] + m_second.m_starts["00000000000000bb.0.0.1"], 1);
  EXPECT_EQ(m_first.Running() + m_second.Running(), kLastingSubtasks);
}

// Guards against a process that an uncaught exception terminates.
TEST_F(ConnectionFaultTest, UnexpectedError_EntryInstance_GoesOnServing)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  auto& entry = *m_entries.at(1);
  asio::post(entry.m_loop, [] { throw std::runtime_error("unexpected"); });
  asio::post(entry.m_loop, [&entry] { entry.m_loop.stop(); });
  entry.m_entryInstance->Run();
  entry.m_loop.restart();
  ASSERT_TRUE(IsReady(1));
  ASSERT_EQ(Call(1, "POST", std::string{ "/lookups/" } + kJob, TwoSteps()).m_status, 200);
  EXPECT_TRUE(Completes(1));
}

/// \brief The HTTP client alone, against a server that counts requests.
class SendDeadlineTest : public ::testing::Test
{
protected:
  SendDeadlineTest()
    : m_client(HttpClient::Create(m_loop))
  {
    Reason reason;
    m_server = HttpServer::Create(
      m_loop, { m_address, 10 },
      [this](const HttpRequest& /*aRequest*/, const HttpResponder& aRespond) {
        ++m_requests;
        aRespond({ 200, {}, "{}" });
      },
      reason);
  }

  void SetUp() override { ASSERT_TRUE(m_server); }

  /// \brief Sends a request whose send deadline is `aSendWithinMs` from now.
  void Send(Millis aSendWithinMs)
  {
    ClientRequest request;
    request.m_url = "http://" + pistachiostand::ToString(m_address) + "/order";
    request.m_sendBeforeMs = MonotonicMs() + aSendWithinMs;
    m_response.reset();
    m_client->Send(std::move(request),
                   [this](const ClientResponse& aResponse) { m_response = aResponse; });
  }

  void RunUntilAnswered()
  {
    for (int i = 0; i < 1'000 && !m_response; ++i) {
      m_loop.run_for(std::chrono::milliseconds{ 1 });
    }
  }

  Endpoint m_address{ "127.0.0.1", 21'490 };
  asio::io_context m_loop{ 1 };
  std::unique_ptr<HttpClient> m_client;
  std::unique_ptr<HttpServer> m_server;
  std::optional<ClientResponse> m_response;
  int m_requests{};
};

// Guards against a paused process that sends an order after its send deadline.
TEST_F(SendDeadlineTest, PausePastTheSendDeadline_Request_IsNotSent)
{
  Send(20);
  std::this_thread::sleep_for(std::chrono::milliseconds{ 60 });
  RunUntilAnswered();
  ASSERT_TRUE(m_response);
  EXPECT_EQ(m_response->m_failure, TransferFailure::NotSent);
  EXPECT_EQ(m_requests, 0);
}

// The same on a connection that is already open.
TEST_F(SendDeadlineTest, PausePastTheSendDeadline_OpenConnection_IsNotSent)
{
  Send(5'000);
  RunUntilAnswered();
  ASSERT_TRUE(m_response && !m_response->m_failure);
  Send(20);
  std::this_thread::sleep_for(std::chrono::milliseconds{ 60 });
  RunUntilAnswered();
  ASSERT_TRUE(m_response);
  EXPECT_EQ(m_response->m_failure, TransferFailure::NotSent);
  EXPECT_EQ(m_requests, 1);
}

} // namespace
} // namespace pistachiostand::fleet
