#pragma once

#include "pistachiostand/process/FleetState.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Records to be appended to the log, in group commits. After a lost response, the outcome
/// of an append is determined by reading the log.

namespace pistachiostand {

/// Limit of all entry instances together; the platform accepts several hundred appends a second.
inline constexpr std::int64_t kAppendsPerSecond = 300;
inline constexpr std::size_t kMaxProposals = 8'192;
inline constexpr std::size_t kMaxBatchRecords = 256;
inline constexpr std::size_t kMaxBatchBytes = std::size_t{ 512 } * 1024;
/// A durable proposal that has not appeared in the log for this long is appended again.
inline constexpr Millis kReappendMs = 2'000;

enum class ProposalResult : std::uint8_t
{
  Accepted,
  Refused,     ///< The fold refused it; ApplyResult has the reason.
  NotAppended, ///< It is not in the log and will not be.
  Unresolved,  ///< Not known in time. The callback is called again if it becomes known.
};

using ProposalCallback = std::function<void(ProposalResult, const ApplyResult&)>;

struct ProposalOptions
{
  bool m_durable{}; ///< Appended again until it is in the log, even after a refused append.
  Millis m_resolveByMs{ 0 }; ///< Unresolved after this time; 0 means never.
};

/// \brief Interval between appends that keeps all entry instances below the platform's limit.
[[nodiscard]] constexpr Millis BatchIntervalMs(std::size_t aEntries) noexcept
{
  const auto entries = static_cast<Millis>(aEntries == 0 ? 1 : aEntries);
  return (entries * 1'000 + kAppendsPerSecond - 1) / kAppendsPerSecond;
}

/// \brief Keeps proposals until they are resolved. One append is under way at a time.
class ProposalQueue
{
public:
  /// \param aAuthor process id that the fold compares with claims; must be unique for each start.
  explicit ProposalQueue(EntryId aAuthor);

  /// \brief Queues a record under an id of its own, or `aId` when it is not 0.
  ///
  /// A proposal with a known `aId` repeats the same record; each callback receives its own result.
  void Propose(RecordBody aBody, ProposalOptions aOptions, ProposalCallback aCallback,
               std::uint64_t aId = 0);

  /// \brief Records of the next append; empty when one is under way or none is waiting.
  [[nodiscard]] std::vector<std::string> TakeBatch(Millis aNowMs);

  /// \brief The append was acknowledged.
  void OnAppended(Millis aNowMs);

  /// \brief The append was refused or never sent.
  void OnNotAppended(Millis aNowMs);

  /// \brief The append's response was lost.
  void OnResponseLost(Millis aNowMs);

  /// \brief A record was applied; resolves the proposal with its id.
  void OnApplied(const Record& aRecord, const ApplyResult& aApplyResult);

  /// \brief Reports proposals past their deadline and queues durable ones again.
  void Expire(Millis aNowMs);

  [[nodiscard]] std::size_t size() const noexcept { return m_proposals.size(); }

  /// \brief Proposals with a callback that has not been called yet.
  [[nodiscard]] std::size_t PendingCount() const;

private:
  /// Shared, not copied: a callback may hold state, such as whether it has sent a response.
  using SharedCallback = std::shared_ptr<ProposalCallback>;

  struct Waiter
  {
    SharedCallback m_callback;
    Millis m_resolveByMs{};
    bool m_reported{}; ///< Unresolved was reported.

    [[nodiscard]] bool IsDue(Millis aNowMs) const noexcept
    {
      return m_resolveByMs != 0 && aNowMs >= m_resolveByMs;
    }
  };

  struct Proposal
  {
    std::string m_bytes;
    std::vector<Waiter> m_waiters; ///< More than one when the proposal was repeated.
    bool m_durable{};
    Millis m_appendedMs{};
    bool m_queued{};     ///< In m_queuedIds.
    bool m_inFlight{};   ///< In the current append.
    bool m_maybeInLog{}; ///< Some append of it may have taken effect.

    [[nodiscard]] bool IsPending() const;
    [[nodiscard]] bool IsIdle() const noexcept { return !m_queued && !m_inFlight; }
  };

  using Reports = std::vector<std::pair<ProposalResult, SharedCallback>>;

  static void NotifyWaiters(const std::vector<Waiter>& aWaiters, ProposalResult aResult,
                            const ApplyResult& aApplyResult);
  /// \brief Drops the oldest proposal whose waiters were all notified; false when there is none.
  bool EvictReported();
  void Queue(std::uint64_t aId, Proposal& aProposal);
  /// \brief Returns true when the proposal is to be removed.
  bool ExpireOne(std::uint64_t aId, Proposal& aProposal, Millis aNowMs, Reports& aReports);
  static void ReportDue(Proposal& aProposal, Millis aNowMs, bool aLost, Reports& aReports);
  void FinishBatch(Millis aNowMs);

  EntryId m_author;
  std::uint64_t m_counter{};
  std::map<std::uint64_t, Proposal> m_proposals;
  std::deque<std::uint64_t> m_queuedIds;
  std::vector<std::uint64_t> m_batch;
};

} // namespace pistachiostand
