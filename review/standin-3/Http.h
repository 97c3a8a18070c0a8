#pragma once

#include <asio.hpp>

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

/// \file
/// \brief A small HTTP/1.1 server for stand-ins. Unlike the project's own, it can break all its
/// connections at once, as a process does that ends.

namespace review {

struct Request
{
  std::string m_method;
  std::string m_target;
  std::map<std::string, std::string> m_headers; ///< By lower-case name.
  std::string m_body;
};

struct Response
{
  int m_status{ 200 };
  std::string m_body;
};

/// \brief Completes a request; dropping it leaves the caller without a response.
using Responder = std::function<void(Response)>;
using Handler = std::function<void(const Request&, Responder)>;

class Server
{
public:
  Server(asio::io_context& aLoop, std::uint16_t aPort, Handler aHandler)
    : m_loop(aLoop)
    , m_port(aPort)
    , m_handler(std::move(aHandler))
  {
    Open();
  }

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server() { Close(); }

  /// \brief Listens again after Close().
  void Open()
  {
    const asio::ip::tcp::endpoint endpoint{ asio::ip::address_v4::loopback(), m_port };
    m_acceptor = std::make_shared<asio::ip::tcp::acceptor>(m_loop);
    m_acceptor->open(endpoint.protocol());
    m_acceptor->set_option(asio::socket_base::reuse_address(true));
    m_acceptor->bind(endpoint);
    m_acceptor->listen();
    Accept(m_acceptor);
  }

  /// \brief Ends the listener and all connections, as the end of the process does.
  void Close()
  {
    std::error_code ignored;
    if (m_acceptor) {
      m_acceptor->close(ignored);
      m_acceptor.reset();
    }
    for (const auto& session : std::exchange(m_sessions, {})) {
      session->m_closed = true;
      session->m_socket.close(ignored);
    }
  }

private:
  struct Session
  {
    explicit Session(asio::ip::tcp::socket aSocket)
      : m_socket(std::move(aSocket))
    {
    }
    asio::ip::tcp::socket m_socket;
    std::string m_input;
    std::array<char, 65'536> m_buffer{};
    bool m_busy{};
    bool m_closed{};
  };
  using SessionPtr = std::shared_ptr<Session>;

  void Accept(const std::shared_ptr<asio::ip::tcp::acceptor>& aAcceptor)
  {
    aAcceptor->async_accept(
      [this, aAcceptor](std::error_code aError, asio::ip::tcp::socket aSocket) {
        if (aError || aAcceptor != m_acceptor) {
          return;
        }
        aSocket.set_option(asio::ip::tcp::no_delay(true), aError);
        auto session = std::make_shared<Session>(std::move(aSocket));
        m_sessions.insert(session);
        Read(session);
        Accept(aAcceptor);
      });
  }

  void Read(const SessionPtr& aSession)
  {
    aSession->m_socket.async_read_some(
      asio::buffer(aSession->m_buffer),
      [this, aSession](std::error_code aError, std::size_t aBytes) {
        if (aSession->m_closed) {
          return;
        }
        if (aError) {
          End(aSession);
          return;
        }
        aSession->m_input.append(aSession->m_buffer.data(), aBytes);
        Parse(aSession);
        Read(aSession);
      });
  }

  void End(const SessionPtr& aSession)
  {
    aSession->m_closed = true;
    std::error_code ignored;
    aSession->m_socket.close(ignored);
    m_sessions.erase(aSession);
  }

  void Parse(const SessionPtr& aSession)
  {
    const auto end = aSession->m_input.find("\r\n\r\n");
    if (aSession->m_busy || end == std::string::npos) {
      return;
    }
    Request request;
    std::size_t position = aSession->m_input.find("\r\n");
    const std::string first = aSession->m_input.substr(0, position);
    const auto space = first.find(' ');
    request.m_method = first.substr(0, space);
    request.m_target = first.substr(space + 1, first.rfind(' ') - space - 1);
    while (position < end) {
      const auto next = aSession->m_input.find("\r\n", position + 2);
      const std::string line = aSession->m_input.substr(position + 2, next - position - 2);
      const auto colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::ranges::transform(name, name.begin(),
                             [](unsigned char aChar) { return std::tolower(aChar); });
      const auto value = line.find_first_not_of(' ', colon + 1);
      request.m_headers[name] = value == std::string::npos ? "" : line.substr(value);
      position = next;
    }
    const std::size_t length = request.m_headers.contains("content-length")
                                 ? std::stoul(request.m_headers["content-length"])
                                 : 0;
    if (aSession->m_input.size() < end + 4 + length) {
      return;
    }
    request.m_body = aSession->m_input.substr(end + 4, length);
    aSession->m_input.erase(0, end + 4 + length);
    aSession->m_busy = true;
    m_handler(request, [this, weak = std::weak_ptr<Session>(aSession)](const Response& aResponse) {
      if (const auto session = weak.lock(); session && !session->m_closed) {
        Write(session, aResponse);
      }
    });
  }

  void Write(const SessionPtr& aSession, const Response& aResponse)
  {
    auto text = std::make_shared<std::string>(
      "HTTP/1.1 " + std::to_string(aResponse.m_status) +
      " Status\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(aResponse.m_body.size()) + "\r\n\r\n" + aResponse.m_body);
    asio::async_write(aSession->m_socket, asio::buffer(*text),
                      [this, aSession, text](std::error_code aError, std::size_t /*aBytes*/) {
                        if (aSession->m_closed) {
                          return;
                        }
                        if (aError) {
                          End(aSession);
                          return;
                        }
                        aSession->m_busy = false;
                        Parse(aSession);
                      });
  }

  asio::io_context& m_loop;
  std::uint16_t m_port;
  Handler m_handler;
  std::shared_ptr<asio::ip::tcp::acceptor> m_acceptor;
  std::set<SessionPtr> m_sessions;
};

} // namespace review
