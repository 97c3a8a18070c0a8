#include "pistachiostand/request/Admission.h"

#include <algorithm>
#include <limits>

namespace pistachiostand {
namespace {

constexpr auto kUrgent = static_cast<std::size_t>(ServiceClass::Urgent);
constexpr auto kBatch = static_cast<std::size_t>(ServiceClass::Batch);
constexpr auto kOvernight = static_cast<std::size_t>(ServiceClass::Overnight);

std::size_t IndexOf(ServiceClass aClass) noexcept
{
  return static_cast<std::size_t>(aClass);
}

/// \brief Cost of a request in deficit and credit. At least 1, so that every request costs
/// something.
Millis CostOf(const QueuedRequest& aRequest) noexcept
{
  return std::max<Millis>(aRequest.m_expectedRunMs, 1);
}

template<typename Queue>
bool IsAffordable(const Queue& aQueue) noexcept
{
  return aQueue.m_deficitMs >= CostOf(aQueue.m_requests.front());
}

/// \brief Adds at once the rounds after which the first tenant can afford its next request.
template<typename ClassQueue>
void AddRounds(ClassQueue& aQueue)
{
  Millis rounds = std::numeric_limits<Millis>::max();
  for (const auto& [name, tenant] : aQueue.m_tenants) {
    const Millis missing = CostOf(tenant.m_requests.front()) - tenant.m_deficitMs;
    rounds = std::min(rounds, (missing + tenant.m_share - 1) / tenant.m_share);
  }
  for (auto& [name, tenant] : aQueue.m_tenants) {
    tenant.m_deficitMs += rounds * tenant.m_share;
  }
}

/// \brief Deficit round robin: the first tenant of the round that can afford its next request.
template<typename ClassQueue>
auto& NextTenant(ClassQueue& aQueue)
{
  const auto find = [&aQueue] {
    return std::find_if(
      aQueue.m_round.begin(), aQueue.m_round.end(),
      [&aQueue](const TenantName& aName) { return IsAffordable(aQueue.m_tenants.at(aName)); });
  };
  auto found = find();
  if (found == aQueue.m_round.end()) {
    AddRounds(aQueue);
    found = find();
  }
  aQueue.m_round.splice(aQueue.m_round.end(), aQueue.m_round, found);
  return aQueue.m_tenants.at(*found);
}

/// \brief Index of the class to serve: a lower one whose credit covers its average request, else
/// the highest one with a request waiting.
template<typename PoolQueue>
std::optional<std::size_t> NextClass(const PoolQueue& aPool)
{
  const auto hasEnoughCredit = [&aPool](std::size_t aIndex) {
    const auto& queue = aPool.m_classes[aIndex];
    return queue.m_waiting > 0 && aPool.m_creditMs[aIndex] * static_cast<double>(queue.m_waiting) >=
                                    static_cast<double>(queue.m_workMs);
  };
  for (const std::size_t index : { kOvernight, kBatch }) {
    if (hasEnoughCredit(index)) {
      return index;
    }
  }
  for (const std::size_t index : { kUrgent, kBatch, kOvernight }) {
    if (aPool.m_classes[index].m_waiting > 0) {
      return index;
    }
  }
  return std::nullopt;
}

} // namespace

std::string_view ToString(AdmissionRefusal aRefusal) noexcept
{
  switch (aRefusal) {
    case AdmissionRefusal::TenantQueueFull:
      return "tenant-queue-full";
    case AdmissionRefusal::EntryQueueFull:
      return "entry-queue-full";
    case AdmissionRefusal::WaitPastDeadline:
      return "wait-past-deadline";
    case AdmissionRefusal::DuplicateId:
      return "duplicate-id";
  }
  return "unknown";
}

Millis StartDeadline(Millis aArrivalMs, Millis aTimeoutMs, Millis aExpectedRunMs) noexcept
{
  return aArrivalMs + aTimeoutMs - std::min(std::max<Millis>(aExpectedRunMs, 0), aTimeoutMs / 2);
}

Admission::Admission(AdmissionOptions aOptions) noexcept
  : m_options(aOptions)
{
}

const TenantName& Admission::TenantQueueKey(const TenantName& aTenant) const noexcept
{
  static const TenantName sAllTenants;
  return m_options.m_fairQueueing ? aTenant : sAllTenants;
}

// Requests of lower classes are not counted, so that a tenant's overnight work cannot use up the
// queue capacity for its urgent requests.
bool Admission::IsTenantFull(const QueuedRequest& aRequest, const TenantRule& aRule) const
{
  const auto found = m_queuedByTenant.find(aRequest.m_tenant);
  if (found == m_queuedByTenant.end()) {
    return aRule.m_maxQueued == 0;
  }
  std::uint32_t waiting = 0;
  for (std::size_t index = 0; index <= IndexOf(aRequest.m_class); ++index) {
    waiting += found->second[index];
  }
  return waiting >= aRule.m_maxQueued;
}

std::optional<AdmissionRefusal> Admission::Check(const QueuedRequest& aRequest,
                                                 const TenantRule& aRule, Millis aNowMs) const
{
  if (m_byId.contains(aRequest.m_id)) {
    return AdmissionRefusal::DuplicateId;
  }
  if (IsTenantFull(aRequest, aRule)) {
    return AdmissionRefusal::TenantQueueFull;
  }
  if (m_byId.size() >= m_options.m_maxQueued) {
    return AdmissionRefusal::EntryQueueFull;
  }
  const Millis wait =
    ExpectedWait(aRequest.m_pool, aRequest.m_class, aRequest.m_tenant, aRule.m_share);
  if (m_options.m_enforceDeadlines && aNowMs + wait >= aRequest.m_deadlineMs) {
    return AdmissionRefusal::WaitPastDeadline;
  }
  return std::nullopt;
}

std::optional<AdmissionRefusal> Admission::Enqueue(QueuedRequest aRequest, const TenantRule& aRule,
                                                   Millis aNowMs)
{
  Expire(aNowMs);
  if (const auto refusal = Check(aRequest, aRule, aNowMs)) {
    return refusal;
  }
  Insert(std::move(aRequest), aRule.m_share, false);
  return std::nullopt;
}

std::optional<QueuedRequest> Admission::Take(const PoolName& aPool, Millis aNowMs)
{
  Expire(aNowMs);
  const auto found = m_pools.find(aPool);
  if (found == m_pools.end()) {
    return std::nullopt;
  }
  PoolQueue& pool = found->second;
  const auto index = NextClass(pool);
  if (!index) {
    return std::nullopt;
  }
  TenantQueue& tenant = NextTenant(pool.m_classes[*index]);
  tenant.m_deficitMs -= CostOf(tenant.m_requests.front());
  QueuedRequest request = Remove(tenant.m_requests.begin());
  CreditLowerClasses(pool, request);
  ++pool.m_inFlight;
  return request;
}

void Admission::CreditLowerClasses(PoolQueue& aPool, const QueuedRequest& aStarted) const
{
  const auto cost = static_cast<double>(CostOf(aStarted));
  const std::size_t started = IndexOf(aStarted.m_class);
  const auto credit = [&](std::size_t aIndex, std::uint32_t aDivisor) {
    double& balance = aPool.m_creditMs[aIndex];
    if (started == aIndex) {
      balance = std::max(balance - cost, 0.0);
    } else if (started < aIndex && aPool.m_classes[aIndex].m_waiting > 0) {
      balance += cost / aDivisor;
    }
  };
  credit(kBatch, m_options.m_batchDivisor);
  credit(kOvernight, m_options.m_overnightDivisor);
}

void Admission::PutBack(QueuedRequest aRequest)
{
  PoolQueue& pool = m_pools[aRequest.m_pool];
  const std::size_t index = IndexOf(aRequest.m_class);
  const Millis cost = CostOf(aRequest);
  pool.m_inFlight -= std::min<std::uint64_t>(pool.m_inFlight, 1);
  pool.m_creditMs[index] += index == kUrgent ? 0.0 : static_cast<double>(cost);
  Insert(std::move(aRequest), 0, true).m_deficitMs += cost;
}

void Admission::Finish(const QueuedRequest& aRequest, Millis aRunTimeMs)
{
  PoolQueue& pool = m_pools[aRequest.m_pool];
  pool.m_inFlight -= std::min<std::uint64_t>(pool.m_inFlight, 1);
  auto& tenants = pool.m_classes[IndexOf(aRequest.m_class)].m_tenants;
  const auto found = tenants.find(TenantQueueKey(aRequest.m_tenant));
  if (found != tenants.end()) {
    found->second.m_deficitMs += CostOf(aRequest) - std::max<Millis>(aRunTimeMs, 1);
  }
}

bool Admission::Cancel(std::uint64_t aId)
{
  const auto found = m_byId.find(aId);
  if (found == m_byId.end()) {
    return false;
  }
  Remove(found->second);
  return true;
}

std::vector<QueuedRequest> Admission::DropExpired(Millis aNowMs)
{
  Expire(aNowMs);
  return std::exchange(m_expired, {});
}

Millis Admission::ExpectedWait(const PoolName& aPool, ServiceClass aClass,
                               const TenantName& aTenant, std::uint32_t aShare) const
{
  const auto found = m_pools.find(aPool);
  if (found == m_pools.end()) {
    return 0;
  }
  const PoolQueue& pool = found->second;
  const ClassQueue& queue = pool.m_classes[IndexOf(aClass)];
  Millis ahead = 0;
  if (const auto own = queue.m_tenants.find(TenantQueueKey(aTenant));
      own != queue.m_tenants.end()) {
    // Fair queueing gives the tenant its share of the slots, or more when others need less.
    ahead = std::min(queue.m_workMs, own->second.m_workMs * static_cast<Millis>(queue.m_shares) /
                                       std::max<Millis>(aShare, 1));
  }
  for (std::size_t index = 0; index < IndexOf(aClass); ++index) {
    ahead += pool.m_classes[index].m_workMs;
  }
  return ahead / static_cast<Millis>(std::max<std::uint64_t>(pool.m_inFlight, 1));
}

bool Admission::IsEmpty(const PoolName& aPool) const
{
  const auto found = m_pools.find(aPool);
  return found == m_pools.end() ||
         std::all_of(found->second.m_classes.begin(), found->second.m_classes.end(),
                     [](const ClassQueue& aQueue) { return aQueue.m_waiting == 0; });
}

std::vector<QueueCounts> Admission::Counts(Millis aNowMs) const
{
  std::vector<QueueCounts> counts;
  for (const auto& [name, pool] : m_pools) {
    for (const ServiceClass serviceClass : kServiceClasses) {
      const ClassQueue& queue = pool.m_classes[IndexOf(serviceClass)];
      Millis oldestMs = 0;
      for (const auto& [tenantName, tenant] : queue.m_tenants) {
        oldestMs = std::max(oldestMs, aNowMs - tenant.m_requests.front().m_arrivalMs);
      }
      counts.push_back({ name, serviceClass, queue.m_waiting, queue.m_tenants.size(),
                         pool.m_inFlight, oldestMs, queue.m_workMs });
    }
  }
  return counts;
}

Admission::TenantQueue& Admission::Insert(QueuedRequest aRequest, std::uint32_t aShare,
                                          bool aInFront)
{
  ClassQueue& queue = m_pools[aRequest.m_pool].m_classes[IndexOf(aRequest.m_class)];
  const auto [entry, isNew] = queue.m_tenants.try_emplace(TenantQueueKey(aRequest.m_tenant));
  TenantQueue& tenant = entry->second;
  if (isNew) {
    tenant.m_roundPosition =
      queue.m_round.insert(aInFront ? queue.m_round.begin() : queue.m_round.end(), entry->first);
    queue.m_shares += tenant.m_share;
  }
  if (aShare > 0) { // 0, from PutBack(), keeps the share.
    queue.m_shares += aShare;
    queue.m_shares -= tenant.m_share;
    tenant.m_share = aShare;
  }
  tenant.m_workMs += CostOf(aRequest);
  queue.m_workMs += CostOf(aRequest);
  ++queue.m_waiting;
  ++m_queuedByTenant[aRequest.m_tenant][IndexOf(aRequest.m_class)];
  const auto position = tenant.m_requests.insert(
    aInFront ? tenant.m_requests.begin() : tenant.m_requests.end(), std::move(aRequest));
  m_byId.emplace(position->m_id, position);
  m_byDeadline.emplace(position->m_deadlineMs, position->m_id);
  return tenant;
}

QueuedRequest Admission::Remove(Position aPosition)
{
  ClassQueue& queue = m_pools[aPosition->m_pool].m_classes[IndexOf(aPosition->m_class)];
  const auto entry = queue.m_tenants.find(TenantQueueKey(aPosition->m_tenant));
  TenantQueue& tenant = entry->second;
  QueuedRequest request = std::move(*aPosition);
  tenant.m_requests.erase(aPosition);
  tenant.m_workMs -= CostOf(request);
  queue.m_workMs -= CostOf(request);
  --queue.m_waiting;
  m_byId.erase(request.m_id);
  m_byDeadline.erase({ request.m_deadlineMs, request.m_id });
  if (tenant.m_requests.empty()) { // An idle tenant accumulates no deficit.
    queue.m_shares -= tenant.m_share;
    queue.m_round.erase(tenant.m_roundPosition);
    queue.m_tenants.erase(entry);
  }
  const auto counted = m_queuedByTenant.find(request.m_tenant);
  --counted->second[IndexOf(request.m_class)];
  if (counted->second == TenantCounts{}) {
    m_queuedByTenant.erase(counted);
  }
  return request;
}

void Admission::Expire(Millis aNowMs)
{
  while (m_options.m_enforceDeadlines && !m_byDeadline.empty() &&
         m_byDeadline.begin()->first <= aNowMs) {
    m_expired.push_back(Remove(m_byId.at(m_byDeadline.begin()->second)));
  }
}

} // namespace pistachiostand
