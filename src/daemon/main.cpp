#include "Daemon.h"

#include <docopt/docopt.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

/// \file
/// \brief The daemon's command line.

namespace {

constexpr const char* kUsage = R"(pistachiostandd, one entry instance of pistachiostand.

Usage:
  pistachiostandd SETTINGS
  pistachiostandd --check SETTINGS
  pistachiostandd (-h | --help)
  pistachiostandd --version

Options:
  --check     Check the settings file and exit.
  -h --help   Show this text.
  --version   Show the version.

The process stops gracefully on SIGTERM. Exit codes: 0 stopped or settings are valid, 1 settings
invalid, 2 usage, 3 an address cannot be bound.
)";

constexpr int kExitInvalid = 1;
constexpr int kExitUsage = 2;
constexpr int kExitBind = 3;

std::optional<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file{ aPath, std::ios::binary };
  if (!file) {
    return std::nullopt;
  }
  return std::string{ std::istreambuf_iterator<char>{ file }, {} };
}

std::optional<pistachiostand::Settings> LoadSettings(const std::string& aPath)
{
  using namespace pistachiostand;
  const auto text = ReadFile(aPath);
  if (!text) {
    std::cerr << Format({ ReasonKind::Unreachable,
                          "the file cannot be read",
                          "check the path and its permissions",
                          {} },
                        aPath)
              << '\n';
    return std::nullopt;
  }
  Reasons reasons;
  auto settings = ParseSettings(*text, reasons);
  for (const auto& reason : reasons) {
    std::cerr << Format(reason, aPath) << '\n';
  }
  return settings;
}

int Run(const pistachiostand::Settings& aSettings)
{
  using namespace pistachiostand;
  spdlog::set_default_logger(spdlog::stdout_logger_st("pistachiostandd"));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %^%l%$ %v");
  spdlog::set_level(spdlog::level::from_str(aSettings.m_logLevel));
  spdlog::flush_on(spdlog::level::info);
  // A write to a connection that a peer or server has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context loop{ 1 };
  Reason reason;
  const auto daemon = Daemon::Create(loop, aSettings, reason);
  if (!daemon) {
    spdlog::error("main: {}", Format(reason, aSettings.m_id));
    return kExitBind;
  }
  loop.run();
  return 0;
}

} // namespace

int main(int aArgc, char** aArgv)
{
  try {
    const auto args = docopt::docopt_parse(kUsage, { aArgv + 1, aArgv + aArgc }, true, true, false);
    const auto settings = LoadSettings(args.at("SETTINGS").asString());
    if (!settings) {
      return kExitInvalid;
    }
    return args.at("--check").asBool() ? 0 : Run(*settings);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return 0;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << "pistachiostandd 0.1.0\n";
    return 0;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n' << kUsage;
    return kExitUsage;
  }
}
