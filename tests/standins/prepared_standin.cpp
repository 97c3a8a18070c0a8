#include "PreparedServer.h"
#include "PreparedStore.h"

#include "pistachiostand/connection/HttpClient.h"
#include "pistachiostand/connection/Ticker.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <memory>
#include <vector>

/// \file
/// \brief The prepared platform as one process: its store, backend servers in one pool each, and a
/// caller that submits jobs of two steps at a constant rate. Entry instances run as separate
/// processes.

namespace pistachiostand::fleet::standin {
namespace {

const char kUsage[] =
  R"(Stand-in of the prepared platform: a store, backend servers and a caller.

Usage:
  prepared_standin [--port=N] [--servers=N] [--pools=N] [--run-ms=MS] [--jobs-per-s=R]
                   [--width=N] [--for-s=S] [--entry=ADDRESS]...
  prepared_standin --help

Options:
  --port=N          port of the store; the servers use those after it [default: 22000]
  --servers=N       backend servers, all pools together [default: 8]
  --pools=N         pools, with a queue each [default: 1]
  --run-ms=MS       time that each run takes [default: 1000]
  --jobs-per-s=R    jobs that the caller submits a second; 0: none [default: 0]
  --width=N         subtasks of each of the two steps [default: 8]
  --for-s=S         time in which jobs are submitted; the program ends 10 s later [default: 20]
  --entry=ADDRESS   address at which entry instances accept jobs [default: 127.0.0.1:21900]
)";

struct Options
{
  std::uint16_t m_port{};
  int m_servers{};
  int m_pools{};
  Millis m_runMs{};
  double m_jobsPerS{};
  int m_width{};
  Millis m_forMs{};
  std::vector<std::string> m_entries;
};

Options ParseOptions(int aCount, char** aValues)
{
  auto values = docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true);
  Options options;
  options.m_port = static_cast<std::uint16_t>(values["--port"].asLong());
  options.m_servers = static_cast<int>(values["--servers"].asLong());
  options.m_pools = static_cast<int>(values["--pools"].asLong());
  options.m_runMs = values["--run-ms"].asLong();
  options.m_jobsPerS = std::stod(values["--jobs-per-s"].asString());
  options.m_width = static_cast<int>(values["--width"].asLong());
  options.m_forMs = values["--for-s"].asLong() * 1'000;
  options.m_entries = values["--entry"].asStringList();
  return options;
}

std::string PoolName(int aPool)
{
  return "pool-" + std::to_string(aPool);
}

std::string Configuration(int aPools)
{
  nlohmann::json queues = nlohmann::json::array();
  nlohmann::json pools = nlohmann::json::array();
  for (int pool = 0; pool < aPools; ++pool) {
    const std::string name = PoolName(pool);
    queues.push_back({ { "name", name },
                       { "host", "jobs.example" },
                       { "path-prefix", "/" + name + "/" },
                       { "upstream", name },
                       { "attempts", 3 },
                       { "stretch", 1.6 },
                       { "target-latency-ms", 600 } });
    pools.push_back({ { "name", name }, { "admission-check", true } });
  }
  return nlohmann::json{ { "version", 1 }, { "routes", queues }, { "upstreams", pools } }.dump();
}

/// \brief Submits jobs and queries their state until they are completed.
class Caller
{
public:
  Caller(asio::io_context& aLoop, const Options& aOptions)
    : m_options(aOptions)
    , m_client(HttpClient::Create(aLoop))
    , m_beginMs(MonotonicMs())
    , m_ticker(aLoop, kTickMs, [this] { Tick(); })
  {
  }

  void Report() const
  {
    auto waits = m_endedMs;
    std::ranges::sort(waits);
    const auto at = [&waits](double aShare) {
      return waits.empty()
               ? Millis{ 0 }
               : waits[static_cast<std::size_t>(aShare * static_cast<double>(waits.size() - 1))];
    };
    std::printf("submitted %zu, refused %zu, ended %zu; until the end p50 %lld ms, p99 %lld ms\n",
                m_submitted, m_refused, waits.size(), static_cast<long long>(at(0.5)),
                static_cast<long long>(at(0.99)));
  }

private:
  static constexpr Millis kTickMs = 20;
  static constexpr Millis kPollIntervalMs = 500;

  struct Submitted
  {
    std::string m_path;
    Millis m_sentMs{};
    Millis m_nextPollMs{};
  };

  void Tick()
  {
    const Millis now = MonotonicMs();
    const Millis run = std::min(now - m_beginMs, m_options.m_forMs);
    while (static_cast<double>(m_submitted) <
           m_options.m_jobsPerS * static_cast<double>(run) / 1'000) {
      Submit(now);
    }
    for (auto& [number, job] : m_open) {
      if (now >= job.m_nextPollMs) {
        job.m_nextPollMs = now + kPollIntervalMs;
        Poll(number, job);
      }
    }
  }

  ClientRequest Request(std::size_t aNumber, const std::string& aMethod, const std::string& aPath)
  {
    ClientRequest request;
    request.m_method = aMethod;
    request.m_url = "http://" + m_options.m_entries[aNumber % m_options.m_entries.size()] + aPath;
    request.m_headers = { { "host", "jobs.example" } };
    request.m_timeoutMs = 3'000;
    return request;
  }

  void Submit(Millis aNowMs)
  {
    const std::size_t number = m_submitted++;
    const auto pool = static_cast<int>(number % static_cast<std::size_t>(m_options.m_pools));
    const std::string path = fmt::format("/{}/{:016x}", PoolName(pool), number);
    auto request = Request(number, "POST", path);
    request.m_body = fmt::format(
      R"({{"spec":"work","steps":[{{"count":{0},"cpu":1000,"mem-mb":100,"estimated-ms":{1}}},)"
      R"({{"count":{0},"cpu":1000,"mem-mb":100,"estimated-ms":{1},"after":[0]}}]}})",
      m_options.m_width, m_options.m_runMs);
    m_client->Send(
      std::move(request), [this, number, path, aNowMs](const ClientResponse& aResponse) {
        if (aResponse.m_status == 200) {
          m_open.emplace(number, Submitted{ path, aNowMs, MonotonicMs() + m_options.m_runMs });
        } else {
          ++m_refused;
        }
      });
  }

  void Poll(std::size_t aNumber, const Submitted& aJob)
  {
    m_client->Send(
      Request(aNumber, "GET", aJob.m_path), [this, aNumber](const ClientResponse& aResponse) {
        const auto job = m_open.find(aNumber);
        if (job != m_open.end() && aResponse.m_body.find("completed") != std::string::npos) {
          m_endedMs.push_back(MonotonicMs() - job->second.m_sentMs);
          m_open.erase(job);
        }
      });
  }

  const Options& m_options;
  std::unique_ptr<HttpClient> m_client;
  Millis m_beginMs;
  std::size_t m_submitted{};
  std::size_t m_refused{};
  std::map<std::size_t, Submitted> m_open;
  std::vector<Millis> m_endedMs;
  Ticker m_ticker;
};

int Run(const Options& aOptions)
{
  constexpr Millis kFinishMs = 10'000;
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context loop{ 1 };
  PreparedStore store{ loop, { "127.0.0.1", aOptions.m_port } };
  store.Put("keyed.op", "config", Configuration(aOptions.m_pools));
  std::vector<std::unique_ptr<PreparedServer>> servers;
  for (int number = 0; number < aOptions.m_servers; ++number) {
    const Endpoint listen{ "127.0.0.1", static_cast<std::uint16_t>(aOptions.m_port + 1 + number) };
    servers.push_back(std::make_unique<PreparedServer>(loop, listen, aOptions.m_runMs));
    if (!servers.back()->IsListening()) {
      std::fprintf(stderr, "port %u is in use; choose another one with --port\n", listen.m_port);
      return 1;
    }
    store.Put("keyed.servers", "server-" + std::to_string(number),
              servers.back()->Entry(PoolName(number % aOptions.m_pools)));
  }
  const Caller caller{ loop, aOptions };
  loop.run_for(std::chrono::milliseconds{ aOptions.m_forMs + kFinishMs });
  caller.Report();
  return 0;
}

} // namespace
} // namespace pistachiostand::fleet::standin

int main(int aCount, char** aValues)
{
  return pistachiostand::fleet::standin::Run(
    pistachiostand::fleet::standin::ParseOptions(aCount, aValues));
}
