#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/ownership/Leadership.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief When an owner may order an instance that an earlier owner has ordered.
///
/// Orders for one instance by two owners must not come within the platform's exclusive time. An
/// owner stores a record before each order. Its time is on the steady clock of its author, and so
/// is that of the author's last ownership record, whose arrival a later owner has seen: no two
/// clocks are compared, so a time of day that jumps does no harm.

namespace pistachiostand::fleet {

/// \brief Record of an order for an instance, stored before each time that it is sent.
struct InstanceOrder
{
  std::string m_process; ///< Entry instance and its incarnation.
  Millis m_sentMs{};     ///< On the steady clock of its author.

  friend auto operator<=>(const InstanceOrder&, const InstanceOrder&) = default;
};

[[nodiscard]] std::string EncodeInstanceOrder(const InstanceOrder& aOrder);
[[nodiscard]] std::optional<InstanceOrder> DecodeInstanceOrder(std::string_view aBytes);

/// \brief Time that has passed since the order at least; nothing when that cannot be told.
[[nodiscard]] std::optional<Millis> MinAgeMs(const InstanceOrder& aOrder,
                                             const PreviousOwner& aEarlier, Millis aNowMs) noexcept;

} // namespace pistachiostand::fleet
