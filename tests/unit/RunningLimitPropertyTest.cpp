#include "Property.h"

#include "pistachiostand/account/RunningLimit.h"
#include "pistachiostand/job/JobCodec.h"
#include "pistachiostand/job/Reconcile.h"
#include "pistachiostand/job/Scheduler.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pistachiostand::fleet {
namespace {

constexpr int kSteps = 120;
constexpr int kServers = 4;
constexpr int kAccounts = 3;
constexpr std::size_t kLargestRecord = 1'000'000;
constexpr double kOverage = 0.1;

/// \brief A start under way; nothing tells the owner whether it arrives.
struct Start
{
  RunRef m_run;
  std::uint64_t m_token{};
};

/// \brief A server with what truly runs on it.
struct TrueServer
{
  std::set<RunRef> m_runs;
  std::vector<Start> m_inFlight;
  std::uint64_t m_token{}; ///< Highest that it has seen; it refuses starts with a lower one.
  bool m_silent{};
};

/// \brief Owners that follow each other, servers whose messages are lost or late, and accounts
/// whose quotas change.
class QuotaWorld
{
public:
  explicit QuotaWorld(std::uint32_t aSeed)
    : m_random(aSeed)
  {
    QueueRule queue;
    queue.m_name = "q";
    queue.m_pool = "p";
    queue.m_maxFailures = 1'000;
    m_configuration.m_queues.push_back(queue);
    m_configuration.m_pools["p"].m_name = "p";
    for (int i = 0; i < kAccounts; ++i) {
      Configure(i);
    }
  }

  void Step()
  {
    m_nowMs += 500;
    switch (Below(12)) {
      case 0:
      case 1:
        Submit();
        break;
      case 2:
        Configure(Below(kAccounts));
        break;
      case 3:
        TakeOver();
        break;
      case 4:
        AnyServer().m_silent = Below(2) == 0;
        break;
      case 5:
        ExpireLease();
        break;
      case 6:
        if (!m_jobTable.m_active.empty()) {
          CancelJob(m_jobTable, *m_jobTable.m_active.begin());
        }
        break;
      case 7:
      case 8:
        Report();
        break;
      default:
        End();
    }
    Deliver();
    Place();
  }

private:
  int Below(int aEnd) { return std::uniform_int_distribution<int>{ 0, aEnd - 1 }(m_random); }
  static AccountName NameOf(int aAccount) { return "t" + std::to_string(aAccount); }
  static ServerId ServerName(int aServer) { return "s" + std::to_string(aServer); }
  TrueServer& AnyServer() { return m_servers[ServerName(Below(kServers))]; }

  void Configure(int aAccount)
  {
    Account account;
    account.m_name = NameOf(aAccount);
    account.m_maxRunning = { 2'000L * Below(6), 6'000L * Below(3), 0 };
    m_configuration.m_accounts.insert_or_assign(account.m_name, account);
  }

  void Submit()
  {
    JobSpec spec;
    spec.m_id = "0000000000000" + std::to_string(100 + m_jobs++);
    spec.m_queue = "q";
    spec.m_pool = "p";
    spec.m_account = NameOf(Below(kAccounts));
    StepSpec step;
    step.m_count = static_cast<std::uint32_t>(1 + Below(6));
    step.m_need = { 500 + Below(6) * 500, 500 + Below(4) * 500, 0 };
    step.m_estimateMs = 1'000;
    step.m_gang = Below(4) == 0;
    step.m_speculative = Below(3) == 0;
    step.m_bestEffort = Below(4) == 0;
    spec.m_steps.push_back(step);
    m_submissions.emplace(spec.m_id, EncodeSubmission(spec));
    AddJob(m_jobTable, std::move(spec), m_nowMs, 0);
  }

  /// \brief Stores what has changed; until then nothing of it is sent.
  void Store()
  {
    for (const auto& part : std::exchange(m_jobTable.m_changed, {})) {
      m_records[KeyOf(part)] =
        EncodeProgress(m_jobTable.m_jobs.at(part.m_job), part.m_number, kLargestRecord);
    }
  }

  void TakeOver()
  {
    ++m_token;
    m_jobTable = {};
    for (const auto& [id, bytes] : m_submissions) {
      AddJob(m_jobTable, *DecodeSubmission(bytes), m_nowMs, 0);
    }
    for (const auto& [key, bytes] : m_records) {
      RC_ASSERT(ApplyProgress(m_jobTable, key, bytes, m_nowMs));
    }
    CompleteRestoredGangs(m_jobTable);
  }

  /// \brief The server lists its runs, unless it is silent or the response is lost.
  void Report()
  {
    const ServerId id = ServerName(Below(kServers));
    TrueServer& server = m_servers[id];
    if (server.m_silent) {
      return;
    }
    server.m_token = m_token;
    if (Below(4) == 0) {
      return;
    }
    ServerReport report;
    for (const auto& run : server.m_runs) {
      report.m_running.push_back({ run.m_subtask, run.m_run, {}, 0, 0 });
    }
    const auto result = Reconcile(m_jobTable, id, report, m_nowMs, m_nowMs);
    for (const auto& run : result.m_stops) {
      EndRun(run, EndKind::Stopped);
    }
    for (const auto& run : RunsToStop(m_jobTable)) {
      FindRun(m_jobTable, run)->m_phase = RunPhase::Stopping;
    }
  }

  void EndRun(const RunRef& aRun, EndKind aKind)
  {
    if (m_servers[aRun.m_server].m_runs.erase(aRun) != 0) {
      ApplyEnd(m_jobTable, { aRun.m_subtask, aRun.m_run, aKind, "" }, 1'000, m_nowMs);
    }
  }

  void End()
  {
    TrueServer& server = AnyServer();
    if (!server.m_silent && !server.m_runs.empty()) {
      EndRun(*server.m_runs.begin(), Below(5) == 0 ? EndKind::Failed : EndKind::Done);
    }
  }

  /// \brief The lease of a silent server ends: its runs have ended, and no start arrives any more.
  void ExpireLease()
  {
    const ServerId id = ServerName(Below(kServers));
    TrueServer& server = m_servers[id];
    if (server.m_silent) {
      server.m_runs.clear();
      server.m_inFlight.clear();
      DropServerRuns(m_jobTable, id, m_nowMs);
    }
  }

  void Deliver()
  {
    for (auto& [id, server] : m_servers) {
      for (const auto& start : std::exchange(server.m_inFlight, {})) {
        if (server.m_silent || Below(3) == 0) {
          server.m_inFlight.push_back(start); // Late.
        } else if (start.m_token >= server.m_token) {
          server.m_runs.insert(start.m_run);
          if (Below(3) != 0) { // Otherwise the response is lost.
            MarkRunning(m_jobTable, start.m_run, m_nowMs);
          }
        }
      }
    }
  }

  [[nodiscard]] Resources AtWork(const AccountName& aAccount) const
  {
    std::set<RunRef> runs;
    for (const auto& [id, server] : m_servers) {
      runs.insert(server.m_runs.begin(), server.m_runs.end());
      for (const auto& start : server.m_inFlight) {
        if (start.m_token >= server.m_token) {
          runs.insert(start.m_run);
        }
      }
    }
    Resources used;
    for (const auto& run : runs) {
      const auto spec = DecodeSubmission(m_submissions.at(run.m_subtask.m_job));
      if (spec->m_account == aAccount) {
        used = used + spec->m_steps[run.m_subtask.m_step].m_need;
      }
    }
    return used;
  }

  void Place()
  {
    std::vector<ServerView> views;
    for (int i = 0; i < kServers; ++i) {
      ServerView view;
      view.m_id = ServerName(i);
      view.m_pool = "p";
      view.m_capacity = view.m_free = { 1'000'000, 1'000'000, 0 };
      view.m_unschedulable = m_servers[view.m_id].m_silent;
      views.push_back(std::move(view));
    }
    SchedulerInput input;
    input.m_nowMs = m_nowMs;
    input.m_runningOverage = kOverage;
    const auto result = PlaceSubtasks(m_jobTable, m_configuration, views, input);
    Store();
    std::set<AccountName> started;
    for (const auto& placement : result.m_placements) {
      const RunRef run{ placement.m_subtask, placement.m_run, placement.m_server };
      FindRun(m_jobTable, run)->m_phase = RunPhase::Sent;
      m_servers[run.m_server].m_inFlight.push_back({ run, m_token });
      started.insert(m_jobTable.m_jobs.at(run.m_subtask.m_job).m_spec.m_account);
    }
    for (const auto& account : started) {
      CheckTolerance(account, result);
    }
    const bool hasServer =
      std::ranges::any_of(views, [](const ServerView& aView) { return !aView.m_unschedulable; });
    if (hasServer) {
      CheckNoNeedlessWait();
    }
  }

  /// \brief What is truly at work after starts stays within the limit and the tolerance.
  void CheckTolerance(const AccountName& aAccount, const SchedulerResult& aResult) const
  {
    Resources largest;
    for (const auto& placement : aResult.m_placements) {
      const auto& job = m_jobTable.m_jobs.at(placement.m_subtask.m_job);
      if (job.m_spec.m_account == aAccount) {
        const Resources& need = job.m_spec.m_steps[0].m_need;
        largest = { std::max(largest.m_cpuMillis, need.m_cpuMillis),
                    std::max(largest.m_memoryMb, need.m_memoryMb), 0 };
      }
    }
    const Resources limit = LimitOf(m_configuration.m_accounts, aAccount);
    const Resources tolerated = ToleratedAmount(largest, limit, kOverage);
    const Resources atWork = AtWork(aAccount);
    RC_ASSERT(limit.m_cpuMillis == 0 || atWork.m_cpuMillis <= tolerated.m_cpuMillis);
    RC_ASSERT(limit.m_memoryMb == 0 || atWork.m_memoryMb <= tolerated.m_memoryMb);
  }

  /// \brief No subtask waits while less than half of the quota is used.
  void CheckNoNeedlessWait() const
  {
    for (const auto& id : m_jobTable.m_active) {
      const Job& job = m_jobTable.m_jobs.at(id);
      const StepSpec& step = job.m_spec.m_steps[0];
      const Resources limit = LimitOf(m_configuration.m_accounts, job.m_spec.m_account);
      const auto found = m_jobTable.m_usedByAccount.find(job.m_spec.m_account);
      const Resources used =
        found == m_jobTable.m_usedByAccount.end() ? Resources{} : found->second;
      const auto isBelowHalf = [](std::int64_t aUsed, std::int64_t aLimit) {
        return aLimit == 0 || 2 * aUsed < aLimit;
      };
      if (!step.m_gang && isBelowHalf(used.m_cpuMillis, limit.m_cpuMillis) &&
          isBelowHalf(used.m_memoryMb, limit.m_memoryMb)) {
        RC_ASSERT(CountSubtasks(job.m_spec, job.m_occurrences.Find(0), 0).m_waiting == 0U);
      }
    }
  }

  std::mt19937 m_random;
  Configuration m_configuration;
  JobTable m_jobTable;
  std::map<JobId, std::string> m_submissions;
  std::map<std::string, std::string> m_records;
  std::map<ServerId, TrueServer> m_servers;
  std::uint64_t m_token{ 1 };
  Millis m_nowMs{ 100'000 };
  int m_jobs{};
};

// Guards against work beyond the quota and its tolerance after lost responses, silent servers,
// takeovers with late starts of the former owner, and changed quotas; and against an account below
// half of its quota that waits although there is capacity.
TEST(RunningLimitPropertyTest, AnyFaults_StayWithinTheToleranceAndNoOneWaitsNeedlessly)
{
  CheckProperty("quota under faults", [] {
    QuotaWorld world{ *rc::gen::arbitrary<std::uint32_t>() };
    for (int step = 0; step < kSteps; ++step) {
      world.Step();
    }
  });
}

} // namespace
} // namespace pistachiostand::fleet
