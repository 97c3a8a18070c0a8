#pragma once

#include "Elector.h"
#include "EntrySettings.h"
#include "FleetOwner.h"
#include "JobApi.h"
#include "Metrics.h"
#include "OrderCarrier.h"
#include "TopicTail.h"

#include "pistachiostand/connection/HttpClient.h"
#include "pistachiostand/connection/HttpServer.h"
#include "pistachiostand/connection/LoadGuard.h"
#include "pistachiostand/connection/Ticker.h"
#include "pistachiostand/ownership/Isolation.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

/// \file
/// \brief One entry instance: the parts that live as long as the process.

namespace pistachiostand::fleet {

class EntryInstance
{
public:
  /// \brief Listens and starts reading the store; null when an address cannot be bound.
  [[nodiscard]] static std::unique_ptr<EntryInstance> Create(asio::io_context& aLoop,
                                                             EntrySettings aSettings,
                                                             std::string aSettingsPath,
                                                             Reason& aReason);

  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;
  ~EntryInstance();

  /// \brief Serves until a signal stops it. An uncaught exception is logged; an owner then steps
  /// down, because its state may be only partly changed.
  void Run();

private:
  EntryInstance(asio::io_context& aLoop, EntrySettings aSettings, std::string aSettingsPath);

  bool Listen(Reason& aReason);
  /// \brief Closes connections whose time is over, and logs what was refused.
  void CheckLoad();
  /// \brief Copies the state of the load guard to the metrics.
  void UpdateLoadMetrics();
  void OnConfigurationRecord(const std::string& aKey, const std::optional<std::string>& aValue);
  void OnWaveRecord(const std::string& aKey, const std::optional<std::string>& aValue);
  void BeginOwnership(FencingToken aToken, Millis aClaimedMs);
  void EndOwnership();
  void AskOwner(const std::string& aPath, HttpResponder aDone);
  void RelaySubmission(const std::string& aRecord, Millis aTimeoutMs,
                       std::function<void(RelayOutcome)> aDone);
  void StoreForOtherInstance(const HttpRequest& aRequest, HttpResponder aRespond);
  void StoreRelayedRecord(std::string aRecord, std::function<void(RelayOutcome)> aDone);
  [[nodiscard]] HttpResponse HandleEntryRequest(const HttpRequest& aRequest) const;
  void CheckConnectivity();
  /// \brief True when this instance owns the fleet and is cut off with its zone.
  [[nodiscard]] bool IsCutOffOwner() const;
  [[nodiscard]] bool IsReady() const;
  void WaitForSignal();
  void Reload();
  void Stop(std::string_view aReason);
  void ExitWhenIdle();

  asio::io_context& m_loop;
  EntrySettings m_settings;
  std::string m_settingsPath;
  std::string m_process; ///< Id and incarnation.
  Metrics m_metrics;
  std::unique_ptr<HttpClient> m_client;
  platform::Store m_store;
  Configuration m_configuration; ///< Revision 0: none has been read yet.
  std::map<std::uint64_t, std::pair<MaintenanceWave, Millis>>
    m_waves; ///< With the time of the first read.
  TopicTail m_operatorTail;
  Elector m_elector;
  std::unique_ptr<FleetOwner> m_owner;
  SubmissionWriter m_writer;
  SubmissionWriter
    m_relayWriter; ///< Used by the owner for records that other instances relay to it.
  JobApi m_jobApi;
  OrderCarrier m_carrier;
  std::shared_ptr<LoadGuard> m_loadGuard; ///< Null without the table `[limits]`.
  std::array<std::uint64_t, overload::kCauseCount> m_loggedRefusals{};
  std::unique_ptr<HttpServer> m_callerServer;
  std::unique_ptr<HttpServer> m_readyServer;
  std::unique_ptr<HttpServer> m_entryServer;
  std::unique_ptr<HttpServer> m_metricsServer;
  asio::signal_set m_signals;
  asio::steady_timer m_stopTimer;
  Ticker m_flushTicker;
  Ticker m_connectivityTicker;
  Ticker m_loadTicker;
  ConnectivityView m_connectivity;
  bool m_checkingConnectivity{};
  bool m_wasIsolated{};
  bool m_stopping{};
  Millis m_stopSinceMs{};
};

} // namespace pistachiostand::fleet
