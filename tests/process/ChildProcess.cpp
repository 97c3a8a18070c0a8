#include "ChildProcess.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace pistachiostand::testing {

namespace {

/// Runs in the child between fork and exec, so it makes only async-signal-safe calls.
[[noreturn]] void Execute(char* const* aArguments, int aLog, pid_t aParent)
{
  constexpr int kExecFailed = 127;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != aParent) {
    _exit(kExecFailed);
  }
  dup2(aLog, STDOUT_FILENO);
  dup2(aLog, STDERR_FILENO);
  execv(aArguments[0], aArguments);
  _exit(kExecFailed);
}

} // namespace

void WaitUntil(const std::string& aWhat, const std::function<bool()>& aCondition,
               std::chrono::milliseconds aLimit)
{
  constexpr std::chrono::milliseconds kInterval{ 10 };
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      throw std::runtime_error("timed out while waiting for: " + aWhat);
    }
    std::this_thread::sleep_for(kInterval);
  }
}

ChildProcess::ChildProcess(const std::vector<std::string>& aCommand, std::filesystem::path aLogFile)
  : m_logFile(std::move(aLogFile))
{
  const int log = open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) {
    throw std::runtime_error("cannot write " + m_logFile.string());
  }
  m_logStart = std::filesystem::file_size(m_logFile);
  auto command = aCommand;
  std::vector<char*> arguments(command.size() + 1, nullptr);
  std::transform(command.begin(), command.end(), arguments.begin(),
                 [](std::string& aArgument) { return aArgument.data(); });
  const pid_t parent = getpid();
  m_pid = fork();
  if (m_pid == 0) {
    Execute(arguments.data(), log, parent);
  }
  close(log);
  if (m_pid < 0) {
    throw std::runtime_error("cannot start " + aCommand.front());
  }
}

ChildProcess::~ChildProcess()
{
  Kill();
}

void ChildProcess::Signal(int aSignal) const
{
  if (!m_exit) {
    kill(m_pid, aSignal);
  }
}

bool ChildProcess::IsRunning()
{
  int status = 0;
  if (!m_exit && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_exit = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return !m_exit;
}

int ChildProcess::WaitForExit()
{
  WaitUntil("exit of the process with log " + m_logFile.string(), [this] { return !IsRunning(); });
  return *m_exit;
}

void ChildProcess::Kill()
{
  if (IsRunning()) {
    kill(m_pid, SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_exit = -SIGKILL;
  }
}

std::string ChildProcess::Output() const
{
  std::ifstream input(m_logFile);
  input.seekg(static_cast<std::streamoff>(m_logStart));
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

std::string ChildProcess::WaitForAddress()
{
  const std::string prefix = "listening on ";
  std::string address;
  WaitUntil("ready line in " + m_logFile.string(), [&] {
    if (!IsRunning()) {
      throw std::runtime_error("child process ended before it was ready: " + Output());
    }
    const auto output = Output();
    const auto start = output.find(prefix);
    const auto end = start == std::string::npos ? start : output.find('\n', start);
    if (end != std::string::npos) {
      address = output.substr(start + prefix.size(), end - start - prefix.size());
    }
    return !address.empty();
  });
  return address;
}

std::string FreeAddress(const std::string& aIp)
{
  const int socketFd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const bool isBound = bind(socketFd, generic, size) == 0;
  getsockname(socketFd, generic, &size);
  close(socketFd);
  if (!isBound) {
    throw std::runtime_error("no free port on " + aIp);
  }
  return aIp + ":" + std::to_string(ntohs(address.sin_port));
}

} // namespace pistachiostand::testing
