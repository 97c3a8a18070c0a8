#include "Daemon.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/base/Hash.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>
#include <iterator>
#include <random>
#include <utility>

namespace pistachiostand {

namespace {

constexpr Millis kStopPollMs = 50;
/// Closing the listening socket resets connections that wait to be accepted, so a stopping process
/// still accepts connections, and refuses new work, until no request has arrived for this long.
constexpr Millis kStopQuietMs = 300;

HttpResponse NotFound()
{
  HttpResponse response;
  response.m_status = 404;
  SetHeader(response.m_headers, "content-type", "application/json");
  response.m_body = "{\"kind\":\"unknown-path\",\"cause\":\"there is no such path\","
                    "\"remedy\":\"see docs/design.md, section 7.1\"}\n";
  return response;
}

/// \brief Returns whether a record may change the server table; job records, ticks and snapshots,
/// which are frequent, do not.
bool ChangesServers(const RecordBody& aBody)
{
  return std::holds_alternative<Publish>(aBody) || std::visit(
                                                     [](const auto& aEach) {
                                                       return requires
                                                       {
                                                         aEach.m_instance;
                                                       };
                                                     },
                                                     aBody);
}

std::uint64_t NewIncarnation()
{
  std::random_device device;
  return Hash(std::to_string(device()) + '-' + std::to_string(WallMs()));
}

} // namespace

std::unique_ptr<Daemon> Daemon::Create(asio::io_context& aLoop, const Settings& aSettings,
                                       Reason& aReason)
{
  auto daemon = std::unique_ptr<Daemon>{ new Daemon{ aLoop, aSettings, NewIncarnation() } };
  return daemon->Listen(aReason) ? std::move(daemon) : nullptr;
}

Daemon::Daemon(asio::io_context& aLoop, const Settings& aSettings, std::uint64_t aIncarnation)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_process(ProcessId(aSettings.m_id, aIncarnation))
  , m_http(HttpClient::Create(aLoop))
  , m_platform(*m_http, { aSettings.m_platform, aSettings.m_id, aSettings.m_zone,
                          aSettings.m_limits.m_platformTimeoutMs })
  , m_backend(*m_http)
  , m_replica([this](const LogEntry& aEntry, const ApplyResult& aApplyResult) {
    OnApplied(aEntry, aApplyResult);
  })
  , m_proposals(m_process)
  , m_membership(m_process, aSettings.m_zone, aSettings.m_limits.m_peerTimeoutMs)
  , m_histograms{ aSettings.m_limits.m_maxTenants, {}, {} }
  , m_runtime{ aLoop,      m_settings, m_process,    m_replica,  m_proposals, m_membership,
               m_platform, m_backend,  m_histograms, m_estimate, m_counters,  std::nullopt,
               false,      0 }
  , m_servers(m_runtime)
  , m_dispatcher(m_runtime, m_servers)
  , m_jobs(m_runtime, m_dispatcher)
  , m_tail(m_runtime)
  , m_fleet(m_runtime, m_servers)
  , m_callers(m_runtime, m_dispatcher, m_jobs, [this] { return m_tail.IsReady(); })
  , m_operators(m_runtime, m_dispatcher,
                [this] { return m_tail.IsReady() && !m_runtime.m_draining; })
  , m_heartbeat(aLoop, aSettings.m_limits.m_heartbeatMs, [this] { SendHeartbeat(); })
  , m_stopTicker(aLoop, kStopPollMs, [this] { FinishStop(); })
  , m_signals(aLoop, SIGTERM, SIGINT)
{
  m_signals.async_wait([this](const std::error_code& aError, int) {
    if (!aError) {
      OnSignal();
    }
  });
}

bool Daemon::Listen(Reason& aReason)
{
  m_peers = PeerMesh::Create(
    m_loop, m_settings, { m_settings.m_id, m_process, m_settings.m_zone },
    [this](const Hello& aFrom, const PeerMessage& aMessage) { OnPeerMessage(aFrom, aMessage); },
    aReason);
  if (!m_peers) {
    return false;
  }
  m_server = HttpServer::Create(
    m_loop, { m_settings.m_callerListen, m_settings.m_limits.m_maxConnections },
    [this](HttpRequest aRequest, const HttpResponder& aRespond) {
      Handle(std::move(aRequest), aRespond);
    },
    aReason);
  if (!m_server) {
    return false;
  }
  m_tail.Start(*m_peers);
  spdlog::info("main: Entry instance {} in zone {} listens on {}.", m_settings.m_id,
               m_settings.m_zone, ToString(m_settings.m_callerListen));
  return true;
}

void Daemon::Handle(HttpRequest aRequest, const HttpResponder& aRespond)
{
  if (!m_operators.Handle(aRequest, aRespond) && !m_callers.Handle(aRequest, aRespond)) {
    aRespond(NotFound());
  }
}

void Daemon::OnApplied(const LogEntry& aEntry, const ApplyResult& aApplyResult)
{
  if (std::holds_alternative<Publish>(aEntry.m_record.m_body) && aApplyResult.Accepted()) {
    spdlog::info("log: Revision {} is in force.", m_replica.State().m_revision);
  }
  OnStateChanged(ChangesServers(aEntry.m_record.m_body));
  m_proposals.OnApplied(aEntry.m_record, aApplyResult);
  m_jobs.OnApplied(aEntry, aApplyResult);
}

/// \brief Marks the server table as outdated before any callback chooses a server from the new
/// state.
///
/// If the offset has not advanced by one, the state was replaced as a whole, so the open jobs are
/// collected again.
void Daemon::OnStateChanged(bool aChanged)
{
  const Offset next = m_replica.State().m_nextOffset;
  const bool replaced = next != m_lastSeenOffset + 1;
  m_lastSeenOffset = next;
  if (aChanged || replaced) {
    m_servers.MarkChanged();
  }
  if (replaced) {
    m_jobs.Rescan();
  }
}

void Daemon::OnPeerMessage(const Hello& aFrom, const PeerMessage& aMessage)
{
  const auto* heartbeat = std::get_if<Heartbeat>(&aMessage);
  if (heartbeat == nullptr) {
    m_tail.OnPeerMessage(aFrom, aMessage);
    if (m_replica.State().m_nextOffset != m_lastSeenOffset) {
      OnStateChanged(true);
      m_jobs.Rescan();
    }
    return;
  }
  const Millis now = MonotonicMs();
  std::optional<Millis> confirmed;
  if (heartbeat->m_confirmedAgeMs >= 0) {
    confirmed = now - heartbeat->m_confirmedAgeMs;
  }
  m_membership.OnHeartbeat({ aFrom.m_entry, aFrom.m_process, aFrom.m_zone, now,
                             heartbeat->m_nextOffset, heartbeat->m_revision, confirmed,
                             heartbeat->m_draining, heartbeat->m_inFlight, heartbeat->m_leaving });
}

/// \brief In-flight counts of the instances that are not serving; the planner waits for no others.
std::map<InstanceId, std::uint32_t> Daemon::InFlightOnLeaving() const
{
  const auto& instances = m_replica.State().m_instances;
  std::map<InstanceId, std::uint32_t> counts;
  std::ranges::copy_if(
    m_servers.InFlight(), std::inserter(counts, counts.end()), [&](const auto& aCount) {
      const auto found = instances.find(aCount.first);
      return found == instances.end() || found->second.m_phase != InstancePhase::Serving;
    });
  return counts;
}

/// \brief The offset in the heartbeat tells up to where this process knows which instances are
/// leaving; see PlannerInput::m_minReadOffset.
void Daemon::SendHeartbeat()
{
  const auto confirmed = m_runtime.m_confirmedMs;
  m_peers->Broadcast(Heartbeat{ m_replica.State().m_nextOffset, m_replica.State().m_revision,
                                confirmed ? MonotonicMs() - *confirmed : -1, m_runtime.m_draining,
                                InFlightOnLeaving(), m_servers.ReportedLeaving() });
}

void Daemon::OnSignal()
{
  spdlog::info("main: Stopping. {} requests are in progress.", m_callers.Outstanding());
  m_runtime.m_draining = true;
  m_stopByMs = MonotonicMs() + m_settings.m_limits.m_shutdownGraceMs;
  m_quietSinceMs = MonotonicMs();
  m_requestsSeen = m_counters.m_requests;
  SendHeartbeat();
}

void Daemon::FinishStop()
{
  if (!m_runtime.m_draining) {
    return;
  }
  const Millis now = MonotonicMs();
  if (std::exchange(m_requestsSeen, m_counters.m_requests) != m_counters.m_requests) {
    m_quietSinceMs = now;
  }
  const bool idle = m_callers.Outstanding() == 0 && m_jobs.ActiveCount() == 0 &&
                    m_proposals.PendingCount() == 0 && now - m_quietSinceMs >= kStopQuietMs;
  const bool late = now >= m_stopByMs;
  if (!idle && !late) {
    return;
  }
  if (late && !idle) {
    spdlog::warn("main: The grace period is over with {} requests in progress.",
                 m_callers.Outstanding());
  }
  m_server->StopAccepting();
  spdlog::info("main: Stopped.");
  m_loop.stop();
}

} // namespace pistachiostand
