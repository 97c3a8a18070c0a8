#pragma once

#include <asio.hpp>

#include <list>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// \file
/// \brief TCP relay between entry instances, whose links a test cuts.

namespace pistachiostand::testing {

/// \brief One link from the first to the second entry instance.
struct PeerLinkId
{
  std::size_t m_from = 0;
  std::size_t m_to = 0;

  friend auto operator<=>(const PeerLinkId&, const PeerLinkId&) = default;
};

/// \brief Forwards bytes of peer connections; a cut link closes its connections and takes no new
/// ones until it is healed.
class PeerRelay
{
public:
  PeerRelay();
  ~PeerRelay();
  PeerRelay(const PeerRelay&) = delete;
  PeerRelay& operator=(const PeerRelay&) = delete;

  /// \brief Listens for a link and returns the address to dial.
  [[nodiscard]] std::string Add(const PeerLinkId& aLink, const std::string& aTarget);

  void Cut(const std::set<PeerLinkId>& aLinks);
  void HealAll();
  /// \brief Connections that were closed by cuts.
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
