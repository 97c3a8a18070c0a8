#pragma once

#include "pistachiostand/base/Types.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Which entry instance owns the fleet, decided by a log of conditional appends.
///
/// A record is appended only at the end that its author has read, so the log is a chain: a claim
/// succeeds only when nobody has renewed since. The offset of a claim gives its fencing token,
/// which therefore grows with each change of owner and never has two holders.
///
/// Each record says for how long its author acts after it was sent. Others claim when they have
/// seen no record for that time and a margin. Both count on their own steady clocks. An owner whose
/// calls take long says a longer time, so a slow store does not change the owner.

namespace pistachiostand::fleet {

using FencingToken = std::uint64_t;

enum class OwnershipRecordKind : std::uint8_t
{
  Claim,
  Renewal,
  Release, ///< The owner has stopped acting; others may claim at once.
};

struct OwnershipRecord
{
  OwnershipRecordKind m_kind{};
  std::string m_process;  ///< Entry instance and its incarnation.
  std::string m_address;  ///< Where the owner answers other entry instances.
  FencingToken m_token{}; ///< Of the owner; unused in a claim.
  Millis m_sentMs{};      ///< When it was sent, on the steady clock of its author.
  Millis m_actMs{};       ///< For how long its author acts after that.

  friend auto operator<=>(const OwnershipRecord&, const OwnershipRecord&) = default;
};

[[nodiscard]] std::string EncodeOwnershipRecord(const OwnershipRecord& aRecord);
[[nodiscard]] std::optional<OwnershipRecord> DecodeOwnershipRecord(std::string_view aBytes);

/// \brief Interval of renewals: four tries within the shortest time to act.
inline constexpr Millis kRenewMs = 300;
/// \brief Bounds of the time that an owner acts on its last stored record. The lower one bridges
/// three lost answers, the upper one a store that takes most of a second for each call.
inline constexpr Millis kMinActMs = 1'200;
inline constexpr Millis kMaxActMs = 2'600;
/// \brief Others wait this much longer than the owner acts.
inline constexpr Millis kClaimMarginMs = 300;

/// \brief Time to act for an owner whose last calls took up to `aCallMs`.
[[nodiscard]] Millis ActMs(Millis aCallMs) noexcept;

/// \brief Wait before a claim of an instance with `aProcessorShare` cores.
///
/// An owner uses a quarter of a core with 350 backend servers, so instances with less than that
/// claim later, and only when no larger one has.
[[nodiscard]] Millis ClaimDelayMs(double aProcessorShare) noexcept;

/// \brief What a process has read of the log of ownership.
struct OwnershipView
{
  Offset m_next{};        ///< Offset after the last record read.
  FencingToken m_token{}; ///< Of the current owner; 0 when nobody is.
  std::string m_owner;    ///< Its process; empty when nobody is.
  std::string m_address;
  std::optional<Millis> m_lastRecordMs; ///< When the last record was read.
  Millis m_actMs{ kMaxActMs };          ///< For how long its author acts.
  bool m_current{};                     ///< The log was read to its end at least once.

  friend bool operator==(const OwnershipView&, const OwnershipView&) = default;
};

/// \brief Applies the record at `aOffset`.
void ApplyOwnershipRecord(OwnershipView& aView, Offset aOffset, const OwnershipRecord& aRecord,
                          Millis aNowMs);

/// \brief Marks that the log was read to its end.
void MarkCurrent(OwnershipView& aView, Millis aNowMs);

/// \brief True when the silence of the owner allows a claim. `aDelayMs` spreads the claims of
/// several processes.
[[nodiscard]] bool MayClaim(const OwnershipView& aView, Millis aNowMs, Millis aDelayMs) noexcept;

} // namespace pistachiostand::fleet
