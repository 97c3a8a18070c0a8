#include "Deployment.h"

#include <cstdio>
#include <iostream>

/// \file
/// \brief Plays one case: review-case CASE PROGRAM FOLDER RECORD PORT TROUBLE. Exits with 1 when
/// the rule was broken, 0 when it held and 2 when the case could not run.

namespace review {
namespace {

/// \brief A gang that checkpoints, of which a minion crashes.
int PlayGang(Deployment& aDeployment, bool aTrouble)
{
  if (!aDeployment.IsReady()) {
    return 2;
  }
  ClientJob& job = aDeployment.Submit(
    0,
    { { { "count", 3 },
        { "cpu", 3'000 },
        { "mem-mb", 256 },
        { "estimated-ms", 6'000 },
        { "gang", true },
        { "checkpointing", true } } },
    { { { "work", 6'000 }, { "cpu", 3'000 }, { "gang", 3 }, { "saves", true } } });
  const auto working = [&] {
    return std::ranges::count_if(aDeployment.m_minions.m_minions, [](const auto& aMinion) {
             return !aMinion->m_active.empty();
           }) == 3;
  };
  if (!aDeployment.RunUntil(working, 10'000)) {
    return 2;
  }
  aDeployment.RunFor(3'750);
  if (aTrouble) {
    const auto victim =
      std::ranges::find_if(aDeployment.m_minions.m_minions,
                           [](const auto& aMinion) { return !aMinion->m_active.empty(); });
    aDeployment.m_record.Add("crash " + (*victim)->m_id);
    (*victim)->Crash();
  }
  Ticker asks{ aDeployment.m_loop, 500, [&] { aDeployment.Ask(1, job); } };
  const bool completed = aDeployment.RunUntil([&] { return job.m_state == "completed"; }, 30'000);
  std::map<std::uint64_t, std::set<std::string>> checkpoints;
  for (const auto& run : aDeployment.m_minions.m_history) {
    checkpoints[run.m_run].insert(run.m_checkpoint);
  }
  bool broken = false;
  for (const auto& [run, values] : checkpoints) {
    if (values.size() > 1) {
      broken = true;
      aDeployment.m_record.Add(fmt::format(
        "UNASKED: the members of run {} carry {} different checkpoints", run, values.size()));
    }
  }
  aDeployment.m_record.Add(fmt::format("completed={} broken={}", completed, broken));
  return broken ? 1 : 0;
}

int Play(int aCount, char** aValues)
{
  if (aCount != 7) {
    std::cerr << "usage: review-case CASE PROGRAM FOLDER RECORD PORT TROUBLE\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { g_stopped = 1; });
  DeploymentOptions options;
  const std::string name = aValues[1];
  options.m_program = aValues[2];
  options.m_folder = aValues[3];
  options.m_record = aValues[4];
  options.m_port = std::atoi(aValues[5]);
  const bool trouble = std::string{ aValues[6] } != "0";
  try {
    Deployment deployment{ options };
    if (name == "gang") {
      return PlayGang(deployment, trouble);
    }
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << '\n';
  }
  return 2;
}

} // namespace
} // namespace review

int main(int aCount, char** aValues)
{
  return review::Play(aCount, aValues);
}
