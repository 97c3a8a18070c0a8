#include "Runtime.h"

#include <chrono>
#include <utility>

namespace pistachiostand {

ViewState CurrentView(const Runtime& aRuntime, Millis aNowMs)
{
  const Millis limit = aRuntime.m_settings.m_limits.m_viewConfirmMs;
  const auto isRecent = [aNowMs, limit](const std::optional<Millis>& aTime) {
    return aTime && aNowMs - *aTime <= limit;
  };
  if (isRecent(aRuntime.m_confirmedMs) || isRecent(aRuntime.m_membership.LastConfirmed(aNowMs))) {
    return ViewState::Confirmed;
  }
  return aRuntime.m_membership.HasLivePeer(aNowMs) ? ViewState::ZoneOnly : ViewState::Alone;
}

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
  m_timer.async_wait([this](const std::error_code& aError) {
    if (!aError) {
      m_tick();
      Arm();
    }
  });
}

} // namespace pistachiostand
