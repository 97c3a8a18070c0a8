#include "Runtime.h"

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
  return aRuntime.m_membership.HasLivePeer(aNowMs) ? ViewState::PeersOnly : ViewState::Isolated;
}

} // namespace pistachiostand
