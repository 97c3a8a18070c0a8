#include "Deployment.h"

#include <cstdio>
#include <iostream>

/// \file
/// \brief Plays one case: review-case CASE PROGRAM FOLDER RECORD PORT TROUBLE. Exits with 1 when
/// the rule was broken, 0 when it held and 2 when the case could not run.

namespace review {
namespace {

constexpr int kWideJobs = 12;
constexpr int kOrdinaryJobs = 12;
constexpr int kSubtasks = 20'000;
constexpr int kOccurrences = 10;

/// \brief Scheduled wide jobs on one queue, and ordinary jobs on another one with a pool of its
/// own.
int PlayWide(Deployment& aDeployment, bool aTrouble)
{
  if (!aDeployment.IsReady()) {
    return 2;
  }
  const int subtasks = aTrouble ? kSubtasks : 20;
  const Json schedule{ { "repeat-count", kOccurrences },
                       { "interval-ms", 200 },
                       { "start-at-ms", WallMs() + 5'000 } };
  std::vector<ClientJob*> ordinary;
  for (int number = 0; number < kWideJobs + kOrdinaryJobs; ++number) {
    if (number < kWideJobs) {
      aDeployment.Submit(number % 3, "builds",
                         { { { "count", subtasks },
                             { "cpu", 1'000 },
                             { "mem-mb", 256 },
                             { "estimated-ms", 2'000 } } },
                         { { { "work", 2'000 }, { "cpu", 1'000 } } }, schedule);
      aDeployment.RunFor(333);
    } else {
      ordinary.push_back(&aDeployment.Submit(
        number % 3, "lookups",
        { { { "count", 4 }, { "cpu", 1'000 }, { "mem-mb", 256 }, { "estimated-ms", 1'000 } } },
        { { { "work", 1'000 }, { "cpu", 1'000 } } }));
      aDeployment.RunFor(1'000);
    }
  }
  // The jobs are asked for this long after the end of the traffic.
  aDeployment.RunFor(14'000);
  for (int round = 0; round < 4; ++round) {
    for (ClientJob* job : ordinary) {
      if (job->m_state != "completed") {
        aDeployment.Ask(round % 3, *job);
      }
    }
    aDeployment.RunFor(3'500);
  }
  const auto accepted = std::ranges::count_if(ordinary, &ClientJob::m_accepted);
  const auto completed = std::ranges::count_if(
    ordinary, [](const ClientJob* aJob) { return aJob->m_state == "completed"; });
  const auto failing = std::ranges::count_if(
    aDeployment.m_entries, [](const auto& aEntry) { return aEntry->m_ends >= 3; });
  const bool broken = completed < accepted || failing >= 2;
  aDeployment.m_record.Add(fmt::format(
    "{}: {} of {} accepted ordinary jobs are completed; {} of 3 entry instances have ended three "
    "times or more; most memory {} MiB",
    broken ? "broken" : "held", completed, accepted, failing, aDeployment.m_mostMiB));
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
    if (name == "wide") {
      return PlayWide(deployment, trouble);
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
