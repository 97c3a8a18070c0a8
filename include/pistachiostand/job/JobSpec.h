#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/fleet/Resources.h"

#include <boost/container/small_vector.hpp>

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief A job as its caller submits it.

namespace pistachiostand::fleet {

using JobId = std::string;

struct StepSpec
{
  std::uint32_t m_count{ 1 };
  Resources m_need;                          ///< Need of each subtask.
  Millis m_estimateMs{};                     ///< Declared run time of a subtask; often inaccurate.
  std::vector<std::uint32_t> m_dependencies; ///< Steps that must be done first.
  std::string m_image;
  std::string m_requiredLabel;
  std::string m_dataRack;
  std::uint32_t m_maxPerServer{}; ///< 0: no limit.
  Millis m_tailLatencyTargetMs{}; ///< For long-running subtasks that serve users; 0: none.
  /// Long-running subtasks that may be stopped at a time to drain servers.
  std::uint32_t m_maxUnavailable{};
  bool m_checkpointing{};
  bool m_gang{};        ///< All subtasks start and end together.
  bool m_sameRack{};    ///< Slower when spread over racks.
  bool m_speculative{}; ///< Copies may run in parallel.
  bool m_longRunning{}; ///< Runs until the job is cancelled.
  bool m_bestEffort{};  ///< Its processor need is not counted against the capacity.

  friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

struct JobSpec
{
  JobId m_id;
  std::string m_queue;   ///< Name of the queue that accepted it.
  PoolName m_pool;       ///< Pool of that queue at acceptance.
  std::string m_payload; ///< Passed to the subtasks uninterpreted.
  Millis m_acceptedMs{}; ///< Wall clock of the entry instance that accepted it.
  Millis m_firstDueMs{}; ///< Wall clock at which the first occurrence is due; 0: at once.
  Millis m_intervalMs{};
  std::uint32_t m_occurrences{}; ///< 0: runs once and has no due times.
  std::vector<StepSpec> m_steps;
  QueueTerms m_terms;    ///< Of the queue, at acceptance.
  std::string m_account; ///< Account of its caller; empty on a public queue.

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// \brief Core-seconds of a step whose subtasks run for `aRunMs` each.
[[nodiscard]] double WorkOf(const StepSpec& aStep, Millis aRunMs) noexcept;

/// \brief Length of the critical path, where `aTimeOf(step)` is the time of each step.
template<typename TimeOf>
[[nodiscard]] Millis CriticalPathMs(const JobSpec& aSpec, TimeOf aTimeOf)
{
  constexpr std::size_t kUsualSteps = 8;
  boost::container::small_vector<Millis, kUsualSteps> ends(aSpec.m_steps.size(), 0);
  Millis longest = 0;
  for (std::size_t step = 0; step < ends.size(); ++step) {
    for (const auto earlier : aSpec.m_steps[step].m_dependencies) {
      ends[step] = std::max(ends[step], earlier < step ? ends[earlier] : 0);
    }
    ends[step] += aTimeOf(step);
    longest = std::max(longest, ends[step]);
  }
  return longest;
}

} // namespace pistachiostand::fleet
