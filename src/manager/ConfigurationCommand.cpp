#include "ConfigurationCommand.h"

#include "platform/Wire.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <ostream>

namespace pistachiostand::fleet {

namespace {

constexpr std::array<std::string_view, 3> kKindNames{ "error", "warning", "difference" };

std::string_view NameOf(FindingKind aKind)
{
  return kKindNames.at(static_cast<std::size_t>(aKind));
}

Finding RecordError(std::string aCause, std::string aRemedy)
{
  return {
    FindingKind::Error, { ConfigurationPart::Record, {}, {} }, std::move(aCause), std::move(aRemedy)
  };
}

std::optional<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file{ aPath, std::ios::binary };
  file.peek(); // Sets badbit for a directory, for which the iterator below throws.
  if (!file.is_open() || file.bad()) {
    return std::nullopt;
  }
  return std::string{ std::istreambuf_iterator<char>{ file }, {} };
}

Findings CheckFiles(const std::string& aFile, const std::optional<std::string>& aAgainst)
{
  constexpr const char* kRemedy = "check the path and its permissions";
  const auto text = ReadFile(aFile);
  if (!text) {
    return { RecordError("the file cannot be read", kRemedy) };
  }
  if (!aAgainst) {
    return CheckRecordText(*text, {});
  }
  const auto before = ReadFile(*aAgainst);
  if (before) {
    return CheckRecordText(*text, *before);
  }
  auto findings = CheckRecordText(*text, {});
  findings.push_back(RecordError("the file of the earlier record cannot be read", kRemedy));
  return findings;
}

} // namespace

Findings CheckRecordText(std::string_view aText, std::optional<std::string_view> aBefore)
{
  Reason reason;
  const auto record = platform::DecodeConfigurationRecord(aText, reason);
  if (!record) {
    return { RecordError(reason.m_cause, reason.m_remedy) };
  }
  auto findings = CheckConfiguration(*record);
  if (!aBefore) {
    return findings;
  }
  const auto before = platform::DecodeConfigurationRecord(*aBefore, reason);
  if (!before) {
    findings.push_back(RecordError(
      fmt::format("the earlier record cannot be read: {}", reason.m_cause), reason.m_remedy));
    return findings;
  }
  std::ranges::move(CompareConfigurations(*before, *record), std::back_inserter(findings));
  return findings;
}

std::string FindingsText(const Findings& aFindings, std::string_view aFile)
{
  std::string text;
  for (const auto& finding : aFindings) {
    text += fmt::format("{}: {}: {}: {}{}{}\n", aFile, platform::FormatPlace(finding.m_place),
                        NameOf(finding.m_kind), finding.m_cause,
                        finding.m_remedy.empty() ? "" : "; ", finding.m_remedy);
  }
  if (CountFindings(aFindings, FindingKind::Error) == 0) {
    text += fmt::format("{}: valid\n", aFile);
  }
  return text;
}

std::string FindingsJson(const Findings& aFindings, const std::string& aFile)
{
  using Json = nlohmann::json;
  Json rows = Json::array();
  std::ranges::transform(aFindings, std::back_inserter(rows), [](const Finding& aFinding) {
    Json row{ { "kind", NameOf(aFinding.m_kind) },
              { "place", platform::FormatPlace(aFinding.m_place) },
              { "cause", aFinding.m_cause } };
    if (!aFinding.m_remedy.empty()) {
      row["remedy"] = aFinding.m_remedy;
    }
    return row;
  });
  const bool isValid = CountFindings(aFindings, FindingKind::Error) == 0;
  return Json{
    { "file", aFile }, { "result", isValid ? "ok" : "refused" }, { "findings", std::move(rows) }
  }.dump(-1, ' ', false, Json::error_handler_t::replace) +
         '\n';
}

bool CheckConfigurationFile(const std::string& aFile, const std::optional<std::string>& aAgainst,
                            bool aJson, std::ostream& aOutput)
{
  const auto findings = CheckFiles(aFile, aAgainst);
  aOutput << (aJson ? FindingsJson(findings, aFile) : FindingsText(findings, aFile));
  return CountFindings(findings, FindingKind::Error) == 0;
}

} // namespace pistachiostand::fleet
