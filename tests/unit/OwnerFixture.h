#pragma once

#include "FakeHttpClient.h"

#include "src/manager/Committer.h"
#include "src/manager/OwnerState.h"
#include "src/manager/RunControl.h"

#include "pistachiostand/base/Clock.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <string>

/// \file
/// \brief The components of an owner with one server and a job of one subtask, without sockets.

namespace pistachiostand::fleet {

class OwnerFixture : public ::testing::Test
{
protected:
  static constexpr FencingToken kToken = 7;
  const SubtaskId m_subtask{ "a", 0, 0, 0 };

  OwnerFixture()
    : m_store(m_client, "store.example")
    , m_state(MakeState())
  {
    m_settings.m_bounds.m_maxLeaseMs = 6'000;
    AddSubmission("a");
    ServerState& server = m_state.m_servers["s1"];
    server.m_registration.m_id = "s1";
    server.m_registration.m_address = { "127.0.0.1", 1'001 };
    server.m_registered = true;
    server.m_hasReported = true;
    server.m_clock = ClockSample{ 50'000, MonotonicMs() };
  }

  void AddSubmission(const JobId& aId)
  {
    JobSpec spec;
    spec.m_id = aId;
    spec.m_queue = "lookups";
    spec.m_pool = "lookup";
    spec.m_payload = "work";
    spec.m_steps.emplace_back();
    spec.m_steps.back().m_count = 1;
    ASSERT_TRUE(AddJob(m_state.m_jobTable, std::move(spec), MonotonicMs(), 0));
  }

  OwnerState MakeState()
  {
    return OwnerState{ m_loop,
                       m_client,
                       m_settings,
                       m_store,
                       m_configuration,
                       m_metrics,
                       [] { return true; },
                       [] { return MonotonicMs(); },
                       [] { return MonotonicMs() + 800; },
                       [] {},
                       [](std::string_view /*aReason*/) {},
                       kToken,
                       MonotonicMs(),
                       "entry-1@1",
                       {},
                       false,
                       OrderRouter{ m_client },
                       platform::InstanceOrders{ m_client, "instances.example", "entry-1" } };
  }

  void RunFor(Millis aMs) { m_loop.run_for(std::chrono::milliseconds{ aMs }); }

  asio::io_context m_loop{ 1 };
  FakeHttpClient m_client;
  EntrySettings m_settings;
  Configuration m_configuration;
  Metrics m_metrics;
  platform::Store m_store;
  OwnerState m_state;
};

} // namespace pistachiostand::fleet
