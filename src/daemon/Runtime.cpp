#include "Runtime.h"

#include <chrono>
#include <utility>

namespace pistachiostand {

namespace {

bool IsRecent(const Runtime& aRuntime, const std::optional<Millis>& aTime, Millis aNowMs)
{
  return aTime && aNowMs - *aTime <= aRuntime.m_settings.m_limits.m_viewConfirmMs;
}

} // namespace

bool ReadsPlatform(const Runtime& aRuntime, Millis aNowMs)
{
  return IsRecent(aRuntime, aRuntime.m_confirmedMs, aNowMs);
}

ViewState CurrentView(const Runtime& aRuntime, Millis aNowMs)
{
  if (ReadsPlatform(aRuntime, aNowMs) ||
      IsRecent(aRuntime, aRuntime.m_membership.LastConfirmed(aNowMs), aNowMs)) {
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
