#pragma once

#include "CarrierPool.h"
#include "IncarnationOrders.h"

#include "platform/Orders.h"

#include <functional>
#include <map>
#include <memory>

/// \file
/// \brief Sends the owner's orders to backend servers, through a carrier if there is one, otherwise
/// directly.

namespace pistachiostand::fleet {

class OrderRouter
{
public:
  explicit OrderRouter(HttpClient& aClient)
    : m_direct(aClient)
  {
  }

  /// \brief Uses these carriers from now on.
  void SetCarriers(std::unique_ptr<CarrierPool> aCarriers) { m_carriers = std::move(aCarriers); }

  [[nodiscard]] bool HasCarriers() const noexcept { return m_carriers != nullptr; }

  /// \brief Cores of the largest carrier in use; 0 without any.
  [[nodiscard]] double LargestShare() const { return m_carriers ? m_carriers->LargestShare() : 0; }

  /// \brief True when the carriers of all other zones are lost.
  [[nodiscard]] bool HasLostOtherZones(const ZoneName& aZone) const
  {
    return m_carriers && m_carriers->HasLostOtherZones(aZone);
  }

  /// \brief Carriers in use.
  [[nodiscard]] std::size_t CarrierCount() const { return m_carriers ? m_carriers->Count() : 0; }

  void Start(const ServerRegistration& aServer, const platform::StartOrder& aOrder,
             Millis aSendBeforeMs, Millis aTimeoutMs, platform::OrderCallback aDone);
  void Stop(const ServerRegistration& aServer, const RunRef& aRun,
            const platform::Permission& aPermission, Millis aTimeoutMs,
            platform::OrderCallback aDone);
  void Throttle(const ServerRegistration& aServer, const RunRef& aRun, int aPercent,
                const platform::Permission& aPermission, Millis aTimeoutMs,
                platform::OrderCallback aDone);
  /// \return an id for Cancel().
  std::uint64_t Poll(const ServerRegistration& aServer, const platform::PollRequest& aOrder,
                     Millis aTimeoutMs, std::function<void(const platform::PollResult&)> aDone);

  /// \brief Drops a poll; its callback is not called.
  void Cancel(std::uint64_t aCall);

private:
  using ResultCallback = std::function<void(const CarriedResult&)>;

  /// \return the id of the call; 0 when the order has to be sent directly.
  std::uint64_t SendThroughCarrier(const ServerRegistration& aServer, CarriedOrder aOrder,
                                   ResultCallback aDone);
  [[nodiscard]] bool UsesCarrier(const ServerId& aServer);

  IncarnationOrders m_direct;
  std::unique_ptr<CarrierPool> m_carriers;
  std::map<ServerId, Millis> m_directUntilMs; ///< Servers that a carrier could not reach.
};

} // namespace pistachiostand::fleet
