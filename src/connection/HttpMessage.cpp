#include "pistachiostand/connection/HttpMessage.h"

#include "pistachiostand/base/PercentCoding.h"

#include <algorithm>
#include <cctype>

namespace pistachiostand {

namespace {

char ToLower(unsigned char aChar)
{
  return static_cast<char>(std::tolower(aChar));
}

bool ParseParameter(std::string_view aText, HttpRequest& aRequest)
{
  const auto equals = std::min(aText.find('='), aText.size());
  const auto name = PercentDecode(aText.substr(0, equals));
  const auto value = PercentDecode(aText.substr(std::min(equals + 1, aText.size())));
  if (!name || !value) {
    return false;
  }
  aRequest.m_query.insert_or_assign(*name, *value);
  return true;
}

} // namespace

void SetHeader(HttpHeaders& aHeaders, std::string_view aName, std::string_view aValue)
{
  std::string name{ aName };
  std::ranges::transform(name, name.begin(), ToLower);
  aHeaders.insert_or_assign(std::move(name), std::string{ aValue });
}

std::string_view FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  const auto found = aHeaders.find(aName);
  return found == aHeaders.end() ? std::string_view{} : std::string_view{ found->second };
}

std::string_view StatusText(std::uint16_t aStatus) noexcept
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 413:
      return "Payload Too Large";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

bool ParseTarget(std::string_view aTarget, HttpRequest& aRequest)
{
  const auto question = std::min(aTarget.find('?'), aTarget.size());
  const auto path = PercentDecode(aTarget.substr(0, question));
  if (!path) {
    return false;
  }
  aRequest.m_path = *path;
  std::string_view query = aTarget.substr(std::min(question + 1, aTarget.size()));
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    if (!ParseParameter(query.substr(0, end), aRequest)) {
      return false;
    }
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return true;
}

} // namespace pistachiostand
