#pragma once

#include "Http.h"
#include "Minions.h"

#include "tests/standins/PreparedStore.h"

#include "pistachiostand/connection/HttpClient.h"
#include "pistachiostand/connection/Ticker.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <stdexcept>

/// \file
/// \brief A small deployment on loopback addresses: entry instances as processes, and stand-ins of
/// the platform's store, of its machines, of the minions and of a client in this process.

namespace review {

using pistachiostand::ClientRequest;
using pistachiostand::ClientResponse;
using pistachiostand::HttpClient;
using pistachiostand::Ticker;
using pistachiostand::fleet::standin::PreparedStore;

/// Begins and ends of runs that are recorded.
constexpr std::size_t kRecordedRunLines = 400;
/// Part of a job's body that is recorded.
constexpr std::size_t kRecordedBytes = 600;

/// \brief Set by SIGTERM: the case ends, and its processes with it.
inline volatile std::sig_atomic_t g_stopped = 0;

/// \brief Writes the record of a case.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : m_file(aPath)
    , m_beginMs(MonotonicMs())
  {
  }

  void Add(const std::string& aLine)
  {
    m_file << fmt::format("{:7.3f} {}", static_cast<double>(MonotonicMs() - m_beginMs) / 1'000,
                          aLine)
           << std::endl;
  }

private:
  std::ofstream m_file;
  Millis m_beginMs;
};

/// \brief One entry instance, as a process of the command of the deploy file.
class EntryProcess
{
public:
  EntryProcess(std::string aProgram, std::string aSettings, std::string aLog)
    : m_program(std::move(aProgram))
    , m_settings(std::move(aSettings))
    , m_log(std::move(aLog))
  {
    Start();
  }

  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;
  ~EntryProcess() { Kill(SIGKILL); }

  void Start()
  {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // The sockets of the stand-ins must end with the stand-ins.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    std::string name = m_program;
    std::string variable = "PISTACHIOSTAND_NODE_FILE=" + m_settings;
    std::string path = "PATH=/usr/bin:/bin";
    char* arguments[] = { name.data(), nullptr };
    char* environment[] = { variable.data(), path.data(), nullptr };
    if (posix_spawn(&m_pid, m_program.c_str(), &actions, nullptr, arguments, environment) != 0) {
      m_pid = 0;
      throw std::runtime_error("the entry instance does not start");
    }
    posix_spawn_file_actions_destroy(&actions);
  }

  /// \brief Sends a signal; after SIGKILL the process is gone.
  void Kill(int aSignal)
  {
    if (m_pid != 0) {
      ::kill(m_pid, aSignal);
      if (aSignal == SIGKILL) {
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
      }
    }
  }

  /// \brief True when the process has ended by itself.
  [[nodiscard]] bool HasEnded()
  {
    if (m_pid != 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
      m_pid = 0;
      return true;
    }
    return false;
  }

  [[nodiscard]] bool IsRunning() const { return m_pid != 0; }

  unsigned m_ends{}; ///< Ends by itself or for its memory.

  /// \brief Resident memory of the process; 0 when it does not run.
  [[nodiscard]] long MemoryMiB() const
  {
    std::ifstream file{ fmt::format("/proc/{}/statm", m_pid) };
    long size = 0;
    long resident = 0;
    return m_pid != 0 && file >> size >> resident
             ? resident * ::sysconf(_SC_PAGESIZE) / (1024 * 1024)
             : 0;
  }

private:
  std::string m_program;
  std::string m_settings;
  std::string m_log;
  pid_t m_pid{};
};

/// \brief A job as the client knows it.
struct ClientJob
{
  std::string m_queue;
  std::string m_id;
  std::string m_spec;
  Json m_body;
  bool m_accepted{};
  Millis m_acceptedMs{};
  bool m_rejected{}; ///< All attempts so far were rejected.
  unsigned m_attempts{};
  std::string m_state;
  bool m_answered{}; ///< A request for its state was answered with one.
  Millis m_cancelSentMs{};
  Millis m_cancelledMs{};
  bool m_open{ true };
  std::vector<std::string> m_states;
};

struct DeploymentOptions
{
  std::string m_program;
  std::string m_folder;
  std::string m_record;
  int m_port{ 27'000 };
  int m_entries{ 3 };
  int m_minions{ 18 }; ///< Half of them for each queue.
  std::int64_t m_cpu{ 64'000 };
  long m_memoryMiB{ 260 }; ///< Above it, the platform kills an entry instance.
  Millis m_maxHoldMs{ 6'000 };
};

class Deployment
{
public:
  explicit Deployment(const DeploymentOptions& aOptions)
    : m_options(aOptions)
    , m_record(aOptions.m_record)
    , m_store(m_loop, { "127.0.0.1", Port(0) })
    , m_minions(m_loop, { .m_maxHoldMs = aOptions.m_maxHoldMs })
    , m_client(HttpClient::Create(m_loop))
    , m_cloud(m_loop, Port(1),
              [this](const Request& aRequest, const Responder& aRespond) {
                HandleCloud(aRequest, aRespond);
              })
    , m_beats(m_loop, 1'500, [this] { Beat(); })
  {
    if (!m_store.IsListening()) {
      throw std::runtime_error("a port is in use");
    }
    m_minions.m_log = [this](const std::string& aLine) {
      if (++m_runLines <= kRecordedRunLines) {
        m_record.Add(aLine);
      } else if (m_runLines == kRecordedRunLines + 1) {
        m_record.Add("further begins and ends of runs are not recorded");
      }
    };
    Json routes = Json::array();
    Json pools = Json::array();
    for (const std::string name : { "builds", "lookups" }) {
      routes.push_back({ { "name", name },
                         { "host", "shop.example" },
                         { "path-prefix", "/" + name + "/" },
                         { "type", "non_idempotent" },
                         { "timeout-ms", 3'000 },
                         { "target-latency-ms", 600 },
                         { "priority", 0 },
                         { "upstream", name + "-svc" },
                         { "attempts", 4 },
                         { "stretch", 1.6 } });
      pools.push_back({ { "name", name + "-svc" },
                        { "health-path", "/healthz" },
                        { "max-connections", 64 },
                        { "protocol", "h1" },
                        { "tls", false },
                        { "admission-check", true },
                        { "spare", false } });
    }
    m_store.Put("keyed.op", "config",
                Json{ { "version", 1 },
                      { "routes", routes },
                      { "upstreams", pools },
                      { "limits",
                        { { "max-header-bytes", 16'384 },
                          { "max-body-bytes", 262'144 },
                          { "header-timeout-ms", 3'000 },
                          { "idle-timeout-ms", 15'000 } } } }
                  .dump());
    for (int number = 0; number < aOptions.m_minions; ++number) {
      m_minions.Add(fmt::format("i-{:08x}", 0x7f3a9100 + number),
                    number % 2 == 0 ? "builds-svc" : "lookups-svc", Port(10 + number),
                    aOptions.m_cpu);
    }
    Beat();
    for (int number = 0; number < aOptions.m_entries; ++number) {
      const std::string path = fmt::format("{}/entry-{}.toml", aOptions.m_folder, number);
      std::ofstream{ path } << Settings(number);
      m_entries.push_back(std::make_unique<EntryProcess>(
        aOptions.m_program, path, fmt::format("{}/entry-{}.log", aOptions.m_folder, number)));
    }
  }

  [[nodiscard]] std::uint16_t Port(int aOffset) const
  {
    return static_cast<std::uint16_t>(m_options.m_port + aOffset);
  }

  /// \brief Runs the loop until the condition holds; false after the time limit.
  template<typename Condition>
  bool RunUntil(Condition aCondition, Millis aLimitMs)
  {
    const Millis end = MonotonicMs() + aLimitMs;
    while (!aCondition() && MonotonicMs() < end) {
      if (g_stopped != 0) {
        throw std::runtime_error("stopped");
      }
      m_loop.run_for(std::chrono::milliseconds{ 5 });
    }
    return aCondition();
  }

  void RunFor(Millis aMs)
  {
    RunUntil([] { return false; }, aMs);
  }

  /// \brief Waits until every entry instance answers.
  bool IsReady()
  {
    for (int entry = 0; entry < m_options.m_entries; ++entry) {
      const bool ready =
        RunUntil([&] { return Call(entry, "GET", "/builds/", {}, 1'000).m_status == 200; }, 10'000);
      if (!ready) {
        return false;
      }
    }
    return true;
  }

  ClientResponse Call(int aEntry, const std::string& aMethod, const std::string& aPath,
                      const std::string& aBody, Millis aTimeoutMs)
  {
    std::optional<ClientResponse> response;
    Send(aEntry, aMethod, aPath, aBody, aTimeoutMs,
         [&response](const ClientResponse& aResponse) { response = aResponse; });
    RunUntil([&response] { return response.has_value(); }, aTimeoutMs + 500);
    return response.value_or(ClientResponse{});
  }

  void Send(int aEntry, const std::string& aMethod, const std::string& aPath,
            const std::string& aBody, Millis aTimeoutMs,
            std::function<void(const ClientResponse&)> aDone)
  {
    ClientRequest request;
    request.m_method = aMethod;
    request.m_url = fmt::format("http://127.0.0.1:{}{}", CallerPort(aEntry), aPath);
    request.m_headers = { { "host", "shop.example" },
                          { "deadline-ms", std::to_string(aTimeoutMs) } };
    if (!aBody.empty()) {
      request.m_headers["content-type"] = "application/json";
    }
    request.m_body = aBody;
    request.m_timeoutMs = aTimeoutMs;
    request.m_connectTimeoutMs = 500;
    request.m_sendOnce = true;
    m_client->Send(std::move(request), std::move(aDone));
  }

  [[nodiscard]] std::uint16_t CallerPort(int aEntry) const { return Port(100 + 10 * aEntry); }

  /// \brief Submits a job; its text tells the minions what its subtasks do.
  ClientJob& Submit(int aEntry, const std::string& aQueue, const Json& aSteps, const Json& aWork,
                    const Json& aMore = Json::object())
  {
    const std::string id = fmt::format("{:016x}", 0x5c0e7a21d94b0000ULL + m_jobs.size());
    ClientJob& job = m_jobs[id];
    job.m_id = id;
    job.m_queue = aQueue;
    job.m_spec = Json{ { "job", id }, { "steps", aWork } }.dump();
    job.m_body = Json{ { "spec", job.m_spec }, { "steps", aSteps } };
    job.m_body.update(aMore);
    Attempt(aEntry, job);
    return job;
  }

  void Attempt(int aEntry, ClientJob& aJob)
  {
    ++aJob.m_attempts;
    const std::string body = aJob.m_body.dump();
    m_record.Add(fmt::format("client POST {} to entry {}, {} bytes: {}", aJob.m_id, aEntry,
                             body.size(), body.substr(0, kRecordedBytes)));
    Send(aEntry, "POST", "/" + aJob.m_queue + "/" + aJob.m_id, body, 3'000,
         [this, &aJob, aEntry](const ClientResponse& aResponse) {
           m_record.Add(fmt::format("client POST {} at entry {}: {} {}", aJob.m_id, aEntry,
                                    aResponse.m_status, aResponse.m_body));
           const bool rejected =
             !aResponse.m_failure && (aResponse.m_status == 503 || aResponse.m_status == 429);
           aJob.m_rejected = rejected && (aJob.m_attempts == 1 || aJob.m_rejected);
           if (!aResponse.m_failure && aResponse.m_status == 200) {
             if (!aJob.m_accepted) {
               aJob.m_acceptedMs = MonotonicMs();
             }
             aJob.m_accepted = true;
           } else if (aJob.m_attempts <= 4) {
             Later(rejected ? 1'000 : 50,
                   [this, &aJob, aEntry] { Attempt((aEntry + 1) % m_options.m_entries, aJob); });
           }
         });
  }

  void Later(Millis aDelayMs, std::function<void()> aDo)
  {
    auto timer = std::make_shared<asio::steady_timer>(m_loop);
    timer->expires_after(std::chrono::milliseconds{ aDelayMs });
    timer->async_wait([timer, run = std::move(aDo)](const std::error_code&) { run(); });
  }

  void Cancel(int aEntry, ClientJob& aJob)
  {
    if (aJob.m_cancelSentMs == 0) {
      aJob.m_cancelSentMs = MonotonicMs();
    }
    Send(aEntry, "DELETE", "/" + aJob.m_queue + "/" + aJob.m_id, {}, 3'000,
         [this, &aJob, aEntry](const ClientResponse& aResponse) {
           m_record.Add(fmt::format("client DELETE {} at entry {}: {}", aJob.m_id, aEntry,
                                    aResponse.m_status));
           if (!aResponse.m_failure && aResponse.m_status == 200 && aJob.m_cancelledMs == 0) {
             aJob.m_cancelledMs = MonotonicMs();
           }
         });
  }

  /// \brief Asks for the state of a job.
  void Ask(int aEntry, ClientJob& aJob)
  {
    Send(aEntry, "GET", "/" + aJob.m_queue + "/" + aJob.m_id, {}, 3'000,
         [this, &aJob, aEntry](const ClientResponse& aResponse) {
           const Json body = Json::parse(aResponse.m_body, nullptr, false);
           std::string state =
             aResponse.m_failure ? "no answer" : std::to_string(aResponse.m_status);
           if (!aResponse.m_failure && aResponse.m_status == 200 && body.is_object()) {
             state = body.value("state", "?");
             aJob.m_answered = true;
           }
           if (state != aJob.m_state) {
             m_record.Add(fmt::format("client GET {} at entry {}: {}", aJob.m_id, aEntry, state));
             aJob.m_states.push_back(state);
           }
           aJob.m_state = state;
         });
  }

  /// \brief Writes the entries of the minions that are up, and removes those that fell silent.
  void Beat()
  {
    for (const auto& minion : m_minions.m_minions) {
      if (minion->m_up) {
        m_lastBeatMs[minion->m_id] = MonotonicMs();
        m_store.Put("keyed.servers", minion->m_id, minion->Entry());
      } else if (MonotonicMs() - m_lastBeatMs[minion->m_id] > 4'500 &&
                 m_lastBeatMs[minion->m_id] != 0) {
        m_lastBeatMs[minion->m_id] = 0;
        m_store.Put("keyed.servers", minion->m_id, std::nullopt);
      }
    }
  }

  /// \brief Does what the platform does: kills entry instances above their memory, and starts those
  /// that have ended again after a second.
  void Watch()
  {
    for (std::size_t number = 0; number < m_entries.size(); ++number) {
      EntryProcess& entry = *m_entries[number];
      const long memory = entry.MemoryMiB();
      m_mostMiB = std::max(m_mostMiB, memory);
      if (memory > m_options.m_memoryMiB) {
        m_record.Add(fmt::format("platform: entry {} has {} MiB and is killed", number, memory));
        entry.Kill(SIGKILL);
        ++entry.m_ends;
      } else if (entry.HasEnded()) {
        m_record.Add(fmt::format("platform: entry {} has ended by itself", number));
        ++entry.m_ends;
      } else {
        continue;
      }
      Later(1'000, [&entry] { entry.Start(); });
    }
  }

  asio::io_context m_loop{ 1 };
  DeploymentOptions m_options;
  long m_mostMiB{};
  std::size_t m_runLines{}; ///< Begins and ends of runs.
  Record m_record;
  PreparedStore m_store;
  Minions m_minions;
  std::unique_ptr<HttpClient> m_client;
  Server m_cloud;
  std::map<std::string, ClientJob> m_jobs;
  std::vector<std::unique_ptr<EntryProcess>> m_entries;

private:
  void HandleCloud(const Request& aRequest, const Responder& aRespond)
  {
    if (aRequest.m_method != "GET") {
      aRespond({ 409, R"({"reason":"busy"})" });
      return;
    }
    Json machines = Json::array();
    for (const auto& minion : m_minions.m_minions) {
      machines.push_back(
        { { "machine", "m-" + minion->m_id.substr(2) },
          { "pool", minion->m_pool },
          { "state", minion->m_up ? "up" : "down" },
          { "zone", "z1" },
          { "labels", { "a", "r1" } },
          { "capacity", { { "cpu", minion->m_cpu }, { "mem-mb", 64'000 }, { "gpu", 0 } } },
          { "id", minion->m_id } });
    }
    aRespond({ 200, Json{ { "machines", machines }, { "next-token", nullptr } }.dump() });
  }

  [[nodiscard]] std::string Settings(int aNumber) const
  {
    const int base = CallerPort(aNumber);
    return fmt::format(R"([entry]
id = "edge-z1-{0}"
zone = "z1"
processor_share = 0.25

[listen]
callers = "127.0.0.1:{1}"
ready = "127.0.0.1:{2}"
entries = "127.0.0.1:{3}"
metrics = "127.0.0.1:{4}"

[store]
address = "127.0.0.1:{5}"
writes_per_s = 800
reads_per_s = 2000
partitions = 8
record_bytes = 262144
call_bytes = 2097152

[instances]
address = "127.0.0.1:{6}"
orders_per_s = 64.0
lists_per_s = 64.0

[advice]
address = "127.0.0.1:{7}"

[limits]
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0

[bounds]
max_lease_ms = {8}
stop_ms = 200
contact_ms = 3000
grace_s = 6
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
                       aNumber, base, base + 1, base + 2, base + 4, Port(0), Port(1), Port(2),
                       m_options.m_maxHoldMs);
  }

  std::map<std::string, Millis> m_lastBeatMs;
  Ticker m_beats;
  Ticker m_watch{ m_loop, 20, [this] { Watch(); } };
};

} // namespace review
