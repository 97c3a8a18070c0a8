#pragma once

#include "pistachiostand/base/Endpoint.h"
#include "pistachiostand/base/Types.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// \brief HTTP requests and replies as plain values, so that tests need no sockets.

namespace pistachiostand {

struct CommandRequest
{
  std::string m_method;
  std::string m_path; ///< Includes the query; percent-encoded.
  std::vector<std::string> m_headers;
  std::string m_body;
};

struct HttpReply
{
  int m_status{};
  std::map<std::string, std::string> m_headers; ///< Names in lower case.
  std::string m_body;
};

/// \brief Failure of an exchange that produced no reply.
struct TransportError
{
  bool m_sent{}; ///< True when the daemon may have received the request.
  std::string m_cause;
};

using TransportResult = std::variant<HttpReply, TransportError>;
using Transport = std::function<TransportResult(const Endpoint&, const CommandRequest&, Millis)>;

/// \brief External dependencies of a command: HTTP, a monotonic clock in milliseconds, and sleep.
struct Environment
{
  Transport m_transport;
  std::function<Millis()> m_nowMs;
  std::function<void(Millis)> m_sleep;
};

[[nodiscard]] CommandRequest PublishRequest(Revision aBase, std::string_view aAuthor,
                                            std::string_view aRules);
[[nodiscard]] CommandRequest RulesRequest();
[[nodiscard]] CommandRequest ProvenanceRequest(std::string_view aRule);
[[nodiscard]] CommandRequest StatusRequest();
[[nodiscard]] CommandRequest JobRequest(std::string_view aKey, std::string_view aTenant);

} // namespace pistachiostand
