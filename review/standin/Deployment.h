#pragma once

#include "Minion.h"

#include "tests/standins/PreparedInstances.h"
#include "tests/standins/PreparedStore.h"

#include "pistachiostand/connection/HttpClient.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <optional>
#include <random>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/// \file
/// \brief A small deployment for one test: entry instances as separate processes; the platform's
/// store, its instance interface, backend servers and the clients in the process of the test.

namespace review {

using pistachiostand::ClientRequest;
using pistachiostand::ClientResponse;
using pistachiostand::HttpClient;
using pistachiostand::HttpResponse;
using pistachiostand::fleet::standin::PreparedInstances;
using pistachiostand::fleet::standin::PreparedStore;

/// \brief Exit codes of a test.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/// \brief Limits of the platform's store, from the example of the settings in DEPLOY.md.
inline constexpr std::size_t kMaxRecordBytes = 262'144;
inline constexpr std::size_t kMaxCallBytes = 2'097'152;

/// \brief Writes what was sent, answered and run to `record.txt`.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(aPath, std::ios::app)
    , m_beginMs(MonotonicMs())
  {
  }

  void Line(const std::string& aText)
  {
    m_file << fmt::format("{:8.3f} {}\n", static_cast<double>(MonotonicMs() - m_beginMs) / 1'000.0,
                          aText);
    m_file.flush();
  }

private:
  std::ofstream m_file;
  Millis m_beginMs;
};

/// \brief In front of the store of this project's tests: applies the limits on records and calls,
/// which that store does not know.
class LimitedStore
{
public:
  LimitedStore(asio::io_context& aLoop, const Endpoint& aListen, Endpoint aStore, Record& aRecord)
    : m_client(HttpClient::Create(aLoop))
    , m_store(std::move(aStore))
    , m_record(aRecord)
  {
    pistachiostand::Reason reason;
    m_server = pistachiostand::HttpServer::Create(
      aLoop, { aListen, 400 },
      [this](const HttpRequest& aRequest, const HttpResponder& aRespond) {
        Handle(aRequest, aRespond);
      },
      reason);
  }

  [[nodiscard]] bool IsListening() const { return m_server != nullptr; }

  bool m_down{}; ///< Every call gets 503.

private:
  static std::size_t LargestRecord(const std::string& aBody)
  {
    std::size_t largest = 0;
    std::size_t at = 0;
    while (at + 4 <= aBody.size()) {
      std::size_t size = 0;
      for (std::size_t i = 0; i < 4; ++i) {
        size = (size << 8U) | static_cast<unsigned char>(aBody[at + i]);
      }
      largest = std::max(largest, size);
      at += 4 + size;
    }
    return largest;
  }

  void Handle(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    if (m_down) {
      aRespond({ 503, {}, "{}" });
      return;
    }
    const auto largest = aRequest.m_path == "/log-append" ? LargestRecord(aRequest.m_body) : 0;
    if (largest > kMaxRecordBytes || aRequest.m_body.size() > kMaxCallBytes) {
      if (m_tooLarge++ % kLogEvery == 0) {
        m_record.Line(fmt::format("store rejects append no. {} that is too large: topic {}, "
                                  "largest record {} bytes, call {} bytes",
                                  m_tooLarge, aRequest.m_query.at("topic"), largest,
                                  aRequest.m_body.size()));
      }
      aRespond({ 400, {}, R"({"error":"record too large"})" });
      return;
    }
    ClientRequest call;
    call.m_method = aRequest.m_method;
    call.m_url = "http://" + pistachiostand::ToString(m_store) + aRequest.m_path;
    char separator = '?';
    for (const auto& [name, value] : aRequest.m_query) {
      call.m_url += fmt::format("{}{}={}", std::exchange(separator, '&'), name, Encode(value));
    }
    call.m_body = aRequest.m_body;
    call.m_timeoutMs = 40'000;
    m_client->Send(std::move(call), [aRespond](ClientResponse aResponse) {
      aRespond({ static_cast<std::uint16_t>(aResponse.m_failure ? 503 : aResponse.m_status),
                 {},
                 std::move(aResponse.m_body) });
    });
  }

  static std::string Encode(const std::string& aText)
  {
    std::string encoded;
    for (const char each : aText) {
      const bool plain = (each >= '0' && each <= '9') || (each >= 'a' && each <= 'z') ||
                         (each >= 'A' && each <= 'Z') || each == '.' || each == '-' || each == '_';
      encoded +=
        plain ? std::string(1, each)
              : fmt::format("%{:02X}", static_cast<unsigned>(static_cast<unsigned char>(each)));
    }
    return encoded;
  }

  static constexpr std::size_t kLogEvery = 25;

  std::unique_ptr<HttpClient> m_client;
  Endpoint m_store;
  Record& m_record;
  std::unique_ptr<pistachiostand::HttpServer> m_server;
  std::size_t m_tooLarge{};
};

/// \brief The advice service: handles one call at a time, in turn, and refuses more than 32 waiting
/// calls. It allows all servers.
class AdviceService
{
public:
  static constexpr Millis kDecisionMs = 200;
  static constexpr Millis kPerWorkerMs = 30;
  static constexpr Millis kValidMs = 3'000;

  AdviceService(asio::io_context& aLoop, const Endpoint& aListen, Fleet& aFleet, Record& aRecord)
    : m_timer(aLoop)
    , m_fleet(aFleet)
    , m_record(aRecord)
  {
    pistachiostand::Reason reason;
    m_server = pistachiostand::HttpServer::Create(
      aLoop, { aListen, 200 },
      [this](const HttpRequest& aRequest, const HttpResponder& aRespond) {
        Handle(aRequest, aRespond);
      },
      reason);
  }

  [[nodiscard]] bool IsListening() const { return m_server != nullptr; }

private:
  static constexpr std::size_t kMaxWaiting = 32;

  struct Call
  {
    std::string m_step;
    std::vector<std::string> m_workers;
    HttpResponder m_respond;
    Millis m_arrivedMs{};
  };

  void Handle(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    const auto body = Json::parse(aRequest.m_body, nullptr, false);
    if (!body.is_object() || aRequest.m_path != "/advise") {
      aRespond({ 400, {}, "{}" });
      return;
    }
    if (m_waiting.size() >= kMaxWaiting) {
      if (m_refused++ % kLogEvery == 0) {
        m_record.Line(fmt::format("advice refuses call no. {}, 32 are waiting", m_refused));
      }
      aRespond({ 429, {}, "{}" });
      return;
    }
    m_waiting.push_back({ body.at("step").get<std::string>(),
                          body.at("workers").get<std::vector<std::string>>(), aRespond,
                          MonotonicMs() });
    if (m_waiting.size() == 1) {
      Begin();
    }
  }

  void Begin()
  {
    const auto workers = static_cast<Millis>(m_waiting.front().m_workers.size());
    m_timer.expires_after(std::chrono::milliseconds{ kDecisionMs + kPerWorkerMs * workers });
    m_timer.async_wait([this](const std::error_code& aError) {
      if (!aError) {
        Answer();
      }
    });
  }

  void Answer()
  {
    const Call call = m_waiting.front();
    m_waiting.erase(m_waiting.begin());
    Json good = Json::array();
    const Millis now = MonotonicMs();
    for (const auto& worker : call.m_workers) {
      const auto ticket = fmt::format("{}/{}/{}", call.m_step, worker, now);
      m_fleet.m_tickets[ticket] = now + kValidMs;
      good.push_back({ worker, ticket });
    }
    m_record.Line(fmt::format("advice answers on step {} after {} ms, {} calls wait", call.m_step,
                              now - call.m_arrivedMs, m_waiting.size()));
    call.m_respond({ 200, {}, Json{ { "good", good }, { "valid-ms", kValidMs } }.dump() });
    if (!m_waiting.empty()) {
      Begin();
    }
  }

  static constexpr std::size_t kLogEvery = 200;

  asio::steady_timer m_timer;
  Fleet& m_fleet;
  Record& m_record;
  std::unique_ptr<pistachiostand::HttpServer> m_server;
  std::vector<Call> m_waiting;
  std::size_t m_refused{};
};

/// \brief Arguments of a test program: FOLDER RECORD ENTRY-PROGRAM.
struct Arguments
{
  std::string m_folder;
  std::string m_record;
  std::string m_entryProgram;
  bool m_trouble{};

  static std::optional<Arguments> Parse(int aCount, char** aValues)
  {
    if (aCount != 4) {
      std::fprintf(stderr, "usage: PROGRAM FOLDER RECORD ENTRY-PROGRAM\n");
      return std::nullopt;
    }
    const char* trouble = std::getenv("TROUBLE");
    return Arguments{ aValues[1], aValues[2], aValues[3],
                      trouble == nullptr || std::string{ trouble } != "0" };
  }
};

class Deployment
{
public:
  static constexpr int kEntries = 3;
  static constexpr const char* kHost = "jobs.example";

  Deployment(Arguments aArguments, int aMinions)
    : m_arguments(std::move(aArguments))
    , m_record(m_arguments.m_record)
    , m_port(FreePorts(kFirstServer + aMinions))
    , m_client(HttpClient::Create(m_loop))
    , m_store(m_loop, At(1))
    , m_limitedStore(m_loop, At(0), At(1), m_record)
    , m_instances(m_loop, At(2))
    , m_advice(m_loop, At(3), m_fleet, m_record)
  {
    m_fleet.m_log = [this](const std::string& aText) { m_record.Line(aText); };
    m_record.Line(
      fmt::format("trouble={} entries={} servers={}", m_arguments.m_trouble, kEntries, aMinions));
    for (int number = 0; number < aMinions; ++number) {
      Minion::Options options;
      options.m_id = fmt::format("worker-{:02}-7f3a91c2", number);
      options.m_listen = At(kFirstServer + number);
      options.m_rack = fmt::format("r1-{}", number / 4);
      m_instances.Add(fmt::format("machine-{:02}", number), "pool", options.m_id);
      m_minions.push_back(std::make_unique<Minion>(m_loop, options, m_fleet));
    }
  }

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  ~Deployment()
  {
    for (const auto& [number, pid] : m_pids) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    m_pids.clear();
    WritePids();
  }

  [[nodiscard]] bool Trouble() const { return m_arguments.m_trouble; }
  [[nodiscard]] Record& Log() { return m_record; }
  [[nodiscard]] Fleet& Servers() { return m_fleet; }
  [[nodiscard]] Minion& Server(int aNumber) { return *m_minions.at(Index(aNumber)); }
  [[nodiscard]] LimitedStore& Store() { return m_limitedStore; }

  /// \brief The operator writes a manifest.
  void Publish(const Json& aManifest)
  {
    m_record.Line("operator writes manifest " + aManifest.dump());
    m_store.Put("keyed.op", "config", aManifest.dump());
  }

  static Json Manifest(int aVersion, const Json& aRoutes)
  {
    return Json{ { "version", aVersion },
                 { "routes", aRoutes },
                 { "upstreams", { { { "name", "pool" }, { "admission-check", true } } } },
                 { "limits", { { "max-body-bytes", 262'144 } } } };
  }

  static Json Route(const std::string& aName, int aAttempts)
  {
    return Json{
      { "name", aName },           { "host", kHost },         { "path-prefix", "/" + aName + "/" },
      { "upstream", "pool" },      { "attempts", aAttempts }, { "stretch", 1.6 },
      { "target-latency-ms", 600 }
    };
  }

  /// \brief Starts the entry instances and waits until all of them are ready.
  [[nodiscard]] bool Start()
  {
    if (!AreListening() || !std::ranges::all_of(m_minions, &Minion::IsListening)) {
      return false;
    }
    Heartbeat();
    for (int number = 0; number < kEntries; ++number) {
      if (!Spawn(number)) {
        return false;
      }
    }
    constexpr Millis kStartMs = 15'000;
    const Millis end = MonotonicMs() + kStartMs;
    while (MonotonicMs() < end) {
      int ready = 0;
      for (int number = 0; number < kEntries; ++number) {
        ready += Call(At(EntryPort(number) + 1), "GET", "/readyz").m_status == 200 ? 1 : 0;
      }
      if (ready == kEntries) {
        m_record.Line("all entry instances are ready");
        return true;
      }
      Run(200);
    }
    return false;
  }

  void Run(Millis aMs) { m_loop.run_for(std::chrono::milliseconds{ aMs }); }

  template<typename Condition>
  bool RunUntil(Condition aCondition, Millis aLimitMs)
  {
    const Millis end = MonotonicMs() + aLimitMs;
    while (!aCondition() && MonotonicMs() < end) {
      Run(5);
    }
    return aCondition();
  }

  ClientResponse Call(const Endpoint& aTo, const std::string& aMethod, const std::string& aPath,
                      const std::string& aBody = {}, Millis aTimeoutMs = 3'000)
  {
    ClientRequest request;
    request.m_method = aMethod;
    request.m_url = "http://" + pistachiostand::ToString(aTo) + aPath;
    request.m_headers = { { "host", kHost },
                          { "content-type", "application/json" },
                          { "deadline-ms", std::to_string(aTimeoutMs) } };
    request.m_body = aBody;
    request.m_timeoutMs = aTimeoutMs;
    std::optional<ClientResponse> response;
    m_client->Send(std::move(request),
                   [&response](ClientResponse aResponse) { response = std::move(aResponse); });
    RunUntil([&response] { return response.has_value(); }, aTimeoutMs + 1'000);
    return response.value_or(ClientResponse{});
  }

  /// \brief A client's call to the `front` address of an entry instance, with a line in the record.
  ClientResponse Ask(int aEntry, const std::string& aMethod, const std::string& aPath,
                     const std::string& aBody = {})
  {
    auto response = Call(At(EntryPort(aEntry)), aMethod, aPath, aBody);
    m_record.Line(fmt::format("client {} {} at entry {} {} -> {} {}", aMethod, aPath, aEntry, aBody,
                              response.m_failure ? "no answer" : std::to_string(response.m_status),
                              response.m_body));
    return response;
  }

  /// \brief Submits a job until it is accepted; the same id is sent again after other responses.
  bool Submit(const std::string& aRoute, const std::string& aId, const Json& aBody, int aCpu,
              int aMemoryMb)
  {
    m_fleet.m_needs[aId] = { aCpu, aMemoryMb };
    constexpr int kTries = 5;
    for (int attempt = 0; attempt < kTries; ++attempt) {
      const auto path = fmt::format("/{}/{}", aRoute, aId);
      const auto response = Ask(attempt % kEntries, "POST", path, aBody.dump());
      if (!response.m_failure && response.m_status == 200) {
        return true;
      }
      Run(1'000);
    }
    return false;
  }

  /// \brief State of a job as a client reads it; empty when no entry instance gives it.
  std::string State(const std::string& aRoute, const std::string& aId)
  {
    for (int entry = 0; entry < kEntries; ++entry) {
      const auto response = Ask(entry, "GET", fmt::format("/{}/{}", aRoute, aId));
      const auto body = Json::parse(response.m_body, nullptr, false);
      if (!response.m_failure && response.m_status == 200 && body.is_object()) {
        return body.value("state", "");
      }
    }
    return {};
  }

  /// \brief Number of runs of the job that ended so.
  [[nodiscard]] std::size_t Ends(const std::string& aId, const std::string& aHow) const
  {
    return static_cast<std::size_t>(std::ranges::count_if(m_fleet.m_history, [&](const auto& aRun) {
      return aRun->m_task.starts_with(aId) && aRun->m_how == aHow;
    }));
  }

  [[nodiscard]] std::size_t Starts(const std::string& aId) const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      m_fleet.m_history, [&](const auto& aRun) { return aRun->m_task.starts_with(aId); }));
  }

  int Finish(bool aIsBroken, const std::string& aVerdict)
  {
    m_record.Line(fmt::format("{}: {}", aIsBroken ? "RULE BROKEN" : "rule held", aVerdict));
    std::printf("%s: %s\n", aIsBroken ? "RULE BROKEN" : "rule held", aVerdict.c_str());
    return aIsBroken ? kBroken : kHeld;
  }

private:
  static constexpr int kFirstEntry = 10;
  static constexpr int kPortsPerEntry = 10;
  static constexpr int kFirstServer = kFirstEntry + kEntries * kPortsPerEntry;

  static std::size_t Index(int aNumber) { return static_cast<std::size_t>(aNumber); }
  static int EntryPort(int aNumber) { return kFirstEntry + aNumber * kPortsPerEntry; }

  [[nodiscard]] Endpoint At(int aOffset) const
  {
    return { "127.0.0.1", static_cast<std::uint16_t>(m_port + aOffset) };
  }

  [[nodiscard]] bool AreListening() const
  {
    return m_store.IsListening() && m_limitedStore.IsListening() && m_instances.IsListening() &&
           m_advice.IsListening();
  }

  static bool IsFree(int aPort)
  {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isFree =
      ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(socket);
    return isFree;
  }

  /// \brief First of a range of free ports, below those that the kernel gives to connections.
  static int FreePorts(int aCount)
  {
    constexpr int kTries = 200;
    std::random_device random;
    for (int attempt = 0; attempt < kTries; ++attempt) {
      const int base = 15'000 + static_cast<int>(random() % 16'000U);
      bool isFree = true;
      for (int port = base; isFree && port < base + aCount; ++port) {
        isFree = IsFree(port);
      }
      if (isFree) {
        return base;
      }
    }
    return 15'000;
  }

  /// \brief Each server writes its registration at its heartbeat.
  void Heartbeat()
  {
    for (const auto& minion : m_minions) {
      if (minion->IsUp()) {
        m_store.Put("keyed.servers", minion->Id(), minion->Entry());
      }
    }
    m_heartbeat.expires_after(std::chrono::milliseconds{ kHeartbeatMs });
    m_heartbeat.async_wait([this](const std::error_code& aError) {
      if (!aError) {
        Heartbeat();
      }
    });
  }

  [[nodiscard]] std::string Settings(int aNumber) const
  {
    const auto at = [this](int aOffset) { return pistachiostand::ToString(At(aOffset)); };
    const int base = EntryPort(aNumber);
    return fmt::format(
      "[entry]\nid = \"entry-{}\"\nzone = \"z1\"\nprocessor_share = 0.25\n"
      "[listen]\ncallers = \"{}\"\nready = \"{}\"\nentries = \"{}\"\nmetrics = \"{}\"\n"
      "[store]\naddress = \"{}\"\nwrites_per_s = 800\nreads_per_s = 2000\npartitions = 8\n"
      "[instances]\naddress = \"{}\"\norders_per_s = 64\nlists_per_s = 64\n"
      "[advice]\naddress = \"{}\"\n"
      "[bounds]\nmax_lease_ms = {}\nstop_ms = 400\ncontact_ms = 3000\ngrace_s = 6\n"
      "exclusive_ms = 3000\ndrain_ms = 2000\nkeep_state_s = 120\nearly_ms = 250\n"
      "remote_factor = 3\nnotice_ms = 4500\nmove_s = 1.5\nmaintenance_s = 2\nharm_ms = 4000\n"
      "pace_ms = 100\n",
      aNumber, at(base), at(base + 1), at(base + 2), at(base + 4), at(0), at(2), at(3), kMaxHoldMs);
  }

  bool Spawn(int aNumber)
  {
    const std::string settings = fmt::format("{}/entry-{}.toml", m_arguments.m_folder, aNumber);
    std::ofstream{ settings } << Settings(aNumber);
    const std::string log = fmt::format("{}/entry-{}.log", m_arguments.m_folder, aNumber);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string variable = "PISTACHIOSTAND_NODE_FILE=" + settings;
    std::string program = m_arguments.m_entryProgram;
    char* arguments[] = { program.data(), nullptr };
    char* environment[] = { variable.data(), nullptr };
    pid_t pid = 0;
    const bool started =
      ::posix_spawn(&pid, program.c_str(), &actions, nullptr, arguments, environment) == 0;
    posix_spawn_file_actions_destroy(&actions);
    if (started) {
      m_pids[aNumber] = pid;
      WritePids();
      m_record.Line(fmt::format("entry {} starts", aNumber));
    }
    return started;
  }

  /// \brief Lists the processes that are left, for run.sh to end when this program is killed.
  void WritePids() const
  {
    std::ofstream file{ m_arguments.m_folder + "/pids" };
    for (const auto& [number, pid] : m_pids) {
      file << pid << '\n';
    }
  }

  Arguments m_arguments;
  asio::io_context m_loop{ 1 };
  Record m_record;
  int m_port;
  Fleet m_fleet;
  std::unique_ptr<HttpClient> m_client;
  PreparedStore m_store;
  LimitedStore m_limitedStore;
  PreparedInstances m_instances;
  AdviceService m_advice;
  std::vector<std::unique_ptr<Minion>> m_minions;
  asio::steady_timer m_heartbeat{ m_loop };
  std::map<int, pid_t> m_pids;
};

} // namespace review
