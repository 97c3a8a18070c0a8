#pragma once

#include "PlainCall.h"

#include <optional>

/// \file
/// \brief State of a job that this process tries to run; it may cover several numbered attempts.

namespace pistachiostand {

struct ActiveAttempt
{
  CallerRequest m_request;           ///< Has no responder for a queued job.
  bool m_queuedJob{};                ///< The job was submitted to the log before this attempt.
  QueuedRequest m_queued;            ///< Entry in the admission queue.
  std::optional<ServerRef> m_server; ///< Set while a slot of this server is held.
  std::uint32_t m_attempt{};         ///< Attempt number of the accepted claim.
  Millis m_claimedMs{};              ///< When the claim was proposed, on the monotonic clock.
  Millis m_sentMs{};                 ///< When the latest attempt was sent; 0 before the first.
  std::uint32_t m_tries{};           ///< How often this process has queued the job for a slot.
  /// The server has not started the claimed attempt; the claim is held until the next one replaces
  /// it.
  bool m_holdsUnstartedClaim{};
  bool m_stopSent{};
  bool m_abandoned{}; ///< The claim was not read back in time; it is released if it is read later.
};

} // namespace pistachiostand
