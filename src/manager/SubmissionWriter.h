#pragma once

#include "platform/Store.h"

#include "pistachiostand/ownership/CallTimeout.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief Stores records of the submission topic in batches, and retries those that the store has
/// not stored.
///
/// The number of appends in flight is bounded, and all records share one pause after a refusal, so
/// that retries can neither fill the queue of a slow store nor use up the call rate that it grants
/// to all instances together. A partition processes its appends one at a time: when it responds 50
/// times slower than usual, a few appends from each of 50 instances occupy it for seconds. The
/// writer then abandons the records with m_abandonWhenSlow, so that their instance can have the
/// owner's writer store them, which serves all instances.

namespace pistachiostand::fleet {

/// \brief When attempts to store a record end, on the steady clock.
struct WriteLimits
{
  Millis m_refusalDeadlineMs{}; ///< While the store refuses, the record is abandoned at this
                                ///< time, unless it may already be stored.
  Millis m_deadlineMs{};        ///< The record is abandoned at this time in any case.
  bool
    m_abandonWhenSlow{}; ///< Abandoned while the store is slow, so that another writer stores it.

  friend auto operator<=>(const WriteLimits&, const WriteLimits&) = default;
};

class SubmissionWriter
{
public:
  /// \brief Called once. Refused: the record is not stored and never will be. Unknown: it may be
  /// stored.
  using Done = std::function<void(platform::AppendOutcome)>;

  /// \param aPartition partition of the submission topic that it writes to.
  /// \param aMaxInFlight maximum number of appends in flight; another one is sent only when the
  /// latest has been without a response for a while.
  SubmissionWriter(asio::io_context& aLoop, platform::Store& aStore, std::uint32_t aPartition,
                   std::size_t aMaxInFlight = 1);

  SubmissionWriter(const SubmissionWriter&) = delete;
  SubmissionWriter& operator=(const SubmissionWriter&) = delete;
  ~SubmissionWriter() = default;

  void Append(std::string aRecord, WriteLimits aLimits, Done aDone);

  /// \brief True for a while after the store has refused or was slow, and then while an append is
  /// in flight that may show that it is fast again. A degraded store does better with one writer
  /// for all instances.
  [[nodiscard]] bool IsStoreDegraded(Millis aNowMs) const noexcept
  {
    return m_degradedPeriods != 0 && (aNowMs < m_degradedUntilMs || InFlightCount() != 0);
  }

  /// \brief Abandons all records that are not in flight.
  void Close();

private:
  struct Entry
  {
    std::string m_record;
    WriteLimits m_limits;
    Done m_done;        ///< Empty once it has been called.
    bool m_uncertain{}; ///< An append of it had no response and may still take effect.
  };

  using Entries = std::deque<std::shared_ptr<Entry>>;

  /// \brief An append that has no response yet.
  struct InFlightAppend
  {
    Millis m_sentMs{};
    Entries m_entries;
    bool m_overdue{}; ///< Its records are queued again; a late response still counts.
  };

  void Send();
  void SendNext(Millis aNowMs);
  void MarkOverdue(Millis aNowMs);
  [[nodiscard]] Millis LastSentMs() const noexcept;
  [[nodiscard]] std::size_t InFlightCount() const noexcept;
  [[nodiscard]] bool MaySend(Millis aNowMs) const noexcept;
  [[nodiscard]] bool IsStalled(Millis aNowMs) const noexcept;
  [[nodiscard]] Entries TakeBatch();
  [[nodiscard]] bool HasExpired(const Entry& aEntry, Millis aNowMs) const noexcept;
  static void Finish(Entry& aEntry, platform::AppendOutcome aOutcome);
  template<typename Condition>
  void AbandonIf(Condition aCondition);
  void OnAnswer(const std::shared_ptr<InFlightAppend>& aAppend,
                const platform::AppendResult& aResult);
  void OnStored(Millis aTookMs, Millis aNowMs);
  void OnUnanswered(Millis aSentMs, Millis aNowMs);
  void MarkStoreDegraded(Millis aNowMs);
  void Requeue(const InFlightAppend& aAppend, bool aUncertain);
  void ArmTimer();

  platform::Store& m_store;
  std::uint32_t m_partition;
  asio::steady_timer m_timer;
  CallTimeout m_timeout;
  Entries m_waiting;
  std::vector<std::shared_ptr<InFlightAppend>>
    m_inFlightAppends; ///< In the order in which they were sent.
  std::size_t m_maxInFlight;
  unsigned m_refusals{}; ///< Consecutive refused appends.
  /// Consecutive appends without a response, after which no later append has got one either.
  unsigned m_unanswered{};
  unsigned m_degradedPeriods{}; ///< Consecutive degraded periods.
  Millis m_degradedUntilMs{};
  Millis m_answeredSentMs{}; ///< When the latest append that has a response was sent.
  Millis m_pausedUntilMs{};
  bool m_closed{};
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

/// \brief Topic of the submissions and cancellations of callers.
inline constexpr const char* kSubmissionTopic = "keyed.jobs";

} // namespace pistachiostand::fleet
