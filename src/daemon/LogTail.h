#pragma once

#include "Runtime.h"
#include "pistachiostand/connection/PeerMesh.h"

/// \file
/// \brief Reads the log from the platform, appends proposals, and relays records between peers.

namespace pistachiostand {

class LogTail
{
public:
  LogTail(Runtime& aRuntime);

  /// \brief Starts reading; `aPeers` must outlive this object.
  void Start(PeerMesh& aPeers);

  void OnPeerMessage(const Hello& aFrom, const PeerMessage& aMessage);

  /// \brief True once the end of the log has been read or the state of a peer has been adopted.
  [[nodiscard]] bool IsReady() const noexcept { return m_ready; }

  /// \brief Appends the waiting proposals at once, without waiting for the next tick.
  void Flush() { AppendBatch(); }

private:
  void ReadNext();
  void ReadLater();
  void OnRead(const std::optional<ReadResult>& aResult);
  void OnEndOfLog();
  void AppendBatch();
  void FetchFromPeer();
  void SendRecords(const EntryId& aPeer, Offset aFrom);
  void SendState(const EntryId& aPeer, Offset aNewerThan);
  void AdoptState(const StateCopy& aCopy);

  Runtime& m_runtime;
  PeerMesh* m_peers{};
  bool m_ready{};
  bool m_platformReachable{};
  bool m_loggedUnreachable{};
  bool m_loggedGap{}; ///< Logged that records have expired which no snapshot covers.
  Millis m_lastReadMs{};
  Millis m_readStartedMs{};
  Millis m_startedMs;
  asio::steady_timer m_retry;
  Ticker m_appendTicker;
  Ticker m_fetchTicker;
};

} // namespace pistachiostand
