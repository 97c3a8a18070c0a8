#include "ServerTable.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/base/Hash.h"

#include <algorithm>
#include <utility>

namespace pistachiostand {

namespace {

constexpr Millis kPollIntervalMs = 1'000;
constexpr Millis kPollTimeoutMs = 1'000;
/// A server that answered within this time is alive even if the platform's list has dropped it.
constexpr Millis kAliveMs = 5'000;

} // namespace

ServerTable::ServerTable(Runtime& aRuntime)
  : m_runtime(aRuntime)
  , m_random(Hash(aRuntime.m_process))
  , m_pollTicker(aRuntime.m_loop, kPollIntervalMs, [this] { PollAll(false); })
{
}

std::optional<ServerTable::Position> ServerTable::Find(const InstanceId& aInstance)
{
  const auto& instances = m_runtime.State().m_instances;
  const auto instance = instances.find(aInstance);
  if (instance == instances.end()) {
    return std::nullopt;
  }
  const auto pool = m_pools.find(instance->second.m_pool);
  if (pool == m_pools.end()) {
    return std::nullopt;
  }
  const auto found = std::ranges::find(pool->second.m_stats, aInstance, &ServerStats::m_instance);
  if (found == pool->second.m_stats.end()) {
    return std::nullopt;
  }
  return Position{ &pool->second, static_cast<std::size_t>(found - pool->second.m_stats.begin()) };
}

void ServerTable::Sync()
{
  std::map<PoolName, PoolServers> pools;
  for (const auto& [id, instance] : m_runtime.State().m_instances) {
    if (instance.m_phase != InstancePhase::Serving) {
      continue;
    }
    ServerStats stats;
    stats.m_instance = id;
    stats.m_zone = instance.m_zone;
    Info info{ instance.m_address, instance.m_bootId, {}, {}, {}, {}, {}, {} };
    const auto known = Find(id);
    if (known && known->m_pool->m_info[known->m_index].m_bootId == instance.m_bootId) {
      stats = known->m_pool->m_stats[known->m_index];
      info = known->m_pool->m_info[known->m_index];
      info.m_address = instance.m_address;
    }
    auto& pool = pools[instance.m_pool];
    pool.m_stats.push_back(std::move(stats));
    pool.m_info.push_back(std::move(info));
  }
  m_pools = std::move(pools);
  PollAll(true);
}

std::optional<ServerRef> ServerTable::Choose(const PoolName& aPool, bool aMayProbe)
{
  const auto pool = m_pools.find(aPool);
  const auto rule = m_runtime.CurrentRules().m_pools.find(aPool);
  if (pool == m_pools.end() || rule == m_runtime.CurrentRules().m_pools.end()) {
    return std::nullopt;
  }
  const Millis now = MonotonicMs();
  if (rule->second.m_taskControl == TaskControl::None &&
      CurrentView(m_runtime, now) == ViewState::Alone) {
    return std::nullopt;
  }
  const auto index = ChooseServer(pool->second.m_stats,
                                  { m_runtime.m_settings.m_zone, now, aMayProbe, {} }, m_random);
  if (!index) {
    return std::nullopt;
  }
  ServerStats& stats = pool->second.m_stats[*index];
  const Info& info = pool->second.m_info[*index];
  OnSent(stats);
  ++m_inFlight[stats.m_instance];
  return ServerRef{
    stats.m_instance,     aPool,          info.m_bootId, info.m_address, rule->second.m_taskControl,
    info.m_clockOffsetMs, stats.m_ejected
  };
}

void ServerTable::Release(const InstanceId& aInstance)
{
  const auto found = m_inFlight.find(aInstance);
  if (found != m_inFlight.end() && --found->second == 0) {
    m_inFlight.erase(found);
  }
}

void ServerTable::OnUnused(const ServerRef& aServer)
{
  Release(aServer.m_instance);
  const auto position = Find(aServer.m_instance);
  if (position && position->m_pool->m_info[position->m_index].m_bootId == aServer.m_bootId) {
    OnAbandoned(position->m_pool->m_stats[position->m_index]);
  }
}

void ServerTable::OnOutcome(const ServerRef& aServer, const RunOutcome& aOutcome, Millis aTookMs)
{
  Release(aServer.m_instance);
  const auto position = Find(aServer.m_instance);
  if (!position || position->m_pool->m_info[position->m_index].m_bootId != aServer.m_bootId) {
    return;
  }
  ServerStats& stats = position->m_pool->m_stats[position->m_index];
  Info& info = position->m_pool->m_info[position->m_index];
  const Millis now = MonotonicMs();
  switch (aOutcome.m_result) {
    case RunResult::Completed:
      info.m_aliveMs = now;
      OnResponse(stats, aTookMs, aOutcome.m_usedSlots.value_or(EstimatedLoad(stats, now)), now);
      return;
    case RunResult::Full:
      info.m_aliveMs = now;
      ++m_runtime.m_counters.m_refusedFull;
      OnRefusedFull(stats, now);
      return;
    case RunResult::Refused:
      OnAbandoned(stats);
      info.m_saidLeaving = info.m_saidLeaving || aOutcome.m_detail == "leaving";
      info.m_otherBoot = info.m_otherBoot || aOutcome.m_detail == "stale";
      RefreshLeaving();
      return;
    case RunResult::NotSent:
    case RunResult::Failed:
    case RunResult::Broken:
    case RunResult::Timeout:
      break;
  }
  OnError(stats, aTookMs, now);
  EjectOutliers(position->m_pool->m_stats, now);
}

void ServerTable::OnList(const std::vector<ListedInstance>& aListed)
{
  std::set<std::pair<InstanceId, BootId>> leaving;
  for (const auto& each : aListed) {
    if (each.m_leaving) {
      leaving.emplace(each.m_id, each.m_bootId);
    }
  }
  ForEach(m_pools, [&leaving](const ServerStats& aStats, Info& aInfo) {
    // The list lags, so an entry of an earlier boot says nothing about this one.
    aInfo.m_listedLeaving = leaving.contains({ aStats.m_instance, aInfo.m_bootId });
  });
  RefreshLeaving();
}

void ServerTable::RefreshLeaving()
{
  const auto peers = m_runtime.m_membership.Leaving(MonotonicMs());
  ForEach(m_pools, [&peers](ServerStats& aStats, const Info& aInfo) {
    aStats.m_leaving = aInfo.m_saidLeaving || aInfo.m_listedLeaving || aInfo.m_otherBoot ||
                       peers.contains(aStats.m_instance);
  });
}

std::vector<InstanceId> ServerTable::SaidLeaving() const
{
  std::vector<InstanceId> leaving;
  ForEach(m_pools, [&leaving](const ServerStats& aStats, const Info& aInfo) {
    if (aInfo.m_saidLeaving) {
      leaving.push_back(aStats.m_instance);
    }
  });
  return leaving;
}

std::set<InstanceId> ServerTable::SeenAlive(Millis aNowMs) const
{
  std::set<InstanceId> alive;
  ForEach(m_pools, [&alive, aNowMs](const ServerStats& aStats, const Info& aInfo) {
    if (aInfo.m_aliveMs != 0 && aNowMs - aInfo.m_aliveMs <= kAliveMs && !aInfo.m_saidLeaving) {
      alive.insert(aStats.m_instance);
    }
  });
  return alive;
}

void ServerTable::PollAll(bool aOnlyNew)
{
  ForEach(m_pools, [this, aOnlyNew](const ServerStats& aStats, Info& aInfo) {
    const bool wanted = !aOnlyNew || !aInfo.m_clockOffsetMs;
    if (wanted && !std::exchange(aInfo.m_polling, true)) {
      Poll(aStats.m_instance, aInfo.m_address, aInfo.m_bootId);
    }
  });
  RefreshLeaving();
}

void ServerTable::Poll(const InstanceId& aInstance, const std::string& aAddress,
                       const BootId& aBoot)
{
  m_runtime.m_backend.GetStatus(
    aAddress, kPollTimeoutMs, [this, aInstance, aBoot, sent = MonotonicMs()](const auto& aStatus) {
      OnStatus(aInstance, aBoot, sent, aStatus);
    });
}

void ServerTable::OnStatus(const InstanceId& aInstance, const BootId& aBoot, Millis aSentMs,
                           const std::optional<ServerStatus>& aStatus)
{
  const auto position = Find(aInstance);
  if (!position || position->m_pool->m_info[position->m_index].m_bootId != aBoot) {
    return;
  }
  Info& info = position->m_pool->m_info[position->m_index];
  info.m_polling = false;
  if (!aStatus) {
    return;
  }
  const Millis now = MonotonicMs();
  info.m_otherBoot = aStatus->m_bootId != aBoot;
  info.m_saidLeaving = aStatus->m_leaving;
  if (!info.m_otherBoot) {
    info.m_aliveMs = now;
    // The server read its clock at aSentMs or later; assuming now makes start-before too early
    // at worst, never too late.
    info.m_clockOffsetMs = aStatus->m_nowMs - now;
    ServerStats& stats = position->m_pool->m_stats[position->m_index];
    stats.m_slots = aStatus->m_slots;
    if (now - aSentMs < kPollTimeoutMs) {
      OnLoadReport(stats, aStatus->m_used, now);
    }
  }
  RefreshLeaving();
}

} // namespace pistachiostand
