#include "PlannerSteps.h"

#include <algorithm>
#include <tuple>

namespace pistachiostand {

namespace {

/// \brief The best candidate so far; a lower rank is better.
struct Candidate
{
  using Rank = std::tuple<std::uint32_t, std::uint32_t, bool, std::uint32_t, Millis, std::uint32_t>;

  std::optional<std::uint32_t> m_instance;
  Rank m_rank;
};

bool IsSurplus(const IndexedPool& aPool) noexcept
{
  return aPool.m_rule == nullptr || ProjectedInstances(aPool) > aPool.m_targetCount;
}

Domain SpreadOf(const IndexedPool& aPool, const PlannerOptions& aOptions) noexcept
{
  return aOptions.m_spread && aPool.m_rule != nullptr ? aPool.m_rule->m_spread : Domain::None;
}

Domain ToleratedBy(const IndexedPool& aPool, const PlannerOptions& aOptions) noexcept
{
  return aOptions.m_spread && aPool.m_rule != nullptr ? aPool.m_rule->m_tolerate : Domain::None;
}

/// \brief Prefers domains in which the target has few instances, then surplus over spare instances,
/// because surplus ones move in any case, then domains in which the donor has many, then the
/// instances whose last maintenance is the oldest.
Candidate::Rank RankFor(const FleetIndex& aIndex, std::uint32_t aInstance,
                        const IndexedPool& aTarget, const PlannerOptions& aOptions)
{
  const IndexedInstance& instance = aIndex.m_instances[aInstance];
  const IndexedPool& donor = aIndex.m_pools[instance.m_pool];
  const auto countIn = [&instance](const DomainCounts& aCounts, Domain aDomain) {
    return aDomain == Domain::None ? 0 : CountIn(aCounts, DomainNumber(instance, aDomain));
  };
  return { countIn(aTarget.m_placedByDomain, SpreadOf(aTarget, aOptions)),
           countIn(aTarget.m_servingByDomain, ToleratedBy(aTarget, aOptions)),
           instance.m_pool == aIndex.m_spare,
           UINT32_MAX - countIn(donor.m_placedByDomain, SpreadOf(donor, aOptions)),
           aOptions.m_combineWithMaintenance ? instance.m_instance->m_maintainedMs : 0,
           aInstance };
}

void ConsiderCandidate(const FleetIndex& aIndex, std::uint32_t aInstance,
                       const Candidate::Rank& aRank, Candidate& aBest)
{
  const IndexedInstance& instance = aIndex.m_instances[aInstance];
  if ((!aBest.m_instance || aRank < aBest.m_rank) && IsMovable(instance) &&
      MayLeave(aIndex, instance)) {
    aBest = { aInstance, aRank };
  }
}

/// \brief Pools that may give instances: those with a surplus, and the spare pool.
std::vector<PoolIndex> DonorPools(const FleetIndex& aIndex, PoolIndex aTarget,
                                  const PlannerOptions& aOptions)
{
  std::vector<PoolIndex> donors;
  for (PoolIndex pool = 0; pool < aIndex.m_pools.size(); ++pool) {
    const bool spare = pool == aIndex.m_spare && aOptions.m_replaceFromSpares;
    if (pool != aTarget && CanDonate(aIndex.m_pools[pool]) &&
        (spare || IsSurplus(aIndex.m_pools[pool]))) {
      donors.push_back(pool);
    }
  }
  return donors;
}

Candidate ChooseDonation(const FleetIndex& aIndex, PoolIndex aTarget,
                         const std::vector<PoolIndex>& aDonors, const PlannerOptions& aOptions)
{
  Candidate best;
  for (const PoolIndex donor : aDonors) {
    if (!CanDonate(aIndex.m_pools[donor])) {
      continue;
    }
    for (const auto member : aIndex.m_pools[donor].m_members) {
      ConsiderCandidate(aIndex, member, RankFor(aIndex, member, aIndex.m_pools[aTarget], aOptions),
                        best);
    }
  }
  return best;
}

bool MoveOneInto(FleetIndex& aIndex, PoolIndex aTarget, const PlannerOptions& aOptions,
                 PlannerDecision& aDecision)
{
  const Candidate best =
    ChooseDonation(aIndex, aTarget, DonorPools(aIndex, aTarget, aOptions), aOptions);
  return best.m_instance && ProposeDrain(aIndex, *best.m_instance, aTarget, aDecision);
}

std::uint32_t Budget(const IndexedPool& aPool) noexcept
{
  return aPool.m_rule == nullptr ? 0 : aPool.m_rule->m_minAvailable;
}

/// \brief Order in which pools below their target get an instance: those below budget first, then
/// by the missing share. The spare pool is last, because all others are filled from it.
std::tuple<bool, bool, double, PoolIndex> ShortageRank(const FleetIndex& aIndex, PoolIndex aPool)
{
  const IndexedPool& pool = aIndex.m_pools[aPool];
  const double filled = static_cast<double>(ProjectedInstances(pool)) / pool.m_targetCount;
  return { aPool == aIndex.m_spare, ProjectedInstances(pool) >= Budget(pool), filled, aPool };
}

bool IsBelowTarget(const IndexedPool& aPool) noexcept
{
  return ProjectedInstances(aPool) < aPool.m_targetCount;
}

std::vector<PoolIndex> PoolsBelowTarget(const FleetIndex& aIndex)
{
  std::vector<PoolIndex> pools;
  for (PoolIndex pool = 0; pool < aIndex.m_pools.size(); ++pool) {
    if (IsBelowTarget(aIndex.m_pools[pool])) {
      pools.push_back(pool);
    }
  }
  return pools;
}

/// \brief Pools from which an instance may leave, those furthest above their budget first.
std::vector<PoolIndex> PoolsAboveBudget(const FleetIndex& aIndex, PoolIndex aTarget)
{
  std::vector<PoolIndex> sources;
  for (PoolIndex pool = 0; pool < aIndex.m_pools.size(); ++pool) {
    if (pool != aTarget && CanDonate(aIndex.m_pools[pool])) {
      sources.push_back(pool);
    }
  }
  std::ranges::stable_sort(sources, std::ranges::greater{}, [&aIndex](PoolIndex aEach) {
    return aIndex.m_pools[aEach].m_serving - Budget(aIndex.m_pools[aEach]);
  });
  return sources;
}

bool MoveFromPoolAboveBudget(FleetIndex& aIndex, PoolIndex aTarget, const PlannerOptions& aOptions,
                             PlannerDecision& aDecision)
{
  for (const PoolIndex source : PoolsAboveBudget(aIndex, aTarget)) {
    Candidate best;
    for (const auto member : aIndex.m_pools[source].m_members) {
      ConsiderCandidate(aIndex, member, RankFor(aIndex, member, aIndex.m_pools[aTarget], aOptions),
                        best);
    }
    if (best.m_instance) {
      return ProposeDrain(aIndex, *best.m_instance, aTarget, aDecision);
    }
  }
  return false;
}

/// \brief Moves one instance into the pool, from the spare pool or a pool with a surplus. A pool
/// below its budget may also get one from any pool above its own budget: missing `instances` does
/// less harm than missing `min_available`.
bool AddInstanceToPool(FleetIndex& aIndex, PoolIndex aTarget, const PlannerOptions& aOptions,
                       PlannerDecision& aDecision)
{
  const IndexedPool& pool = aIndex.m_pools[aTarget];
  return MoveOneInto(aIndex, aTarget, aOptions, aDecision) ||
         (aOptions.m_moveFromPoolsAboveBudget && ProjectedInstances(pool) < Budget(pool) &&
          MoveFromPoolAboveBudget(aIndex, aTarget, aOptions, aDecision));
}

/// \brief Spare instances reserved for pools that are below budget now. Their inbound instances may
/// not return from the reboot, so the reserve is not used to raise other pools above their budget.
std::uint32_t ReservedForBudgets(const FleetIndex& aIndex)
{
  std::uint32_t reserved = 0;
  for (const auto& pool : aIndex.m_pools) {
    reserved += Budget(pool) > pool.m_serving ? Budget(pool) - pool.m_serving : 0;
  }
  return reserved;
}

/// \brief Gives the pool with the largest shortage one instance at a time. Filling one pool to its
/// target first would use up the spare instances while another one is below its budget.
void FillPools(FleetIndex& aIndex, const PlannerOptions& aOptions, PlannerDecision& aDecision)
{
  auto pools = PoolsBelowTarget(aIndex);
  const std::uint32_t reserved = ReservedForBudgets(aIndex);
  while (!pools.empty() && aDecision.m_records.size() < kMaxPlannedRecords) {
    const auto next = std::ranges::min_element(
      pools, {}, [&aIndex](PoolIndex aEach) { return ShortageRank(aIndex, aEach); });
    if (reserved > 0 &&
        ProjectedInstances(aIndex.m_pools[*next]) >= Budget(aIndex.m_pools[*next]) &&
        SpareAboveBudget(aIndex) <= reserved) {
      return;
    }
    if (!AddInstanceToPool(aIndex, *next, aOptions, aDecision) ||
        !IsBelowTarget(aIndex.m_pools[*next])) {
      pools.erase(next);
    }
  }
}

void EmptyRemovedPools(FleetIndex& aIndex, PlannerDecision& aDecision)
{
  for (const auto& pool : aIndex.m_pools) {
    for (std::size_t i = 0; pool.m_rule == nullptr && i < pool.m_members.size() &&
                            aDecision.m_records.size() < kMaxPlannedRecords;
         ++i) {
      ProposeDrain(aIndex, pool.m_members[i], aIndex.m_spare, aDecision);
    }
  }
}

/// \brief The member to move out for a better spread: from the domain with the most instances, the
/// one with the oldest maintenance.
Candidate ChooseFromFullestDomain(const FleetIndex& aIndex, const IndexedPool& aPool,
                                  Domain aSpread)
{
  Candidate best;
  for (const auto member : aPool.m_members) {
    const IndexedInstance& instance = aIndex.m_instances[member];
    const auto count = CountIn(aPool.m_placedByDomain, DomainNumber(instance, aSpread));
    ConsiderCandidate(
      aIndex, member,
      { UINT32_MAX - count, 0, false, 0, instance.m_instance->m_maintainedMs, member }, best);
  }
  return best;
}

/// \brief Exchanges one instance with the spare pool if the counts of two domains differ by two or
/// more. If the budget does not allow the outgoing one to leave yet, it leaves as surplus once the
/// incoming one has arrived.
void ImproveSpread(FleetIndex& aIndex, PoolIndex aPool, const PlannerOptions& aOptions,
                   PlannerDecision& aDecision)
{
  const IndexedPool& pool = aIndex.m_pools[aPool];
  const Domain spread = SpreadOf(pool, aOptions);
  if (spread == Domain::None || aPool == aIndex.m_spare || pool.m_inbound > 0 ||
      pool.m_serving != pool.m_targetCount) {
    return;
  }
  const auto countOf = [&](const Candidate& aCandidate) {
    return CountIn(pool.m_placedByDomain,
                   DomainNumber(aIndex.m_instances[*aCandidate.m_instance], spread));
  };
  const Candidate in = ChooseDonation(aIndex, aPool, { aIndex.m_spare }, aOptions);
  if (!in.m_instance || LargestCount(pool.m_placedByDomain) < countOf(in) + 2) {
    return;
  }
  const Candidate out = ChooseFromFullestDomain(aIndex, pool, spread);
  const bool exchange = out.m_instance && countOf(out) >= countOf(in) + 2;
  ProposeDrain(aIndex, *in.m_instance, aPool, aDecision);
  if (exchange) {
    ProposeDrain(aIndex, *out.m_instance, aIndex.m_spare, aDecision);
  }
}

/// \brief Reboots instances that the platform started with the service of another pool.
void RepairServices(FleetIndex& aIndex, PlannerDecision& aDecision)
{
  for (std::uint32_t i = 0; i < aIndex.m_instances.size(); ++i) {
    const IndexedInstance& instance = aIndex.m_instances[i];
    if (IsMovable(instance) && instance.m_listed->m_pool != instance.m_instance->m_pool &&
        aDecision.m_records.size() < kMaxPlannedRecords) {
      ProposeDrain(aIndex, i, instance.m_pool, aDecision);
    }
  }
}

} // namespace

void PlanMoves(const FleetState& aState, const PlannerOptions& aOptions, FleetIndex& aIndex,
               PlannerDecision& aDecision)
{
  FillPools(aIndex, aOptions, aDecision);
  EmptyRemovedPools(aIndex, aDecision);
  RepairServices(aIndex, aDecision);
  const PlacementWeights& weights = aState.m_rules->m_weights;
  if (weights.m_moves > std::max(weights.m_bufferCost, weights.m_rolloutTime)) {
    return; // The spread then improves only by moves that are needed anyway.
  }
  for (PoolIndex pool = 0;
       pool < aIndex.m_pools.size() && aDecision.m_records.size() < kMaxPlannedRecords; ++pool) {
    ImproveSpread(aIndex, pool, aOptions, aDecision);
  }
}

} // namespace pistachiostand
