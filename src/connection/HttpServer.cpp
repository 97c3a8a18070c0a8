#include "pistachiostand/connection/HttpServer.h"

#include <fmt/format.h>
#include <restinio/all.hpp>

#include <chrono>
#include <utility>

namespace pistachiostand {

namespace {

namespace net = restinio::asio_ns;

constexpr std::size_t kMaxUrlBytes = 2048;
constexpr std::size_t kMaxFieldBytes = 8192;
constexpr std::size_t kMaxFieldCount = 64;
constexpr std::size_t kMaxPipelined = 1;
constexpr std::chrono::seconds kReadTimeout{ 60 };
constexpr std::chrono::seconds kWriteTimeout{ 30 };
/// Longer than the longest service timeout, which the handler enforces.
constexpr std::chrono::hours kHandleTimeout{ 25 };

constexpr std::string_view kBadRequestBody =
  "{\"outcome\":\"not-run\",\"kind\":\"malformed-http\",\"cause\":\"the request is malformed, too "
  "large "
  "or incomplete\",\"remedy\":\"send a complete HTTP/1.1 request\"}\n";

std::string BadRequestMessage()
{
  return fmt::format("HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n"
                     "X-Outcome: not-run\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}",
                     kBadRequestBody.size(), kBadRequestBody);
}

/// \brief TCP socket that sends status 400 when it is closed after it received data and before a
/// response to it was written.
///
/// RESTinio closes the connection without a response when it cannot parse a request or a limit is
/// exceeded; callers then cannot distinguish this from a lost connection.
class BadRequestSocket : public net::ip::tcp::socket
{
public:
  using net::ip::tcp::socket::socket;

  // NOLINTNEXTLINE(readability-identifier-naming): Asio's name
  template<typename Buffers, typename Handler>
  auto async_read_some(const Buffers& aBuffers, Handler&& aHandler)
  {
    const auto executor = net::get_associated_executor(aHandler, get_executor());
    return net::ip::tcp::socket::async_read_some(
      aBuffers, net::bind_executor(executor, [this, handler = std::forward<Handler>(aHandler)](
                                               const auto& aError, std::size_t aBytes) mutable {
        m_awaitsResponse = m_awaitsResponse || aBytes != 0;
        handler(aError, aBytes);
      }));
  }

  // NOLINTNEXTLINE(readability-identifier-naming): Asio's name
  template<typename Buffers, typename Handler>
  auto async_write_some(const Buffers& aBuffers, Handler&& aHandler)
  {
    m_awaitsResponse = false;
    return net::ip::tcp::socket::async_write_some(aBuffers, std::forward<Handler>(aHandler));
  }

  // NOLINTNEXTLINE(readability-identifier-naming): Asio's name
  void shutdown(shutdown_type aWhat, net::error_code& aError)
  {
    if (std::exchange(m_awaitsResponse, false)) {
      net::error_code ignored;
      non_blocking(true, ignored);
      write_some(net::buffer(BadRequestMessage()), ignored);
    }
    net::ip::tcp::socket::shutdown(aWhat, aError);
  }

private:
  bool m_awaitsResponse = false;
};

struct ServerTraits : public restinio::default_single_thread_traits_t
{
  using stream_socket_t = BadRequestSocket; // NOLINT(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true; // NOLINT
};

using RestServer = restinio::http_server_t<ServerTraits>;

HttpRequest ToRequest(const restinio::request_t& aRequest, bool& aValid)
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

void Respond(const restinio::request_handle_t& aRequest, HttpResponse aResponse)
{
  auto builder = aRequest->create_response(
    restinio::http_status_line_t{ restinio::http_status_code_t{ aResponse.m_status },
                                  std::string{ StatusText(aResponse.m_status) } });
  for (const auto& [name, value] : aResponse.m_headers) {
    builder.append_header(name, value);
  }
  if (!aRequest->header().should_keep_alive()) {
    builder.connection_close();
  }
  builder.set_body(std::move(aResponse.m_body)).done();
}

class RestinioServer final : public HttpServer
{
public:
  RestinioServer(net::io_context& aLoop, const HttpServerOptions& aOptions, HttpHandler aHandler)
    : m_handler(std::move(aHandler))
    , m_server(restinio::external_io_context(aLoop), [this, &aOptions](auto& aSettings) {
      aSettings.address(aOptions.m_listen.m_ip)
        .port(aOptions.m_listen.m_port)
        .max_parallel_connections(aOptions.m_maxConnections)
        .max_pipelined_requests(kMaxPipelined)
        .read_next_http_message_timelimit(kReadTimeout)
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
  void Handle(const restinio::request_handle_t& aRequest)
  {
    bool valid = false;
    HttpRequest request = ToRequest(*aRequest, valid);
    if (!valid) {
      Respond(aRequest, { 400, { { "x-outcome", "not-run" } }, std::string{ kBadRequestBody } });
      return;
    }
    m_handler(std::move(request),
              [aRequest](HttpResponse aResponse) { Respond(aRequest, std::move(aResponse)); });
  }

  HttpHandler m_handler;
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
