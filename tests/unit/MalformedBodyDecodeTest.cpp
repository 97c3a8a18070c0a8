#include "platform/Wire.h"

#include "pistachiostand/base/Endpoint.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace pistachiostand::fleet {
namespace {

std::string Nested(std::size_t aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

/// \brief Values that are invalid for a field that holds a non-negative integer.
std::vector<std::string> MalformedNumbers()
{
  return { "-1",    "0.5",   "1e300", "1e999", "-1e999", "18446744073709551615",
           "1e400", "\"7\"", "true",  "[]",    "{}",     Nested(100'000) };
}

std::string Registration(const std::string& aAddress, const std::string& aCpu = "8000",
                         const std::string& aMore = {})
{
  return fmt::format(R"({{"upstream":"u","address":{},"zone":"z","state":"ready","labels":["a"],)"
                     R"("capacity":{{"cpu":{},"mem-mb":100}}{}}})",
                     aAddress, aCpu, aMore);
}

bool DecodesRegistration(const std::string& aBody)
{
  Reason reason;
  const auto entry = platform::DecodeServerRegistration("s1", aBody, reason);
  EXPECT_EQ(entry.has_value(), reason.m_cause.empty()) << aBody.substr(0, 200);
  EXPECT_LE(reason.m_cause.size(), 300U);
  return entry.has_value();
}

// Guards against a server that gets more work than it has capacity for, or none, and against a
// crash of the owner, because an invalid number was converted to another one.
TEST(MalformedBodyDecodeTest, ServerRegistration_MalformedNumber_IsRefused)
{
  EXPECT_TRUE(DecodesRegistration(Registration("\"10.0.0.1:80\"")));
  for (const auto& malformed : MalformedNumbers()) {
    EXPECT_FALSE(DecodesRegistration(Registration("\"10.0.0.1:80\"", malformed)))
      << malformed.substr(0, 40);
    for (const auto* key : { "born", "clock-ms" }) {
      EXPECT_FALSE(DecodesRegistration(
        Registration("\"10.0.0.1:80\"", "8000", fmt::format(",\"{}\":{}", key, malformed))))
        << key << malformed.substr(0, 40);
    }
  }
}

// Guards against calls to a port or host other than the registered one.
TEST(MalformedBodyDecodeTest, ServerRegistration_MalformedAddress_IsRefused)
{
  for (const auto* malformed :
       { "\"10.0.0.1:0\"", "\"10.0.0.1:65536\"", "\"10.0.0.1:99999\"", "\"10.0.0.1:-1\"",
         "\"10.0.0.1:\"", "\"10.0.0.1\"", "\"\"", "\":80\"", "\"10.0.0.1:80.5\"", "null", "80",
         "[]", "\"10.0.0.1\\u0000:80\"", "\"10.0.0.1\\u0000x:80\"", "\"\xff:80\"" }) {
    EXPECT_FALSE(DecodesRegistration(Registration(malformed))) << malformed;
  }
  EXPECT_FALSE(ParseEndpoint(std::string_view{ "10.0.0.1\0x:80", 13 }).has_value());
}

// Guards against one entry that crashes the process or costs much memory and time.
TEST(MalformedBodyDecodeTest, ServerRegistration_MalformedBytes_AreRefusedWithAShortPrintableCause)
{
  const std::vector<std::string> malformed{
    "",
    "\xff\xfe\x01",
    std::string(100, '\0'),
    "not json",
    Nested(100'000),
    std::string(100'000, '['),
    std::string(100'000, '{'),
    "\"" + std::string(5'000'000, 'x'),
    "\"" + std::string(5'000'000, 'x') + "\"",
    "\"\xff" + std::string(5'000'000, '\n') + "\"",
    Registration("\"" + std::string(5'000'000, 'x') + "\""),
    Registration("\"10.0.0.1:80\"", "8000", ",\"labels\":[\"\xff\"]"),
    Registration("\"10.0.0.1:80\"", "8000", ",\"labels\":[1]"),
    "[" + std::string(3'000'000, ',') + "]",
    "{}",
    "null",
    "[[]]"
  };
  for (const auto& body : malformed) {
    Reason reason;
    EXPECT_FALSE(platform::DecodeServerRegistration("s1", body, reason).has_value())
      << body.substr(0, 40);
    EXPECT_FALSE(reason.m_cause.empty());
    EXPECT_LE(reason.m_cause.size(), 300U) << body.substr(0, 40);
    EXPECT_TRUE(std::ranges::all_of(reason.m_cause,
                                    [](char aChar) { return aChar >= ' ' && aChar < '\x7f'; }))
      << reason.m_cause.substr(0, 300);
  }
}

// Guards against an id that injects a header into every order, and against an owner that crashes
// when it asks for advice about a server whose id is not UTF-8.
TEST(MalformedBodyDecodeTest, ServerRegistration_IdThatNoHeaderHolds_IsRefused)
{
  Reason reason;
  const auto body = Registration("\"10.0.0.1:80\"");
  for (const std::string id : { "", "s1\r\nx: y", "s\xff", "s 1" }) {
    EXPECT_FALSE(platform::DecodeServerRegistration(id, body, reason).has_value()) << id;
  }
}

// Guards against a process that crashes because text from another program is not UTF-8.
TEST(MalformedBodyDecodeTest, Orders_TextThatIsNotUtf8_DoNotThrow)
{
  const std::string malformed = "\xff\xfe";
  platform::StartOrder order;
  order.m_run = { { malformed, 0, 0, 0 }, 1, "s1" };
  order.m_payload = malformed;
  order.m_checkpoint = malformed;
  order.m_ticket = malformed;
  EXPECT_NO_THROW((void)platform::EncodeStart(order));
  EXPECT_NO_THROW((void)platform::EncodeAdviceRequest({ malformed, 0, 0 }, { malformed }));
  EXPECT_NO_THROW((void)platform::EncodeMove(malformed, malformed));
  EXPECT_NO_THROW((void)platform::EncodeMaintenance(malformed, 1));
}

std::string Configuration(const std::string& aVersion, const std::string& aSecondRoute)
{
  return fmt::format(
    R"({{"version":{},"routes":[{{"name":"a","host":"h","path-prefix":"/a/","upstream":"u"}},{},)"
    R"({{"name":"c","host":"h","path-prefix":"/c/","upstream":"u"}}],)"
    R"("upstreams":[{{"name":"u"}}]}})",
    aVersion, aSecondRoute);
}

std::vector<std::string> MalformedRoutes()
{
  std::vector<std::string> routes{ "7",
                                   "null",
                                   "[]",
                                   "{}",
                                   "\"x\"",
                                   Nested(100'000),
                                   "1e999",
                                   R"({"name":"b"})",
                                   R"({"name":"","host":"h","path-prefix":"/b/","upstream":"u"})" };
  routes.push_back(
    fmt::format(R"({{"name":"b","host":"{}","path-prefix":"/b/","upstream":"u"}})", "\xff"));
  for (const auto& malformed : MalformedNumbers()) {
    routes.push_back(fmt::format(
      R"({{"name":"b","host":"h","path-prefix":"/b/","upstream":"u","priority":{}}})", malformed));
    routes.push_back(fmt::format(
      R"({{"name":"b","host":"h","path-prefix":"/b/","upstream":"u","target-latency-ms":{}}})",
      malformed));
  }
  return routes;
}

// Guards against an entry instance that serves no queue because one route cannot be read.
TEST(MalformedBodyDecodeTest, Configuration_MalformedRoute_OthersCount)
{
  for (const auto& route : MalformedRoutes()) {
    Reason reason;
    const auto decoded = platform::DecodeConfiguration(Configuration("3", route), reason);
    ASSERT_TRUE(decoded.has_value()) << route.substr(0, 100) << reason.m_cause.substr(0, 300);
    ASSERT_EQ(decoded->m_queues.size(), 2U) << route.substr(0, 100);
    EXPECT_EQ(decoded->m_queues.front().m_name, "a");
    EXPECT_EQ(decoded->m_queues.back().m_name, "c");
  }
}

// Guards against a version that overflows, so that all later configurations are ignored as older.
TEST(MalformedBodyDecodeTest, Configuration_MalformedVersion_IsRefused)
{
  const std::string route = R"({"name":"b","host":"h","path-prefix":"/b/","upstream":"u"})";
  for (const auto& malformed : MalformedNumbers()) {
    Reason reason;
    EXPECT_FALSE(platform::DecodeConfiguration(Configuration(malformed, route), reason).has_value())
      << malformed.substr(0, 40);
  }
}

// Guards against a wave whose duration or number overflows.
TEST(MalformedBodyDecodeTest, Wave_MalformedNumber_IsRefused)
{
  const auto reads = [](const std::string& aNumber, const std::string& aSeconds,
                        const std::string& aMax) {
    Reason reason;
    return platform::DecodeWave(fmt::format(R"({{"wave":{},"machines":["i1"],"duration-s":{},)"
                                            R"("max-count":{}}})",
                                            aNumber, aSeconds, aMax),
                                reason)
      .has_value();
  };
  EXPECT_TRUE(reads("1", "20.5", "2"));
  for (const auto& malformed : MalformedNumbers()) {
    EXPECT_FALSE(reads(malformed, "20", "2")) << malformed.substr(0, 40);
    EXPECT_FALSE(reads("1", "20", malformed)) << malformed.substr(0, 40);
    if (malformed != "0.5") {
      EXPECT_FALSE(reads("1", malformed, "2")) << malformed.substr(0, 40);
    }
  }
}

// Guards against a job that runs with a count or duration that its caller did not request, and
// against one that creates millions of occurrences at once.
TEST(MalformedBodyDecodeTest, Job_MalformedNumber_IsRefused)
{
  const auto reads = [](const std::string& aCount, const std::string& aEstimate,
                        const std::string& aRepeat) {
    Reason reason;
    return platform::DecodeJob(
             fmt::format(R"({{"spec":"w","repeat-count":{},"interval-ms":1,)"
                         R"("steps":[{{"count":{},"cpu":1,"estimated-ms":{}}}]}})",
                         aRepeat, aCount, aEstimate),
             reason)
      .has_value();
  };
  EXPECT_TRUE(reads("1", "5", "2"));
  EXPECT_FALSE(reads("4294967297", "5", "2"));
  EXPECT_FALSE(reads("1", "9000000000000000000", "2"));
  EXPECT_FALSE(reads("1", "5", "4294967295"));
  for (const auto& malformed : MalformedNumbers()) {
    EXPECT_FALSE(reads(malformed, "5", "2")) << malformed.substr(0, 40);
    EXPECT_FALSE(reads("1", malformed, "2")) << malformed.substr(0, 40);
    EXPECT_FALSE(reads("1", "5", malformed)) << malformed.substr(0, 40);
  }
}

std::string Report(const std::string& aRunning, const std::string& aFinished,
                   const std::string& aClock = "50")
{
  return fmt::format(R"({{"clock-ms":{},"born":7,"running":[["a.0.0.0",1,"",40,3.5],{}],)"
                     R"("finished":[[1,"a.0.0.1",1,"done",""],{}]}})",
                     aClock, aRunning, aFinished);
}

std::vector<std::string> MalformedRunningRows()
{
  std::vector<std::string> rows{ "7",
                                 "null",
                                 "[]",
                                 "{}",
                                 "\"x\"",
                                 Nested(100'000),
                                 "1e999",
                                 "[\"a.0.0.2\"]",
                                 "[\"a.0.0\",1,\"\",40]",
                                 "[\"a.0.0.99999999999\",1,\"\",40]",
                                 "[\"a.0.0.-1\",1,\"\",40]",
                                 "[\"\",1,\"\",40]",
                                 "[\"\xff\",1,\"\",40]",
                                 "[\"a.0.0.2\",1,\"\",1e300]" };
  for (const auto& malformed : MalformedNumbers()) {
    rows.push_back(fmt::format(R"(["a.0.0.2",{},"",40])", malformed));
  }
  return rows;
}

// Guards against a live server that is treated as unresponsive, and whose work is started
// elsewhere, because one row of its report cannot be read.
TEST(MalformedBodyDecodeTest, Report_MalformedRunningRow_OthersCount)
{
  for (const auto& row : MalformedRunningRows()) {
    const auto report = platform::DecodeServerReport(Report(row, R"([2,"a.0.0.3",1,"done",""])"));
    ASSERT_TRUE(report.has_value()) << row.substr(0, 100);
    ASSERT_EQ(report->m_running.size(), 1U) << row.substr(0, 100);
    EXPECT_EQ(report->m_running.front().m_percent, 40);
    EXPECT_EQ(report->m_ended.size(), 2U);
  }
}

// Guards against ends that are lost, or acknowledged unread, because one of them is malformed.
TEST(MalformedBodyDecodeTest, Report_MalformedEnd_OthersCount)
{
  std::vector<std::string> rows{ "7",
                                 "null",
                                 "[]",
                                 "{}",
                                 Nested(100'000),
                                 "1e999",
                                 R"([3,"a.0.0.2",1,"vanished",""])",
                                 R"([3,"a.0.0",1,"done",""])",
                                 R"([9007199254740991,"a.0.0.2",1,"done",""])" };
  for (const auto& malformed : MalformedNumbers()) {
    rows.push_back(fmt::format(R"([{},"a.0.0.2",1,"done",""])", malformed));
    rows.push_back(fmt::format(R"([3,"a.0.0.2",{},"done",""])", malformed));
  }
  for (const auto& row : rows) {
    const auto report = platform::DecodeServerReport(Report(R"(["a.0.0.3",1,"",5])", row));
    ASSERT_TRUE(report.has_value()) << row.substr(0, 100);
    ASSERT_EQ(report->m_ended.size(), 1U) << row.substr(0, 100);
    EXPECT_EQ(report->m_ended.front().m_number, 1U);
    EXPECT_EQ(report->m_running.size(), 2U);
  }
}

// Guards against undefined behavior in arithmetic on the clock of a server, and against its work
// being abandoned.
TEST(MalformedBodyDecodeTest, Report_MalformedClock_RunsCount)
{
  for (const auto& malformed : MalformedNumbers()) {
    const auto report = platform::DecodeServerReport(
      Report(R"(["a.0.0.3",1,"",5])", R"([2,"a.0.0.2",1,"done",""])", malformed));
    ASSERT_TRUE(report.has_value()) << malformed.substr(0, 40);
    EXPECT_EQ(report->m_clockMs, 0) << malformed.substr(0, 40);
    EXPECT_EQ(report->m_running.size(), 2U);
    EXPECT_EQ(report->m_ended.size(), 2U);
  }
}

// Guards against undefined behavior in arithmetic on the clock of the response to an order.
TEST(MalformedBodyDecodeTest, OrderResponse_MalformedClock_IsLeftOut)
{
  for (const auto& malformed : MalformedNumbers()) {
    const auto response = platform::DecodeOrderResponse(
      409, fmt::format(R"({{"clock-ms":{},"reason":"room"}})", malformed));
    EXPECT_FALSE(response.m_clockMs.has_value()) << malformed.substr(0, 40);
    EXPECT_EQ(response.m_refusal, platform::OrderRefusal::InsufficientCapacity)
      << malformed.substr(0, 40);
  }
}

// Guards against an owner that stops updating all instances because one of them is malformed.
TEST(MalformedBodyDecodeTest, InstancePage_MalformedRow_OthersCount)
{
  std::vector<std::string> rows{ "7",
                                 "null",
                                 "[]",
                                 "{}",
                                 Nested(100'000),
                                 "1e999",
                                 R"({"machine":"i2"})",
                                 R"({"machine":"","pool":"p","state":"up"})",
                                 R"({"machine":7,"pool":"p","state":"up"})",
                                 "{\"machine\":\"\xff\",\"pool\":\"p\",\"state\":\"up\"}" };
  for (const auto& malformed : MalformedNumbers()) {
    rows.push_back(fmt::format(
      R"({{"machine":"i2","pool":"p","state":"up","capacity":{{"cpu":{}}}}})", malformed));
  }
  for (const auto& row : rows) {
    const auto page = platform::DecodeInstancePage(
      fmt::format(R"({{"machines":[{{"machine":"i1","pool":"p","state":"up"}},{},)"
                  R"({{"machine":"i3","pool":"p","state":"up"}}],"next-token":"n"}})",
                  row));
    ASSERT_TRUE(page.has_value()) << row.substr(0, 100);
    ASSERT_EQ(page->m_instances.size(), 2U) << row.substr(0, 100);
    EXPECT_EQ(page->m_instances.back().m_id, "i3");
    EXPECT_EQ(page->m_nextPage, "n");
  }
}

// Guards against advice that is lost because of one malformed ticket, or that never expires.
TEST(MalformedBodyDecodeTest, Advice_MalformedTicket_OthersCount)
{
  for (const auto* row : { "7", "[]", "[\"s2\"]", "[2,\"t\"]", "[\"s2\",2]", "[\"s2\",1e999]" }) {
    const auto advice = platform::DecodeAdvice(
      fmt::format(R"({{"good":[["s1","t1"],{},["s3","t3"]],"valid-ms":500}})", row));
    ASSERT_TRUE(advice.has_value()) << row;
    EXPECT_EQ(advice->m_tickets.size(), 2U) << row;
  }
  for (const auto& malformed : MalformedNumbers()) {
    EXPECT_FALSE(
      platform::DecodeAdvice(fmt::format(R"({{"good":[],"valid-ms":{}}})", malformed)).has_value())
      << malformed.substr(0, 40);
  }
}

// Guards against a topic that is no longer read because one item of a page is malformed.
TEST(MalformedBodyDecodeTest, KeyedPage_MalformedItem_OthersCount)
{
  std::vector<std::string> rows{ "7",
                                 "null",
                                 "[]",
                                 "{}",
                                 Nested(100'000),
                                 "1e999",
                                 R"({"key":"k2","value":"?","offset":4})",
                                 R"({"key":"k2","value":7,"offset":4})" };
  for (const auto& malformed : MalformedNumbers()) {
    rows.push_back(fmt::format(R"({{"key":"k2","value":"AAEC","offset":{}}})", malformed));
  }
  for (const auto& row : rows) {
    const auto page = platform::DecodeKeyedPage(
      fmt::format(R"({{"items":[{{"key":"k1","value":"AAEC","offset":3}},{},)"
                  R"({{"key":"k3","value":"AAEC","offset":5}}],"has-more":true,"end":9}})",
                  row));
    ASSERT_TRUE(page.has_value()) << row.substr(0, 100);
    EXPECT_EQ(page->m_items.size(), 2U) << row.substr(0, 100);
  }
}

} // namespace
} // namespace pistachiostand::fleet
