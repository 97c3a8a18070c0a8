#include "JobDeployment.h"

#include "pistachiostand/base/Base64.h"
#include "pistachiostand/process/RecordCodec.h"

#include <algorithm>
#include <stdexcept>

namespace pistachiostand::testing {

namespace {

constexpr auto kLimits = "heartbeat_ms = 100\npeer_timeout_ms = 1000\nclaim_window_ms = 1500\n"
                         "list_poll_ms = 100\ntail_wait_ms = 300\nplatform_timeout_ms = 1000\n"
                         "shutdown_grace_ms = 20000\n";

std::string RulesFor(const std::string& aTaskControl)
{
  // Without task control, a caller receives "unknown" only when the timeout expires.
  const std::string batchTimeout = aTaskControl == "none" ? "4000" : "15000";
  const std::string control = "task_control = \"" + aTaskControl + "\"";
  return "pool.batches = { instances = 2, min_available = 1, " + control +
         " } # Ann Lee: wheel-build batches\n"
         "pool.refresh = { instances = 2, min_available = 1, " +
         control +
         " } # Ann Lee: rim catalog\n"
         "pool.lookups = { instances = 3, min_available = 1, " +
         control +
         " } # Ann Lee: counter lookups\n"
         "pool.admin = { instances = 1, spare = true } # Ann Lee: spare pool\n"
         "service.batches = { pool = \"batches\", class = \"batch\", idempotent = false, "
         "timeout_ms = " +
         batchTimeout +
         " } # Ann Lee: billed once\n"
         "service.refresh = { pool = \"refresh\", class = \"overnight\", idempotent = true, "
         "timeout_ms = 15000 } # Ann Lee: overnight\n"
         "service.lookups = { pool = \"lookups\", class = \"urgent\", idempotent = true, "
         "timeout_ms = 3000 } # Ann Lee: customer waits\n"
         "service.counter = { pool = \"lookups\", class = \"urgent\", idempotent = true, "
         "timeout_ms = 500 } # Ann Lee: short wait\n"
         "tenant.tupelo = { share = 2, max_queued = 64 } # Bo Cruz: larger contract\n"
         "tenant.pecan = { share = 1, max_queued = 16 } # Bo Cruz: small shop\n";
}

bool IsFinalPhase(const std::string& aPhase)
{
  return aPhase == "completed" || aPhase == "stopped" || aPhase == "not-run";
}

/// The key of a record that claims a job, or an empty string for other records.
std::string ClaimedKey(const Record& aRecord)
{
  if (const auto* submit = std::get_if<Submit>(&aRecord.m_body)) {
    return submit->m_claim ? submit->m_key : std::string{};
  }
  const auto* claim = std::get_if<Claim>(&aRecord.m_body);
  return claim == nullptr ? std::string{} : claim->m_key;
}

} // namespace

void JobDeployment::StartJobDeployment(const std::vector<std::string>& aBackendArguments,
                                       const std::string& aTaskControl)
{
  StartPlatform({ "--reboot-ms=50" });
  const std::vector<std::string> pools{ "batches", "batches", "refresh", "refresh",
                                        "lookups", "lookups", "lookups", "admin" };
  auto arguments = aBackendArguments;
  arguments.push_back("--task-control=" + aTaskControl);
  for (std::size_t i = 0; i < pools.size(); ++i) {
    const auto zone = "z" + std::to_string(i % 2 + 1);
    StartBackend({ "b" + std::to_string(i + 1), zone, "rack-" + zone, pools[i], arguments });
  }
  SetLimits(kLimits);
  StartEntries({ "z1", "z2", "z1" });
  PublishRules(0, { RulesFor(aTaskControl) });
  WaitUntilReady();
  WaitForRevision(1);
  WaitForPeers();
  for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
    const auto key = "probe-" + std::to_string(entry);
    const auto response = RepeatUntilFinal(entry, { "batches", "tupelo", "probe", key });
    ASSERT_EQ(response.m_status, 200) << response.m_body;
    WaitUntil("a lookup through " + m_entries[entry].m_id, [&] {
      return Call(entry, { "lookups", "tupelo", "probe" }).m_status == 200;
    });
  }
}

void JobDeployment::WaitForPeers()
{
  // An entry instance that has not sent a heartbeat yet counts as lost already, so a test that
  // starts earlier would not exercise the peer timeout.
  for (const auto& entry : m_entries) {
    WaitUntil("all peers of " + entry.m_id, [&] {
      const auto entries = GetJson(entry, "/v1/status").at("entries");
      return entries.size() == m_entries.size() &&
             std::all_of(entries.begin(), entries.end(),
                         [](const Json& aPeer) { return aPeer.value("alive", false); });
    });
  }
}

HttpResponse JobDeployment::RepeatUntilFinal(std::size_t aEntry, const ServiceRequest& aRequest)
{
  HttpResponse response;
  WaitUntil("a final outcome of " + aRequest.m_key, [&] {
    response = Call(aEntry, aRequest);
    if (response.Header("x-outcome") == "not-run") {
      EXPECT_EQ(StartedCount(aRequest.m_key), 0U) << response.m_body;
    }
    return response.m_status != 202 && response.m_status != 503;
  });
  return response;
}

HttpResponse JobDeployment::GetJob(std::size_t aEntry, const std::string& aKey) const
{
  return SendRequest(
    { "GET", m_entries.at(aEntry).m_address, "/v1/jobs/" + aKey, { { "X-Tenant", "tupelo" } } });
}

HttpResponse JobDeployment::CancelJob(std::size_t aEntry, const std::string& aKey) const
{
  return SendRequest(
    { "DELETE", m_entries.at(aEntry).m_address, "/v1/jobs/" + aKey, { { "X-Tenant", "tupelo" } } });
}

std::string JobDeployment::PhaseOf(std::size_t aEntry, const std::string& aKey) const
{
  return GetJob(aEntry, aKey).Field("phase");
}

void JobDeployment::WaitForPhase(std::size_t aEntry, const std::string& aKey,
                                 const std::string& aPhase)
{
  WaitUntil("phase " + aPhase + " of " + aKey, [&] { return PhaseOf(aEntry, aKey) == aPhase; });
}

void JobDeployment::WaitForFinalPhase(std::size_t aEntry, const std::string& aKey)
{
  WaitUntil("the end of " + aKey, [&] { return IsFinalPhase(PhaseOf(aEntry, aKey)); });
}

void JobDeployment::WaitForStart(const std::string& aKey, std::size_t aCount)
{
  WaitUntil("the start of " + aKey, [&] { return StartedCount(aKey) >= aCount; });
}

void JobDeployment::SubmitJob(std::size_t aEntry, const std::string& aService,
                              const std::string& aKey)
{
  const ServiceRequest request{ aService, "tupelo", "payload of " + aKey, aKey, {}, "jobs" };
  WaitUntil("the submit of " + aKey, [&] { return Call(aEntry, request).m_status == 202; });
}

std::vector<Record> JobDeployment::ReadLog() const
{
  const auto log = GetJson(m_platform, "/log/read?from=0&max=1000000");
  std::vector<Record> records;
  for (const auto& each : log.at("records")) {
    Reason reason;
    auto record = DecodeRecord(
      DecodeBase64(each.at("data").get<std::string>()).value_or(std::string{}), reason);
    if (!record) {
      throw std::runtime_error("a record of the log cannot be decoded: " + reason.m_cause);
    }
    records.push_back(std::move(*record));
  }
  return records;
}

std::optional<std::size_t> JobDeployment::ClaimantOf(const std::string& aKey) const
{
  std::optional<std::size_t> claimant;
  for (const auto& record : ReadLog()) {
    if (ClaimedKey(record) != "tupelo/" + aKey) {
      continue;
    }
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const Server& aEntry) {
      return record.m_author.starts_with(aEntry.m_id + "#");
    });
    claimant = static_cast<std::size_t>(found - m_entries.begin());
  }
  return claimant;
}

void JobDeployment::WaitForClaim(const std::string& aKey)
{
  WaitUntil("a claim of " + aKey + " in the log", [&] { return ClaimantOf(aKey).has_value(); });
}

Json JobDeployment::RunsOf(const std::string& aKey) const
{
  Json runs = Json::array();
  for (const auto& backend : m_backends) {
    const auto executions = GetJson(backend, "/control/executions");
    const auto found = executions.find("tupelo/" + aKey);
    if (found != executions.end()) {
      runs.insert(runs.end(), found->at("runs").begin(), found->at("runs").end());
    }
  }
  return runs;
}

std::size_t JobDeployment::ServerOf(const std::string& aKey) const
{
  const auto found = std::find_if(m_backends.begin(), m_backends.end(), [&](const Server& aServer) {
    return GetJson(aServer, "/control/executions").contains("tupelo/" + aKey);
  });
  return static_cast<std::size_t>(found - m_backends.begin());
}

void JobDeployment::ControlBackends(const std::string& aCommand) const
{
  for (const auto& backend : m_backends) {
    Control(backend, aCommand);
  }
}

} // namespace pistachiostand::testing
