#include "ChildProcess.h"
#include "HttpRequest.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

/// \file
/// \brief An entry instance under callers that send too much, too slowly or never to the end.
///
/// The crowd and the bounds are the stated target (160 MB and 4,100 descriptors with 600 callers
/// of each kind) scaled to 180 callers. OVERLOAD_CALLERS=600 runs the target itself.

namespace pistachiostand::testing {
namespace {

namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t kTargetCallers = 600;
constexpr std::size_t kTargetMemoryMb = 160;
constexpr std::size_t kTargetDescriptors = 4'100;
constexpr std::size_t kBodyBytes = 262'144;
constexpr const char* kQueue = "/pool-0/";

std::size_t Callers()
{
  constexpr std::size_t kDefault = 180;
  const char* text = std::getenv("OVERLOAD_CALLERS");
  return text == nullptr ? kDefault : std::strtoul(text, nullptr, 10);
}

std::size_t MemoryMb()
{
  return kTargetMemoryMb * Callers() / kTargetCallers;
}

std::size_t Descriptors()
{
  return kTargetDescriptors * Callers() / kTargetCallers;
}

/// \brief What one caller of a crowd sends.
struct Behaviour
{
  std::string m_head;
  std::string m_body;
  std::size_t m_pieceBytes = 65'536; ///< Largest number of bytes of one write.
  milliseconds m_pause{ 0 };         ///< Between two writes of one caller.
  bool m_reads = false;              ///< Reads what is sent to it.
  int m_receiveBytes = 0;            ///< Size of the receive buffer; 0: the system's default.
};

std::string Head(const std::string& aMethod, const std::string& aTarget, const std::string& aFields)
{
  return aMethod + " " + aTarget + " HTTP/1.1\r\nHost: jobs.example\r\n" + aFields + "\r\n";
}

std::string WithLength(const std::string& aTarget, std::size_t aBytes)
{
  return Head("POST", aTarget, "Content-Length: " + std::to_string(aBytes) + "\r\n");
}

std::string Chunks(std::size_t aBytes, std::size_t aChunkBytes)
{
  std::ostringstream size;
  size << std::hex << aChunkBytes << "\r\n";
  const std::string chunk = size.str() + std::string(aChunkBytes, 'x') + "\r\n";
  std::string out;
  for (std::size_t sent = 0; sent < aBytes; sent += aChunkBytes) {
    out += chunk;
  }
  return out;
}

std::string Repeated(std::string_view aText, std::size_t aBytes)
{
  std::string out;
  while (out.size() + aText.size() <= aBytes) {
    out += aText;
  }
  return out;
}

class Crowd
{
public:
  Crowd(const std::string& aAddress, std::size_t aCallers, const Behaviour& aBehaviour)
    : m_behaviour(aBehaviour)
    , m_callers(aCallers)
  {
    for (auto& caller : m_callers) {
      caller.m_socket = Connect(aAddress, aBehaviour.m_receiveBytes);
    }
  }

  ~Crowd()
  {
    for (const auto& caller : m_callers) {
      if (caller.m_socket >= 0) {
        close(caller.m_socket);
      }
    }
  }

  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// \brief Sends until everything is sent, all connections are closed, nothing has been taken for
  /// a while or the limit is reached.
  void Send(milliseconds aLimit)
  {
    constexpr milliseconds kStalled{ 1'500 };
    const auto end = Clock::now() + aLimit;
    auto lastProgress = Clock::now();
    while (Clock::now() < end && Clock::now() - lastProgress < kStalled && HasWork()) {
      bool progress = false;
      for (auto& caller : m_callers) {
        progress = Step(caller) || progress;
      }
      if (progress) {
        lastProgress = Clock::now();
      } else {
        std::this_thread::sleep_for(milliseconds{ 2 });
      }
    }
  }

  [[nodiscard]] std::size_t SentBytes() const
  {
    std::size_t sum = 0;
    for (const auto& caller : m_callers) {
      sum += caller.m_sent;
    }
    return sum;
  }

private:
  struct Caller
  {
    int m_socket = -1;
    std::size_t m_sent = 0;
    Clock::time_point m_next;
  };

  static int Connect(const std::string& aAddress, int aReceiveBytes)
  {
    const auto colon = aAddress.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(aAddress.substr(colon + 1))));
    inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (aReceiveBytes > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof(aReceiveBytes));
    }
    // The result is seen when the caller sends.
    static_cast<void>(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    return fd;
  }

  [[nodiscard]] std::size_t Size() const
  {
    return m_behaviour.m_head.size() + m_behaviour.m_body.size();
  }

  [[nodiscard]] bool HasWork() const
  {
    return std::any_of(m_callers.begin(), m_callers.end(), [this](const Caller& aCaller) {
      return aCaller.m_socket >= 0 && aCaller.m_sent < Size();
    });
  }

  bool Step(Caller& aCaller)
  {
    if (aCaller.m_socket < 0 || Clock::now() < aCaller.m_next) {
      return false;
    }
    if (m_behaviour.m_reads) {
      std::array<char, 4'096> buffer{};
      recv(aCaller.m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    }
    const auto& head = m_behaviour.m_head;
    const std::string& part = aCaller.m_sent < head.size() ? head : m_behaviour.m_body;
    const std::size_t from =
      aCaller.m_sent < head.size() ? aCaller.m_sent : aCaller.m_sent - head.size();
    const std::size_t count = std::min(part.size() - from, m_behaviour.m_pieceBytes);
    if (count == 0) {
      return false;
    }
    const auto sent =
      send(aCaller.m_socket, part.data() + from, count, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      aCaller.m_sent += static_cast<std::size_t>(sent);
      aCaller.m_next = Clock::now() + m_behaviour.m_pause;
      return true;
    }
    if (errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS) {
      close(aCaller.m_socket);
      aCaller.m_socket = -1;
    }
    return false;
  }

  const Behaviour& m_behaviour;
  std::vector<Caller> m_callers;
};

class OverloadFaultTest : public ::testing::Test
{
protected:
  OverloadFaultTest()
    : m_directory(fs::temp_directory_path() / ("overload-" + std::to_string(getpid())))
  {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    fs::create_directories(m_directory);
  }

  ~OverloadFaultTest() override
  {
    m_entry.reset();
    m_platform.reset();
    if (!HasFailure()) {
      fs::remove_all(m_directory);
    }
  }

  void SetUp() override { Start(MemoryMb(), Descriptors()); }

  void Start(std::size_t aMemoryMb, std::size_t aDescriptors)
  {
    m_entry.reset();
    m_platform.reset();
    const std::string binaries = BINARY_DIR;
    m_platform = std::make_unique<ChildProcess>(
      std::vector<std::string>{ binaries + "/tests/prepared_standin", "--port=23700", "--servers=2",
                                "--run-ms=100", "--for-s=600" },
      m_directory / "platform.log");
    const auto settings = m_directory / "entry.toml";
    std::ofstream{ settings } << Settings(aMemoryMb, aDescriptors);
    m_entry = std::make_unique<ChildProcess>(
      std::vector<std::string>{ binaries + "/pistachiostand-entry", settings.string() },
      m_directory / "entry.log");
    WaitUntil("an ordinary request is served", [] { return IsServed() && IsReady(); });
  }

  static std::string Settings(std::size_t aMemoryMb, std::size_t aDescriptors)
  {
    std::ostringstream text;
    text << "[entry]\nid = \"e1\"\nzone = \"z1\"\nprocessor_share = 1\n"
         << "[listen]\ncallers = \"" << kCallers << "\"\nready = \"" << kReady << "\"\nentries = \""
         << kEntries << "\"\nmetrics = \"" << kMetrics << "\"\n"
         << "[store]\naddress = \"127.0.0.1:23700\"\nwrites_per_s = 200\nreads_per_s = 200\n"
         << "partitions = 4\n"
         << "[instances]\naddress = \"127.0.0.1:23719\"\norders_per_s = 1\nlists_per_s = 1\n"
         << "[bounds]\nmax_lease_ms = 6000\nstop_ms = 3000\ncontact_ms = 3000\ngrace_s = 6\n"
         << "exclusive_ms = 3000\ndrain_ms = 6000\nkeep_state_s = 120\nearly_ms = 100\n"
         << "remote_factor = 1.5\nnotice_ms = 500\nmove_s = 5\nmaintenance_s = 10\n"
         << "harm_ms = 500\npace_ms = 500\n"
         << "[limits]\nmemory_mb = " << aMemoryMb << "\nmax_fds = " << aDescriptors
         << "\nlink_mbps = 100\n";
    return text.str();
  }

  [[nodiscard]] static bool IsReady()
  {
    return SendRequest({ "GET", kReady, "/readyz", {}, {}, milliseconds{ 5'000 } }).m_status == 200;
  }

  [[nodiscard]] static HttpResponse Ask(const std::string& aMethod, const std::string& aTarget,
                                        const std::string& aBody = {})
  {
    return SendRequest(
      { aMethod, kCallers, aTarget, { { "Host", "jobs.example" } }, aBody, milliseconds{ 5'000 } });
  }

  [[nodiscard]] static bool IsServed() { return Ask("GET", kQueue).m_status == 200; }

  /// \brief Hands in a job of two steps; a caller retries the same job until it is accepted.
  static std::string Submit(int aNumber)
  {
    std::ostringstream path;
    path << kQueue << "00000000000000" << std::hex << 0x10 + aNumber;
    WaitUntil("job " + path.str() + " is accepted", [&path] {
      const std::string step = R"({"count":2,"cpu":1000,"mem-mb":100,"estimated-ms":100)";
      return Ask("POST", path.str(),
                 R"({"spec":"work","steps":[)" + step + "}," + step + R"(,"after":[0]}]})")
               .m_status == 200;
    });
    return path.str();
  }

  static void WaitForCompletion(const std::string& aPath)
  {
    WaitUntil("job " + aPath + " is completed",
              [&aPath] { return Ask("GET", aPath).Field("state") == "completed"; });
  }

  /// \brief A figure of /proc/PID/status in megabytes.
  [[nodiscard]] std::size_t StatusMb(const std::string& aName) const
  {
    std::ifstream status("/proc/" + std::to_string(Pid()) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.starts_with(aName + ":")) {
        return std::stoul(line.substr(aName.size() + 1)) / 1'024;
      }
    }
    return 0;
  }

  [[nodiscard]] std::size_t OpenDescriptors() const
  {
    const fs::directory_iterator files("/proc/" + std::to_string(Pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
  }

  [[nodiscard]] int Pid() const { return m_entry->Pid(); }

  void CheckBounds(std::size_t aMemoryMb, std::size_t aDescriptors)
  {
    ASSERT_TRUE(m_entry->IsRunning()) << m_entry->Output();
    EXPECT_LT(StatusMb("VmRSS"), aMemoryMb);
    EXPECT_LT(StatusMb("VmHWM"), aMemoryMb);
    EXPECT_LT(OpenDescriptors(), aDescriptors);
  }

  /// \brief Lets a crowd loose on each address in turn and checks the invariants.
  void Play(const std::function<Behaviour(const std::string&)>& aBehaviour,
            milliseconds aLimit = milliseconds{ 6'000 })
  {
    struct Target
    {
      const char* m_name;
      const char* m_address;
      const char* m_path;
    };
    const std::array<Target, 5> targets{ { { "queue", kCallers, "/pool-0/00000000000000aa" },
                                           { "no queue", kCallers, "/nowhere/at/all" },
                                           { "readiness", kReady, "/readyz" },
                                           { "metrics", kMetrics, "/metrics" },
                                           { "entries", kEntries, "/submissions" } } };
    int job = 0;
    for (const auto& target : targets) {
      SCOPED_TRACE(target.m_name);
      const auto before = Submit(job++);
      const Behaviour behaviour = aBehaviour(target.m_path);
      {
        Crowd crowd{ target.m_address, Callers(), behaviour };
        crowd.Send(aLimit);
        // What has been sent may still be in buffers of the kernel.
        std::this_thread::sleep_for(milliseconds{ 1'000 });
        const auto during = Submit(job++);
        CheckBounds(MemoryMb(), Descriptors());
        std::printf("%-10s sent %zu kB, VmRSS %zu MB, VmHWM %zu MB, %zu descriptors\n",
                    target.m_name, crowd.SentBytes() / 1'024, StatusMb("VmRSS"), StatusMb("VmHWM"),
                    OpenDescriptors());
        WaitForCompletion(during);
      }
      WaitForCompletion(before);
      WaitUntil("an ordinary request is served", [] { return IsServed() && IsReady(); });
      ASSERT_FALSE(HasFatalFailure());
    }
    CheckBounds(MemoryMb(), Descriptors());
  }

  /// \brief Memory that a crowd has used is returned; half of the limit is left for a next one.
  void CheckMemoryIsReturned()
  {
    const auto end = Clock::now() + std::chrono::seconds{ 15 };
    while (StatusMb("VmRSS") >= MemoryMb() / 2 && Clock::now() < end) {
      std::this_thread::sleep_for(milliseconds{ 200 });
    }
    EXPECT_LT(StatusMb("VmRSS"), MemoryMb() / 2);
  }

  static constexpr const char* kCallers = "127.0.0.1:23710";
  static constexpr const char* kReady = "127.0.0.1:23711";
  static constexpr const char* kEntries = "127.0.0.1:23712";
  static constexpr const char* kMetrics = "127.0.0.1:23714";

  fs::path m_directory;
  std::unique_ptr<ChildProcess> m_platform;
  std::unique_ptr<ChildProcess> m_entry;
};

/// Guards against memory in proportion to the number of bodies that stop short of their end.
TEST_F(OverloadFaultTest, IncompleteBodies_InOnePiece_MemoryIsBounded)
{
  Play([](const std::string& aPath) {
    return Behaviour{ WithLength(aPath, kBodyBytes), std::string(kBodyBytes - 1, 'x') };
  });
  CheckMemoryIsReturned();
}

/// Guards against memory in proportion to incomplete bodies that arrive in small writes.
TEST_F(OverloadFaultTest, IncompleteBodies_InSmallPieces_MemoryIsBounded)
{
  Play([](const std::string& aPath) {
    return Behaviour{ WithLength(aPath, kBodyBytes), std::string(kBodyBytes - 1, 'x'), 1'000 };
  });
  CheckMemoryIsReturned();
}

/// Guards against the buffers of a chunked body, which grow by doubling because it states no
/// length.
TEST_F(OverloadFaultTest, IncompleteBodies_InChunks_MemoryIsBounded)
{
  Play([](const std::string& aPath) {
    return Behaviour{ Head("POST", aPath, "Transfer-Encoding: chunked\r\n"),
                      Chunks(kBodyBytes, 4'096) };
  });
  CheckMemoryIsReturned();
}

/// Guards against the record that is kept of each chunk, which is larger than a chunk of some
/// bytes.
TEST_F(OverloadFaultTest, IncompleteBodies_InTinyChunks_MemoryIsBounded)
{
  Play([](const std::string& aPath) {
    return Behaviour{ Head("POST", aPath, "Transfer-Encoding: chunked\r\n"),
                      Chunks(kBodyBytes / 16, 1) + Chunks(kBodyBytes / 2, 16) };
  });
  CheckMemoryIsReturned();
}

/// Guards against bodies over the limit of the configuration, of a stated length and in chunks.
TEST_F(OverloadFaultTest, BodiesOverTheLimit_MemoryIsBounded)
{
  constexpr std::size_t kLarge = 8 * kBodyBytes;
  constexpr std::size_t kOverRead = 4 * kBodyBytes;
  Play([](const std::string& aPath) {
    return Behaviour{ Head("POST", aPath, "Transfer-Encoding: chunked\r\n"),
                      Chunks(kLarge, 65'536) };
  });
  Play([](const std::string& aPath) {
    return Behaviour{ WithLength(aPath, kOverRead), std::string(kOverRead - 1, 'x') };
  });
  CheckMemoryIsReturned();
}

/// Guards against headers of very many and of long fields that never end.
TEST_F(OverloadFaultTest, ManyHeaderFields_MemoryIsBounded)
{
  Play([](const std::string& aPath) {
    return Behaviour{ "POST " + aPath + " HTTP/1.1\r\nHost: jobs.example\r\n",
                      Repeated("a: b\r\n", 16'000) };
  });
  Play([](const std::string& aPath) {
    return Behaviour{ "POST " + aPath + " HTTP/1.1\r\nHost: jobs.example\r\n",
                      Repeated("a: " + std::string(8'000, 'b') + "\r\n", 500'000) };
  });
  CheckMemoryIsReturned();
}

/// Guards against complete JSON bodies whose values take many times their text once they are
/// parsed.
TEST_F(OverloadFaultTest, ManyJsonFields_MemoryIsBounded)
{
  const auto json = [](std::string_view aBegin, std::string_view aItem, std::string_view aEnd) {
    std::string body{ aBegin };
    body += Repeated(aItem, kBodyBytes - aBegin.size() - aEnd.size() - 1);
    return body + "0" + std::string{ aEnd };
  };
  const std::array<std::string, 3> bodies{ json(R"({"spec":"work","steps":[],"x":[)", "0,", "]}"),
                                           json(R"({"spec":"work","steps":[)", "{},", "]}"),
                                           json(R"({"spec":"work","steps":[],"x":[)", R"({"a":0},)",
                                                "]}") };
  for (const auto& body : bodies) {
    Play([&body](const std::string& aPath) {
      return Behaviour{ WithLength(aPath, body.size()), body };
    });
  }
  CheckMemoryIsReturned();
}

/// Guards against requests that are served without end for a caller that reads no response.
TEST_F(OverloadFaultTest, PipelinedRequests_ResponsesNotRead_MemoryIsBounded)
{
  Play([](const std::string& aPath) {
    return Behaviour{ "", Repeated(Head("GET", aPath, ""), 2'000'000), 65'536, {}, false, 4'096 };
  });
  Play([](const std::string& aPath) {
    return Behaviour{
      "",     Repeated(WithLength(aPath, 100'000) + std::string(100'000, 'x'), 1'000'000),
      65'536, {},
      false,  4'096
    };
  });
  CheckMemoryIsReturned();
}

/// Guards against callers that send a few bytes at a time.
TEST_F(OverloadFaultTest, SlowSenders_OrdinaryRequestsAreServed)
{
  Play(
    [](const std::string& aPath) {
      return Behaviour{ WithLength(aPath, kBodyBytes), std::string(kBodyBytes - 1, 'x'), 3,
                        milliseconds{ 100 } };
    },
    milliseconds{ 4'000 });
}

/// Guards against callers that read a few bytes at a time.
TEST_F(OverloadFaultTest, SlowReaders_OrdinaryRequestsAreServed)
{
  Play(
    [](const std::string& aPath) {
      return Behaviour{ "",   Repeated(Head("GET", aPath, ""), 200'000),
                        20,   milliseconds{ 5 },
                        true, 4'096 };
    },
    milliseconds{ 4'000 });
}

/// Guards against callers that stop within the header and keep the connection open.
TEST_F(OverloadFaultTest, IncompleteHeaders_OrdinaryRequestsAreServed)
{
  Play([](const std::string& aPath) {
    return Behaviour{ "POST " + aPath + " HTTP/1.1\r\nHost: jobs.exam", "" };
  });
}

/// Guards against a crowd of connections that uses up the descriptors of the process.
TEST_F(OverloadFaultTest, IdleConnections_MoreThanDescriptors_OrdinaryRequestsAreServed)
{
  const std::size_t descriptors = Callers() * 5 / 6; // Fewer than callers at one address.
  Start(MemoryMb(), descriptors);
  const auto before = Submit(0);
  const Behaviour silent{};
  const Behaviour begun{ "POST /pool-0/00000000000000aa HTTP/1.1\r\nHost: jobs.exam", "" };
  for (const auto& behaviour : { silent, begun }) {
    Crowd callers{ kCallers, 2 * Callers(), behaviour };
    Crowd ready{ kReady, 2 * Callers(), behaviour };
    Crowd entries{ kEntries, 2 * Callers(), behaviour };
    Crowd metrics{ kMetrics, 2 * Callers(), behaviour };
    for (Crowd* crowd : { &callers, &ready, &entries, &metrics }) {
      crowd->Send(milliseconds{ 500 });
    }
    std::this_thread::sleep_for(milliseconds{ 1'000 });
    CheckBounds(MemoryMb(), descriptors);
    std::printf("%zu descriptors\n", OpenDescriptors());
  }
  WaitForCompletion(before);
  WaitForCompletion(Submit(1));
  EXPECT_TRUE(IsServed() && IsReady());
  CheckBounds(MemoryMb(), descriptors);
}

/// Guards against a refusal that the caller cannot tell from a lost connection.
TEST_F(OverloadFaultTest, Refusals_OfOneCaller_SayThatNothingHasRun)
{
  const std::string path = std::string{ kQueue } + "00000000000000aa";
  const auto tooLarge = ExchangeBytes(kCallers, WithLength(path, 4 * kBodyBytes) + "x");
  EXPECT_TRUE(tooLarge.starts_with("HTTP/1.1 413")) << tooLarge;
  EXPECT_NE(tooLarge.find("X-Outcome: not-run"), std::string::npos) << tooLarge;
  const auto begun = ExchangeBytes(kCallers, "POST " + path + " HTTP/1.1\r\nHost: jobs.exam");
  EXPECT_TRUE(begun.starts_with("HTTP/1.1 503")) << begun;
  EXPECT_NE(begun.find("Retry-After: 1"), std::string::npos) << begun;
  EXPECT_NE(begun.find("X-Outcome: not-run"), std::string::npos) << begun;
  const auto relayed = ExchangeBytes(
    kEntries, Head("POST", "/submissions", "Connection: close\r\nContent-Length: 3\r\n") + "abc");
  EXPECT_TRUE(relayed.starts_with("HTTP/1.1 400")) << relayed;
}

/// Guards against limits that cut a caller whose request is within the configuration's limits.
TEST_F(OverloadFaultTest, LargestBody_InSmallChunks_ReachesTheHandler)
{
  const auto response =
    ExchangeBytes(kCallers, Head("POST", std::string{ kQueue } + "00000000000000aa",
                                 "Connection: close\r\nTransfer-Encoding: chunked\r\n") +
                              Chunks(kBodyBytes, 16) + "0\r\n\r\n");
  EXPECT_TRUE(response.starts_with("HTTP/1.1 400")) << response; // The body is no JSON.
  EXPECT_EQ(response.find("not-run"), std::string::npos) << response;
}

} // namespace
} // namespace pistachiostand::testing
