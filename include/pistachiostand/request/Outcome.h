#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/connection/HttpMessage.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// \brief What a caller is told about its request.

namespace pistachiostand {

enum class OutcomeKind : std::uint8_t
{
  Completed, ///< The whole response.
  NotRun,    ///< It provably never started.
  Unknown,   ///< It may have run; the key can be asked for, or an idempotent request repeated.
  Stopped,   ///< It may have run in part and will not run again.
};

/// \brief Name as in `X-Outcome`.
[[nodiscard]] std::string_view ToString(OutcomeKind aKind) noexcept;

/// \brief Body of a response that is not a backend server's own.
struct OutcomeNotice
{
  OutcomeKind m_kind{};
  std::uint16_t m_status{};
  std::string m_error; ///< Stable name, such as `queue-full`.
  std::string m_cause;
  std::string m_remedy;
  std::string m_requestId;
  Millis m_retryAfterMs{}; ///< 0 is none.
  std::string m_location;  ///< Where to ask again; empty for none.

  friend auto operator<=>(const OutcomeNotice&, const OutcomeNotice&) = default;
};

/// \brief The notice as a JSON response with `X-Outcome`, `Retry-After` and `Location`.
[[nodiscard]] HttpResponse ToResponse(const OutcomeNotice& aNotice);

/// \brief Header fields of a job's response, of which the log keeps only status and body.
inline const HttpHeaders kJsonHeaders{ { "content-type", "application/json" } };

/// \brief A backend server's response as the caller gets it.
[[nodiscard]] HttpResponse CompletedResponse(std::uint16_t aStatus, std::string aBody,
                                             HttpHeaders aHeaders, const std::string& aRequestId);

/// \brief True for a name of 1 to 128 characters out of letters, digits and `._:-`.
[[nodiscard]] bool IsToken(std::string_view aText) noexcept;

} // namespace pistachiostand
