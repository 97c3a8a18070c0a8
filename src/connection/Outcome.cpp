#include "pistachiostand/request/Outcome.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace pistachiostand {

namespace {

constexpr std::size_t kMaxTokenLength = 128;
constexpr Millis kMsPerSecond = 1'000;

} // namespace

std::string_view ToString(OutcomeKind aKind) noexcept
{
  constexpr std::array<std::string_view, 4> kNames{ "completed", "not-run", "unknown", "stopped" };
  return kNames.at(static_cast<std::size_t>(aKind));
}

HttpResponse ToResponse(const OutcomeNotice& aNotice)
{
  HttpResponse response;
  response.m_status = aNotice.m_status;
  SetHeader(response.m_headers, "content-type", "application/json");
  SetHeader(response.m_headers, "x-outcome", ToString(aNotice.m_kind));
  SetHeader(response.m_headers, "x-request-id", aNotice.m_requestId);
  if (aNotice.m_retryAfterMs > 0) {
    // Retry-After is in whole seconds.
    SetHeader(response.m_headers, "retry-after",
              std::to_string((aNotice.m_retryAfterMs + kMsPerSecond - 1) / kMsPerSecond));
  }
  if (!aNotice.m_location.empty()) {
    SetHeader(response.m_headers, "location", aNotice.m_location);
  }
  response.m_body =
    nlohmann::json{
      { "outcome", ToString(aNotice.m_kind) },
      { "kind", aNotice.m_error },
      { "cause", aNotice.m_cause },
      { "remedy", aNotice.m_remedy },
      { "request_id", aNotice.m_requestId }
    }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
    "\n";
  return response;
}

HttpResponse CompletedResponse(std::uint16_t aStatus, std::string aBody, HttpHeaders aHeaders,
                               const std::string& aRequestId)
{
  HttpResponse response{ aStatus, std::move(aHeaders), std::move(aBody) };
  SetHeader(response.m_headers, "x-outcome", ToString(OutcomeKind::Completed));
  SetHeader(response.m_headers, "x-request-id", aRequestId);
  return response;
}

bool IsToken(std::string_view aText) noexcept
{
  return !aText.empty() && aText.size() <= kMaxTokenLength &&
         std::ranges::all_of(aText, [](unsigned char aChar) {
           return std::isalnum(aChar) != 0 || std::string_view{ "._:-" }.find(
                                                static_cast<char>(aChar)) != std::string_view::npos;
         });
}

} // namespace pistachiostand
