#pragma once

#include "pistachiostand/base/Types.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// \brief Messages between entry instances.

namespace pistachiostand {

/// \brief First message on a connection; identifies the process that dialed.
struct Hello
{
  EntryId m_entry;   ///< Configured id.
  EntryId m_process; ///< Id with the incarnation; see Membership.h.
  ZoneName m_zone;

  friend auto operator<=>(const Hello&, const Hello&) = default;
};

struct Heartbeat
{
  Offset m_nextOffset{};
  Revision m_revision{};
  Millis m_confirmedAgeMs{}; ///< Time since the log's end was last read; -1: never.
  bool m_draining{};         ///< The process is about to stop and accepts no more work.
  std::map<InstanceId, std::uint32_t> m_inFlight;
  std::vector<InstanceId> m_leaving; ///< Backend servers that reported that they are leaving.

  friend auto operator<=>(const Heartbeat&, const Heartbeat&) = default;
};

/// \brief Asks for records from an offset on; the response is LogBatch or StateCopy.
struct FetchLog
{
  Offset m_from{};

  friend auto operator<=>(const FetchLog&, const FetchLog&) = default;
};

struct LogBatch
{
  Offset m_first{};
  std::vector<std::string> m_records;

  friend auto operator<=>(const LogBatch&, const LogBatch&) = default;
};

/// \brief Asks for the whole state, from which a process starts when it cannot reach the platform.
struct FetchState
{
  Offset m_newerThan{}; ///< A peer whose state does not extend beyond this offset does not respond.

  friend auto operator<=>(const FetchState&, const FetchState&) = default;
};

struct StateCopy
{
  std::string m_state; ///< See SnapshotCodec.h.

  friend auto operator<=>(const StateCopy&, const StateCopy&) = default;
};

using PeerMessage = std::variant<Hello, Heartbeat, FetchLog, LogBatch, FetchState, StateCopy>;

[[nodiscard]] std::string EncodePeerMessage(const PeerMessage& aMessage);

/// \brief Decodes one message; returns nothing for anything else.
[[nodiscard]] std::optional<PeerMessage> DecodePeerMessage(std::string_view aBytes);

} // namespace pistachiostand
