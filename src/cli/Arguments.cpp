#include "cli/Arguments.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace pistachiostand {

namespace {

constexpr const char* kUsage =
  R"(pistachiostand - check, publish and inspect the rules of a fleet.

Usage:
  pistachiostand check RULES [--json]
  pistachiostand publish RULES --base=REV --author=WHO [--entry=ADDRESS]... [--timeout-ms=MS] [--json]
  pistachiostand diff RULES [--entry=ADDRESS]... [--timeout-ms=MS] [--json]
  pistachiostand who RULE [--entry=ADDRESS]... [--timeout-ms=MS] [--json]
  pistachiostand status [--entry=ADDRESS]... [--timeout-ms=MS] [--json]
  pistachiostand job KEY --tenant=NAME [--entry=ADDRESS]... [--timeout-ms=MS] [--json]
  pistachiostand --help
  pistachiostand --version

Options:
  --base=REV         Revision that the edited file is based on.
  --author=WHO       Person who publishes.
  --tenant=NAME      Tenant that submitted the job.
  --entry=ADDRESS    IP:PORT of an entry instance; may be given several times, the next one is
                     tried when one is unreachable. Without it: 127.0.0.1:8080.
  --timeout-ms=MS    Longest time of the whole command [default: 10000].
  --json             Print one JSON object to standard output.
  -h, --help         Print this text.
  --version          Print the version.

Exit codes:
  0  done
  1  refused, not found, or the rule file is invalid
  2  wrong usage
  3  no entry instance is reachable; nothing was changed
  4  the outcome of a publish is unknown; repeat the same command
)";

constexpr const char* kVersion = "pistachiostand 0.1.0\n";
constexpr Millis kMaxTimeoutMs = 3'600'000;

using Values = std::map<std::string, docopt::value>;

CommandResult UsageError(const std::string& aCause, const std::string& aRemedy)
{
  return { ExitCode::Usage, {}, "pistachiostand: " + aCause + "; " + aRemedy + '\n' };
}

template<typename Number>
std::optional<Number> ParseNumber(const std::string& aText)
{
  Number number{};
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

Command CommandOf(const Values& aValues)
{
  constexpr std::array<std::string_view, 6> kNames{ "check", "publish", "diff",
                                                    "who",   "status",  "job" };
  const auto given = std::ranges::find_if(kNames, [&aValues](std::string_view aName) {
    const auto value = aValues.find(std::string{ aName });
    return value != aValues.end() && value->second.isBool() && value->second.asBool();
  });
  return static_cast<Command>(given - kNames.begin());
}

std::string TextOf(const Values& aValues, const std::string& aName)
{
  const auto value = aValues.find(aName);
  return value != aValues.end() && value->second.isString() ? value->second.asString()
                                                            : std::string{};
}

std::string SubjectOf(const Values& aValues)
{
  constexpr std::array kNames{ "RULES", "RULE", "KEY" };
  std::string subject;
  for (const auto* name : kNames) {
    subject += TextOf(aValues, name); // A usage line has at most one of them.
  }
  return subject;
}

std::vector<std::string> EntriesOf(const Values& aValues)
{
  const auto& value = aValues.at("--entry");
  std::vector<std::string> entries =
    value.isStringList() ? value.asStringList() : std::vector<std::string>{};
  if (value.isString()) {
    entries.push_back(value.asString());
  }
  if (entries.empty()) {
    entries.emplace_back("127.0.0.1:8080");
  }
  return entries;
}

std::variant<Arguments, CommandResult> CheckValues(const Values& aValues)
{
  Arguments arguments{ .m_command = CommandOf(aValues),
                       .m_subject = SubjectOf(aValues),
                       .m_author = TextOf(aValues, "--author"),
                       .m_tenant = TextOf(aValues, "--tenant"),
                       .m_json = aValues.at("--json").asBool() };
  for (const auto& text : EntriesOf(aValues)) {
    const auto entry = ParseEndpoint(text);
    if (!entry) {
      return UsageError("--entry " + text + " is not an address",
                        "write IP:PORT; host names are not resolved");
    }
    arguments.m_entries.push_back(*entry);
  }
  const auto timeout = ParseNumber<Millis>(TextOf(aValues, "--timeout-ms"));
  if (!timeout || *timeout < 1 || *timeout > kMaxTimeoutMs) {
    return UsageError("--timeout-ms is not valid",
                      "write a whole number from 1 to " + std::to_string(kMaxTimeoutMs));
  }
  arguments.m_timeoutMs = *timeout;
  // The tenant is sent in an HTTP header, which must not contain control characters.
  if (std::ranges::any_of(arguments.m_tenant,
                          [](unsigned char aByte) { return aByte < 0x20U || aByte == 0x7fU; })) {
    return UsageError("--tenant contains a control character", "write the name of the tenant");
  }
  if (arguments.m_command == Command::Publish) {
    const auto base = ParseNumber<Revision>(TextOf(aValues, "--base"));
    if (!base) {
      return UsageError("--base is not a revision", "write the number that status prints");
    }
    arguments.m_base = *base;
    if (arguments.m_author.empty()) {
      return UsageError("--author is empty", "name the person who publishes");
    }
  }
  return arguments;
}

} // namespace

std::variant<Arguments, CommandResult> ParseArguments(const std::vector<std::string>& aArguments)
{
  try {
    return CheckValues(docopt::docopt_parse(kUsage, aArguments));
  } catch (const docopt::DocoptExitHelp&) {
    return CommandResult{ ExitCode::Ok, kUsage, {} };
  } catch (const docopt::DocoptExitVersion&) {
    return CommandResult{ ExitCode::Ok, kVersion, {} };
  } catch (const docopt::DocoptArgumentError&) {
    return UsageError("the arguments match no usage", "see pistachiostand --help");
  }
}

} // namespace pistachiostand
