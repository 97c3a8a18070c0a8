#pragma once

#include "pistachiostand/process/FleetPlanner.h"
#include "pistachiostand/process/Fold.h"

#include <gtest/gtest.h>

#include <algorithm>

/// \file
/// \brief A state, a platform list and a planner, without log, sockets or clock.

namespace pistachiostand {

class PlannerFixture : public ::testing::Test
{
protected:
  static constexpr Millis kDay = 24LL * 3600 * 1000;

  ApplyResult Apply(const RecordBody& aBody)
  {
    return pistachiostand::Apply(m_state, m_state.m_nextOffset,
                                 Record{ m_state.m_nextOffset + 1, "e1", aBody });
  }

  void PublishRules(const std::string& aLines)
  {
    ASSERT_TRUE(Apply(Publish{ m_state.m_revision, "Ann", aLines }).Accepted());
  }

  /// \brief Adds `aCount` instances over `aZones` zones and two racks in each zone.
  void AddInstances(const PoolName& aPool, int aCount, int aZones = 3)
  {
    for (int i = 0; i < aCount; ++i) {
      const auto zone = "z" + std::to_string(i % aZones);
      const auto rack = "r" + std::to_string(i / aZones % 2);
      m_listed.push_back({ aPool + std::to_string(i), "10.0.0.1:80", zone, rack, "b1", aPool });
      const auto& added = m_listed.back();
      ASSERT_TRUE(Apply(Join{ added.m_id, "10.0.0.1:80", zone, rack, "b1", aPool, 0 }).Accepted());
    }
  }

  /// \brief Calls the planner once, after `aAfterMs`.
  PlannerDecision Plan(Millis aAfterMs = 0)
  {
    m_nowMs += aAfterMs;
    return PlanFleet({ m_state, m_listed, m_inFlight, m_minReadOffset, m_responsive, m_nowMs },
                     m_memory);
  }

  /// \brief Plans, and expects that the fold accepts all records in the same state.
  PlannerDecision PlanAndApply(Millis aAfterMs = 0)
  {
    auto decision = Plan(aAfterMs);
    for (const auto& body : decision.m_records) {
      EXPECT_TRUE(Apply(body).Accepted()) << KindName(body);
    }
    return decision;
  }

  /// \brief Lets the platform carry out drains and reboots at once.
  void Reboot(const PlannerDecision& aDecision)
  {
    for (const auto& order : aDecision.m_drainOrders) {
      Listed(order.m_instance).m_leaving = true;
    }
    for (const auto& order : aDecision.m_reboots) {
      auto& listed = Listed(order.m_instance);
      listed.m_bootId = "b" + std::to_string(order.m_epoch + 100);
      listed.m_bootOperation = OperationId(order.m_instance, order.m_epoch);
      listed.m_pool = order.m_pool;
      listed.m_leaving = false;
    }
  }

  /// \brief Plans and reboots until the planner proposes no record and sends no order.
  void RunUntilStable()
  {
    for (int round = 0; round < 50; ++round) {
      const auto decision = PlanAndApply(kOrderRetryMs);
      Reboot(decision);
      if (decision.m_records.empty() && decision.m_reboots.empty() &&
          decision.m_drainOrders.empty()) {
        return;
      }
    }
    ADD_FAILURE() << "the planner does not come to a stable state";
  }

  void AdvanceFold(Millis aMs)
  {
    for (const Millis end = m_state.m_timeMs + aMs; m_state.m_timeMs < end;) {
      Apply(Tick{ std::min(end, m_state.m_timeMs + kMaxTickAdvanceMs) });
    }
  }

  ListedInstance& Listed(const InstanceId& aId)
  {
    return *std::ranges::find(m_listed, aId, &ListedInstance::m_id);
  }

  void DropZone(const ZoneName& aZone)
  {
    std::erase_if(m_listed, [&](const auto& aEach) { return aEach.m_zone == aZone; });
  }

  void DropRack(const ZoneName& aZone, const RackName& aRack)
  {
    std::erase_if(
      m_listed, [&](const auto& aEach) { return aEach.m_zone == aZone && aEach.m_rack == aRack; });
  }

  template<typename T>
  static std::vector<T> RecordsOf(const PlannerDecision& aDecision)
  {
    std::vector<T> found;
    for (const auto& body : aDecision.m_records) {
      if (const auto* record = std::get_if<T>(&body)) {
        found.push_back(*record);
      }
    }
    return found;
  }

  FleetState m_state;
  std::vector<ListedInstance> m_listed;
  std::map<InstanceId, std::uint32_t> m_inFlight;
  Offset m_minReadOffset{ UINT64_MAX };
  std::set<InstanceId> m_responsive;
  Millis m_nowMs{ 1'000 };
  PlannerMemory m_memory;
};

} // namespace pistachiostand
