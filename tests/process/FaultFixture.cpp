#include "FaultFixture.h"

#include "pistachiostand/base/Base64.h"
#include "pistachiostand/process/Fold.h"
#include "pistachiostand/process/RecordCodec.h"

#include <algorithm>
#include <stdexcept>

namespace pistachiostand::testing {

void FaultFixture::StartBackends(const std::vector<std::string>& aPools)
{
  for (std::size_t i = 0; i < aPools.size(); ++i) {
    const auto number = std::to_string(m_backends.size() + 1);
    std::vector<std::string> arguments;
    if (aPools[i] == "quotes") {
      arguments.emplace_back("--task-control=none");
    }
    StartBackend(
      { "b" + number, "z" + std::to_string(i % 3 + 1), "r" + number, aPools[i], arguments });
  }
}

void FaultFixture::WaitUntilServed(std::size_t aEntry, const std::string& aService)
{
  WaitUntil(aService + " through " + m_entries.at(aEntry).m_id, [&] {
    return Call(aEntry, { aService, "tupelo", "probe" }).m_status == 200;
  });
}

void FaultFixture::WaitUntilServed(const std::string& aService)
{
  for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
    WaitUntilServed(entry, aService);
  }
}

void FaultFixture::WaitUntilPeersSeeEachOther()
{
  for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
    WaitUntil("peers of " + m_entries[entry].m_id, [&] {
      const auto entries = Status(entry).at("entries");
      return entries.size() == m_entries.size() &&
             std::ranges::all_of(entries,
                                 [](const Json& aEach) { return aEach.at("alive") == true; });
    });
  }
}

HttpResponse FaultFixture::CallNamed(std::size_t aEntry, const std::string& aService,
                                     const std::string& aId, const std::string& aKey)
{
  return Call(aEntry, { aService, "tupelo", "body", aKey, { { "X-Request-Id", aId } } });
}

void FaultFixture::AppendRecords(const std::vector<RecordBody>& aBodies)
{
  Json records = Json::array();
  for (const auto& body : aBodies) {
    records.push_back(EncodeBase64(EncodeRecord({ ++m_lastRecordId, "test#1", body })));
  }
  const auto response = SendRequest({ "POST",
                                      m_platform.m_address,
                                      "/log/append",
                                      {},
                                      Json{ { "records", std::move(records) } }.dump() });
  if (response.m_status != 200) {
    throw std::runtime_error("append: status " + std::to_string(response.m_status));
  }
}

void FaultFixture::AdvanceFoldTime(Millis aByMs)
{
  const Millis target = LogState().m_timeMs + aByMs;
  const auto steps = static_cast<std::size_t>((aByMs + kMaxTickAdvanceMs - 1) / kMaxTickAdvanceMs);
  AppendRecords(std::vector<RecordBody>(steps, Tick{ target }));
}

FleetState FaultFixture::ReplayLog(
  const std::function<void(const FleetState&, const LogEntry&, const ApplyResult&)>& aObserve)
{
  const LogReplica* reader = nullptr;
  LogReplica replica([&](const LogEntry& aEntry, const ApplyResult& aApplyResult) {
    if (aObserve) {
      aObserve(reader->State(), aEntry, aApplyResult);
    }
  });
  reader = &replica;
  const auto log = GetJson(m_platform, "/log/read?from=0&max=1000000");
  std::vector<std::string> records;
  for (const auto& record : log.at("records")) {
    records.push_back(DecodeBase64(record.at("data").get<std::string>()).value());
  }
  if (!records.empty()) {
    replica.Feed(log.at("records").front().at("offset").get<Offset>(), records);
  }
  EXPECT_TRUE(replica.OnEndOfLog());
  EXPECT_EQ(replica.CorruptRecords(), 0U);
  return replica.State();
}

Json FaultFixture::PoolOf(const Json& aStatus, const std::string& aPool)
{
  const auto& pools = aStatus.at("pools");
  const auto found =
    std::ranges::find_if(pools, [&](const Json& aEach) { return aEach.at("name") == aPool; });
  return found == pools.end() ? Json() : *found;
}

Json FaultFixture::InstanceOf(const Json& aStatus, const std::string& aInstance)
{
  const auto& instances = aStatus.at("instances");
  const auto found =
    std::ranges::find_if(instances, [&](const Json& aEach) { return aEach.at("id") == aInstance; });
  return found == instances.end() ? Json() : *found;
}

void FaultFixture::ExpectNoDigestMismatch()
{
  for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
    EXPECT_EQ(Status(entry).at("digest_mismatches"), 0) << m_entries[entry].m_id;
  }
}

} // namespace pistachiostand::testing
