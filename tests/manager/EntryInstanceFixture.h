#pragma once

#include "../standins/PreparedServer.h"
#include "../standins/PreparedStore.h"

#include "src/manager/EntryInstance.h"

#include "pistachiostand/connection/HttpClient.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Complete entry instances against stand-ins, in one process.

namespace pistachiostand::fleet {

/// \brief An entry instance with its own loop, so that destroying it stops all its activity.
struct Entry
{
  asio::io_context m_loop{ 1 };
  std::unique_ptr<EntryInstance> m_entryInstance;
};

/// \brief Entry instances, a store and two backend servers in one thread, over loopback HTTP.
class EntryInstanceFixture : public ::testing::Test
{
protected:
  static constexpr std::uint16_t kPort = 21'400;
  static constexpr const char* kJob = "00000000000000aa";

  static Endpoint At(int aOffset)
  {
    return { "127.0.0.1", static_cast<std::uint16_t>(kPort + aOffset) };
  }

  EntryInstanceFixture()
    : m_client(HttpClient::Create(m_loop))
    , m_store(m_loop, At(0))
    , m_first(m_loop, At(1), 400)
    , m_second(m_loop, At(2), 400)
  {
    m_store.Put("keyed.op", "config", Configuration(1, "/lookups/"));
    m_store.Put("keyed.servers", "s1", m_first.Entry("lookup"));
    m_store.Put("keyed.servers", "s2", m_second.Entry("lookup"));
  }

  void SetUp() override
  {
    ASSERT_TRUE(m_store.IsListening() && m_first.IsListening() && m_second.IsListening());
  }

  static std::string Configuration(int aRevision, const std::string& aPrefix)
  {
    return nlohmann::json{
      { "version", aRevision },
      { "routes",
        { { { "name", "r" },
            { "host", "shop.example" },
            { "path-prefix", aPrefix },
            { "upstream", "lookup" },
            { "attempts", 2 } } } },
      { "upstreams", { { { "name", "lookup" }, { "admission-check", true } } } }
    }.dump();
  }

  [[nodiscard]] EntrySettings Settings(int aNumber) const
  {
    const int base = 10 * aNumber;
    EntrySettings settings;
    settings.m_id = "entry-" + std::to_string(aNumber);
    const auto zone = m_zones.find(aNumber);
    settings.m_zone = zone == m_zones.end() ? "z1" : zone->second;
    settings.m_callerListen = At(base);
    settings.m_readyListen = At(base + 1);
    settings.m_entryListen = At(base + 2);
    settings.m_metricsListen = At(base + 4); // The port in between is for carriers.
    settings.m_store = m_storeAddress;
    settings.m_storePartitions = 4;
    settings.m_advice = m_advice;
    settings.m_instances = At(9); // Nothing listens there, so capacity does not change.
    settings.m_maxDirectServers = m_maxDirectServers;
    settings.m_instanceOrdersPerS = m_instanceOrdersPerS;
    settings.m_access = m_access;
    settings.m_bounds.m_maxLeaseMs = m_maxLeaseMs;
    settings.m_bounds.m_graceMs = 6'000;
    settings.m_bounds.m_exclusiveMs = 3'000;
    settings.m_bounds.m_keepStateMs = 120'000;
    return settings;
  }

  void Start(int aNumber)
  {
    Reason reason;
    auto& entry = m_entries[aNumber];
    entry = std::make_unique<Entry>();
    entry->m_entryInstance = EntryInstance::Create(entry->m_loop, Settings(aNumber), {}, reason);
    ASSERT_TRUE(entry->m_entryInstance) << reason.m_cause;
  }

  /// \brief Runs the loops until the condition holds; false after the time limit.
  template<typename Condition>
  bool RunUntil(Condition aCondition, Millis aLimitMs = 10'000)
  {
    const Millis end = MonotonicMs() + aLimitMs;
    while (!aCondition() && MonotonicMs() < end) {
      m_loop.run_for(std::chrono::milliseconds{ 1 });
      for (const auto& [number, entry] : m_entries) {
        if (!m_paused.contains(number)) {
          entry->m_loop.poll();
        }
      }
    }
    return aCondition();
  }

  static ClientRequest Request(int aInstance, const std::string& aMethod, const std::string& aPath,
                               const std::string& aBody = {})
  {
    ClientRequest request;
    request.m_method = aMethod;
    request.m_url = "http://" + pistachiostand::ToString(At(10 * aInstance)) + aPath;
    request.m_headers = { { "host", "shop.example" } };
    request.m_body = aBody;
    request.m_timeoutMs = 4'000;
    return request;
  }

  ClientResponse Call(int aInstance, const std::string& aMethod, const std::string& aPath,
                      const std::string& aBody = {})
  {
    return Call(Request(aInstance, aMethod, aPath, aBody));
  }

  ClientResponse Call(ClientRequest aRequest)
  {
    std::optional<ClientResponse> response;
    m_client->Send(std::move(aRequest),
                   [&response](const ClientResponse& aResponse) { response = aResponse; });
    RunUntil([&response] { return response.has_value(); }, 5'000);
    return response.value_or(ClientResponse{});
  }

  bool IsReady(int aInstance)
  {
    return RunUntil([&] { return Call(aInstance, "GET", "/lookups/").m_status == 200; });
  }

  std::string StateAt(int aInstance)
  {
    const auto response = Call(aInstance, "GET", std::string{ "/lookups/" } + kJob);
    const auto body = nlohmann::json::parse(response.m_body, nullptr, false);
    return body.is_object() ? body.value("state", "") : "";
  }

  bool Completes(int aInstance)
  {
    return RunUntil([&] { return StateAt(aInstance) == "completed"; }, 20'000);
  }

  [[nodiscard]] int DoneCount(const std::string& aSubtask)
  {
    return m_first.m_done[aSubtask] + m_second.m_done[aSubtask];
  }

  static std::string TwoSteps()
  {
    return R"({"spec":"work","steps":[{"count":3,"cpu":1000,"mem-mb":100,"estimated-ms":400},)"
           R"({"count":2,"cpu":1000,"mem-mb":100,"estimated-ms":400,"after":[0]}]})";
  }

  /// \brief Names of the submission topic's partition logs in the stand-in.
  static std::vector<std::string> SubmissionLogs()
  {
    return { "keyed.jobs", "keyed.jobs/1", "keyed.jobs/2", "keyed.jobs/3" };
  }

  static std::vector<std::string> AllSubtasks()
  {
    const std::string id = kJob;
    return { id + ".0.0.0", id + ".0.0.1", id + ".0.0.2", id + ".0.1.0", id + ".0.1.1" };
  }

  asio::io_context m_loop{ 1 };
  Endpoint m_storeAddress = At(0);
  std::unique_ptr<HttpClient> m_client;
  standin::PreparedStore m_store;
  standin::PreparedServer m_first;
  standin::PreparedServer m_second;
  std::map<int, std::unique_ptr<Entry>> m_entries;
  std::set<int> m_paused;             ///< Instances whose loops do not run.
  std::map<int, std::string> m_zones; ///< Zones of the instances outside z1.
  std::uint32_t m_maxDirectServers = 120;
  Millis m_maxLeaseMs = 6'000;      ///< Longest lease that a server grants.
  double m_instanceOrdersPerS = 0;  ///< 0: not set.
  std::optional<Endpoint> m_advice; ///< Placement service; nullopt: none.
  AccessPolicy m_access;            ///< Without accounts unless a test sets it.
};

} // namespace pistachiostand::fleet
