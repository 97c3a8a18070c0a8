#pragma once

#include "pistachiostand/job/JobTable.h"
#include "pistachiostand/job/Scheduler.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief A job table, two pools and their servers, in virtual time.

namespace pistachiostand::fleet {

class JobFixture : public ::testing::Test
{
protected:
  static constexpr Millis kNow = 100'000;

  JobFixture()
  {
    m_configuration.m_revision = 1;
    QueueRule queue;
    queue.m_name = "lookups";
    queue.m_host = "shop.example";
    queue.m_pathPrefix = "/lookups/";
    queue.m_pool = "lookup";
    queue.m_maxFailures = 3;
    queue.m_stretch = 1.5;
    queue.m_objectiveBaseMs = 600;
    m_configuration.m_queues.push_back(queue);
    m_configuration.m_pools.emplace("lookup", PoolSettings{ "lookup", true, false });
    m_configuration.m_pools.emplace("spare", PoolSettings{ "spare", true, true });
  }

  static StepSpec Step(std::uint32_t aCount, std::int64_t aCpuMillis = 1'000,
                       Millis aEstimateMs = 1'000)
  {
    StepSpec step;
    step.m_count = aCount;
    step.m_need = { aCpuMillis, 1'000, 0 };
    step.m_estimateMs = aEstimateMs;
    return step;
  }

  static JobSpec Spec(const JobId& aId, std::vector<StepSpec> aSteps)
  {
    JobSpec spec;
    spec.m_id = aId;
    spec.m_queue = "lookups";
    spec.m_pool = "lookup";
    spec.m_payload = "work";
    spec.m_steps = std::move(aSteps);
    return spec;
  }

  void Add(const JobId& aId, std::vector<StepSpec> aSteps, Millis aAgeMs = 0)
  {
    ASSERT_TRUE(AddJob(m_jobTable, Spec(aId, std::move(aSteps)), kNow, aAgeMs));
  }

  static ServerView MakeServer(const ServerId& aId, std::int64_t aCpuMillis,
                               const std::string& aRack = "r1")
  {
    ServerView server;
    server.m_id = aId;
    server.m_pool = "lookup";
    server.m_labels = { "a", aRack };
    server.m_capacity = { aCpuMillis, 100'000, 0 };
    server.m_free = server.m_capacity;
    return server;
  }

  std::vector<Placement> Place(std::vector<ServerView>& aServers, Millis aNowMs = kNow)
  {
    m_input.m_nowMs = aNowMs;
    m_result = PlaceSubtasks(m_jobTable, m_configuration, aServers, m_input);
    return m_result.m_placements;
  }

  /// \brief Starts a run and lets its server confirm it.
  RunRef Run(const SubtaskId& aId, const ServerId& aServer)
  {
    const auto number = PlanRun(m_jobTable, aId, aServer, NextRunNumber(m_jobTable, aId), kNow);
    RunRef ref{ aId, number, aServer };
    FindRun(m_jobTable, ref)->m_phase = RunPhase::Sent;
    MarkRunning(m_jobTable, ref, kNow);
    return ref;
  }

  AppliedEnd End(const RunRef& aRun, EndKind aKind, const std::string& aCheckpoint = {})
  {
    return ApplyEnd(m_jobTable, { aRun.m_subtask, aRun.m_run, aKind, aCheckpoint }, 3, kNow);
  }

  JobTable m_jobTable;
  Configuration m_configuration;
  SchedulerInput m_input;
  SchedulerResult m_result; ///< Of the last Place().
};

} // namespace pistachiostand::fleet
