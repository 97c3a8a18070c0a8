#include "Deployment.h"

#include <csignal>
#include <fstream>
#include <stdexcept>

namespace pistachiostand::testing {

namespace {

const std::string kBinaryDir = BINARY_DIR;

std::string TestName()
{
  const auto* info = ::testing::UnitTest::GetInstance()->current_test_info();
  return std::string(info->test_suite_name()) + "." + info->name();
}

std::string EntryTable(const Server& aEntry)
{
  return "id = \"" + aEntry.m_id + "\"\nzone = \"" + aEntry.m_zone + "\"\n";
}

void ExpectOk(const HttpResponse& aResponse, const std::string& aWhat)
{
  if (aResponse.m_status != 200) {
    throw std::runtime_error(aWhat + ": status " + std::to_string(aResponse.m_status) + " " +
                             aResponse.m_error + aResponse.m_body);
  }
}

} // namespace

bool IsNamed(const std::string& aFull, const std::string& aName)
{
  // An entry instance appends `~` and an id that it generates to a caller's request id.
  return aFull == aName || aFull.ends_with("/" + aName) || aFull.starts_with(aName + '~');
}

Deployment::Deployment()
  : m_directory(std::filesystem::path(kBinaryDir) / "process-logs" / TestName())
{
  std::filesystem::remove_all(m_directory);
  std::filesystem::create_directories(m_directory);
}

Deployment::~Deployment()
{
  m_entries.clear();
  m_backends.clear();
  m_platform.m_child.reset();
  if (!HasFailure()) {
    std::error_code ignored;
    std::filesystem::remove_all(m_directory, ignored);
  }
}

void Deployment::Start(Server& aServer)
{
  aServer.m_child =
    std::make_unique<ChildProcess>(aServer.m_command, m_directory / (aServer.m_id + ".log"));
}

void Deployment::StartPlatform(const std::vector<std::string>& aArguments)
{
  m_platform.m_id = "platform";
  m_platform.m_address = FreeAddress("127.0.0.2");
  m_platform.m_command = { kBinaryDir + "/tests/platform_standin",
                           "--listen=" + m_platform.m_address };
  m_platform.m_command.insert(m_platform.m_command.end(), aArguments.begin(), aArguments.end());
  Start(m_platform);
  static_cast<void>(m_platform.m_child->WaitForAddress());
}

std::size_t Deployment::StartBackend(const BackendOptions& aOptions)
{
  constexpr int kFirstHost = 100;
  const auto host = kFirstHost + m_backends.size();
  Server server{ aOptions.m_id, FreeAddress("127.0.0." + std::to_string(host)), aOptions.m_zone };
  server.m_command = { kBinaryDir + "/tests/backend_standin", "--listen=" + server.m_address,
                       "--pool=" + aOptions.m_pool, "--boot-id=" + aOptions.m_id + "-boot-0" };
  server.m_command.insert(server.m_command.end(), aOptions.m_arguments.begin(),
                          aOptions.m_arguments.end());
  Start(server);
  static_cast<void>(server.m_child->WaitForAddress());
  AddToPlatform(aOptions, server.m_address);
  m_backends.push_back(std::move(server));
  return m_backends.size() - 1;
}

void Deployment::AddToPlatform(const BackendOptions& aOptions, const std::string& aAddress)
{
  const Json instance = { { "id", aOptions.m_id },     { "address", aAddress },
                          { "zone", aOptions.m_zone }, { "rack", aOptions.m_rack },
                          { "pool", aOptions.m_pool }, { "boot_id", aOptions.m_id + "-boot-0" } };
  ExpectOk(SendRequest({ "POST", m_platform.m_address, "/control/instances", {}, instance.dump() }),
           "add instance " + aOptions.m_id);
}

void Deployment::StartEntries(const std::vector<std::string>& aZones)
{
  constexpr int kFirstHost = 10;
  std::vector<std::string> peerAddresses;
  for (const auto& zone : aZones) {
    const auto host = "127.0.0." + std::to_string(kFirstHost + m_entries.size());
    const auto id = "e" + std::to_string(m_entries.size() + 1);
    m_entries.push_back({ id, FreeAddress(host), zone, {}, nullptr });
    peerAddresses.push_back(FreeAddress(host));
  }
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    m_entries[i].m_command = { kBinaryDir + "/pistachiostandd", WriteSettings(i, peerAddresses) };
    Start(m_entries[i]);
  }
}

std::string Deployment::WriteSettings(std::size_t aEntry,
                                      const std::vector<std::string>& aPeerAddresses)
{
  const auto& entry = m_entries[aEntry];
  const auto file = m_directory / (entry.m_id + ".toml");
  std::ofstream out(file);
  out << "[entry]\n"
      << EntryTable(entry) << "[listen]\ncallers = \"" << entry.m_address << "\"\npeers = \""
      << aPeerAddresses[aEntry] << "\"\n[platform]\naddress = \"" << m_platform.m_address
      << "\"\n[limits]\n"
      << m_limits << "\n[log]\nlevel = \"debug\"\n";
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    if (i != aEntry) {
      const auto address =
        m_relay ? m_relay->Add({ aEntry, i }, aPeerAddresses[i]) : aPeerAddresses[i];
      out << "[[peer]]\n" << EntryTable(m_entries[i]) << "address = \"" << address << "\"\n";
    }
  }
  return file.string();
}

void Deployment::CutPeers(const std::set<std::size_t>& aInside)
{
  std::set<PeerLinkId> links;
  for (const auto inside : aInside) {
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
      if (!aInside.contains(other)) {
        links.insert({ inside, other });
        links.insert({ other, inside });
      }
    }
  }
  m_relay->Cut(links);
}

void Deployment::KillAndRestart(Server& aServer)
{
  aServer.m_child->Kill();
  Restart(aServer);
}

void Deployment::Restart(Server& aServer)
{
  aServer.m_child->Kill();
  Start(aServer);
}

void Deployment::Pause(const Server& aServer)
{
  aServer.m_child->Signal(SIGSTOP);
}

void Deployment::Resume(const Server& aServer)
{
  aServer.m_child->Signal(SIGCONT);
}

void Deployment::Terminate(const Server& aServer)
{
  aServer.m_child->Signal(SIGTERM);
}

HttpResponse Deployment::TryPublish(std::size_t aEntry, const Publication& aPublication)
{
  auto author = aPublication.m_author;
  for (auto space = author.find(' '); space != std::string::npos; space = author.find(' ')) {
    author.replace(space, 1, "%20");
  }
  const auto target = "/v1/rules?base=" + std::to_string(aPublication.m_base) + "&author=" + author;
  return SendRequest({ "POST", m_entries.at(aEntry).m_address, target, {}, aPublication.m_text });
}

void Deployment::PublishRules(std::size_t aEntry, const Publication& aPublication)
{
  const auto& entry = m_entries.at(aEntry);
  WaitUntil("health of " + entry.m_id, [&entry] {
    return SendRequest({ "GET", entry.m_address, "/healthz" }).m_status == 200;
  });
  HttpResponse response;
  // The entry instance refuses a publish with 503 until it has read the log.
  WaitUntil("publish through " + entry.m_id, [&] {
    response = TryPublish(aEntry, aPublication);
    return response.m_status != 503 && response.m_status != 0;
  });
  ExpectOk(response, "publish through " + entry.m_id);
}

void Deployment::WaitUntilReady()
{
  for (const auto& entry : m_entries) {
    WaitUntilReady(entry);
  }
}

void Deployment::WaitUntilReady(const Server& aEntry)
{
  WaitUntil("readiness of " + aEntry.m_id, [&aEntry] {
    if (!aEntry.m_child->IsRunning()) {
      throw std::runtime_error(aEntry.m_id + " ended: " + aEntry.m_child->Output());
    }
    return SendRequest({ "GET", aEntry.m_address, "/readyz" }).m_status == 200;
  });
}

std::int64_t Deployment::Revision(const Server& aEntry)
{
  const auto status = SendRequest({ "GET", aEntry.m_address, "/v1/status" }).Body();
  return status.is_object() ? status.value("revision", std::int64_t{ -1 }) : -1;
}

void Deployment::WaitForRevision(std::int64_t aRevision)
{
  for (const auto& entry : m_entries) {
    WaitUntil("revision " + std::to_string(aRevision) + " on " + entry.m_id,
              [&] { return Revision(entry) == aRevision; });
  }
}

HttpRequest Deployment::ToHttp(std::size_t aEntry, const ServiceRequest& aRequest) const
{
  HttpRequest request{ "POST", m_entries.at(aEntry).m_address,
                       "/v1/" + aRequest.m_resource + "/" + aRequest.m_service, aRequest.m_headers,
                       aRequest.m_body };
  request.m_headers.emplace_back("X-Tenant", aRequest.m_tenant);
  if (!aRequest.m_key.empty()) {
    request.m_headers.emplace_back("Idempotency-Key", aRequest.m_key);
  }
  return request;
}

HttpResponse Deployment::Call(std::size_t aEntry, const ServiceRequest& aRequest)
{
  return SendRequest(ToHttp(aEntry, aRequest));
}

std::future<HttpResponse> Deployment::CallAsync(std::size_t aEntry, const ServiceRequest& aRequest)
{
  return SendAsync(ToHttp(aEntry, aRequest));
}

void Deployment::Control(const Server& aStandin, const std::string& aCommand)
{
  ExpectOk(SendRequest({ "POST", aStandin.m_address, "/control/" + aCommand }),
           aStandin.m_id + " control " + aCommand);
}

Json Deployment::GetJson(const Server& aServer, const std::string& aTarget)
{
  const auto response = SendRequest({ "GET", aServer.m_address, aTarget });
  ExpectOk(response, aServer.m_id + " " + aTarget);
  return response.Body();
}

std::size_t Deployment::SumExecutions(const std::string& aName, const std::string& aField)
{
  std::size_t sum = 0;
  for (const auto& backend : m_backends) {
    const auto executions = GetJson(backend, "/control/executions");
    for (const auto& [name, counts] : executions.items()) {
      sum += IsNamed(name, aName) ? counts.at(aField).get<std::size_t>() : 0;
    }
  }
  return sum;
}

std::size_t Deployment::StartedCount(const std::string& aName)
{
  return SumExecutions(aName, "started");
}

std::size_t Deployment::FinishedCount(const std::string& aName)
{
  return SumExecutions(aName, "finished");
}

} // namespace pistachiostand::testing
