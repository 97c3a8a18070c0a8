#include "Deployment.h"

#include <cstdio>
#include <iostream>

/// \file
/// \brief Plays one case: review-case CASE PROGRAM FOLDER RECORD PORT TROUBLE. Exits with 1 when
/// the rule was broken, 0 when it held and 2 when the case could not run.

namespace review {
namespace {

constexpr int kOrdinaryJobs = 12;
/// The jobs are asked for this long after the end of the traffic.
constexpr Millis kFinishMs = 14'000;
/// Time between two requests for the state of a job; more than a client waits for an answer.
constexpr Millis kAskMs = 3'500;
constexpr int kAsks = 4;
/// Ends of a process in a day that count as a fault.
constexpr unsigned kFaultEnds = 3;

using Jobs = std::vector<ClientJob*>;

Json Step(int aCount, int aCpu, int aMemoryMb, Millis aEstimateMs)
{
  return {
    { "count", aCount }, { "cpu", aCpu }, { "mem-mb", aMemoryMb }, { "estimated-ms", aEstimateMs }
  };
}

Json Work(int aCpu, Millis aWorkMs)
{
  return { { "work", aWorkMs }, { "cpu", aCpu } };
}

/// \brief Sends small jobs, one a second, to a queue whose pool is idle.
Jobs SendOrdinary(Deployment& aDeployment)
{
  Jobs jobs;
  for (int number = 0; number < kOrdinaryJobs; ++number) {
    jobs.push_back(&aDeployment.Submit(number % 3, "lookups",
                                       Json::array({ Step(4, 1'000, 256, 1'000) }),
                                       Json::array({ Work(1'000, 1'000) })));
    aDeployment.RunFor(1'000);
  }
  return jobs;
}

/// \brief Asks for all jobs after the traffic, and judges: an accepted ordinary job must be
/// completed, and each accepted job must get an answer with a state to one of the requests.
int Judge(Deployment& aDeployment, const Jobs& aOrdinary)
{
  aDeployment.RunFor(kFinishMs);
  for (int round = 0; round < kAsks; ++round) {
    for (auto& [id, job] : aDeployment.m_jobs) {
      if (job.m_state != "completed") {
        aDeployment.Ask(round % 3, job);
      }
    }
    aDeployment.RunFor(kAskMs);
  }
  const auto accepted = std::ranges::count_if(aOrdinary, &ClientJob::m_accepted);
  const auto completed = std::ranges::count_if(
    aOrdinary, [](const ClientJob* aJob) { return aJob->m_state == "completed"; });
  const auto faults = std::ranges::count_if(
    aDeployment.m_entries, [](const auto& aEntry) { return aEntry->m_ends >= kFaultEnds; });
  const auto unknown = std::ranges::count_if(aDeployment.m_jobs, [](const auto& aEntry) {
    return aEntry.second.m_accepted && !aEntry.second.m_answered;
  });
  const bool broken = completed < accepted || unknown != 0 || faults >= 2;
  aDeployment.m_record.Add(fmt::format(
    "{}: {} of {} accepted ordinary jobs are completed; {} of {} jobs got no state in {} "
    "requests; {} of 3 entry instances have ended three times or more; most memory {} "
    "MiB; {} subtasks were started in all",
    broken ? "broken" : "held", completed, accepted, unknown, aDeployment.m_jobs.size(), kAsks,
    faults, aDeployment.m_mostMiB, aDeployment.m_minions.m_history.size()));
  return broken ? 1 : 0;
}

/// \brief One job of many small subtasks.
int PlayStart(Deployment& aDeployment, bool aTrouble)
{
  aDeployment.Submit(0, "builds", Json::array({ Step(aTrouble ? 20'000 : 20, 10, 3, 5'000) }),
                     Json::array({ Work(10, 5'000) }));
  return Judge(aDeployment, SendOrdinary(aDeployment));
}

/// \brief Scheduled jobs with many subtasks.
int PlayTable(Deployment& aDeployment, bool aTrouble)
{
  const Json schedule{ { "repeat-count", 10 },
                       { "interval-ms", 200 },
                       { "start-at-ms", WallMs() + 5'000 } };
  for (int number = 0; number < 12; ++number) {
    aDeployment.Submit(number % 3, "builds",
                       Json::array({ Step(aTrouble ? 20'000 : 20, 1'000, 256, 2'000) }),
                       Json::array({ Work(1'000, 2'000) }), schedule);
    aDeployment.RunFor(333);
  }
  return Judge(aDeployment, SendOrdinary(aDeployment));
}

/// \brief Scheduled jobs of many steps, the second half of which follow all of the first half.
int PlayPasses(Deployment& aDeployment, bool aTrouble)
{
  const std::size_t half = aTrouble ? 128 : 1;
  Json after = Json::array();
  Json steps = Json::array();
  for (std::size_t number = 0; number < 2 * half; ++number) {
    steps.push_back(Step(1, 30'000, 256, 2'000));
    if (number < half) {
      after.push_back(number);
    } else {
      steps.back()["after"] = after;
    }
  }
  const Json schedule{ { "repeat-count", 100 },
                       { "interval-ms", 50 },
                       { "start-at-ms", WallMs() + 3'000 } };
  for (int number = 0; number < 20; ++number) {
    aDeployment.Submit(number % 3, "builds", steps, Json::array({ Work(30'000, 2'000) }), schedule);
    aDeployment.RunFor(333);
  }
  return Judge(aDeployment, SendOrdinary(aDeployment));
}

/// \brief One job of many small subtasks, which is cancelled while they run.
int PlayCancel(Deployment& aDeployment, bool aTrouble)
{
  constexpr std::size_t kSubtasks = 14'000;
  ClientJob& job = aDeployment.Submit(0, "builds", Json::array({ Step(kSubtasks, 40, 3, 60'000) }),
                                      Json::array({ Work(40, 60'000) }));
  const auto working = [&aDeployment] {
    std::size_t count = 0;
    for (const auto& minion : aDeployment.m_minions.m_minions) {
      count += minion->m_active.size();
    }
    return count;
  };
  if (!aDeployment.RunUntil([&working] { return working() == kSubtasks; }, 20'000)) {
    return 2;
  }
  aDeployment.m_record.Add(fmt::format("{} subtasks run", working()));
  if (aTrouble) {
    aDeployment.Cancel(1, job);
  }
  return Judge(aDeployment, SendOrdinary(aDeployment));
}

int Play(int aCount, char** aValues)
{
  if (aCount != 7) {
    std::cerr << "usage: review-case CASE PROGRAM FOLDER RECORD PORT TROUBLE\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, [](int) { g_stopped = 1; });
  const std::map<std::string, int (*)(Deployment&, bool)> plays{ { "start", PlayStart },
                                                                 { "table", PlayTable },
                                                                 { "passes", PlayPasses },
                                                                 { "cancel", PlayCancel } };
  const auto play = plays.find(aValues[1]);
  if (play == plays.end()) {
    return 2;
  }
  DeploymentOptions options;
  options.m_program = aValues[2];
  options.m_folder = aValues[3];
  options.m_record = aValues[4];
  options.m_port = std::atoi(aValues[5]);
  try {
    Deployment deployment{ options };
    return deployment.IsReady() ? play->second(deployment, std::string{ aValues[6] } != "0") : 2;
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
