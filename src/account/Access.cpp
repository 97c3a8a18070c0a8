#include "pistachiostand/account/Access.h"

namespace pistachiostand::fleet {

namespace {

/// Fraction of the revocation bound for which a configuration is trusted. The platform expects no
/// service with keys from an instance that has been cut off from the store for longer.
constexpr double kTrustedFraction = 0.6;
constexpr std::string_view kAccountPrefix = "account:";
constexpr std::string_view kQueuePrefix = "queue:";
constexpr std::string_view kNoScope = "1";

} // namespace

bool RequiresKey(const Configuration& aConfiguration, const QueueRule& aQueue,
                 const AccessPolicy& aPolicy) noexcept
{
  return (aConfiguration.m_requiresKeys || aPolicy.m_required) && !aQueue.m_public;
}

bool IsConfigurationStale(const AccessPolicy& aPolicy, std::optional<Millis> aCurrentAsOfMs,
                          Millis aNowMs) noexcept
{
  const auto trustedMs =
    static_cast<Millis>(kTrustedFraction * static_cast<double>(aPolicy.m_revokeMs));
  return aPolicy.m_strict && (!aCurrentAsOfMs || aNowMs - *aCurrentAsOfMs >= trustedMs);
}

AccessResult Authorize(const Configuration& aConfiguration, const QueueRule& aQueue,
                       std::string_view aKey, const AccessPolicy& aPolicy,
                       std::optional<Millis> aCurrentAsOfMs, Millis aNowMs)
{
  if (!RequiresKey(aConfiguration, aQueue, aPolicy)) {
    return { AccessOutcome::Allowed, { {}, aQueue.m_name } };
  }
  if (IsConfigurationStale(aPolicy, aCurrentAsOfMs, aNowMs)) {
    return { AccessOutcome::StaleConfiguration, {} };
  }
  const auto found = aConfiguration.m_accountByKey.find(aKey);
  if (found == aConfiguration.m_accountByKey.end()) {
    return { AccessOutcome::UnknownKey, {} };
  }
  return { AccessOutcome::Allowed, { found->second, aQueue.m_name } };
}

bool MayUseJob(const CallerScope& aScope, const JobSpec& aSpec) noexcept
{
  const bool isFromEarlierVersion = aScope.m_account.empty() && aScope.m_queue.empty();
  if (aSpec.m_account.empty() || isFromEarlierVersion) {
    return true;
  }
  return aScope.m_account.empty() ? aScope.m_queue == aSpec.m_queue
                                  : aScope.m_account == aSpec.m_account;
}

std::string EncodeCancel(const CallerScope& aScope)
{
  if (!aScope.m_account.empty()) {
    return std::string{ kAccountPrefix } + aScope.m_account;
  }
  return aScope.m_queue.empty() ? std::string{ kNoScope }
                                : std::string{ kQueuePrefix } + aScope.m_queue;
}

CallerScope DecodeCancel(std::string_view aValue)
{
  if (aValue.starts_with(kAccountPrefix)) {
    return { AccountName{ aValue.substr(kAccountPrefix.size()) }, {} };
  }
  if (aValue.starts_with(kQueuePrefix)) {
    return { {}, std::string{ aValue.substr(kQueuePrefix.size()) } };
  }
  return {};
}

} // namespace pistachiostand::fleet
