#include "pistachiostand/process/SnapshotCodec.h"

#include "Fields.h"
#include "Pack.h"

#include "pistachiostand/base/Hash.h"
#include "pistachiostand/version/RuleParser.h"

#include <algorithm>

namespace pistachiostand {

namespace {

std::uint64_t DigestOf(std::string_view aBytes)
{
  return Hash(aBytes);
}

/// A state with more parts would not fit in memory; a corrupt record may contain any number.
constexpr std::uint32_t kMaxSnapshotParts = 4'096;

bool HasValidPartCount(const Snapshot& aSnapshot)
{
  return aSnapshot.m_parts != 0 && aSnapshot.m_parts <= kMaxSnapshotParts;
}

/// \brief Joins the parts of one snapshot; empty when a part is missing or the digest differs.
std::string JoinParts(std::span<const LogEntry> aEntries, const Snapshot& aLast)
{
  std::vector<const std::string*> parts(aLast.m_parts, nullptr);
  for (const auto& entry : aEntries) {
    const auto* part = std::get_if<Snapshot>(&entry.m_record.m_body);
    if (part != nullptr && part->m_covered == aLast.m_covered && part->m_digest == aLast.m_digest &&
        part->m_parts == aLast.m_parts && part->m_part < aLast.m_parts) {
      parts[part->m_part] = &part->m_bytes;
    }
  }
  if (std::ranges::find(parts, nullptr) != parts.end()) {
    return {};
  }
  std::string bytes;
  std::ranges::for_each(parts, [&bytes](const std::string* aPart) { bytes += *aPart; });
  return DigestOf(bytes) == aLast.m_digest ? bytes : std::string{};
}

} // namespace

std::string EncodeState(const FleetState& aState)
{
  return internal::Pack(aState);
}

std::optional<FleetState> DecodeState(std::string_view aBytes, Reason& aReason)
{
  auto state = internal::Unpack<FleetState>(aBytes);
  std::optional<Rules> rules;
  Reasons reasons;
  if (state) {
    rules = state->m_revision == 0 ? Rules{} : ParseRules(state->m_rulesText, reasons);
  }
  if (!rules) {
    aReason = { ReasonKind::Corrupt,
                "a snapshot cannot be decoded",
                "use the same program version on all entry instances",
                {} };
    return std::nullopt;
  }
  state->m_rules = std::make_shared<const Rules>(std::move(*rules));
  return state;
}

std::vector<Snapshot> MakeSnapshot(const FleetState& aState, std::size_t aPartBytes)
{
  const std::string bytes = EncodeState(aState);
  const std::uint64_t digest = DigestOf(bytes);
  const auto count = static_cast<std::uint32_t>((bytes.size() + aPartBytes - 1) / aPartBytes);
  std::vector<Snapshot> parts;
  for (std::uint32_t part = 0; part < count; ++part) {
    parts.push_back(
      { aState.m_nextOffset, part, count, digest, bytes.substr(part * aPartBytes, aPartBytes) });
  }
  return parts;
}

std::optional<FleetState> FindSnapshot(std::span<const LogEntry> aEntries)
{
  for (auto entry = aEntries.rbegin(); entry != aEntries.rend(); ++entry) {
    const auto* last = std::get_if<Snapshot>(&entry->m_record.m_body);
    if (last == nullptr || !HasValidPartCount(*last) ||
        last->m_covered < aEntries.front().m_offset) {
      continue;
    }
    Reason reason;
    auto state = DecodeState(JoinParts(aEntries, *last), reason);
    // The digest covers the state, but not the covered offset in the record.
    if (state && state->m_nextOffset == last->m_covered) {
      return state;
    }
  }
  return std::nullopt;
}

} // namespace pistachiostand
