// Plays one case of the review against entry instances: driver CASE PROGRAM FOLDER RECORD.
// TROUBLE=0 leaves the disruption out. Exit codes: 0 the rule held, 1 it was broken, 2 not run.

#include "Deployment.h"

#include <cstdlib>
#include <cstring>
#include <iostream>

namespace review {

namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

constexpr const char* kPrefix = "/batch/";
constexpr const char* kJob = "5c0e7a21d94b36f8";

struct Case
{
  Deployment& m_deployment;
  Record& m_record;
  bool m_trouble{};

  int End(bool aHeld, const std::string& aText) const
  {
    m_record.Line((aHeld ? "held: " : "BROKEN: ") + aText);
    return aHeld ? kHeld : kBroken;
  }
};

/// \brief Occurrences of a scheduled job that have become due, and wait for room, when the owner is
/// killed.
int PlayOccurrences(const Case& aCase)
{
  Deployment& deployment = aCase.m_deployment;
  constexpr int kOccurrences = 3;
  constexpr int kSubtasks = 40;
  for (int number = 1; number <= 4; ++number) {
    MinionOptions options;
    options.m_id = "minion-" + std::to_string(number);
    options.m_service = "batch-svc";
    options.m_zone = number % 2 == 0 ? "zone-a" : "zone-b";
    options.m_kind = "a";
    options.m_rack = "r" + std::to_string(number % 2);
    options.m_runMs = 3'000;
    deployment.Add(options);
  }
  deployment.Start(kPrefix);
  const std::string path = std::string{ kPrefix } + kJob;
  const Json job{ { "spec", "work" },
                  { "repeat-count", kOccurrences },
                  { "start-at-ms", UnixMs() + 1'000 },
                  { "interval-ms", 500 },
                  { "steps",
                    { { { "count", kSubtasks },
                        { "cpu", 1'000 },
                        { "mem-mb", 100 },
                        { "estimated-ms", 3'000 } } } } };
  if (!deployment.Submit(path, job)) {
    return kNotRun;
  }
  // All occurrences are due 2 s after the job was handed in. There is room for 16 subtasks, so the
  // first ones of the first occurrence take up all of it, from 1 s to 4 s.
  deployment.RunFor(2'600);
  if (aCase.m_trouble) {
    deployment.KillOwner();
  }
  constexpr Ms kLimitMs = 60'000;
  std::string state;
  const bool ended = deployment.RunUntil(
    [&] {
      state = deployment.State(path);
      return state != "queued" && state != "running" && !state.empty();
    },
    kLimitMs);
  const auto done = deployment.m_seen.Done();
  const std::string counts = std::to_string(done.size()) + " of " +
                             std::to_string(kOccurrences * kSubtasks) +
                             " subtasks have ended done, the job is shown as '" + state + "'";
  std::size_t running = 0;
  for (const auto& minion : deployment.m_minions) {
    running += minion->Runs().size();
  }
  if (done.size() == static_cast<std::size_t>(kOccurrences * kSubtasks)) {
    return aCase.End(ended && state == "completed", counts);
  }
  if (state == "completed") {
    return aCase.End(false, "MIXED: " + counts);
  }
  return aCase.End(false, "LOST: " + counts + ", " + std::to_string(running) + " run");
}

/// \brief A job for the only minion with a label, handed in while that minion is cut off.
int PlayCutMinion(const Case& aCase)
{
  Deployment& deployment = aCase.m_deployment;
  constexpr int kMinions = 6;
  Minion* labelled = nullptr;
  for (int number = 1; number <= kMinions; ++number) {
    MinionOptions options;
    options.m_id = "minion-" + std::to_string(number);
    options.m_service = "batch-svc";
    options.m_zone = number % 2 == 0 ? "zone-a" : "zone-b";
    options.m_kind = number == kMinions ? "b" : "a";
    options.m_rack = "r" + std::to_string(number % 3);
    labelled = &deployment.Add(options);
  }
  deployment.Start(kPrefix);
  if (aCase.m_trouble) {
    labelled->Cut();
  }
  deployment.RunFor(500);
  const std::string path = std::string{ kPrefix } + kJob;
  const Json job{ { "spec", "work" },
                  { "steps",
                    { { { "count", 2 },
                        { "cpu", 1'000 },
                        { "mem-mb", 100 },
                        { "estimated-ms", 1'000 },
                        { "required-label", "b" } } } } };
  if (!deployment.Submit(path, job)) {
    return kNotRun;
  }
  constexpr Ms kCutMs = 4'000;
  deployment.RunFor(kCutMs - 500);
  if (aCase.m_trouble) {
    labelled->Heal();
  }
  // `finish_s` after the end of the traffic, and 10 s more.
  constexpr Ms kFinishMs = 24'000;
  const bool ended =
    deployment.RunUntil([&] { return deployment.State(path) == "completed"; }, kFinishMs);
  const std::string counts =
    std::to_string(deployment.m_seen.Done().size()) + " of 2 subtasks have ended done";
  return aCase.End(ended, ended ? counts
                                : counts + " 24 s after minion " + labelled->Id() +
                                    " could be reached again; it has room for 4 of them and runs " +
                                    std::to_string(labelled->Runs().size()));
}

/// \brief A gang that saves its progress is started again after one of its minions has crashed.
int PlayGang(const Case& aCase)
{
  Deployment& deployment = aCase.m_deployment;
  constexpr int kMinions = 7;
  constexpr std::size_t kMembers = 3;
  for (int number = 1; number <= kMinions; ++number) {
    MinionOptions options;
    options.m_id = "minion-" + std::to_string(number);
    options.m_service = "batch-svc";
    options.m_zone = number % 2 == 0 ? "zone-a" : "zone-b";
    options.m_kind = "a";
    options.m_rack = "r" + std::to_string(number % 3);
    options.m_runMs = 8'000;
    options.m_checkpointMs = 500;
    Minion& minion = deployment.Add(options);
    minion.m_gangSize = kMembers;
    minion.m_gangPresent = [&deployment](std::uint64_t aRun) {
      std::size_t present = 0;
      for (const auto& one : deployment.m_minions) {
        present += one->Present(aRun);
      }
      return present;
    };
    minion.m_gangEnded = [&deployment, ending = std::make_shared<bool>()](std::uint64_t aRun,
                                                                          Minion* aMinion) {
      const bool isDone = deployment.m_seen.Done().size() != 0;
      for (const auto& one : deployment.m_minions) {
        for (const auto& [task, run] : one->Runs()) {
          if (run == aRun && !isDone && one.get() != aMinion) {
            one->Break(task, run);
          }
        }
      }
    };
  }
  deployment.Start(kPrefix);
  const std::string path = std::string{ kPrefix } + kJob;
  const Json job{ { "spec", "work" },
                  { "steps",
                    { { { "count", kMembers },
                        { "cpu", 1'000 },
                        { "mem-mb", 100 },
                        { "estimated-ms", 8'000 },
                        { "gang", true },
                        { "checkpointing", true },
                        { "anti-affinity", 1 } } } } };
  if (!deployment.Submit(path, job)) {
    return kNotRun;
  }
  deployment.RunFor(4'900);
  if (aCase.m_trouble) {
    const auto found = std::ranges::find_if(deployment.m_minions,
                                            [](const auto& aOne) { return !aOne->Runs().empty(); });
    if (found == deployment.m_minions.end()) {
      return kNotRun;
    }
    Minion& minion = **found;
    const std::uint64_t run = minion.Runs().front().second;
    minion.Crash();
    minion.m_gangEnded(run, nullptr);
    deployment.RunFor(1'000);
    minion.Restart();
  }
  constexpr Ms kLimitMs = 50'000;
  deployment.RunUntil([&] { return deployment.State(path) == "completed"; }, kLimitMs);
  std::map<std::uint64_t, std::set<std::string>> values;
  for (const auto& one : deployment.m_seen.m_starts) {
    values[one.m_run].insert(one.m_checkpoint);
  }
  for (const auto& [run, different] : values) {
    if (different.size() > 1) {
      std::string list;
      for (const auto& value : different) {
        list += " '" + value + "'";
      }
      return aCase.End(false, "the members of run " + std::to_string(run) +
                                " were started with different checkpoints:" + list);
    }
  }
  return aCase.End(true, "the members of each run carried the same checkpoint");
}

/// \brief All entry instances are killed right after an upkeep was accepted. Later a job needs the
/// minion that has joined after that upkeep.
int PlayUpkeep(const Case& aCase)
{
  Deployment& deployment = aCase.m_deployment;
  constexpr int kMinions = 6;
  for (int number = 1; number <= kMinions; ++number) {
    MinionOptions options;
    options.m_id = "minion-" + std::to_string(number);
    options.m_service = "batch-svc";
    options.m_zone = number % 2 == 0 ? "zone-a" : "zone-b";
    options.m_kind = number == 1 ? "b" : "a";
    options.m_rack = "r" + std::to_string(number % 3);
    deployment.Add(options);
  }
  deployment.Start(kPrefix);
  bool killed = false;
  deployment.m_onUpkeep = [&] {
    if (aCase.m_trouble && !std::exchange(killed, true)) {
      deployment.KillAll();
    }
  };
  deployment.RequestWave(1, { "m-minion-1", "m-minion-2", "m-minion-3" }, 26, 3);
  deployment.RunUntil([&] { return killed; }, aCase.m_trouble ? 20'000 : 0);
  if (aCase.m_trouble) {
    if (!killed) {
      return kNotRun;
    }
    deployment.RunFor(1'000);
    deployment.SpawnAll();
  }
  deployment.RunUntil(
    [&] { return deployment.WaveStatus(1).find("completed") != std::string::npos; }, 26'000);
  aCase.m_record.Line("status/wave/1 is " + deployment.WaveStatus(1));
  deployment.RunFor(6'000);
  const std::string path = std::string{ kPrefix } + kJob;
  const Json job{ { "spec", "work" },
                  { "steps",
                    { { { "count", 2 },
                        { "cpu", 1'000 },
                        { "mem-mb", 100 },
                        { "estimated-ms", 1'000 },
                        { "required-label", "b" } } } } };
  if (!deployment.Submit(path, job)) {
    return kNotRun;
  }
  constexpr Ms kFinishMs = 24'000;
  const bool ended =
    deployment.RunUntil([&] { return deployment.State(path) == "completed"; }, kFinishMs);
  const std::string counts =
    std::to_string(deployment.m_seen.Done().size()) + " of 2 subtasks have ended done";
  return aCase.End(ended, ended ? counts
                                : counts + " 24 s after the job was accepted; the minion with the "
                                           "label is up, runs nothing and has room for 4");
}

/// \brief A submission never arrives, since its channel is reset; the client cancels the job to be
/// sure that it doesn't run.
int PlayCancel(const Case& aCase)
{
  Deployment& deployment = aCase.m_deployment;
  for (int number = 1; number <= 2; ++number) {
    MinionOptions options;
    options.m_id = "minion-" + std::to_string(number);
    options.m_service = "batch-svc";
    options.m_zone = "zone-a";
    options.m_kind = "a";
    options.m_rack = "r1";
    options.m_runMs = 3'000;
    deployment.Add(options);
  }
  deployment.Start(kPrefix);
  const std::string path = std::string{ kPrefix } + kJob;
  const Json job{
    { "spec", "work" },
    { "steps",
      { { { "count", 2 }, { "cpu", 1'000 }, { "mem-mb", 100 }, { "estimated-ms", 3'000 } } } }
  };
  if (aCase.m_trouble) {
    deployment.SubmitAndReset(0, path, job);
  } else if (!deployment.Submit(path, job)) {
    return kNotRun;
  }
  deployment.RunFor(300);
  const auto cancelled = deployment.Call(1, "DELETE", path);
  aCase.m_record.Line("DELETE " + path + " -> " + Text(cancelled));
  // `visible_ms`, and more.
  constexpr Ms kWaitMs = 6'000;
  deployment.RunFor(kWaitMs);
  bool held = true;
  for (int round = 0; round < 3; ++round) {
    for (std::size_t entry = 0; entry < 3; ++entry) {
      const auto response = deployment.Call(entry, "GET", path);
      aCase.m_record.Line(fmt::format("GET {} at edge-{} -> {}", path, entry + 1, Text(response)));
      held = held &&
             (response.m_status == 410 || response.m_body.find("cancelled") != std::string::npos);
    }
    deployment.RunFor(5'000);
  }
  return aCase.End(held, held ? "the job is cancelled or not known"
                              : "MIXED: a job that no entry instance has received is shown");
}

/// \brief All open channels go silent while subtasks that last are at work.
int PlaySilent(const Case& aCase)
{
  Deployment& deployment = aCase.m_deployment;
  constexpr int kMinions = 6;
  constexpr int kMembers = 5;
  constexpr int kSlots = 8;
  constexpr const char* kLasting = "5c0e7a21d94b0001";
  for (int number = 1; number <= kMinions; ++number) {
    MinionOptions options;
    options.m_id = "minion-" + std::to_string(number);
    options.m_service = "batch-svc";
    options.m_zone = number % 2 == 0 ? "zone-a" : "zone-b";
    options.m_kind = "a";
    options.m_rack = "r" + std::to_string(number % 3);
    options.m_cpu = 1'000 * kSlots;
    deployment.Add(options).m_lasts = [](const std::string& aTask) {
      return aTask.starts_with(kLasting);
    };
  }
  deployment.Start(kPrefix);
  const Json lasting{ { "spec", "lasts" },
                      { "steps",
                        { { { "count", kMembers },
                            { "cpu", 1'000 },
                            { "mem-mb", 100 },
                            { "estimated-ms", 700 },
                            { "long-running", true },
                            { "anti-affinity", 1 },
                            { "may-miss", 1 } } } } };
  const Json job{ { "spec", "work" },
                  { "steps",
                    { { { "count", kSlots * kMinions - kMembers },
                        { "cpu", 1'000 },
                        { "mem-mb", 100 },
                        { "estimated-ms", 1'000 } } } } };
  if (!deployment.Submit(std::string{ kPrefix } + kLasting, lasting)) {
    return kNotRun;
  }
  deployment.RunFor(3'000);
  const std::string path = std::string{ kPrefix } + kJob;
  if (!deployment.Submit(path, job) ||
      !deployment.RunUntil([&] { return deployment.State(path) == "completed"; }, 20'000)) {
    return kNotRun;
  }
  deployment.RunFor(3'000);
  const Ms silentMs = SteadyMs();
  if (aCase.m_trouble) {
    aCase.m_record.Line("disruption: all open channels to minions go silent, new ones work");
    for (const auto& minion : deployment.m_minions) {
      minion->Silence();
    }
  }
  deployment.RunFor(25'000);
  // `LOST` holds for a subtask that lasts from 6 s after its last run, when 3 s have passed.
  constexpr Ms kLimitMs = 9'000;
  std::map<std::string, Ms> lastEnds;
  int lost = 0;
  const auto check = [&](const std::string& aTask, Ms aUntilMs) {
    const auto found = lastEnds.find(aTask);
    if (found != lastEnds.end() && found->second != 0 && aUntilMs - found->second > kLimitMs) {
      aCase.m_record.Line(
        fmt::format("{} had no run for {} ms, from {} ms after the channels went silent", aTask,
                    aUntilMs - found->second, found->second - silentMs));
      ++lost;
    }
  };
  for (const auto& one : deployment.m_seen.m_starts) {
    if (one.m_task.starts_with(kLasting)) {
      check(one.m_task, one.m_startMs);
      lastEnds[one.m_task] = one.m_endMs;
    }
  }
  for (const auto& [task, endMs] : lastEnds) {
    check(task, SteadyMs());
  }
  return aCase.End(lost == 0, std::to_string(lost) + " of " + std::to_string(kMembers) +
                                " subtasks that last had no run for over 9 s");
}

/// \brief One large job among ordinary ones, with the memory limit of an entry instance.
int PlayLarge(const Case& aCase)
{
  Deployment& deployment = aCase.m_deployment;
  constexpr int kMinions = 28;
  constexpr int kSubtasks = 20'000;
  constexpr int kJobs = 12;
  constexpr std::size_t kSpecBytes = 4'000;
  for (int number = 1; number <= kMinions; ++number) {
    MinionOptions options;
    options.m_id = "minion-" + std::to_string(number);
    options.m_service = "batch-svc";
    options.m_zone = number % 2 == 0 ? "zone-a" : "zone-b";
    options.m_kind = "a";
    options.m_rack = "r" + std::to_string(number / 4);
    options.m_cpu = 16'000;
    options.m_cpuOfRun = 20;
    deployment.Add(options);
  }
  deployment.Start(kPrefix);
  const auto job = [](int aCount) {
    return Json{
      { "steps",
        { { { "count", aCount }, { "cpu", 20 }, { "mem-mb", 16 }, { "estimated-ms", 1'000 } } } },
      { "spec", std::string(kSpecBytes, 'x') }
    };
  };
  const auto path = [](int aNumber) { return fmt::format("{}{:016x}", kPrefix, 0xa000 + aNumber); };
  deployment.EnforceMemory();
  std::vector<int> accepted;
  for (int number = 0; number < kJobs; ++number) {
    if (number == kJobs / 3 &&
        !deployment.Submit(std::string{ kPrefix } + kJob, job(aCase.m_trouble ? kSubtasks : 20))) {
      return kNotRun;
    }
    if (deployment.Submit(path(number), job(4))) {
      accepted.push_back(number);
    }
    deployment.RunFor(500);
  }
  aCase.m_record.Line("end of the traffic");
  constexpr Ms kFinishMs = 14'000;
  deployment.RunFor(kFinishMs);
  // Each job is asked for again and again, as by a client with four retries of 3 s.
  constexpr Ms kAskMs = 15'000;
  std::set<int> unfinished(accepted.begin(), accepted.end());
  deployment.RunUntil(
    [&] {
      std::erase_if(unfinished,
                    [&](int aNumber) { return deployment.State(path(aNumber)) == "completed"; });
      return unfinished.empty();
    },
    kAskMs);
  int kills = 0;
  int often = 0;
  for (const int one : deployment.MemoryKills()) {
    kills += one;
    often += one >= 3 ? 1 : 0;
  }
  return aCase.End(
    unfinished.empty() && often < 2,
    fmt::format("{} of {} accepted ordinary jobs are not completed 29 s after the traffic; entry "
                "instances were killed for their memory {} times, {} of them three times or more; "
                "{} subtasks in all have ended done",
                unfinished.size(), accepted.size(), kills, often, deployment.m_seen.Done().size()));
}

int Play(const std::string& aName, const Case& aCase)
{
  if (aName == "occurrences") {
    return PlayOccurrences(aCase);
  }
  if (aName == "cut-minion") {
    return PlayCutMinion(aCase);
  }
  if (aName == "upkeep") {
    return PlayUpkeep(aCase);
  }
  if (aName == "cancel") {
    return PlayCancel(aCase);
  }
  if (aName == "silent") {
    return PlaySilent(aCase);
  }
  if (aName == "large") {
    return PlayLarge(aCase);
  }
  if (aName == "gang") {
    return PlayGang(aCase);
  }
  throw CannotRun("no such case");
}

} // namespace

} // namespace review

int main(int aCount, char** aValues)
{
  using namespace review;
  if (aCount != 5) {
    std::cerr << "driver CASE PROGRAM FOLDER RECORD\n";
    return kNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGTERM, EndAll);
  std::signal(SIGINT, EndAll);
  std::signal(SIGALRM, EndAll);
  constexpr unsigned kLimitS = 115;
  alarm(kLimitS);
  Record record{ aValues[4] };
  const char* trouble = std::getenv("TROUBLE");
  try {
    Deployment::Options options;
    options.m_program = aValues[2];
    options.m_folder = aValues[3];
    options.m_routes = Json::array({ { { "name", "batch" },
                                       { "host", "jobs.example" },
                                       { "path-prefix", kPrefix },
                                       { "upstream", "batch-svc" },
                                       { "priority", 0 },
                                       { "attempts", 4 },
                                       { "stretch", 1.6 },
                                       { "target-latency-ms", 600 } } });
    options.m_services = Json::array({ { { "name", "batch-svc" }, { "admission-check", true } } });
    Deployment deployment{ options, record };
    return Play(aValues[1],
                { deployment, record, trouble == nullptr || std::strcmp(trouble, "0") != 0 });
  } catch (const std::exception& error) {
    record.Line(std::string{ "not run: " } + error.what());
    return kNotRun;
  }
}
