#pragma once

#include "pistachiostand/base/Types.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Election of the owner of the fleet by conditional appends to a log.
///
/// A record is appended only at the end of the log that its author has read, so a claim succeeds
/// only when no renewal was stored since. The offset of a claim gives its fencing token, which
/// therefore grows with each change of owner and never has two holders.
///
/// Each record contains the duration of the author's ownership lease, which starts when the record
/// is sent. Others claim when they have read no record for that duration and a margin. Each side
/// measures on its own steady clock. An owner whose calls are slow takes a longer lease, so a slow
/// store does not cause a change of owner.

namespace pistachiostand::fleet {

using FencingToken = std::uint64_t;

enum class OwnershipRecordKind : std::uint8_t
{
  Claim,
  Renewal,
  Release, ///< The owner has ended its lease; others may claim at once.
};

struct OwnershipRecord
{
  OwnershipRecordKind m_kind{};
  std::string m_process;       ///< Entry instance and its incarnation.
  std::string m_address;       ///< Where the author accepts calls of other entry instances.
  FencingToken m_token{};      ///< Of the owner; unused in a claim.
  Millis m_sentMs{};           ///< When it was sent, on the steady clock of its author.
  Millis m_ownershipLeaseMs{}; ///< Duration of the author's lease from then on.

  friend auto operator<=>(const OwnershipRecord&, const OwnershipRecord&) = default;
};

[[nodiscard]] std::string EncodeOwnershipRecord(const OwnershipRecord& aRecord);
[[nodiscard]] std::optional<OwnershipRecord> DecodeOwnershipRecord(std::string_view aBytes);

/// \brief Interval of renewals: four within the shortest lease.
inline constexpr Millis kRenewalIntervalMs = 200;
/// \brief Bounds of the ownership lease that a stored record gives. After the loss of an owner no
/// run starts until its lease has ended, so the lower bound leaves time for three further renewals
/// and no more. The upper bound is for a store that takes most of a second for each call.
inline constexpr Millis kMinOwnershipLeaseMs = 800;
inline constexpr Millis kMaxOwnershipLeaseMs = 2'600;
/// \brief Others wait this much longer than the lease of the owner. They count from when they read
/// the record, so the margin only covers clock rates that differ by a few percent.
inline constexpr Millis kClaimMarginMs = 200;

/// \brief Returns the lease duration for an owner whose last calls took up to `aCallMs`.
[[nodiscard]] Millis OwnershipLeaseMs(Millis aCallMs) noexcept;

/// \brief Cores that an owner should have. With 350 backend servers it uses up to half a core at
/// the peak of a burst; with 50 a quarter of a core is enough.
inline constexpr double kOwnerCores = 0.25;
inline constexpr double kLargeFleetOwnerCores = 0.5;

/// \brief Returns the delay of a claim by an instance with `aProcessorShare` cores when an owner
/// should have `aOwnerCores`. Smaller instances wait longer, so they claim only when no larger one
/// has.
[[nodiscard]] Millis ClaimDelayMs(double aProcessorShare, double aOwnerCores) noexcept;

/// \brief True when an owner should hand over an idle fleet to an instance with `aOtherShare`
/// cores.
[[nodiscard]] constexpr bool IsMuchLarger(double aOtherShare, double aOwnShare) noexcept
{
  constexpr double kFactor = 1.5; // A change of owner costs more than a smaller difference gains.
  return aOtherShare >= kFactor * aOwnShare;
}

/// \brief Author and times of a record: the last one that its author wrote to the ownership log.
struct AuthorRecord
{
  std::string m_process;
  Millis m_sentMs{}; ///< When it sent the record, on its own steady clock.
  Millis m_readMs{}; ///< When the record was read, on the reader's steady clock.

  friend auto operator<=>(const AuthorRecord&, const AuthorRecord&) = default;
};

/// \brief State that a process has read from the ownership log.
struct OwnershipView
{
  Offset m_next{};        ///< Offset after the last record read.
  FencingToken m_token{}; ///< Of the current owner; 0 when there is none.
  std::string m_owner;    ///< Process of the owner; empty when there is none.
  std::string m_address;
  std::optional<Millis> m_lastRecordMs;              ///< When the last record was read.
  Millis m_ownershipLeaseMs{ kMaxOwnershipLeaseMs }; ///< Lease of that record.
  AuthorRecord m_lastAuthor;                         ///< Author of the last record read.
  AuthorRecord m_previousOwner; ///< Author of the last record before the current owner's.
  /// A record could not be decoded while no owner was known, so there may be one.
  bool m_maybeOwned{};
  bool m_current{};           ///< The log was read to its end at least once.
  Millis m_currentMs{};       ///< When the log was last read to its end.
  Millis m_readableSinceMs{}; ///< Since when it has been read without a gap (kReadGapMs).
  bool m_hadGap{};            ///< There was a gap since the log was first read.

  friend bool operator==(const OwnershipView&, const OwnershipView&) = default;
};

/// \brief Applies the record at `aOffset`.
void ApplyOwnershipRecord(OwnershipView& aView, Offset aOffset, const OwnershipRecord& aRecord,
                          Millis aNowMs);

/// \brief Returns why the record at `aOffset` is invalid; empty when it is valid.
///
/// With values out of range an owner could hold the lease, or others wait for its end, for longer
/// than kMaxOwnershipLeaseMs. A renewal or release must be of the owner, or of a later owner whose
/// claim was removed from the log before it was read.
[[nodiscard]] std::string_view ValidationErrorOf(const OwnershipView& aView, Offset aOffset,
                                                 const OwnershipRecord& aRecord) noexcept;

/// \brief Skips a record that cannot be decoded. A known owner stays. When none is known, the
/// record may be a claim, so others wait for the longest possible lease before they claim. Further
/// such records do not prolong that wait.
void SkipOwnershipRecord(OwnershipView& aView, Millis aNowMs);

/// \brief Marks that the log was read to its end at `aEnd`. The next record is appended there, also
/// after records that could not be decoded.
void MarkRead(OwnershipView& aView, Offset aEnd, Millis aNowMs);

/// \brief Marks that the log was read to its end.
void MarkCurrent(OwnershipView& aView, Millis aNowMs);

/// \brief A longer pause between two reads to the end counts as a gap. A read waits for a record
/// for 0.8 s at most, and a slow store takes 0.7 s.
inline constexpr Millis kReadGapMs = 1'500;
/// \brief Time that the owner has to renew after a gap: one append with its timeout.
inline constexpr Millis kRenewGraceMs = 900;

/// \brief True when the owner's lease has ended and a claim is allowed. `aDelayMs` spreads the
/// claims of several processes. No process claims while the log cannot be read. After a gap the
/// owner may renew first and the delays count from the end of kRenewGraceMs, so that an outage of
/// the store does not replace an owner that is alive, and larger instances claim first.
/// \param aOwnerSilent the owner does not respond to calls either. The claim then does not wait for
/// its renewal after a gap, so that it is made before the leases of runs end that the owner last
/// renewed.
[[nodiscard]] bool MayClaim(const OwnershipView& aView, Millis aNowMs, Millis aDelayMs,
                            bool aOwnerSilent = false) noexcept;

/// \brief Returns the entry instance of a process, without the incarnation.
[[nodiscard]] std::string_view EntryInstanceOf(std::string_view aProcess) noexcept;

/// \brief True when the owner is a previous process of this entry instance. This process listens at
/// the same address, so the previous one has exited and its lease need not be awaited. Its
/// orders that arrive late are rejected like those of any previous owner, by their token or because
/// they have expired.
[[nodiscard]] bool HasOwnerExited(const OwnershipView& aView, std::string_view aProcess,
                                  std::string_view aAddress) noexcept;

} // namespace pistachiostand::fleet
