#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/connection/HttpMessage.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief Outcome of a request as reported to its caller.

namespace pistachiostand {

enum class OutcomeKind : std::uint8_t
{
  Completed, ///< The response is complete.
  NotRun,    ///< It provably never started.
  Unknown,   ///< It may have run; query its key, or retry an idempotent request.
  Stopped,   ///< It may have run in part and will not run again.
};

/// \brief Name as in `X-Outcome`.
[[nodiscard]] std::string_view ToString(OutcomeKind aKind) noexcept;

/// \brief Contents of a response that does not come from a backend server.
struct OutcomeNotice
{
  OutcomeKind m_kind{};
  std::uint16_t m_status{};
  std::string m_error; ///< Stable name, such as `tenant-queue-full`.
  std::string m_cause;
  std::string m_remedy;
  std::string m_requestId;
  Millis m_retryAfterMs{}; ///< 0 means none.
  std::string m_location;  ///< URL to poll for the outcome; empty for none.

  friend auto operator<=>(const OutcomeNotice&, const OutcomeNotice&) = default;
};

/// \brief The notice as a JSON response with `X-Outcome`, `Retry-After` and `Location`.
[[nodiscard]] HttpResponse ToResponse(const OutcomeNotice& aNotice);

/// \brief Header fields that are sent with the recorded response of a job. The log keeps only the
/// status and the body of that response.
inline const HttpHeaders kJsonHeaders{ { "content-type", "application/json" } };

/// \brief A backend server's response as it is sent to the caller.
[[nodiscard]] HttpResponse CompletedResponse(std::uint16_t aStatus, std::string aBody,
                                             HttpHeaders aHeaders, const std::string& aRequestId);

/// \brief True for a name of 1 to 128 letters, digits and characters of `._:-`.
[[nodiscard]] bool IsToken(std::string_view aText) noexcept;

} // namespace pistachiostand
