#include "ConfigurationCommand.h"
#include "EntryInstance.h"
#include "EventLog.h"

#include "platform/SettingsPath.h"

#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

/// \file
/// \brief Command line of an entry instance.

namespace {

constexpr const char* kUsage =
  R"(pistachiostand-entry, one entry instance of pistachiostand on the platform.

Usage:
  pistachiostand-entry [SETTINGS]
  pistachiostand-entry --check SETTINGS
  pistachiostand-entry --check-configuration=FILE [--against=FILE] [--json]
  pistachiostand-entry (-h | --help)
  pistachiostand-entry --version

Without SETTINGS, the path of the settings file is taken from the platform's environment.

Options:
  --check                     Check the settings file and exit.
  --check-configuration=FILE  Check a configuration record before it is published, and exit.
  --against=FILE              Compare it with this earlier record.
  --json                      Print the findings as one JSON object.
  -h --help                   Show this text.
  --version                   Show the version.

SIGTERM stops gracefully, SIGHUP reads the settings again. Exit codes: 0 stopped, or the checked file
is valid, 1 settings or configuration record invalid, 2 usage, 3 an address cannot be bound.
)";

constexpr int kExitInvalid = 1;
constexpr int kExitUsage = 2;
constexpr int kExitBind = 3;

std::optional<pistachiostand::fleet::EntrySettings> LoadSettings(const std::string& aPath)
{
  using namespace pistachiostand;
  using namespace pistachiostand::fleet;
  std::ifstream file{ aPath, std::ios::binary };
  if (!file) {
    std::cerr << Format({ ReasonKind::Unreachable,
                          "the file cannot be read",
                          "check the path and its permissions",
                          {} },
                        aPath)
              << '\n';
    return std::nullopt;
  }
  const std::string text{ std::istreambuf_iterator<char>{ file }, {} };
  Reasons reasons;
  auto settings = ParseEntrySettings(text, reasons);
  for (const auto& reason : reasons) {
    std::cerr << Format(reason, aPath) << '\n';
  }
  return settings;
}

int Run(const pistachiostand::fleet::EntrySettings& aSettings, const std::string& aPath)
{
  using namespace pistachiostand;
  using namespace pistachiostand::fleet;
  OpenEventLog(aSettings.m_logLevel);
  asio::io_context loop{ 1 };
  Reason reason;
  const auto instance = EntryInstance::Create(loop, aSettings, aPath, reason);
  if (!instance) {
    spdlog::error("main: {}", Format(reason, aSettings.m_id));
    return kExitBind;
  }
  instance->Run();
  return 0;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  try {
    const auto args = docopt::docopt_parse(kUsage, { aArgv + 1, aArgv + aArgc }, true, true, false);
    if (const auto& record = args.at("--check-configuration")) {
      const auto& against = args.at("--against");
      return pistachiostand::fleet::CheckConfigurationFile(
               record.asString(), against ? std::optional{ against.asString() } : std::nullopt,
               args.at("--json").asBool(), std::cout)
               ? 0
               : kExitInvalid;
    }
    const auto& given = args.at("SETTINGS");
    const std::string path =
      given ? given.asString() : pistachiostand::fleet::platform::SettingsPath();
    const auto settings = LoadSettings(path);
    if (!settings) {
      return kExitInvalid;
    }
    return args.at("--check").asBool() ? 0 : Run(*settings, path);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "pistachiostand-entry 0.1.0\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n' << kUsage;
    return kExitUsage;
  }
}
