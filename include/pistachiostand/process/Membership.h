#pragma once

#include "pistachiostand/base/Types.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Which entry instances are alive, from their heartbeats.
///
/// Membership only decides which process attempts a task first. Two processes that disagree waste
/// an append or a request; the fold and fencing keep the result correct.

namespace pistachiostand {

/// \brief Contents of a peer's last heartbeat, and its arrival time on the local clock.
struct PeerStatus
{
  EntryId m_entry;
  EntryId m_process; ///< Id with the incarnation.
  ZoneName m_zone;
  Millis m_lastHeartbeatMs{};
  Offset m_nextOffset{};
  Revision m_revision{};
  std::optional<Millis> m_confirmedMs; ///< Local time at which the peer last read the log's end.
  bool m_draining{};
  std::map<InstanceId, std::uint32_t> m_inFlight;
  std::vector<InstanceId> m_leaving;

  friend auto operator<=>(const PeerStatus&, const PeerStatus&) = default;
};

/// \brief Unique name of one incarnation of an entry instance: `ID#INCARNATION`.
[[nodiscard]] EntryId ProcessId(const EntryId& aEntry, std::uint64_t aIncarnation);

/// \brief The entry instances that are alive, as seen by this process. Backend servers join and
/// leave the fleet by records in the log instead; see FleetPlanner.h.
class Membership
{
public:
  Membership(EntryId aSelfProcess, ZoneName aSelfZone, Millis aTimeoutMs);

  void OnHeartbeat(PeerStatus aStatus);

  [[nodiscard]] bool IsAlive(const PeerStatus& aPeer, Millis aNowMs) const noexcept;

  /// \brief True for this process, and for a peer's process with a recent heartbeat.
  [[nodiscard]] bool IsProcessAlive(const EntryId& aProcess, Millis aNowMs) const;

  /// \brief This process and the live peers that are not draining.
  [[nodiscard]] std::vector<EntryId> Candidates(Millis aNowMs) const;

  /// \brief True when this process has the highest rendezvous weight for `aKey`.
  [[nodiscard]] bool IsFirstChoice(const std::string& aKey, Millis aNowMs) const;

  /// \brief Like IsFirstChoice, among processes that have read the log's end within `aLimitMs`.
  ///
  /// For work that needs the platform: chooses among the processes that reach it. This process is
  /// always included, so the caller must check that it reaches the platform itself.
  [[nodiscard]] bool IsFirstChoiceAmongReaders(const std::string& aKey, Millis aNowMs,
                                               Millis aLimitMs) const;

  [[nodiscard]] bool HasLivePeer(Millis aNowMs) const;
  [[nodiscard]] std::size_t LiveCount(Millis aNowMs) const;

  /// \brief Smallest next offset of `aOwn` and the peers with a heartbeat within `aRetentionMs`.
  ///
  /// An unresponsive peer may only be paused or cut off, so its last values count for longer than
  /// it counts as alive.
  [[nodiscard]] Offset MinReadOffset(Offset aOwn, Millis aNowMs, Millis aRetentionMs) const;

  /// \brief Sum of the last in-flight counts of the peers with a heartbeat within `aRetentionMs`.
  [[nodiscard]] std::map<InstanceId, std::uint32_t> InFlight(Millis aNowMs,
                                                             Millis aRetentionMs) const;

  /// \brief Backend servers that a live peer reports as leaving.
  [[nodiscard]] std::set<InstanceId> Leaving(Millis aNowMs) const;

  /// \brief Latest time at which a live peer had read the log's end.
  [[nodiscard]] std::optional<Millis> LastConfirmed(Millis aNowMs) const;

  /// \brief The live peer that has read furthest, if it is ahead of `aOwn`.
  [[nodiscard]] std::optional<EntryId> MostAdvancedPeer(Offset aOwn, Millis aNowMs) const;

  [[nodiscard]] const std::map<EntryId, PeerStatus>& Peers() const noexcept { return m_peers; }

private:
  EntryId m_selfProcess;
  ZoneName m_selfZone;
  Millis m_timeoutMs;
  std::map<EntryId, PeerStatus> m_peers; ///< By configured id.
};

} // namespace pistachiostand
