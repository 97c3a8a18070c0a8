#pragma once

#include "EntrySettings.h"
#include "Metrics.h"
#include "OrderRouter.h"

#include "platform/Orders.h"
#include "platform/Store.h"

#include "pistachiostand/account/Share.h"
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
#include <string_view>

/// \file
/// \brief State that the parts of the owner share for the duration of one ownership.

namespace pistachiostand::fleet {

/// \brief Clock of a backend server at a time of the owner's steady clock.
struct ClockSample
{
  Millis m_serverMs{};
  Millis m_localMs{};
  std::int64_t m_incarnation{}; ///< Incarnation with this clock; 0: not known.
};

/// \brief What the owner has recorded about a backend server.
struct ServerState
{
  ServerRegistration m_registration;
  bool m_registered{};  ///< Currently registered.
  bool m_hasReported{}; ///< Has reported under this ownership.
  bool m_lastReportHadEnds{};
  std::int64_t m_incarnation{};      ///< 0: not known yet.
  std::int64_t m_endedIncarnation{}; ///< Latest one that an order has ended; 0: none.
  Millis m_endedMs{};                ///< When that order was reported as done.
  std::optional<ClockSample> m_clock;
  Millis m_leaseEndMs{};         ///< Latest end of any lease there, on the owner's steady clock.
  std::string_view m_leaseBasis; ///< Why the lease is assumed to last until then, for the log.
  std::uint64_t m_appliedEnds{}; ///< Ends up to this number are in the job table,
  std::uint64_t m_storedEnds{};  ///< and up to this one in the store.
  std::uint64_t m_pollCall{};    ///< Call in flight; 0: none.
  Millis m_pollSentMs{};
  Millis m_nextPollMs{};
  Millis m_contactMs{};         ///< Last response.
  unsigned m_unansweredCalls{}; ///< Consecutive calls without a response.
  unsigned m_failedRuns{};      ///< Consecutive failed runs.
  Millis m_avoidUntilMs{};
};

/// \brief State of one ownership; the referenced objects outlive it.
struct OwnerState
{
  asio::io_context& m_loop;
  HttpClient& m_client;
  const EntrySettings& m_settings;
  platform::Store& m_store;
  const Configuration& m_configuration;
  Metrics& m_metrics;
  std::function<bool()> m_holdsOwnershipLease;   ///< The ownership is confirmed.
  std::function<Millis()> m_confirmedMs;         ///< When it was last confirmed.
  std::function<Millis()> m_ownershipLeaseEndMs; ///< End of the confirmed ownership lease.
  std::function<void()> m_handOver; ///< Posts a release, so that another process takes over.
  std::function<void(std::string_view)> m_stepDown; ///< Posts the end of this ownership.
  FencingToken m_token{};
  Millis m_claimedMs{};
  std::string m_process; ///< Entry instance and its incarnation.
  AuthorRecord m_previousOwner;
  bool m_isLargeFleet{}; ///< An earlier owner used carriers.
  OrderRouter m_orders;
  platform::InstanceOrders m_instances;
  JobTable m_jobTable{};
  std::map<ServerId, ServerState> m_servers{};
  RunTimes m_runTimes{};
  Arrivals m_arrivals{};
  ShareMeters m_shares{};    ///< Share that each account has used of its weight.
  Millis m_arrivalsAsOfMs{}; ///< The job table has all submissions up to this time; 0: none.
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

/// \brief Estimate of a server's clock now, never ahead of the actual clock.
[[nodiscard]] std::optional<Millis> ServerClockMs(const ServerState& aServer,
                                                  Millis aNowMs) noexcept;

/// \brief True when the response to a call sent at `aSentMs` shows a clock that was reset: the
/// server has restarted since its clock was recorded. A restart soon after the previous one may go
/// undetected.
[[nodiscard]] bool IsLaterIncarnation(const ServerState& aServer, Millis aServerMs,
                                      Millis aSentMs) noexcept;

/// \brief Latest time on the owner's steady clock at which a lease granted now may still be valid.
[[nodiscard]] Millis LatestLeaseEndMs(Millis aNowMs, Millis aLeaseMs) noexcept;

/// \brief Assumes that leases on the server may be in force until `aEndMs`. An earlier end changes
/// nothing, since leases are never shortened.
void ExtendLease(ServerState& aServer, Millis aEndMs, std::string_view aBasis);

/// \brief Formats the id of a subtask for log lines.
[[nodiscard]] std::string ToString(const SubtaskId& aId);
using pistachiostand::ToString;

} // namespace pistachiostand::fleet
