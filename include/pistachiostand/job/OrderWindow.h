#pragma once

#include "pistachiostand/fleet/Inventory.h"

#include <compare>
#include <cstddef>
#include <map>

/// \file
/// \brief Bounds the orders of one kind that are open at a time, to each backend server and in all.
///
/// Uses no clock, no socket and no other input or output. Handles jobs of many thousand small
/// subtasks that start or are cancelled at once: an open order takes memory and a connection, and
/// one that waits behind thousands of others misses its deadline.

namespace pistachiostand::fleet {

struct OrderLimits
{
  std::size_t m_perServer{};
  std::size_t m_all{};

  friend auto operator<=>(const OrderLimits&, const OrderLimits&) = default;
};

struct OrderWindow
{
  OrderLimits m_limits;
  std::map<ServerId, std::size_t> m_openByServer{}; ///< Servers without open orders have no entry.
  std::size_t m_open{};

  friend bool operator==(const OrderWindow&, const OrderWindow&) = default;
};

/// \brief Number of further orders that may be opened to any servers.
[[nodiscard]] std::size_t OrdersLeft(const OrderWindow& aWindow) noexcept;

/// \brief Number of further orders that may be opened to a server.
[[nodiscard]] std::size_t OrdersLeft(const OrderWindow& aWindow, const ServerId& aServer);

/// \brief Counts an order. Orders that must not be split, such as the starts of a gang, may exceed
/// the limits.
void OpenOrder(OrderWindow& aWindow, const ServerId& aServer);

/// \brief Ends an order; ignored when the server has no open order.
void CloseOrder(OrderWindow& aWindow, const ServerId& aServer);

} // namespace pistachiostand::fleet
