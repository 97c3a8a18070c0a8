#include "cli/Commands.h"

#include "cli/Fetch.h"
#include "cli/Report.h"

#include "pistachiostand/version/RuleParser.h"

#include <algorithm>
#include <fstream>

namespace pistachiostand {

namespace {

using Json = nlohmann::json;

/// \brief Reads at most one byte more than the parser accepts, so that the parser refuses a longer
/// file.
std::optional<std::string> ReadFile(const std::string& aFile)
{
  std::ifstream stream{ aFile, std::ios::binary };
  std::string text(kMaxRuleFileBytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (stream.bad() || !stream.eof() == stream.fail()) {
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(stream.gcount()));
  return text;
}

std::string ReasonLines(const Reasons& aReasons, const std::string& aFile)
{
  std::string text;
  for (const auto& reason : aReasons) {
    text += Format(reason, aFile) + '\n';
  }
  return text;
}

CommandResult InvalidRules(const Reasons& aReasons, const std::string& aFile, bool aJson)
{
  if (aJson) {
    const Json json{ { "result", "refused" },
                     { "kind", "invalid-rules" },
                     { "file", aFile },
                     { "reasons", ReasonsJson(aReasons) } };
    return { ExitCode::Refused, JsonLine(json), {} };
  }
  return { ExitCode::Refused, {}, ReasonLines(aReasons, aFile) };
}

/// \brief Sends a read-only request and formats its reply.
template<typename Reply>
CommandResult Query(const Arguments& aArguments, const Environment& aEnvironment,
                    const CommandRequest& aRequest, std::optional<Reply> (*aRead)(const HttpReply&),
                    std::string (*aText)(const Reply&))
{
  const auto result = Fetch(aEnvironment, aArguments.m_entries, aRequest, aArguments.m_timeoutMs,
                            [aRead](const HttpReply& aReply) { return aRead(aReply).has_value(); });
  if (const auto* failure = std::get_if<Failure>(&result)) {
    return FailureResult(*failure, {}, aArguments.m_json);
  }
  const auto& reply = std::get<HttpReply>(result);
  if (aArguments.m_json) {
    return { ExitCode::Ok, JsonLine(ParseBody(reply)), {} };
  }
  const auto value = aRead(reply);
  return { ExitCode::Ok, value ? aText(*value) : std::string{}, {} };
}

CommandResult RunWithFile(const Arguments& aArguments, const Environment& aEnvironment)
{
  const auto text = ReadFile(aArguments.m_subject);
  if (!text) {
    return FailureResult({ .m_code = ExitCode::Usage,
                           .m_kind = "unreadable",
                           .m_cause = aArguments.m_subject + " cannot be read",
                           .m_remedy = "name a rule file that exists and is readable" },
                         {}, aArguments.m_json);
  }
  if (aArguments.m_command == Command::Check) {
    return CheckRules(aArguments.m_subject, *text, aArguments.m_json);
  }
  return aArguments.m_command == Command::Publish
           ? PublishRules(aArguments, *text, aEnvironment)
           : DiffAgainstActiveRules(aArguments, *text, aEnvironment);
}

} // namespace

CommandResult CheckRules(const std::string& aFile, std::string_view aText, bool aJson)
{
  Reasons reasons;
  const auto rules = ParseRules(aText, reasons);
  if (!rules) {
    return InvalidRules(reasons, aFile, aJson);
  }
  if (aJson) {
    const Json json{ { "result", "ok" },
                     { "file", aFile },
                     { "pools", rules->m_pools.size() },
                     { "services", rules->m_services.size() },
                     { "tenants", rules->m_tenants.size() },
                     { "maintenance", rules->m_maintenance.size() } };
    return { ExitCode::Ok, JsonLine(json), {} };
  }
  return { ExitCode::Ok,
           aFile + ": valid; pools: " + std::to_string(rules->m_pools.size()) +
             ", services: " + std::to_string(rules->m_services.size()) +
             ", tenants: " + std::to_string(rules->m_tenants.size()) +
             ", maintenance rules: " + std::to_string(rules->m_maintenance.size()) + '\n',
           {} };
}

CommandResult PublishRules(const Arguments& aArguments, std::string_view aText,
                           const Environment& aEnvironment)
{
  Reasons reasons;
  if (!ParseRules(aText, reasons)) {
    return InvalidRules(reasons, aArguments.m_subject, aArguments.m_json);
  }
  const auto request = PublishRequest(aArguments.m_base, aArguments.m_author, aText);
  const auto result =
    SendPublish(aEnvironment, aArguments.m_entries, request, aArguments.m_timeoutMs);
  if (const auto* failure = std::get_if<Failure>(&result)) {
    return FailureResult(*failure, aArguments.m_subject, aArguments.m_json);
  }
  const auto revision = ReadPublish(std::get<HttpReply>(result)).value_or(0);
  if (aArguments.m_json) {
    return { ExitCode::Ok, JsonLine({ { "result", "ok" }, { "revision", revision } }), {} };
  }
  return { ExitCode::Ok, "published as revision " + std::to_string(revision) + '\n', {} };
}

CommandResult DiffAgainstActiveRules(const Arguments& aArguments, std::string_view aText,
                                     const Environment& aEnvironment)
{
  Reasons reasons;
  if (!ParseRules(aText, reasons)) {
    return InvalidRules(reasons, aArguments.m_subject, aArguments.m_json);
  }
  const auto result =
    Fetch(aEnvironment, aArguments.m_entries, RulesRequest(), aArguments.m_timeoutMs,
          [](const HttpReply& aReply) { return ReadRulesRevision(aReply).has_value(); });
  if (const auto* failure = std::get_if<Failure>(&result)) {
    return FailureResult(*failure, {}, aArguments.m_json);
  }
  const auto& reply = std::get<HttpReply>(result);
  const auto revision = ReadRulesRevision(reply).value_or(0);
  const auto changes = DiffRuleTexts(reply.m_body, aText, reasons);
  if (!changes) {
    // This happens only when a daemon of another version accepted rules that this program refuses.
    return InvalidRules(reasons, "revision " + std::to_string(revision), aArguments.m_json);
  }
  if (aArguments.m_json) {
    const Json json{ { "result", "ok" },
                     { "revision", revision },
                     { "changes", ChangesJson(*changes) } };
    return { ExitCode::Ok, JsonLine(json), {} };
  }
  const std::string heading =
    changes->empty() ? "no changes against revision " : "changes against revision ";
  return { ExitCode::Ok, heading + std::to_string(revision) + '\n' + Format(*changes), {} };
}

CommandResult RunCommand(const Arguments& aArguments, const Environment& aEnvironment)
{
  switch (aArguments.m_command) {
    case Command::Check:
    case Command::Publish:
    case Command::Diff:
      return RunWithFile(aArguments, aEnvironment);
    case Command::Who:
      return Query<ProvenanceReply>(aArguments, aEnvironment,
                                    ProvenanceRequest(aArguments.m_subject), ReadProvenance,
                                    ProvenanceText);
    case Command::Status:
      return Query<StatusReply>(aArguments, aEnvironment, StatusRequest(), ReadStatus, StatusText);
    case Command::Job:
      return Query<JobReply>(aArguments, aEnvironment,
                             JobRequest(aArguments.m_subject, aArguments.m_tenant), ReadJob,
                             JobText);
  }
  return { ExitCode::Usage, {}, {} };
}

} // namespace pistachiostand
