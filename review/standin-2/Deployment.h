#pragma once

#include "Minion.h"

#include "tests/standins/PreparedStore.h"

#include "pistachiostand/connection/HttpClient.h"
#include "pistachiostand/ownership/Leadership.h"

#include <fmt/format.h>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <optional>
#include <random>
#include <spawn.h>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

/// \file
/// \brief A small deployment on loopback addresses: entry instances as processes of their own, the
/// platform's store, its list of machines, minions, and a client.

namespace review {

/// \brief The case can't be run here.
struct CannotRun : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

/// \brief Processes that this program has started and that still run.
inline std::array<volatile pid_t, 16> g_children{};

/// \brief Ends all processes that this program has started, and itself.
inline void EndAll(int /*aSignal*/)
{
  for (const auto& child : g_children) {
    if (child > 0) {
      kill(child, SIGKILL);
    }
  }
  constexpr int kNotRun = 2;
  _exit(kNotRun);
}

/// \brief Sums up a response for the record.
inline std::string Text(const pistachiostand::ClientResponse& aResponse)
{
  return aResponse.m_failure ? "no answer"
                             : std::to_string(aResponse.m_status) + " " + aResponse.m_body;
}

class Deployment
{
public:
  struct Options
  {
    std::string m_program; ///< Of an entry instance.
    std::string m_folder;  ///< For settings and logs.
    int m_entries{ 3 };
    Json m_routes;
    Json m_services;
    /// Settings besides addresses, as in the site files.
    Ms m_maxHoldMs{ 6'000 };
    int m_graceS{ 6 };
    rlim_t m_maxFds{ 4'100 }; ///< `max-fds` of an entry instance.
  };

  Deployment(Options aOptions, Record& aRecord)
    : m_options(std::move(aOptions))
    , m_record(aRecord)
    , m_client(pistachiostand::HttpClient::Create(m_loop))
    , m_storePort(FreePort())
    , m_store(m_loop, { "127.0.0.1", m_storePort })
    , m_machines(m_loop, 0,
                 [this](const Request& aRequest, const Respond& aRespond) {
                   HandleMachines(aRequest, aRespond);
                 })
    , m_heartbeat(m_loop)
    , m_memoryCheck(m_loop)
  {
    if (!m_store.IsListening()) {
      throw CannotRun("the store cannot listen");
    }
    m_machines.Open();
    m_store.Put("keyed.op", "config",
                Json{ { "version", 1 },
                      { "routes", m_options.m_routes },
                      { "upstreams", m_options.m_services } }
                  .dump());
    Heartbeat();
  }

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  ~Deployment()
  {
    for (auto& entry : m_entries) {
      Kill(entry, SIGKILL);
    }
  }

  /// \brief Adds a machine with a minion.
  Minion& Add(MinionOptions aOptions)
  {
    aOptions.m_maxHoldMs = m_options.m_maxHoldMs;
    Machine& machine = m_machinesByName["m-" + aOptions.m_id];
    machine.m_options = aOptions;
    Join(machine, aOptions);
    return *machine.m_minion;
  }

  /// \brief The operator requests a wave of upkeep.
  void RequestWave(int aNumber, const std::vector<std::string>& aMachines, int aDurationS,
                   int aMaxCount)
  {
    const Json wave{ { "wave", aNumber },
                     { "machines", aMachines },
                     { "duration-s", aDurationS },
                     { "max-count", aMaxCount } };
    m_record.Line("operator writes op/wave/" + std::to_string(aNumber) + " " + wave.dump());
    m_store.Put("keyed.op", "wave/" + std::to_string(aNumber), wave.dump());
  }

  /// \brief What the system has written about a wave.
  std::string WaveStatus(int aNumber)
  {
    return m_store.Value("keyed.status", "wave/" + std::to_string(aNumber)).value_or("");
  }

  /// \brief Called when an upkeep was accepted, before its response is sent.
  std::function<void()> m_onUpkeep = [] {};

  /// \brief From now on does what the platform does with a process: "A process that exceeds
  /// `memory-mb` is killed", and "is restarted after a short delay".
  void EnforceMemory()
  {
    constexpr std::int64_t kLimitKb = std::int64_t{ 260 } * 1'024;
    constexpr Ms kRestartMs = 1'000;
    constexpr Ms kCheckMs = 20;
    for (auto& entry : m_entries) {
      if (entry.m_pid < 0) {
        if (SteadyMs() - entry.m_endedMs >= kRestartMs) {
          Spawn(entry);
          m_record.Line(entry.m_name + " is started again");
        }
        continue;
      }
      const std::int64_t use = MemoryKb(entry.m_pid);
      if (use > kLimitKb) {
        ++entry.m_kills;
        m_record.Line(fmt::format("{}{} uses {} kB of memory, more than {} kB: killed",
                                  entry.m_name, entry.m_name == OwnerName() ? ", the owner," : "",
                                  use, kLimitKb));
        Kill(entry, SIGKILL);
        entry.m_endedMs = SteadyMs();
      }
    }
    m_memoryCheck.expires_after(std::chrono::milliseconds{ kCheckMs });
    m_memoryCheck.async_wait([this](const std::error_code& aError) {
      if (!aError) {
        EnforceMemory();
      }
    });
  }

  /// \brief Times that each entry instance was killed for its memory.
  [[nodiscard]] std::vector<int> MemoryKills() const
  {
    std::vector<int> kills;
    for (const auto& entry : m_entries) {
      kills.push_back(entry.m_kills);
    }
    return kills;
  }

  /// \brief Kills all entry instances at once.
  void KillAll()
  {
    m_record.Line("disruption: all entry instances are killed");
    for (auto& entry : m_entries) {
      Kill(entry, SIGKILL);
    }
  }

  void SpawnAll()
  {
    m_record.Line("all entry instances are started again");
    for (auto& entry : m_entries) {
      Spawn(entry);
    }
  }

  /// \brief Starts the entry instances and waits until each can tell how many jobs are pending.
  void Start(const std::string& aPrefix)
  {
    for (int number = 0; number < m_options.m_entries; ++number) {
      Entry entry;
      entry.m_name = "edge-" + std::to_string(number + 1);
      entry.m_zone = "zone-" + std::string(1, static_cast<char>('a' + number % 3));
      m_entries.push_back(entry);
      SpawnAtFreePorts(m_entries.back());
    }
    constexpr Ms kLimitMs = 20'000;
    const Ms end = SteadyMs() + kLimitMs;
    for (std::size_t number = 0; number < m_entries.size(); ++number) {
      while (Call(number, "GET", aPrefix, {}, 1'000).m_status != 200) {
        if (SteadyMs() > end) {
          throw CannotRun("the entry instances do not get ready");
        }
        RunFor(100);
        Entry& entry = m_entries[number];
        if (waitpid(entry.m_pid, nullptr, WNOHANG) == entry.m_pid) {
          Forget(entry);
          SpawnAtFreePorts(entry); // Another program has taken one of its ports.
        }
      }
    }
    RunFor(1'000);
    m_record.Line("all entry instances are ready; the owner is " + OwnerName());
  }

  void RunFor(Ms aMs) { m_loop.run_for(std::chrono::milliseconds{ aMs }); }

  template<typename Condition>
  bool RunUntil(Condition aCondition, Ms aLimitMs)
  {
    const Ms end = SteadyMs() + aLimitMs;
    while (!aCondition() && SteadyMs() < end) {
      RunFor(10);
    }
    return aCondition();
  }

  /// \brief A call of the client to one entry instance.
  pistachiostand::ClientResponse Call(std::size_t aEntry, const std::string& aMethod,
                                      const std::string& aPath, const std::string& aBody = {},
                                      Ms aDeadlineMs = 3'000)
  {
    pistachiostand::ClientRequest request;
    request.m_method = aMethod;
    request.m_url =
      fmt::format("http://127.0.0.1:{}{}", m_entries[aEntry % m_entries.size()].m_front, aPath);
    request.m_headers = { { "host", "jobs.example" },
                          { "content-type", "application/json" },
                          { "deadline-ms", std::to_string(aDeadlineMs) } };
    request.m_body = aBody;
    request.m_timeoutMs = aDeadlineMs;
    request.m_sendOnce = true;
    std::optional<pistachiostand::ClientResponse> response;
    m_client->Send(std::move(request), [&response](pistachiostand::ClientResponse aResponse) {
      response = std::move(aResponse);
    });
    RunUntil([&response] { return response.has_value(); }, aDeadlineMs + 2'000);
    return response.value_or(
      pistachiostand::ClientResponse{ pistachiostand::TransferFailure::Timeout, 0, {}, {} });
  }

  /// \brief Hands a job in, at the next entry instance after each failure.
  bool Submit(const std::string& aPath, const Json& aJob)
  {
    constexpr int kTries = 5;
    for (int attempt = 0; attempt < kTries; ++attempt) {
      const auto response = Call(static_cast<std::size_t>(attempt), "POST", aPath, aJob.dump());
      constexpr std::size_t kMostBytes = 400;
      m_record.Line("POST " + aPath + " " + aJob.dump().substr(0, kMostBytes) + " -> " +
                    Text(response));
      if (response.m_status >= 200 && response.m_status < 300) {
        return true;
      }
      RunFor(1'000);
    }
    return false;
  }

  /// \brief A submission whose channel is reset before all of it was sent.
  void SubmitAndReset(std::size_t aEntry, const std::string& aPath, const Json& aJob)
  {
    const std::string body = aJob.dump();
    const std::string request =
      fmt::format("POST {} HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: "
                  "application/json\r\nContent-Length: {}\r\n\r\n{}",
                  aPath, body.size(), body);
    asio::ip::tcp::socket socket{ m_loop };
    socket.connect({ asio::ip::make_address("127.0.0.1"), m_entries[aEntry].m_front });
    asio::write(socket, asio::buffer(request.data(), request.size() - body.size() / 2));
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
    m_record.Line("disruption: the channel of POST " + aPath +
                  " is reset before the last half of its body was sent");
  }

  /// \brief State of a job as some entry instance shows it; empty when none answers.
  std::string State(const std::string& aPath)
  {
    for (std::size_t number = 0; number < m_entries.size(); ++number) {
      const auto response = Call(m_asked++, "GET", aPath, {}, 1'500);
      if (Text(response) != m_lastAnswer) {
        m_lastAnswer = Text(response);
        m_record.Line("GET " + aPath + " -> " + m_lastAnswer);
      }
      if (response.m_status == 410) {
        return "410";
      }
      const Json body = Json::parse(response.m_body, nullptr, false);
      if (response.m_status == 200 && body.is_object()) {
        return body.value("state", "");
      }
    }
    return {};
  }

  /// \brief Name of the entry instance that last wrote to the store under a condition.
  std::string OwnerName()
  {
    const auto value = m_store.Value("keyed.owner", "owner");
    const auto record = value ? pistachiostand::fleet::DecodeOwnershipRecord(*value) : std::nullopt;
    return record ? record->m_process.substr(0, record->m_process.rfind('@')) : std::string{};
  }

  /// \brief Kills the process that last wrote to the store under a condition; the platform starts
  /// it again after a second.
  void KillOwner()
  {
    const std::string name = OwnerName();
    const auto found = std::ranges::find(m_entries, name, &Entry::m_name);
    if (found == m_entries.end()) {
      throw CannotRun("no owner is known");
    }
    m_record.Line("disruption: " + name + " is killed");
    Kill(*found, SIGKILL);
    RunFor(1'000);
    m_record.Line(name + " is started again");
    Spawn(*found);
  }

private:
  Options m_options;
  Record& m_record;
  asio::io_context m_loop{ 1 };

public:
  Seen m_seen;
  std::vector<std::unique_ptr<Minion>> m_minions;

private:
  struct Machine
  {
    MinionOptions m_options;
    Minion* m_minion{};
    std::string m_state{ "up" };
    std::set<int> m_doneWaves;
    int m_lives{}; ///< Minions that have joined on it.
  };

  struct Entry
  {
    std::string m_name;
    std::string m_zone;
    std::uint16_t m_front{};
    std::uint16_t m_ready{};
    std::uint16_t m_internal{};
    std::uint16_t m_metrics{};
    std::string m_settings;
    int m_kills{};
    Ms m_endedMs{};
    pid_t m_pid{ -1 };
  };

  /// \brief A free port, whose next one is free too, below the range of outgoing connections.
  static std::uint16_t FreePort()
  {
    static std::mt19937 random{ std::random_device{}() };
    static std::set<int> taken;
    constexpr int kFirst = 12'000;
    constexpr int kLast = 30'000;
    constexpr int kTries = 1'000;
    asio::io_context loop;
    const auto isFree = [&loop](int aPort) {
      asio::ip::tcp::acceptor socket{ loop };
      std::error_code error;
      socket.open(asio::ip::tcp::v4(), error);
      socket.bind({ asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(aPort) },
                  error);
      return !error;
    };
    for (int attempt = 0; attempt < kTries; ++attempt) {
      const int port = std::uniform_int_distribution<>{ kFirst / 2, kLast / 2 }(random)*2;
      if (!taken.contains(port) && isFree(port) && isFree(port + 1)) {
        taken.insert(port);
        return static_cast<std::uint16_t>(port);
      }
    }
    throw CannotRun("no free port");
  }

  /// \brief Resident memory of a process.
  static std::int64_t MemoryKb(pid_t aProcess)
  {
    std::ifstream file{ "/proc/" + std::to_string(aProcess) + "/status" };
    std::string line;
    while (std::getline(file, line)) {
      if (line.starts_with("VmRSS:")) {
        return std::stoll(line.substr(6));
      }
    }
    return 0;
  }

  void SpawnAtFreePorts(Entry& aEntry)
  {
    aEntry.m_front = FreePort();
    aEntry.m_ready = FreePort();
    aEntry.m_internal = FreePort();
    aEntry.m_metrics = FreePort();
    WriteSettings(aEntry);
    Spawn(aEntry);
  }

  void WriteSettings(Entry& aEntry)
  {
    aEntry.m_settings = m_options.m_folder + "/" + aEntry.m_name + ".toml";
    std::ofstream file{ aEntry.m_settings };
    file << fmt::format(R"([entry]
id = "{}"
zone = "{}"
processor_share = 0.25
[listen]
callers = "127.0.0.1:{}"
ready = "127.0.0.1:{}"
entries = "127.0.0.1:{}"
metrics = "127.0.0.1:{}"
[store]
address = "127.0.0.1:{}"
writes_per_s = 800
reads_per_s = 2000
partitions = 8
record_bytes = 262144
call_bytes = 2097152
[instances]
address = "127.0.0.1:{}"
orders_per_s = 64.0
lists_per_s = 64.0
[advice]
address = ""
[bounds]
max_lease_ms = {}
stop_ms = 200
contact_ms = 3000
grace_s = {}
exclusive_ms = 3000
drain_ms = 2000
keep_state_s = 120
early_ms = 250
remote_factor = 3
notice_ms = 4500
move_s = 1.5
maintenance_s = 2
harm_ms = 4000
pace_ms = 100
)",
                        aEntry.m_name, aEntry.m_zone, aEntry.m_front, aEntry.m_ready,
                        aEntry.m_internal, aEntry.m_metrics, m_storePort, m_machines.Port(),
                        m_options.m_maxHoldMs, m_options.m_graceS);
  }

  /// \brief Limit of descriptors of this program.
  static rlimit Limit()
  {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit;
  }

  /// \brief Starts the program of the deploy file, which finds its settings by a variable.
  void Spawn(Entry& aEntry)
  {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const std::string log = m_options.m_folder + "/" + aEntry.m_name + ".log";
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The listeners of the stand-ins must not stay open in the entry instances.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string program = m_options.m_program;
    std::string settings = "PISTACHIOSTAND_NODE_FILE=" + aEntry.m_settings;
    std::string path = "PATH=/usr/bin:/bin";
    char* arguments[] = { program.data(), nullptr };
    char* environment[] = { settings.data(), path.data(), nullptr };
    const rlimit own = Limit();
    rlimit limit = own;
    limit.rlim_cur = std::min<rlim_t>(m_options.m_maxFds, own.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
    const int error =
      posix_spawn(&aEntry.m_pid, program.c_str(), &actions, nullptr, arguments, environment);
    setrlimit(RLIMIT_NOFILE, &own);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
      aEntry.m_pid = -1;
      throw CannotRun("the program cannot be started");
    }
    *std::ranges::find_if(g_children, [](pid_t aChild) { return aChild <= 0; }) = aEntry.m_pid;
  }

  static void Forget(Entry& aEntry)
  {
    const auto found =
      std::ranges::find_if(g_children, [&](pid_t aChild) { return aChild == aEntry.m_pid; });
    if (found != g_children.end()) {
      *found = 0;
    }
    aEntry.m_pid = -1;
  }

  static void Kill(Entry& aEntry, int aSignal)
  {
    if (aEntry.m_pid > 0) {
      kill(aEntry.m_pid, aSignal);
      waitpid(aEntry.m_pid, nullptr, 0);
      Forget(aEntry);
    }
  }

  void Join(Machine& aMachine, const MinionOptions& aOptions)
  {
    ++aMachine.m_lives;
    m_minions.push_back(std::make_unique<Minion>(m_loop, aOptions, m_record, m_seen));
    aMachine.m_minion = m_minions.back().get();
    aMachine.m_state = "up";
    m_store.Put("keyed.servers", aMachine.m_minion->Id(), aMachine.m_minion->Entry());
  }

  /// \brief The calls of PROTOCOL.md under "Machines".
  void HandleMachines(const Request& aRequest, const Respond& aRespond)
  {
    if (aRequest.m_method == "GET") {
      ListMachines(aRespond);
      return;
    }
    const Json body = Json::parse(aRequest.m_body);
    m_record.Line("order " + aRequest.m_target + " " + aRequest.m_body);
    const auto found = m_machinesByName.find(body.at("machine"));
    if (found == m_machinesByName.end() || aRequest.m_target != "/machine-upkeep") {
      aRespond(400, "{}"); // There is no other pool in these cases.
      return;
    }
    Machine& machine = found->second;
    const std::string token = aRequest.m_headers.substr(aRequest.m_headers.find("fencing-token: "));
    const std::uint64_t fence = std::stoull(token.substr(15));
    if (fence < m_fences[found->first]) {
      aRespond(409, R"({"reason":"fence"})");
      return;
    }
    m_fences[found->first] = fence;
    if (machine.m_doneWaves.contains(body.at("wave").get<int>())) {
      m_record.Line("upkeep of " + found->first + " is already done: 200");
      aRespond(200, "{}");
      return;
    }
    if (machine.m_state != "up") {
      aRespond(409, R"({"reason":"busy"})");
      return;
    }
    machine.m_doneWaves.insert(body.at("wave").get<int>());
    machine.m_state = "upkeep";
    m_record.Line("upkeep of " + found->first + " begins");
    machine.m_minion->Crash();
    m_store.Put("keyed.servers", machine.m_minion->Id(), std::nullopt);
    constexpr Ms kMaintenanceMs = 2'000;
    auto timer = std::make_shared<asio::steady_timer>(m_loop);
    timer->expires_after(std::chrono::milliseconds{ kMaintenanceMs });
    timer->async_wait([this, timer, &machine](const std::error_code& aError) {
      if (!aError) {
        MinionOptions options = machine.m_options;
        options.m_id += "-life-" + std::to_string(machine.m_lives + 1);
        Join(machine, options);
        m_record.Line("minion " + options.m_id + " joins after the upkeep");
      }
    });
    m_onUpkeep();
    aRespond(200, "{}");
  }

  void ListMachines(const Respond& aRespond) const
  {
    Json rows = Json::array();
    for (const auto& [name, machine] : m_machinesByName) {
      const Json entry = Json::parse(machine.m_minion->Entry());
      const bool isUp = machine.m_state == "up" && machine.m_minion->IsUp();
      rows.push_back({ { "machine", name },
                       { "pool", entry.at("upstream") },
                       { "state", machine.m_state == "up" && !isUp ? "down" : machine.m_state },
                       { "zone", entry.at("zone") },
                       { "labels", entry.at("labels") },
                       { "capacity", entry.at("capacity") },
                       { "id", isUp ? machine.m_minion->Id() : std::string{} } });
    }
    aRespond(200, Json{ { "machines", rows }, { "next-token", "" } }.dump());
  }

  /// \brief Minions that run write their entries every 1.5 s.
  void Heartbeat()
  {
    for (const auto& minion : m_minions) {
      if (minion->IsUp()) {
        m_store.Put("keyed.servers", minion->Id(), minion->Entry());
      }
    }
    constexpr Ms kHeartbeatMs = 1'500;
    m_heartbeat.expires_after(std::chrono::milliseconds{ kHeartbeatMs });
    m_heartbeat.async_wait([this](const std::error_code& aError) {
      if (!aError) {
        Heartbeat();
      }
    });
  }

  std::unique_ptr<pistachiostand::HttpClient> m_client;
  std::uint16_t m_storePort;
  pistachiostand::fleet::standin::PreparedStore m_store;
  Server m_machines;
  asio::steady_timer m_heartbeat;
  asio::steady_timer m_memoryCheck;
  std::map<std::string, Machine> m_machinesByName;
  std::map<std::string, std::uint64_t> m_fences; ///< Highest fence number for each machine.
  std::vector<Entry> m_entries;
  std::size_t m_asked{};
  std::string m_lastAnswer;
};

} // namespace review
