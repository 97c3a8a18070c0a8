#include "pistachiostand/version/RuleParser.h"

#include "base/TomlReader.h"

#include <algorithm>
#include <functional>

namespace pistachiostand {

namespace {

constexpr std::int64_t kMaxTimeoutMs = 86'400'000;

std::vector<std::string_view> SplitLines(std::string_view aText)
{
  std::vector<std::string_view> lines;
  while (!aText.empty()) {
    const auto end = std::min(aText.find('\n'), aText.size());
    lines.push_back(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return lines;
}

std::string Trim(std::string_view aText)
{
  constexpr std::string_view kSpace = " \t\r";
  const auto first = aText.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return std::string{ aText.substr(first, aText.find_last_not_of(kSpace) - first + 1) };
}

const std::vector<Domain> kDomains{ Domain::None, Domain::Rack, Domain::Zone };

void ReadPool(Rules& aRules, const std::string& aName, TomlReader& aReader)
{
  PoolRule rule;
  rule.m_instances = aReader.Count("instances", std::nullopt, 0);
  rule.m_minAvailable = aReader.Count("min_available", 0, 0);
  rule.m_spread = aReader.Choice<Domain>("spread", Domain::None, kDomains);
  rule.m_tolerate = aReader.Choice<Domain>("tolerate", Domain::None, kDomains);
  rule.m_taskControl = aReader.Choice<TaskControl>("task_control", TaskControl::None,
                                                   { TaskControl::None, TaskControl::Full });
  rule.m_spare = aReader.Flag("spare", false);
  aRules.m_pools.emplace(aName, rule);
}

void ReadService(Rules& aRules, const std::string& aName, TomlReader& aReader)
{
  ServiceRule rule;
  rule.m_pool = aReader.Text("pool");
  rule.m_class = aReader.Choice<ServiceClass>("class", std::nullopt,
                                              { kServiceClasses.begin(), kServiceClasses.end() });
  rule.m_idempotent = aReader.Flag("idempotent", std::nullopt);
  rule.m_timeoutMs = aReader.Count("timeout_ms", std::nullopt, 1, kMaxTimeoutMs);
  aRules.m_services.emplace(aName, rule);
}

void ReadTenant(Rules& aRules, const std::string& aName, TomlReader& aReader)
{
  TenantRule rule;
  rule.m_share = aReader.Count("share", rule.m_share, 1, 1000);
  rule.m_maxQueued = aReader.Count("max_queued", rule.m_maxQueued, 1, 100'000);
  aRules.m_tenants.emplace(aName, rule);
}

void ReadMaintenance(Rules& aRules, const std::string& aName, TomlReader& aReader)
{
  MaintenanceRule rule;
  rule.m_pools = aReader.Names("pools");
  if (std::ranges::find(rule.m_pools, "*") != rule.m_pools.end()) {
    rule.m_pools.clear();
  }
  rule.m_periodDays = aReader.Count("period_days", std::nullopt, 1, 3650);
  rule.m_maxAtOnce = aReader.Count("max_at_once", std::nullopt, 1);
  rule.m_domain = aReader.Choice<Domain>("domain", Domain::None, kDomains);
  aRules.m_maintenance.emplace(aName, rule);
}

void ReadPlacement(Rules& aRules, const std::string& /*aName*/, TomlReader& aReader)
{
  aRules.m_weights.m_bufferCost = aReader.Count("buffer_cost", 1, 0, 1000);
  aRules.m_weights.m_rolloutTime = aReader.Count("rollout_time", 1, 0, 1000);
  aRules.m_weights.m_moves = aReader.Count("moves", 1, 0, 1000);
}

using RuleReader = void (*)(Rules&, const std::string&, TomlReader&);

const std::map<std::string, RuleReader, std::less<>> kReaders{
  { "pool", ReadPool },           { "service", ReadService },
  { "tenant", ReadTenant },       { "maintenance", ReadMaintenance },
  { "placement", ReadPlacement },
};

/// \brief Reads requester and rationale from the comment that follows a rule on its line.
std::optional<RuleOrigin> ReadOrigin(const std::string& aRule, const toml::table& aTable,
                                     const std::vector<std::string_view>& aLines, Reasons& aReasons)
{
  const auto begin = aTable.source().begin;
  const auto end = aTable.source().end;
  if (begin.line == 0 || begin.line > aLines.size()) {
    return std::nullopt;
  }
  const std::string_view line = aLines[begin.line - 1];
  // toml++ counts columns in code points, so the end of the table is converted to a byte offset.
  // The comment is searched for behind it.
  std::size_t bytes = 0;
  for (std::uint32_t column = 1; column < end.column && bytes < line.size(); ++column) {
    ++bytes;
    while (bytes < line.size() && (static_cast<unsigned char>(line[bytes]) & 0xc0U) == 0x80U) {
      ++bytes;
    }
  }
  const std::string_view rest = line.substr(std::min(bytes, line.size()));
  const auto hash = rest.find('#');
  const std::string comment =
    hash == std::string_view::npos ? std::string{} : Trim(rest.substr(hash + 1));
  const auto colon = comment.find(':');
  const std::string requester = Trim(comment.substr(0, colon));
  if (requester.empty()) {
    aReasons.push_back({ ReasonKind::MissingRequester, aRule + " does not name who asked for it",
                         "end the line with \"# WHO: REASON\"", PositionOf(aTable) });
    return std::nullopt;
  }
  return RuleOrigin{ requester,
                     colon == std::string::npos ? std::string{} : Trim(comment.substr(colon + 1)),
                     Trim(line), begin.line };
}

void ReadRule(Rules& aRules, const std::string& aKind, RuleReader aRead, const toml::key& aKey,
              const toml::node& aNode, const std::vector<std::string_view>& aLines,
              Reasons& aReasons)
{
  const std::string name{ aKey.str() };
  const std::string rule = aKind + '.' + name;
  const auto* table = aNode.as_table();
  if (table == nullptr || !table->is_inline()) {
    aReasons.push_back({ ReasonKind::Syntax, rule + " is not a table on one line",
                         "write " + rule + " = { ... } # WHO: REASON", PositionOf(aNode) });
    return;
  }
  if (const auto origin = ReadOrigin(rule, *table, aLines, aReasons)) {
    aRules.m_origins.emplace(rule, *origin);
  }
  // A second placement rule would silently replace the weights of the first.
  if (aKind == "placement" && name != "weights") {
    aReasons.push_back({ ReasonKind::UnknownKey, "there is no rule \"" + rule + '"',
                         "write placement.weights", PositionOf(aNode) });
  }
  TomlReader reader{ rule, *table, aReasons };
  aRead(aRules, name, reader);
  reader.Finish();
}

SourcePosition OriginOf(const Rules& aRules, const std::string& aRule)
{
  const auto origin = aRules.m_origins.find(aRule);
  return origin == aRules.m_origins.end() ? SourcePosition{}
                                          : SourcePosition{ origin->second.m_lineNumber, 1 };
}

void CheckPools(const Rules& aRules, Reasons& aReasons)
{
  const auto spares =
    std::ranges::count_if(aRules.m_pools, [](const auto& aPool) { return aPool.second.m_spare; });
  if (spares != 1) {
    aReasons.push_back({ ReasonKind::Inconsistent,
                         "the file has " + std::to_string(spares) + " spare pools",
                         "mark exactly one pool with spare = true",
                         {} });
  }
  for (const auto& [name, pool] : aRules.m_pools) {
    if (pool.m_minAvailable > pool.m_instances) {
      aReasons.push_back(
        { ReasonKind::Inconsistent, "pool." + name + " has a larger min_available than instances",
          "lower min_available or raise instances", OriginOf(aRules, "pool." + name) });
    }
  }
}

void CheckPoolName(const Rules& aRules, const std::string& aRule, const PoolName& aPool,
                   Reasons& aReasons)
{
  if (aRules.m_pools.contains(aPool)) {
    return;
  }
  std::vector<std::string_view> names;
  std::ranges::transform(aRules.m_pools, std::back_inserter(names),
                         [](const auto& aEach) { return std::string_view{ aEach.first }; });
  aReasons.push_back({ ReasonKind::Inconsistent, aRule + " names the unknown pool \"" + aPool + '"',
                       NearestRemedy(aPool, names, "add the rule pool." + aPool),
                       OriginOf(aRules, aRule) });
}

void CheckReferences(const Rules& aRules, Reasons& aReasons)
{
  for (const auto& [name, service] : aRules.m_services) {
    CheckPoolName(aRules, "service." + name, service.m_pool, aReasons);
  }
  for (const auto& [name, maintenance] : aRules.m_maintenance) {
    for (const auto& pool : maintenance.m_pools) {
      CheckPoolName(aRules, "maintenance." + name, pool, aReasons);
    }
  }
}

void ReadRuleKind(Rules& aRules, const toml::key& aKey, const toml::node& aNode,
                  const std::vector<std::string_view>& aLines, Reasons& aReasons)
{
  const std::string kind{ aKey.str() };
  const auto reader = kReaders.find(kind);
  const auto* table = aNode.as_table();
  if (reader == kReaders.end()) {
    std::vector<std::string_view> names;
    std::ranges::transform(kReaders, std::back_inserter(names),
                           [](const auto& aEach) { return std::string_view{ aEach.first }; });
    aReasons.push_back(
      { ReasonKind::UnknownKey, "there is no rule kind \"" + kind + '"',
        NearestRemedy(kind, names, "use pool, service, tenant, maintenance or placement"),
        PositionOf(aNode) });
  } else if (table == nullptr || table->is_inline()) {
    aReasons.push_back({ ReasonKind::Syntax, kind + " needs a name",
                         "write " + kind + ".NAME = { ... } # WHO: REASON", PositionOf(aNode) });
  } else {
    for (const auto& [key, node] : *table) {
      ReadRule(aRules, kind, reader->second, key, node, aLines, aReasons);
    }
  }
}

} // namespace

std::optional<Rules> ParseRules(std::string_view aText, Reasons& aReasons)
{
  if (aText.size() > kMaxRuleFileBytes) {
    aReasons.push_back({ ReasonKind::BadValue,
                         "the file is larger than 256 KiB",
                         "remove rules that are no longer needed",
                         {} });
    return std::nullopt;
  }
  const auto table = ParseToml(aText, aReasons);
  if (!table) {
    return std::nullopt;
  }
  Rules rules;
  Reasons found;
  const auto lines = SplitLines(aText);
  for (const auto& [key, node] : *table) {
    ReadRuleKind(rules, key, node, lines, found);
  }
  if (found.empty()) {
    CheckPools(rules, found);
    CheckReferences(rules, found);
  }
  if (found.empty()) {
    return rules;
  }
  std::ranges::stable_sort(found, {}, &Reason::m_position);
  std::ranges::move(found, std::back_inserter(aReasons));
  return std::nullopt;
}

} // namespace pistachiostand
