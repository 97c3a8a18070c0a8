#include "pistachiostand/process/ProposalQueue.h"

#include "pistachiostand/base/Hash.h"
#include "pistachiostand/process/RecordCodec.h"

#include <algorithm>
#include <utility>

namespace pistachiostand {

namespace {

/// A proposal is kept this long after its append, so that the callback is still called when the
/// record appears late in the log.
constexpr Millis kProposalRetentionMs = 600'000;

} // namespace

ProposalQueue::ProposalQueue(EntryId aAuthor)
  : m_author(std::move(aAuthor))
{
}

void ProposalQueue::Propose(RecordBody aBody, ProposalOptions aOptions, ProposalCallback aCallback,
                            std::uint64_t aId)
{
  if (m_proposals.size() >= kMaxProposals && !m_proposals.contains(aId) && !EvictReported()) {
    aCallback(ProposalResult::NotAppended, {});
    return;
  }
  const std::uint64_t id = aId != 0 ? aId : Hash(std::to_string(++m_counter), Hash(m_author));
  const auto [entry, isNew] = m_proposals.try_emplace(id);
  Proposal& proposal = entry->second;
  if (isNew) {
    proposal.m_bytes = EncodeRecord({ id, m_author, std::move(aBody) });
  }
  proposal.m_durable = proposal.m_durable || aOptions.m_durable;
  proposal.m_waiters.push_back(
    { std::make_shared<ProposalCallback>(std::move(aCallback)), aOptions.m_resolveByMs, false });
  Queue(id, proposal);
}

bool ProposalQueue::Proposal::IsPending() const
{
  return !std::ranges::all_of(m_waiters, &Waiter::m_reported);
}

std::size_t ProposalQueue::PendingCount() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    m_proposals, [](const auto& aEntry) { return aEntry.second.IsPending(); }));
}

void ProposalQueue::NotifyWaiters(const std::vector<Waiter>& aWaiters, ProposalResult aResult,
                                  const ApplyResult& aApplyResult)
{
  for (const auto& waiter : aWaiters) {
    (*waiter.m_callback)(aResult, aApplyResult);
  }
}

bool ProposalQueue::EvictReported()
{
  auto oldest = m_proposals.end();
  for (auto each = m_proposals.begin(); each != m_proposals.end(); ++each) {
    const Proposal& proposal = each->second;
    const bool droppable = !proposal.m_durable && proposal.IsIdle() && !proposal.IsPending();
    if (droppable &&
        (oldest == m_proposals.end() || proposal.m_appendedMs < oldest->second.m_appendedMs)) {
      oldest = each;
    }
  }
  if (oldest == m_proposals.end()) {
    return false;
  }
  m_proposals.erase(oldest);
  return true;
}

void ProposalQueue::Queue(std::uint64_t aId, Proposal& aProposal)
{
  if (!aProposal.m_queued && !aProposal.m_inFlight) {
    aProposal.m_queued = true;
    m_queuedIds.push_back(aId);
  }
}

std::vector<std::string> ProposalQueue::TakeBatch(Millis aNowMs)
{
  std::vector<std::string> records;
  if (!m_batch.empty()) {
    return records;
  }
  std::size_t bytes = 0;
  while (m_batch.size() < kMaxBatchRecords && bytes < kMaxBatchBytes && !m_queuedIds.empty()) {
    const std::uint64_t id = m_queuedIds.front();
    m_queuedIds.pop_front();
    const auto found = m_proposals.find(id);
    if (found == m_proposals.end() || !found->second.m_queued) {
      continue; // Resolved while it was waiting for another append.
    }
    found->second.m_queued = false;
    found->second.m_inFlight = true;
    found->second.m_appendedMs = aNowMs;
    bytes += found->second.m_bytes.size();
    records.push_back(found->second.m_bytes);
    m_batch.push_back(id);
  }
  return records;
}

void ProposalQueue::FinishBatch(Millis aNowMs)
{
  for (const std::uint64_t id : std::exchange(m_batch, {})) {
    const auto found = m_proposals.find(id);
    if (found != m_proposals.end()) {
      found->second.m_inFlight = false;
      found->second.m_maybeInLog = true;
      found->second.m_appendedMs = aNowMs;
    }
  }
}

void ProposalQueue::OnAppended(Millis aNowMs)
{
  FinishBatch(aNowMs);
}

void ProposalQueue::OnResponseLost(Millis aNowMs)
{
  FinishBatch(aNowMs);
}

void ProposalQueue::OnNotAppended(Millis aNowMs)
{
  for (const std::uint64_t id : std::exchange(m_batch, {})) {
    const auto found = m_proposals.find(id);
    if (found == m_proposals.end()) {
      continue;
    }
    Proposal& proposal = found->second;
    proposal.m_inFlight = false;
    proposal.m_appendedMs = aNowMs;
    if (!proposal.m_durable && !proposal.m_maybeInLog) {
      const auto waiters = std::move(proposal.m_waiters);
      m_proposals.erase(found);
      NotifyWaiters(waiters, ProposalResult::NotAppended, {});
    }
  }
}

void ProposalQueue::OnApplied(const Record& aRecord, const ApplyResult& aApplyResult)
{
  const auto found = m_proposals.find(aRecord.m_id);
  if (found == m_proposals.end()) {
    return;
  }
  const auto waiters = std::move(found->second.m_waiters);
  m_proposals.erase(found);
  NotifyWaiters(waiters,
                aApplyResult.Accepted() ? ProposalResult::Accepted : ProposalResult::Refused,
                aApplyResult);
}

void ProposalQueue::ReportDue(Proposal& aProposal, Millis aNowMs, bool aLost, Reports& aReports)
{
  for (auto& waiter : aProposal.m_waiters) {
    if ((aLost || waiter.IsDue(aNowMs)) && !std::exchange(waiter.m_reported, true)) {
      aReports.emplace_back(ProposalResult::Unresolved, waiter.m_callback);
    }
  }
}

bool ProposalQueue::ExpireOne(std::uint64_t aId, Proposal& aProposal, Millis aNowMs,
                              Reports& aReports)
{
  if (aProposal.m_durable && aProposal.IsIdle() && aNowMs - aProposal.m_appendedMs >= kReappendMs) {
    Queue(aId, aProposal);
  }
  const bool allDue = std::ranges::all_of(
    aProposal.m_waiters, [aNowMs](const Waiter& aWaiter) { return aWaiter.IsDue(aNowMs); });
  if (allDue && aProposal.m_queued && !aProposal.m_maybeInLog) {
    for (const auto& waiter : aProposal.m_waiters) {
      aReports.emplace_back(ProposalResult::NotAppended, waiter.m_callback);
    }
    return true;
  }
  const bool lost = !aProposal.m_durable && aProposal.IsIdle() &&
                    aNowMs - aProposal.m_appendedMs >= kProposalRetentionMs;
  ReportDue(aProposal, aNowMs, lost, aReports);
  return lost;
}

void ProposalQueue::Expire(Millis aNowMs)
{
  Reports reports;
  for (auto each = m_proposals.begin(); each != m_proposals.end();) {
    each = ExpireOne(each->first, each->second, aNowMs, reports) ? m_proposals.erase(each)
                                                                 : std::next(each);
  }
  for (const auto& [result, callback] : reports) {
    (*callback)(result, {});
  }
}

} // namespace pistachiostand
