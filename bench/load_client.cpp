/// \file
/// \brief HTTP load generator for entry instances or backend servers.
///
/// A closed loop keeps every connection busy. An open loop (`--rate`) starts requests at a fixed
/// rate and measures latency from the scheduled start, so that server stalls are not hidden.

#include <curl/curl.h>
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto kUsage = R"(HTTP load on entry instances or backend servers.

Usage: load_client --target=LIST [options]

Options:
  --target=LIST      Addresses IP:PORT, separated by commas; connections take them in turn.
  --path=PREFIX      Path before the service; /run is that of a backend server [default: /v1/services].
  --connections=N    Connections, and requests in flight at most [default: 16].
  --rate=N           Requests started in one second; 0 is a closed loop [default: 0].
  --seconds=S        Measured time [default: 5].
  --warmup=S         Time before it, not measured [default: 1].
  --service=LIST     Services by share, as NAME:SHARE [default: lookups:1].
  --tenant=LIST      Tenants by share, as NAME:SHARE [default: tupelo:1].
  --keys=PREFIX      Sends an Idempotency-Key that starts with PREFIX with every request.
  --body-bytes=N     Size of the request body [default: 64].
  --row=LABEL        Prints a row of a Markdown table that starts with this label.
)";

using Shares = std::pair<std::vector<std::string>, std::discrete_distribution<std::size_t>>;

struct Plan
{
  std::vector<std::string> m_targets;
  std::string m_path;
  Shares m_services;
  Shares m_tenants;
  std::string m_keys;
  std::string m_body;
  double m_rate{};
  Clock::time_point m_start;
  Clock::time_point m_measureFrom;
  Clock::time_point m_end;
};

struct Connection
{
  CURL* m_easy{};
  curl_slist* m_headers{};
  std::string m_target;
  std::string m_outcome;
  Clock::time_point m_requestStart; ///< Open loop: the scheduled start.
};

struct Result
{
  std::vector<double> m_latenciesMs;
  std::map<std::string, std::uint64_t> m_outcomes;
  std::uint64_t
    m_roundsWithoutConnection{}; ///< Open loop: rounds with a request due but no idle connection.
};

std::vector<std::string> Split(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::istringstream stream{ aText };
  for (std::string part; std::getline(stream, part, aSeparator);) {
    parts.push_back(part);
  }
  return parts;
}

Shares ParseShares(const std::string& aText)
{
  std::vector<std::string> names;
  std::vector<double> shares;
  for (const auto& each : Split(aText, ',')) {
    const auto colon = each.find(':');
    names.push_back(each.substr(0, colon));
    shares.push_back(colon == std::string::npos ? 1 : std::stod(each.substr(colon + 1)));
  }
  return { names, { shares.begin(), shares.end() } };
}

std::size_t OnBody(char*, std::size_t aSize, std::size_t aCount, void*)
{
  return aSize * aCount;
}

std::size_t OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aConnection)
{
  constexpr std::string_view kName = "x-outcome: ";
  std::string line{ aData, aSize * aCount };
  std::ranges::transform(
    line, line.begin(), [](unsigned char aByte) { return static_cast<char>(std::tolower(aByte)); });
  if (line.starts_with(kName)) {
    line.erase(0, kName.size());
    line.erase(line.find_last_not_of("\r\n") + 1);
    static_cast<Connection*>(aConnection)->m_outcome = line;
  }
  return aSize * aCount;
}

class Load
{
public:
  Load(Plan aPlan, std::size_t aConnections)
    : m_plan(std::move(aPlan))
    , m_multi(curl_multi_init())
    , m_connections(aConnections)
  {
    for (std::size_t i = 0; i < aConnections; ++i) {
      m_connections[i].m_easy = curl_easy_init();
      m_connections[i].m_target = m_plan.m_targets[i % m_plan.m_targets.size()];
      m_idle.push_back(&m_connections[i]);
    }
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, static_cast<long>(aConnections) * 2);
  }

  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  ~Load()
  {
    for (auto& each : m_connections) {
      curl_multi_remove_handle(m_multi, each.m_easy);
      curl_easy_cleanup(each.m_easy);
      curl_slist_free_all(each.m_headers);
    }
    curl_multi_cleanup(m_multi);
  }

  Result Run()
  {
    while (Clock::now() < m_plan.m_end) {
      int running = 0;
      curl_multi_perform(m_multi, &running);
      Collect();
      StartDue();
      curl_multi_poll(m_multi, nullptr, 0, WaitMs(), nullptr);
    }
    return std::move(m_result);
  }

private:
  [[nodiscard]] Clock::time_point Due() const
  {
    const std::chrono::duration<double> offset{ static_cast<double>(m_started) / m_plan.m_rate };
    return m_plan.m_start + std::chrono::duration_cast<Clock::duration>(offset);
  }

  /// \brief Time until the next start, at most 100 ms; zero when it is due in less than 1 ms, the
  /// shortest wait of poll. A closed loop, or one without an idle connection, waits 100 ms.
  [[nodiscard]] int WaitMs() const
  {
    if (m_plan.m_rate <= 0 || m_idle.empty()) {
      return 100;
    }
    const auto left = std::chrono::floor<std::chrono::milliseconds>(Due() - Clock::now());
    return static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 100));
  }

  void StartDue()
  {
    const auto now = Clock::now();
    while (!m_idle.empty() && (m_plan.m_rate <= 0 || Due() <= now)) {
      Connection& connection = *m_idle.back();
      m_idle.pop_back();
      Start(connection, m_plan.m_rate > 0 ? Due() : now);
      ++m_started;
    }
    m_result.m_roundsWithoutConnection += m_plan.m_rate > 0 && Due() <= now ? 1 : 0;
  }

  void Start(Connection& aConnection, Clock::time_point aRequestStart)
  {
    auto& [services, serviceShares] = m_plan.m_services;
    auto& [tenants, tenantShares] = m_plan.m_tenants;
    const std::string id = fmt::format("{}{}", m_plan.m_keys, m_started);
    const std::string url = fmt::format("http://{}{}/{}", aConnection.m_target, m_plan.m_path,
                                        services[serviceShares(m_random)]);
    curl_slist_free_all(aConnection.m_headers);
    aConnection.m_headers =
      curl_slist_append(nullptr, ("X-Tenant: " + tenants[tenantShares(m_random)]).c_str());
    curl_slist_append(aConnection.m_headers, ("X-Request-Id: r" + id).c_str());
    curl_slist_append(aConnection.m_headers, "Expect:");
    if (!m_plan.m_keys.empty()) {
      curl_slist_append(aConnection.m_headers, ("Idempotency-Key: " + id).c_str());
    }
    aConnection.m_outcome.clear();
    aConnection.m_requestStart = aRequestStart;
    CURL* easy = aConnection.m_easy;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aConnection.m_headers);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, m_plan.m_body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(m_plan.m_body.size()));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aConnection);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &aConnection);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 20'000L);
    curl_multi_add_handle(m_multi, easy);
  }

  void Collect()
  {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
      Connection* connection = nullptr;
      long status = 0;
      const CURLcode code = message->data.result;
      CURL* easy = message->easy_handle;
      curl_easy_getinfo(easy, CURLINFO_PRIVATE, &connection);
      curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
      curl_multi_remove_handle(m_multi, easy);
      Count(*connection, code, status);
      m_idle.push_back(connection);
    }
  }

  void Count(const Connection& aConnection, CURLcode aCode, long aStatus)
  {
    const auto now = Clock::now();
    if (now < m_plan.m_measureFrom) {
      return;
    }
    if (aCode != CURLE_OK) {
      ++m_result.m_outcomes["broken"];
      return;
    }
    const auto& outcome = aConnection.m_outcome;
    ++m_result.m_outcomes[fmt::format("{}{}{}", aStatus, outcome.empty() ? "" : " ", outcome)];
    if (aStatus == 200) {
      const std::chrono::duration<double, std::milli> took = now - aConnection.m_requestStart;
      m_result.m_latenciesMs.push_back(took.count());
    }
  }

  Plan m_plan;
  CURLM* m_multi;
  std::vector<Connection> m_connections;
  std::vector<Connection*> m_idle;
  std::uint64_t m_started{};
  std::mt19937_64 m_random{ 1 };
  Result m_result;
};

double Quantile(const std::vector<double>& aSorted, double aQuantile)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<std::size_t>(aQuantile * last)];
}

void Print(Result aResult, double aSeconds, const std::string& aRow)
{
  auto& latencies = aResult.m_latenciesMs;
  std::ranges::sort(latencies);
  std::string outcomes;
  for (const auto& [name, count] : aResult.m_outcomes) {
    outcomes += fmt::format("{}{}: {}", outcomes.empty() ? "" : ", ", name, count);
  }
  const double perSecond = static_cast<double>(latencies.size()) / aSeconds;
  const auto format = aRow.empty()
                        ? "{}completed_per_s={:.0f} p50_ms={:.2f} p99_ms={:.2f} max_ms={:.2f} "
                          "outcomes=[{}]\n"
                        : "| {} | {:.0f} | {:.2f} | {:.2f} | {:.2f} | {} |\n";
  fmt::print(fmt::runtime(format), aRow, perSecond, Quantile(latencies, 0.5),
             Quantile(latencies, 0.99), Quantile(latencies, 1), outcomes);
  if (aResult.m_roundsWithoutConnection != 0) {
    std::cerr << "load_client: " << aResult.m_roundsWithoutConnection
              << " rounds had no free connection\n";
  }
}

Clock::duration Seconds(const docopt::value& aValue)
{
  return std::chrono::duration_cast<Clock::duration>(
    std::chrono::duration<double>{ std::stod(aValue.asString()) });
}

void Run(std::map<std::string, docopt::value>& aOptions)
{
  const auto text = [&aOptions](const char* aName) {
    return aOptions[aName] ? aOptions[aName].asString() : std::string{};
  };
  const auto start = Clock::now();
  const auto measureFrom = start + Seconds(aOptions["--warmup"]);
  Plan plan{ Split(text("--target"), ','),
             text("--path"),
             ParseShares(text("--service")),
             ParseShares(text("--tenant")),
             text("--keys"),
             std::string(static_cast<std::size_t>(aOptions["--body-bytes"].asLong()), 'x'),
             std::stod(text("--rate")),
             start,
             measureFrom,
             measureFrom + Seconds(aOptions["--seconds"]) };
  Load load{ std::move(plan), static_cast<std::size_t>(aOptions["--connections"].asLong()) };
  Print(load.Run(), std::stod(text("--seconds")), text("--row"));
}

} // namespace

int main(int aCount, char** aArguments)
{
  curl_global_init(CURL_GLOBAL_DEFAULT);
  try {
    auto options = docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount });
    Run(options);
  } catch (const std::exception& error) {
    std::cerr << "load_client: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
