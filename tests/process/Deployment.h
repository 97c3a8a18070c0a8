#pragma once

#include "ChildProcess.h"
#include "HttpRequest.h"
#include "PeerRelay.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief Fixture that runs a platform, backend servers and entry instances as child processes.

namespace pistachiostand::testing {

/// \brief A process and the command that restarts it on the same address.
struct Server
{
  std::string m_id;
  std::string m_address; ///< IP:PORT of its HTTP server.
  std::string m_zone;
  std::vector<std::string> m_command{};
  std::unique_ptr<ChildProcess> m_child{};
};

struct BackendOptions
{
  std::string m_id;
  std::string m_zone = "z1";
  std::string m_rack = "r1";
  std::string m_pool = "spare";
  std::vector<std::string> m_arguments{}; ///< More options, such as `--slots=2`.
};

/// \brief The parameters of one publish of a rule file.
struct Publication
{
  std::string m_text;
  std::uint64_t m_base = 0;
  std::string m_author = "Ann Lee";
};

/// \brief A caller's request for a service.
struct ServiceRequest
{
  std::string m_service;
  std::string m_tenant;
  std::string m_body;
  std::string m_key{}; ///< `Idempotency-Key`, when not empty.
  RequestHeaders m_headers{};
  std::string m_resource = "services"; ///< `services` waits for the result, `jobs` queues the job.
};

/// \brief True when `aFull` is `aName`, with or without a tenant prefix or the suffix that an entry
/// instance appends to a request id.
[[nodiscard]] bool IsNamed(const std::string& aFull, const std::string& aName);

/// \brief Starts processes on 127.0.0.x and ends all of them with the test.
///
/// \code
/// StartPlatform({ "--reboot-ms=100" });
/// StartBackend({ "b1", "z1", "r1", "lookups" });
/// StartEntries({ "z1", "z2", "z3" });
/// PublishRules(0, { rules });
/// WaitUntilReady();
/// const auto response = Call(1, { "lookups", "tupelo", "body" });
/// \endcode
///
/// The logs are in `process-logs/SUITE.TEST` of the build directory until the test passes.
class Deployment : public ::testing::Test
{
protected:
  Deployment();
  ~Deployment() override;

  void StartPlatform(const std::vector<std::string>& aArguments = {});
  /// \brief Starts a backend server and adds it to the platform's list.
  std::size_t StartBackend(const BackendOptions& aOptions);
  /// \brief Starts one entry instance for each zone given, each with all others as peers.
  void StartEntries(const std::vector<std::string>& aZones);
  /// \brief Sets additional lines of table `[limits]`; call before `StartEntries`.
  void SetLimits(const std::string& aLines) { m_limits = aLines; }
  /// \brief Makes peers connect to each other through `m_relay`; call before `StartEntries`.
  void UsePeerRelay() { m_relay = std::make_unique<PeerRelay>(); }
  /// \brief Cuts all links between the entry instances given and the others.
  void CutPeers(const std::set<std::size_t>& aInside);

  /// \brief Kills a server and restarts it on its address, as a new incarnation.
  void KillAndRestart(Server& aServer);
  /// \brief Restarts a server that has ended, on its address.
  void Restart(Server& aServer);
  static void Pause(const Server& aServer);
  static void Resume(const Server& aServer);
  static void Terminate(const Server& aServer);

  /// \brief Publishes through one entry instance and throws unless the publish is accepted.
  void PublishRules(std::size_t aEntry, const Publication& aPublication);
  [[nodiscard]] HttpResponse TryPublish(std::size_t aEntry, const Publication& aPublication);
  /// \brief Waits until `/readyz` of every entry instance returns 200.
  void WaitUntilReady();
  void WaitUntilReady(const Server& aEntry);
  /// \brief Waits until every entry instance reports this revision.
  void WaitForRevision(std::int64_t aRevision);
  /// \brief The `revision` of `GET /v1/status`, or -1 without one.
  [[nodiscard]] static std::int64_t Revision(const Server& aEntry);

  [[nodiscard]] HttpResponse Call(std::size_t aEntry, const ServiceRequest& aRequest);
  [[nodiscard]] std::future<HttpResponse> CallAsync(std::size_t aEntry,
                                                    const ServiceRequest& aRequest);

  /// \brief Sends `POST /control/...` to a stand-in, such as `Control(m_platform, "down?ms=500")`.
  static void Control(const Server& aStandin, const std::string& aCommand);
  [[nodiscard]] static Json GetJson(const Server& aServer, const std::string& aTarget);
  [[nodiscard]] Json PlatformStats() { return GetJson(m_platform, "/control/stats"); }
  /// \brief Number of runs, on all backend servers, that were started for a job key (with or
  /// without tenant) or request id.
  [[nodiscard]] std::size_t StartedCount(const std::string& aName);
  [[nodiscard]] std::size_t FinishedCount(const std::string& aName);

  Server m_platform;
  std::vector<Server> m_backends;
  std::vector<Server> m_entries;
  std::unique_ptr<PeerRelay> m_relay;

private:
  void Start(Server& aServer);
  void AddToPlatform(const BackendOptions& aOptions, const std::string& aAddress);
  [[nodiscard]] std::string WriteSettings(std::size_t aEntry,
                                          const std::vector<std::string>& aPeerAddresses);
  [[nodiscard]] HttpRequest ToHttp(std::size_t aEntry, const ServiceRequest& aRequest) const;
  [[nodiscard]] std::size_t SumExecutions(const std::string& aName, const std::string& aField);

  std::filesystem::path m_directory; ///< Holds the settings files and logs.
  std::string m_limits;
};

} // namespace pistachiostand::testing
