#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief HTTP requests and responses as plain values, independent of the libraries.

namespace pistachiostand {

/// \brief Header fields by lower-case name; the last field of a name overrides the others.
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

/// \brief Adds a field under its lower-case name.
void SetHeader(HttpHeaders& aHeaders, std::string_view aName, std::string_view aValue);

/// \brief Value of a field, or empty. `aName` is in lower case.
[[nodiscard]] std::string_view FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

struct HttpRequest
{
  std::string m_method;
  std::string m_path; ///< Without the query, percent-decoded.
  std::map<std::string, std::string, std::less<>> m_query;
  HttpHeaders m_headers;
  std::string m_body;
};

struct HttpResponse
{
  std::uint16_t m_status{ 200 };
  HttpHeaders m_headers;
  std::string m_body;
};

/// \brief Standard reason phrase of a status code; `Status` for one that it does not list.
[[nodiscard]] std::string_view StatusText(std::uint16_t aStatus) noexcept;

/// \brief Splits a request target into path and query; returns false when it is malformed.
[[nodiscard]] bool ParseTarget(std::string_view aTarget, HttpRequest& aRequest);

} // namespace pistachiostand
