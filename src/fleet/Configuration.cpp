#include "pistachiostand/fleet/Configuration.h"

#include <algorithm>

namespace pistachiostand::fleet {

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
