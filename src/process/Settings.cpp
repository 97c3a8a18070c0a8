#include "pistachiostand/process/Settings.h"

#include "base/TomlReader.h"

#include <functional>
#include <map>

namespace pistachiostand {

namespace {

constexpr std::int64_t kMinHeartbeatMs = 50;
constexpr std::int64_t kMaxHeartbeatMs = 60'000;
constexpr std::int64_t kMinTimeoutMs = 100;
constexpr std::int64_t kMaxTimeoutMs = 600'000;
// Upper bounds of the age of a claim and of an unconfirmed view. A setting may only lower them,
// because other processes rely on them.
constexpr std::int64_t kMaxClaimWindowMs = 5'000;
constexpr std::int64_t kMaxViewConfirmMs = 15'000;
constexpr std::int64_t kMaxWaitMs = 86'400'000;
constexpr std::int64_t kMaxConnections = 65'535;
constexpr std::int64_t kMaxTenants = 10'000;
constexpr std::int64_t kMinSnapshotEvery = 10;

const std::vector<std::string_view> kLogLevels{ "debug", "info", "warn", "error" };
constexpr std::size_t kInfoLevel = 1;

/// \brief Top-level names of a settings file, and whether each is required.
const std::map<std::string_view, bool> kTables{
  { "entry", true }, { "listen", true },  { "platform", true },
  { "peer", false }, { "limits", false }, { "log", false },
};

void CheckTables(const toml::table& aFile, Reasons& aReasons)
{
  std::vector<std::string_view> names;
  std::ranges::transform(kTables, std::back_inserter(names),
                         [](const auto& aEach) { return aEach.first; });
  for (const auto& [key, node] : aFile) {
    if (!kTables.contains(key.str())) {
      aReasons.push_back(
        { ReasonKind::UnknownKey, "there is no table \"" + std::string{ key.str() } + '"',
          NearestRemedy(key.str(), names, "use entry, listen, platform, peer, limits or log"),
          PositionOf(node) });
    }
  }
  for (const auto& [name, required] : kTables) {
    if (required && !aFile.contains(name)) {
      aReasons.push_back({ ReasonKind::MissingValue,
                           "the file needs the table [" + std::string{ name } + ']',
                           "add [" + std::string{ name } + ']', PositionOf(aFile) });
    }
  }
}

/// \brief Calls `aRead` with a reader of the table, when the file has it.
void ReadTable(const toml::table& aFile, const std::string& aName, Reasons& aReasons,
               const std::function<void(TomlReader&)>& aRead)
{
  const auto* node = aFile.get(aName);
  if (node == nullptr) {
    return;
  }
  if (const auto* table = node->as_table()) {
    TomlReader reader{ aName, *table, aReasons };
    aRead(reader);
    reader.Finish();
  } else {
    aReasons.push_back({ ReasonKind::Syntax, aName + " is not a table",
                         "write its keys below [" + aName + ']', PositionOf(*node) });
  }
}

void ReadIntervals(LimitSettings& aLimits, TomlReader& aReader)
{
  const auto read = [&aReader](std::string_view aKey, Millis& aValue, std::int64_t aMin,
                               std::int64_t aMax) {
    aValue = aReader.Count(aKey, aValue, aMin, aMax);
  };
  read("heartbeat_ms", aLimits.m_heartbeatMs, kMinHeartbeatMs, kMaxHeartbeatMs);
  read("peer_timeout_ms", aLimits.m_peerTimeoutMs, kMinTimeoutMs, kMaxTimeoutMs);
  read("view_confirm_ms", aLimits.m_viewConfirmMs, kMinTimeoutMs, kMaxViewConfirmMs);
  read("claim_window_ms", aLimits.m_claimWindowMs, kMinTimeoutMs, kMaxClaimWindowMs);
  read("list_poll_ms", aLimits.m_listPollMs, kMinHeartbeatMs, kMaxTimeoutMs);
  read("tail_wait_ms", aLimits.m_tailWaitMs, 0, kMaxTimeoutMs);
  read("platform_timeout_ms", aLimits.m_platformTimeoutMs, kMinTimeoutMs, kMaxTimeoutMs);
  read("shutdown_grace_ms", aLimits.m_shutdownGraceMs, 0, kMaxWaitMs);
  read("drain_wait_ms", aLimits.m_drainWaitMs, 0, kMaxWaitMs);
}

void ReadLimits(LimitSettings& aLimits, TomlReader& aReader)
{
  ReadIntervals(aLimits, aReader);
  aLimits.m_maxConnections =
    aReader.Count("max_connections", aLimits.m_maxConnections, 1, kMaxConnections);
  aLimits.m_maxTenants = aReader.Count("max_tenants", aLimits.m_maxTenants, 1, kMaxTenants);
  aLimits.m_snapshotEvery =
    aReader.Count("snapshot_every", aLimits.m_snapshotEvery, kMinSnapshotEvery);
}

void ReadPeers(Settings& aSettings, const toml::table& aFile, Reasons& aReasons)
{
  const auto* node = aFile.get("peer");
  if (node == nullptr) {
    return;
  }
  const auto* array = node->as_array();
  if (array == nullptr) {
    aReasons.push_back({ ReasonKind::Syntax, "peer is not a list of tables",
                         "start every peer with [[peer]]", PositionOf(*node) });
    return;
  }
  for (const auto& each : *array) {
    const auto* table = each.as_table();
    if (table == nullptr) {
      aReasons.push_back({ ReasonKind::Syntax, "a peer is not a table",
                           "start every peer with [[peer]]", PositionOf(each) });
      continue;
    }
    TomlReader reader{ "peer", *table, aReasons };
    PeerSettings peer;
    peer.m_id = reader.Text("id");
    peer.m_zone = reader.Text("zone");
    peer.m_address = reader.Address("address");
    reader.Finish();
    aSettings.m_peers.push_back(std::move(peer));
  }
}

/// \brief Position of a key, or of its table when the key is absent.
SourcePosition PositionOfKey(const toml::table& aTable, std::string_view aKey)
{
  const auto* node = aTable.get(aKey);
  return node == nullptr ? PositionOf(aTable) : PositionOf(*node);
}

/// \brief Refuses duplicate ids and addresses, with which a peer would be counted twice.
void CheckPeers(const Settings& aSettings, const toml::table& aFile, Reasons& aReasons)
{
  std::vector<EntryId> ids{ aSettings.m_id };
  std::vector<Endpoint> addresses{ aSettings.m_peerListen };
  const auto refuse = [&](std::size_t aIndex, std::string_view aKey, const std::string& aValue) {
    const auto& table = *aFile["peer"][aIndex].as_table();
    aReasons.push_back({ ReasonKind::Inconsistent,
                         "the " + std::string{ aKey } + " \"" + aValue + "\" occurs twice",
                         "give every entry instance its own " + std::string{ aKey } +
                           "; do not list this entry instance as a peer",
                         PositionOfKey(table, aKey) });
  };
  for (std::size_t i = 0; i < aSettings.m_peers.size(); ++i) {
    const auto& peer = aSettings.m_peers[i];
    if (std::ranges::find(ids, peer.m_id) != ids.end()) {
      refuse(i, "id", peer.m_id);
    }
    if (std::ranges::find(addresses, peer.m_address) != addresses.end()) {
      refuse(i, "address", ToString(peer.m_address));
    }
    ids.push_back(peer.m_id);
    addresses.push_back(peer.m_address);
  }
}

void CheckIntervals(const Settings& aSettings, const toml::table& aFile, Reasons& aReasons)
{
  const auto& limits = aSettings.m_limits;
  const auto refuse = [&](std::string_view aKey, std::string aCause, std::string aRemedy) {
    const auto* table = aFile["limits"].as_table();
    aReasons.push_back({ ReasonKind::Inconsistent, std::move(aCause), std::move(aRemedy),
                         table == nullptr ? SourcePosition{} : PositionOfKey(*table, aKey) });
  };
  // A peer must not count as lost after one lost heartbeat.
  if (limits.m_peerTimeoutMs < 2 * limits.m_heartbeatMs) {
    refuse("peer_timeout_ms", "peer_timeout_ms is less than twice heartbeat_ms",
           "raise peer_timeout_ms or lower heartbeat_ms");
  }
  // A read that waits at the end of the log would otherwise time out on an idle log.
  if (limits.m_platformTimeoutMs <= limits.m_tailWaitMs) {
    refuse("platform_timeout_ms", "platform_timeout_ms is not larger than tail_wait_ms",
           "raise platform_timeout_ms or lower tail_wait_ms");
  }
  if (aSettings.m_callerListen == aSettings.m_peerListen) {
    aReasons.push_back({ ReasonKind::Inconsistent, "listen.callers and listen.peers are equal",
                         "use a port of its own for each",
                         PositionOfKey(*aFile["listen"].as_table(), "peers") });
  }
}

} // namespace

std::optional<Settings> ParseSettings(std::string_view aText, Reasons& aReasons)
{
  const auto file = ParseToml(aText, aReasons);
  if (!file) {
    return std::nullopt;
  }
  Settings settings;
  Reasons found;
  CheckTables(*file, found);
  ReadTable(*file, "entry", found, [&settings](TomlReader& aReader) {
    settings.m_id = aReader.Text("id");
    settings.m_zone = aReader.Text("zone");
  });
  ReadTable(*file, "listen", found, [&settings](TomlReader& aReader) {
    settings.m_callerListen = aReader.Address("callers");
    settings.m_peerListen = aReader.Address("peers");
  });
  ReadTable(*file, "platform", found,
            [&settings](TomlReader& aReader) { settings.m_platform = aReader.Address("address"); });
  ReadTable(*file, "limits", found,
            [&settings](TomlReader& aReader) { ReadLimits(settings.m_limits, aReader); });
  ReadTable(*file, "log", found, [&settings](TomlReader& aReader) {
    settings.m_logLevel = kLogLevels.at(aReader.OneOf("level", kInfoLevel, kLogLevels));
  });
  ReadPeers(settings, *file, found);
  if (found.empty()) {
    CheckPeers(settings, *file, found);
    CheckIntervals(settings, *file, found);
  }
  if (found.empty()) {
    return settings;
  }
  std::ranges::stable_sort(found, {}, &Reason::m_position);
  std::ranges::move(found, std::back_inserter(aReasons));
  return std::nullopt;
}

} // namespace pistachiostand
