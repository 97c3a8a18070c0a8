#include "cli/Report.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace pistachiostand {

namespace {

using Json = nlohmann::json;
using Row = std::vector<std::string>;

std::string YesNo(bool aValue)
{
  return aValue ? "yes" : "no";
}

/// \brief Formats rows with left-aligned columns; the first row is the heading.
std::string Table(const std::vector<Row>& aRows)
{
  std::vector<std::size_t> widths(aRows.front().size());
  for (const auto& row : aRows) {
    std::ranges::transform(
      row, widths, widths.begin(),
      [](const std::string& aCell, std::size_t aWidth) { return std::max(aCell.size(), aWidth); });
  }
  std::string text;
  for (const auto& row : aRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    text += line.substr(0, line.find_last_not_of(' ') + 1) + '\n';
  }
  return text;
}

std::string PoolTable(const StatusReply& aStatus)
{
  std::vector<Row> rows{ { "POOL", "PROMISED", "MIN", "SERVING", "LEAVING", "FAILED", "SPARE" } };
  std::ranges::transform(aStatus.m_pools, std::back_inserter(rows), [](const PoolReply& aPool) {
    return Row{ aPool.m_name,
                std::to_string(aPool.m_promised),
                std::to_string(aPool.m_minAvailable),
                std::to_string(aPool.m_serving),
                std::to_string(aPool.m_leaving),
                std::to_string(aPool.m_failed),
                YesNo(aPool.m_spare) };
  });
  return Table(rows);
}

std::string InstanceTable(const StatusReply& aStatus)
{
  auto instances = aStatus.m_instances;
  std::ranges::sort(instances, {}, [](const InstanceReply& aInstance) {
    return std::tie(aInstance.m_pool, aInstance.m_id);
  });
  std::vector<Row> rows{ { "INSTANCE", "POOL", "PHASE", "ZONE", "RACK", "EPOCH", "TARGET" } };
  std::ranges::transform(instances, std::back_inserter(rows), [](const InstanceReply& aInstance) {
    return Row{ aInstance.m_id,    aInstance.m_pool, aInstance.m_phase,
                aInstance.m_zone,  aInstance.m_rack, std::to_string(aInstance.m_epoch),
                aInstance.m_target };
  });
  return Table(rows);
}

std::string EntryTable(const StatusReply& aStatus)
{
  std::vector<Row> rows{ { "ENTRY", "ZONE", "REVISION", "OFFSET", "ALIVE" } };
  std::ranges::transform(aStatus.m_entries, std::back_inserter(rows), [](const EntryReply& aEntry) {
    return Row{ aEntry.m_id, aEntry.m_zone, std::to_string(aEntry.m_revision),
                std::to_string(aEntry.m_offset), YesNo(aEntry.m_alive) };
  });
  return Table(rows);
}

/// \brief Returns true when the text has no control characters but line feeds and tabs.
bool IsPrintable(std::string_view aText)
{
  return std::ranges::all_of(aText, [](unsigned char aByte) {
    return aByte == '\n' || aByte == '\t' || (aByte >= 0x20U && aByte != 0x7fU);
  });
}

std::string BodyText(const JobReply& aJob)
{
  if (!aJob.m_bodyKept) {
    return "not kept";
  }
  auto size = std::to_string(aJob.m_body.size()) + " bytes";
  if (aJob.m_body.empty()) {
    return size;
  }
  return IsPrintable(aJob.m_body) ? size + '\n' + aJob.m_body
                                  : size + ", not printable; use --json";
}

std::string_view ResultName(ExitCode aCode)
{
  constexpr std::array<std::string_view, 5> kNames{ "ok", "refused", "usage", "unreachable",
                                                    "unknown" };
  return kNames.at(static_cast<std::size_t>(aCode));
}

Json FailureJson(const Failure& aFailure)
{
  Json json{ { "result", ResultName(aFailure.m_code) },
             { "kind", aFailure.m_kind },
             { "cause", aFailure.m_cause },
             { "remedy", aFailure.m_remedy } };
  if (aFailure.m_revision) {
    json["revision"] = *aFailure.m_revision;
  }
  for (const auto& reason : aFailure.m_reasons) {
    json["reasons"].push_back({ { "kind", reason.m_kind },
                                { "cause", reason.m_cause },
                                { "remedy", reason.m_remedy },
                                { "line", reason.m_line },
                                { "column", reason.m_column } });
  }
  return json;
}

} // namespace

std::string StatusText(const StatusReply& aStatus)
{
  std::string text =
    fmt::format("entry {} in zone {}: {}, revision {}, offset {}, view confirmed {} ms ago\n",
                aStatus.m_entry, aStatus.m_zone, aStatus.m_ready ? "ready" : "not ready",
                aStatus.m_revision, aStatus.m_offset, aStatus.m_confirmedAgeMs);
  text += '\n' + PoolTable(aStatus) + '\n' + EntryTable(aStatus) + '\n' + InstanceTable(aStatus);
  const auto& jobs = aStatus.m_jobs;
  text +=
    fmt::format("\njobs: {} queued, {} claimed, {} completed, {} stopped, {} not run\n",
                jobs.m_queued, jobs.m_claimed, jobs.m_completed, jobs.m_stopped, jobs.m_notRun);
  return text;
}

std::string ProvenanceText(const ProvenanceReply& aProvenance)
{
  return fmt::format("{}\n  requested by  {}\n  reason        {}\n  revision      {}\n"
                     "  published by  {}\n  published at  {}\n  line          {}\n",
                     aProvenance.m_rule, aProvenance.m_requester, aProvenance.m_reason,
                     aProvenance.m_revision, aProvenance.m_author, TimeText(aProvenance.m_timeMs),
                     aProvenance.m_line);
}

std::string JobText(const JobReply& aJob)
{
  return fmt::format(
    "{}\n  outcome  {}\n  phase    {}\n  attempt  {}\n  status   {}\n  body     {}\n", aJob.m_key,
    aJob.m_outcome, aJob.m_phase, aJob.m_attempt, aJob.m_status, BodyText(aJob));
}

std::string TimeText(Millis aTimeMs)
{
  constexpr Millis kEndOfYear9999Ms = 253'402'300'800'000; // fmt formats years with four digits.
  if (aTimeMs < 0 || aTimeMs >= kEndOfYear9999Ms) {
    return std::to_string(aTimeMs) + " ms";
  }
  return fmt::format("{:%Y-%m-%d %H:%M:%S} UTC", fmt::gmtime(std::time_t{ aTimeMs / 1000 }));
}

std::string JsonLine(const Json& aValue)
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace) + '\n';
}

Json ReasonsJson(const Reasons& aReasons)
{
  Json list = Json::array();
  for (const auto& reason : aReasons) {
    list.push_back({ { "kind", ToString(reason.m_kind) },
                     { "cause", reason.m_cause },
                     { "remedy", reason.m_remedy },
                     { "line", reason.m_position.m_line },
                     { "column", reason.m_position.m_column } });
  }
  return list;
}

Json ChangesJson(const RuleChanges& aChanges)
{
  Json list = Json::array();
  const auto side = [](const RuleOrigin& aOrigin) {
    return Json{ { "requester", aOrigin.m_requester },
                 { "reason", aOrigin.m_rationale },
                 { "text", aOrigin.m_line },
                 { "line", aOrigin.m_lineNumber } };
  };
  for (const auto& change : aChanges) {
    Json json{ { "change", ToString(change.m_kind) }, { "rule", change.m_rule } };
    if (change.m_kind != RuleChangeKind::Added) {
      json["before"] = side(change.m_before);
    }
    if (change.m_kind != RuleChangeKind::Removed) {
      json["after"] = side(change.m_after);
    }
    list.push_back(std::move(json));
  }
  return list;
}

CommandResult FailureResult(const Failure& aFailure, const std::string& aFile, bool aJson)
{
  if (aJson) {
    return { aFailure.m_code, JsonLine(FailureJson(aFailure)), {} };
  }
  std::string text = "pistachiostand: " + aFailure.m_kind + ": " + aFailure.m_cause;
  if (aFailure.m_revision) {
    text += " (current revision " + std::to_string(*aFailure.m_revision) + ')';
  }
  text += "; " + aFailure.m_remedy + '\n';
  for (const auto& reason : aFailure.m_reasons) {
    text += fmt::format("{}:{}:{}: {}: {}; {}\n", aFile, reason.m_line, reason.m_column,
                        reason.m_kind, reason.m_cause, reason.m_remedy);
  }
  return { aFailure.m_code, {}, text };
}

} // namespace pistachiostand
