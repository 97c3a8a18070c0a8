#pragma once

#include "OwnerState.h"

#include "pistachiostand/job/RunTimeRecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// \file
/// \brief Keeps the learned run times in the store, so that the next owner begins with them.

namespace pistachiostand::fleet {

/// \brief Reads the records of earlier owners, and stores one record for each queue whose run times
/// have changed notably: at most one in 5 s for each queue, in at most one append per second, and
/// only with the ownership lease. Does nothing when run times are not learned.
class RunTimeStore
{
public:
  explicit RunTimeStore(OwnerState& aState);

  RunTimeStore(const RunTimeStore&) = delete;
  RunTimeStore& operator=(const RunTimeStore&) = delete;
  ~RunTimeStore() = default;

  /// \brief Applies a record whose key begins with kRunTimePrefix, unless it is older than what is
  /// known.
  void OnRecord(const std::string& aKey, const std::string& aBytes);

  /// \brief Called when all records have been read. Updates the expected times of the active jobs.
  void OnRecordsRead();

  /// \brief True once the records have been read, or have not been read in time after the first
  /// call.
  [[nodiscard]] bool IsReady(Millis aNowMs);

  void Tick(Millis aNowMs);

  /// \brief Adds the ratio of expected to declared times of each queue to the gauges.
  void AddGauges();

private:
  /// \brief What is stored about a queue.
  struct Stored
  {
    FencingToken m_token{};
    std::uint64_t m_sequence{};
    QueueRunTimes m_times;
    std::uint64_t m_restoredRuns{};  ///< Number of the last run when the record was applied.
    bool m_overwritten{};            ///< An earlier owner's record has replaced this owner's.
    std::optional<Millis> m_triedMs; ///< When it was last sent to the store.
  };

  [[nodiscard]] std::vector<QueueName> QueuesToStore(Millis aNowMs) const;
  void Append(const std::vector<QueueName>& aQueues, Millis aNowMs);
  void OnAppended(const std::vector<RunTimeRecord>& aRecords, bool aStored);
  void Log();

  OwnerState& m_state;
  std::map<QueueName, Stored> m_stored;
  std::map<QueueName, std::uint64_t> m_loggedRuns; ///< Last run of each queue when it was logged.
  std::uint64_t m_lastSequence{}; ///< Of the records sent by this owner, of all queues.
  bool m_recordsRead{};
  bool m_restored{}; ///< Records were applied since the expected times were updated.
  bool m_appending{};
  std::optional<Millis> m_firstAskedMs;
  Millis m_appendedMs{};
  Millis m_loggedMs{};
};

} // namespace pistachiostand::fleet
