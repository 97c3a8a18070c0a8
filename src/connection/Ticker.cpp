#include "pistachiostand/connection/Ticker.h"

#include <chrono>
#include <utility>

namespace pistachiostand {

Ticker::Ticker(asio::io_context& aLoop, Millis aIntervalMs, std::function<void()> aTick)
  : m_timer(aLoop)
  , m_intervalMs(aIntervalMs)
  , m_tick(std::move(aTick))
{
  Arm();
}

void Ticker::Arm()
{
  m_timer.expires_after(std::chrono::milliseconds{ m_intervalMs });
  // Destroying the timer does not cancel a handler that is already queued.
  m_timer.async_wait([this, alive = std::weak_ptr<int>(m_alive)](const std::error_code& aError) {
    if (!aError && alive.lock()) {
      m_tick();
      Arm();
    }
  });
}

} // namespace pistachiostand
