#pragma once

#include "pistachiostand/process/FleetState.h"

/// \file
/// \brief Field lists of the structs that are stored or sent. The order is the stored format.

namespace pistachiostand {

// With these numbers the decoder refuses a stored value outside its enumeration as corrupt;
// ToString() of such a value would terminate the process.

constexpr std::size_t EnumeratorCount(FinishKind /*aKind*/) noexcept
{
  return static_cast<std::size_t>(FinishKind::Stopped) + 1;
}

constexpr std::size_t EnumeratorCount(InstancePhase /*aPhase*/) noexcept
{
  return static_cast<std::size_t>(InstancePhase::Failed) + 1;
}

constexpr std::size_t EnumeratorCount(JobPhase /*aPhase*/) noexcept
{
  return static_cast<std::size_t>(JobPhase::NotRun) + 1;
}

constexpr std::size_t EnumeratorCount(Refusal /*aRefusal*/) noexcept
{
  return static_cast<std::size_t>(Refusal::TimeNotAdvanced) + 1;
}

template<typename Visit>
void Fields(Publish& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_baseRevision, aValue.m_author, aValue.m_text);
}

template<typename Visit>
void Fields(Join& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_instance, aValue.m_address, aValue.m_zone, aValue.m_rack, aValue.m_bootId,
         aValue.m_pool, aValue.m_epoch);
}

template<typename Visit>
void Fields(Fail& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_instance, aValue.m_epoch);
}

template<typename Visit>
void Fields(Retire& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_instance, aValue.m_epoch);
}

template<typename Visit>
void Fields(Drain& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_instance, aValue.m_epoch, aValue.m_target);
}

template<typename Visit>
void Fields(Return& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_instance, aValue.m_epoch, aValue.m_bootId);
}

template<typename Visit>
void Fields(ClaimTarget& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_server, aValue.m_bootId);
}

template<typename Visit>
void Fields(Submit& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_key, aValue.m_tenant, aValue.m_service, aValue.m_digest, aValue.m_payload,
         aValue.m_claim);
}

template<typename Visit>
void Fields(Claim& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_key, aValue.m_attempt, aValue.m_target, aValue.m_afterRefusal);
}

template<typename Visit>
void Fields(ReleaseClaim& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_key, aValue.m_attempt, aValue.m_neverStarts, aValue.m_mayHaveRun);
}

template<typename Visit>
void Fields(Finish& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_key, aValue.m_attempt, aValue.m_kind, aValue.m_status, aValue.m_body,
         aValue.m_bodyKept);
}

template<typename Visit>
void Fields(Cancel& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_key);
}

template<typename Visit>
void Fields(Tick& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_timeMs);
}

template<typename Visit>
void Fields(Snapshot& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_covered, aValue.m_part, aValue.m_parts, aValue.m_digest, aValue.m_bytes);
}

template<typename Visit>
void Fields(Instance& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_address, aValue.m_zone, aValue.m_rack, aValue.m_pool, aValue.m_bootId,
         aValue.m_phase, aValue.m_epoch, aValue.m_target, aValue.m_maintainedMs,
         aValue.m_phaseSinceMs);
}

template<typename Visit>
void Fields(RetiredInstance& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_instance, aValue.m_retiredMs);
}

template<typename Visit>
void Fields(Job& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_tenant, aValue.m_service, aValue.m_digest, aValue.m_payload, aValue.m_phase,
         aValue.m_attempt, aValue.m_claimant, aValue.m_target, aValue.m_cancelRequested,
         aValue.m_mayHaveRun, aValue.m_status, aValue.m_body, aValue.m_bodyKept,
         aValue.m_submittedMs, aValue.m_finishedMs, aValue.m_submitIds);
}

template<typename Visit>
void Fields(PublishResult& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_id, aValue.m_revision, aValue.m_refusal, aValue.m_author, aValue.m_timeMs);
}

template<typename Visit>
void Fields(Provenance& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_revision, aValue.m_author, aValue.m_timeMs, aValue.m_line);
}

template<typename Visit>
void Fields(FleetState& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_nextOffset, aValue.m_timeMs, aValue.m_revision, aValue.m_rulesText,
         aValue.m_provenance, aValue.m_publishes, aValue.m_instances, aValue.m_retired,
         aValue.m_jobs);
}

} // namespace pistachiostand
