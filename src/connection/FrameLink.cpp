#include "pistachiostand/connection/FrameLink.h"

#include <asio.hpp>

#include <array>
#include <chrono>
#include <utility>

namespace pistachiostand {

namespace {

using Tcp = asio::ip::tcp;

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;

Tcp::endpoint ToTcp(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.m_ip), aEndpoint.m_port };
}

std::size_t ReadLength(const char* aBytes)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(aBytes[i]);
  }
  return length;
}

class TcpFrameLink final
  : public FrameLink
  , public std::enable_shared_from_this<TcpFrameLink>
{
public:
  explicit TcpFrameLink(Tcp::socket aSocket)
    : m_socket(std::move(aSocket))
    , m_timer(m_socket.get_executor())
  {
  }

  void SetHandlers(FrameHandlers aHandlers) { m_handlers = std::move(aHandlers); }

  void Connect(const Endpoint& aPeer, Millis aTimeoutMs)
  {
    m_timer.expires_after(std::chrono::milliseconds{ aTimeoutMs });
    m_timer.async_wait([self = shared_from_this()](const std::error_code& aError) {
      if (!aError) {
        self->Fail("no connection in time");
      }
    });
    m_socket.async_connect(ToTcp(aPeer), [self = shared_from_this()](const auto& aError) {
      self->m_timer.cancel();
      if (self->m_closed) {
        return;
      }
      if (aError) {
        self->Fail(aError.message());
        return;
      }
      self->StartReading();
      if (self->m_handlers.m_onOpen) {
        self->m_handlers.m_onOpen();
      }
      self->ScheduleWrite();
    });
  }

  /// \brief Starts reading; writes are allowed from now on.
  void StartReading()
  {
    std::error_code ignored;
    m_socket.set_option(Tcp::no_delay{ true }, ignored);
    m_open = true;
    Read();
  }

  void Send(std::string_view aFrame) override
  {
    if (m_closed) {
      return;
    }
    if (m_queuedWrite.size() + aFrame.size() > kMaxLinkBacklogBytes) {
      asio::post(m_socket.get_executor(),
                 [self = shared_from_this()] { self->Fail("the peer reads too slowly"); });
      return;
    }
    for (std::size_t shift = kLengthBytes; shift != 0; --shift) {
      m_queuedWrite += static_cast<char>((aFrame.size() >> (8 * (shift - 1))) & 0xffU);
    }
    m_queuedWrite += aFrame;
    ScheduleWrite();
  }

  void Close() override
  {
    m_closed = true;
    m_timer.cancel();
    std::error_code ignored;
    m_socket.close(ignored);
  }

private:
  void Fail(std::string_view aCause)
  {
    if (m_closed) {
      return;
    }
    Close();
    const std::string cause{ aCause };
    // A handler may release the link, and with it the handlers themselves.
    const auto handlers = std::move(m_handlers);
    if (handlers.m_onClosed) {
      handlers.m_onClosed(cause);
    }
  }

  void ScheduleWrite()
  {
    if (!m_open || m_writing || m_queuedWrite.empty()) {
      return;
    }
    m_writing = true;
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->Write(); });
  }

  void Write()
  {
    if (m_closed) {
      return;
    }
    m_activeWrite.clear();
    std::swap(m_activeWrite, m_queuedWrite);
    asio::async_write(m_socket, asio::buffer(m_activeWrite),
                      [self = shared_from_this()](const std::error_code& aError, std::size_t) {
                        if (aError) {
                          self->Fail(aError.message());
                          return;
                        }
                        self->m_writing = false;
                        self->ScheduleWrite();
                      });
  }

  void Read()
  {
    m_socket.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](const std::error_code& aError, std::size_t aSize) {
        if (aError) {
          self->Fail(aError.message());
        } else if (!self->m_closed) {
          self->m_received.append(self->m_buffer.data(), aSize);
          self->DispatchFrames();
        }
      });
  }

  void DispatchFrames()
  {
    std::size_t begin = 0;
    while (!m_closed && m_received.size() - begin >= kLengthBytes) {
      const std::size_t length = ReadLength(m_received.data() + begin);
      if (length > kMaxFrameBytes) {
        Fail("a frame exceeds the limit");
        return;
      }
      if (m_received.size() - begin - kLengthBytes < length) {
        break;
      }
      const auto handler = m_handlers.m_onFrame;
      handler(std::string_view{ m_received }.substr(begin + kLengthBytes, length));
      begin += kLengthBytes + length;
    }
    if (!m_closed) {
      m_received.erase(0, begin);
      Read();
    }
  }

  Tcp::socket m_socket;
  asio::steady_timer m_timer;
  FrameHandlers m_handlers;
  std::array<char, kReadBytes> m_buffer{};
  std::string m_received;
  std::string m_activeWrite; ///< Being written.
  std::string m_queuedWrite;
  bool m_open{};
  bool m_writing{};
  bool m_closed{};
};

class TcpFrameListener final : public FrameListener
{
public:
  TcpFrameListener(asio::io_context& aLoop, const Endpoint& aListen, Accept aAccept)
    : m_acceptor(aLoop, ToTcp(aListen))
    , m_accept(std::move(aAccept))
  {
    AcceptNext();
  }

  [[nodiscard]] Endpoint Address() const override
  {
    const auto local = m_acceptor.local_endpoint();
    return { local.address().to_string(), local.port() };
  }

private:
  void AcceptNext()
  {
    m_acceptor.async_accept([this, alive = std::weak_ptr<int>(m_alive)](
                              const std::error_code& aError, Tcp::socket aSocket) {
      // Destroying the listener does not cancel an accept that has already completed.
      if (!alive.lock() || aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        const auto link = std::make_shared<TcpFrameLink>(std::move(aSocket));
        link->SetHandlers(m_accept(link));
        link->StartReading();
      }
      AcceptNext();
    });
  }

  Tcp::acceptor m_acceptor;
  Accept m_accept;
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace

std::shared_ptr<FrameLink> FrameLink::Dial(asio::io_context& aLoop, const Endpoint& aPeer,
                                           Millis aTimeoutMs, FrameHandlers aHandlers)
{
  auto link = std::make_shared<TcpFrameLink>(Tcp::socket{ aLoop });
  link->SetHandlers(std::move(aHandlers));
  link->Connect(aPeer, aTimeoutMs);
  return link;
}

std::unique_ptr<FrameListener> FrameListener::Create(asio::io_context& aLoop,
                                                     const Endpoint& aListen, Accept aAccept,
                                                     Reason& aReason)
{
  try {
    return std::make_unique<TcpFrameListener>(aLoop, aListen, std::move(aAccept));
  } catch (const std::exception& error) {
    aReason = { ReasonKind::Unreachable,
                "cannot listen on " + ToString(aListen) + ": " + error.what(),
                "choose a free address for the connections from carriers",
                {} };
    return nullptr;
  }
}

} // namespace pistachiostand
