#pragma once

#include "cli/ExitCode.h"
#include "cli/Http.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Parsed replies of the daemon. A reply that lacks a field is rejected as a whole.

namespace pistachiostand {

/// \brief One error that the daemon found in a rule file.
struct RemoteReason
{
  std::string m_kind;
  std::string m_cause;
  std::string m_remedy;
  std::uint32_t m_line{};
  std::uint32_t m_column{};
};

/// \brief Failure of a command.
struct Failure
{
  ExitCode m_code{};
  std::string m_kind{};
  std::string m_cause{};
  std::string m_remedy{};
  std::optional<Revision> m_revision{}; ///< Current revision, for a stale base.
  std::vector<RemoteReason> m_reasons{};
};

struct ProvenanceReply
{
  std::string m_rule;
  std::string m_requester;
  std::string m_reason;
  std::string m_line;
  Revision m_revision{};
  std::string m_author;
  Millis m_timeMs{};
};

struct JobReply
{
  std::string m_key;
  std::string m_outcome;
  std::string m_phase;
  std::uint32_t m_attempt{};
  int m_status{};
  std::string m_body; ///< Decoded from base64.
  bool m_bodyKept{};
};

struct PoolReply
{
  std::string m_name;
  std::uint32_t m_promised{};
  std::uint32_t m_minAvailable{};
  std::uint32_t m_serving{};
  std::uint32_t m_leaving{};
  std::uint32_t m_failed{};
  bool m_spare{};
};

struct InstanceReply
{
  std::string m_id;
  std::string m_pool;
  std::string m_phase;
  std::string m_zone;
  std::string m_rack;
  Epoch m_epoch{};
  std::string m_target;
};

struct EntryReply
{
  std::string m_id;
  std::string m_zone;
  Revision m_revision{};
  Offset m_offset{};
  bool m_alive{};
};

struct JobCounts
{
  std::uint64_t m_queued{};
  std::uint64_t m_claimed{};
  std::uint64_t m_completed{};
  std::uint64_t m_stopped{};
  std::uint64_t m_notRun{};
};

struct StatusReply
{
  std::string m_entry;
  std::string m_zone;
  bool m_ready{};
  Revision m_revision{};
  Offset m_offset{};
  Millis m_confirmedAgeMs{};
  std::vector<PoolReply> m_pools;
  std::vector<InstanceReply> m_instances;
  std::vector<EntryReply> m_entries;
  JobCounts m_jobs;
};

/// \brief Parses the body as JSON; returns a discarded value when it is not JSON.
[[nodiscard]] nlohmann::json ParseBody(const HttpReply& aReply);

[[nodiscard]] std::optional<Revision> ReadPublish(const HttpReply& aReply);
/// \brief Reads the `X-Revision` header of a reply that has the rule text in its body.
[[nodiscard]] std::optional<Revision> ReadRulesRevision(const HttpReply& aReply);
[[nodiscard]] std::optional<ProvenanceReply> ReadProvenance(const HttpReply& aReply);
[[nodiscard]] std::optional<StatusReply> ReadStatus(const HttpReply& aReply);
[[nodiscard]] std::optional<JobReply> ReadJob(const HttpReply& aReply);

/// \brief Reads the error description of a reply whose status is not 200, as a refusal.
[[nodiscard]] Failure ReadFailure(const HttpReply& aReply);

} // namespace pistachiostand
