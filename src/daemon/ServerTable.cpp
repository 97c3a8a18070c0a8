#include "ServerTable.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/base/Hash.h"

#include <algorithm>
#include <utility>

namespace pistachiostand {

namespace {

constexpr Millis kPollIntervalMs = 1'000;
constexpr Millis kPollTimeoutMs = 1'000;
/// Poll interval for pools without requests; a leaving server is still noticed within a few
/// seconds.
constexpr Millis kIdlePollIntervalMs = 4'000;
constexpr Millis kPoolIdleMs = 10'000;
/// Polls are spread over their interval and limited in number, because a connection in use takes
/// about 30 KB.
constexpr Millis kPollTickMs = 100;
constexpr std::size_t kMaxPolls = 256;
/// A server that responded within this time is alive even if the platform's list has dropped it.
/// The limit tolerates one lost poll of an idle pool.
constexpr Millis kAliveMs = 10'000;

} // namespace

ServerTable::ServerTable(Runtime& aRuntime)
  : m_runtime(aRuntime)
  , m_random(Hash(aRuntime.m_process))
  , m_pollTicker(aRuntime.m_loop, kPollTickMs, [this] { PollDue(); })
  , m_leavingTicker(aRuntime.m_loop, kPollIntervalMs, [this] { RefreshLeaving(); })
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

void ServerTable::MarkChanged()
{
  if (!std::exchange(m_changed, true)) {
    asio::post(m_runtime.m_loop, [this] { SyncIfChanged(); });
  }
}

void ServerTable::SyncIfChanged()
{
  if (std::exchange(m_changed, false)) {
    Sync();
  }
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
    Info info;
    info.m_address = instance.m_address;
    info.m_bootId = instance.m_bootId;
    const auto known = Find(id);
    if (known && known->m_pool->m_info[known->m_index].m_bootId == instance.m_bootId) {
      stats = known->m_pool->m_stats[known->m_index];
      info = known->m_pool->m_info[known->m_index];
      info.m_address = instance.m_address;
    }
    info.m_needsClock = HasTaskControl(instance.m_pool);
    auto& pool = pools[instance.m_pool];
    pool.m_stats.push_back(std::move(stats));
    pool.m_info.push_back(std::move(info));
  }
  for (auto& [name, pool] : pools) {
    const auto known = m_pools.find(name);
    pool.m_usedMs = known == m_pools.end() ? 0 : known->second.m_usedMs;
  }
  m_pools = std::move(pools);
  PollDue();
  RefreshLeaving();
}

bool ServerTable::HasTaskControl(const PoolName& aPool) const
{
  const auto& pools = m_runtime.CurrentRules().m_pools;
  const auto rule = pools.find(aPool);
  return rule != pools.end() && rule->second.m_taskControl == TaskControl::Full;
}

std::optional<ServerRef> ServerTable::Choose(const PoolName& aPool, bool aMayProbe)
{
  SyncIfChanged();
  const auto pool = m_pools.find(aPool);
  const auto rule = m_runtime.CurrentRules().m_pools.find(aPool);
  if (pool == m_pools.end() || rule == m_runtime.CurrentRules().m_pools.end()) {
    return std::nullopt;
  }
  const Millis now = MonotonicMs();
  if (rule->second.m_taskControl == TaskControl::None &&
      CurrentView(m_runtime, now) == ViewState::Isolated) {
    return std::nullopt;
  }
  pool->second.m_usedMs = now;
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

void ServerTable::ReleaseSlot(const InstanceId& aInstance)
{
  const auto found = m_inFlight.find(aInstance);
  if (found != m_inFlight.end() && --found->second == 0) {
    m_inFlight.erase(found);
  }
}

void ServerTable::OnUnused(const ServerRef& aServer)
{
  SyncIfChanged();
  ReleaseSlot(aServer.m_instance);
  const auto position = Find(aServer.m_instance);
  if (position && position->m_pool->m_info[position->m_index].m_bootId == aServer.m_bootId) {
    OnAbandoned(position->m_pool->m_stats[position->m_index]);
  }
}

void ServerTable::OnOutcome(const ServerRef& aServer, const RunOutcome& aOutcome, Millis aTookMs)
{
  SyncIfChanged();
  ReleaseSlot(aServer.m_instance);
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
      info.m_reportedLeaving = info.m_reportedLeaving || aOutcome.m_detail == "leaving";
      info.m_otherBoot = info.m_otherBoot || aOutcome.m_detail == "stale";
      stats.m_leaving = IsUnusable(info) || m_leavingByPeers.contains(aServer.m_instance);
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
  SyncIfChanged();
  std::set<std::pair<InstanceId, BootId>> leaving;
  for (const auto& each : aListed) {
    if (each.m_leaving) {
      leaving.emplace(each.m_id, each.m_bootId);
    }
  }
  ForEach(m_pools, [&leaving](const ServerStats& aStats, Info& aInfo) {
    // The list lags behind, so an entry of an earlier boot does not apply to this one.
    aInfo.m_listedLeaving = leaving.contains({ aStats.m_instance, aInfo.m_bootId });
  });
  RefreshLeaving();
}

bool ServerTable::IsUnusable(const Info& aInfo) noexcept
{
  // The latest start time sent with a dispatch is in the server's clock, which the first status
  // response reports.
  const bool lacksClock = aInfo.m_needsClock && !aInfo.m_clockOffsetMs;
  return aInfo.m_reportedLeaving || aInfo.m_listedLeaving || aInfo.m_otherBoot || lacksClock;
}

void ServerTable::RefreshLeaving()
{
  m_leavingByPeers = m_runtime.m_membership.Leaving(MonotonicMs());
  ForEach(m_pools, [this](ServerStats& aStats, const Info& aInfo) {
    aStats.m_leaving = IsUnusable(aInfo) || m_leavingByPeers.contains(aStats.m_instance);
  });
}

std::vector<InstanceId> ServerTable::ReportedLeaving() const
{
  std::vector<InstanceId> leaving;
  ForEach(m_pools, [&leaving](const ServerStats& aStats, const Info& aInfo) {
    if (aInfo.m_reportedLeaving) {
      leaving.push_back(aStats.m_instance);
    }
  });
  return leaving;
}

std::set<InstanceId> ServerTable::SeenAlive(Millis aNowMs) const
{
  std::set<InstanceId> alive;
  ForEach(m_pools, [&alive, aNowMs](const ServerStats& aStats, const Info& aInfo) {
    if (aInfo.m_aliveMs != 0 && aNowMs - aInfo.m_aliveMs <= kAliveMs && !aInfo.m_reportedLeaving) {
      alive.insert(aStats.m_instance);
    }
  });
  return alive;
}

/// \brief Continues where the last call reached the limit, so that no pool is left out.
void ServerTable::PollDue()
{
  const Millis now = MonotonicMs();
  auto pool = m_pools.lower_bound(m_pollFrom);
  for (std::size_t i = 0; i < m_pools.size() && m_polls < kMaxPolls; ++i) {
    if (pool == m_pools.end()) {
      pool = m_pools.begin();
    }
    PollPool(pool->second, now);
    ++pool;
  }
  m_pollFrom = pool == m_pools.end() ? PoolName{} : pool->first;
}

void ServerTable::PollPool(PoolServers& aPool, Millis aNowMs)
{
  const bool isIdle = aNowMs - aPool.m_usedMs > kPoolIdleMs;
  const Millis interval = isIdle ? kIdlePollIntervalMs : kPollIntervalMs;
  for (std::size_t i = 0; i < aPool.m_stats.size(); ++i) {
    Info& info = aPool.m_info[i];
    const bool isDue = !info.m_polledMs || aNowMs - *info.m_polledMs >= interval;
    if (isDue && !std::exchange(info.m_polling, true)) {
      // The first interval is shortened at random, which spreads the polls that follow.
      const auto part = static_cast<Millis>(m_random() % static_cast<std::uint64_t>(interval));
      info.m_polledMs = aNowMs - (info.m_polledMs ? 0 : part);
      ++m_polls;
      Poll(aPool.m_stats[i].m_instance, info.m_address, info.m_bootId);
    }
  }
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
  SyncIfChanged();
  --m_polls;
  const auto position = Find(aInstance);
  if (!position || position->m_pool->m_info[position->m_index].m_bootId != aBoot) {
    return;
  }
  ServerStats& stats = position->m_pool->m_stats[position->m_index];
  Info& info = position->m_pool->m_info[position->m_index];
  info.m_polling = false;
  if (!aStatus) {
    return;
  }
  const Millis now = MonotonicMs();
  info.m_otherBoot = aStatus->m_bootId != aBoot;
  info.m_reportedLeaving = aStatus->m_leaving;
  if (!info.m_otherBoot) {
    info.m_aliveMs = now;
    // The server read its clock at aSentMs or later; taking the present as that moment makes
    // the latest start time of a dispatch too early at worst, never too late.
    info.m_clockOffsetMs = aStatus->m_nowMs - now;
    stats.m_slots = aStatus->m_slots;
    if (now - aSentMs < kPollTimeoutMs) {
      OnLoadReport(stats, aStatus->m_used, now);
    }
  }
  // Uses the reports of peers as of the last RefreshLeaving().
  stats.m_leaving = IsUnusable(info) || m_leavingByPeers.contains(aInstance);
}

} // namespace pistachiostand
