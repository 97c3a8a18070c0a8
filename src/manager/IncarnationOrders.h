#pragma once

#include "platform/Orders.h"

#include "pistachiostand/base/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>

/// \file
/// \brief Sends orders so that only the intended incarnation of a backend server carries them out.
///
/// A restarted server keeps its id and address, and its clock starts anew, so that a deadline for
/// the previous incarnation lies far in the future. Nothing in a call names the incarnation. But a
/// connection ends with the process that accepted it: what is sent on a connection does not reach a
/// later incarnation than the one that reported after the connection was established.

namespace pistachiostand::fleet {

class IncarnationOrders
{
public:
  explicit IncarnationOrders(HttpClient& aClient)
    : m_client(aClient)
    , m_orders(aClient)
  {
  }

  /// \brief Starts a run, after a poll where no connection is known to lead to the incarnation.
  /// `IncarnationMismatch` when another incarnation answers the poll.
  void Start(const ServerRegistration& aServer, const platform::StartOrder& aOrder,
             Millis aSendBeforeMs, Millis aTimeoutMs, platform::OrderCallback aDone);

  /// \brief Polls the server. Where no connection is known to lead to the incarnation, the poll
  /// renews and acknowledges nothing, and responds at once.
  /// \return an id for Cancel().
  std::uint64_t Poll(const ServerRegistration& aServer, platform::PollRequest aRequest,
                     Millis aTimeoutMs, std::function<void(const platform::PollResult&)> aDone);

  /// \brief Drops a poll; its callback is not called.
  void Cancel(std::uint64_t aCall);

  void Stop(const ServerRegistration& aServer, const RunRef& aRun,
            const platform::Permission& aPermission, Millis aTimeoutMs,
            platform::OrderCallback aDone)
  {
    m_orders.Stop(aServer, aRun, aPermission, aTimeoutMs, std::move(aDone));
  }

  void Throttle(const ServerRegistration& aServer, const RunRef& aRun, int aPercent,
                const platform::Permission& aPermission, Millis aTimeoutMs,
                platform::OrderCallback aDone)
  {
    m_orders.Throttle(aServer, aRun, aPercent, aPermission, aTimeoutMs, std::move(aDone));
  }

private:
  /// \brief The last incarnation that reported from an address.
  struct LastReport
  {
    std::int64_t m_incarnation{};
    Millis m_sentMs{}; ///< When the poll was sent, on the monotonic clock.
  };

  struct PendingStart
  {
    ServerRegistration m_server;
    platform::StartOrder m_order;
    Millis m_sendBeforeMs{};
    Millis m_deadlineMs{}; ///< For the response, on the monotonic clock.
    platform::OrderCallback m_done;
  };

  /// \brief Starts for one address that wait for a connection to their incarnation.
  struct StartQueue
  {
    std::deque<PendingStart> m_starts;
    std::size_t m_polls{}; ///< Polls in flight that open connections for them.
  };

  /// \brief Sends the waiting starts for which a connection is free, and polls for the others. The
  /// cost does not depend on how many wait.
  void SendQueued(const Endpoint& aAddress);
  static void Withhold(const PendingStart& aStart, const platform::OrderResult& aResult);
  void SendStart(PendingStart aStart);
  void PollForStarts(const PendingStart& aStart);
  void OnPolledForStarts(const Endpoint& aAddress, const platform::PollResult& aResult);
  /// \brief Removes the waiting starts that the condition selects, and reports their outcome.
  void FinishQueued(const Endpoint& aAddress, const platform::OrderResult& aResult,
                    const std::function<bool(const PendingStart&)>& aCondition);
  /// \brief Sends a poll again that its server did not get.
  void RepeatPoll(std::uint64_t aCall, const ServerRegistration& aServer,
                  const platform::PollRequest& aRequest, Millis aTimeoutMs,
                  std::function<void(const platform::PollResult&)> aDone);
  std::uint64_t SendPoll(const ServerRegistration& aServer, const platform::PollRequest& aRequest,
                         Millis aTimeoutMs, std::function<void(const platform::PollResult&)> aDone);
  /// \brief Time by which a connection must have been established to lead to the incarnation; 0:
  /// none is known to.
  [[nodiscard]] Millis EstablishedByMs(const Endpoint& aAddress, std::int64_t aIncarnation) const;

  HttpClient& m_client;
  platform::ServerOrders m_orders;
  std::map<Endpoint, LastReport> m_reports;
  std::map<Endpoint, StartQueue> m_queues;
  /// Polls that were sent again without a lease, by the id of the first call.
  std::map<std::uint64_t, std::uint64_t> m_repeatedPolls;
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

} // namespace pistachiostand::fleet
