#pragma once

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/connection/HttpMessage.h"
#include "pistachiostand/connection/LoadGuard.h"

#include <fmt/format.h>
#include <http_parser.h>
#include <restinio/all.hpp>

#include <algorithm>
#include <array>
#include <climits>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

/// \file
/// \brief The socket that RESTinio reads requests from. It observes what a request costs while it
/// is incomplete, because RESTinio passes only complete requests on.

namespace pistachiostand::internal {

namespace net = restinio::asio_ns;

/// \brief A complete response that is written to the socket itself, and closes the connection.
inline std::string RefusalMessage(std::uint16_t aStatus, std::string_view aKind,
                                  std::string_view aCause, std::string_view aRemedy)
{
  const std::string body =
    fmt::format("{{\"outcome\":\"not-run\",\"kind\":\"{}\",\"cause\":\"{}\",\"remedy\":\"{}\"}}\n",
                aKind, aCause, aRemedy);
  return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nX-Outcome: not-run\r\n"
                     "{}Connection: close\r\nContent-Length: {}\r\n\r\n{}",
                     aStatus, StatusText(aStatus), aStatus == 503 ? "Retry-After: 1\r\n" : "",
                     body.size(), body);
}

inline std::string RefusalMessage(overload::Cause aCause)
{
  const std::uint16_t status = overload::StatusOf(aCause);
  return RefusalMessage(status, overload::NameOf(aCause),
                        status == 413 ? "the request exceeds a limit of this instance"
                                      : "the request is incomplete, and this instance closes it",
                        status == 413 ? "send a smaller request, in larger pieces"
                                      : "send the complete request again");
}

class TrackedConnection;

/// \brief The connections of one listener, by RESTinio's number.
struct TrackedListener
{
  std::shared_ptr<LoadGuard> m_guard;
  overload::Listener m_listener{};
  std::unordered_map<restinio::connection_id_t, TrackedConnection*> m_connections;

  [[nodiscard]] TrackedConnection* Find(restinio::connection_id_t aId) const
  {
    const auto found = m_connections.find(aId);
    return found == m_connections.end() ? nullptr : found->second;
  }
};

/// \brief RESTinio reports a connection here and then starts its first read in the same call, which
/// is where the socket learns which connection it belongs to.
class ConnectionNotices
{
public:
  struct Accepted
  {
    std::shared_ptr<TrackedListener> m_listener;
    restinio::connection_id_t m_id{};
  };

  explicit ConnectionNotices(std::shared_ptr<TrackedListener> aListener)
    : m_listener(std::move(aListener))
  {
  }

  // NOLINTNEXTLINE(readability-identifier-naming): RESTinio's name
  void state_changed(const restinio::connection_state::notice_t& aNotice) noexcept
  {
    if (m_listener &&
        restinio::holds_alternative<restinio::connection_state::accepted_t>(aNotice.cause())) {
      Latest() = Accepted{ m_listener, aNotice.connection_id() };
    }
  }

  /// \brief The connection that was reported last, if its socket has not taken it yet.
  static std::optional<Accepted>& Latest() noexcept
  {
    thread_local std::optional<Accepted> latest;
    return latest;
  }

private:
  std::shared_ptr<TrackedListener> m_listener;
};

/// \brief What a connection sends, observed with the parser that RESTinio uses.
class TrackedConnection final : public GuardedConnection
{
public:
  /// \brief Closes the connection; with a message when the text is not empty.
  using Closer = std::function<void(std::string_view aMessage)>;

  TrackedConnection(ConnectionNotices::Accepted aAccepted, Closer aCloser)
    : m_listener(std::move(aAccepted.m_listener))
    , m_id(aAccepted.m_id)
    , m_closer(std::move(aCloser))
  {
    ResetParser();
    m_listener->m_guard->Add(*this, m_listener->m_listener);
    m_listener->m_connections[m_id] = this;
  }

  ~TrackedConnection() override
  {
    m_listener->m_connections.erase(m_id);
    m_listener->m_guard->Remove(*this);
  }

  TrackedConnection(const TrackedConnection&) = delete;
  TrackedConnection& operator=(const TrackedConnection&) = delete;

  /// \brief The server waits for bytes: no request is in the handler and no response is written.
  void BeginRead()
  {
    auto& load = Load();
    load.m_responseBytes = 0;
    EnterReadPhase(load, MonotonicMs());
    Guard().Account(*this);
  }

  /// \brief Observes received bytes.
  /// \return false when the request is refused and the connection closed.
  [[nodiscard]] bool Receive(std::string_view aBytes)
  {
    if (LoadGuard::IsClosed(*this)) {
      return false;
    }
    const Millis now = MonotonicMs();
    Load().m_progressMs = now;
    Parse(aBytes);
    auto& load = Load();
    EnterReadPhase(load, now);
    if (const auto cause =
          m_inMessage ? overload::FindExcess(load, Guard().Limits()) : std::nullopt) {
      Guard().CountRefusal(*cause);
      CloseFor(*cause);
      return false;
    }
    Guard().Account(*this);
    return !LoadGuard::IsClosed(*this);
  }

  void BeginHandling() { Enter(overload::Phase::Handling); }

  void BeginResponse(std::size_t aBytes)
  {
    Enter(overload::Phase::Writing);
    Load().m_responseBytes = aBytes;
    Guard().Account(*this);
  }

  void OnWrite() { Load().m_progressMs = MonotonicMs(); }

  void CloseFor(overload::Cause aCause) override
  {
    const auto phase = Load().m_phase;
    const bool incomplete = phase == overload::Phase::Header || phase == overload::Phase::Body;
    m_closer(incomplete ? RefusalMessage(aCause) : std::string{});
  }

private:
  LoadGuard& Guard() { return *m_listener->m_guard; }
  overload::ConnectionLoad& Load() { return Guard().LoadOf(*this); }

  void Enter(overload::Phase aPhase)
  {
    auto& load = Load();
    if (load.m_phase != overload::Phase::Closing) {
      load.m_phase = aPhase;
      load.m_phaseSinceMs = MonotonicMs();
      load.m_progressMs = load.m_phaseSinceMs;
    }
  }

  void EnterReadPhase(overload::ConnectionLoad& aLoad, Millis aNowMs)
  {
    using overload::Phase;
    const Phase phase = !m_inMessage ? Phase::Idle : m_headerDone ? Phase::Body : Phase::Header;
    if (aLoad.m_phase == Phase::Closing || aLoad.m_phase == phase) {
      return;
    }
    // The time in which an earlier request of the connection was served does not count.
    if (aLoad.m_phase == Phase::Handling || aLoad.m_phase == Phase::Writing) {
      aLoad.m_requestSinceMs = aNowMs;
      aLoad.m_progressMs = aNowMs;
    }
    aLoad.m_phase = phase;
    aLoad.m_phaseSinceMs = aNowMs;
  }

  void ResetParser()
  {
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
  }

  void Parse(std::string_view aBytes)
  {
    while (!aBytes.empty() && !m_unparsable) {
      const bool inHeader = !m_headerDone;
      const std::size_t parsed =
        http_parser_execute(&m_parser, &Callbacks(), aBytes.data(), aBytes.size());
      if (inHeader && m_inMessage) {
        Load().m_headerBytes += parsed;
      }
      const auto error = HTTP_PARSER_ERRNO(&m_parser);
      // RESTinio meets the same error and responds to it.
      m_unparsable = parsed == 0 || (error != HPE_OK && error != HPE_PAUSED);
      if (error == HPE_PAUSED || m_parser.upgrade != 0) {
        ResetParser();
      }
      aBytes.remove_prefix(std::min(parsed, aBytes.size()));
    }
  }

  static TrackedConnection& Of(http_parser* aParser)
  {
    return *static_cast<TrackedConnection*>(aParser->data);
  }

  static const http_parser_settings& Callbacks()
  {
    static const http_parser_settings kCallbacks = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_message_begin = [](http_parser* aParser) {
        auto& self = Of(aParser);
        auto& load = self.Load();
        self.m_inMessage = true;
        self.m_headerDone = false;
        load.m_requestSinceMs = load.m_progressMs;
        load.m_headerBytes = load.m_bodyBytes = load.m_declaredBytes = load.m_chunks = 0;
        load.m_chunked = false;
        return 0;
      };
      settings.on_headers_complete = [](http_parser* aParser) {
        auto& self = Of(aParser);
        auto& load = self.Load();
        self.m_headerDone = true;
        load.m_chunked = (aParser->flags & F_CHUNKED) != 0;
        const bool stated = !load.m_chunked && aParser->content_length != ULLONG_MAX;
        load.m_declaredBytes = stated ? static_cast<std::size_t>(aParser->content_length) : 0;
        return 0;
      };
      settings.on_chunk_header = [](http_parser* aParser) {
        ++Of(aParser).Load().m_chunks;
        return 0;
      };
      settings.on_body = [](http_parser* aParser, const char* /*aData*/, std::size_t aSize) {
        Of(aParser).Load().m_bodyBytes += aSize;
        return 0;
      };
      settings.on_message_complete = [](http_parser* aParser) {
        auto& self = Of(aParser);
        auto& load = self.Load();
        self.m_inMessage = false;
        self.m_headerDone = false;
        // From here on the handler accounts for the request.
        load.m_headerBytes = load.m_bodyBytes = load.m_declaredBytes = load.m_chunks = 0;
        // As in RESTinio, which parses one request at a time.
        http_parser_pause(aParser, 1);
        return 0;
      };
      return settings;
    }();
    return kCallbacks;
  }

  std::shared_ptr<TrackedListener> m_listener;
  restinio::connection_id_t m_id;
  Closer m_closer;
  http_parser m_parser{};
  bool m_inMessage = false;
  bool m_headerDone = false;
  bool m_unparsable = false;
};

/// \brief TCP socket that accounts for what it reads, and that sends status 400 when it is closed
/// after it received data and before a response to it was written.
///
/// RESTinio closes the connection without a response when it cannot parse a request or a limit is
/// exceeded; callers then cannot distinguish this from a lost connection.
class GuardedSocket : public net::ip::tcp::socket
{
public:
  using net::ip::tcp::socket::socket;

  // NOLINTNEXTLINE(readability-identifier-naming): Asio's name
  template<typename Buffers, typename Handler>
  auto async_read_some(const Buffers& aBuffers, Handler&& aHandler)
  {
    Track();
    if (m_tracked) {
      m_tracked->BeginRead();
    }
    const auto* data = static_cast<const char*>(net::buffer_sequence_begin(aBuffers)->data());
    const auto executor = net::get_associated_executor(aHandler, get_executor());
    return net::ip::tcp::socket::async_read_some(
      aBuffers,
      net::bind_executor(executor, [this, data, handler = std::forward<Handler>(aHandler)](
                                     const auto& aError, std::size_t aBytes) mutable {
        m_awaitsResponse = !m_refused && (m_awaitsResponse || aBytes != 0);
        if (aBytes != 0 && m_tracked && !m_tracked->Receive({ data, aBytes })) {
          // The server closes the connection.
          handler(net::error_code{ net::error::connection_aborted }, std::size_t{ 0 });
          return;
        }
        handler(aError, aBytes);
      }));
  }

  // NOLINTNEXTLINE(readability-identifier-naming): Asio's name
  template<typename Buffers, typename Handler>
  auto async_write_some(const Buffers& aBuffers, Handler&& aHandler)
  {
    m_awaitsResponse = false;
    if (m_tracked) {
      m_tracked->OnWrite();
    }
    return net::ip::tcp::socket::async_write_some(aBuffers, std::forward<Handler>(aHandler));
  }

  // NOLINTNEXTLINE(readability-identifier-naming): Asio's name
  void shutdown(shutdown_type aWhat, net::error_code& aError)
  {
    if (std::exchange(m_awaitsResponse, false)) {
      Write(RefusalMessage(400, "malformed-http",
                           "the request is malformed, too large or incomplete",
                           "send a complete HTTP/1.1 request"));
    }
    net::ip::tcp::socket::shutdown(aWhat, aError);
  }

private:
  void Track()
  {
    if (auto& latest = ConnectionNotices::Latest(); latest && !m_tracked) {
      m_tracked = std::make_unique<TrackedConnection>(
        *std::exchange(latest, std::nullopt),
        [this](std::string_view aMessage) { Refuse(aMessage); });
    }
  }

  /// \brief Ends the pending read or write of the server, which then closes the connection.
  void Refuse(std::string_view aMessage)
  {
    m_refused = true;
    m_awaitsResponse = false;
    if (!aMessage.empty()) {
      Write(aMessage);
      DiscardReceived();
    }
    net::error_code ignored;
    net::ip::tcp::socket::shutdown(shutdown_both, ignored);
  }

  void Write(std::string_view aMessage)
  {
    net::error_code ignored;
    non_blocking(true, ignored);
    write_some(net::buffer(aMessage.data(), aMessage.size()), ignored);
  }

  /// \brief Closing a socket with unread bytes resets the connection, and the caller may lose the
  /// response.
  void DiscardReceived()
  {
    constexpr int kMaxReads = 16;
    std::array<char, 16'384> buffer{};
    net::error_code error;
    for (int reads = 0; reads < kMaxReads && !error; ++reads) {
      read_some(net::buffer(buffer), error);
    }
  }

  std::unique_ptr<TrackedConnection> m_tracked;
  bool m_awaitsResponse = false;
  bool m_refused = false;
};

} // namespace pistachiostand::internal
