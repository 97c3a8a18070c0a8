#include "EntryInstanceFixture.h"

#include "tests/standins/PreparedInstances.h"

#include <stdexcept>

namespace pistachiostand::fleet {
namespace {

/// \brief Malformed server registrations by another writer among valid ones, while jobs run.
class MalformedEntryTest : public EntryInstanceFixture
{
protected:
  static constexpr const char* kNextJob = "00000000000000bb";

  static std::string Nested(std::size_t aLevels)
  {
    return std::string(aLevels, '[') + std::string(aLevels, ']');
  }

  /// \brief Server entry with the given text after `"capacity":`.
  static std::string RegistrationAt(const std::string& aAddress, const std::string& aRest)
  {
    return fmt::format(
      R"({{"upstream":"lookup","address":"{}","zone":"z1","state":"ready","capacity":{}}})",
      aAddress, aRest);
  }

  static std::vector<std::string> MalformedValues()
  {
    return { "\xff\xfe\x01 not the format",
             Nested(100'000),
             std::string(100'000, '['),
             RegistrationAt("127.0.0.1:99999", R"({"cpu":8000},"born":1)"),
             RegistrationAt("127.0.0.1:0", R"({"cpu":8000})"),
             RegistrationAt("127.0.0.1:80", R"({"cpu":1e300},"born":18446744073709551615)"),
             RegistrationAt("127.0.0.1:80", R"({"cpu":1e999})"),
             R"({"upstream":"lookup"})",
             "null",
             "[]",
             "\"\"" };
  }

  static std::string OneStep(int aCount)
  {
    return fmt::format(
      R"({{"spec":"work","steps":[{{"count":{},"cpu":1000,"mem-mb":100,"estimated-ms":400}}]}})",
      aCount);
  }

  void Submit(const std::string& aJob, int aCount)
  {
    ASSERT_EQ(Call(1, "POST", "/lookups/" + aJob, OneStep(aCount)).m_status, 200);
  }

  bool IsDone(const std::string& aJob, int aCount)
  {
    return RunUntil([&] {
      int done = 0;
      for (int index = 0; index < aCount; ++index) {
        done += DoneCount(fmt::format("{}.0.0.{}", aJob, index)) == 1 ? 1 : 0;
      }
      return done == aCount;
    });
  }

  [[nodiscard]] int StartCount(const std::string& aSubtask)
  {
    return m_first.m_starts[aSubtask] + m_second.m_starts[aSubtask];
  }

  std::uint64_t Counter(const std::string& aName)
  {
    ClientRequest request = Request(1, "GET", "/metrics");
    request.m_url = "http://" + pistachiostand::ToString(At(14)) + "/metrics";
    const auto body = Call(std::move(request)).m_body;
    const std::string line = "pistachiostand_" + aName + " ";
    const auto at = body.find(line);
    return at == std::string::npos ? 0 : std::stoull(body.substr(at + line.size()));
  }

  void Wait(Millis aMs)
  {
    RunUntil([] { return false; }, aMs);
  }
};

// Guards against an owner that terminates or stops following the list: entries before, between and
// after the malformed ones are used.
TEST_F(MalformedEntryTest, MalformedServerEntries_AmongValidOnes_JobsRunAndLaterEntriesAreFollowed)
{
  const auto second = m_store.Value("keyed.servers", "s2");
  m_store.Put("keyed.servers", "s2", std::nullopt);
  int number = 0;
  for (const auto& malformed : MalformedValues()) {
    m_store.Put("keyed.servers", fmt::format("odd-{}", number++), malformed);
  }
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Submit(kJob, 2);
  ASSERT_TRUE(IsDone(kJob, 2));
  EXPECT_GE(Counter("entries_unreadable_total"), MalformedValues().size());
  for (const auto& malformed : MalformedValues()) {
    m_store.Put("keyed.servers", fmt::format("odd-{}", number++), malformed);
  }
  m_store.Put("keyed.servers", "s1", std::nullopt);
  m_store.Put("keyed.servers", "s2", second);
  Wait(300);
  Submit(kNextJob, 2);
  ASSERT_TRUE(IsDone(kNextJob, 2));
  EXPECT_EQ(m_second.m_starts[std::string{ kNextJob } + ".0.0.0"], 1);
  EXPECT_EQ(Counter("unexpected_errors_total"), 0U);
}

// Guards against a pool that loses its servers because their newest entries are unreadable: they
// have not deregistered, and their work must not be started again.
TEST_F(MalformedEntryTest, KnownServers_EntriesBecomeMalformed_StayInUse)
{
  m_first.m_runMs = 1'500;
  m_second.m_runMs = 1'500;
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Submit(kJob, 2);
  ASSERT_TRUE(RunUntil([this] { return m_first.Running() + m_second.Running() == 2; }));
  m_store.Put("keyed.servers", "s1", Nested(100'000));
  m_store.Put("keyed.servers", "s2", MalformedValues().at(3));
  Wait(200);
  Submit(kNextJob, 1);
  ASSERT_TRUE(IsDone(kNextJob, 1));
  ASSERT_TRUE(IsDone(kJob, 2));
  for (int index = 0; index < 2; ++index) {
    EXPECT_EQ(StartCount(fmt::format("{}.0.0.{}", kJob, index)), 1);
  }
}

// Guards against an owner that terminates when it calls a server whose id is no valid header value.
TEST_F(MalformedEntryTest, ServerWithAMalformedId_IsNotUsed)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  // The owner must have listed the topic before: the stand-in lists only keys that are UTF-8.
  Wait(200);
  m_store.Put("keyed.servers", "s\xff\r\nx", m_second.Entry("lookup"));
  m_store.Put("keyed.servers", "", m_second.Entry("lookup"));
  Wait(300);
  Submit(kJob, 4);
  ASSERT_TRUE(IsDone(kJob, 4));
  EXPECT_GE(Counter("entries_unreadable_total"), 2U);
}

// Guards against entry instances that serve no queue because of one malformed route, or that ignore
// all later configurations after one whose version wrapped around.
TEST_F(MalformedEntryTest, MalformedConfigurations_OthersAreFollowed)
{
  m_store.Put("keyed.op", "config", std::string{ R"({"version":-1,"routes":[],"upstreams":[]})" });
  Start(1);
  Wait(300);
  auto configuration = nlohmann::json::parse(Configuration(2, "/lookups/"));
  configuration["routes"].push_back({ { "name", "odd" }, { "priority", -1 } });
  m_store.Put("keyed.op", "config", configuration.dump());
  ASSERT_TRUE(IsReady(1));
  m_store.Put("keyed.op", "config", Nested(100'000));
  m_store.Put("keyed.op", "wave/1",
              std::string{ R"({"wave":1,"machines":["i"],)"
                           R"("duration-s":1e300,"max-count":-1})" });
  m_store.Put("keyed.op", "config", Configuration(3, "/later/"));
  ASSERT_TRUE(RunUntil([&] { return Call(1, "GET", "/later/").m_status == 200; }));
}

// Guards against an owner that steps down repeatedly because of submissions of another writer.
TEST_F(MalformedEntryTest, MalformedSubmissions_AmongValidOnes_JobsRun)
{
  for (const auto& log : SubmissionLogs()) {
    m_store.Put(log, "j:00000000000000cc", std::string{ "\xff\xfe\x01" });
    m_store.Put(log, "j:00000000000000cd", Nested(100'000));
    m_store.Put(log, "", std::string{ "x" });
  }
  Start(1);
  ASSERT_TRUE(IsReady(1));
  // The owner must have listed the topic before: the stand-in lists only keys that are UTF-8.
  Wait(200);
  for (const auto& log : SubmissionLogs()) {
    m_store.Put(log, "j:\xff\xfe", std::string{ "x" });
    m_store.Put(log, "c:\xff\xfe", std::string{ "1" });
  }
  Wait(300);
  Submit(kJob, 2);
  ASSERT_TRUE(IsDone(kJob, 2));
  EXPECT_GE(Counter("records_unreadable_total"), SubmissionLogs().size());
}

} // namespace
} // namespace pistachiostand::fleet
