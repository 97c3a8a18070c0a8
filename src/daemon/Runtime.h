#pragma once

#include "pistachiostand/connection/BackendClient.h"
#include "pistachiostand/connection/PlatformClient.h"
#include "pistachiostand/connection/Ticker.h"
#include "pistachiostand/process/Histograms.h"
#include "pistachiostand/process/LogReplica.h"
#include "pistachiostand/process/Membership.h"
#include "pistachiostand/process/ProposalQueue.h"
#include "pistachiostand/process/RunTimeEstimate.h"
#include "pistachiostand/process/Settings.h"

#include <asio.hpp>

#include <cstdint>
#include <optional>
#include <string>

/// \file
/// \brief State shared by the parts of the daemon for the lifetime of the process.

namespace pistachiostand {

/// \brief Counters for /metrics.
struct Counters
{
  std::uint64_t m_requests{};
  std::uint64_t m_completed{};
  std::uint64_t m_notRun{};
  std::uint64_t m_unknown{};
  std::uint64_t m_stopped{};
  std::uint64_t m_retries{};
  std::uint64_t m_refusedFull{};
  std::uint64_t m_resolvedClaims{};
};

struct Runtime
{
  asio::io_context& m_loop;
  const Settings& m_settings;
  /// Entry id with the incarnation, a number that is new at each start; names this process in its
  /// records.
  EntryId m_process;
  LogReplica& m_replica;
  ProposalQueue& m_proposals;
  Membership& m_membership;
  PlatformClient& m_platform;
  BackendClient& m_backend;
  Histograms& m_histograms;
  RunTimeEstimate& m_estimate;
  Counters& m_counters;
  std::optional<Millis> m_confirmedMs; ///< When this process last read the log's end.
  bool m_draining{};
  std::uint64_t m_lastRun{};

  /// \brief Id of one dispatch, unique among all processes.
  [[nodiscard]] std::string NextRunId() { return m_process + '-' + std::to_string(++m_lastRun); }

  [[nodiscard]] const FleetState& State() const noexcept { return m_replica.State(); }
  [[nodiscard]] const Rules& CurrentRules() const noexcept { return *State().m_rules; }
};

/// \brief How current this process's view of the log is.
enum class ViewState : std::uint8_t
{
  Confirmed, ///< This process or a live peer has read the log's end recently.
  PeersOnly, ///< Only peers are reachable: probably the zone is partitioned.
  Isolated,  ///< Neither platform nor peer is reachable: probably only this process is partitioned.
};

[[nodiscard]] ViewState CurrentView(const Runtime& aRuntime, Millis aNowMs);

/// \brief True while this process itself reads the log's end.
///
/// A process that receives the log only from its peers cannot append, so it cannot claim jobs.
[[nodiscard]] bool ReadsPlatform(const Runtime& aRuntime, Millis aNowMs);

} // namespace pistachiostand
