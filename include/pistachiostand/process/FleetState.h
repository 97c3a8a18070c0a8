#pragma once

#include "pistachiostand/process/Record.h"
#include "pistachiostand/version/Rules.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The shared state, which every reader of the log computes identically.

namespace pistachiostand {

enum class InstancePhase : std::uint8_t
{
  Serving,
  Leaving, ///< Receives no new work; waits for its reboot.
  Failed,
};

[[nodiscard]] std::string_view ToString(InstancePhase aPhase) noexcept;

struct Instance
{
  std::string m_address;
  ZoneName m_zone;
  RackName m_rack;
  PoolName m_pool;
  BootId m_bootId;
  InstancePhase m_phase{};
  Epoch m_epoch{};
  PoolName m_target;       ///< Pool after the reboot; empty unless leaving.
  Millis m_maintainedMs{}; ///< Fold time of the last recorded boot, which counts as maintenance.
  Millis m_phaseSinceMs{}; ///< Fold time of the last phase change.

  friend auto operator<=>(const Instance&, const Instance&) = default;
};

enum class JobPhase : std::uint8_t
{
  Queued,
  Claimed,
  Completed,
  Stopped,
  NotRun,
};

[[nodiscard]] std::string_view ToString(JobPhase aPhase) noexcept;
[[nodiscard]] bool IsFinal(JobPhase aPhase) noexcept;

struct Job
{
  TenantName m_tenant;
  ServiceName m_service;
  std::uint64_t m_digest{};
  std::string m_payload;
  JobPhase m_phase{};
  std::uint32_t m_attempt{};
  EntryId m_claimant;
  ClaimTarget m_target;
  bool m_cancelRequested{};
  bool m_mayHaveRun{}; ///< Some attempt may have started; the job is then never `NotRun`.
  std::uint16_t m_status{};
  std::string m_body;
  bool m_bodyKept{};
  Millis m_submittedMs{};                 ///< Fold time.
  Millis m_finishedMs{};                  ///< Fold time; valid only in a final phase.
  std::vector<std::uint64_t> m_submitIds; ///< Ids of all records that submitted it.

  friend auto operator<=>(const Job&, const Job&) = default;
};

/// \brief Why the fold refused a record.
enum class Refusal : std::uint8_t
{
  StaleBase,
  InvalidRules,
  UnknownInstance,
  WrongPhase,
  StaleEpoch,
  BudgetExceeded,
  UnknownPool, ///< Also an unknown service.
  SameBoot,
  DuplicateKey,
  KeyConflict,
  UnknownJob,
  StaleAttempt,
  NotClaimant, ///< The attempt may have run, and its service is not idempotent.
  ServerUnavailable,
  TimeNotAdvanced,
};

[[nodiscard]] std::string_view ToString(Refusal aRefusal) noexcept;

/// \brief Result of applying a record: accepted when it holds no refusal.
struct ApplyResult
{
  std::optional<Refusal> m_refusal;

  [[nodiscard]] bool Accepted() const noexcept { return !m_refusal.has_value(); }
  friend auto operator<=>(const ApplyResult&, const ApplyResult&) = default;
};

/// \brief Stored result of a publish, found by its record id.
struct PublishResult
{
  std::uint64_t m_id{};
  Revision m_revision{}; ///< New revision, or the current one when refused.
  std::optional<Refusal> m_refusal;
  std::string m_author;
  Millis m_timeMs{};

  friend auto operator<=>(const PublishResult&, const PublishResult&) = default;
};

/// \brief Origin of the current version of a rule.
struct Provenance
{
  Revision m_revision{};
  std::string m_author;
  Millis m_timeMs{};
  std::string m_line; ///< With the comment that names the requester.

  friend auto operator<=>(const Provenance&, const Provenance&) = default;
};

/// \brief A removed instance. If it is listed again with the same boot id, it returns to its former
/// pool, as leaving if it was leaving.
struct RetiredInstance
{
  Instance m_instance;
  Millis m_retiredMs{};

  friend auto operator<=>(const RetiredInstance&, const RetiredInstance&) = default;
};

struct FleetState
{
  Offset m_nextOffset{};
  Millis m_timeMs{}; ///< Fold time: advanced by Tick records, so that every reader has the same.
  Revision m_revision{};
  std::string m_rulesText;
  std::map<std::string, Provenance> m_provenance; ///< By rule name.
  std::vector<PublishResult> m_publishes;         ///< Oldest first, bounded.
  std::map<InstanceId, Instance> m_instances;
  std::map<InstanceId, RetiredInstance> m_retired;
  std::map<JobKey, Job> m_jobs;
  std::shared_ptr<const Rules> m_rules = std::make_shared<const Rules>(); ///< Parsed `m_rulesText`.

  friend bool operator==(const FleetState& aLeft, const FleetState& aRight);
};

/// \brief Instances of a pool by phase.
struct PoolCounts
{
  std::uint32_t m_serving{};
  std::uint32_t m_leaving{};
  std::uint32_t m_failed{};

  friend auto operator<=>(const PoolCounts&, const PoolCounts&) = default;
};

/// \brief Epoch of the instance or of its retired entry, or 0 for an unknown one.
[[nodiscard]] Epoch EpochOf(const FleetState& aState, const InstanceId& aInstance);

[[nodiscard]] PoolCounts CountPool(const FleetState& aState, const PoolName& aPool);

/// \brief Name of an instance's failure domain; racks are unique only inside their zone.
[[nodiscard]] std::string DomainOf(const Instance& aInstance, Domain aDomain);

/// \brief Serving instances that the pool keeps if `aWithout` leaves and its largest domain of
/// `tolerate` then fails.
[[nodiscard]] std::uint32_t GuaranteedAfterLeaving(const FleetState& aState, const PoolName& aPool,
                                                   const InstanceId& aWithout);

/// \brief True when the availability budget of its pool allows the instance to leave.
[[nodiscard]] bool MayLeave(const FleetState& aState, const InstanceId& aInstance);

/// \brief Key under which a tenant's job is kept.
[[nodiscard]] JobKey ScopedKey(const TenantName& aTenant, std::string_view aKey);

} // namespace pistachiostand
