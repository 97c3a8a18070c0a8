#include "pistachiostand/base/Endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace pistachiostand {

namespace {

bool IsAddress(int aFamily, const std::string& aText)
{
  std::array<unsigned char, sizeof(in6_addr)> address{};
  // inet_pton ignores everything after a zero byte, as would other users of the C string.
  return aText.find('\0') == std::string::npos &&
         inet_pton(aFamily, aText.c_str(), address.data()) == 1;
}

} // namespace

std::optional<Endpoint> ParseEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string ip{ aText.substr(0, colon) };
  const std::string_view port = aText.substr(colon + 1);
  const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  std::uint16_t number = 0;
  const auto parsed = std::from_chars(port.data(), port.data() + port.size(), number);
  const bool portValid =
    parsed.ec == std::errc{} && parsed.ptr == port.data() + port.size() && number != 0;
  if (!portValid || !IsAddress(bracketed ? AF_INET6 : AF_INET, ip)) {
    return std::nullopt;
  }
  return Endpoint{ std::move(ip), number };
}

std::string ToString(const Endpoint& aEndpoint)
{
  const bool v6 = aEndpoint.m_ip.find(':') != std::string::npos;
  return (v6 ? '[' + aEndpoint.m_ip + ']' : aEndpoint.m_ip) + ':' +
         std::to_string(aEndpoint.m_port);
}

} // namespace pistachiostand
