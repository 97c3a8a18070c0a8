#include "pistachiostand/connection/PeerMesh.h"

#include <asio.hpp>
#include <spdlog/spdlog.h>

#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <optional>

namespace pistachiostand {

namespace {

using Tcp = asio::ip::tcp;

constexpr std::size_t kPrefixBytes = 4;
constexpr std::chrono::milliseconds kRedialDelay{ 500 };
/// Detects a peer that vanished without closing. Heartbeats must arrive more often; by default they
/// are sent twice a second.
constexpr std::chrono::seconds kReadTimeout{ 10 };

Tcp::endpoint ToTcp(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.m_ip), aEndpoint.m_port };
}

std::shared_ptr<const std::string> MakeFrame(const PeerMessage& aMessage)
{
  const std::string body = EncodePeerMessage(aMessage);
  std::string frame;
  for (unsigned shift = 32; shift != 0; shift -= 8) {
    frame += static_cast<char>((body.size() >> (shift - 8)) & 0xffU);
  }
  return std::make_shared<const std::string>(frame + body);
}

/// \brief An accepted connection, which is only read.
class Inbound : public std::enable_shared_from_this<Inbound>
{
public:
  Inbound(Tcp::socket aSocket, const PeerHandler& aHandler)
    : m_socket(std::move(aSocket))
    , m_timer(m_socket.get_executor())
    , m_handler(aHandler)
  {
  }

  void Start() { ReadPrefix(); }

private:
  void Arm()
  {
    m_timer.expires_after(kReadTimeout);
    m_timer.async_wait([self = shared_from_this()](const std::error_code& aError) {
      if (!aError) {
        std::error_code ignored;
        self->m_socket.close(ignored);
      }
    });
  }

  void ReadPrefix()
  {
    Arm();
    asio::async_read(m_socket, asio::buffer(m_prefix),
                     [self = shared_from_this()](const std::error_code& aError, std::size_t) {
                       aError ? self->Close() : self->ReadBody();
                     });
  }

  void ReadBody()
  {
    std::size_t size = 0;
    for (const unsigned char byte : m_prefix) {
      size = (size << 8U) | byte;
    }
    if (size > kMaxPeerFrameBytes) {
      spdlog::warn("peer: Frame of {} bytes refused.", size);
      Close();
      return;
    }
    m_body.resize(size);
    asio::async_read(m_socket, asio::buffer(m_body),
                     [self = shared_from_this()](const std::error_code& aError, std::size_t) {
                       aError ? self->Close() : self->Handle();
                     });
  }

  void Handle()
  {
    auto message = DecodePeerMessage(m_body);
    const auto* hello = message ? std::get_if<Hello>(&*message) : nullptr;
    if (hello != nullptr) {
      m_from = *hello;
    }
    if (!message || !m_from) {
      spdlog::warn("peer: Message refused.");
      Close();
      return;
    }
    m_handler(*m_from, std::move(*message));
    ReadPrefix();
  }

  void Close()
  {
    m_timer.cancel();
    std::error_code ignored;
    m_socket.close(ignored);
  }

  Tcp::socket m_socket;
  asio::steady_timer m_timer;
  const PeerHandler& m_handler;
  std::array<unsigned char, kPrefixBytes> m_prefix{};
  std::string m_body;
  std::optional<Hello> m_from;
};

/// \brief A dialed connection, which is only written.
class Outbound : public std::enable_shared_from_this<Outbound>
{
public:
  Outbound(asio::io_context& aLoop, Tcp::endpoint aPeer, Hello aSelf)
    : m_socket(aLoop)
    , m_timer(aLoop)
    , m_peer(std::move(aPeer))
    , m_hello(std::move(aSelf))
  {
  }

  void Dial()
  {
    m_socket.async_connect(m_peer, [self = shared_from_this()](const std::error_code& aError) {
      if (aError) {
        self->Redial();
        return;
      }
      std::error_code ignored;
      self->m_socket.set_option(Tcp::no_delay{ true }, ignored);
      self->m_connected = true;
      self->Push(MakeFrame(self->m_hello));
    });
  }

  void Push(std::shared_ptr<const std::string> aFrame)
  {
    if (!m_connected || m_backlogBytes + aFrame->size() > kMaxPeerBacklogBytes) {
      return;
    }
    m_backlogBytes += aFrame->size();
    m_backlog.push_back(std::move(aFrame));
    if (m_backlog.size() == 1) {
      Write();
    }
  }

  void Stop()
  {
    m_stopped = true;
    m_timer.cancel();
    std::error_code ignored;
    m_socket.close(ignored);
  }

private:
  void Write()
  {
    asio::async_write(m_socket, asio::buffer(*m_backlog.front()),
                      [self = shared_from_this()](const std::error_code& aError, std::size_t) {
                        if (aError) {
                          self->Redial();
                          return;
                        }
                        self->m_backlogBytes -= self->m_backlog.front()->size();
                        self->m_backlog.pop_front();
                        if (!self->m_backlog.empty()) {
                          self->Write();
                        }
                      });
  }

  void Redial()
  {
    m_connected = false;
    m_backlog.clear();
    m_backlogBytes = 0;
    std::error_code ignored;
    m_socket.close(ignored);
    if (m_stopped) {
      return;
    }
    m_timer.expires_after(kRedialDelay);
    m_timer.async_wait([self = shared_from_this()](const std::error_code& aError) {
      if (!aError) {
        self->Dial();
      }
    });
  }

  Tcp::socket m_socket;
  asio::steady_timer m_timer;
  Tcp::endpoint m_peer;
  Hello m_hello;
  std::deque<std::shared_ptr<const std::string>> m_backlog;
  std::size_t m_backlogBytes{};
  bool m_connected{};
  bool m_stopped{};
};

class TcpPeerMesh final : public PeerMesh
{
public:
  TcpPeerMesh(asio::io_context& aLoop, const Settings& aSettings, const Hello& aSelf,
              PeerHandler aHandler)
    : m_acceptor(aLoop, ToTcp(aSettings.m_peerListen))
    , m_handler(std::move(aHandler))
  {
    for (const auto& peer : aSettings.m_peers) {
      auto outbound = std::make_shared<Outbound>(aLoop, ToTcp(peer.m_address), aSelf);
      outbound->Dial();
      m_outbound.emplace(peer.m_id, std::move(outbound));
    }
    Accept();
  }

  TcpPeerMesh(const TcpPeerMesh&) = delete;
  TcpPeerMesh& operator=(const TcpPeerMesh&) = delete;

  ~TcpPeerMesh() override
  {
    for (const auto& [id, outbound] : m_outbound) {
      outbound->Stop();
    }
  }

  void Send(const EntryId& aPeer, const PeerMessage& aMessage) override
  {
    const auto found = m_outbound.find(aPeer);
    if (found != m_outbound.end()) {
      found->second->Push(MakeFrame(aMessage));
    }
  }

  void Broadcast(const PeerMessage& aMessage) override
  {
    const auto frame = MakeFrame(aMessage);
    for (const auto& [id, outbound] : m_outbound) {
      outbound->Push(frame);
    }
  }

private:
  void Accept()
  {
    m_acceptor.async_accept([this](const std::error_code& aError, Tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (!aError) {
        std::make_shared<Inbound>(std::move(aSocket), m_handler)->Start();
      }
      Accept();
    });
  }

  Tcp::acceptor m_acceptor;
  PeerHandler m_handler;
  std::map<EntryId, std::shared_ptr<Outbound>> m_outbound;
};

} // namespace

std::unique_ptr<PeerMesh> PeerMesh::Create(asio::io_context& aLoop, const Settings& aSettings,
                                           const Hello& aSelf, PeerHandler aHandler,
                                           Reason& aReason)
{
  try {
    return std::make_unique<TcpPeerMesh>(aLoop, aSettings, aSelf, std::move(aHandler));
  } catch (const std::exception& error) {
    aReason = { ReasonKind::Unreachable,
                "cannot listen on " + ToString(aSettings.m_peerListen) + ": " + error.what(),
                "choose a free address in listen.peers",
                {} };
    return nullptr;
  }
}

} // namespace pistachiostand
