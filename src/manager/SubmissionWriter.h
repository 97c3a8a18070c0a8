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
/// \brief Stores records of the submission topic in groups, and repeats what the store has not
/// taken.
///
/// The number of appends in flight is bounded, and all records share one pause after a refusal, so
/// that callers who wait and come back cannot fill the queue of a slow store or use up the rate of
/// calls that it grants to all instances together. A partition takes one append after the other, so
/// when it answers 50 times slower than usual, a few appends of each of 50 instances fill it for
/// seconds: the writer then leaves its records to the one writer that stores for all.

namespace pistachiostand::fleet {

/// \brief How long a record is worth storing, on the steady clock.
struct WriteLimits
{
  Millis m_refusalDeadlineMs{}; ///< A record that a refusing store has not taken is given up at
                                ///< this time.
  Millis m_deadlineMs{};        ///< Any record is given up at this time.
  bool m_mayYield{};            ///< Is given up early when another writer does better.

  friend auto operator<=>(const WriteLimits&, const WriteLimits&) = default;
};

class SubmissionWriter
{
public:
  /// \brief Called once. Refused: the record is not stored and never will be. Unknown: it may be.
  using Done = std::function<void(platform::AppendOutcome)>;

  /// \param aPartition partition of the submission topic that it writes to.
  /// \param aMaxInFlight most appends in flight, of which the next one leaves when the last has no
  /// answer for a while.
  SubmissionWriter(asio::io_context& aLoop, platform::Store& aStore, std::uint32_t aPartition,
                   std::size_t aMaxInFlight = 1);

  SubmissionWriter(const SubmissionWriter&) = delete;
  SubmissionWriter& operator=(const SubmissionWriter&) = delete;
  ~SubmissionWriter() = default;

  void Append(std::string aRecord, WriteLimits aLimits, Done aDone);

  /// \brief True for a while after the store has refused or was slow, and then until an append
  /// shows that it is fast again: one writer for all instances does better.
  [[nodiscard]] bool IsStoreDegraded(Millis aNowMs) const noexcept
  {
    return m_degradedPeriods != 0 && (aNowMs < m_degradedUntilMs || InFlightCount() != 0);
  }

  /// \brief Gives up all records that are not in flight.
  void Close();

private:
  struct Entry
  {
    std::string m_record;
    WriteLimits m_limits;
    Done m_done;        ///< Empty once it has been called.
    bool m_uncertain{}; ///< An append of it had no answer: it may still take effect.
  };

  using Entries = std::deque<std::shared_ptr<Entry>>;

  /// \brief An append without answer yet.
  struct InFlightAppend
  {
    Millis m_sentMs{};
    Entries m_entries;
    bool m_overdue{}; ///< Its records are sent once more; an answer still counts.
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
  void GiveUpIf(Condition aCondition);
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
  unsigned m_refusals{};   ///< Refused appends in a row.
  unsigned m_unanswered{}; ///< Appends without answer in a row, and without a later one answered.
  unsigned m_degradedPeriods{}; ///< Strained periods in a row.
  Millis m_degradedUntilMs{};
  Millis m_answeredSentMs{}; ///< When the latest append was sent that has an answer.
  Millis m_pausedUntilMs{};
  bool m_closed{};
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

/// \brief Topic of the submissions and cancels of callers.
inline constexpr const char* kSubmissionTopic = "keyed.jobs";

} // namespace pistachiostand::fleet
