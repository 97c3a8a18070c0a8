#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/fleet/Inventory.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Which entry instance carries the orders for a backend server.
///
/// Pure. Answers the load of hundreds of backend servers, whose orders take more processor time
/// than one entry instance has: a few instances in the zone of the server share its orders, by
/// their processors, and a change of one carrier moves only the servers that it had or gets.

namespace pistachiostand::fleet {

/// \brief An entry instance that can carry orders.
struct CarrierView
{
  std::string m_process;
  ZoneName m_zone;
  double m_processorShare{};

  friend auto operator<=>(const CarrierView&, const CarrierView&) = default;
};

/// \brief Instances of one zone that carry at the same time: the ones with the largest processors.
/// Fewer carriers put more orders into one message.
inline constexpr std::size_t kCarriersPerZone = 3;

/// \brief The carriers in use: the largest of each zone, in a fixed order.
[[nodiscard]] std::vector<CarrierView> SelectCarriers(std::vector<CarrierView> aAll);

/// \brief Index into `aInUse` of the carrier for a server: one of its zone, or of any zone when its
/// own has none; nothing without carriers.
[[nodiscard]] std::optional<std::size_t> ChooseCarrier(const std::vector<CarrierView>& aInUse,
                                                       const ZoneName& aZone,
                                                       const ServerId& aServer);

} // namespace pistachiostand::fleet
