#include "Dispatcher.h"

#include "pistachiostand/base/Clock.h"

#include <algorithm>
#include <utility>

namespace pistachiostand {

namespace {

/// The queues are served at this interval, because a server that refused a request as full may be
/// tried again after some milliseconds; see Placement.h.
constexpr Millis kPumpIntervalMs = 5;

} // namespace

Dispatcher::Dispatcher(Runtime& aRuntime, ServerTable& aServers)
  : m_runtime(aRuntime)
  , m_servers(aServers)
  , m_admission(AdmissionOptions{})
  , m_ticker(aRuntime.m_loop, kPumpIntervalMs, [this] { Pump(); })
{
}

std::optional<AdmissionRefusal> Dispatcher::Enqueue(QueuedCall aCall, const TenantRule& aRule)
{
  const auto id = aCall.m_request.m_id;
  const PoolName pool = aCall.m_request.m_pool;
  if (const auto refusal = m_admission.Enqueue(aCall.m_request, aRule, MonotonicMs())) {
    return refusal;
  }
  m_calls.emplace(id, std::move(aCall));
  PumpPool(pool);
  return std::nullopt;
}

void Dispatcher::PutBack(QueuedCall aCall)
{
  const auto id = aCall.m_request.m_id;
  m_admission.PutBack(aCall.m_request);
  m_calls.insert_or_assign(id, std::move(aCall));
}

void Dispatcher::Finish(const QueuedRequest& aRequest, Millis aRanMs)
{
  m_admission.Finish(aRequest, aRanMs);
  PumpPool(aRequest.m_pool);
}

bool Dispatcher::Cancel(std::uint64_t aId)
{
  m_calls.erase(aId);
  return m_admission.Cancel(aId);
}

bool Dispatcher::TryTakeRetry(const ServiceName& aService)
{
  const bool allowed = pistachiostand::TryTakeRetry(m_budgets[aService]);
  m_runtime.m_counters.m_retries += allowed ? 1 : 0;
  return allowed;
}

void Dispatcher::CountFirstAttempt(const ServiceName& aService)
{
  OnFirstAttempt(m_budgets[aService]);
}

std::vector<QueueCounts> Dispatcher::Counts() const
{
  return m_admission.Counts(MonotonicMs());
}

void Dispatcher::Pump()
{
  DropExpired();
  for (const auto& [pool, rule] : m_runtime.CurrentRules().m_pools) {
    PumpPool(pool);
  }
}

void Dispatcher::PumpPool(const PoolName& aPool)
{
  // A call that ends immediately calls Finish(), which must not start a nested loop.
  if (std::exchange(m_pumping, true)) {
    return;
  }
  while (!m_admission.IsEmpty(aPool) && StartNext(aPool)) {
  }
  m_pumping = false;
}

bool Dispatcher::StartNext(const PoolName& aPool)
{
  auto server = m_servers.Choose(aPool, true);
  if (!server) {
    return false;
  }
  const auto next = m_admission.Take(aPool, MonotonicMs());
  auto node = next ? m_calls.extract(next->m_id) : decltype(m_calls)::node_type{};
  if (node.empty()) {
    m_servers.OnUnused(*server);
    return false;
  }
  QueuedCall call = std::move(node.mapped());
  call.m_request = *next;
  if (server->m_probe && !next->m_idempotent) {
    // A probe may fail, so a non-idempotent request gets a server that is not ejected.
    m_servers.OnUnused(*server);
    server = m_servers.Choose(aPool, false);
    if (!server) {
      PutBack(std::move(call));
      return false;
    }
  }
  const auto start = call.m_start;
  start(*server);
  return true;
}

void Dispatcher::DropExpired()
{
  for (const auto& request : m_admission.DropExpired(MonotonicMs())) {
    auto node = m_calls.extract(request.m_id);
    if (!node.empty()) {
      node.mapped().m_expire();
    }
  }
}

} // namespace pistachiostand
