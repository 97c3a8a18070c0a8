#pragma once

#include <restinio/all.hpp>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// \file
/// \brief HTTP server on one thread, shared by the stand-ins.

namespace standin {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;
namespace asio = restinio::asio_ns;

/// \brief A request whose response may be sent late, withheld or truncated, or whose connection may
/// be closed instead.
struct Call
{
  restinio::request_handle_t m_request;
  std::vector<std::string> m_path; ///< Decoded path segments.
  Json m_query = Json::object();

  [[nodiscard]] std::string Header(std::string_view aName) const
  {
    return m_request->header().get_field_or(aName, std::string{});
  }
  [[nodiscard]] bool Has(std::string_view aName) const
  {
    return m_request->header().has_field(aName);
  }
  [[nodiscard]] std::string Query(const std::string& aName, const std::string& aDefault = {}) const
  {
    return m_query.value(aName, aDefault);
  }
  [[nodiscard]] std::int64_t Number(const std::string& aName, std::int64_t aDefault) const
  {
    const auto text = Query(aName);
    return text.empty() ? aDefault : std::stoll(text);
  }
  [[nodiscard]] bool IsPost() const
  {
    return m_request->header().method() == restinio::http_method_post();
  }
  [[nodiscard]] const std::string& Body() const { return m_request->body(); }
};

using CallPtr = std::shared_ptr<Call>;

struct Reply
{
  std::uint16_t m_status = 200;
  std::string m_body;
  Headers m_headers;
};

inline Reply JsonReply(const Json& aBody, std::uint16_t aStatus = 200, Headers aHeaders = {})
{
  return { aStatus, aBody.dump(), std::move(aHeaders) };
}

inline Reply ErrorReply(std::uint16_t aStatus, const std::string& aText)
{
  return JsonReply({ { "error", aText } }, aStatus);
}

inline std::string DecodePercent(std::string_view aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      out += static_cast<char>(std::stoi(std::string(aText.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      out += aText[i];
    }
  }
  return out;
}

inline std::vector<std::string> SplitPath(std::string_view aPath)
{
  std::vector<std::string> out;
  while (!aPath.empty()) {
    aPath.remove_prefix(aPath.front() == '/' ? 1 : 0);
    const auto end = std::min(aPath.find('/'), aPath.size());
    if (end > 0) {
      out.push_back(DecodePercent(aPath.substr(0, end)));
    }
    aPath.remove_prefix(end);
  }
  return out;
}

inline CallPtr MakeCall(restinio::request_handle_t aRequest)
{
  auto call = std::make_shared<Call>();
  call->m_path = SplitPath(aRequest->header().path());
  const auto query =
    restinio::parse_query<restinio::parse_query_traits::relaxed>(aRequest->header().query());
  for (const auto& item : query) {
    call->m_query[std::string(item.first)] = std::string(item.second);
  }
  call->m_request = std::move(aRequest);
  return call;
}

inline restinio::http_status_line_t StatusLine(std::uint16_t aStatus)
{
  return { restinio::http_status_code_t{ aStatus }, aStatus < 300 ? "OK" : "Refused" };
}

inline void Send(const CallPtr& aCall, const Reply& aReply)
{
  auto response = aCall->m_request->create_response(StatusLine(aReply.m_status));
  response.append_header("Content-Type", "application/json");
  for (const auto& [name, value] : aReply.m_headers) {
    response.append_header(name, value);
  }
  response.set_body(aReply.m_body).done();
}

/// \brief Announces the whole body, sends its first half and closes the connection.
inline void SendTruncated(const CallPtr& aCall, const Reply& aReply)
{
  auto response = aCall->m_request->create_response<restinio::user_controlled_output_t>(
    StatusLine(aReply.m_status));
  response.append_header("Content-Type", "application/json");
  for (const auto& [name, value] : aReply.m_headers) {
    response.append_header(name, value);
  }
  response.set_content_length(aReply.m_body.size());
  response.connection_close();
  response.set_body(aReply.m_body.substr(0, aReply.m_body.size() / 2)).done();
}

/// \brief Closes the connection without sending a byte.
inline void CloseWithoutResponse(const CallPtr& aCall)
{
  auto connection = std::move(restinio::impl::access_req_connection(*aCall->m_request));
  if (connection) {
    connection->write_response_parts(
      aCall->m_request->request_id(),
      { restinio::response_parts_attr_t::final_parts,
        restinio::response_connection_attr_t::connection_close },
      restinio::write_group_t{ restinio::writable_items_container_t{} });
  }
}

/// \brief Calls that get no response; when the fault ends, their connections are closed.
class HeldCalls
{
public:
  void Add(CallPtr aCall) { m_calls.push_back(std::move(aCall)); }
  void CloseAll()
  {
    for (const auto& call : std::exchange(m_calls, {})) {
      CloseWithoutResponse(call);
    }
  }

private:
  std::vector<CallPtr> m_calls;
};

/// \brief Runs a function once after a delay.
inline std::shared_ptr<asio::steady_timer> After(asio::io_context& aContext, Millis aDelay,
                                                 std::function<void()> aTask)
{
  auto timer = std::make_shared<asio::steady_timer>(aContext, aDelay);
  timer->async_wait([timer, task = std::move(aTask)](const asio::error_code& aError) {
    if (!aError) {
      task();
    }
  });
  return timer;
}

struct Traits : restinio::default_single_thread_traits_t
{
  // RESTinio prescribes this name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

inline std::pair<std::string, std::string> SplitAddress(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("address '" + aAddress + "' is not IP:PORT");
  }
  return { aAddress.substr(0, colon), aAddress.substr(colon + 1) };
}

/// \brief Serves until SIGTERM or SIGINT. Port 0 takes a free port, which the ready line names.
inline int Serve(asio::io_context& aContext, const std::string& aListen, std::size_t aConnections,
                 std::function<void(const CallPtr&)> aHandler)
{
  using Server = restinio::http_server_t<Traits>;
  // clang 14 rejects structured bindings in lambda captures.
  const auto listen = SplitAddress(aListen);
  const auto handle = [&aHandler](restinio::request_handle_t aRequest) {
    auto call = MakeCall(std::move(aRequest));
    try {
      aHandler(call);
    } catch (const std::exception& error) {
      Send(call, ErrorReply(400, error.what()));
    }
    return restinio::request_accepted();
  };
  // Held responses must outlast every client timeout, so that the server never closes first.
  constexpr auto kHoldLimit = std::chrono::hours(24);
  Server server{ restinio::external_io_context(aContext), [&](auto& aSettings) {
                  aSettings.address(listen.first)
                    .port(static_cast<std::uint16_t>(std::stoul(listen.second)))
                    .max_parallel_connections(aConnections)
                    .handle_request_timeout(kHoldLimit)
                    .read_next_http_message_timelimit(kHoldLimit)
                    .acceptor_post_bind_hook([&](asio::ip::tcp::acceptor& aAcceptor) {
                      std::cout << "listening on " << listen.first << ':'
                                << aAcceptor.local_endpoint().port() << std::endl;
                    })
                    .request_handler(handle);
                } };
  asio::signal_set signals{ aContext, SIGTERM, SIGINT };
  signals.async_wait([&aContext](const asio::error_code&, int) { aContext.stop(); });
  server.open_sync();
  aContext.run();
  return 0;
}

} // namespace standin
