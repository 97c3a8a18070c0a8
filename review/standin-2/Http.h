#pragma once

#include <asio.hpp>

#include <algorithm>
#include <cctype>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief A small HTTP/1.1 server whose listener and connections can be closed and opened again.

namespace review {

struct Request
{
  std::string m_method;
  std::string m_target;
  std::string m_headers; ///< All header lines, in lower case.
  std::string m_body;
};

using Respond = std::function<void(int aStatus, std::string aBody)>;
using Handler = std::function<void(const Request&, Respond)>;

class Server
{
public:
  Server(asio::io_context& aLoop, std::uint16_t aPort, Handler aHandler)
    : m_loop(aLoop)
    , m_endpoint(asio::ip::make_address("127.0.0.1"), aPort)
    , m_handler(std::move(aHandler))
    , m_reserved(aLoop)
  {
    m_reserved.open(asio::ip::tcp::v4());
    m_reserved.set_option(asio::socket_base::reuse_address(true));
    m_reserved.bind(m_endpoint);
    m_endpoint = m_reserved.local_endpoint();
  }

  void Open()
  {
    m_acceptor = std::make_unique<asio::ip::tcp::acceptor>(m_loop, m_endpoint);
    Accept();
  }

  /// \brief Closes the listener and resets all connections.
  void Close()
  {
    m_acceptor.reset();
    for (const auto& weak : std::exchange(m_connections, {})) {
      if (const auto connection = weak.lock()) {
        std::error_code ignored;
        connection->m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        connection->m_socket.close(ignored);
      }
    }
  }

  /// \brief Open connections stay open and get no answers any more; new ones work.
  void Silence()
  {
    for (const auto& weak : m_connections) {
      if (const auto connection = weak.lock()) {
        connection->m_isSilent = true;
      }
    }
  }

  [[nodiscard]] std::uint16_t Port() const { return m_endpoint.port(); }

private:
  struct Connection
  {
    explicit Connection(asio::ip::tcp::socket aSocket)
      : m_socket(std::move(aSocket))
    {
    }
    asio::ip::tcp::socket m_socket;
    std::string m_buffer;
    std::string m_out;
    bool m_isSilent{};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept()
  {
    m_acceptor->async_accept([this](const std::error_code& aError, asio::ip::tcp::socket aSocket) {
      if (aError) {
        return;
      }
      const auto connection = std::make_shared<Connection>(std::move(aSocket));
      std::erase_if(m_connections, [](const auto& aWeak) { return aWeak.expired(); });
      m_connections.push_back(connection);
      ReadHead(connection);
      Accept();
    });
  }

  void ReadHead(const ConnectionPtr& aConnection)
  {
    asio::async_read_until(aConnection->m_socket, asio::dynamic_buffer(aConnection->m_buffer),
                           "\r\n\r\n",
                           [this, aConnection](const std::error_code& aError, std::size_t aSize) {
                             if (!aError) {
                               ReadBody(aConnection, aConnection->m_buffer.substr(0, aSize));
                             }
                           });
  }

  void ReadBody(const ConnectionPtr& aConnection, const std::string& aHead)
  {
    Request request;
    const auto space = aHead.find(' ');
    request.m_method = aHead.substr(0, space);
    request.m_target = aHead.substr(space + 1, aHead.find(' ', space + 1) - space - 1);
    request.m_headers = aHead;
    std::ranges::transform(request.m_headers, request.m_headers.begin(),
                           [](unsigned char aOne) { return std::tolower(aOne); });
    const auto length = request.m_headers.find("\r\ncontent-length:");
    const std::size_t size =
      length == std::string::npos ? 0 : std::stoul(request.m_headers.substr(length + 17));
    const std::size_t whole = aHead.size() + size;
    auto done = [this, aConnection, request, whole](const std::error_code& aError,
                                                    std::size_t /*aRead*/) mutable {
      if (aError) {
        return;
      }
      request.m_body =
        aConnection->m_buffer.substr(request.m_headers.size(), whole - request.m_headers.size());
      aConnection->m_buffer.erase(0, whole);
      if (aConnection->m_isSilent) {
        m_silent.push_back(aConnection); // The request is lost; the connection stays open.
        return;
      }
      m_handler(request, [this, aConnection](int aStatus, std::string aBody) {
        Answer(aConnection, aStatus, std::move(aBody));
      });
    };
    const std::size_t buffered = aConnection->m_buffer.size();
    if (buffered >= whole) {
      done({}, 0);
    } else {
      asio::async_read(aConnection->m_socket, asio::dynamic_buffer(aConnection->m_buffer),
                       asio::transfer_exactly(whole - buffered), done);
    }
  }

  void Answer(const ConnectionPtr& aConnection, int aStatus, std::string aBody)
  {
    if (aConnection->m_isSilent) {
      m_silent.push_back(aConnection);
      return;
    }
    if (!aConnection->m_socket.is_open()) {
      return;
    }
    aConnection->m_out = "HTTP/1.1 " + std::to_string(aStatus) +
                         " Status\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    asio::async_write(aConnection->m_socket, asio::buffer(aConnection->m_out),
                      [this, aConnection](const std::error_code& aError, std::size_t /*aSize*/) {
                        if (!aError) {
                          ReadHead(aConnection);
                        }
                      });
  }

  asio::io_context& m_loop;
  asio::ip::tcp::endpoint m_endpoint;
  Handler m_handler;
  asio::ip::tcp::socket m_reserved; ///< Keeps the port while the listener is closed.
  std::unique_ptr<asio::ip::tcp::acceptor> m_acceptor;
  std::vector<std::weak_ptr<Connection>> m_connections;
  std::vector<ConnectionPtr> m_silent;
};

} // namespace review
