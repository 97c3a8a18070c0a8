#include "pistachiostand/job/OrderWindow.h"

#include <algorithm>

namespace pistachiostand::fleet {

namespace {

std::size_t Difference(std::size_t aLimit, std::size_t aOpen) noexcept
{
  return aLimit - std::min(aLimit, aOpen);
}

} // namespace

std::size_t OrdersLeft(const OrderWindow& aWindow) noexcept
{
  return Difference(aWindow.m_limits.m_all, aWindow.m_open);
}

std::size_t OrdersLeft(const OrderWindow& aWindow, const ServerId& aServer)
{
  const auto found = aWindow.m_openByServer.find(aServer);
  const std::size_t open = found == aWindow.m_openByServer.end() ? 0 : found->second;
  return std::min(OrdersLeft(aWindow), Difference(aWindow.m_limits.m_perServer, open));
}

void OpenOrder(OrderWindow& aWindow, const ServerId& aServer)
{
  ++aWindow.m_openByServer[aServer];
  ++aWindow.m_open;
}

void CloseOrder(OrderWindow& aWindow, const ServerId& aServer)
{
  const auto found = aWindow.m_openByServer.find(aServer);
  if (found == aWindow.m_openByServer.end()) {
    return;
  }
  --aWindow.m_open;
  if (--found->second == 0) {
    aWindow.m_openByServer.erase(found);
  }
}

} // namespace pistachiostand::fleet
