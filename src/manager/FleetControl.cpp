#include "FleetControl.h"

#include "EventLog.h"
#include "MalformedEntry.h"

#include "platform/Topics.h"
#include "platform/Wire.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/fleet/WaveRecord.h"
#include "pistachiostand/job/Evacuation.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace pistachiostand::fleet {

namespace {

/// An instance is usable about 2 s after its move; listing every 700 ms adds little to that.
constexpr Millis kListMs = 700;
constexpr Millis kListRetryMs = 400;
/// Within this time the server of a moved instance registers, the registration is read, and the
/// server is polled.
constexpr Millis kJoinMs = 500;
/// Orders without a response are repeated; the platform reports a repeat as done.
constexpr Millis kOrderRepeatMs = 1'500;
constexpr Millis kRefusedPauseMs = 500;
/// Callers that were refused retry after 1 s, as their Retry-After says, and their jobs are read
/// soon after that.
constexpr Millis kCallersReturnMs = 1'200;
constexpr Millis kLogMs = 1'000;
/// A long-running subtask counts as available only when it has been ready for this long, half a
/// tick of the owner.
constexpr Millis kSettleMs = 50;
constexpr Millis kStoreTimeoutMs = 1'000;
/// Share of the platform's rate of orders that plans use; the rest is for repeated ones.
constexpr double kOrderRateShare = 0.85;
/// The platform limits the number of orders per second.
constexpr Millis kRateWindowMs = 1'000;
/// Used without a configured rate: one order per plan.
constexpr double kMinOrdersPerS = 10.0;
/// A stop that an earlier owner ordered takes up to the platform's bound. The server reports it at
/// most this much later.
constexpr Millis kStopMarginMs = 150;
/// With less time than this left, long-running subtasks are evacuated even when no other server has
/// capacity for them.
constexpr Millis kForcedEvacuationMs = 6'000;
/// Consecutive failed runs after which a server is used only when no other one is left. A job that
/// can never succeed fails two or three times by itself, without a fault of the server.
constexpr unsigned kFailedRunsToAvoid = 3;
/// Minimum size of a pool, because an instance may fail or enter maintenance at any time.
constexpr std::uint32_t kMinInstances = 2;

} // namespace

FleetControl::FleetControl(OwnerState& aState, RunControl& aRuns)
  : m_state(aState)
  , m_runs(aRuns)
{
}

PoolName FleetControl::SparePool() const
{
  const auto spare = std::ranges::find_if(m_state.m_configuration.m_pools,
                                          [](const auto& aPool) { return aPool.second.m_spare; });
  return spare == m_state.m_configuration.m_pools.end() ? PoolName{} : spare->first;
}

void FleetControl::OnWave(const MaintenanceWave& aWave, Millis aSeenMs)
{
  Wave& wave = m_waves[aWave.m_number];
  wave.m_beginMs = wave.m_beginMs == 0 ? aSeenMs : std::min(wave.m_beginMs, aSeenMs);
  if (!std::exchange(wave.m_requested, true)) {
    LogEvent("wave", "requested", "wave={} instances={} max_at_once={} duration_ms={} age_ms={}",
             aWave.m_number, aWave.m_instances.size(), aWave.m_maxAtOnce, aWave.m_durationMs,
             MonotonicMs() - wave.m_beginMs);
  }
  wave.m_request = aWave;
}

void FleetControl::OnStoredWave(std::uint64_t aNumber, std::string_view aBytes)
{
  const auto record = DecodeWaveRecord(aBytes);
  if (!record) {
    ReportMalformedEntry(m_state.m_metrics, "records_unreadable_total", "wave",
                         std::to_string(aNumber),
                         fmt::format("not a record of a wave, {} bytes", aBytes.size()));
    return;
  }
  Wave& wave = m_waves[aNumber];
  wave.m_done.insert(record->m_done.begin(), record->m_done.end());
  wave.m_storedCount = wave.m_done.size();
  const Millis begin = MonotonicMs() - record->m_ageMs;
  wave.m_beginMs = wave.m_beginMs == 0 ? begin : std::min(wave.m_beginMs, begin);
}

void FleetControl::OnStoredOrder(const InstanceId& aInstance, std::string_view aBytes)
{
  if (m_recordsRead) {
    return;
  }
  const auto order = DecodeInstanceOrder(aBytes);
  if (!order) {
    ReportMalformedEntry(m_state.m_metrics, "records_unreadable_total", "fleet", aInstance,
                         fmt::format("not a record of an order, {} bytes", aBytes.size()));
  }
  m_earlierOwnersOrders.insert_or_assign(aInstance, order);
}

bool FleetControl::MayOrder(const InstanceId& aInstance, Millis aNowMs) const
{
  const Millis exclusive = m_state.m_settings.m_bounds.m_exclusiveMs;
  const auto ordered = m_earlierOwnersOrders.find(aInstance);
  // The first owner of all has the token 1 and no predecessor.
  if (m_state.m_token == 1 || aNowMs - m_state.m_claimedMs > exclusive ||
      ordered == m_earlierOwnersOrders.end()) {
    return true;
  }
  // The platform regards the processes of one entry instance as one holder.
  if (ordered->second &&
      EntryInstanceOf(ordered->second->m_process) == EntryInstanceOf(m_state.m_process)) {
    return true;
  }
  const auto age =
    ordered->second ? MinAgeMs(*ordered->second, m_state.m_previousOwner, aNowMs) : std::nullopt;
  return age && *age > exclusive;
}

void FleetControl::List(const std::string& aPage)
{
  m_listInFlight = true;
  if (aPage.empty()) {
    m_listBeginMs = MonotonicMs();
    m_partialList.clear();
    m_unreadable.clear();
    m_hasRowWithoutId = false;
  }
  m_listPageToken = aPage;
  m_state.m_instances.List(aPage, m_state.Guard([this](const auto& aResult) { OnPage(aResult); }));
}

void FleetControl::OnPage(const std::optional<platform::InstancePage>& aPage)
{
  // A page that names itself as the next one would be read forever.
  if (!aPage || (!aPage->m_nextPage.empty() && aPage->m_nextPage == m_listPageToken)) {
    Count(m_state.m_metrics, "instance_lists_failed_total");
    m_listInFlight = false;
    m_listedMs = MonotonicMs() - kListMs + kListRetryMs;
    return;
  }
  if (aPage->m_malformedRows.m_count != 0) {
    ReportMalformedEntry(m_state.m_metrics, "instances_unreadable_total", "fleet", "machines",
                         aPage->m_malformedRows.m_cause);
  }
  for (const auto& instance : aPage->m_instances) {
    m_partialList.insert_or_assign(instance.m_id, instance);
  }
  m_unreadable.insert(aPage->m_unreadable.begin(), aPage->m_unreadable.end());
  m_hasRowWithoutId = m_hasRowWithoutId || aPage->m_hasRowWithoutId;
  if (!aPage->m_nextPage.empty()) {
    List(aPage->m_nextPage);
    return;
  }
  m_listInFlight = false;
  m_listedMs = MonotonicMs();
  // An instance whose row cannot be read keeps its last known state.
  std::ranges::copy_if(m_instances, std::inserter(m_partialList, m_partialList.end()),
                       [this](const auto& aEntry) {
                         return m_hasRowWithoutId || m_unreadable.contains(aEntry.first);
                       });
  m_instances = std::exchange(m_partialList, {});
  OnListed();
}

bool FleetControl::IsGone(const InstanceId& aId) const
{
  return !m_instances.contains(aId) && !m_hasRowWithoutId && !m_unreadable.contains(aId);
}

void FleetControl::OnListed()
{
  std::erase_if(m_orders, [this](const auto& aEntry) {
    const auto& [id, order] = aEntry;
    const auto instance = m_instances.find(id);
    if (instance == m_instances.end()) {
      return true;
    }
    // The order is complete when a list that was begun after the response shows the instance up
    // with a new server. The pages of a list are read at different times.
    return order.m_answeredMs != 0 && order.m_answeredMs <= m_listBeginMs &&
           instance->second.m_state == InstanceState::Up &&
           (instance->second.m_server != order.m_previousServer ||
            instance->second.m_server.empty());
  });
  std::erase_if(m_cordoned, [this](const auto& aEntry) { return IsGone(aEntry.first); });
  for (auto& [number, wave] : m_waves) {
    std::erase_if(wave.m_request.m_instances, [this](const InstanceId& aId) {
      return IsGone(aId); // It will not return, so nothing is left to maintain.
    });
  }
}

void FleetControl::SetWanted(CapacityInput& aInput)
{
  const Millis now = aInput.m_nowMs;
  std::map<PoolName, Resources> capacity;
  for (const auto& [id, instance] : m_instances) {
    capacity.emplace(instance.m_pool, instance.m_capacity);
  }
  // A pool without instances is computed with the capacity of an instance that it could get.
  for (const auto& [name, pool] : m_state.m_configuration.m_pools) {
    if (!m_instances.empty()) {
      capacity.emplace(name, m_instances.begin()->second.m_capacity);
    }
  }
  const auto demand =
    DemandByPool({ m_state.m_jobTable, m_state.m_configuration, m_state.m_arrivals,
                   std::move(capacity), now, m_state.m_settings.m_bounds.m_moveMs + kJoinMs });
  for (const auto& [name, pool] : m_state.m_configuration.m_pools) {
    if (pool.m_spare) {
      continue;
    }
    const auto found = demand.find(name);
    const PoolDemand poolDemand = found == demand.end() ? PoolDemand{} : found->second;
    m_lastDemand.insert_or_assign(name, poolDemand);
    const auto followed = m_demand[name].Update(
      poolDemand.m_longRunning, UrgentInstances(poolDemand), m_instances.size(), now);
    // One more, so that there is capacity for the subtasks of a failed instance.
    aInput.m_wanted[name] = std::max(
      { followed, poolDemand.m_minSpreadInstances == 0 ? 0 : poolDemand.m_minSpreadInstances + 1,
        kMinInstances });
    // The long-running subtasks of an instance that is being evacuated need another one.
    aInput.m_wanted[name] += static_cast<std::uint32_t>(
      std::ranges::count_if(aInput.m_instances, [&name = name](const InstanceView& aInstance) {
        return aInstance.m_pool == name && aInstance.m_cordoned && aInstance.m_longRunning != 0;
      }));
    aInput.m_wantedForLateWork[name] =
      static_cast<std::uint32_t>(std::ceil(LateInstances(poolDemand)));
    aInput.m_recentMaxWanted[name] =
      static_cast<std::uint32_t>(m_recentMaxWanted.try_emplace(name, kMaintenanceHoldMs)
                                   .first->second.Update(aInput.m_wanted[name], now));
  }
}

CapacityInput FleetControl::MakeInput(Millis aNowMs)
{
  CapacityInput input;
  input.m_nowMs = aNowMs;
  input.m_spare = SparePool();
  input.m_maintenanceMs = m_state.m_settings.m_bounds.m_maintenanceMs;
  const auto rounds = EvacuationRounds(m_state.m_jobTable, m_dueServers);
  for (const auto& [id, instance] : m_instances) {
    InstanceView view;
    view.m_id = id;
    view.m_pool = instance.m_pool;
    // An earlier owner may have sent an order for the instance just before this one began.
    view.m_up = instance.m_state == InstanceState::Up && MayOrder(id, aNowMs);
    view.m_inMaintenance = instance.m_state == InstanceState::Maintenance;
    view.m_cordoned = m_cordoned.contains(id);
    if (const auto order = m_orders.find(id); order != m_orders.end()) {
      view.m_up = false;
      view.m_inMaintenance = view.m_inMaintenance || order->second.m_wave.has_value();
      view.m_pool = order->second.m_pool.empty() ? view.m_pool : order->second.m_pool;
    }
    const auto server = m_state.m_servers.find(instance.m_server);
    view.m_usable = server != m_state.m_servers.end() && m_runs.IsUsable(server->second, aNowMs);
    const auto subtasks = m_state.m_jobTable.m_byServer.find(instance.m_server);
    if (subtasks != m_state.m_jobTable.m_byServer.end()) {
      view.m_runs = static_cast<std::uint32_t>(subtasks->second.size());
      view.m_longRunning = static_cast<std::uint32_t>(
        std::ranges::count_if(subtasks->second, [this](const SubtaskId& aId) {
          return FindStep(m_state.m_jobTable, aId)->m_longRunning;
        }));
    }
    if (const auto found = rounds.find(instance.m_server); found != rounds.end()) {
      view.m_evacuationRounds = found->second;
    }
    if (instance.m_state != InstanceState::Down) {
      input.m_instances.push_back(std::move(view));
    }
  }
  input.m_keepIdle = aNowMs < m_keepIdleUntilMs;
  SetWanted(input);
  for (const auto& entry : m_waves) {
    const Wave& wave = entry.second;
    WaveView view{
      entry.first, {}, wave.m_request.m_maxAtOnce, wave.m_beginMs + wave.m_request.m_durationMs
    };
    std::ranges::copy_if(wave.m_request.m_instances, std::inserter(view.m_due, view.m_due.end()),
                         [&wave](const InstanceId& aId) { return !wave.m_done.contains(aId); });
    if (!view.m_due.empty()) {
      input.m_waves.push_back(std::move(view));
    }
  }
  return input;
}

void FleetControl::LogCapacity(const CapacityInput& aInput)
{
  if (aInput.m_nowMs - m_capacityLoggedMs < kLogMs) {
    return;
  }
  m_capacityLoggedMs = aInput.m_nowMs;
  const auto ordered = [this](const PoolName& aPool) {
    return std::ranges::count_if(m_orders, [&aPool](const auto& aEntry) {
      return !aEntry.second.m_wave && aEntry.second.m_pool == aPool;
    });
  };
  for (const auto& [pool, wanted] : aInput.m_wanted) {
    const auto count = [&aInput, &pool = pool](auto aIs) {
      return std::ranges::count_if(aInput.m_instances, [&](const InstanceView& aInstance) {
        return aInstance.m_pool == pool && aIs(aInstance);
      });
    };
    LogEvent("fleet", "capacity",
             "pool={} wanted={} usable={} present={} empty={} cordoned={} extra={} ordered={} "
             "urgent={:.1f} arriving={:.1f} arrivals_age_ms={}",
             pool, wanted, count([](const auto& aOne) { return aOne.m_usable; }),
             count([](const auto&) { return true; }),
             count([](const auto& aOne) { return aOne.m_runs == 0; }),
             count([](const auto& aOne) { return aOne.m_cordoned || aOne.m_inMaintenance; }),
             aInput.m_wantedForLateWork.at(pool), ordered(pool),
             UrgentInstances(m_lastDemand[pool]), m_lastDemand[pool].m_arriving,
             aInput.m_nowMs - m_state.m_arrivalsAsOfMs);
  }
  LogEvent("fleet", "spare", "present={} ordered={}",
           std::ranges::count(aInput.m_instances, aInput.m_spare, &InstanceView::m_pool),
           ordered(aInput.m_spare));
}

void FleetControl::Plan(Millis aNowMs)
{
  const auto input = MakeInput(aNowMs);
  LogCapacity(input);
  const auto plan = PlanCapacity(input);
  for (const auto& id : plan.m_cordon) {
    m_cordoned.emplace(id, aNowMs);
    LogEvent("wave", "cordon", "instance={} server={}", id, m_instances.at(id).m_server);
  }
  std::vector<InstanceId> ordered;
  const std::size_t maxOrders = OrdersLeft(aNowMs);
  const auto order = [&](const InstanceId& aId, PoolName aPool,
                         std::optional<std::uint64_t> aWave) {
    const bool added =
      ordered.size() < maxOrders &&
      m_orders
        .emplace(aId, Order{ std::move(aPool), aWave, m_instances.at(aId).m_server, 0, 0, true })
        .second;
    if (added) {
      ordered.push_back(aId);
    }
  };
  m_drainingInstances = { plan.m_toDrain.begin(), plan.m_toDrain.end() };
  // A move that waits for the rate of orders must not be delayed further by new work.
  std::ranges::transform(plan.m_moves,
                         std::inserter(m_drainingInstances, m_drainingInstances.end()),
                         &InstanceMove::m_instance);
  for (const auto& start : plan.m_maintenance) {
    order(start.m_instance, {}, start.m_wave);
  }
  for (const auto& move : plan.m_moves) {
    order(move.m_instance, move.m_pool, {});
  }
  m_orderedMs.insert(m_orderedMs.end(), ordered.size(), aNowMs);
  StoreOrders(ordered);
}

std::size_t FleetControl::OrdersLeft(Millis aNowMs)
{
  std::erase_if(m_orderedMs, [aNowMs](Millis aAtMs) { return aNowMs - aAtMs >= kRateWindowMs; });
  const auto maxOrders = static_cast<std::size_t>(
    std::max(m_state.m_settings.m_instanceOrdersPerS * kOrderRateShare, kMinOrdersPerS));
  return maxOrders - std::min(maxOrders, m_orderedMs.size());
}

void FleetControl::StoreOrders(const std::vector<InstanceId>& aInstances)
{
  if (aInstances.empty()) {
    return;
  }
  platform::AppendRequest request;
  request.m_partition.m_topic = kFleetTopic;
  request.m_timeoutMs = m_recordTimeout.CurrentMs();
  const Millis sent = MonotonicMs();
  const std::string record = EncodeInstanceOrder({ m_state.m_process, sent });
  for (const auto& id : aInstances) {
    request.m_records.push_back(platform::EncodeKeyed(std::string{ kOrderPrefix } + id, record));
  }
  m_state.m_store.Append(std::move(request),
                         m_state.Guard([this, aInstances, sent](const auto& aResult) {
                           const bool stored = aResult.m_outcome == platform::AppendOutcome::Stored;
                           if (stored) {
                             m_recordTimeout.OnAnswer(MonotonicMs() - sent);
                           } else if (aResult.m_outcome == platform::AppendOutcome::Unknown) {
                             m_recordTimeout.OnTimeout();
                           }
                           for (const auto& id : aInstances) {
                             const auto order = m_orders.find(id);
                             if (order == m_orders.end()) {
                               continue;
                             }
                             order->second.m_storing = false;
                             if (stored && m_state.m_holdsOwnershipLease()) {
                               Send(id);
                             } else if (order->second.m_sentMs == 0) {
                               m_orders.erase(order); // Nothing was ordered.
                             }
                           }
                         }));
}

void FleetControl::Send(const InstanceId& aInstance)
{
  Order& order = m_orders.at(aInstance);
  order.m_sentMs = MonotonicMs();
  const auto done = m_state.Guard(
    [this, aInstance](const platform::InstanceResult& aResult) { OnAnswered(aInstance, aResult); });
  if (order.m_wave) {
    LogEvent("wave", "maintain", "instance={} wave={} token={}", aInstance, *order.m_wave,
             m_state.m_token);
    m_state.m_instances.Maintain(aInstance, *order.m_wave,
                                 { m_state.m_token, m_state.m_ownershipLeaseEndMs() }, done);
  } else {
    LogEvent("fleet", "move", "instance={} from={} to={} token={}", aInstance,
             m_instances.at(aInstance).m_pool, order.m_pool, m_state.m_token);
    Count(m_state.m_metrics, "moves_total");
    m_state.m_instances.Move(aInstance, order.m_pool,
                             { m_state.m_token, m_state.m_ownershipLeaseEndMs() }, done);
  }
}

void FleetControl::OnAnswered(const InstanceId& aInstance, const platform::InstanceResult& aResult)
{
  const auto found = m_orders.find(aInstance);
  if (found == m_orders.end()) {
    return;
  }
  Order& order = found->second;
  if (aResult.m_outcome == platform::CallOutcome::Done) {
    order.m_answeredMs = MonotonicMs();
    m_runs.OnInstanceOrderDone(order.m_previousServer);
    if (order.m_wave) {
      Wave& wave = m_waves.at(*order.m_wave);
      wave.m_done.insert(aInstance);
      m_cordoned.erase(aInstance);
      StoreWave(wave);
    }
    return;
  }
  LogEvent("fleet", "order-failed", "instance={} outcome={} reason={} wave={} to={}", aInstance,
           static_cast<int>(aResult.m_outcome), aResult.m_reason, order.m_wave.value_or(0),
           order.m_pool);
  if (aResult.m_outcome == platform::CallOutcome::Refused) {
    if (aResult.m_reason == "fence") {
      m_state.m_stepDown("the platform has seen a higher token for an instance");
      return;
    }
    m_orders.erase(found);
  } else if (aResult.m_outcome == platform::CallOutcome::Unhealthy ||
             aResult.m_outcome == platform::CallOutcome::NotSent) {
    m_orders.erase(found); // Nothing was done.
    m_refusedUntilMs = MonotonicMs() + kRefusedPauseMs;
  }
}

std::vector<ServerView> FleetControl::ServerViews(Millis aNowMs) const
{
  std::vector<ServerView> availableServers;
  for (const auto& [id, server] : m_state.m_servers) {
    if (!m_runs.IsUsable(server, aNowMs) || IsUnschedulable(id)) {
      continue;
    }
    ServerView availableServer;
    availableServer.m_id = id;
    availableServer.m_pool = server.m_registration.m_pool;
    availableServer.m_zone = server.m_registration.m_zone;
    availableServer.m_labels = server.m_registration.m_labels;
    availableServer.m_capacity = server.m_registration.m_capacity;
    const auto used = m_state.m_jobTable.m_used.find(id);
    availableServer.m_free = used == m_state.m_jobTable.m_used.end()
                               ? availableServer.m_capacity
                               : availableServer.m_capacity - used->second;
    if (const auto load = m_state.m_jobTable.m_load.find(id);
        load != m_state.m_jobTable.m_load.end()) {
      availableServer.m_load = load->second;
    }
    availableServer.m_avoid = server.m_failedRuns >= kFailedRunsToAvoid;
    availableServer.m_maintenanceDue = IsDue(id);
    availableServer.m_startsLeft = m_runs.StartsLeft(id);
    availableServers.push_back(std::move(availableServer));
  }
  return availableServers;
}

void FleetControl::Evacuate(Millis aNowMs)
{
  if (m_cordoned.empty()) {
    return;
  }
  std::vector<std::pair<Millis, ServerId>> servers;
  for (const auto& [id, sinceMs] : m_cordoned) {
    const auto instance = m_instances.find(id);
    if (instance != m_instances.end() && !instance->second.m_server.empty()) {
      servers.emplace_back(sinceMs, instance->second.m_server);
    }
  }
  std::ranges::sort(servers);
  EvacuationInput input;
  input.m_nowMs = aNowMs;
  input.m_settleMs = kSettleMs;
  input.m_inheritedSettleMs = m_state.m_settings.m_bounds.m_stopMs + kStopMarginMs;
  std::ranges::transform(servers, std::back_inserter(input.m_servers),
                         [](const auto& aEntry) { return aEntry.second; });
  for (const auto& [id, server] : m_state.m_servers) {
    if (server.m_unansweredCalls != 0 || !server.m_registered) {
      input.m_unresponsiveServers.insert(id);
    }
  }
  const bool timeIsShort = std::ranges::any_of(m_waves, [aNowMs](const auto& aEntry) {
    const Wave& wave = aEntry.second;
    return wave.m_requested &&
           wave.m_beginMs + wave.m_request.m_durationMs - aNowMs < kForcedEvacuationMs &&
           !std::ranges::all_of(wave.m_request.m_instances, [&wave](const InstanceId& aId) {
             return wave.m_done.contains(aId);
           });
  });
  if (!timeIsShort) {
    input.m_destinations = ServerViews(aNowMs);
  }
  for (const auto& run :
       PlanEvacuation(m_state.m_jobTable, m_state.m_configuration, std::move(input))) {
    m_runs.Stop(run, "its instance is due for maintenance");
  }
}

void FleetControl::UpdateUnschedulable()
{
  m_unschedulableServers.clear();
  m_dueServers.clear();
  const auto markUnschedulable = [this](const InstanceId& aId) {
    if (const auto instance = m_instances.find(aId); instance != m_instances.end()) {
      m_unschedulableServers.insert(instance->second.m_server);
    }
  };
  std::ranges::for_each(
    m_cordoned, [&markUnschedulable](const auto& aEntry) { markUnschedulable(aEntry.first); });
  std::ranges::for_each(m_drainingInstances, markUnschedulable);
  for (const auto& [id, order] : m_orders) {
    m_unschedulableServers.insert(order.m_previousServer);
  }
  for (const auto& [number, wave] : m_waves) {
    for (const auto& id : wave.m_request.m_instances) {
      const auto instance = m_instances.find(id);
      if (instance != m_instances.end() && !wave.m_done.contains(id)) {
        m_dueServers.insert(instance->second.m_server);
      }
    }
  }
}

void FleetControl::OnOwnershipLeaseRegained(Millis aNowMs)
{
  m_keepIdleUntilMs = aNowMs + kCallersReturnMs;
}

void FleetControl::Tick(Millis aNowMs)
{
  if (!m_state.m_holdsOwnershipLease()) {
    return;
  }
  if (!m_listInFlight && aNowMs - m_listedMs >= kListMs) {
    List({});
  }
  if (!m_recordsRead || m_instances.empty()) {
    UpdateUnschedulable();
    return;
  }
  std::vector<InstanceId> repeats;
  for (auto& [id, order] : m_orders) {
    if (order.m_answeredMs == 0 && !order.m_storing && order.m_sentMs != 0 &&
        aNowMs - order.m_sentMs > kOrderRepeatMs) {
      order.m_storing = true;
      repeats.push_back(id);
    }
  }
  // A record precedes each repeat: a later owner waits from the last time that the order was sent,
  // not from the first.
  StoreOrders(repeats);
  if (aNowMs >= m_refusedUntilMs) {
    Plan(aNowMs);
  }
  UpdateUnschedulable();
  Evacuate(aNowMs);
  for (auto& [number, wave] : m_waves) {
    StoreWave(wave);
    WriteStatus(wave);
  }
}

void FleetControl::WriteStatus(Wave& aWave)
{
  const bool completed =
    aWave.m_requested &&
    std::ranges::all_of(aWave.m_request.m_instances,
                        [&aWave](const InstanceId& aId) { return aWave.m_done.contains(aId); });
  if (!aWave.m_requested || aWave.m_writingStatus || aWave.m_writtenStatus == completed) {
    return;
  }
  aWave.m_writingStatus = true;
  platform::AppendRequest request;
  request.m_partition.m_topic = platform::kStatusTopic;
  request.m_timeoutMs = kStoreTimeoutMs;
  request.m_records = { platform::EncodeKeyed(
    fmt::format("{}{}", kStoredWavePrefix, aWave.m_request.m_number),
    platform::EncodeWaveStatus(completed)) };
  m_state.m_store.Append(std::move(request), m_state.Guard([this, number = aWave.m_request.m_number,
                                                            completed](const auto& aResult) {
    Wave& wave = m_waves.at(number);
    wave.m_writingStatus = false;
    if (aResult.m_outcome == platform::AppendOutcome::Stored) {
      wave.m_writtenStatus = completed;
      LogEvent("wave", "status", "wave={} completed={}", number, completed);
    }
  }));
}

void FleetControl::StoreWave(Wave& aWave)
{
  // Records are stored one after the other, so that an earlier one never replaces a later one.
  if (aWave.m_storing || aWave.m_storedCount == aWave.m_done.size()) {
    return;
  }
  aWave.m_storing = true;
  platform::AppendRequest request;
  request.m_partition.m_topic = kFleetTopic;
  request.m_timeoutMs = kStoreTimeoutMs;
  request.m_records = { platform::EncodeKeyed(
    fmt::format("{}{}", kStoredWavePrefix, aWave.m_request.m_number),
    EncodeWaveRecord(
      { { aWave.m_done.begin(), aWave.m_done.end() }, MonotonicMs() - aWave.m_beginMs })) };
  m_state.m_store.Append(
    std::move(request),
    m_state.Guard([this, number = aWave.m_request.m_number,
                   count = aWave.m_done.size()](const platform::AppendResult& aResult) {
      Wave& wave = m_waves.at(number);
      wave.m_storing = false;
      if (aResult.m_outcome == platform::AppendOutcome::Stored) {
        wave.m_storedCount = count;
      }
    }));
}

} // namespace pistachiostand::fleet
