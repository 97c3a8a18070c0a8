#include "pistachiostand/ownership/Leadership.h"

#include "process/Pack.h"

#include "pistachiostand/base/Bounds.h"
#include "pistachiostand/base/Endpoint.h"

#include <algorithm>

namespace pistachiostand::fleet {

static constexpr std::uint8_t EnumeratorCount(OwnershipRecordKind /*aKind*/) noexcept
{
  return 3;
}

template<typename V>
void Fields(OwnershipRecord& aRecord, V aVisit)
{
  aVisit(aRecord.m_kind, aRecord.m_process, aRecord.m_address, aRecord.m_token, aRecord.m_sentMs,
         aRecord.m_ownershipLeaseMs);
}

std::string EncodeOwnershipRecord(const OwnershipRecord& aRecord)
{
  return internal::Pack(aRecord);
}

std::optional<OwnershipRecord> DecodeOwnershipRecord(std::string_view aBytes)
{
  return internal::Unpack<OwnershipRecord>(aBytes);
}

void ApplyOwnershipRecord(OwnershipView& aView, Offset aOffset, const OwnershipRecord& aRecord,
                          Millis aNowMs)
{
  if (aOffset < aView.m_next) {
    return;
  }
  aView.m_next = aOffset + 1;
  aView.m_maybeOwned = false;
  aView.m_lastRecordMs = aNowMs;
  aView.m_ownershipLeaseMs = aRecord.m_ownershipLeaseMs;
  if (aView.m_lastAuthor.m_process != aRecord.m_process) {
    aView.m_previousOwner = aView.m_lastAuthor;
  }
  aView.m_lastAuthor = { aRecord.m_process, aRecord.m_sentMs, aNowMs };
  switch (aRecord.m_kind) {
    case OwnershipRecordKind::Claim:
      aView.m_token = aOffset + 1;
      aView.m_owner = aRecord.m_process;
      aView.m_address = aRecord.m_address;
      break;
    case OwnershipRecordKind::Renewal:
      // The claim before this record may have been removed from the log before it was read.
      aView.m_token = aRecord.m_token;
      aView.m_owner = aRecord.m_process;
      aView.m_address = aRecord.m_address;
      break;
    case OwnershipRecordKind::Release:
      aView.m_token = 0;
      aView.m_owner.clear();
      aView.m_address.clear();
      break;
  }
}

std::string_view ValidationErrorOf(const OwnershipView& aView, Offset aOffset,
                                   const OwnershipRecord& aRecord) noexcept
{
  if (!IsName(aRecord.m_process)) {
    return "the process has no valid name";
  }
  if (!IsTime(aRecord.m_sentMs)) {
    return "the send time is out of range";
  }
  if (aRecord.m_kind == OwnershipRecordKind::Release) {
    if (aRecord.m_ownershipLeaseMs < 0 || aRecord.m_ownershipLeaseMs > kMaxOwnershipLeaseMs) {
      return "the time to the end of the lease is out of range";
    }
  } else if (aRecord.m_ownershipLeaseMs < kMinOwnershipLeaseMs ||
             aRecord.m_ownershipLeaseMs > kMaxOwnershipLeaseMs) {
    return "the time to the end of the lease is out of range";
  } else if (!ParseEndpoint(aRecord.m_address)) {
    return "the address cannot be read as IP:PORT";
  }
  if (aRecord.m_kind == OwnershipRecordKind::Claim) {
    return {};
  }
  if (aRecord.m_token == 0 || aRecord.m_token > aOffset || aRecord.m_token < aView.m_token) {
    return "the token is out of range";
  }
  const bool isOther =
    aView.m_token != 0 && (aRecord.m_token == aView.m_token ? aRecord.m_process != aView.m_owner
                                                            : aRecord.m_token <= aView.m_next);
  return isOther ? "the author is not the owner" : "";
}

void SkipOwnershipRecord(OwnershipView& aView, Millis aNowMs)
{
  if (aView.m_owner.empty() && !aView.m_maybeOwned) {
    aView.m_maybeOwned = true;
    aView.m_ownershipLeaseMs = kMaxOwnershipLeaseMs;
    aView.m_lastRecordMs = aNowMs;
  }
}

void MarkRead(OwnershipView& aView, Offset aEnd, Millis aNowMs)
{
  aView.m_next = std::max(aView.m_next, aEnd);
  MarkCurrent(aView, aNowMs);
}

void MarkCurrent(OwnershipView& aView, Millis aNowMs)
{
  if (!aView.m_current || aNowMs - aView.m_currentMs > kReadGapMs) {
    aView.m_readableSinceMs = aNowMs;
    aView.m_hadGap = aView.m_current;
  }
  aView.m_currentMs = aNowMs;
  aView.m_current = true;
  if (!aView.m_lastRecordMs) {
    aView.m_lastRecordMs = aNowMs;
  }
}

Millis OwnershipLeaseMs(Millis aCallMs) noexcept
{
  constexpr Millis kCalls = 3;
  return std::clamp(kRenewalIntervalMs + kCalls * aCallMs, kMinOwnershipLeaseMs,
                    kMaxOwnershipLeaseMs);
}

Millis ClaimDelayMs(double aProcessorShare, double aOwnerCores) noexcept
{
  constexpr double kMaxMs = 1'000;
  return static_cast<Millis>(kMaxMs * std::clamp(1.0 - aProcessorShare / aOwnerCores, 0.0, 1.0));
}

bool MayClaim(const OwnershipView& aView, Millis aNowMs, Millis aDelayMs,
              bool aOwnerSilent) noexcept
{
  if (!aView.m_current || !aView.m_lastRecordMs || aNowMs - aView.m_currentMs > kReadGapMs) {
    return false;
  }
  if (aView.m_owner.empty() && !aView.m_maybeOwned) {
    return aNowMs >= *aView.m_lastRecordMs + aDelayMs;
  }
  const Millis leaseEndMs = *aView.m_lastRecordMs + aView.m_ownershipLeaseMs + kClaimMarginMs;
  const Millis gapGraceEndMs =
    aView.m_readableSinceMs + (aView.m_hadGap && !aOwnerSilent ? kRenewGraceMs : 0);
  return aNowMs >= std::max(leaseEndMs, gapGraceEndMs) + aDelayMs;
}

std::string_view EntryInstanceOf(std::string_view aProcess) noexcept
{
  return aProcess.substr(0, aProcess.rfind('@'));
}

bool HasOwnerExited(const OwnershipView& aView, std::string_view aProcess,
                    std::string_view aAddress) noexcept
{
  return aView.m_current && !aView.m_owner.empty() && aView.m_owner != aProcess &&
         EntryInstanceOf(aView.m_owner) == EntryInstanceOf(aProcess) && aView.m_address == aAddress;
}

} // namespace pistachiostand::fleet
