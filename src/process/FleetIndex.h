#pragma once

#include "pistachiostand/process/FleetPlanner.h"

#include <string_view>
#include <unordered_map>

/// \file
/// \brief Counts of one planning call, kept up to date with the drains and failures it proposes.

namespace pistachiostand {

using PoolIndex = std::uint32_t;
using DomainCounts = std::map<std::uint32_t, std::uint32_t>; ///< Instances by domain number.

inline constexpr PoolIndex kNoPool = UINT32_MAX;

struct IndexedInstance
{
  const InstanceId* m_id{};
  const Instance* m_instance{};
  const ListedInstance* m_listed{}; ///< Null when the list does not show it.
  PoolIndex m_pool{};
  PoolIndex m_target{ kNoPool }; ///< Of a leaving instance.
  std::uint32_t m_zone{};
  std::uint32_t m_rack{};
  InstancePhase m_phase{};
  Millis m_phaseSinceMs{};
  bool m_rebootTimedOut{}; ///< Has not returned from its reboot in time; counts as failed.
};

struct IndexedPool
{
  PoolName m_name;
  const PoolRule* m_rule{}; ///< Null when the pool was removed.
  std::uint32_t m_serving{};
  std::uint32_t m_inbound{};            ///< Leaving instances that will return into this pool.
  std::uint32_t m_targetCount{};        ///< `instances` and what the planner adds to them.
  DomainCounts m_servingByDomain;       ///< Serving instances by domain of `tolerate`.
  DomainCounts m_placedByDomain;        ///< Serving and inbound instances by domain of `spread`.
  std::vector<std::uint32_t> m_members; ///< Numbers of the instances in this pool.
};

struct FleetIndex
{
  std::vector<IndexedInstance> m_instances;
  std::vector<IndexedPool> m_pools;
  std::unordered_map<std::string_view, PoolIndex> m_poolByName;
  std::unordered_map<std::string_view, const ListedInstance*> m_listed;
  PoolIndex m_spare{ kNoPool };
  Millis m_timeMs{}; ///< Fold time.
};

[[nodiscard]] FleetIndex IndexFleet(const PlannerInput& aInput);

[[nodiscard]] std::uint32_t DomainNumber(const IndexedInstance& aInstance, Domain aDomain) noexcept;

/// \brief Instances that the pool has or will have once its inbound ones return.
[[nodiscard]] std::uint32_t ProjectedInstances(const IndexedPool& aPool) noexcept;

[[nodiscard]] std::uint32_t CountIn(const DomainCounts& aCounts, std::uint32_t aDomain);

[[nodiscard]] std::uint32_t LargestCount(const DomainCounts& aCounts);

/// \brief The same decision as `MayLeave` of the fold, from the counts.
[[nodiscard]] bool MayLeave(const FleetIndex& aIndex, const IndexedInstance& aInstance);

/// \brief False when no instance of the pool may leave; cheaper than checking each of them.
[[nodiscard]] bool CanDonate(const IndexedPool& aPool);

/// \brief Spare instances that could leave the spare pool now within its budget.
[[nodiscard]] std::uint32_t SpareAboveBudget(const FleetIndex& aIndex);

/// \brief True when serving, and listed as live with the boot id of the shared state.
[[nodiscard]] bool IsMovable(const IndexedInstance& aInstance);

/// \brief Adds the record and updates the counts. Returns false, without a change, when the
/// instance cannot be moved or the budget forbids it.
bool ProposeDrain(FleetIndex& aIndex, std::uint32_t aInstance, PoolIndex aTarget,
                  PlannerDecision& aDecision);

void ProposeFail(FleetIndex& aIndex, IndexedInstance& aInstance, PlannerDecision& aDecision);

} // namespace pistachiostand
