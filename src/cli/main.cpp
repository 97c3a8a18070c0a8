#include "cli/Commands.h"
#include "cli/CurlTransport.h"

#include <curl/curl.h>

#include <chrono>
#include <iostream>
#include <thread>

namespace {

pistachiostand::Millis NowMs()
{
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

pistachiostand::CommandResult Run(const std::vector<std::string>& aArguments)
{
  const auto parsed = pistachiostand::ParseArguments(aArguments);
  if (const auto* result = std::get_if<pistachiostand::CommandResult>(&parsed)) {
    return *result;
  }
  const pistachiostand::Environment environment{ pistachiostand::Exchange, NowMs,
                                                 [](pistachiostand::Millis aPauseMs) {
                                                   std::this_thread::sleep_for(
                                                     std::chrono::milliseconds{ aPauseMs });
                                                 } };
  return pistachiostand::RunCommand(std::get<pistachiostand::Arguments>(parsed), environment);
}

} // namespace

int main(int argc, char** argv)
{
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const auto result = Run({ argv + 1, argv + argc });
  curl_global_cleanup();
  std::cout << result.m_out << std::flush;
  std::cerr << result.m_err;
  return static_cast<int>(result.m_code);
}
