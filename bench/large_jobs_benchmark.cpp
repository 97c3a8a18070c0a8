#include "../tests/unit/FakeHttpClient.h"

#include "src/manager/IncarnationOrders.h"

#include "pistachiostand/job/Demand.h"
#include "pistachiostand/job/JobTable.h"
#include "pistachiostand/job/Scheduler.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// \brief Cost of large jobs to the owner: one pass over the waiting work, one queue of starts, and
/// the memory of the job table, for 1, 4 and 16 times the number of jobs of each kind.

namespace {

using namespace pistachiostand;
using namespace pistachiostand::fleet;

constexpr Millis kNowMs = 100'000;
constexpr Millis kDueMs = 1'000'000; ///< All occurrences are due by then.
constexpr std::size_t kMemoryBytes = 260'000'000;

/// \brief A kind of job and how many of them come at once.
struct JobKind
{
  int m_jobs{};
  JobSpec m_spec;
};

StepSpec Step(std::uint32_t aCount, Resources aNeed)
{
  StepSpec step;
  step.m_count = aCount;
  step.m_need = aNeed;
  step.m_estimateMs = 2'000;
  return step;
}

JobSpec Spec(std::vector<StepSpec> aSteps, std::uint32_t aOccurrences)
{
  JobSpec spec;
  spec.m_queue = "builds";
  spec.m_pool = "builds-pool";
  spec.m_payload = std::string(60, 'x');
  spec.m_intervalMs = aOccurrences == 0 ? 0 : 50;
  spec.m_occurrences = aOccurrences;
  spec.m_steps = std::move(aSteps);
  return spec;
}

JobKind Wide()
{
  return { 1, Spec({ Step(20'000, { 10, 3, 0 }) }, 0) };
}

JobKind Scheduled()
{
  return { 12, Spec({ Step(20'000, { 1'000, 256, 0 }) }, 10) };
}

/// \brief Scheduled jobs whose second half of steps follows all of the first half.
JobKind ManySteps()
{
  constexpr std::size_t kHalf = 128;
  std::vector<StepSpec> steps(2 * kHalf, Step(1, { 30'000, 256, 0 }));
  for (std::size_t step = kHalf; step < steps.size(); ++step) {
    for (std::uint32_t earlier = 0; earlier < kHalf; ++earlier) {
      steps[step].m_dependencies.push_back(earlier);
    }
  }
  return { 20, Spec(std::move(steps), 100) };
}

void AddJobs(JobTable& aJobTable, const JobKind& aKind, int aFirst, int aCount)
{
  for (int number = aFirst; number < aFirst + aCount; ++number) {
    JobSpec spec = aKind.m_spec;
    spec.m_id = fmt::format("{:016x}", number);
    AddJob(aJobTable, std::move(spec), kNowMs, 0);
  }
  OpenDueOccurrences(aJobTable, kDueMs, kNowMs);
}

Configuration MakeConfiguration()
{
  Configuration configuration;
  QueueRule queue;
  queue.m_name = "builds";
  queue.m_pool = "builds-pool";
  queue.m_stretch = 1.6;
  queue.m_objectiveBaseMs = 600;
  queue.m_maxFailures = 4;
  configuration.m_queues.push_back(queue);
  configuration.m_pools.emplace("builds-pool", PoolSettings{ "builds-pool", true, false });
  return configuration;
}

/// \brief Nine servers of 64 cores, all of them in use.
std::vector<ServerView> FullServers()
{
  std::vector<ServerView> servers(9);
  for (auto& server : servers) {
    server.m_id = fmt::format("s{}", &server - servers.data());
    server.m_pool = "builds-pool";
    server.m_capacity = { 64'000, 64'000, 0 };
  }
  return servers;
}

/// \brief Scales the number of jobs by the argument.
void RunPass(benchmark::State& aState, const JobKind& aKind)
{
  JobTable table;
  AddJobs(table, aKind, 0, aKind.m_jobs * static_cast<int>(aState.range(0)));
  const Configuration configuration = MakeConfiguration();
  auto servers = FullServers();
  SchedulerInput input;
  input.m_nowMs = kNowMs;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(PlaceSubtasks(table, configuration, servers, input));
  }
}

void ComputeDemand(benchmark::State& aState, const JobKind& aKind)
{
  JobTable table;
  AddJobs(table, aKind, 0, aKind.m_jobs * static_cast<int>(aState.range(0)));
  const Configuration configuration = MakeConfiguration();
  const Arrivals arrivals;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(DemandByPool({ table,
                                            configuration,
                                            arrivals,
                                            { { "builds-pool", { 64'000, 64'000, 0 } } },
                                            kNowMs,
                                            2'000 }));
  }
}

std::size_t HeapBytes()
{
  const auto info = ::mallinfo2();
  return info.uordblks + info.hblkhd;
}

void HoldTable(benchmark::State& aState, const JobKind& aKind)
{
  const int jobs = aKind.m_jobs * static_cast<int>(aState.range(0));
  std::size_t bytes = 0;
  for (auto _ : aState) {
    const std::size_t before = HeapBytes();
    JobTable table;
    AddJobs(table, aKind, 0, jobs);
    bytes = HeapBytes() - before;
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
  aState.counters["jobs_in_260_MB"] =
    static_cast<double>(kMemoryBytes) / (static_cast<double>(bytes) / jobs);
}

/// \brief A job of which all subtasks run.
void HoldRuns(benchmark::State& aState)
{
  const JobKind kind = Wide();
  std::size_t bytes = 0;
  for (auto _ : aState) {
    const std::size_t before = HeapBytes();
    JobTable table;
    AddJobs(table, kind, 0, 1);
    const JobId id = table.m_jobs.begin()->first;
    for (std::uint32_t index = 0; index < kind.m_spec.m_steps[0].m_count; ++index) {
      const RunRef run{ { id, 0, 0, index }, 1, fmt::format("s{}", index % 9) };
      PlanRun(table, run.m_subtask, run.m_server, run.m_run, kNowMs);
    }
    bytes = HeapBytes() - before;
  }
  aState.counters["bytes_per_run"] =
    static_cast<double>(bytes) / static_cast<double>(kind.m_spec.m_steps[0].m_count);
}

/// \brief Starts of one server that wait for a connection, until all of them are withheld.
void QueueStarts(benchmark::State& aState)
{
  constexpr std::int64_t kStartsPerServer = 6'400;
  const std::int64_t starts = kStartsPerServer * aState.range(0);
  ServerRegistration server;
  server.m_id = "s1";
  server.m_address = { "127.0.0.1", 1'001 };
  for (auto _ : aState) {
    FakeHttpClient client;
    client.m_hasIdleConnection = false;
    IncarnationOrders orders{ client };
    std::int64_t answers = 0;
    for (std::int64_t number = 0; number < starts; ++number) {
      platform::StartOrder order;
      order.m_run = { { "a", 0, 0, static_cast<std::uint32_t>(number) }, 1, "s1" };
      order.m_incarnation = 5;
      orders.Start(server, order, 0, 600'000,
                   [&answers](const platform::OrderResult& /*aResult*/) { ++answers; });
    }
    benchmark::DoNotOptimize(answers);
  }
  aState.counters["starts"] = static_cast<double>(starts);
}

void AddBenchmarks()
{
  const std::vector<std::pair<std::string, JobKind>> kinds{ { "wide", Wide() },
                                                            { "scheduled", Scheduled() },
                                                            { "many_steps", ManySteps() } };
  for (const auto& [name, kind] : kinds) {
    benchmark::RegisterBenchmark(("pass/" + name).c_str(), RunPass, kind)
      ->Arg(1)
      ->Arg(4)
      ->Arg(16)
      ->Unit(benchmark::kMicrosecond);
    benchmark::RegisterBenchmark(("demand/" + name).c_str(), ComputeDemand, kind)
      ->Arg(1)
      ->Arg(4)
      ->Arg(16)
      ->Unit(benchmark::kMicrosecond);
    benchmark::RegisterBenchmark(("table/" + name).c_str(), HoldTable, kind)
      ->Arg(1)
      ->Arg(4)
      ->Arg(16)
      ->Iterations(1)
      ->Unit(benchmark::kMillisecond);
  }
  benchmark::RegisterBenchmark("table/running", HoldRuns)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
  benchmark::RegisterBenchmark("queue/starts", QueueStarts)
    ->Arg(1)
    ->Arg(4)
    ->Arg(16)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
}

} // namespace

int main(int aCount, char** aValues)
{
  AddBenchmarks();
  benchmark::Initialize(&aCount, aValues);
  benchmark::RunSpecifiedBenchmarks();
  benchmark::Shutdown();
  return 0;
}
