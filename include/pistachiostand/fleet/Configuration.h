#pragma once

#include "pistachiostand/account/Account.h"
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

/// \brief Times of the placement service. Steps of a queue that has them start only with a ticket
/// of that service.
struct AdviceCosts
{
  Millis m_decisionMs{};  ///< Time for a decision, without m_perServerMs.
  Millis m_perServerMs{}; ///< Additional time for each server that it considers.
  Millis m_validMs{};     ///< How long a ticket is valid, from when it was requested.

  friend auto operator<=>(const AdviceCosts&, const AdviceCosts&) = default;
};

/// \brief What a queue promises its jobs. A job keeps the terms under which it was accepted for the
/// time in which the configuration does not contain its queue.
struct QueueTerms
{
  std::uint32_t m_maxFailures{ 1 }; ///< Failed runs of one subtask after which its job fails.
  /// The time objective of a job is m_stretch times its critical path plus m_objectiveBaseMs.
  double m_stretch{ 1.0 };
  Millis m_objectiveBaseMs{};
  std::optional<AdviceCosts> m_advice;

  friend bool operator==(const QueueTerms&, const QueueTerms&) = default;
};

/// \brief A queue of jobs, addressed by host and path prefix.
struct QueueRule : QueueTerms
{
  QueueName m_name;
  std::string m_host;
  std::string m_pathPrefix;
  PoolName m_pool; ///< Pool whose backend servers run the subtasks.
  /// Priority from the platform's configuration, 0 the highest; the scheduler does not compare it.
  std::uint32_t m_priority{};
  bool m_public{}; ///< Its callers need no key.

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
  std::size_t m_maxHeaderBytes{}; ///< 0: the default.
  Millis m_headerTimeoutMs{};     ///< From the first byte of a header to its end; 0: the default.
  Millis m_idleTimeoutMs{};       ///< Of a connection without a byte; 0: the default.
  bool m_requiresKeys{}; ///< Callers of queues that are not public need the key of an account.
  Accounts m_accounts;
  std::map<std::string, AccountName, std::less<>> m_accountByKey;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/// \brief Adds an account or replaces the one of this name. A key that another account already has
/// stays with that one.
/// \return false when there was such a key.
bool AddAccount(Configuration& aConfiguration, Account aAccount);

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
