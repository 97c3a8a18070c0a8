#include "cli/CurlTransport.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <thread>

namespace pistachiostand {
namespace {

constexpr Millis kTimeoutMs = 2000;

/// Accepts one connection on a free port, reads until `aUntil` has arrived, responds and closes.
class OneShotServer
{
public:
  OneShotServer(std::string aUntil, std::string aResponse)
    : m_until(std::move(aUntil))
    , m_response(std::move(aResponse))
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(m_listener, reinterpret_cast<sockaddr*>(&address), size), 0);
    EXPECT_EQ(listen(m_listener, 1), 0);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread{ [this] { Serve(); } };
  }

  OneShotServer(const OneShotServer&) = delete;
  OneShotServer& operator=(const OneShotServer&) = delete;
  ~OneShotServer() { Join(); }

  [[nodiscard]] Endpoint Address() const { return { "127.0.0.1", m_port }; }

  std::string Received()
  {
    Join();
    return m_received;
  }

private:
  void Serve()
  {
    const int connection = accept(m_listener, nullptr, nullptr);
    std::array<char, 4096> bytes{};
    while (m_received.find(m_until) == std::string::npos) {
      const auto count = recv(connection, bytes.data(), bytes.size(), 0);
      if (count <= 0) {
        break;
      }
      m_received.append(bytes.data(), static_cast<std::size_t>(count));
    }
    send(connection, m_response.data(), m_response.size(), MSG_NOSIGNAL);
    close(connection);
    close(m_listener);
  }

  void Join()
  {
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  std::string m_until;
  std::string m_response;
  int m_listener;
  std::uint16_t m_port{};
  std::string m_received;
  std::thread m_thread;
};

class CliCurlTransportTest : public ::testing::Test
{
protected:
  static TransportError ErrorOf(const TransportResult& aResult)
  {
    const auto* error = std::get_if<TransportError>(&aResult);
    EXPECT_NE(error, nullptr) << "there was a reply";
    return error == nullptr ? TransportError{} : *error;
  }

  /// A port on which nothing listens any more.
  static Endpoint ClosedPort()
  {
    OneShotServer server{ "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" };
    auto address = server.Address();
    EXPECT_TRUE(std::holds_alternative<HttpReply>(Exchange(address, StatusRequest(), kTimeoutMs)));
    return address;
  }
};

// Guards against a request that the daemon cannot parse, and against case-sensitive header names.
TEST_F(CliCurlTransportTest, Post_WithBody_IsSentAndAnswered)
{
  OneShotServer server{
    "rules text", "HTTP/1.1 409 Conflict\r\nX-Revision:  7 \r\nContent-Length: 4\r\n\r\nbody"
  };
  const auto result =
    Exchange(server.Address(), PublishRequest(3, "Ann Lee", "rules text"), kTimeoutMs);
  const auto* reply = std::get_if<HttpReply>(&result);
  ASSERT_NE(reply, nullptr);
  EXPECT_EQ(reply->m_status, 409);
  EXPECT_EQ(reply->m_body, "body");
  EXPECT_EQ(reply->m_headers.at("x-revision"), "7");
  const auto received = server.Received();
  EXPECT_EQ(received.find("POST /v1/rules?base=3&author=Ann%20Lee HTTP/1.1\r\n"), 0U);
  EXPECT_NE(received.find("Content-Type: application/toml\r\n"), std::string::npos);
  EXPECT_EQ(received.find("Expect:"), std::string::npos);
}

// Guards against exit code 4 when nothing was sent.
TEST_F(CliCurlTransportTest, Connection_WhenRefused_CountsAsNotSent)
{
  EXPECT_FALSE(ErrorOf(Exchange(ClosedPort(), PublishRequest(1, "A", "t"), kTimeoutMs)).m_sent);
}

// Guards against "nothing was changed" after the daemon received a publish and disconnected.
TEST_F(CliCurlTransportTest, Connection_ClosedWithoutReply_CountsAsSent)
{
  OneShotServer server{ "text", "" };
  EXPECT_TRUE(
    ErrorOf(Exchange(server.Address(), PublishRequest(1, "A", "text"), kTimeoutMs)).m_sent);
}

// Guards against a truncated body that counts as a reply.
TEST_F(CliCurlTransportTest, Reply_WhenTruncated_IsAnError)
{
  OneShotServer server{ "\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf" };
  EXPECT_TRUE(ErrorOf(Exchange(server.Address(), StatusRequest(), kTimeoutMs)).m_sent);
}

// Guards against a command that hangs on an unresponsive daemon.
TEST_F(CliCurlTransportTest, Reply_ThatDoesNotCome_EndsWithTheTimeout)
{
  OneShotServer server{ "never sent", "" };
  EXPECT_TRUE(ErrorOf(Exchange(server.Address(), StatusRequest(), 100)).m_sent);
}

} // namespace
} // namespace pistachiostand
