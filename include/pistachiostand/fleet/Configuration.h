#pragma once

#include "pistachiostand/base/Types.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// \brief The operator's published configuration: queues, pools and limits on requests.

namespace pistachiostand::fleet {

using QueueName = std::string;

/// \brief Time that the placement service takes for a decision. A queue with it needs tickets.
struct AdviceCosts
{
  Millis m_decisionMs{};
  Millis m_perServerMs{};
  Millis m_validMs{};

  friend auto operator<=>(const AdviceCosts&, const AdviceCosts&) = default;
};

/// \brief A queue of jobs, addressed by host and path prefix.
struct QueueRule
{
  QueueName m_name;
  std::string m_host;
  std::string m_pathPrefix;
  PoolName m_pool;                  ///< Pool whose backend servers run the subtasks.
  std::uint32_t m_priority{};       ///< 0 is the highest and may preempt others.
  std::uint32_t m_maxFailures{ 1 }; ///< Failed runs of a subtask that fail its job.
  /// The time objective of a job is m_stretch times its critical path plus m_objectiveBaseMs.
  double m_stretch{ 1.0 };
  Millis m_objectiveBaseMs{};
  std::optional<AdviceCosts> m_advice;

  friend bool operator==(const QueueRule&, const QueueRule&) = default;
};

struct PoolSettings
{
  PoolName m_name;
  bool m_checksAdmission{}; ///< Its backend servers refuse work that does not fit.
  bool m_spare{};           ///< Its instances are switched off.

  friend bool operator==(const PoolSettings&, const PoolSettings&) = default;
};

struct Configuration
{
  Revision m_revision{};
  std::vector<QueueRule> m_queues;
  std::map<PoolName, PoolSettings> m_pools;
  std::size_t m_maxBodyBytes{ 262'144 };

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// \brief Returns the queue of `aHost` with the longest prefix of `aPath`, or null.
[[nodiscard]] const QueueRule* FindQueue(const Configuration& aConfiguration,
                                         std::string_view aHost, std::string_view aPath) noexcept;

/// \brief Returns the queue with this name, or null.
[[nodiscard]] const QueueRule* FindQueueByName(const Configuration& aConfiguration,
                                               std::string_view aName) noexcept;

/// \brief Finds queues by name. Refers to the configuration, which must outlive it.
class QueueIndex
{
public:
  explicit QueueIndex(const Configuration& aConfiguration)
  {
    for (const auto& queue : aConfiguration.m_queues) {
      m_byName.emplace(queue.m_name, &queue);
    }
  }

  /// \brief Returns the queue with this name, or null.
  [[nodiscard]] const QueueRule* Find(std::string_view aName) const
  {
    const auto found = m_byName.find(aName);
    return found == m_byName.end() ? nullptr : found->second;
  }

private:
  std::unordered_map<std::string_view, const QueueRule*> m_byName;
};

} // namespace pistachiostand::fleet
