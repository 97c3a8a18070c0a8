#pragma once

#include "EntrySettings.h"
#include "Metrics.h"
#include "OrderRouter.h"

#include "platform/Orders.h"
#include "platform/Store.h"

#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/Arrivals.h"
#include "pistachiostand/job/JobTable.h"
#include "pistachiostand/job/RunTimes.h"
#include "pistachiostand/ownership/Leadership.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// \file
/// \brief What the parts of the owner share. It lives as long as one ownership.

namespace pistachiostand::fleet {

/// \brief Clock of a backend server at a moment of the owner's steady clock.
struct ClockSample
{
  Millis m_serverMs{};
  Millis m_localMs{};
};

/// \brief A backend server as the owner knows it.
struct ServerState
{
  ServerRegistration m_registration;
  bool m_registered{};               ///< Registered at the moment.
  bool m_hasReported{};              ///< Has reported under this ownership.
  bool m_lastReportHadEnds{};        ///< Its last report had ends.
  std::int64_t m_incarnation{};      ///< 0: not known yet.
  std::int64_t m_endedIncarnation{}; ///< Lives up to this one were ended by an order; 0: none.
  Millis m_endedMs{};                ///< When that order was answered.
  std::optional<ClockSample> m_clock;
  Millis m_leaseEndMs{};         ///< Latest end of any lease there, on the owner's steady clock.
  std::uint64_t m_appliedEnds{}; ///< Ends up to this number are in the book,
  std::uint64_t m_storedEnds{};  ///< and up to this one in the store.
  std::uint64_t m_pollCall{};    ///< Call in flight; 0: none.
  Millis m_pollSentMs{};
  Millis m_nextPollMs{};
  Millis m_contactMs{};         ///< Last answer.
  unsigned m_unansweredCalls{}; ///< Calls without an answer in a row.
  unsigned m_failedRuns{};      ///< Failed runs in a row.
  Millis m_avoidUntilMs{};
};

/// \brief What an ownership is made of; the references outlive it.
struct OwnerState
{
  asio::io_context& m_loop;
  HttpClient& m_client;
  const EntrySettings& m_settings;
  platform::Store& m_store;
  const Configuration& m_configuration;
  Metrics& m_metrics;
  std::function<bool()> m_holdsOwnershipLease;      ///< The ownership is confirmed.
  std::function<Millis()> m_confirmedMs;            ///< When it was last confirmed.
  std::function<Millis()> m_ownershipLeaseEndMs;    ///< Until when it may act, as confirmed.
  std::function<void()> m_handOver;                 ///< Lets another process own the fleet, later.
  std::function<void(std::string_view)> m_stepDown; ///< Ends this ownership, later.
  FencingToken m_token{};
  Millis m_claimedMs{};
  std::string m_process; ///< Entry instance and its incarnation.
  PreviousOwner m_previousOwner;
  bool m_isLargeFleet{}; ///< An earlier owner used carriers.
  OrderRouter m_orders;
  platform::InstanceOrders m_instances;
  JobTable m_jobTable{};
  std::map<ServerId, ServerState> m_servers{};
  RunTimes m_runTimes{};
  Arrivals m_arrivals{};
  Millis m_arrivalsAsOfMs{}; ///< Submissions stored up to this time are in the book; 0: not read.
  std::map<QueueName, double> m_meanWork{}; ///< Core-seconds of a job, moving average.
  std::shared_ptr<int> m_alive = std::make_shared<int>();

  /// \brief Wraps a callback so that it does nothing once the ownership has ended.
  template<typename Callback>
  [[nodiscard]] auto Guard(Callback aCallback) const
  {
    return [alive = std::weak_ptr<int>(m_alive),
            callback = std::move(aCallback)](auto&&... aArgs) mutable {
      if (alive.lock()) {
        callback(std::forward<decltype(aArgs)>(aArgs)...);
      }
    };
  }
};

/// \brief Clock of a server now, never ahead of the true one.
[[nodiscard]] std::optional<Millis> ServerClockMs(const ServerState& aServer,
                                                  Millis aNowMs) noexcept;

/// \brief True when an answer to a call of `aSentMs` shows a clock that began anew: the server has
/// started again since its clock was noted. A restart of a younger life may go unnoticed.
[[nodiscard]] bool IsLaterIncarnation(const ServerState& aServer, Millis aServerMs,
                                      Millis aSentMs) noexcept;

/// \brief Latest moment of the owner's steady clock at which a lease granted now may still run.
[[nodiscard]] Millis LatestLeaseEndMs(Millis aNowMs, Millis aLeaseMs) noexcept;

/// \brief Identifies a subtask in log lines.
[[nodiscard]] std::string ToString(const SubtaskId& aId);
using pistachiostand::ToString;

} // namespace pistachiostand::fleet
