#include "pistachiostand/process/ProposalQueue.h"

#include "pistachiostand/base/Hash.h"
#include "pistachiostand/process/RecordCodec.h"

#include <algorithm>
#include <utility>

namespace pistachiostand {

namespace {

/// Reported proposals are kept this long, so that a late appearance still reaches the callback.
constexpr Millis kForgetReportedMs = 600'000;

} // namespace

ProposalQueue::ProposalQueue(EntryId aAuthor)
  : m_author(std::move(aAuthor))
{
}

void ProposalQueue::Propose(RecordBody aBody, ProposalOptions aOptions, ProposalCallback aCallback,
                            std::uint64_t aId)
{
  if (m_proposals.size() >= kMaxProposals) {
    aCallback(ProposalResult::NotAppended, {});
    return;
  }
  const std::uint64_t id = aId != 0 ? aId : Hash(std::to_string(++m_counter), Hash(m_author));
  Proposal& proposal = m_proposals[id];
  proposal.m_bytes = EncodeRecord({ id, m_author, std::move(aBody) });
  proposal.m_options = aOptions;
  proposal.m_callback = std::move(aCallback);
  Queue(id, proposal);
}

std::size_t ProposalQueue::OpenCount() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    m_proposals, [](const auto& aEntry) { return !aEntry.second.m_reported; }));
}

void ProposalQueue::Queue(std::uint64_t aId, Proposal& aProposal)
{
  if (!aProposal.m_waiting && !aProposal.m_underWay) {
    aProposal.m_waiting = true;
    m_waitingIds.push_back(aId);
  }
}

std::vector<std::string> ProposalQueue::TakeBatch(Millis aNowMs)
{
  std::vector<std::string> records;
  if (!m_batch.empty()) {
    return records;
  }
  std::size_t bytes = 0;
  while (m_batch.size() < kMaxBatchRecords && bytes < kMaxBatchBytes && !m_waitingIds.empty()) {
    const std::uint64_t id = m_waitingIds.front();
    m_waitingIds.pop_front();
    const auto found = m_proposals.find(id);
    if (found == m_proposals.end()) {
      continue; // Resolved while it waited for another append.
    }
    found->second.m_waiting = false;
    found->second.m_underWay = true;
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
      found->second.m_underWay = false;
      found->second.m_maybeInLog = true;
      found->second.m_appendedMs = aNowMs;
    }
  }
}

void ProposalQueue::OnAppended(Millis aNowMs)
{
  FinishBatch(aNowMs);
}

void ProposalQueue::OnUnknown(Millis aNowMs)
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
    proposal.m_underWay = false;
    proposal.m_appendedMs = aNowMs;
    if (!proposal.m_options.m_durable && !proposal.m_maybeInLog) {
      const auto callback = std::move(proposal.m_callback);
      m_proposals.erase(found);
      callback(ProposalResult::NotAppended, {});
    }
  }
}

void ProposalQueue::OnApplied(const Record& aRecord, const Verdict& aVerdict)
{
  const auto found = m_proposals.find(aRecord.m_id);
  if (found == m_proposals.end()) {
    return;
  }
  const auto callback = std::move(found->second.m_callback);
  m_proposals.erase(found);
  callback(aVerdict.Accepted() ? ProposalResult::Accepted : ProposalResult::Refused, aVerdict);
}

bool ProposalQueue::ExpireOne(std::uint64_t aId, Proposal& aProposal, Millis aNowMs,
                              Reports& aReports)
{
  const bool idle = !aProposal.m_waiting && !aProposal.m_underWay;
  if (aProposal.m_options.m_durable && idle && aNowMs - aProposal.m_appendedMs >= kReappendMs) {
    Queue(aId, aProposal);
  }
  const Millis resolveBy = aProposal.m_options.m_resolveByMs;
  if (resolveBy == 0 || aNowMs < resolveBy) {
    return false;
  }
  if (aProposal.m_waiting && !aProposal.m_maybeInLog) {
    aReports.emplace_back(ProposalResult::NotAppended, std::move(aProposal.m_callback));
    return true;
  }
  if (!std::exchange(aProposal.m_reported, true)) {
    aReports.emplace_back(ProposalResult::Unresolved, aProposal.m_callback);
  }
  return !aProposal.m_options.m_durable && aNowMs >= resolveBy + kForgetReportedMs;
}

void ProposalQueue::Expire(Millis aNowMs)
{
  Reports reports;
  for (auto each = m_proposals.begin(); each != m_proposals.end();) {
    each = ExpireOne(each->first, each->second, aNowMs, reports) ? m_proposals.erase(each)
                                                                 : std::next(each);
  }
  for (const auto& [result, callback] : reports) {
    callback(result, {});
  }
}

} // namespace pistachiostand
