#include "SubmissionCleaner.h"

#include "SubmissionWriter.h"

#include "pistachiostand/base/Clock.h"

#include <algorithm>
#include <utility>

namespace pistachiostand::fleet {

namespace {

constexpr Millis kTimeoutMs = 1'000;
/// Nothing waits for the removal, so each partition receives few calls for it.
constexpr Millis kCleanIntervalMs = 1'000;
constexpr std::size_t kMaxJobsPerAppend = 500;

} // namespace

SubmissionCleaner::SubmissionCleaner(OwnerState& aState)
  : m_state(aState)
{
}

void SubmissionCleaner::OnRecord(const JobId& aId, std::uint32_t aPartition)
{
  m_storedIn[aId].insert(aPartition);
  if (m_ended.contains(aId)) {
    m_partitions[aPartition].m_ids.insert(aId);
  }
}

void SubmissionCleaner::Add(const JobId& aId)
{
  const auto stored = m_storedIn.find(aId);
  if (stored == m_storedIn.end()) {
    return;
  }
  m_ended.insert(aId);
  for (const auto partition : stored->second) {
    m_partitions[partition].m_ids.insert(aId);
  }
}

bool SubmissionCleaner::CanRemove(const JobId& aId) const
{
  const Job& job = m_state.m_jobTable.m_jobs.at(aId);
  return job.m_phaseStored && job.m_runCount == 0;
}

void SubmissionCleaner::Tick(Millis aNowMs)
{
  if (!m_state.m_holdsOwnershipLease()) {
    return;
  }
  for (auto& [number, partition] : m_partitions) {
    if (!partition.m_ids.empty() && !partition.m_inFlight && aNowMs >= partition.m_nextMs) {
      Clean(number, partition, aNowMs);
    }
  }
}

void SubmissionCleaner::Clean(std::uint32_t aNumber, Partition& aPartition, Millis aNowMs)
{
  platform::AppendRequest request;
  request.m_partition = { kSubmissionTopic, aNumber };
  request.m_timeoutMs = kTimeoutMs;
  std::vector<JobId> ids;
  for (const auto& id : aPartition.m_ids) {
    if (ids.size() < kMaxJobsPerAppend && CanRemove(id)) {
      ids.push_back(id);
      request.m_records.push_back(
        platform::EncodeKeyed(std::string{ kSubmissionPrefix } + id, std::nullopt));
      if (m_state.m_jobTable.m_jobs.at(id).m_phase == JobPhase::Cancelled) {
        request.m_records.push_back(
          platform::EncodeKeyed(std::string{ kCancelPrefix } + id, std::nullopt));
      }
    }
  }
  if (ids.empty()) {
    return;
  }
  aPartition.m_inFlight = true;
  aPartition.m_nextMs = aNowMs + kCleanIntervalMs;
  m_state.m_store.Append(
    std::move(request),
    m_state.Guard([this, aNumber, ids = std::move(ids)](const platform::AppendResult& aResult) {
      m_partitions[aNumber].m_inFlight = false;
      // Removing a record twice is harmless, so a removal without a response is repeated.
      if (aResult.m_outcome == platform::AppendOutcome::Stored) {
        OnCleaned(aNumber, ids);
      }
    }));
}

void SubmissionCleaner::OnCleaned(std::uint32_t aNumber, const std::vector<JobId>& aIds)
{
  for (const auto& id : aIds) {
    m_partitions[aNumber].m_ids.erase(id);
    auto& storedIn = m_storedIn[id];
    storedIn.erase(aNumber);
    if (!storedIn.empty()) {
      continue;
    }
    m_storedIn.erase(id);
    m_ended.erase(id);
    const auto job = m_state.m_jobTable.m_jobs.find(id);
    if (job != m_state.m_jobTable.m_jobs.end()) {
      job->second.m_spec.m_payload.clear();
    }
  }
}

} // namespace pistachiostand::fleet
