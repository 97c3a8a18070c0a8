#pragma once

#include "OwnerState.h"

#include "pistachiostand/ownership/CallTimeout.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <vector>

/// \file
/// \brief Stores the progress of jobs in batches and reports each batch once it is stored.
///
/// A run is sent only after its record is stored, and an end is acknowledged only after its record
/// is stored. The fencing token is the epoch of the writer (platform::Writer::m_epoch), so the
/// store refuses records of an earlier owner from the first call of the next one on.

namespace pistachiostand::fleet {

/// \brief Highest number of the ends that are stored for an incarnation of a backend server.
struct EndWatermark
{
  ServerId m_server;
  std::int64_t m_incarnation{};
  std::uint64_t m_number{};
};

struct CommitBatch
{
  std::vector<RunRef> m_planned;
  std::vector<EndWatermark> m_ends;
  std::vector<JobId> m_finished; ///< Jobs whose terminal phase this batch stores.
};

class Committer
{
public:
  Committer(OwnerState& aState, std::function<void(const CommitBatch&)> aOnStored);

  Committer(const Committer&) = delete;
  Committer& operator=(const Committer&) = delete;
  ~Committer() = default;

  /// \brief Fences earlier owners off the topic, then calls `aDone`.
  void Open(std::function<void()> aDone);

  void AddPlanned(const RunRef& aRun) { m_next.m_planned.push_back(aRun); }
  void AddEnds(const EndWatermark& aWatermark) { m_next.m_ends.push_back(aWatermark); }

  /// \brief Schedules an append of what has changed.
  void FlushSoon();

  /// \brief Ends the pause after a failed append, because the store responds again.
  void RetryNow();

private:
  /// \brief Short, because responses get lost and a store may recover from an outage: a copy that
  /// is sent soon after the recovery gets a response at once, while one that was sent during the
  /// outage waits for its full timeout.
  static constexpr Millis kMinResendDelayMs = 150;

  /// \brief An append that is repeated until it gets a response. Its sequence number is never used
  /// for other records: the store confirms a number that it knows without storing anything.
  struct Append
  {
    std::uint64_t m_sequence{};
    std::vector<std::string> m_records;
    CommitBatch m_batch;
    Millis m_begunMs{};     ///< When the first copy was sent.
    unsigned m_sendCount{}; ///< Copies sent so far.
    unsigned m_failures{};  ///< Consecutive failed copies.
  };

  void Flush();
  [[nodiscard]] std::string EncodeRecord(const ProgressPart& aPart) const;
  void Send();
  /// \brief Sends another copy of the append in flight, unless it gets a response before.
  void ResendAfter(Millis aDelayMs);
  [[nodiscard]] Millis ResendDelayMs() const noexcept;
  void OnAnswer(std::uint64_t aSequence, Millis aSentMs, const platform::AppendResult& aResult);
  void OnStored();
  [[nodiscard]] bool IsIdle() const;

  OwnerState& m_state;
  std::function<void(const CommitBatch&)> m_onStored;
  asio::steady_timer m_flushTimer;
  asio::steady_timer m_resendTimer;
  CommitBatch m_next;
  std::optional<Append> m_inFlight;
  std::uint64_t m_lastSequence{}; ///< 0 is the number of the call that opens the topic.
  Offset m_end{};                 ///< End of the topic after the last stored append.
  CallTimeout m_resendDelay{ kMinResendDelayMs };
  bool m_open{};
  bool m_flushScheduled{};
};

/// \brief Topic of the records of job progress.
inline constexpr const char* kProgressTopic = "keyed.progress";

} // namespace pistachiostand::fleet
