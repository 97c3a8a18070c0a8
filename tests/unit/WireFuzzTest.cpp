#include "platform/Wire.h"
#include "src/manager/CarrierMessage.h"

#include "pistachiostand/fleet/WaveRecord.h"
#include "pistachiostand/job/JobCodec.h"
#include "pistachiostand/ownership/InstanceOrder.h"

#include "JobFixture.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <random>

namespace pistachiostand::fleet {
namespace {

/// \brief Mutates valid bodies at random, with a fixed seed: bytes or whole JSON values.
class WireFuzzTest : public JobFixture
{
protected:
  static constexpr int kRounds = 4'000;

  std::size_t RandomBelow(std::size_t aEnd)
  {
    return std::uniform_int_distribution<std::size_t>{ 0, aEnd - 1 }(m_random);
  }

  /// \brief Values that a field may hold by mistake.
  nlohmann::json MalformedValue()
  {
    static const std::vector<nlohmann::json> kValues{ nullptr,
                                                      true,
                                                      -1,
                                                      0,
                                                      1e300,
                                                      18'446'744'073'709'551'615ULL,
                                                      -9'223'372'036'854'775'807LL,
                                                      "",
                                                      "NaN",
                                                      1e10,
                                                      nlohmann::json::array(),
                                                      nlohmann::json::object(),
                                                      nlohmann::json::array({ 1, "x", nullptr }) };
    return kValues[RandomBelow(kValues.size())];
  }

  /// \brief Replaces or removes one value somewhere below `aValue`.
  void ChangeValue(nlohmann::json& aValue)
  {
    if (!aValue.is_structured() || aValue.empty() || RandomBelow(4) == 0) {
      aValue = MalformedValue();
      return;
    }
    auto item = std::next(aValue.begin(), static_cast<std::ptrdiff_t>(RandomBelow(aValue.size())));
    if (RandomBelow(6) == 0) {
      aValue.erase(item);
    } else {
      ChangeValue(*item);
    }
  }

  void ChangeBytes(std::string& aBytes)
  {
    for (std::size_t left = 1 + RandomBelow(4); left != 0 && !aBytes.empty(); --left) {
      const std::size_t at = RandomBelow(aBytes.size());
      switch (RandomBelow(3)) {
        case 0:
          aBytes[at] = static_cast<char>(RandomBelow(256));
          break;
        case 1:
          aBytes.erase(at, 1 + RandomBelow(8));
          break;
        default:
          aBytes.insert(at, 1 + RandomBelow(8), static_cast<char>(RandomBelow(256)));
          break;
      }
    }
  }

  /// \brief Calls `aDecode` with many mutations of a valid body.
  template<typename Decode>
  void Fuzz(const std::string& aValid, Decode aDecode)
  {
    for (int round = 0; round < kRounds; ++round) {
      std::string body = aValid;
      auto json = nlohmann::json::parse(aValid, nullptr, false);
      if (!json.is_discarded() && RandomBelow(2) == 0) {
        ChangeValue(json);
        body = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
      } else {
        ChangeBytes(body);
      }
      ASSERT_NO_THROW(aDecode(body)) << body;
    }
  }

  std::minstd_rand m_random{ 20'261'204 };
};

constexpr const char* kConfiguration =
  R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/p/","upstream":"u",)"
  R"("priority":1,"attempts":2,"stretch":1.5,"target-latency-ms":600,)"
  R"("advice":{"decision-ms":1,"per-worker-ms":2,"valid-ms":3}}],)"
  R"("upstreams":[{"name":"u","admission-check":true,"spare":false}],)"
  R"("limits":{"max-body-bytes":100}})";
constexpr const char* kServerRegistration =
  R"({"upstream":"u","address":"10.0.0.1:80","zone":"z","state":"ready","labels":["a","r1"],)"
  R"("capacity":{"cpu":8000,"mem-mb":100,"gpu":1},"born":5,"clock-ms":9,"sequence":1})";
constexpr const char* kWave =
  R"({"wave":3,"machines":["i1","i2"],"duration-s":20.5,"max-count":2})";
constexpr const char* kJobBody =
  R"({"spec":"w","repeat-count":2,"start-at-ms":5,"interval-ms":6,"steps":[{"count":2,"cpu":1,)"
  R"("mem-mb":1,"estimated-ms":5,"image":"i","data-rack":"r1"},{"count":1,"cpu":1,"after":[0],)"
  R"("gang":true,"anti-affinity":1,"target-ms":4,"may-miss":1}]})";
constexpr const char* kReport =
  R"({"clock-ms":5,"born":7,"running":[["00000000000000aa.0.0.1",1,"c",40,3.5]],)"
  R"("finished":[[1,"00000000000000aa.0.0.0",1,"done",""]]})";
constexpr const char* kInstances =
  R"({"machines":[{"machine":"i1","pool":"p","state":"up","zone":"z","labels":["a"],)"
  R"("capacity":{"cpu":1},"id":"s1"}],"next-token":"n"})";
constexpr const char* kAdvice = R"({"good":[["s1","t1"]],"valid-ms":500})";
constexpr const char* kPage =
  R"({"items":[{"key":"k","value":"AAEC","offset":3}],"has-more":true,"end":9})";
constexpr const char* kAppend = R"({"offset":1,"end":2,"reason":"fenced","sequence":3})";
constexpr const char* kRefusal = R"({"clock-ms":5,"reason":"room"})";

// Guards against a process that crashes on one malformed message, for each body of the platform.
TEST_F(WireFuzzTest, PlatformBodies_Malformed_AreRefusedWithoutAnError)
{
  Reason reason;
  Fuzz(kConfiguration,
       [&](const auto& aBody) { (void)platform::DecodeConfiguration(aBody, reason); });
  Fuzz(kServerRegistration,
       [&](const auto& aBody) { (void)platform::DecodeServerRegistration("s1", aBody, reason); });
  Fuzz(kWave, [&](const auto& aBody) { (void)platform::DecodeWave(aBody, reason); });
  Fuzz(kJobBody, [&](const auto& aBody) { (void)platform::DecodeJob(aBody, reason); });
  Fuzz(kInstances, [](const auto& aBody) { (void)platform::DecodeInstancePage(aBody); });
  Fuzz(kAdvice, [](const auto& aBody) { (void)platform::DecodeAdvice(aBody); });
  Fuzz(kPage, [](const auto& aBody) { (void)platform::DecodeKeyedPage(aBody); });
  Fuzz(kAppend, [](const auto& aBody) { (void)platform::DecodeAppendResponse(aBody); });
  Fuzz(kRefusal, [](const auto& aBody) { (void)platform::DecodeOrderResponse(409, aBody); });
  Fuzz(kRefusal, [](const auto& aBody) { (void)platform::DecodeInstanceRefusal(aBody); });
  Fuzz(std::string(16, '\0') + std::string("\0\0\0\3abc", 7),
       [](const auto& aBody) { (void)platform::DecodeRecords(aBody); });
}

// Guards against a malformed server report that leaves the job table in a state that crashes the
// owner: the report is applied, and the next scheduling pass runs on the result.
TEST_F(WireFuzzTest, ServerReports_Malformed_LeaveTheJobTableUsable)
{
  Add("00000000000000aa", { Step(3), Step(1) });
  Run({ "00000000000000aa", 0, 0, 0 }, "s1");
  Fuzz(kReport, [this](const auto& aBody) {
    const auto report = platform::DecodeServerReport(aBody);
    if (!report) {
      return;
    }
    for (const auto& ended : report->m_ended) {
      ApplyEnd(m_jobTable, ended.m_end, 3, kNow);
    }
    (void)Reconcile(m_jobTable, "s1", *report, kNow + 1, kNow + 1);
    std::vector<ServerView> servers{ MakeServer("s1", 8'000), MakeServer("s2", 8'000) };
    Place(servers);
    (void)RunsToStop(m_jobTable);
  });
}

// Guards against a truncated or altered stored record that crashes every later owner.
TEST_F(WireFuzzTest, StoredRecords_Malformed_AreRefusedWithoutAnError)
{
  Add("00000000000000aa", { Step(3), Step(1) });
  Run({ "00000000000000aa", 0, 0, 0 }, "s1");
  const Job& job = m_jobTable.m_jobs.at("00000000000000aa");
  Fuzz(EncodeSubmission(job.m_spec), [](const auto& aBody) { (void)DecodeSubmission(aBody); });
  Fuzz(EncodeProgress(job), [](const auto& aBody) {
    JobTable jobTable;
    AddJob(jobTable, Spec("00000000000000aa", { Step(3), Step(1) }), kNow, 0);
    (void)ApplyProgress(jobTable, "00000000000000aa", aBody, kNow);
  });
  Fuzz(EncodeOwnershipRecord({ OwnershipRecordKind::Claim, "a", "b:1", 1, 2, 3 }),
       [](const auto& aBody) { (void)DecodeOwnershipRecord(aBody); });
  Fuzz(EncodeInstanceOrder({ "a", 1 }),
       [](const auto& aBody) { (void)DecodeInstanceOrder(aBody); });
  Fuzz(EncodeWaveRecord({ { "i1", "i2" }, 3 }),
       [](const auto& aBody) { (void)DecodeWaveRecord(aBody); });
}

// Guards against a malformed message between entry instances that crashes its receiver.
TEST_F(WireFuzzTest, CarrierMessages_Malformed_AreRefusedWithoutAnError)
{
  CarriedOrder order;
  order.m_kind = OrderKind::Start;
  order.m_server = "s1";
  order.m_subtask = { "00000000000000aa", 0, 1, 2 };
  order.m_payload = "work";
  CarriedResult result;
  result.m_report = ServerReport{ 5,
                                  7,
                                  { { order.m_subtask, 1, "c", 40, 3 } },
                                  { { 1, { order.m_subtask, 1, EndKind::Done, "" } } } };
  const std::vector<CarrierMessage> messages{ CarrierHello{ "a", "z", 0.5, 1 },
                                              CarrierHeartbeat{ 1, 2 },
                                              OrderBatch{ 3, 4, { order } },
                                              ResultBatch{ 5, { result } } };
  for (const auto& message : messages) {
    EXPECT_EQ(DecodeCarrierMessage(EncodeCarrierMessage(message)), message);
    Fuzz(EncodeCarrierMessage(message),
         [](const auto& aBody) { (void)DecodeCarrierMessage(aBody); });
  }
}

} // namespace
} // namespace pistachiostand::fleet
