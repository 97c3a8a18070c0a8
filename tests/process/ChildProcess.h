#pragma once

#include <chrono>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

/// \file
/// \brief Child processes and waits for a condition.

namespace pistachiostand::testing {

/// Default limit of a wait for a condition; only a failing test reaches it.
inline constexpr std::chrono::seconds kLongestWait{ 30 };

/// \brief Evaluates a condition every 10 ms until it holds; throws after the limit.
void WaitUntil(const std::string& aWhat, const std::function<bool()>& aCondition,
               std::chrono::milliseconds aLimit = kLongestWait);

/// \brief A child process that ends with the test process and appends its output to a log file.
///
/// Start children from the main thread only: the kernel kills a child when the thread that started
/// it ends.
class ChildProcess
{
public:
  ChildProcess(const std::vector<std::string>& aCommand, std::filesystem::path aLogFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int aSignal) const;
  [[nodiscard]] bool IsRunning();
  [[nodiscard]] pid_t Pid() const noexcept { return m_pid; }
  /// \brief Waits for the child to end; returns its exit status, or minus the signal number.
  int WaitForExit();
  /// \brief Sends SIGKILL and reaps the child.
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

/// \brief Returns IP:PORT with a port of this IP address that is currently free.
[[nodiscard]] std::string FreeAddress(const std::string& aIp);

} // namespace pistachiostand::testing
