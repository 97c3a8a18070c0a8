#include "FleetFixture.h"

#include <set>

namespace pistachiostand::testing {
namespace {

class WaveFaultTest : public FleetFixture
{
protected:
  /// Polls `/v1/status` of all entry instances until the condition holds; expects at least
  /// `aAtLeast` serving lookups instances each time and prints the number of distinct statuses.
  void WatchServing(int aAtLeast, const std::string& aWhat, const std::function<bool()>& aDone)
  {
    std::set<std::pair<std::size_t, std::uint64_t>> seen;
    WaitUntil(aWhat, [&] {
      for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        const auto status = Status(entry);
        seen.insert({ entry, status.at("offset").get<std::uint64_t>() });
        EXPECT_GE(PoolOf(status, "lookups").at("serving").get<int>(), aAtLeast) << status.dump();
      }
      return aDone();
    });
    std::cout << "statuses: " << seen.size() << '\n';
  }

  /// True when every lookups instance is serving and none is due for maintenance.
  bool IsWaveOver()
  {
    const auto state = LogState();
    return std::ranges::all_of(state.m_instances, [&](const auto& aEntry) {
      return aEntry.second.m_pool != "lookups" ||
             (aEntry.second.m_phase == InstancePhase::Serving &&
              aEntry.second.m_maintainedMs + kDayMs > state.m_timeMs);
    });
  }

  std::size_t RebootCount()
  {
    std::size_t count = 0;
    const auto stats = PlatformStats();
    for (const auto& [id, reboots] : stats.at("reboots").items()) {
      count += reboots.get<std::size_t>();
    }
    return count;
  }
};

// Guards against a maintenance wave that takes a pool below its `min_available` (invariant I1: a
// pool keeps its `min_available` instances).
TEST_F(WaveFaultTest, Wave_UnderBudget_NeverGoesBelowMinAvailable)
{
  StartFleet({ "lookups", "lookups", "lookups", "lookups", "batches", "admin" },
             WithDailyMaintenance(MakeRules(4, 1, 3), 3));
  AdvanceFoldTime(kDayMs);
  WatchServing(3, "end of the wave", [&] { return RebootCount() >= 4 && IsWaveOver(); });
  ExpectRunsInTheirPool();
  ExpectInvariantsInEveryState();
}

// Guards against a maintenance wave that counts an instance as serving after it has failed
// (invariant I1).
TEST_F(WaveFaultTest, Wave_WithAFailingInstance_NeverGoesBelowMinAvailable)
{
  StartFleet({ "lookups", "lookups", "lookups", "lookups", "lookups", "batches", "admin" },
             WithDailyMaintenance(MakeRules(5, 1, 3), 1));
  AdvanceFoldTime(kDayMs);
  InstanceId failed;
  WatchServing(3, "an instance that is leaving", [&] {
    const auto status = Status(0);
    for (const auto& instance : status.at("instances")) {
      if (instance.at("pool") == "lookups" && instance.at("phase") == "serving") {
        failed = instance.at("id").get<std::string>();
      }
    }
    return PoolOf(status, "lookups").at("leaving") == 1;
  });
  // A planner would propose the Fail record, which the test appends itself, only after the instance
  // was missing from the list for 30 s.
  Control(m_platform, "remove?instance=" + failed);
  WatchServing(3, "failure of " + failed, [&] {
    const auto state = LogState();
    const auto& instance = state.m_instances.at(failed);
    if (instance.m_phase == InstancePhase::Serving) {
      AppendRecords({ Fail{ failed, instance.m_epoch } });
    }
    return instance.m_phase == InstancePhase::Failed;
  });
  WatchServing(3, "end of the wave", [&] {
    const auto state = LogState();
    return CountPool(state, "lookups").m_serving == 5 &&
           std::ranges::all_of(state.m_instances, [&](const auto& aEntry) {
             return aEntry.second.m_pool != "lookups" || aEntry.first == failed ||
                    aEntry.second.m_maintainedMs + kDayMs > state.m_timeMs;
           });
  });
  ExpectInvariantsInEveryState();
}

// Guards against a maintenance wave that continues while an instance does not return from its
// reboot, and against a pool in which that instance is not replaced (invariant I1).
TEST_F(WaveFaultTest, Instance_DyingInItsReboot_IsReplacedWithinTheBudget)
{
  StartFleet({ "lookups", "lookups", "lookups", "batches", "admin", "admin" },
             WithDailyMaintenance(MakeRules(3, 1, 2), 3));
  // Requests in flight delay the reboot until the server is killed.
  std::vector<std::future<HttpResponse>> inFlight;
  constexpr int kRunMs = 18'000;
  WaitUntil("requests in flight on all lookups servers", [&] {
    inFlight.push_back(LongLookup(0, "long-" + std::to_string(inFlight.size()), kRunMs));
    return GetJson(m_backends[0], "/status").at("used") != 0 &&
           GetJson(m_backends[1], "/status").at("used") != 0 &&
           GetJson(m_backends[2], "/status").at("used") != 0;
  });
  AdvanceFoldTime(kDayMs);
  InstanceId dead;
  WatchServing(2, "an instance that is leaving", [&] {
    const auto state = LogState();
    for (std::size_t i = 0; i < 3 && dead.empty(); ++i) {
      if (state.m_instances.at(m_backends[i].m_id).m_phase == InstancePhase::Leaving) {
        dead = m_backends[i].m_id;
        m_backends[i].m_child->Kill();
      }
    }
    return !dead.empty();
  });
  WatchServing(2, "reboot order of " + dead,
               [&] { return PlatformStats().at("reboots").contains(dead); });
  EXPECT_EQ(LogState().m_instances.at(dead).m_phase, InstancePhase::Leaving);
  AdvanceFoldTime(31LL * 60 * 1000);
  WatchServing(2, "replacement of " + dead, [&] {
    const auto state = LogState();
    return state.m_instances.at("b5").m_pool == "lookups" ||
           state.m_instances.at("b6").m_pool == "lookups";
  });
  EXPECT_EQ(LogState().m_instances.at(dead).m_phase, InstancePhase::Leaving);
  ExpectInvariantsInEveryState();
  for (auto& entry : m_entries) {
    entry.m_child->Kill(); // Aborts the requests still in flight.
  }
}

} // namespace
} // namespace pistachiostand::testing
