#pragma once

#include "PlainCall.h"

#include <optional>

/// \file
/// \brief State of one attempt of this process to run a job.

namespace pistachiostand {

struct ActiveAttempt
{
  CallerRequest m_request; ///< Has no responder for a queued job.
  bool m_queuedJob{};      ///< The job was submitted to the log before this attempt.
  QueuedRequest m_queued;
  std::optional<ServerRef> m_server; ///< Set while a slot of this server is held.
  std::uint32_t m_attempt{};         ///< Attempt number of the accepted claim.
  Millis m_claimedMs{};              ///< When the claim was proposed, on the monotonic clock.
  Millis m_sentMs{};
  std::uint32_t m_tries{};
  /// The server refused the claimed attempt; its claim is held until the next claim replaces it.
  bool m_holdsUnstartedClaim{};
  bool m_stopSent{};
  bool m_abandoned{}; ///< The claim was not read back in time; it is released if it is read later.
};

} // namespace pistachiostand
