#pragma once

#include "pistachiostand/base/Endpoint.h"

#include <asio.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

/// \file
/// \brief TCP relay whose connections can be closed, or become unresponsive: they stay open but
/// forward nothing.

namespace pistachiostand::fleet::standin {

class SilentRelay
{
public:
  SilentRelay(asio::io_context& aLoop, const Endpoint& aListen, const Endpoint& aTarget)
    : m_loop(aLoop)
    , m_acceptor(aLoop, ToTcp(aListen))
    , m_target(ToTcp(aTarget))
  {
    Accept();
  }

  /// \brief Stops forwarding on the open connections permanently.
  void Silence()
  {
    for (const auto& each : std::exchange(m_pipes, {})) {
      if (const auto pipe = each.lock()) {
        pipe->m_silent = true;
      }
    }
  }

  /// \brief Closes the open connections, as the restart of the target does.
  void Reset()
  {
    for (const auto& each : std::exchange(m_pipes, {})) {
      if (const auto pipe = each.lock()) {
        pipe->Close();
      }
    }
  }

  /// New connections forward nothing.
  bool m_cut{};
  std::size_t m_responseBytesPerS{}; ///< Rate limit of each connection to its client; 0: none.

private:
  using Tcp = asio::ip::tcp;
  using Buffer = std::array<char, 4'096>;

  static Tcp::endpoint ToTcp(const Endpoint& aEndpoint)
  {
    return { asio::ip::make_address(aEndpoint.m_ip), aEndpoint.m_port };
  }

  struct Pipe : std::enable_shared_from_this<Pipe>
  {
    Pipe(Tcp::socket aIn, const std::size_t& aResponseBytesPerS)
      : m_in(std::move(aIn))
      , m_out(m_in.get_executor())
      , m_timer(m_in.get_executor())
      , m_responseBytesPerS(aResponseBytesPerS)
    {
    }

    /// \brief Continues at once, or after the transmission time of the bytes on a slow link.
    void ForwardAfter(std::size_t aSize, Tcp::socket& aFrom, Tcp::socket& aTo, Buffer& aBuffer)
    {
      if (&aFrom == &m_in || m_responseBytesPerS == 0) {
        Forward(aFrom, aTo, aBuffer);
        return;
      }
      m_timer.expires_after(std::chrono::microseconds{ 1'000'000 * aSize / m_responseBytesPerS });
      m_timer.async_wait([self = shared_from_this(), &aFrom, &aTo, &aBuffer](const auto& aError) {
        if (!aError) {
          self->Forward(aFrom, aTo, aBuffer);
        }
      });
    }

    void Forward(Tcp::socket& aFrom, Tcp::socket& aTo, Buffer& aBuffer)
    {
      aFrom.async_read_some(asio::buffer(aBuffer), [self = shared_from_this(), &aFrom, &aTo,
                                                    &aBuffer](const auto& aError, auto aSize) {
        if (aError) {
          self->Close();
        } else if (self->m_silent) {
          self->Forward(aFrom, aTo, aBuffer);
        } else {
          asio::async_write(aTo, asio::buffer(aBuffer, aSize),
                            [self, &aFrom, &aTo, &aBuffer](const auto& aWriteError, auto aWritten) {
                              aWriteError ? self->Close()
                                          : self->ForwardAfter(aWritten, aFrom, aTo, aBuffer);
                            });
        }
      });
    }

    void Close()
    {
      std::error_code ignored;
      m_in.close(ignored);
      m_out.close(ignored);
    }

    Tcp::socket m_in;
    Tcp::socket m_out;
    asio::steady_timer m_timer;
    const std::size_t& m_responseBytesPerS;
    Buffer m_request{};
    Buffer m_response{};
    bool m_silent{};
  };

  void Accept()
  {
    m_acceptor.async_accept([this](const std::error_code& aError, Tcp::socket aSocket) {
      if (aError) {
        return;
      }
      auto pipe = std::make_shared<Pipe>(std::move(aSocket), m_responseBytesPerS);
      pipe->m_silent = m_cut;
      m_pipes.push_back(pipe);
      pipe->m_out.async_connect(m_target, [pipe](const std::error_code& aConnectError) {
        if (aConnectError) {
          pipe->Close();
          return;
        }
        pipe->Forward(pipe->m_in, pipe->m_out, pipe->m_request);
        pipe->Forward(pipe->m_out, pipe->m_in, pipe->m_response);
      });
      Accept();
    });
  }

  asio::io_context& m_loop;
  Tcp::acceptor m_acceptor;
  Tcp::endpoint m_target;
  std::vector<std::weak_ptr<Pipe>> m_pipes;
};

} // namespace pistachiostand::fleet::standin
