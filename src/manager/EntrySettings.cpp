#include "EntrySettings.h"

#include "base/TomlReader.h"

#include <algorithm>
#include <cmath>

namespace pistachiostand::fleet {

namespace {

/// Each partition is read by separate calls, so more partitions only add calls.
constexpr std::uint32_t kMaxStorePartitions = 8;
/// An idle instance uses about 15 MB and 25 descriptors.
constexpr std::size_t kMinMemoryMb = 32;
constexpr std::size_t kMinDescriptors = 100;
constexpr double kMaxCount = 1e9;
constexpr double kMinSizeBytes = 1'024;
constexpr double kMaxSizeBytes = 1'073'741'824;

/// \brief Reads one table and adds a reason for every missing or invalid key.
class TableReader
{
public:
  TableReader(const toml::table& aFile, std::string aName, Reasons& aReasons)
    : m_name(std::move(aName))
    , m_table(aFile[m_name].as_table())
    , m_reasons(aReasons)
  {
  }

  [[nodiscard]] std::string Text(const char* aKey) const
  {
    const auto value = Node(aKey).value<std::string>();
    if (!value || value->empty()) {
      Fail(aKey, "set it to a text that is not empty");
    }
    return value.value_or("");
  }

  [[nodiscard]] Endpoint Address(const char* aKey) const
  {
    const auto address = ParseEndpoint(Text(aKey));
    if (!address) {
      Fail(aKey, "write an IP address with a port, such as 10.0.0.1:8080");
    }
    return address.value_or(Endpoint{});
  }

  [[nodiscard]] double Number(const char* aKey) const
  {
    const auto value = Node(aKey).value<double>();
    if (!value || *value < 0 || !std::isfinite(*value)) {
      Fail(aKey, "set it to a number that is not negative");
    }
    return value.value_or(0);
  }

  [[nodiscard]] bool Flag(const char* aKey) const
  {
    const auto value = Node(aKey).value<bool>();
    if (!value) {
      Fail(aKey, "set it to true or false");
    }
    return value.value_or(false);
  }

  /// \brief A number of bytes that has room for at least a key and a short value.
  [[nodiscard]] std::size_t Size(const char* aKey) const
  {
    const double size = Number(aKey);
    if (size < kMinSizeBytes || size > kMaxSizeBytes) {
      Fail(aKey, "set it to a number of bytes from 1024 to 1073741824");
      return static_cast<std::size_t>(kMinSizeBytes);
    }
    return static_cast<std::size_t>(size);
  }

  /// \brief A whole number that is at least `aLeast`.
  [[nodiscard]] std::size_t Count(const char* aKey, std::size_t aLeast) const
  {
    const double count = Number(aKey);
    if (count < static_cast<double>(aLeast) || count > kMaxCount) {
      Fail(aKey, "set it to a number from " + std::to_string(aLeast) + " to 1000000000");
      return aLeast;
    }
    return static_cast<std::size_t>(count);
  }

  [[nodiscard]] Millis Milliseconds(const char* aKey) const
  {
    return static_cast<Millis>(std::llround(Number(aKey)));
  }

  [[nodiscard]] Millis Seconds(const char* aKey) const
  {
    return static_cast<Millis>(std::llround(Number(aKey) * 1'000));
  }

private:
  [[nodiscard]] toml::node_view<const toml::node> Node(const char* aKey) const
  {
    return m_table == nullptr ? toml::node_view<const toml::node>{} : (*m_table)[aKey];
  }

  void Fail(const char* aKey, std::string aRemedy) const
  {
    m_reasons.push_back({ ReasonKind::MissingValue, m_name + "." + aKey + " is missing or invalid",
                          std::move(aRemedy),
                          m_table == nullptr ? SourcePosition{} : PositionOf(*m_table) });
  }

  std::string m_name;
  const toml::table* m_table;
  Reasons& m_reasons;
};

overload::MachineLimits ReadMachineLimits(const toml::table& aFile, Reasons& aReasons)
{
  const TableReader reader{ aFile, "limits", aReasons };
  const auto optional = [&](const char* aKey) {
    return aFile["limits"][aKey] ? reader.Count(aKey, 1) : std::size_t{ 0 };
  };
  overload::MachineLimits limits;
  limits.m_memoryMb = reader.Count("memory_mb", kMinMemoryMb);
  limits.m_maxDescriptors = reader.Count("max_fds", kMinDescriptors);
  limits.m_linkMbps = reader.Number("link_mbps");
  limits.m_requestMb = optional("request_mb");
  limits.m_callerConnections = optional("caller_connections");
  limits.m_maxChunks = optional("max_chunks");
  return limits;
}

PlatformBounds ReadBounds(const TableReader& aReader)
{
  PlatformBounds bounds;
  bounds.m_maxLeaseMs = aReader.Milliseconds("max_lease_ms");
  bounds.m_stopMs = aReader.Milliseconds("stop_ms");
  bounds.m_contactMs = aReader.Milliseconds("contact_ms");
  bounds.m_graceMs = aReader.Seconds("grace_s");
  bounds.m_exclusiveMs = aReader.Milliseconds("exclusive_ms");
  bounds.m_drainMs = aReader.Milliseconds("drain_ms");
  bounds.m_keepStateMs = aReader.Seconds("keep_state_s");
  bounds.m_earlyMs = aReader.Milliseconds("early_ms");
  bounds.m_remoteFactor = aReader.Number("remote_factor");
  bounds.m_noticeMs = aReader.Milliseconds("notice_ms");
  bounds.m_moveMs = aReader.Seconds("move_s");
  bounds.m_maintenanceMs = aReader.Seconds("maintenance_s");
  bounds.m_maxTargetMissMs = aReader.Milliseconds("harm_ms");
  bounds.m_throttleDelayMs = aReader.Milliseconds("pace_ms");
  return bounds;
}

} // namespace

std::optional<EntrySettings> ParseEntrySettings(std::string_view aText, Reasons& aReasons)
{
  const auto file = ParseToml(aText, aReasons);
  if (!file) {
    return std::nullopt;
  }
  const auto before = aReasons.size();
  EntrySettings settings;
  const TableReader entry{ *file, "entry", aReasons };
  settings.m_id = entry.Text("id");
  settings.m_zone = entry.Text("zone");
  settings.m_processorShare = entry.Number("processor_share");
  const TableReader listen{ *file, "listen", aReasons };
  settings.m_callerListen = listen.Address("callers");
  settings.m_readyListen = listen.Address("ready");
  settings.m_entryListen = listen.Address("entries");
  settings.m_metricsListen = listen.Address("metrics");
  const TableReader store{ *file, "store", aReasons };
  settings.m_store = store.Address("address");
  settings.m_storeWritesPerS = store.Number("writes_per_s");
  settings.m_storeReadsPerS = store.Number("reads_per_s");
  settings.m_storePartitions =
    std::clamp(static_cast<std::uint32_t>(store.Number("partitions")), 1U, kMaxStorePartitions);
  if ((*file)["store"]["record_bytes"]) {
    settings.m_storeRecordBytes = store.Size("record_bytes");
  }
  if ((*file)["store"]["call_bytes"]) {
    settings.m_storeCallBytes = store.Size("call_bytes");
  }
  const TableReader instances{ *file, "instances", aReasons };
  settings.m_instances = instances.Address("address");
  settings.m_instanceOrdersPerS = instances.Number("orders_per_s");
  settings.m_instanceListsPerS = instances.Number("lists_per_s");
  if (const auto advice = (*file)["advice"]["address"].value<std::string>();
      advice && !advice->empty()) {
    settings.m_advice = TableReader{ *file, "advice", aReasons }.Address("address");
  }
  if ((*file)["orders"]["direct_servers"]) {
    settings.m_maxDirectServers =
      static_cast<std::uint32_t>(TableReader{ *file, "orders", aReasons }.Number("direct_servers"));
  }
  if ((*file)["accounts"].is_table()) {
    const TableReader accounts{ *file, "accounts", aReasons };
    settings.m_access = { true, accounts.Flag("strict_revocation"),
                          accounts.Milliseconds("revoke_ms") };
    settings.m_runningOverage = accounts.Number("overage");
  }
  if ((*file)["scheduling"]["learn_run_times"]) {
    settings.m_learnRunTimes = TableReader{ *file, "scheduling", aReasons }.Flag("learn_run_times");
  }
  if ((*file)["limits"].is_table()) {
    settings.m_machine = ReadMachineLimits(*file, aReasons);
  }
  settings.m_bounds = ReadBounds(TableReader{ *file, "bounds", aReasons });
  settings.m_logLevel = (*file)["log"]["level"].value_or(settings.m_logLevel);
  if (aReasons.size() != before) {
    return std::nullopt;
  }
  return settings;
}

} // namespace pistachiostand::fleet
