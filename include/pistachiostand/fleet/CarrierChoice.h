#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/fleet/Inventory.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Selects the entry instance that carries the orders for a backend server.
///
/// The functions have no side effects. Orders for hundreds of backend servers take more processor
/// time than one entry instance has. A few instances in each zone therefore share the servers of
/// the zone in proportion to their processor shares. When one carrier is added or lost, only the
/// servers that it gains or had change their carrier.

namespace pistachiostand::fleet {

/// \brief An entry instance that can carry orders.
struct CarrierView
{
  std::string m_process;
  ZoneName m_zone;
  double m_processorShare{};

  friend auto operator<=>(const CarrierView&, const CarrierView&) = default;
};

/// \brief Number of instances in one zone that carry at the same time: those with the largest
/// processor shares. Fewer carriers put more orders into one message.
inline constexpr std::size_t kCarriersPerZone = 3;

/// \brief Returns the carriers to use: the largest of each zone, in a fixed order.
[[nodiscard]] std::vector<CarrierView> SelectCarriers(std::vector<CarrierView> aAll);

/// \brief Returns the index into `aInUse` of the carrier for a server: one of its zone, or of any
/// zone when its own has none. Returns nothing when there are no carriers.
[[nodiscard]] std::optional<std::size_t> ChooseCarrier(const std::vector<CarrierView>& aInUse,
                                                       const ZoneName& aZone,
                                                       const ServerId& aServer);

} // namespace pistachiostand::fleet
