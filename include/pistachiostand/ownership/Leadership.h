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
  std::string m_process;       ///< Entry instance and its incarnation.
  std::string m_address;       ///< Where the owner answers other entry instances.
  FencingToken m_token{};      ///< Of the owner; unused in a claim.
  Millis m_sentMs{};           ///< When it was sent, on the steady clock of its author.
  Millis m_ownershipLeaseMs{}; ///< For how long its author acts after that.

  friend auto operator<=>(const OwnershipRecord&, const OwnershipRecord&) = default;
};

[[nodiscard]] std::string EncodeOwnershipRecord(const OwnershipRecord& aRecord);
[[nodiscard]] std::optional<OwnershipRecord> DecodeOwnershipRecord(std::string_view aBytes);

/// \brief Interval of renewals: four tries within the shortest time to act.
inline constexpr Millis kRenewalIntervalMs = 200;
/// \brief Bounds of the time that an owner acts on its last stored record. Nothing starts from the
/// loss of an owner to the end of that time, so the lower one leaves room for three renewals and no
/// more; the upper one is for a store that takes most of a second for each call.
inline constexpr Millis kMinOwnershipLeaseMs = 800;
inline constexpr Millis kMaxOwnershipLeaseMs = 2'600;
/// \brief Others wait this much longer than the owner acts. They count from the reading of a
/// record, so this is for clocks that differ by a few parts in a hundred.
inline constexpr Millis kClaimMarginMs = 200;

/// \brief Time to act for an owner whose last calls took up to `aCallMs`.
[[nodiscard]] Millis OwnershipLeaseMs(Millis aCallMs) noexcept;

/// \brief Cores that an owner should have. With 350 backend servers it uses up to half a core at
/// the peak of a turn, with 50 a quarter is plenty.
inline constexpr double kOwnerCores = 0.25;
inline constexpr double kLargeFleetOwnerCores = 0.5;

/// \brief Wait before a claim of an instance with `aProcessorShare` cores, for an owner that should
/// have `aOwnerCores`: smaller instances claim later, and only when no larger one has.
[[nodiscard]] Millis ClaimDelayMs(double aProcessorShare, double aOwnerCores) noexcept;

/// \brief True when an owner should hand an idle fleet to an instance with `aOtherShare` cores.
[[nodiscard]] constexpr bool IsMuchLarger(double aOtherShare, double aOwnShare) noexcept
{
  constexpr double kFactor = 1.5; // A change of owner costs more than a smaller difference brings.
  return aOtherShare >= kFactor * aOwnShare;
}

/// \brief The last record of a process that owned the fleet before.
struct PreviousOwner
{
  std::string m_process;
  Millis m_sentMs{}; ///< When it sent the record, on its own steady clock.
  Millis m_readMs{}; ///< When the record was read, on the reader's steady clock.

  friend auto operator<=>(const PreviousOwner&, const PreviousOwner&) = default;
};

/// \brief What a process has read of the log of ownership.
struct OwnershipView
{
  Offset m_next{};        ///< Offset after the last record read.
  FencingToken m_token{}; ///< Of the current owner; 0 when nobody is.
  std::string m_owner;    ///< Its process; empty when nobody is.
  std::string m_address;
  std::optional<Millis> m_lastRecordMs;              ///< When the last record was read.
  Millis m_ownershipLeaseMs{ kMaxOwnershipLeaseMs }; ///< For how long its author acts.
  PreviousOwner m_lastAuthor;                        ///< Author of the last record read.
  PreviousOwner m_previousOwner; ///< Author of the records before the current owner's.
  /// A record could not be read while no owner was known: there may be one.
  bool m_maybeOwned{};
  bool m_current{};           ///< The log was read to its end at least once.
  Millis m_currentMs{};       ///< When it was last read to its end,
  Millis m_readableSinceMs{}; ///< and since when that has gone without a gap.
  bool m_hadGap{};            ///< There was one since the log was first read.

  friend bool operator==(const OwnershipView&, const OwnershipView&) = default;
};

/// \brief Applies the record at `aOffset`.
void ApplyOwnershipRecord(OwnershipView& aView, Offset aOffset, const OwnershipRecord& aRecord,
                          Millis aNowMs);

/// \brief What of the record at `aOffset` no process writes; empty when there is nothing.
///
/// Values out of range would let an owner act, or others wait, for longer than
/// kMaxOwnershipLeaseMs. A renewal or release belongs to the owner, or to a later one whose claim
/// has expired unread.
[[nodiscard]] std::string_view ValidationErrorOf(const OwnershipView& aView, Offset aOffset,
                                                 const OwnershipRecord& aRecord) noexcept;

/// \brief Passes over a record that cannot be read. A known owner stays; when there is none, others
/// claim after the longest time that an owner acts, because the record may hide one. Further such
/// records do not prolong that.
void SkipOwnershipRecord(OwnershipView& aView, Millis aNowMs);

/// \brief Marks that the log was read to `aEnd`, its end. The next record is appended there, also
/// after records that could not be read.
void MarkRead(OwnershipView& aView, Offset aEnd, Millis aNowMs);

/// \brief Marks that the log was read to its end.
void MarkCurrent(OwnershipView& aView, Millis aNowMs);

/// \brief A pause between two reads to the end that is longer than this is a gap: a read waits
/// 0.8 s at most for a record, and a slow store takes 0.7 s.
inline constexpr Millis kReadGapMs = 1'500;
/// \brief After a gap the owner has this long to renew: one append with its timeout.
inline constexpr Millis kRenewGraceMs = 900;

/// \brief True when the silence of the owner allows a claim. `aDelayMs` spreads the claims of
/// several processes. Nobody claims while the log cannot be read. After a gap the owner may renew
/// first, and the delays count from then on, so that an outage of the store changes no owner that
/// lives, and larger instances come first.
/// \param aOwnerSilent the owner does not answer either: nobody waits for its renewal, and the
/// claim comes before the leases of its last renewals have ended.
[[nodiscard]] bool MayClaim(const OwnershipView& aView, Millis aNowMs, Millis aDelayMs,
                            bool aOwnerSilent = false) noexcept;

/// \brief Entry instance of a process, without its incarnation.
[[nodiscard]] std::string_view EntryInstanceOf(std::string_view aProcess) noexcept;

/// \brief True when the owner is an earlier process of this entry instance. This process listens
/// at the address where that one listened, so it has ended and nobody needs to wait for it. Its
/// late orders carry its token and their ends, as those of any earlier owner.
[[nodiscard]] bool HasOwnerExited(const OwnershipView& aView, std::string_view aProcess,
                                  std::string_view aAddress) noexcept;

} // namespace pistachiostand::fleet
