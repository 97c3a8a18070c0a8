#pragma once

#include "pistachiostand/base/Types.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// \brief The rules of one revision, as plain values.

namespace pistachiostand {

/// \brief Failure domain over which a pool is spread, or to which a wave is limited.
enum class Domain : std::uint8_t
{
  None,
  Rack,
  Zone,
};

/// \brief Class of service; the lower value is served first.
enum class ServiceClass : std::uint8_t
{
  Urgent,
  Batch,
  Overnight,
};

inline constexpr std::array kServiceClasses{ ServiceClass::Urgent, ServiceClass::Batch,
                                             ServiceClass::Overnight };

/// \brief How far the backend servers of a pool let entry instances control attempts.
enum class TaskControl : std::uint8_t
{
  None, ///< Plain HTTP service.
  Full, ///< Remembers stopped attempts; refuses late starts and requests for another pool or boot.
};

[[nodiscard]] std::string_view ToString(Domain aDomain) noexcept;
[[nodiscard]] std::string_view ToString(ServiceClass aClass) noexcept;
[[nodiscard]] std::string_view ToString(TaskControl aControl) noexcept;

struct PoolRule
{
  std::uint32_t m_instances{}; ///< Number of instances that the pool is to have.
  /// Availability budget of the pool: planned work keeps at least this number serving.
  std::uint32_t m_minAvailable{};
  Domain m_spread{};   ///< The planner places instances evenly over these domains.
  Domain m_tolerate{}; ///< The budget holds even after the loss of one such domain.
  TaskControl m_taskControl{};
  bool m_spare{}; ///< Set for exactly one pool, the spare pool, from which the others are filled.

  friend auto operator<=>(const PoolRule&, const PoolRule&) = default;
};

struct ServiceRule
{
  PoolName m_pool;
  ServiceClass m_class{};
  bool m_idempotent{};
  Millis m_timeoutMs{};

  friend auto operator<=>(const ServiceRule&, const ServiceRule&) = default;
};

struct TenantRule
{
  std::uint32_t m_share{ 1 };       ///< Weight among the tenants of a class.
  std::uint32_t m_maxQueued{ 128 }; ///< Limit of the requests waiting in one entry instance.
                                    ///< Requests of lower classes do not count.

  friend auto operator<=>(const TenantRule&, const TenantRule&) = default;
};

struct MaintenanceRule
{
  std::vector<PoolName> m_pools; ///< Empty means every pool.
  std::uint32_t m_periodDays{};
  std::uint32_t m_maxAtOnce{};
  Domain m_domain{};

  friend auto operator<=>(const MaintenanceRule&, const MaintenanceRule&) = default;
};

/// \brief Weights of the planner's objectives when it places instances in pools. The choice of a
/// server for a request (request/Placement.h) does not use them.
struct PlacementWeights
{
  std::uint32_t m_bufferCost{ 1 };  ///< Larger: narrower waves and fewer spare instances.
  std::uint32_t m_rolloutTime{ 1 }; ///< Larger: wider waves and more spare instances.
  std::uint32_t m_moves{ 1 };       ///< Larger than both others: only necessary moves.

  friend auto operator<=>(const PlacementWeights&, const PlacementWeights&) = default;
};

/// \brief Requester, rationale and exact source line of a rule.
struct RuleOrigin
{
  std::string m_requester;
  std::string m_rationale;
  std::string m_line;
  std::uint32_t m_lineNumber{};

  friend auto operator<=>(const RuleOrigin&, const RuleOrigin&) = default;
};

inline constexpr std::string_view kDefaultTenant = "default";

/// \brief All rules of a revision.
struct Rules
{
  std::map<PoolName, PoolRule> m_pools;
  std::map<ServiceName, ServiceRule> m_services;
  std::map<TenantName, TenantRule> m_tenants;
  std::map<std::string, MaintenanceRule> m_maintenance;
  PlacementWeights m_weights;
  std::map<std::string, RuleOrigin> m_origins; ///< By rule name, such as `pool.lookups`.

  friend bool operator==(const Rules&, const Rules&) = default;
};

/// \brief Rule of a tenant, or of `tenant.default`; null when neither exists.
[[nodiscard]] const TenantRule* FindTenant(const Rules& aRules, const TenantName& aTenant) noexcept;

/// \brief Name of the spare pool; empty when there are no rules yet.
[[nodiscard]] PoolName SparePool(const Rules& aRules);

} // namespace pistachiostand
