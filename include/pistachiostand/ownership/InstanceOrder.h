#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/ownership/Leadership.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Determines when an owner may send an order for an instance after a previous owner's
/// order.
///
/// Orders of two owners for one instance must not arrive within the platform's exclusive time. An
/// owner therefore stores a record before each order, with the time on its own steady clock. Its
/// last ownership record has a time on the same clock, and a later owner knows on its own clock
/// when it read that record. Times of different clocks are never compared, so jumps of the wall
/// clock do no harm.

namespace pistachiostand::fleet {

/// \brief Record of an order for an instance, stored before each time that the order is sent.
struct InstanceOrder
{
  std::string m_process; ///< Entry instance and its incarnation.
  Millis m_sentMs{};     ///< On the steady clock of its author.

  friend auto operator<=>(const InstanceOrder&, const InstanceOrder&) = default;
};

[[nodiscard]] std::string EncodeInstanceOrder(const InstanceOrder& aOrder);
[[nodiscard]] std::optional<InstanceOrder> DecodeInstanceOrder(std::string_view aBytes);

/// \brief Returns a lower bound of the time since the order, or nothing when it is unknown.
[[nodiscard]] std::optional<Millis> MinAgeMs(const InstanceOrder& aOrder,
                                             const AuthorRecord& aEarlier, Millis aNowMs) noexcept;

} // namespace pistachiostand::fleet
