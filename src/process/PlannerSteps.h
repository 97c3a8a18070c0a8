#pragma once

#include "FleetIndex.h"

/// \file
/// \brief The steps of a planning call, in their order.

namespace pistachiostand {

/// \brief Join, Fail, Retire and Return records, and the orders for leaving instances.
void PlanMembership(const PlannerInput& aInput, FleetIndex& aIndex, PlannerMemory& aMemory,
                    PlannerDecision& aDecision);

/// \brief Sets how many instances each pool is to have.
void SetTargetCounts(const FleetState& aState, const PlannerOptions& aOptions, FleetIndex& aIndex,
                     std::uint32_t aSpareTarget);

/// \brief Moves between pools: removed pools, gaps, spread, and instances with a wrong service.
void PlanMoves(const FleetState& aState, const PlannerOptions& aOptions, FleetIndex& aIndex,
               PlannerDecision& aDecision);

/// \brief Maintenance waves.
void PlanWaves(const FleetState& aState, const PlannerOptions& aOptions, FleetIndex& aIndex,
               PlannerDecision& aDecision);

/// \brief True when a maintenance rule asks for a reboot of the instance at `aTimeMs`.
[[nodiscard]] bool IsDue(const MaintenanceRule& aRule, const Instance& aInstance,
                         Millis aTimeMs) noexcept;

[[nodiscard]] bool Matches(const MaintenanceRule& aRule, const PoolName& aPool);

} // namespace pistachiostand
