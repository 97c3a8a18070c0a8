#include "pistachiostand/fleet/Configuration.h"

#include <algorithm>
#include <utility>

namespace pistachiostand::fleet {

bool AddAccount(Configuration& aConfiguration, Account aAccount)
{
  std::erase_if(aConfiguration.m_accountByKey,
                [&aAccount](const auto& aEntry) { return aEntry.second == aAccount.m_name; });
  bool isUnique = true;
  // A caller without a key must not match.
  std::erase_if(aAccount.m_keys, [](const std::string& aKey) { return aKey.empty(); });
  for (const auto& key : aAccount.m_keys) {
    const auto [entry, added] = aConfiguration.m_accountByKey.emplace(key, aAccount.m_name);
    isUnique = isUnique && (added || entry->second == aAccount.m_name);
  }
  aConfiguration.m_accounts.insert_or_assign(aAccount.m_name, std::move(aAccount));
  return isUnique;
}

const QueueRule* FindQueue(const Configuration& aConfiguration, std::string_view aHost,
                           std::string_view aPath) noexcept
{
  const QueueRule* best = nullptr;
  for (const auto& queue : aConfiguration.m_queues) {
    if (queue.m_host == aHost && aPath.starts_with(queue.m_pathPrefix) &&
        (best == nullptr || queue.m_pathPrefix.size() > best->m_pathPrefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const QueueRule* FindQueueByName(const Configuration& aConfiguration,
                                 std::string_view aName) noexcept
{
  const auto found = std::ranges::find(aConfiguration.m_queues, aName, &QueueRule::m_name);
  return found == aConfiguration.m_queues.end() ? nullptr : &*found;
}

} // namespace pistachiostand::fleet
