#include "pistachiostand/process/Membership.h"

#include "pistachiostand/base/Hash.h"

#include <algorithm>
#include <utility>

namespace pistachiostand {

EntryId ProcessId(const EntryId& aEntry, std::uint64_t aIncarnation)
{
  return aEntry + '#' + ToHex(aIncarnation);
}

Membership::Membership(EntryId aSelfProcess, ZoneName aSelfZone, Millis aTimeoutMs)
  : m_selfProcess(std::move(aSelfProcess))
  , m_selfZone(std::move(aSelfZone))
  , m_timeoutMs(aTimeoutMs)
{
}

void Membership::OnHeartbeat(PeerStatus aStatus)
{
  const EntryId entry = aStatus.m_entry;
  m_peers.insert_or_assign(entry, std::move(aStatus));
}

bool Membership::IsAlive(const PeerStatus& aPeer, Millis aNowMs) const noexcept
{
  return aNowMs - aPeer.m_lastHeartbeatMs <= m_timeoutMs;
}

bool Membership::IsProcessAlive(const EntryId& aProcess, Millis aNowMs) const
{
  return aProcess == m_selfProcess || std::ranges::any_of(m_peers, [&](const auto& aPeer) {
           return aPeer.second.m_process == aProcess && IsAlive(aPeer.second, aNowMs);
         });
}

std::vector<EntryId> Membership::Candidates(Millis aNowMs) const
{
  std::vector<EntryId> candidates{ m_selfProcess };
  for (const auto& [id, peer] : m_peers) {
    if (IsAlive(peer, aNowMs) && !peer.m_draining) {
      candidates.push_back(peer.m_process);
    }
  }
  return candidates;
}

bool Membership::IsFirstChoice(const std::string& aKey, Millis aNowMs) const
{
  return RendezvousOwner(aKey, Candidates(aNowMs)) == m_selfProcess;
}

bool Membership::IsFirstChoiceAmongReaders(const std::string& aKey, Millis aNowMs,
                                           Millis aLimitMs) const
{
  std::vector<EntryId> readers{ m_selfProcess };
  for (const auto& [id, peer] : m_peers) {
    const bool reads = peer.m_confirmedMs && aNowMs - *peer.m_confirmedMs <= aLimitMs;
    if (reads && IsAlive(peer, aNowMs) && !peer.m_draining) {
      readers.push_back(peer.m_process);
    }
  }
  return RendezvousOwner(aKey, readers) == m_selfProcess;
}

bool Membership::HasLivePeer(Millis aNowMs) const
{
  return LiveCount(aNowMs) > 1;
}

std::size_t Membership::LiveCount(Millis aNowMs) const
{
  return 1 + static_cast<std::size_t>(std::ranges::count_if(
               m_peers, [&](const auto& aPeer) { return IsAlive(aPeer.second, aNowMs); }));
}

Offset Membership::MinReadOffset(Offset aOwn, Millis aNowMs, Millis aRetentionMs) const
{
  Offset smallest = aOwn;
  for (const auto& [id, peer] : m_peers) {
    if (aNowMs - peer.m_lastHeartbeatMs <= aRetentionMs) {
      smallest = std::min(smallest, peer.m_nextOffset);
    }
  }
  return smallest;
}

std::map<InstanceId, std::uint32_t> Membership::InFlight(Millis aNowMs, Millis aRetentionMs) const
{
  std::map<InstanceId, std::uint32_t> sums;
  for (const auto& [id, peer] : m_peers) {
    if (aNowMs - peer.m_lastHeartbeatMs > aRetentionMs) {
      continue;
    }
    for (const auto& [instance, count] : peer.m_inFlight) {
      sums[instance] += count;
    }
  }
  return sums;
}

std::set<InstanceId> Membership::Leaving(Millis aNowMs) const
{
  std::set<InstanceId> leaving;
  for (const auto& [id, peer] : m_peers) {
    if (IsAlive(peer, aNowMs)) {
      leaving.insert(peer.m_leaving.begin(), peer.m_leaving.end());
    }
  }
  return leaving;
}

std::optional<Millis> Membership::LastConfirmed(Millis aNowMs) const
{
  std::optional<Millis> latest;
  for (const auto& [id, peer] : m_peers) {
    if (IsAlive(peer, aNowMs) && peer.m_confirmedMs) {
      latest = std::max(latest.value_or(*peer.m_confirmedMs), *peer.m_confirmedMs);
    }
  }
  return latest;
}

std::optional<EntryId> Membership::MostAdvancedPeer(Offset aOwn, Millis aNowMs) const
{
  std::optional<EntryId> ahead;
  Offset furthest = aOwn;
  for (const auto& [id, peer] : m_peers) {
    if (IsAlive(peer, aNowMs) && peer.m_nextOffset > furthest) {
      furthest = peer.m_nextOffset;
      ahead = id;
    }
  }
  return ahead;
}

} // namespace pistachiostand
