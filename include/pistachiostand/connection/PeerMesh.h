#pragma once

#include "pistachiostand/base/Reason.h"
#include "pistachiostand/connection/PeerMessage.h"
#include "pistachiostand/process/Settings.h"

#include <functional>
#include <memory>

namespace asio {
class io_context;
} // namespace asio

/// \file
/// \brief Connections to the other entry instances: TCP, 4-byte length prefix, msgpack.

namespace pistachiostand {

/// Larger frames close the connection. A StateCopy of the largest fleet that the program is
/// designed for fits.
inline constexpr std::size_t kMaxPeerFrameBytes = std::size_t{ 32 } * 1024 * 1024;
/// Further messages to a peer that does not read are dropped; heartbeats are repeated anyway.
inline constexpr std::size_t kMaxPeerBacklogBytes = std::size_t{ 16 } * 1024 * 1024;

/// \brief Called with the Hello of the sender and its message, which may be the Hello itself.
using PeerHandler = std::function<void(const Hello& aFrom, PeerMessage aMessage)>;

class PeerMesh
{
public:
  /// \brief Listens, dials every configured peer and redials it whenever its connection ends.
  [[nodiscard]] static std::unique_ptr<PeerMesh> Create(asio::io_context& aLoop,
                                                        const Settings& aSettings,
                                                        const Hello& aSelf, PeerHandler aHandler,
                                                        Reason& aReason);

  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;
  virtual ~PeerMesh() = default;

  /// \brief Sends to one peer; the message is lost while the peer is not connected.
  virtual void Send(const EntryId& aPeer, const PeerMessage& aMessage) = 0;

  virtual void Broadcast(const PeerMessage& aMessage) = 0;

protected:
  PeerMesh() = default;
};

} // namespace pistachiostand
