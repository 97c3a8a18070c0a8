#pragma once

#include "pistachiostand/base/Endpoint.h"
#include "pistachiostand/base/Reason.h"
#include "pistachiostand/connection/HttpMessage.h"
#include "pistachiostand/connection/LoadGuard.h"

#include <functional>
#include <memory>

namespace asio {
class io_context;
} // namespace asio

/// \file
/// \brief HTTP server for callers. The only module that includes RESTinio.

namespace pistachiostand {

/// \brief Completes a request; must be called exactly once, on the loop's thread.
using HttpResponder = std::function<void(HttpResponse)>;

using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/// Largest body that is passed to the handler, which can then refuse it with a reason. A larger one
/// gets status 400, and the connection is closed.
inline constexpr std::size_t kMaxReadBodyBytes = std::size_t{ 1024 } * 1024;

struct HttpServerOptions
{
  Endpoint m_listen;
  std::size_t m_maxConnections{ 4096 }; ///< Without a guard.
  /// Shared by the listeners of a process; null: only the limits of the server itself.
  std::shared_ptr<LoadGuard> m_guard{};
  overload::Listener m_listener{};

  friend bool operator==(const HttpServerOptions&, const HttpServerOptions&) = default;
};

class HttpServer
{
public:
  /// \brief Starts listening; returns null and sets `aReason` when the address cannot be bound.
  [[nodiscard]] static std::unique_ptr<HttpServer> Create(asio::io_context& aLoop,
                                                          const HttpServerOptions& aOptions,
                                                          HttpHandler aHandler, Reason& aReason);

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  virtual ~HttpServer() = default;

  /// \brief Stops accepting connections; open ones stay open.
  virtual void StopAccepting() = 0;

protected:
  HttpServer() = default;
};

} // namespace pistachiostand
