#include "pistachiostand/fleet/ConfigurationCheck.h"

#include "pistachiostand/base/Bounds.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace pistachiostand::fleet {

namespace {

/// Default of the setting `store.record_bytes`.
constexpr std::size_t kLargestRecordBytes = 262'144;
constexpr std::int64_t kCoreCpuMillis = 1'000;
constexpr std::string_view kRedacted = "(a key)";

std::string Quoted(std::string_view aText)
{
  return fmt::format("\"{}\"", Printable(aText));
}

template<typename T>
ConfigurationPlace PlaceOf(ConfigurationPart aPart, const ConfigurationRow<T>& aRow)
{
  return { aPart, aRow.m_row, aRow.m_value.m_name };
}

void Add(Findings& aFindings, FindingKind aKind, ConfigurationPlace aPlace, std::string aCause,
         std::string aRemedy = {})
{
  aFindings.push_back({ aKind, std::move(aPlace), std::move(aCause), std::move(aRemedy) });
}

bool IsUnreadable(const ConfigurationRecord& aRecord, ConfigurationPart aPart,
                  std::string_view aName)
{
  return std::ranges::any_of(aRecord.m_unreadable, [&](const UnreadablePart& aOne) {
    return aOne.m_place.m_part == aPart && aOne.m_place.m_name == aName;
  });
}

/// \brief Returns the first row of this name, or null.
template<typename T>
const ConfigurationRow<T>* FindRow(const std::vector<ConfigurationRow<T>>& aRows,
                                   std::string_view aName)
{
  const auto found = std::ranges::find(
    aRows, aName, [](const auto& aRow) -> std::string_view { return aRow.m_value.m_name; });
  return found == aRows.end() ? nullptr : &*found;
}

/// \brief True for characters of a host name in lower case. The host of a request is cut at its
/// first colon before it is compared.
bool IsHostCharacter(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9') || aChar == '-' ||
         aChar == '_' || aChar == '.';
}

bool IsPathCharacter(char aChar)
{
  return aChar > ' ' && aChar < '\x7f' && aChar != '?' && aChar != '#';
}

template<typename T>
void CheckNames(Findings& aFindings, ConfigurationPart aPart,
                const std::vector<ConfigurationRow<T>>& aRows)
{
  for (const auto& row : aRows) {
    const auto* first = FindRow(aRows, row.m_value.m_name);
    if (first != &row) {
      Add(aFindings, FindingKind::Error, PlaceOf(aPart, row),
          fmt::format("row {} has the same name", first->m_row), "give each row its own name");
    }
  }
}

void CheckRouteMatch(Findings& aFindings, const ConfigurationRow<QueueRule>& aRow)
{
  const auto& route = aRow.m_value;
  const auto place = PlaceOf(ConfigurationPart::Routes, aRow);
  if (!std::ranges::all_of(route.m_host, IsHostCharacter)) {
    Add(aFindings, FindingKind::Warning, place,
        fmt::format("the host {} matches no usual request; hosts are compared byte for byte, "
                    "without the port",
                    Quoted(route.m_host)),
        "write a host name in lower case without scheme, port, path or wildcard");
  }
  if (!route.m_pathPrefix.starts_with('/') ||
      !std::ranges::all_of(route.m_pathPrefix, IsPathCharacter)) {
    Add(aFindings, FindingKind::Warning, place,
        fmt::format("the path prefix {} is not an absolute path, so that no request matches",
                    Quoted(route.m_pathPrefix)),
        "write a path that begins with \"/\" and has no query and no spaces");
  }
}

void CheckRoutes(Findings& aFindings, const ConfigurationRecord& aRecord)
{
  CheckNames(aFindings, ConfigurationPart::Routes, aRecord.m_routes);
  // Entry instances whose settings need no key serve a record without accounts, unless it has
  // public routes, which shows that the other ones are meant to need a key.
  const bool lacksAccounts =
    aRecord.m_accounts.empty() &&
    (aRecord.m_requiresKeys ||
     std::ranges::any_of(aRecord.m_routes, [](const auto& aRow) { return aRow.m_value.m_public; }));
  using Address = std::pair<std::string_view, std::string_view>;
  std::map<Address, std::size_t> rowByAddress;
  for (const auto& row : aRecord.m_routes) {
    const auto& route = row.m_value;
    const auto place = PlaceOf(ConfigurationPart::Routes, row);
    const auto [first, added] =
      rowByAddress.emplace(Address{ route.m_host, route.m_pathPrefix }, row.m_row);
    if (!added) {
      Add(aFindings, FindingKind::Error, place,
          fmt::format("row {} has the same host and path prefix, so that this one never matches",
                      first->second),
          "change the path prefix or remove one of them");
    }
    CheckRouteMatch(aFindings, row);
    if (FindRow(aRecord.m_pools, route.m_pool) == nullptr &&
        !IsUnreadable(aRecord, ConfigurationPart::Pools, route.m_pool)) {
      Add(aFindings, FindingKind::Error, place,
          fmt::format("the pool {} does not exist", Quoted(route.m_pool)),
          "add the pool or name another one");
    }
    if (route.m_maxFailures == 0) {
      Add(aFindings, FindingKind::Warning, place, "0 attempts; entry instances make one",
          "write 1 or more");
    }
    if (route.m_stretch < 1) {
      Add(aFindings, FindingKind::Warning, place,
          fmt::format("the stretch {} is below 1, so that jobs are due before they can end",
                      route.m_stretch),
          "write 1 or more");
    }
    if (lacksAccounts && !route.m_public) {
      Add(aFindings, FindingKind::Warning, place,
          "the route is not public, and there is no account whose key it accepts",
          "add an account or make the route public");
    }
  }
}

void CheckPools(Findings& aFindings, const ConfigurationRecord& aRecord)
{
  CheckNames(aFindings, ConfigurationPart::Pools, aRecord.m_pools);
  const bool hasUnreadableRoutes = std::ranges::any_of(aRecord.m_unreadable, [](const auto& aOne) {
    return aOne.m_place.m_part == ConfigurationPart::Routes;
  });
  const ConfigurationRow<PoolSettings>* spare = nullptr;
  for (const auto& row : aRecord.m_pools) {
    const auto place = PlaceOf(ConfigurationPart::Pools, row);
    const bool isUsed = std::ranges::any_of(aRecord.m_routes, [&row](const auto& aRoute) {
      return aRoute.m_value.m_pool == row.m_value.m_name;
    });
    if (!isUsed && !row.m_value.m_spare && !hasUnreadableRoutes) {
      Add(aFindings, FindingKind::Warning, place, "no route uses this pool, and it is not spare",
          "add a route, mark the pool as spare, or remove it");
    }
    if (row.m_value.m_spare && spare != nullptr) {
      Add(aFindings, FindingKind::Warning, place,
          fmt::format("row {} is a spare pool too", spare->m_row), "mark one pool as spare");
    }
    spare = row.m_value.m_spare && spare == nullptr ? &row : spare;
  }
  const bool hasUnreadablePools = std::ranges::any_of(aRecord.m_unreadable, [](const auto& aOne) {
    return aOne.m_place.m_part == ConfigurationPart::Pools;
  });
  if (spare == nullptr && !hasUnreadablePools) {
    Add(aFindings, FindingKind::Warning, { ConfigurationPart::Pools, {}, {} },
        "no pool is spare, so that unused instances cannot be switched off",
        "mark one pool as spare");
  }
}

void CheckKeys(Findings& aFindings, const ConfigurationRow<Account>& aRow,
               std::map<std::string_view, const ConfigurationRow<Account>*>& aFirstByKey)
{
  const auto place = PlaceOf(ConfigurationPart::Accounts, aRow);
  const auto& keys = aRow.m_value.m_keys;
  const std::set<std::string_view> distinct{ keys.begin(), keys.end() };
  if (std::ranges::all_of(keys, &std::string::empty)) {
    Add(aFindings, FindingKind::Error, place, "the account has no key", "add a key or remove it");
  } else if (distinct.contains("")) {
    Add(aFindings, FindingKind::Warning, place, "an empty key, which matches no request",
        "remove the empty key");
  }
  if (distinct.size() != keys.size()) {
    Add(aFindings, FindingKind::Warning, place, "a key is listed twice", "list each key once");
  }
  std::set<std::size_t> others;
  for (const auto& key : distinct) {
    const auto* first = aFirstByKey.emplace(key, &aRow).first->second;
    if (!key.empty() && first->m_value.m_name != aRow.m_value.m_name) {
      others.insert(first->m_row);
    }
  }
  for (const auto other : others) {
    Add(aFindings, FindingKind::Error, place,
        fmt::format("a key belongs to the account in row {} too, which keeps it", other),
        "give each account its own keys");
  }
}

void CheckAccounts(Findings& aFindings, const ConfigurationRecord& aRecord)
{
  CheckNames(aFindings, ConfigurationPart::Accounts, aRecord.m_accounts);
  std::map<std::string_view, const ConfigurationRow<Account>*> firstByKey;
  for (const auto& row : aRecord.m_accounts) {
    const auto place = PlaceOf(ConfigurationPart::Accounts, row);
    CheckKeys(aFindings, row, firstByKey);
    if (row.m_value.m_weight == 0) {
      Add(aFindings, FindingKind::Warning, place,
          "the weight 0 guarantees nothing, so that jobs run on unused capacity only",
          "write the jobs per second that the account needs");
    }
    const auto cpu = row.m_value.m_maxRunning.m_cpuMillis;
    if (cpu > 0 && cpu < kCoreCpuMillis) {
      Add(aFindings, FindingKind::Warning, place,
          fmt::format("the processor limit {} is less than one core, which is {}", cpu,
                      kCoreCpuMillis),
          "write the limit in thousandths of a core, or 0 for no limit");
    }
  }
}

void CheckLimits(Findings& aFindings, const DeclaredLimits& aLimits)
{
  if (aLimits.m_maxBodyBytes == 0) {
    Add(aFindings, FindingKind::Warning, { ConfigurationPart::MaxBodyBytes, {}, {} },
        "the limit 0 refuses every job", "write the size of the largest job");
  } else if (aLimits.m_maxBodyBytes > kLargestRecordBytes) {
    Add(aFindings, FindingKind::Warning, { ConfigurationPart::MaxBodyBytes, {}, {} },
        fmt::format("the limit {} is above the largest record of the store, {}",
                    aLimits.m_maxBodyBytes, kLargestRecordBytes),
        fmt::format("write at most {}", kLargestRecordBytes));
  }
  if (aLimits.m_headerTimeoutMs > aLimits.m_idleTimeoutMs) {
    Add(aFindings, FindingKind::Warning, { ConfigurationPart::HeaderTimeout, {}, {} },
        fmt::format("the header timeout {} ms is above the idle timeout {} ms",
                    aLimits.m_headerTimeoutMs, aLimits.m_idleTimeoutMs),
        "make the header timeout the shorter one");
  }
}

/// \brief Collects the fields of a row that differ.
class Changes
{
public:
  template<typename T>
  Changes& Field(std::string_view aName, const T& aBefore, const T& aAfter)
  {
    if (aBefore != aAfter) {
      Append(fmt::format("{} {} -> {}", aName, Text(aBefore), Text(aAfter)));
    }
    return *this;
  }

  void Append(std::string_view aChange)
  {
    m_text += m_text.empty() ? "" : ", ";
    m_text += aChange;
  }

  [[nodiscard]] const std::string& AsText() const { return m_text; }

private:
  static std::string Text(const std::string& aValue) { return Quoted(aValue); }
  static std::string Text(const std::optional<AdviceCosts>& aValue)
  {
    return aValue ? fmt::format("{}/{}/{} ms", aValue->m_decisionMs, aValue->m_perServerMs,
                                aValue->m_validMs)
                  : "none";
  }
  template<typename T>
  static std::string Text(const T& aValue)
  {
    return fmt::format("{}", aValue);
  }

  std::string m_text;
};

std::string Compare(const QueueRule& aBefore, const QueueRule& aAfter)
{
  return Changes{}
    .Field("host", aBefore.m_host, aAfter.m_host)
    .Field("path prefix", aBefore.m_pathPrefix, aAfter.m_pathPrefix)
    .Field("pool", aBefore.m_pool, aAfter.m_pool)
    .Field("priority", aBefore.m_priority, aAfter.m_priority)
    .Field("attempts", aBefore.m_maxFailures, aAfter.m_maxFailures)
    .Field("stretch", aBefore.m_stretch, aAfter.m_stretch)
    .Field("target latency in ms", aBefore.m_objectiveBaseMs, aAfter.m_objectiveBaseMs)
    .Field("public", aBefore.m_public, aAfter.m_public)
    .Field("advice", aBefore.m_advice, aAfter.m_advice)
    .AsText();
}

std::string Compare(const PoolSettings& aBefore, const PoolSettings& aAfter)
{
  return Changes{}
    .Field("admission check", aBefore.m_checksAdmission, aAfter.m_checksAdmission)
    .Field("spare", aBefore.m_spare, aAfter.m_spare)
    .AsText();
}

std::string Compare(const Account& aBefore, const Account& aAfter)
{
  Changes changes;
  changes.Field("weight", aBefore.m_weight, aAfter.m_weight)
    .Field("processor limit", aBefore.m_maxRunning.m_cpuMillis, aAfter.m_maxRunning.m_cpuMillis)
    .Field("memory limit", aBefore.m_maxRunning.m_memoryMb, aAfter.m_maxRunning.m_memoryMb)
    .Field("GPU limit", aBefore.m_maxRunning.m_gpus, aAfter.m_maxRunning.m_gpus);
  const std::set<std::string_view> before{ aBefore.m_keys.begin(), aBefore.m_keys.end() };
  const std::set<std::string_view> after{ aAfter.m_keys.begin(), aAfter.m_keys.end() };
  if (before != after) {
    const auto kept = std::ranges::count_if(
      before, [&after](std::string_view aKey) { return after.contains(aKey); });
    changes.Append(fmt::format("keys: {} removed, {} added",
                               before.size() - static_cast<std::size_t>(kept),
                               after.size() - static_cast<std::size_t>(kept)));
  }
  return changes.AsText();
}

template<typename T>
void CompareRows(Findings& aFindings, ConfigurationPart aPart,
                 const std::vector<ConfigurationRow<T>>& aBefore,
                 const std::vector<ConfigurationRow<T>>& aAfter, const ConfigurationRecord& aRecord)
{
  for (const auto& row : aAfter) {
    const auto* before = FindRow(aBefore, row.m_value.m_name);
    const auto change = before == nullptr ? "added" : Compare(before->m_value, row.m_value);
    if (!change.empty()) {
      Add(aFindings, FindingKind::Difference, PlaceOf(aPart, row), change);
    }
  }
  for (const auto& row : aBefore) {
    const auto& name = row.m_value.m_name;
    if (FindRow(aAfter, name) == nullptr && !IsUnreadable(aRecord, aPart, name)) {
      Add(aFindings, FindingKind::Difference, { aPart, {}, name }, "removed");
    }
  }
}

void CompareLimits(Findings& aFindings, const DeclaredLimits& aBefore, const DeclaredLimits& aAfter)
{
  const auto compare = [&aFindings](ConfigurationPart aPart, auto aOld, auto aNew) {
    if (aOld != aNew) {
      Add(aFindings, FindingKind::Difference, { aPart, {}, {} },
          fmt::format("{} -> {}", aOld, aNew));
    }
  };
  compare(ConfigurationPart::MaxHeaderBytes, aBefore.m_maxHeaderBytes, aAfter.m_maxHeaderBytes);
  compare(ConfigurationPart::MaxBodyBytes, aBefore.m_maxBodyBytes, aAfter.m_maxBodyBytes);
  compare(ConfigurationPart::HeaderTimeout, aBefore.m_headerTimeoutMs, aAfter.m_headerTimeoutMs);
  compare(ConfigurationPart::IdleTimeout, aBefore.m_idleTimeoutMs, aAfter.m_idleTimeoutMs);
}

void ReplaceAll(std::string& aText, std::string_view aOld, std::string_view aNew)
{
  for (auto at = aText.find(aOld); at != std::string::npos; at = aText.find(aOld, at)) {
    aText.replace(at, aOld.size(), aNew);
    at += aNew.size();
  }
}

/// \brief Redacts names that are also keys, for example when a key was written into a wrong field.
void RedactKeys(Findings& aFindings, const ConfigurationRecord& aRecord)
{
  for (const auto& account : aRecord.m_accounts) {
    for (const auto& key : account.m_value.m_keys) {
      for (auto& finding : aFindings) {
        if (!key.empty() && finding.m_place.m_name == key) {
          finding.m_place.m_name = kRedacted;
        }
        ReplaceAll(finding.m_cause, Quoted(key), kRedacted);
      }
    }
  }
}

} // namespace

Findings CheckConfiguration(const ConfigurationRecord& aRecord)
{
  Findings findings;
  std::ranges::transform(aRecord.m_unreadable, std::back_inserter(findings),
                         [](const UnreadablePart& aOne) {
                           return Finding{ FindingKind::Error, aOne.m_place, aOne.m_cause,
                                           "correct it; entry instances keep the earlier "
                                           "definition, or have none" };
                         });
  if (aRecord.m_revision == 0) {
    Add(findings, FindingKind::Error, { ConfigurationPart::Revision, {}, {} },
        "revision 0 never comes into force", "write 1 or more");
  }
  CheckRoutes(findings, aRecord);
  CheckPools(findings, aRecord);
  CheckAccounts(findings, aRecord);
  CheckLimits(findings, aRecord.m_limits);
  RedactKeys(findings, aRecord);
  return findings;
}

Findings CompareConfigurations(const ConfigurationRecord& aBefore,
                               const ConfigurationRecord& aAfter)
{
  Findings findings;
  if (aAfter.m_revision <= aBefore.m_revision) {
    Add(findings, FindingKind::Error, { ConfigurationPart::Revision, {}, {} },
        fmt::format("revision {} does not follow revision {}, so that entry instances ignore it",
                    aAfter.m_revision, aBefore.m_revision),
        fmt::format("write {} or more", aBefore.m_revision + 1));
  }
  if (!aBefore.m_unreadable.empty()) {
    Add(findings, FindingKind::Warning, { ConfigurationPart::Record, {}, {} },
        fmt::format("unreadable parts of the earlier record, which are not compared: {}",
                    aBefore.m_unreadable.size()),
        "check the earlier record on its own");
  }
  if (aBefore.m_requiresKeys && !aAfter.m_requiresKeys) {
    Add(findings, FindingKind::Warning, { ConfigurationPart::Accounts, {}, {} },
        "the list of accounts is absent; entry instances still need a key and accept none",
        "keep the list of accounts, or make all routes public");
  }
  CompareRows(findings, ConfigurationPart::Routes, aBefore.m_routes, aAfter.m_routes, aAfter);
  CompareRows(findings, ConfigurationPart::Pools, aBefore.m_pools, aAfter.m_pools, aAfter);
  CompareRows(findings, ConfigurationPart::Accounts, aBefore.m_accounts, aAfter.m_accounts, aAfter);
  CompareLimits(findings, aBefore.m_limits, aAfter.m_limits);
  RedactKeys(findings, aBefore);
  RedactKeys(findings, aAfter);
  return findings;
}

std::size_t CountFindings(const Findings& aFindings, FindingKind aKind) noexcept
{
  return static_cast<std::size_t>(std::ranges::count(aFindings, aKind, &Finding::m_kind));
}

} // namespace pistachiostand::fleet
