#pragma once

#include "CallerApi.h"
#include "FleetDriver.h"
#include "LogTail.h"
#include "OperatorApi.h"

#include <map>
#include <memory>

/// \file
/// \brief One entry instance: creates its parts on one event loop and stops once the
/// requests in progress are finished or the grace period is over.

namespace pistachiostand {

class Daemon
{
public:
  /// \brief Listens on the addresses for peers and for callers; returns null and sets `aReason`
  /// when that fails.
  [[nodiscard]] static std::unique_ptr<Daemon> Create(asio::io_context& aLoop,
                                                      const Settings& aSettings, Reason& aReason);

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon() = default;

private:
  Daemon(asio::io_context& aLoop, const Settings& aSettings, std::uint64_t aIncarnation);

  bool Listen(Reason& aReason);
  void Handle(HttpRequest aRequest, const HttpResponder& aRespond);
  void OnApplied(const LogEntry& aEntry, const ApplyResult& aApplyResult);
  void OnPeerMessage(const Hello& aFrom, const PeerMessage& aMessage);
  [[nodiscard]] std::map<InstanceId, std::uint32_t> InFlightOnLeaving() const;
  void SendHeartbeat();
  void OnStateChanged(bool aChanged);
  void OnSignal();
  void FinishStop();

  asio::io_context& m_loop;
  const Settings m_settings;
  EntryId m_process; ///< Id with the incarnation.
  std::unique_ptr<HttpClient> m_http;
  PlatformClient m_platform;
  BackendClient m_backend;
  LogReplica m_replica;
  ProposalQueue m_proposals;
  Membership m_membership;
  Histograms m_histograms;
  RunTimeEstimate m_estimate;
  Counters m_counters;
  Runtime m_runtime;
  ServerTable m_servers;
  Dispatcher m_dispatcher;
  JobRunner m_jobs;
  LogTail m_tail;
  FleetDriver m_fleet;
  CallerApi m_callers;
  OperatorApi m_operators;
  std::unique_ptr<PeerMesh> m_peers;
  std::unique_ptr<HttpServer> m_server;
  Ticker m_heartbeat;
  Ticker m_stopTicker;
  asio::signal_set m_signals;
  Offset m_lastSeenOffset{}; ///< Offset of the state at the last OnStateChanged().
  Millis m_stopByMs{};
  Millis m_quietSinceMs{}; ///< When a new request was last seen while stopping.
  std::uint64_t m_requestsSeen{};
};

} // namespace pistachiostand
