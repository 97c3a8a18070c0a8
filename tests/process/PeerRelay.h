#pragma once

#include <asio.hpp>

#include <list>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief TCP relay between entry instances, with links that a test can cut.

namespace pistachiostand::testing {

/// \brief Identifies the directed link from entry instance `m_from` to entry instance `m_to`.
struct PeerLinkId
{
  std::size_t m_from = 0;
  std::size_t m_to = 0;

  friend auto operator<=>(const PeerLinkId&, const PeerLinkId&) = default;
};

/// \brief Forwards bytes of peer connections. Cutting a link closes its connections; new ones are
/// closed at once until the link is healed.
class PeerRelay
{
public:
  PeerRelay();
  ~PeerRelay();
  PeerRelay(const PeerRelay&) = delete;
  PeerRelay& operator=(const PeerRelay&) = delete;

  /// \brief Opens a listener for a link and returns the address that `m_from` dials.
  [[nodiscard]] std::string Add(const PeerLinkId& aLink, const std::string& aTarget);

  void Cut(const std::set<PeerLinkId>& aLinks);
  void HealAll();
  /// \brief Number of connections that Cut() has closed.
  [[nodiscard]] std::size_t ClosedByCuts();

private:
  struct Pipe;
  struct Listener;

  void Accept(Listener& aListener);
  void RunInLoop(const std::function<void()>& aTask);

  asio::io_context m_loop;
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::list<Listener> m_listeners;
  std::vector<std::weak_ptr<Pipe>> m_pipes;
  std::set<PeerLinkId> m_cut;
  std::size_t m_closed = 0;
  std::thread m_thread;
};

} // namespace pistachiostand::testing
