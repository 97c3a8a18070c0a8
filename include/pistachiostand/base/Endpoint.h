#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief An IP address with a port. Host names are refused, so no resolver is needed.

namespace pistachiostand {

struct Endpoint
{
  std::string m_ip;
  std::uint16_t m_port{};

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// \brief Parses `127.0.0.1:8080` or `[::1]:8080`; returns nothing for host names or bad ports.
[[nodiscard]] std::optional<Endpoint> ParseEndpoint(std::string_view aText);

/// \brief The form that ParseEndpoint reads.
[[nodiscard]] std::string ToString(const Endpoint& aEndpoint);

} // namespace pistachiostand
