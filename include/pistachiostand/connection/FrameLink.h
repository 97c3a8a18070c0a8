#pragma once

#include "pistachiostand/base/Endpoint.h"
#include "pistachiostand/base/Reason.h"
#include "pistachiostand/base/Types.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace asio {
class io_context;
} // namespace asio

/// \file
/// \brief TCP connection that carries frames: a length of 4 bytes, big-endian, then the content.

namespace pistachiostand {

/// Larger frames close the connection.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{ 4 } * 1024 * 1024;
/// A peer that leaves more bytes unread loses its connection, before its frames fill the memory.
inline constexpr std::size_t kMaxLinkBacklogBytes = std::size_t{ 8 } * 1024 * 1024;

class FrameLink;

/// \brief Called on the loop, never inside a call of the link.
struct FrameHandlers
{
  std::function<void()> m_onOpen;                         ///< Connected; only after Dial().
  std::function<void(std::string_view aFrame)> m_onFrame; ///< Valid only during the call.
  std::function<void(std::string_view aCause)> m_onClosed;
};

/// \brief One end of a connection. Frames that are sent within one iteration of the loop go out in
/// one write.
///
/// \code
/// auto link = FrameLink::Dial(loop, address, 300, handlers);
/// link->Send(frame);
/// \endcode
class FrameLink
{
public:
  /// \brief Connects; m_onOpen or m_onClosed follows within `aTimeoutMs`.
  [[nodiscard]] static std::shared_ptr<FrameLink> Dial(asio::io_context& aLoop,
                                                       const Endpoint& aPeer, Millis aTimeoutMs,
                                                       FrameHandlers aHandlers);

  FrameLink(const FrameLink&) = delete;
  FrameLink& operator=(const FrameLink&) = delete;
  virtual ~FrameLink() = default;

  /// \brief Sends a frame; it is lost when the connection is closed.
  virtual void Send(std::string_view aFrame) = 0;

  /// \brief Closes the connection; no handler is called after that.
  virtual void Close() = 0;

protected:
  FrameLink() = default;
};

/// \brief Accepts connections until it is destroyed.
class FrameListener
{
public:
  /// \brief Returns the handlers of an accepted connection, which are called only after this call.
  using Accept = std::function<FrameHandlers(const std::shared_ptr<FrameLink>& aLink)>;

  [[nodiscard]] static std::unique_ptr<FrameListener> Create(asio::io_context& aLoop,
                                                             const Endpoint& aListen,
                                                             Accept aAccept, Reason& aReason);

  FrameListener(const FrameListener&) = delete;
  FrameListener& operator=(const FrameListener&) = delete;
  virtual ~FrameListener() = default;

  /// \brief Address that it listens on, with the port that the system chose for port 0.
  [[nodiscard]] virtual Endpoint Address() const = 0;

protected:
  FrameListener() = default;
};

} // namespace pistachiostand
