#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <future>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief HTTP client for tests; each request uses a new connection.

namespace pistachiostand::testing {

using Json = nlohmann::json;
using RequestHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest
{
  std::string m_method = "GET";
  std::string m_address; ///< IP:PORT
  std::string m_target;  ///< Path and query.
  RequestHeaders m_headers{};
  std::string m_body{};
  std::chrono::milliseconds m_timeout{ 20'000 };
};

struct HttpResponse
{
  long m_status = 0;                            ///< 0 without a complete response.
  std::string m_error;                          ///< libcurl's error text if `m_status` is 0.
  std::map<std::string, std::string> m_headers; ///< Names in lower case.
  std::string m_body;

  [[nodiscard]] std::string Header(const std::string& aName) const
  {
    const auto found = m_headers.find(aName);
    return found == m_headers.end() ? std::string{} : found->second;
  }
  /// \brief The body as JSON; `is_discarded()` if it cannot be parsed.
  [[nodiscard]] Json Body() const { return Json::parse(m_body, nullptr, false); }
  /// \brief A string field of the JSON body, or an empty string without it.
  [[nodiscard]] std::string Field(const std::string& aName) const
  {
    const auto body = Body();
    return body.is_object() ? body.value(aName, std::string{}) : std::string{};
  }
};

[[nodiscard]] HttpResponse SendRequest(const HttpRequest& aRequest);
[[nodiscard]] std::future<HttpResponse> SendAsync(HttpRequest aRequest);

/// \brief Writes bytes to a connection and returns what arrives until the server closes it.
[[nodiscard]] std::string ExchangeBytes(const std::string& aAddress, const std::string& aBytes);

} // namespace pistachiostand::testing
