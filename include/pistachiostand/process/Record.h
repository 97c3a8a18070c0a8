#pragma once

#include "pistachiostand/base/Types.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// \brief Records of the platform's log. Each is a proposal that the fold accepts or refuses.

namespace pistachiostand {

/// \brief Publishes a rule file on top of a base revision.
struct Publish
{
  Revision m_baseRevision{};
  std::string m_author;
  std::string m_text;

  friend auto operator<=>(const Publish&, const Publish&) = default;
};

/// \brief Adds an instance that the platform lists as live.
struct Join
{
  InstanceId m_instance;
  std::string m_address; ///< `IP:PORT` of the backend server.
  ZoneName m_zone;
  RackName m_rack;
  BootId m_bootId;
  PoolName m_pool; ///< Pool whose service the instance was started with.
  Epoch m_epoch{}; ///< `EpochOf` the instance in the proposer's state, to refuse late copies.

  friend auto operator<=>(const Join&, const Join&) = default;
};

/// \brief Takes a serving instance out of use after a failure.
struct Fail
{
  InstanceId m_instance;
  Epoch m_epoch{};

  friend auto operator<=>(const Fail&, const Fail&) = default;
};

/// \brief Removes an instance that the platform no longer lists.
struct Retire
{
  InstanceId m_instance;
  Epoch m_epoch{};

  friend auto operator<=>(const Retire&, const Retire&) = default;
};

/// \brief Starts a move or a maintenance reboot.
struct Drain
{
  InstanceId m_instance;
  Epoch m_epoch{};
  PoolName m_target; ///< Pool after the reboot; the current pool for maintenance.

  friend auto operator<=>(const Drain&, const Drain&) = default;
};

/// \brief Puts a drained instance back into service after its reboot.
struct Return
{
  InstanceId m_instance;
  Epoch m_epoch{};
  BootId m_bootId;

  friend auto operator<=>(const Return&, const Return&) = default;
};

/// \brief The backend server that an attempt is sent to.
struct ClaimTarget
{
  InstanceId m_server;
  BootId m_bootId;

  friend auto operator<=>(const ClaimTarget&, const ClaimTarget&) = default;
};

/// \brief Adds a job. With a claim the author runs it at once; otherwise the job is queued.
struct Submit
{
  JobKey m_key; ///< `TENANT/KEY`.
  TenantName m_tenant;
  ServiceName m_service;
  std::uint64_t m_digest{}; ///< Hash of the request body.
  std::string m_payload; ///< Body of a queued job; empty with a claim, whose author has the body.
  std::optional<ClaimTarget> m_claim;

  friend auto operator<=>(const Submit&, const Submit&) = default;
};

/// \brief Claims a queued job for the record's author, or moves its claim to another server.
struct Claim
{
  JobKey m_key;
  std::uint32_t m_attempt{};
  ClaimTarget m_target;
  /// The author holds the previous attempt, and its server refused it before the start.
  bool m_afterRefusal{};

  friend auto operator<=>(const Claim&, const Claim&) = default;
};

/// \brief Ends an attempt without an outcome, so that the job can be claimed again.
struct ReleaseClaim
{
  JobKey m_key;
  std::uint32_t m_attempt{};
  bool m_neverStarts{}; ///< The server has confirmed that this attempt never starts.
  bool m_mayHaveRun{};  ///< Only for idempotent services: the attempt may have started.

  friend auto operator<=>(const ReleaseClaim&, const ReleaseClaim&) = default;
};

/// \brief Final outcome of a job that started.
enum class FinishKind : std::uint8_t
{
  Completed,
  Stopped,
};

/// \brief Records the outcome of an attempt.
struct Finish
{
  JobKey m_key;
  std::uint32_t m_attempt{};
  FinishKind m_kind{};
  std::uint16_t m_status{}; ///< HTTP status of the response.
  std::string m_body;       ///< At most `kMaxKeptBodyBytes`.
  bool m_bodyKept{};

  friend auto operator<=>(const Finish&, const Finish&) = default;
};

/// \brief Cancels a job.
struct Cancel
{
  JobKey m_key;

  friend auto operator<=>(const Cancel&, const Cancel&) = default;
};

/// \brief Advances the fold's time.
struct Tick
{
  Millis m_timeMs{};

  friend auto operator<=>(const Tick&, const Tick&) = default;
};

/// \brief A part of the encoded state, from which a new reader starts.
struct Snapshot
{
  Offset m_covered{}; ///< The state holds all records below this offset.
  std::uint32_t m_part{};
  std::uint32_t m_parts{};
  std::uint64_t m_digest{}; ///< Hash of all parts together.
  std::string m_bytes;

  friend auto operator<=>(const Snapshot&, const Snapshot&) = default;
};

using RecordBody = std::variant<Publish, Join, Fail, Retire, Drain, Return, Submit, Claim,
                                ReleaseClaim, Finish, Cancel, Tick, Snapshot>;

/// \brief A record with the id that identifies repeated appends of it.
struct Record
{
  std::uint64_t m_id{};
  EntryId m_author;
  RecordBody m_body;

  friend auto operator<=>(const Record&, const Record&) = default;
};

/// \brief A record with its offset in the log.
struct LogEntry
{
  Offset m_offset{};
  Record m_record;

  friend auto operator<=>(const LogEntry&, const LogEntry&) = default;
};

/// Larger response bodies are not recorded in the log but stay on the backend server, which bounds
/// the memory for the shared state.
inline constexpr std::size_t kMaxKeptBodyBytes = std::size_t{ 4 } * 1024;
inline constexpr std::size_t kMaxRequestBytes = std::size_t{ 32 } * 1024;

/// \brief Name of a record's kind, such as `"drain"`.
[[nodiscard]] std::string_view KindName(const RecordBody& aBody) noexcept;

/// \brief Kind and subject for a log line, such as `"drain of i-17"`.
[[nodiscard]] std::string DescribeRecord(const RecordBody& aBody);

} // namespace pistachiostand
