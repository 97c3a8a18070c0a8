#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/connection/HttpMessage.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace asio {
class io_context;
} // namespace asio

/// \file
/// \brief HTTP client: libcurl's multi interface driven by the Asio loop.

namespace pistachiostand {

/// \brief How a transfer failed.
enum class TransferFailure : std::uint8_t
{
  NotSent,   ///< No byte of the request was sent: it cannot have had an effect.
  Timeout,   ///< Sent, but no complete response in time.
  Truncated, ///< The response ended early.
  Broken,    ///< Sent, then the connection failed.
};

[[nodiscard]] std::string_view ToString(TransferFailure aFailure) noexcept;

struct ClientRequest
{
  std::string m_method{ "GET" };
  std::string m_url;
  HttpHeaders m_headers;
  std::string m_body;
  Millis m_timeoutMs{ 1'000 };
  Millis m_connectTimeoutMs{ 1'000 };
  /// Sends on a new connection. libcurl repeats a request by itself when a reused connection turns
  /// out to be dead, which must not happen to a non-idempotent request.
  bool m_freshConnection{};
  /// Allows any connection, but the transfer fails when the request would be sent a second time.
  bool m_sendOnce{};
  /// Latest time to send, on the monotonic clock; 0: no limit. After it the request fails as
  /// NotSent, however long the process was paused or waited for a connection.
  Millis m_sendBeforeMs{};
  /// Sends only on a connection that was established by this time, on the monotonic clock; 0: on
  /// any. Otherwise the request fails as NotSent.
  Millis m_establishedByMs{};
};

struct ClientResponse
{
  std::optional<TransferFailure> m_failure;
  std::uint16_t m_status{};
  HttpHeaders m_headers;
  std::string m_body;
  /// When its connection was ready for the request, on the monotonic clock; 0: it was not sent.
  Millis m_sentMs{};
};

using ClientCallback = std::function<void(ClientResponse)>;

/// \brief Client with persistent connections.
///
/// A network fault may leave a connection open and unresponsive forever while new ones work. When a
/// transfer fails, the idle connections to its peer are therefore not used again.
class HttpClient
{
public:
  [[nodiscard]] static std::unique_ptr<HttpClient> Create(asio::io_context& aLoop);

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  virtual ~HttpClient() = default;

  /// \brief Starts a transfer; the callback runs on the loop, never inside this call.
  /// \return an id for Cancel().
  virtual std::uint64_t Send(ClientRequest aRequest, ClientCallback aCallback) = 0;

  /// \brief Ends a transfer and its connection; its callback is not called.
  virtual void Cancel(std::uint64_t aId) = 0;

  /// \brief True when an idle connection to the peer of the URL, established by the time, is
  /// left after each waiting request has taken one. The peer may have closed it unnoticed.
  [[nodiscard]] virtual bool HasIdleConnection(std::string_view aUrl,
                                               Millis aEstablishedByMs) const = 0;

protected:
  HttpClient() = default;
};

} // namespace pistachiostand
