#include "PeerRelay.h"

#include "ChildProcess.h"

#include <array>
#include <functional>
#include <future>
#include <utility>

namespace pistachiostand::testing {

using Tcp = asio::ip::tcp;

namespace {

Tcp::endpoint ToEndpoint(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<std::uint16_t>(std::stoul(aAddress.substr(colon + 1))) };
}

} // namespace

/// \brief A connection that a peer dialed and the connection to its target. Peers write only on
/// connections that they dialed.
struct PeerRelay::Pipe : std::enable_shared_from_this<Pipe>
{
  Pipe(PeerLinkId aLink, Tcp::socket aIn)
    : m_link(aLink)
    , m_in(std::move(aIn))
    , m_out(m_in.get_executor())
  {
  }

  void Start(const Tcp::endpoint& aTarget)
  {
    m_out.async_connect(aTarget, [self = shared_from_this()](const std::error_code& aError) {
      aError ? self->Close() : self->Forward();
    });
  }

  void Forward()
  {
    m_in.async_read_some(
      asio::buffer(m_buffer),
      [self = shared_from_this()](const std::error_code& aError, std::size_t aSize) {
        if (aError) {
          self->Close();
          return;
        }
        asio::async_write(self->m_out, asio::buffer(self->m_buffer, aSize),
                          [self](const std::error_code& aWriteError, std::size_t) {
                            aWriteError ? self->Close() : self->Forward();
                          });
      });
  }

  void Close()
  {
    std::error_code ignored;
    m_in.close(ignored);
    m_out.close(ignored);
  }

  PeerLinkId m_link;
  Tcp::socket m_in;
  Tcp::socket m_out;
  std::array<char, 65'536> m_buffer{};
};

struct PeerRelay::Listener
{
  PeerLinkId m_link;
  Tcp::acceptor m_acceptor;
  Tcp::endpoint m_target;
};

PeerRelay::PeerRelay()
  : m_work(asio::make_work_guard(m_loop))
  , m_thread([this] { m_loop.run(); })
{
}

PeerRelay::~PeerRelay()
{
  m_loop.stop();
  m_thread.join();
}

void PeerRelay::RunInLoop(const std::function<void()>& aTask)
{
  std::packaged_task<void()> task(aTask);
  auto done = task.get_future();
  asio::post(m_loop, [&task] { task(); });
  done.get();
}

std::string PeerRelay::Add(const PeerLinkId& aLink, const std::string& aTarget)
{
  auto address = FreeAddress("127.0.0.3");
  RunInLoop([&] {
    m_listeners.push_back(
      { aLink, Tcp::acceptor(m_loop, ToEndpoint(address)), ToEndpoint(aTarget) });
    Accept(m_listeners.back());
  });
  return address;
}

void PeerRelay::Accept(Listener& aListener)
{
  aListener.m_acceptor.async_accept(
    [this, &aListener](const std::error_code& aError, Tcp::socket aSocket) {
      if (aError) {
        return;
      }
      if (!m_cut.contains(aListener.m_link)) {
        auto pipe = std::make_shared<Pipe>(aListener.m_link, std::move(aSocket));
        m_pipes.push_back(pipe);
        pipe->Start(aListener.m_target);
      }
      Accept(aListener);
    });
}

void PeerRelay::Cut(const std::set<PeerLinkId>& aLinks)
{
  RunInLoop([&] {
    m_cut.insert(aLinks.begin(), aLinks.end());
    for (const auto& each : m_pipes) {
      const auto pipe = each.lock();
      if (pipe && m_cut.contains(pipe->m_link)) {
        pipe->Close();
        ++m_closed;
      }
    }
    std::erase_if(m_pipes, [](const auto& aEach) { return aEach.expired(); });
  });
}

void PeerRelay::HealAll()
{
  RunInLoop([this] { m_cut.clear(); });
}

std::size_t PeerRelay::ClosedByCuts()
{
  std::size_t closed = 0;
  RunInLoop([&] { closed = m_closed; });
  return closed;
}

} // namespace pistachiostand::testing
