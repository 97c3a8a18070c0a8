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

/// \brief What the placement service charges for a decision; a queue with it needs tickets.
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
  std::uint32_t m_priority{};       ///< 0 is served first and may preempt others.
  std::uint32_t m_maxFailures{ 1 }; ///< Failed runs of a subtask after which its job has failed.
  double m_stretch{ 1.0 }; ///< The objective is this factor times the longest chain of work,
  Millis m_objectiveMs{};  ///< and this much more.
  std::optional<AdviceCosts> m_advice;

  friend bool operator==(const QueueRule&, const QueueRule&) = default;
};

struct PoolSettings
{
  PoolName m_name;
  bool m_checksAdmission{}; ///< Its backend servers refuse what does not fit.
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

/// \brief The queue with the longest prefix of `aPath` among those of `aHost`, or null.
[[nodiscard]] const QueueRule* FindQueue(const Configuration& aConfiguration,
                                         std::string_view aHost, std::string_view aPath) noexcept;

/// \brief The queue with this name, or null.
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

  /// \brief The queue, or null when there is none of that name.
  [[nodiscard]] const QueueRule* Find(std::string_view aName) const
  {
    const auto found = m_byName.find(aName);
    return found == m_byName.end() ? nullptr : found->second;
  }

private:
  std::unordered_map<std::string_view, const QueueRule*> m_byName;
};

} // namespace pistachiostand::fleet
