#pragma once

#include "PlainCall.h"

#include <optional>

/// \file
/// \brief State of one attempt that this process makes at a job.

namespace pistachiostand {

struct ActiveAttempt
{
  CallerRequest m_request; ///< For a queued job without a responder.
  bool m_queuedJob{};      ///< The job was in the log before this attempt.
  QueuedRequest m_queued;
  std::optional<ServerRef> m_server; ///< Holds a slot there until ReleaseSlot().
  std::uint32_t m_attempt{};         ///< Number of the accepted claim.
  Millis m_claimedMs{};              ///< When the claim was proposed, on the monotonic clock.
  Millis m_sentMs{};
  std::uint32_t m_tries{};
  bool m_holdsRefusedClaim{}; ///< Holds the claim of an attempt that its server refused; claims the
                              ///< next.
  bool m_stopSent{};
  bool m_abandoned{}; ///< The claim did not show up in time; it is given back if it does.
};

} // namespace pistachiostand
