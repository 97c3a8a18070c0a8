#pragma once

#include <chrono>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

/// \file
/// \brief Child processes and waiting for observed states.

namespace pistachiostand::testing {

/// Upper bound of every wait for a state; only a failed test reaches it.
inline constexpr std::chrono::seconds kLongestWait{ 30 };

/// \brief Evaluates a condition every 10 ms until it holds; throws after the limit.
void WaitUntil(const std::string& aWhat, const std::function<bool()>& aCondition,
               std::chrono::milliseconds aLimit = kLongestWait);

/// \brief A child that ends with the test process. Its output is appended to a log file.
///
/// Start children from the main thread only: the kernel ends them when the thread that started
/// them ends.
class ChildProcess
{
public:
  ChildProcess(const std::vector<std::string>& aCommand, std::filesystem::path aLogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int aSignal) const;
  [[nodiscard]] bool IsRunning();
  /// \brief Waits for the end; the exit status, or minus the signal number.
  int WaitForExit();
  /// \brief Sends SIGKILL and collects the child.
  void Kill();
  /// \brief Output since the start of this child.
  [[nodiscard]] std::string Output() const;
  /// \brief Waits for the line `listening on IP:PORT` and returns the address.
  [[nodiscard]] std::string WaitForAddress();

private:
  pid_t m_pid = -1;
  std::filesystem::path m_logFile;
  std::uintmax_t m_logStart = 0;
  std::optional<int> m_exit;
};

/// \brief A port of this address that is free now.
[[nodiscard]] std::string FreeAddress(const std::string& aIp);

} // namespace pistachiostand::testing
