#pragma once

#include "OwnerState.h"

#include "platform/Wire.h"

#include "pistachiostand/fleet/CapacityPlan.h"
#include "pistachiostand/job/Scheduler.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Calls to the placement service, whose tickets the steps of some queues need.
///
/// The service works off the calls of one process one after the other, and also those that the
/// process has given up. So a process has one call in flight, and waits longer after a call without
/// an answer: a line of given-up calls would delay each later call beyond its timeout, too.

namespace pistachiostand::fleet {

/// \brief Time that the service takes for a call, without the calls that wait before it.
[[nodiscard]] Millis AdviceDurationMs(const AdviceCosts& aCosts, std::size_t aServers) noexcept;

/// \brief Largest number of servers for one call: its answer must arrive well before the tickets in
/// it expire.
[[nodiscard]] std::size_t MaxAdviceServers(const AdviceCosts& aCosts) noexcept;

/// \brief Time to wait for the answer to a call that the service begins at once.
/// \param aDoublings how often the time is doubled, because the service is slower than configured.
[[nodiscard]] Millis AdviceTimeoutMs(Millis aDurationMs, unsigned aDoublings) noexcept;

class AdviceCalls
{
public:
  /// \param aOnAnswer called after each call, answered or not.
  AdviceCalls(OwnerState& aState, std::function<void()> aOnAnswer);

  AdviceCalls(const AdviceCalls&) = delete;
  AdviceCalls& operator=(const AdviceCalls&) = delete;
  ~AdviceCalls() = default;

  /// \brief Valid tickets of all steps.
  [[nodiscard]] std::map<StepId, std::map<ServerId, Ticket>> Tickets(Millis aNowMs);

  /// \brief Asks for tickets of the first of the steps, unless a call is in flight. Steps whose
  /// last calls failed come after the others.
  void Ask(const std::vector<StepId>& aSteps, const std::vector<ServerView>& aServers);

  /// \brief Discards a ticket that its server has refused, so that it is not sent again.
  void Discard(const StepId& aStep, const ServerId& aServer);

private:
  struct Answer
  {
    std::map<ServerId, Ticket> m_tickets;
    Millis m_endMs{}; ///< Until when the tickets are valid.
  };

  struct StepState
  {
    unsigned m_failures{};       ///< Consecutive calls without an answer.
    std::size_t m_firstServer{}; ///< First server of the next call, modulo those in the pool.
  };

  /// \brief Servers to name in the next call for a step; each call continues after the last one.
  [[nodiscard]] std::vector<ServerId> ServersToAsk(const StepId& aStep, const PoolName& aPool,
                                                   const AdviceCosts& aCosts,
                                                   const std::vector<ServerView>& aServers);
  /// \param aDurationMs time that the call takes if the service is as fast as configured.
  void OnAnswer(const StepId& aStep, Millis aSentMs, Millis aDurationMs,
                const std::optional<platform::Advice>& aAdvice);

  OwnerState& m_state;
  std::function<void()> m_onAnswer;
  std::map<StepId, Answer> m_answers;
  std::map<StepId, StepState> m_steps; ///< Of active jobs.
  bool m_inFlight{};
  unsigned m_doublings{}; ///< Of the timeout; one more after each call without an answer.
  Millis m_pausedUntilMs{};
  /// When the service has worked off the calls that were given up, if it is as fast as configured.
  Millis m_serviceFreeMs{};
};

} // namespace pistachiostand::fleet
