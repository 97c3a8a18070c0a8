#include "pistachiostand/connection/LoadGuard.h"

#include "pistachiostand/base/Clock.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

namespace pistachiostand {

namespace {

using overload::Cause;
using overload::Listener;

/// Smaller requests leave gaps that the next ones fill.
constexpr std::size_t kLargeBytes = 32'768;
/// Memory is returned after this much of large requests has been released. The call takes some
/// milliseconds of processor time.
constexpr std::size_t kReturnBytes = std::size_t{ 8 } * 1024 * 1024;
constexpr Millis kReturnIntervalMs = 3'000;

} // namespace

LoadGuard::HeldRequest::HeldRequest(std::shared_ptr<LoadGuard> aGuard, std::size_t aBytes)
  : m_guard(std::move(aGuard))
  , m_bytes(aBytes)
{
  m_guard->m_totals.m_handlerBytes += m_bytes;
}

LoadGuard::HeldRequest::~HeldRequest()
{
  m_guard->m_totals.m_handlerBytes -= m_bytes;
  m_guard->AddReleased(m_bytes);
}

LoadGuard::LoadGuard(const overload::MachineLimits& aMachine)
  : m_machine(aMachine)
  , m_limits(overload::DeriveLimits(aMachine, {}))
{
}

void LoadGuard::SetRequestLimits(const overload::RequestLimits& aRequests)
{
  m_limits = overload::DeriveLimits(m_machine, aRequests);
}

void LoadGuard::Add(GuardedConnection& aConnection, Listener aListener)
{
  const Millis now = MonotonicMs();
  // A full listener accepts no further connection until one of its connections ends.
  auto& count = m_connectionCounts.at(static_cast<std::size_t>(aListener));
  if (++count >= m_limits.Of(aListener).m_maxConnections) {
    if (const auto idle = overload::ChooseIdle(m_loads, aListener)) {
      Close(*m_connections[*idle], Cause::Connections);
    }
  }
  aConnection.m_index = m_connections.size();
  m_connections.push_back(&aConnection);
  overload::ConnectionLoad load;
  load.m_listener = aListener;
  load.m_phaseSinceMs = now;
  load.m_progressMs = now;
  m_loads.push_back(load);
}

void LoadGuard::Remove(GuardedConnection& aConnection)
{
  m_totals.m_connectionBytes -= aConnection.m_heldBytes;
  AddReleased(aConnection.m_heldBytes);
  const std::size_t index = aConnection.m_index;
  --m_connectionCounts.at(static_cast<std::size_t>(m_loads[index].m_listener));
  m_connections[index] = m_connections.back();
  m_loads[index] = m_loads.back();
  m_connections[index]->m_index = index;
  m_connections.pop_back();
  m_loads.pop_back();
}

void LoadGuard::Account(GuardedConnection& aConnection)
{
  if (aConnection.m_closed) {
    return;
  }
  const std::size_t bytes = overload::HeldBytes(LoadOf(aConnection));
  const std::size_t before = std::exchange(aConnection.m_heldBytes, bytes);
  m_totals.m_connectionBytes += bytes;
  m_totals.m_connectionBytes -= before;
  if (bytes > before) {
    Enforce();
  }
}

std::shared_ptr<LoadGuard::HeldRequest> LoadGuard::Hold(std::size_t aBytes)
{
  if (!overload::MayHandle(m_totals, aBytes, m_limits)) {
    CountRefusal(Cause::HandlerMemory);
    return nullptr;
  }
  auto held = std::make_shared<HeldRequest>(shared_from_this(), aBytes);
  Enforce();
  return held;
}

void LoadGuard::CountRefusal(Cause aCause)
{
  ++m_refused.at(static_cast<std::size_t>(aCause));
}

void LoadGuard::Check(Millis aNowMs)
{
  for (std::size_t index = 0; index < m_loads.size(); ++index) {
    if (m_connections[index]->m_closed) {
      continue;
    }
    if (const auto cause = overload::FindTimeout(m_loads[index], m_limits, aNowMs)) {
      Close(*m_connections[index], *cause);
    }
  }
  if (m_releasedBytes >= kReturnBytes && aNowMs - m_returnedMs >= kReturnIntervalMs) {
    m_releasedBytes = 0;
    m_returnedMs = aNowMs;
    malloc_trim(0);
  }
}

void LoadGuard::Close(GuardedConnection& aConnection, Cause aCause)
{
  CountRefusal(aCause);
  auto& load = LoadOf(aConnection);
  aConnection.CloseFor(aCause);
  // The server releases the connection after this call; it must not be chosen again until then.
  m_totals.m_connectionBytes -= aConnection.m_heldBytes;
  AddReleased(std::exchange(aConnection.m_heldBytes, 0));
  aConnection.m_closed = true;
  load.m_phase = overload::Phase::Closing;
}

void LoadGuard::Enforce()
{
  const std::size_t excess = overload::ExcessBytes(m_totals, m_limits);
  if (excess == 0) {
    return;
  }
  for (const std::size_t index :
       overload::ChooseToClose(m_loads, excess, m_limits, MonotonicMs())) {
    Close(*m_connections[index], Cause::Memory);
  }
}

void LoadGuard::AddReleased(std::size_t aBytes)
{
  m_releasedBytes += aBytes >= kLargeBytes ? aBytes : 0;
}

} // namespace pistachiostand
