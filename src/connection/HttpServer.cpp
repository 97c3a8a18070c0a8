#include "pistachiostand/connection/HttpServer.h"

#include "GuardedSocket.h"

#include <restinio/all.hpp>

#include <chrono>
#include <utility>

namespace pistachiostand {

namespace {

namespace net = restinio::asio_ns;
using internal::ConnectionNotices;
using internal::GuardedSocket;
using internal::TrackedListener;

constexpr std::size_t kMaxUrlBytes = 2048;
constexpr std::size_t kMaxFieldBytes = 8192;
constexpr std::size_t kMaxFieldCount = 64;
constexpr std::size_t kMaxPipelined = 1;
constexpr std::chrono::seconds kReadTimeout{ 60 };
/// With a guard, which applies the timeouts of the configuration.
constexpr std::chrono::seconds kGuardedReadTimeout{ 3'600 };
constexpr std::chrono::seconds kWriteTimeout{ 30 };
/// Longer than the longest service timeout, which the handler enforces.
constexpr std::chrono::hours kHandleTimeout{ 25 };

constexpr std::string_view kBadRequestBody =
  "{\"outcome\":\"not-run\",\"kind\":\"malformed-http\",\"cause\":\"the request is malformed, too "
  "large or incomplete\",\"remedy\":\"send a complete HTTP/1.1 request\"}\n";

struct ServerTraits : public restinio::default_single_thread_traits_t
{
  using stream_socket_t = GuardedSocket;                 // NOLINT(readability-identifier-naming)
  using connection_state_listener_t = ConnectionNotices; // NOLINT(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true; // NOLINT
};

using RestServer = restinio::http_server_t<ServerTraits>;

/// \brief Moves the body out, which would otherwise be in memory twice while the handler has it.
HttpRequest ToRequest(restinio::request_t& aRequest, bool& aValid)
{
  HttpRequest request;
  request.m_method = aRequest.header().method().c_str();
  aValid = ParseTarget(aRequest.header().request_target(), request);
  aRequest.header().for_each_field([&request](const auto& aField) {
    SetHeader(request.m_headers, aField.name(), aField.value());
  });
  request.m_body = aRequest.body();
  return request;
}

/// \brief What a complete request uses. Its listener is not relevant here.
overload::ConnectionLoad LoadOf(const restinio::request_t& aRequest)
{
  overload::ConnectionLoad load;
  load.m_headerBytes = aRequest.header().request_target().size();
  aRequest.header().for_each_field([&load](const auto& aField) {
    load.m_headerBytes += aField.name().size() + aField.value().size();
  });
  load.m_bodyBytes = aRequest.body().size();
  if (const auto* chunks = aRequest.chunked_input_info(); chunks != nullptr) {
    load.m_chunks = chunks->chunk_count();
  }
  return load;
}

/// \brief Response to a request that is not passed to the handler.
HttpResponse Overloaded()
{
  return {
    503,
    { { "retry-after", "1" }, { "x-outcome", "not-run" }, { "content-type", "application/json" } },
    "{\"outcome\":\"not-run\",\"kind\":\"overload\",\"cause\":\"this instance holds too many "
    "requests\",\"remedy\":\"send the request again later\"}\n"
  };
}

void Respond(const restinio::request_handle_t& aRequest, HttpResponse aResponse,
             bool aClose = false)
{
  auto builder = aRequest->create_response(
    restinio::http_status_line_t{ restinio::http_status_code_t{ aResponse.m_status },
                                  std::string{ StatusText(aResponse.m_status) } });
  for (const auto& [name, value] : aResponse.m_headers) {
    builder.append_header(name, value);
  }
  if (aClose || !aRequest->header().should_keep_alive()) {
    builder.connection_close();
  }
  builder.set_body(std::move(aResponse.m_body)).done();
}

class RestinioServer final : public HttpServer
{
public:
  RestinioServer(net::io_context& aLoop, const HttpServerOptions& aOptions, HttpHandler aHandler)
    : m_handler(std::move(aHandler))
    , m_listener(MakeListener(aOptions))
    , m_server(restinio::external_io_context(aLoop), [this, &aOptions](auto& aSettings) {
      aSettings.address(aOptions.m_listen.m_ip)
        .port(aOptions.m_listen.m_port)
        .max_parallel_connections(MaxConnections(aOptions))
        .connection_state_listener(std::make_shared<ConnectionNotices>(m_listener))
        .max_pipelined_requests(kMaxPipelined)
        .read_next_http_message_timelimit(m_listener ? kGuardedReadTimeout : kReadTimeout)
        .write_http_response_timelimit(kWriteTimeout)
        .handle_request_timeout(kHandleTimeout)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                    .max_url_size(kMaxUrlBytes)
                                    .max_field_name_size(kMaxFieldBytes)
                                    .max_field_value_size(kMaxFieldBytes)
                                    .max_field_count(kMaxFieldCount)
                                    .max_body_size(kMaxReadBodyBytes))
        .request_handler([this](const restinio::request_handle_t& aRequest) {
          Handle(aRequest);
          return restinio::request_accepted();
        });
    })
  {
  }

  void Open() { m_server.open_sync(); }

  void StopAccepting() override
  {
    if (std::exchange(m_open, false)) {
      m_server.close_sync();
    }
  }

  ~RestinioServer() override { StopAccepting(); }

  RestinioServer(const RestinioServer&) = delete;
  RestinioServer& operator=(const RestinioServer&) = delete;

private:
  static std::shared_ptr<TrackedListener> MakeListener(const HttpServerOptions& aOptions)
  {
    return aOptions.m_guard ? std::make_shared<TrackedListener>(
                                TrackedListener{ aOptions.m_guard, aOptions.m_listener, {} })
                            : nullptr;
  }

  static std::size_t MaxConnections(const HttpServerOptions& aOptions)
  {
    return aOptions.m_guard ? aOptions.m_guard->Limits().Of(aOptions.m_listener).m_maxConnections
                            : aOptions.m_maxConnections;
  }

  void Handle(const restinio::request_handle_t& aRequest)
  {
    std::shared_ptr<LoadGuard::HeldRequest> held;
    if (m_listener) {
      if (auto* connection = m_listener->Find(aRequest->connection_id())) {
        connection->BeginHandling();
      }
      // Readiness and metrics are answered at once, also while no memory is left for jobs.
      const bool deferred = m_listener->m_listener == overload::Listener::Callers ||
                            m_listener->m_listener == overload::Listener::Entries;
      held =
        deferred ? m_listener->m_guard->Hold(overload::HandlerBytes(LoadOf(*aRequest))) : nullptr;
      if (deferred && !held) {
        Send(m_listener, aRequest, Overloaded(), true);
        return;
      }
    }
    bool valid = false;
    HttpRequest request = ToRequest(*aRequest, valid);
    if (!valid) {
      Send(m_listener, aRequest,
           { 400, { { "x-outcome", "not-run" } }, std::string{ kBadRequestBody } });
      return;
    }
    m_handler(std::move(request),
              [aRequest, listener = m_listener, held = std::move(held)](HttpResponse aResponse) {
                Send(listener, aRequest, std::move(aResponse));
              });
  }

  static void Send(const std::shared_ptr<TrackedListener>& aListener,
                   const restinio::request_handle_t& aRequest, HttpResponse aResponse,
                   bool aClose = false)
  {
    if (auto* connection = aListener ? aListener->Find(aRequest->connection_id()) : nullptr) {
      connection->BeginResponse(aResponse.m_body.size());
    }
    Respond(aRequest, std::move(aResponse), aClose);
  }

  HttpHandler m_handler;
  std::shared_ptr<TrackedListener> m_listener; ///< Null without a guard.
  RestServer m_server;
  bool m_open = true;
};

} // namespace

std::unique_ptr<HttpServer> HttpServer::Create(asio::io_context& aLoop,
                                               const HttpServerOptions& aOptions,
                                               HttpHandler aHandler, Reason& aReason)
{
  try {
    auto server = std::make_unique<RestinioServer>(aLoop, aOptions, std::move(aHandler));
    server->Open();
    return server;
  } catch (const std::exception& error) {
    aReason = { ReasonKind::Unreachable,
                "cannot listen on " + ToString(aOptions.m_listen) + ": " + error.what(),
                "choose a free address in listen.callers",
                {} };
    return nullptr;
  }
}

} // namespace pistachiostand
