#include "pistachiostand/ownership/InstanceOrder.h"

#include "process/Pack.h"

#include "pistachiostand/base/Bounds.h"

namespace pistachiostand::fleet {

template<typename V>
void Fields(InstanceOrder& aOrder, V aVisit)
{
  aVisit(aOrder.m_process, aOrder.m_sentMs);
}

std::string EncodeInstanceOrder(const InstanceOrder& aOrder)
{
  return internal::Pack(aOrder);
}

std::optional<InstanceOrder> DecodeInstanceOrder(std::string_view aBytes)
{
  auto order = internal::Unpack<InstanceOrder>(aBytes);
  return order && IsName(order->m_process) && IsTime(order->m_sentMs) ? order : std::nullopt;
}

std::optional<Millis> MinAgeMs(const InstanceOrder& aOrder, const AuthorRecord& aEarlier,
                               Millis aNowMs) noexcept
{
  if (aOrder.m_process != aEarlier.m_process) {
    return std::nullopt;
  }
  // The ownership record was read after it was sent, so the sum does not exceed the true age.
  return aEarlier.m_sentMs - aOrder.m_sentMs + aNowMs - aEarlier.m_readMs;
}

} // namespace pistachiostand::fleet
