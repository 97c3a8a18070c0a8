#pragma once

#include "OwnerState.h"

#include <cstdint>
#include <map>
#include <set>

/// \file
/// \brief Removes submissions and cancellations of ended jobs from the store.
///
/// A later owner needs the specification of a job until the end of the job is stored and none of
/// its runs is left, so a submission is removed only after that.

namespace pistachiostand::fleet {

/// Prefixes of the keys of the submission topic.
inline constexpr std::string_view kSubmissionPrefix = "j:";
inline constexpr std::string_view kCancelPrefix = "c:";

class SubmissionCleaner
{
public:
  explicit SubmissionCleaner(OwnerState& aState);

  SubmissionCleaner(const SubmissionCleaner&) = delete;
  SubmissionCleaner& operator=(const SubmissionCleaner&) = delete;
  ~SubmissionCleaner() = default;

  /// \brief Notes that a partition of the submission topic holds a record of the job.
  void OnRecord(const JobId& aId, std::uint32_t aPartition);

  /// \brief Schedules the records of an ended job for removal.
  void Add(const JobId& aId);

  /// \brief True while records of an ended job are left.
  [[nodiscard]] bool Contains(const JobId& aId) const { return m_ended.contains(aId); }

  void Tick(Millis aNowMs);

private:
  struct Partition
  {
    std::set<JobId> m_ids; ///< Ended jobs with records in the partition.
    Millis m_nextMs{};
    bool m_inFlight{};
  };

  void Clean(std::uint32_t aNumber, Partition& aPartition, Millis aNowMs);
  void OnCleaned(std::uint32_t aNumber, const std::vector<JobId>& aIds);
  [[nodiscard]] bool CanRemove(const JobId& aId) const;

  OwnerState& m_state;
  std::map<JobId, std::set<std::uint32_t>> m_storedIn;
  std::set<JobId> m_ended;
  std::map<std::uint32_t, Partition> m_partitions;
};

} // namespace pistachiostand::fleet
