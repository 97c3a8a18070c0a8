#pragma once

/// \file
/// \brief Simulates nine entry instances and their servers under one policy, in virtual time.

#include "AdmissionMetrics.h"
#include "pistachiostand/process/RunTimeEstimate.h"
#include "pistachiostand/request/RetryBudget.h"

#include <limits>
#include <map>
#include <set>

namespace pistachiostand::experiment {

struct Policy
{
  std::string m_name;
  bool m_oneQueue{};   ///< One queue for all pools instead of one per pool.
  bool m_isBaseline{}; ///< Random server choice, a fixed in-flight window, unlimited retries.
  AdmissionOptions m_admission;
  PlacementOptions m_placement;
};

constexpr std::uint32_t kBaselineWindow =
  64; ///< Per entry instance; an equal share of all slots is 44.
constexpr std::uint32_t kMaxAttempts = 3;
constexpr std::uint32_t kMaxQueuedPerTenant = 128; ///< Default of TenantRule::m_maxQueued.
constexpr Millis kUrgentLimitMs = 1'400;           ///< From arrival to the start.

class Cluster
{
public:
  Cluster(const Deployment& aDeployment, const Policy& aPolicy, const std::vector<Arrival>& aLoad,
          std::uint64_t aSeed)
    : m_deployment(aDeployment)
    , m_policy(aPolicy)
    , m_random(aSeed)
  {
    m_servers.resize(kBurstServices, std::vector<FakeServer>(kServersPerPool));
    m_servers[0][0].m_fails = true;
    m_servers[0][1].m_slowness = 5;
    m_servers[2][0].m_fails = true;
    m_servers[1][1].m_slowness = 5;
    DeclareRunTimes();
    for (std::size_t index = 0; index < kEntries; ++index) {
      m_entries.push_back(MakeEntry(index));
    }
    for (const Arrival& arrival : aLoad) {
      m_jobs.push_back({ arrival });
    }
    for (std::size_t id = 0; id < m_jobs.size(); ++id) {
      m_simulation.At(m_jobs[id].m_arrival.m_time, [this, id] { Submit(id); });
    }
  }

  Result Run()
  {
    m_simulation.Run(kLoadEnd + 120 * kSecond);
    return std::move(m_result);
  }

private:
  /// \brief A request of a caller over all its attempts.
  struct Job
  {
    Arrival m_arrival;
    Micros m_submitted{};
    Micros m_started{};
    std::uint32_t m_attempts{}; ///< Failed attempts since the last submission.
    bool m_counted{};
  };

  struct Entry
  {
    ZoneName m_zone;
    Admission m_admission{ {} };
    RunTimeEstimate m_estimate;
    std::vector<std::vector<ServerStats>> m_servers;
    std::vector<RetryBudget> m_budgets;
    std::vector<bool> m_pumpScheduled;
    std::map<PoolName, std::uint32_t> m_inFlight;
  };

  static Millis Ms(Micros aTime) { return aTime / kMilli; }
  static TenantName TenantOf(const Job& aJob)
  {
    return "t" + std::to_string(aJob.m_arrival.m_tenant);
  }
  ZoneName ZoneOf(std::size_t aIndex) const
  {
    return "zone-" + std::to_string(aIndex % m_deployment.m_zones);
  }
  const Service& ServiceOf(const Job& aJob) const
  {
    return m_deployment.m_services[aJob.m_arrival.m_service];
  }
  PoolName QueueOf(std::size_t aPool) const
  {
    return m_policy.m_oneQueue ? "all" : std::to_string(aPool);
  }
  GroupResult& GroupOf(const Job& aJob)
  {
    return m_result.m_groups[{ ServiceOf(aJob).m_class, aJob.m_arrival.m_tenant == 0 }];
  }
  FairnessCell& CellOf(const Job& aJob)
  {
    return m_result.m_cells[{ aJob.m_arrival.m_service, aJob.m_arrival.m_time / kSecond }];
  }

  Entry MakeEntry(std::size_t aIndex) const
  {
    Entry entry;
    entry.m_zone = ZoneOf(aIndex);
    entry.m_admission = Admission{ m_policy.m_admission };
    entry.m_servers.resize(kBurstServices);
    for (auto& pool : entry.m_servers) {
      for (std::size_t index = 0; index < kServersPerPool; ++index) {
        ServerStats server;
        server.m_zone = ZoneOf(index);
        pool.push_back(server);
      }
    }
    entry.m_budgets.resize(m_deployment.m_services.size());
    entry.m_pumpScheduled.resize(kBurstServices);
    return entry;
  }

  /// \brief Each tenant declares run times that are up to 10 times too short or too long.
  void DeclareRunTimes()
  {
    std::uniform_real_distribution<double> exponent(-1, 1);
    for (const Service& service : m_deployment.m_services) {
      std::vector<Millis> declared;
      for (std::size_t tenant = 0; tenant < kTenants; ++tenant) {
        declared.push_back(static_cast<Millis>(static_cast<double>(service.m_meanRunMs) *
                                               std::pow(10, exponent(m_random))));
      }
      m_declared.push_back(declared);
    }
  }

  void Submit(std::size_t aId)
  {
    Job& job = m_jobs[aId];
    if (!job.m_counted) {
      job.m_counted = true;
      ++GroupOf(job).m_offered;
      ++CellOf(job).m_offered[job.m_arrival.m_tenant];
    }
    job.m_submitted = m_simulation.Now();
    job.m_attempts = 0;
    Entry& entry = m_entries[job.m_arrival.m_entry];
    OnFirstAttempt(entry.m_budgets[job.m_arrival.m_service]);
    Queue(aId);
  }

  void Queue(std::size_t aId)
  {
    const Job& job = m_jobs[aId];
    const Service& service = ServiceOf(job);
    Entry& entry = m_entries[job.m_arrival.m_entry];
    const Millis declared = m_declared[job.m_arrival.m_service][job.m_arrival.m_tenant];
    const bool isFifo = m_policy.m_isBaseline;
    const auto learned = FindRunTime(entry.m_estimate, service.m_name, TenantOf(job));
    const Millis runMs = ExpectedRunMs(entry.m_estimate, service.m_name, TenantOf(job), declared);
    const Millis longRunMs = learned ? static_cast<Millis>(learned->m_p90Ms) : declared;
    const QueuedRequest request{ aId,
                                 TenantOf(job),
                                 service.m_name,
                                 isFifo ? ServiceClass::Batch : service.m_class,
                                 QueueOf(service.m_pool),
                                 Ms(job.m_submitted),
                                 StartDeadline(Ms(job.m_submitted), service.m_timeoutMs, longRunMs),
                                 runMs,
                                 service.m_idempotent };
    const TenantRule rule{ 1, isFifo ? std::numeric_limits<std::uint32_t>::max()
                                     : kMaxQueuedPerTenant };
    if (entry.m_admission.Enqueue(request, rule, m_simulation.NowMs())) {
      Refuse(aId);
    }
    Pump(job.m_arrival.m_entry, service.m_pool);
  }

  void Refuse(std::size_t aId)
  {
    ++GroupOf(m_jobs[aId]).m_refused;
    Resubmit(aId);
  }

  /// \brief Overnight requests are retried until they complete.
  void Resubmit(std::size_t aId)
  {
    if (ServiceOf(m_jobs[aId]).m_class == ServiceClass::Overnight) {
      m_simulation.After(5 * kSecond, [this, aId] { Submit(aId); });
    }
  }

  void Pump(std::size_t aEntry, std::size_t aPool)
  {
    Entry& entry = m_entries[aEntry];
    for (const auto& dropped : entry.m_admission.DropExpired(m_simulation.NowMs())) {
      Refuse(dropped.m_id);
    }
    const PoolName queue = QueueOf(aPool);
    const std::uint32_t window =
      m_policy.m_oneQueue ? kBaselineWindow : kBaselineWindow / kBurstServices;
    while (!m_policy.m_isBaseline || entry.m_inFlight[queue] < window) {
      auto request = entry.m_admission.Take(queue, m_simulation.NowMs());
      if (!request || !Place(aEntry, *request)) {
        break;
      }
      ++entry.m_inFlight[queue];
    }
  }

  bool Place(std::size_t aEntry, const QueuedRequest& aRequest)
  {
    Entry& entry = m_entries[aEntry];
    const std::size_t pool = ServiceOf(m_jobs[aRequest.m_id]).m_pool;
    std::optional<std::size_t> server = m_random() % kServersPerPool;
    if (!m_policy.m_isBaseline) {
      server = ChooseServer(
        entry.m_servers[pool],
        { entry.m_zone, m_simulation.NowMs(), aRequest.m_idempotent, m_policy.m_placement },
        m_random);
    }
    if (!server) {
      entry.m_admission.PutBack(aRequest);
      PumpLater(aEntry, pool);
      return false;
    }
    Send(aEntry, *server, aRequest);
    return true;
  }

  void PumpLater(std::size_t aEntry, std::size_t aPool)
  {
    if (m_entries[aEntry].m_pumpScheduled[aPool]) {
      return;
    }
    m_entries[aEntry].m_pumpScheduled[aPool] = true;
    m_simulation.After(10 * kMilli, [this, aEntry, aPool] {
      m_entries[aEntry].m_pumpScheduled[aPool] = false;
      Pump(aEntry, aPool);
    });
  }

  Micros Hop(std::size_t aEntry, std::size_t aServer) const
  {
    return ZoneOf(aEntry) == ZoneOf(aServer) ? 200 : m_deployment.m_zoneLatency;
  }

  void Send(std::size_t aEntry, std::size_t aServer, const QueuedRequest& aRequest)
  {
    const std::size_t pool = ServiceOf(m_jobs[aRequest.m_id]).m_pool;
    OnSent(m_entries[aEntry].m_servers[pool][aServer]);
    const Micros sent = m_simulation.Now();
    const Micros hop = Hop(aEntry, aServer);
    m_simulation.After(hop, [this, aEntry, aServer, aRequest, pool, sent, hop] {
      Job& job = m_jobs[aRequest.m_id];
      FakeServer& server = m_servers[pool][aServer];
      job.m_started = m_simulation.Now();
      server.Run(
        m_simulation, job.m_arrival.m_run,
        [this, aEntry, aServer, aRequest, sent, hop](ServerResponse aResponse,
                                                     std::uint32_t aUsed) {
          m_simulation.After(hop, [this, aEntry, aServer, aRequest, sent, aResponse, aUsed] {
            Receive(aEntry, aServer, aRequest, m_simulation.Now() - sent, aResponse, aUsed);
          });
        });
    });
  }

  void Receive(std::size_t aEntry, std::size_t aServer, const QueuedRequest& aRequest,
               Micros aLatency, ServerResponse aResponse, std::uint32_t aUsed)
  {
    Entry& entry = m_entries[aEntry];
    const Service& service = ServiceOf(m_jobs[aRequest.m_id]);
    auto& servers = entry.m_servers[service.m_pool];
    const Millis now = m_simulation.NowMs();
    if (aResponse == ServerResponse::Full) {
      ++m_result.m_full;
      OnRefusedFull(servers[aServer], now);
      OnFull(aEntry, aRequest);
      return;
    }
    ++m_result.m_attempts;
    --entry.m_inFlight[aRequest.m_pool];
    entry.m_admission.Finish(aRequest, Ms(aLatency));
    if (aResponse == ServerResponse::Done) {
      OnResponse(servers[aServer], Ms(aLatency), aUsed, now);
      AddRunTime(entry.m_estimate, service.m_name, aRequest.m_tenant, Ms(aLatency));
      Complete(m_jobs[aRequest.m_id]);
    } else {
      OnError(servers[aServer], Ms(aLatency), now);
      if (m_policy.m_placement.m_ejectOutliers) {
        EjectOutliers(servers, now);
      }
      OnFailure(aEntry, aRequest.m_id);
    }
    Pump(aEntry, service.m_pool);
  }

  void OnFull(std::size_t aEntry, const QueuedRequest& aRequest)
  {
    const std::size_t pool = ServiceOf(m_jobs[aRequest.m_id]).m_pool;
    if (m_policy.m_isBaseline) { // It still counts as in flight and is sent to a random server.
      m_simulation.After(5 * kMilli, [this, aEntry, aRequest] { Place(aEntry, aRequest); });
      return;
    }
    m_entries[aEntry].m_admission.PutBack(aRequest);
    Pump(aEntry, pool);
  }

  void OnFailure(std::size_t aEntry, std::size_t aId)
  {
    ++m_result.m_failedAttempts;
    Job& job = m_jobs[aId];
    Entry& entry = m_entries[aEntry];
    ++job.m_attempts;
    const bool mayRetry =
      m_policy.m_isBaseline ||
      (job.m_attempts < kMaxAttempts && TryTakeRetry(entry.m_budgets[job.m_arrival.m_service]));
    if (ServiceOf(job).m_idempotent && mayRetry) {
      Queue(aId);
      return;
    }
    ++GroupOf(job).m_failed;
    Resubmit(aId);
  }

  void Complete(const Job& aJob)
  {
    GroupResult& group = GroupOf(aJob);
    const auto waitMs = static_cast<double>(aJob.m_started - aJob.m_arrival.m_time) / kMilli;
    group.m_waitsMs.push_back(waitMs);
    m_result.m_poolWaitsMs[ServiceOf(aJob).m_pool].push_back(waitMs);
    group.m_startedWithinLimit += waitMs <= kUrgentLimitMs ? 1 : 0;
    const Micros took = m_simulation.Now() - aJob.m_submitted;
    if (Ms(took) > ServiceOf(aJob).m_timeoutMs) {
      ++group.m_late;
      ++m_result.m_late;
      return;
    }
    ++group.m_inTime;
    ++CellOf(aJob).m_inTime[aJob.m_arrival.m_tenant];
  }

  const Deployment& m_deployment;
  const Policy& m_policy;
  Random m_random;
  Simulation m_simulation;
  std::vector<std::vector<FakeServer>> m_servers;
  std::vector<std::vector<Millis>> m_declared;
  std::vector<Entry> m_entries;
  std::vector<Job> m_jobs;
  Result m_result;
};

} // namespace pistachiostand::experiment
