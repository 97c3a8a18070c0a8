#include "EntryInstance.h"

#include "EventLog.h"
#include "MalformedEntry.h"
#include "SubmissionCleaner.h"

#include "platform/Topics.h"
#include "platform/Wire.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/base/Hash.h"
#include "pistachiostand/base/PercentCoding.h"

#include <asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iterator>
#include <random>
#include <utility>

namespace pistachiostand::fleet {

namespace {

/// A read that reaches the store while a record is being stored may miss it and wait until its
/// timeout, so the wait must be shorter than the time a change may take: 2 s for a configuration.
constexpr Millis kConfigurationWaitMs = 800;
constexpr Millis kConfigurationPauseMs = 100;
/// An instance that has read no ownership record for this long, the time of three reads, is not
/// ready.
constexpr Millis kMaxReadAgeMs = 4'000;
/// The owner responds within a few milliseconds; an unresponsive one must not block the caller.
constexpr Millis kAskOwnerTimeoutMs = 800;
constexpr Millis kAskOwnerConnectMs = 300;
constexpr Millis kFlushMs = 500;
/// The platform's load balancer stops sending new connections after two failed checks, one per
/// second.
constexpr Millis kLeaveRotationMs = 2'300;
constexpr Millis kStopCheckMs = 50;
/// Last part of the grace period, in which no requests are accepted, so that all accepted ones
/// receive their responses.
constexpr Millis kCloseMarginMs = 1'600;
/// Last part of the grace period, reserved for the exit itself.
constexpr Millis kStopMarginMs = 300;
constexpr std::size_t kMaxCallerConnections = 2'000;
/// Limit of each of the other listeners: for other entry instances, readiness and metrics.
constexpr std::size_t kMaxOtherConnections = 500;

/// Timeouts of connections have a slack of 500 ms and more.
constexpr Millis kLoadCheckMs = 500;
/// Interval at which an instance that cannot reach the store checks for the owner.
constexpr Millis kConnectivityCheckMs = 200;
/// Path under which an instance responds that it can be reached.
constexpr std::string_view kConnectivityPath = "/reach";
/// Path under which the owner stores a record for another entry instance.
constexpr std::string_view kRelayPath = "/submissions";
/// A record of another instance is abandoned sooner than one of this instance, so that its sender
/// has time left to store it itself.
constexpr Millis kRelayRefusalRetryMs = 150;
constexpr Millis kRelayDeadlineMs = 1'800;
/// Status of the owner's response to an entry instance that relayed a record.
using RelayStatus = std::pair<RelayOutcome, std::uint16_t>;
constexpr std::array<RelayStatus, 4> kRelayStatuses{ { { RelayOutcome::Stored, 200 },
                                                       { RelayOutcome::Refused, 503 },
                                                       { RelayOutcome::NotSent, 408 },
                                                       { RelayOutcome::Unknown, 504 } } };
/// Most appends in flight that the owner makes for other instances. More than one, because an
/// append waits for its turn in the partition and as long again for its response, and a lost
/// response must not block all others.
constexpr std::size_t kRelayMaxInFlight = 3;

std::string MakeProcessName(const std::string& aId)
{
  std::random_device random;
  // EntryInstanceOf() relies on the '@' to extract the id again.
  return fmt::format("{}@{:08x}", aId, random());
}

/// \brief Partition to which the instance writes its own submissions. The last one is reserved for
/// the owner, so that the records that it stores for other instances never wait behind the appends
/// that those instances make themselves.
std::uint32_t OwnPartition(const EntrySettings& aSettings)
{
  const std::uint32_t shared = std::max(aSettings.m_storePartitions - 1, 1U);
  return static_cast<std::uint32_t>(Hash(aSettings.m_id) % shared);
}

std::optional<EntrySettings> LoadSettings(const std::string& aPath)
{
  std::ifstream file{ aPath, std::ios::binary };
  const std::string text{ std::istreambuf_iterator<char>{ file }, {} };
  Reasons reasons;
  auto settings = ParseEntrySettings(text, reasons);
  for (const auto& reason : reasons) {
    LogEvent("main", "settings-refused", "{}", Format(reason, aPath));
  }
  return settings;
}

} // namespace

EntryInstance::EntryInstance(asio::io_context& aLoop, EntrySettings aSettings,
                             std::string aSettingsPath)
  : m_loop(aLoop)
  , m_settings(std::move(aSettings))
  , m_settingsPath(std::move(aSettingsPath))
  , m_process(MakeProcessName(m_settings.m_id))
  , m_client(HttpClient::Create(aLoop))
  , m_store(*m_client, ToString(m_settings.m_store))
  , m_operatorTail(
      aLoop, m_store,
      { { platform::kOperatorTopic }, kConfigurationWaitMs, kConfigurationPauseMs, true },
      { [this](const std::string& aKey, const auto& aValue, Offset /*aOffset*/) {
         OnConfigurationRecord(aKey, aValue);
       },
        [](Millis /*aSentMs*/) {},
        {},
        [this](std::string_view aKey, std::string_view aCause) {
          ReportMalformedEntry(m_metrics, "records_unreadable_total", "store", aKey, aCause);
        } })
  , m_elector(
      aLoop, m_store, m_process, ToString(m_settings.m_entryListen),
      [this] {
        return ClaimDelayMs(m_settings.m_processorShare,
                            m_carrier.WasAccepted() ? kLargeFleetOwnerCores : kOwnerCores);
      },
      { [this](FencingToken aToken, Millis aClaimedMs) { BeginOwnership(aToken, aClaimedMs); },
        [this](std::string_view /*aReason*/) { EndOwnership(); },
        [this] { return IsOwnerSilent(m_connectivity, MonotonicMs()); },
        [this] { Count(m_metrics, "records_unreadable_total"); } })
  , m_writer(aLoop, m_store, OwnPartition(m_settings))
  , m_relayWriter(aLoop, m_store, m_settings.m_storePartitions - 1, kRelayMaxInFlight)
  , m_jobApi({ aLoop, m_writer, m_metrics, m_configuration, m_settings.m_storeRecordBytes,
               m_settings.m_runningOverage,
               [this](const std::string& aPath, HttpResponder aDone) {
                 AskOwner(aPath, std::move(aDone));
               },
               [this](const std::string& aRecord, Millis aTimeoutMs, auto aDone) {
                 RelaySubmission(aRecord, aTimeoutMs, std::move(aDone));
               },
               [this](const QueueRule& aQueue, std::string_view aKey) {
                 return Authorize(m_configuration, aQueue, aKey, m_settings.m_access,
                                  m_operatorTail.CurrentAsOf(), MonotonicMs());
               },
               [this] { return m_stopping; },
               [this] { return IsStoreSilent(m_connectivity, MonotonicMs()); },
               [this] { return IsIsolated(m_connectivity, MonotonicMs()); } })
  , m_carrier(aLoop, *m_client, m_settings, m_process, m_elector.View(), m_metrics)
  , m_loadGuard(m_settings.m_machine ? std::make_shared<LoadGuard>(*m_settings.m_machine) : nullptr)
  , m_signals(aLoop, SIGTERM, SIGHUP, SIGINT)
  , m_stopTimer(aLoop)
  , m_flushTicker(aLoop, kFlushMs, [] { spdlog::default_logger()->flush(); })
  , m_connectivityTicker(aLoop, kConnectivityCheckMs, [this] { CheckConnectivity(); })
  , m_loadTicker(aLoop, kLoadCheckMs, [this] { CheckLoad(); })
{
}

EntryInstance::~EntryInstance() = default;

std::unique_ptr<EntryInstance> EntryInstance::Create(asio::io_context& aLoop,
                                                     EntrySettings aSettings,
                                                     std::string aSettingsPath, Reason& aReason)
{
  std::unique_ptr<EntryInstance> instance{ new EntryInstance{ aLoop, std::move(aSettings),
                                                              std::move(aSettingsPath) } };
  if (!instance->Listen(aReason)) {
    return nullptr;
  }
  instance->WaitForSignal();
  // An instance that has just started has not had time to reach the store or the owner.
  const Millis now = MonotonicMs();
  instance->m_connectivity = { now, now };
  instance->m_operatorTail.Start();
  instance->m_elector.Start();
  LogEvent("main", "started", "process={} zone={} callers={} store={}", instance->m_process,
           instance->m_settings.m_zone, ToString(instance->m_settings.m_callerListen),
           ToString(instance->m_settings.m_store));
  return instance;
}

void EntryInstance::Run()
{
  for (;;) {
    try {
      m_loop.run();
      return;
    } catch (const std::exception& error) {
      spdlog::error("main: unexpected-error process={} owner={} cause={}", m_process,
                    m_owner != nullptr, error.what());
      Count(m_metrics, "unexpected_errors_total");
      m_elector.StepDown("unexpected error");
    }
  }
}

bool EntryInstance::Listen(Reason& aReason)
{
  m_callerServer = HttpServer::Create(
    m_loop,
    { m_settings.m_callerListen, kMaxCallerConnections, m_loadGuard, overload::Listener::Callers },
    [this](HttpRequest aRequest, HttpResponder aRespond) {
      m_jobApi.Handle(std::move(aRequest), std::move(aRespond));
    },
    aReason);
  m_readyServer = HttpServer::Create(
    m_loop,
    { m_settings.m_readyListen, kMaxOtherConnections, m_loadGuard, overload::Listener::Ready },
    [this](const HttpRequest& aRequest, const HttpResponder& aRespond) {
      const bool known = aRequest.m_path == platform::kReadyPath;
      aRespond({ static_cast<std::uint16_t>(!known ? 404 : IsReady() ? 200 : 503), {}, {} });
    },
    aReason);
  m_entryServer = HttpServer::Create(
    m_loop,
    { m_settings.m_entryListen, kMaxOtherConnections, m_loadGuard, overload::Listener::Entries },
    [this](const HttpRequest& aRequest, HttpResponder aRespond) {
      if (aRequest.m_method == "POST" && aRequest.m_path == kRelayPath) {
        StoreForOtherInstance(aRequest, std::move(aRespond));
      } else {
        aRespond(HandleEntryRequest(aRequest));
      }
    },
    aReason);
  m_metricsServer = HttpServer::Create(
    m_loop,
    { m_settings.m_metricsListen, kMaxOtherConnections, m_loadGuard, overload::Listener::Metrics },
    [this](const HttpRequest& /*aRequest*/, const HttpResponder& aRespond) {
      UpdateLoadMetrics();
      aRespond(
        { 200, { { "content-type", "text/plain; version=0.0.4" } }, FormatMetrics(m_metrics) });
    },
    aReason);
  return m_callerServer && m_readyServer && m_entryServer && m_metricsServer;
}

void EntryInstance::CheckLoad()
{
  if (!m_loadGuard) {
    return;
  }
  m_loadGuard->Check(MonotonicMs());
  for (std::size_t index = 0; index < overload::kCauseCount; ++index) {
    const auto cause = static_cast<overload::Cause>(index);
    const std::uint64_t total = m_loadGuard->Refused(cause);
    const std::uint64_t before = std::exchange(m_loggedRefusals.at(index), total);
    // Idle connections end all the time, and need no line.
    if (total != before && cause != overload::Cause::IdleTimeout) {
      LogEvent("load", "refused", "cause={} count={} held_bytes={} handler_bytes={} limit_bytes={}",
               overload::NameOf(cause), total - before, m_loadGuard->Totals().m_connectionBytes,
               m_loadGuard->Totals().m_handlerBytes, m_loadGuard->Limits().m_maxHeldBytes);
    }
  }
}

void EntryInstance::UpdateLoadMetrics()
{
  if (!m_loadGuard) {
    return;
  }
  constexpr std::array<std::string_view, overload::kListenerCount> kNames{ "callers", "ready",
                                                                           "entries", "metrics" };
  const auto& limits = m_loadGuard->Limits();
  const auto& totals = m_loadGuard->Totals();
  auto& gauges = m_metrics.m_gauges;
  gauges["load_bytes{by=\"connections\"}"] = static_cast<double>(totals.m_connectionBytes);
  gauges["load_bytes{by=\"handlers\"}"] = static_cast<double>(totals.m_handlerBytes);
  gauges["load_limit_bytes{by=\"all\"}"] = static_cast<double>(limits.m_maxHeldBytes);
  gauges["load_limit_bytes{by=\"handlers\"}"] = static_cast<double>(limits.m_maxHandlerBytes);
  for (std::size_t index = 0; index < overload::kListenerCount; ++index) {
    const auto listener = static_cast<overload::Listener>(index);
    const auto label = fmt::format("{{listener=\"{}\"}}", kNames.at(index));
    gauges["load_connections" + label] = static_cast<double>(m_loadGuard->Connections(listener));
    gauges["load_limit_connections" + label] =
      static_cast<double>(limits.Of(listener).m_maxConnections);
  }
  for (std::size_t index = 0; index < overload::kCauseCount; ++index) {
    const auto cause = static_cast<overload::Cause>(index);
    m_metrics
      .m_counters[fmt::format("load_refused_total{{cause=\"{}\"}}", overload::NameOf(cause))] =
      m_loadGuard->Refused(cause);
  }
}

void EntryInstance::OnConfigurationRecord(const std::string& aKey,
                                          const std::optional<std::string>& aValue)
{
  Reason reason;
  if (aKey.starts_with(platform::kWavePrefix)) {
    OnWaveRecord(aKey, aValue);
    return;
  }
  if (aKey != platform::kConfigurationKey) {
    return;
  }
  if (!aValue) {
    LogEvent("config", "removed", "in_force={}", m_configuration.m_revision);
    return;
  }
  platform::MalformedRows malformed;
  auto configuration = platform::DecodeConfiguration(*aValue, reason, m_configuration, &malformed);
  if (!configuration || malformed.m_count != 0) {
    ReportMalformedEntry(m_metrics, "configurations_unreadable_total", "config", aKey,
                         configuration ? malformed.m_cause : reason.m_cause);
  }
  if (!configuration) {
    return;
  }
  if (configuration->m_revision <= m_configuration.m_revision) {
    return;
  }
  LogEvent("config", "in-force", "revision={} before={} queues={} pools={} accounts={} keys={}",
           configuration->m_revision, m_configuration.m_revision, configuration->m_queues.size(),
           configuration->m_pools.size(), configuration->m_accounts.size(),
           configuration->m_accountByKey.size());
  m_configuration = std::move(*configuration);
  if (m_loadGuard) {
    m_loadGuard->SetRequestLimits(
      { m_configuration.m_maxHeaderBytes, m_configuration.m_maxBodyBytes,
        m_configuration.m_headerTimeoutMs, m_configuration.m_idleTimeoutMs });
  }
  if (m_owner) {
    m_owner->OnConfiguration();
  }
}

void EntryInstance::OnWaveRecord(const std::string& aKey, const std::optional<std::string>& aValue)
{
  if (!aValue) {
    return; // A wave that has begun continues without its record.
  }
  Reason reason;
  const auto wave = platform::DecodeWave(*aValue, reason);
  if (!wave) {
    ReportMalformedEntry(m_metrics, "waves_unreadable_total", "wave", aKey, reason.m_cause);
    return;
  }
  const auto [known, first] = m_waves.try_emplace(wave->m_number, *wave, MonotonicMs());
  known->second.first = *wave;
  if (m_owner) {
    m_owner->OnWave(*wave, known->second.second);
  }
}

void EntryInstance::BeginOwnership(FencingToken aToken, Millis aClaimedMs)
{
  m_owner = std::make_unique<FleetOwner>(OwnerState{
    m_loop, *m_client, m_settings, m_store, m_configuration, m_metrics,
    [this] { return m_elector.HoldsOwnershipLease(MonotonicMs()); },
    [this] { return m_elector.ConfirmedMs(); }, [this] { return m_elector.OwnershipLeaseEndMs(); },
    [this] { asio::post(m_loop, [this] { m_elector.HandOver(); }); },
    [this](std::string_view aReason) {
      // The owner must not be destroyed inside one of its own calls.
      asio::post(m_loop, [this, reason = std::string{ aReason }] { m_elector.StepDown(reason); });
    },
    aToken, aClaimedMs, m_process, m_elector.View().m_previousOwner, m_carrier.WasAccepted(),
    OrderRouter{ *m_client },
    platform::InstanceOrders{ *m_client, ToString(m_settings.m_instances), m_settings.m_id } });
  for (const auto& [number, seen] : m_waves) {
    m_owner->OnWave(seen.first, seen.second);
  }
  m_owner->Start();
}

void EntryInstance::EndOwnership()
{
  m_metrics.m_gauges.clear(); // They describe the owner's jobs.
  asio::post(m_loop, [owner = std::shared_ptr<FleetOwner>(std::move(m_owner))] {});
}

void EntryInstance::AskOwner(const std::string& aPath, HttpResponder aDone)
{
  if (m_owner) {
    HttpRequest request;
    if (ParseTarget(aPath, request)) {
      aDone(HandleEntryRequest(request));
      return;
    }
  }
  const auto& view = m_elector.View();
  if (view.m_address.empty()) {
    aDone({ 503, { { "retry-after", "1" } }, platform::EncodeError("the fleet has no owner now") });
    return;
  }
  ClientRequest call;
  call.m_url = "http://" + view.m_address + aPath;
  call.m_timeoutMs = kAskOwnerTimeoutMs;
  call.m_connectTimeoutMs = kAskOwnerConnectMs;
  m_client->Send(std::move(call), [done = std::move(aDone)](ClientResponse aResponse) {
    if (aResponse.m_failure) {
      done({ 503,
             { { "retry-after", "1" } },
             platform::EncodeError("the owner of the fleet does not answer") });
      return;
    }
    done({ aResponse.m_status,
           { { "content-type", "application/json" } },
           std::move(aResponse.m_body) });
  });
}

void EntryInstance::RelaySubmission(const std::string& aRecord, Millis aTimeoutMs,
                                    std::function<void(RelayOutcome)> aDone)
{
  const auto& view = m_elector.View();
  if (view.m_owner == m_process) {
    StoreRelayedRecord(aRecord, std::move(aDone));
    return;
  }
  if (view.m_address.empty()) {
    asio::post(m_loop, [done = std::move(aDone)] { done(RelayOutcome::NotSent); });
    return;
  }
  ClientRequest call;
  call.m_method = "POST";
  call.m_url = "http://" + view.m_address + std::string{ kRelayPath };
  call.m_body = aRecord;
  call.m_sendOnce = true;
  call.m_timeoutMs = aTimeoutMs;
  call.m_connectTimeoutMs = kAskOwnerConnectMs;
  m_client->Send(std::move(call), [done = std::move(aDone)](const ClientResponse& aResponse) {
    if (aResponse.m_failure) {
      done(*aResponse.m_failure == TransferFailure::NotSent ? RelayOutcome::NotSent
                                                            : RelayOutcome::Unknown);
    } else {
      const auto* known =
        std::ranges::find(kRelayStatuses, aResponse.m_status, &RelayStatus::second);
      done(known == kRelayStatuses.end() ? RelayOutcome::Unknown : known->first);
    }
  });
}

void EntryInstance::StoreRelayedRecord(std::string aRecord, std::function<void(RelayOutcome)> aDone)
{
  const Millis now = MonotonicMs();
  m_relayWriter.Append(std::move(aRecord),
                       { now + kRelayRefusalRetryMs, now + kRelayDeadlineMs, false },
                       [now, done = std::move(aDone)](platform::AppendOutcome aOutcome) {
                         if (aOutcome == platform::AppendOutcome::Stored) {
                           done(RelayOutcome::Stored);
                         } else if (aOutcome != platform::AppendOutcome::Refused) {
                           done(RelayOutcome::Unknown);
                         } else {
                           // Before the deadline the store has refused the record; at the deadline
                           // the time has run out.
                           done(MonotonicMs() < now + kRelayDeadlineMs ? RelayOutcome::Refused
                                                                       : RelayOutcome::NotSent);
                         }
                       });
}

void EntryInstance::StoreForOtherInstance(const HttpRequest& aRequest, HttpResponder aRespond)
{
  // The topic also holds what only the owner writes. A caller that reaches this address must not
  // fill it with records that no instance can read.
  const auto record = platform::DecodeKeyed(aRequest.m_body);
  if (!record ||
      !(record->first.starts_with(kSubmissionPrefix) || record->first.starts_with(kCancelPrefix))) {
    Count(m_metrics, "relayed_records_refused_total");
    aRespond({ 400, {}, {} });
    return;
  }
  Count(m_metrics, "submissions_stored_for_others_total");
  StoreRelayedRecord(aRequest.m_body, [respond = std::move(aRespond)](RelayOutcome aOutcome) {
    const auto* known = std::ranges::find(kRelayStatuses, aOutcome, &RelayStatus::first);
    respond({ known->second, {}, {} });
  });
}

HttpResponse EntryInstance::HandleEntryRequest(const HttpRequest& aRequest) const
{
  constexpr std::string_view kJobs = "/jobs/";
  constexpr std::string_view kQueues = "/queues/";
  const HttpHeaders json{ { "content-type", "application/json" } };
  const std::string_view path = aRequest.m_path;
  if (path == kConnectivityPath) {
    return { static_cast<std::uint16_t>(IsCutOffOwner() ? 503 : 200), {}, {} };
  }
  if (m_owner && path.starts_with(kJobs)) {
    const auto found =
      m_owner->Find(JobId{ path.substr(kJobs.size()) }, ScopeOfOwnerRequest(aRequest));
    if (found.m_state) {
      return { 200, json, platform::EncodeJobState(*found.m_state) };
    }
    if (found.m_current) {
      return { 410, json, platform::EncodeError("no such job") };
    }
  } else if (m_owner && path.starts_with(kQueues)) {
    const auto pending = m_owner->Pending(path.substr(kQueues.size()));
    if (pending) {
      return { 200, json, platform::EncodePendingCount(*pending) };
    }
  }
  return { 503, json, platform::EncodeError("this instance cannot tell now") };
}

bool EntryInstance::IsCutOffOwner() const
{
  return m_owner && m_owner->IsZoneIsolated() && IsStoreSilent(m_connectivity, MonotonicMs());
}

void EntryInstance::CheckConnectivity()
{
  const Millis now = MonotonicMs();
  const auto& view = m_elector.View();
  m_connectivity.m_storeMs = std::max(m_connectivity.m_storeMs, view.m_currentMs);
  if (m_elector.HoldsOwnershipLease(now)) {
    m_connectivity.m_ownerMs = now;
  } else if (IsCutOffOwner()) {
    m_connectivity.m_ownerMs = 0;
  }
  const bool isolated = IsIsolated(m_connectivity, now);
  if (std::exchange(m_wasIsolated, isolated) != isolated) {
    LogEvent("main", isolated ? "isolated" : "reached", "store_ms={} owner_ms={} owner={}",
             now - m_connectivity.m_storeMs, now - m_connectivity.m_ownerMs, view.m_address);
  }
  if (m_checkingConnectivity || view.m_address.empty() || view.m_owner == m_process ||
      now - m_connectivity.m_storeMs < kAskOwnerAfterMs) {
    return;
  }
  m_checkingConnectivity = true;
  ClientRequest call;
  call.m_url = "http://" + view.m_address + std::string{ kConnectivityPath };
  call.m_timeoutMs = kAskOwnerConnectMs;
  call.m_connectTimeoutMs = kAskOwnerConnectMs;
  m_client->Send(std::move(call), [this](const ClientResponse& aResponse) {
    m_checkingConnectivity = false;
    if (!aResponse.m_failure) {
      // An owner that is cut off with this zone can store nothing either.
      m_connectivity.m_ownerMs = aResponse.m_status == 200 ? MonotonicMs() : 0;
    }
  });
}

bool EntryInstance::IsReady() const
{
  const auto seen = m_elector.View().m_lastRecordMs;
  return !m_stopping &&
         !IsConfigurationStale(m_settings.m_access, m_operatorTail.CurrentAsOf(), MonotonicMs()) &&
         !IsIsolated(m_connectivity, MonotonicMs()) && m_configuration.m_revision != 0 && seen &&
         MonotonicMs() - *seen < kMaxReadAgeMs;
}

void EntryInstance::WaitForSignal()
{
  m_signals.async_wait([this](const std::error_code& aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGHUP) {
      Reload();
    } else if (!m_stopping) {
      Stop(aSignal == SIGTERM ? "SIGTERM" : "SIGINT");
    }
    WaitForSignal();
  });
}

void EntryInstance::Reload()
{
  const auto settings = LoadSettings(m_settingsPath);
  LogEvent("main", "reload", "accepted={} changed={}", settings.has_value(),
           settings && *settings != m_settings);
  if (settings) {
    m_settings.m_bounds = settings->m_bounds;
    m_settings.m_access = settings->m_access;
    m_settings.m_runningOverage = settings->m_runningOverage;
    m_settings.m_advice = settings->m_advice;
    m_settings.m_logLevel = settings->m_logLevel;
    spdlog::set_level(spdlog::level::from_str(m_settings.m_logLevel));
  }
}

void EntryInstance::Stop(std::string_view aReason)
{
  LogEvent("main", "stopping", "process={} reason={} in_flight={}", m_process, aReason,
           m_jobApi.InFlight());
  m_stopping = true;
  m_stopSinceMs = MonotonicMs();
  m_elector.Retire();
  m_carrier.Stop();
  ExitWhenIdle();
}

void EntryInstance::ExitWhenIdle()
{
  const Millis since = MonotonicMs() - m_stopSinceMs;
  const Millis grace = m_settings.m_bounds.m_graceMs;
  if (since >= grace - kCloseMarginMs) {
    m_jobApi.Close();
  }
  const bool idle = m_jobApi.InFlight() == 0 && since >= kLeaveRotationMs;
  if (idle || since >= grace - kStopMarginMs) {
    LogEvent("main", "stopped", "process={} after_ms={} in_flight={}", m_process, since,
             m_jobApi.InFlight());
    spdlog::default_logger()->flush();
    m_loop.stop();
    return;
  }
  m_stopTimer.expires_after(std::chrono::milliseconds{ kStopCheckMs });
  m_stopTimer.async_wait([this](const std::error_code& aError) {
    if (!aError) {
      ExitWhenIdle();
    }
  });
}

} // namespace pistachiostand::fleet
