#pragma once

#include "FaultFixture.h"

#include "pistachiostand/process/Fold.h"

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

/// \file
/// \brief Fixture for failure tests of moves between pools and of maintenance waves.

namespace pistachiostand::testing {

inline constexpr Millis kDayMs = 24LL * 3600 * 1000;

/// Rules for pools with the given numbers of instances; requests for service NAME run in pool NAME.
inline std::string MakeRules(int aLookups, int aBatches, int aLookupsMin = 1)
{
  return "pool.lookups = { instances = " + std::to_string(aLookups) +
         ", min_available = " + std::to_string(aLookupsMin) +
         ", task_control = \"full\" } # Ann Lee: counter lookups\n"
         "pool.batches = { instances = " +
         std::to_string(aBatches) +
         ", task_control = \"full\" } # Ann Lee: wheel-build batches\n"
         "pool.admin = { instances = 1, spare = true } # Ann Lee: spare pool\n"
         "service.lookups = { pool = \"lookups\", class = \"urgent\", idempotent = true, "
         "timeout_ms = 20000 } # Ann Lee: customer waits\n"
         "service.batches = { pool = \"batches\", class = \"batch\", idempotent = true, "
         "timeout_ms = 8000 } # Ann Lee: builds\n"
         "tenant.tupelo = { share = 2, max_queued = 64 } # Bo Cruz: larger contract\n"
         "placement.weights = { buffer_cost = 1, rollout_time = 3, moves = 1 } # Ann Lee: soon\n";
}

inline std::string WithDailyMaintenance(const std::string& aRules, int aAtOnce)
{
  return aRules + "maintenance.daily = { pools = [\"lookups\"], period_days = 1, max_at_once = " +
         std::to_string(aAtOnce) + " } # Cy Day: kernel updates\n";
}

/// \brief Runs pools lookups and batches, a spare pool and three entry instances, and checks every
/// execution and every state in the log.
class FleetFixture : public FaultFixture
{
protected:
  void StartFleet(const std::vector<std::string>& aPools, const std::string& aRules)
  {
    StartPlatform({ "--reboot-ms=50" });
    StartBackends(aPools);
    SetLimits(kFastLimits);
    StartEntries({ "z1", "z2", "z3" });
    WaitUntilReady();
    // Once all peers see each other, they agree on the planner before it proposes a record.
    WaitUntilPeersSeeEachOther();
    PublishRules(0, { aRules });
    WaitForRevision(1);
    WaitUntilServed("lookups");
    WaitUntil("all instances joined",
              [&] { return LogState().m_instances.size() == m_backends.size(); });
  }

  [[nodiscard]] std::size_t StartsOn(std::size_t aBackend)
  {
    std::size_t starts = 0;
    const auto executions = GetJson(m_backends.at(aBackend), "/control/executions");
    for (const auto& [name, counts] : executions.items()) {
      starts += counts.at("started").get<std::size_t>();
    }
    return starts;
  }

  /// Sends one lookup and one batch through each entry instance and expects that all are served.
  void ServeRound()
  {
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      for (const std::string service : { "lookups", "batches" }) {
        const auto id = service + "-" + std::to_string(++m_requests);
        const auto response = CallNamed(entry, service, id);
        EXPECT_EQ(response.m_status, 200) << id << ' ' << response.m_body;
        EXPECT_EQ(response.Field("pool"), service);
      }
    }
  }

  std::future<HttpResponse> LongLookup(std::size_t aEntry, const std::string& aId, int aRunMs)
  {
    return CallAsync(aEntry,
                     { "lookups",
                       "tupelo",
                       "long",
                       {},
                       { { "X-Request-Id", aId }, { "X-Test-Run-Ms", std::to_string(aRunMs) } } });
  }

  /// Expects that each lookup and batch ran on a server that was booted for its pool, and that no
  /// run was aborted by a reboot. Reboots may abort runs if `aMayAbortRuns` is set, because an
  /// entry instance was isolated for longer than a planner waits.
  void ExpectRunsInTheirPool(bool aMayAbortRuns = false)
  {
    std::size_t runs = 0;
    for (const auto& backend : m_backends) {
      const auto executions = GetJson(backend, "/control/executions");
      for (const auto& [name, counts] : executions.items()) {
        for (const auto& run : counts.at("runs")) {
          ++runs;
          EXPECT_TRUE(aMayAbortRuns || run.at("end") != "rebooted") << name;
          if (name.starts_with("lookups") || name.starts_with("batches")) {
            EXPECT_EQ(run.at("pool"), name.substr(0, name.find('-'))) << name;
          }
        }
      }
    }
    std::cout << "executions: " << runs << '\n';
  }

  /// Expects that, at each offset of the log, an instance changes its pool only by a Return record
  /// with a new boot id, and that a drain keeps the pool at or above its `min_available`.
  void ExpectInvariantsInEveryState()
  {
    FleetState before;
    std::size_t states = 0;
    std::size_t drains = 0;
    ReplayLog(
      [&](const FleetState& aState, const LogEntry& aEntry, const ApplyResult& aApplyResult) {
        ++states;
        const auto* drain = std::get_if<Drain>(&aEntry.m_record.m_body);
        if (drain != nullptr && aApplyResult.Accepted()) {
          ++drains;
          const auto& pool = before.m_instances.at(drain->m_instance).m_pool;
          const auto rule = aState.m_rules->m_pools.find(pool);
          if (rule != aState.m_rules->m_pools.end()) {
            EXPECT_GE(CountPool(aState, pool).m_serving, rule->second.m_minAvailable)
              << pool << " at offset " << aEntry.m_offset;
          }
        }
        for (const auto& [id, instance] : aState.m_instances) {
          const auto known = before.m_instances.find(id);
          if (known != before.m_instances.end() && known->second.m_pool != instance.m_pool) {
            EXPECT_TRUE(std::holds_alternative<Return>(aEntry.m_record.m_body)) << id;
            EXPECT_NE(known->second.m_bootId, instance.m_bootId) << id;
          }
        }
        before = aState;
      });
    std::cout << "states: " << states << ", drains: " << drains << '\n';
  }

  /// True when every entry instance reports these numbers of serving instances and none leaving.
  bool IsSettled(int aLookups, int aBatches)
  {
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      const auto status = Status(entry);
      std::size_t leaving = 0;
      for (const auto& pool : status.at("pools")) {
        leaving += pool.at("leaving").get<std::size_t>();
      }
      if (leaving != 0 || PoolOf(status, "lookups").at("serving") != aLookups ||
          PoolOf(status, "batches").at("serving") != aBatches) {
        return false;
      }
    }
    return true;
  }

  bool IsAnyLeaving(std::size_t aEntry)
  {
    const auto status = Status(aEntry);
    return std::ranges::any_of(status.at("instances"), [](const Json& aInstance) {
      return aInstance.at("phase") == "leaving";
    });
  }

  /// Sends requests until the move has ended, and one more round after that.
  void ServeUntilSettled(int aLookups, int aBatches)
  {
    WaitUntil("end of the move", [&] {
      ServeRound();
      return IsSettled(aLookups, aBatches);
    });
    ServeRound();
  }

  /// Index of the entry instance that has proposed the joins.
  std::size_t FindPlanner()
  {
    std::size_t planner = m_entries.size();
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
      if (m_entries[entry].m_child->Output().find("fleet: Proposing") != std::string::npos) {
        EXPECT_EQ(planner, m_entries.size()) << "two entry instances have proposed records";
        planner = entry;
      }
    }
    EXPECT_LT(planner, m_entries.size());
    return planner;
  }

  int m_requests = 0;
};

} // namespace pistachiostand::testing
