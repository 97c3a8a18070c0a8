#pragma once

#include "pistachiostand/account/Account.h"
#include "pistachiostand/base/Types.h"
#include "pistachiostand/fleet/Configuration.h"
#include "pistachiostand/job/JobSpec.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Decides whether a caller may use a queue and a job.
///
/// Uses no clock, no socket and no other input or output. Handles callers whose keys are withdrawn
/// while they are connected, also at an instance that is cut off from the store or was paused.

namespace pistachiostand::fleet {

/// \brief How strictly a deployment applies its keys.
struct AccessPolicy
{
  bool m_required{}; ///< Keys are needed even if a configuration contains no accounts.
  bool m_strict{};   ///< A withdrawn key must not be accepted once m_revokeMs have passed.
  Millis m_revokeMs{};

  friend auto operator<=>(const AccessPolicy&, const AccessPolicy&) = default;
};

enum class AccessOutcome : std::uint8_t
{
  Allowed,
  UnknownKey,
  StaleConfiguration, ///< Whether the key is still valid is not known here.
};

/// \brief Who a caller is, as far as its requests may use jobs. Callers of public queues have no
/// account.
struct CallerScope
{
  AccountName m_account; ///< Empty: none.
  std::string m_queue;   ///< Queue that the request was sent to.

  friend auto operator<=>(const CallerScope&, const CallerScope&) = default;
};

struct AccessResult
{
  AccessOutcome m_outcome{};
  CallerScope m_scope;

  friend auto operator<=>(const AccessResult&, const AccessResult&) = default;
};

/// \brief True when callers of the queue need a key.
[[nodiscard]] bool RequiresKey(const Configuration& aConfiguration, const QueueRule& aQueue,
                               const AccessPolicy& aPolicy) noexcept;

/// \brief True when the configuration is too old to tell whether a key is still valid.
/// \param aCurrentAsOfMs when the latest read that reached the end of the operator's topic was
/// sent; nullopt: none has.
[[nodiscard]] bool IsConfigurationStale(const AccessPolicy& aPolicy,
                                        std::optional<Millis> aCurrentAsOfMs,
                                        Millis aNowMs) noexcept;

/// \brief Checks the key of a request to a queue.
[[nodiscard]] AccessResult Authorize(const Configuration& aConfiguration, const QueueRule& aQueue,
                                     std::string_view aKey, const AccessPolicy& aPolicy,
                                     std::optional<Millis> aCurrentAsOfMs, Millis aNowMs);

/// \brief True when the caller may read or cancel the job. Callers of a public queue may do so with
/// the jobs of that queue, because the queue may have been private when they were submitted. An
/// empty scope comes from an entry instance of an earlier version, which checks no accounts.
[[nodiscard]] bool MayUseJob(const CallerScope& aScope, const JobSpec& aSpec) noexcept;

/// \brief Value of a cancel record. Without an account it is that of earlier versions.
[[nodiscard]] std::string EncodeCancel(const CallerScope& aScope);
/// \brief Reads a cancel record. The record of an earlier version has an empty scope.
[[nodiscard]] CallerScope DecodeCancel(std::string_view aValue);

} // namespace pistachiostand::fleet
