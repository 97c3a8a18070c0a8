#pragma once

#include "pistachiostand/connection/HttpClient.h"

#include <nlohmann/json.hpp>

#include <optional>

/// \file
/// \brief Reads values out of a JSON response.

namespace pistachiostand::internal {

/// \brief Calls `aParse` with the JSON of a complete response of status 200; nothing for any other.
///
/// JSON accessors throw on a missing field or a value of another type; such a response is unusable.
template<typename Parse>
auto ParseJsonResponse(const ClientResponse& aResponse, Parse aParse)
  -> decltype(aParse(nlohmann::json{}))
{
  if (aResponse.m_failure || aResponse.m_status != 200) {
    return std::nullopt;
  }
  try {
    return aParse(nlohmann::json::parse(aResponse.m_body));
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace pistachiostand::internal
