#pragma once

#include "pistachiostand/account/Share.h"
#include "pistachiostand/fleet/CapacityPlan.h"
#include "pistachiostand/job/Demand.h"
#include "pistachiostand/job/RunTimes.h"
#include "pistachiostand/job/Scheduler.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Simulates a burst of a queue with the scheduler in virtual time.
///
/// The load is like that of the users: for some seconds a queue needs several times the capacity of
/// its pool, by jobs whose steps follow one another, with differing numbers of subtasks and with
/// estimates whose standard deviation is half their value.

namespace pistachiostand::fleet {

struct SimulatedAccount
{
  AccountName m_name;
  double m_weight{};
  double m_part{}; ///< Of the arriving jobs, relative to the other accounts.

  friend auto operator<=>(const SimulatedAccount&, const SimulatedAccount&) = default;
};

struct SimulatedLoad
{
  std::uint32_t m_seed{ 1 };
  int m_servers{ 20 };
  double m_jobsPerS{ 20 }; ///< During the burst.
  Millis m_burstMs{ 4'000 };
  bool m_learnRunTimes{ true }; ///< Learns run times, as the owner does.
  Millis m_runMeanMs{ 1'000 };
  double m_runSpread{ 0.5 };
  double m_estimateSpread{ 0.5 };
  double m_subtaskSpread{ 0.15 }; ///< Between the subtasks of a step.
  double m_steps{ 1.6 };
  double m_width{ 6 };
  double m_cpuMillis{ 3'500 };
  Resources m_capacity{ 64'000, 262'144, 0 };
  Millis m_rampUpMs{ 0 }; ///< Time in which the burst rises to its rate.
  /// Time from the order of a server to its first run. With 0 all servers are always available;
  /// otherwise the pool follows its demand, as with the owner.
  Millis m_provisioningMs{ 0 };
  /// Images of the steps. The true run times of the first and the last differ by m_imageFactor,
  /// which the declared ones do not tell.
  int m_images{ 0 };
  double m_imageFactor{ 1 };
  bool m_learnImages{ true };
  RunTimes m_knownRunTimes{};     ///< What the owner has learned before the burst.
  bool m_predictArrivals{ true }; ///< Demand includes expected arrivals, not only those seen.
  std::vector<SimulatedAccount> m_accounts{}; ///< Who sends the jobs; empty: nobody.
  bool m_applyShares{ true };                 ///< Marks jobs beyond the share, as the owner does.

  friend auto operator<=>(const SimulatedLoad&, const SimulatedLoad&) = default;
};

/// \brief Results for the callers, as shares of the credit and of the jobs. The credit of a job
/// grows with its work; a late job earns a small part of it, or none.
struct SimulationResult
{
  double m_credit{};
  double m_inTime{};
  double m_largestTenth{}; ///< Share in time of the tenth of the jobs with the most work.
  double m_serverS{};      ///< Server seconds in the pool; not a share.
  std::map<AccountName, double> m_inTimeByAccount{};

  friend auto operator<=>(const SimulationResult&, const SimulationResult&) = default;
};

class JobSimulation
{
public:
  explicit JobSimulation(const SimulatedLoad& aLoad)
    : m_load(aLoad)
    , m_random(aLoad.m_seed)
    , m_runTimes(aLoad.m_knownRunTimes)
  {
    QueueRule queue;
    queue.m_name = "q";
    queue.m_pool = "p";
    queue.m_maxFailures = 3;
    queue.m_stretch = kStretch;
    queue.m_objectiveBaseMs = kObjectiveMs;
    m_configuration.m_queues.push_back(queue);
    m_configuration.m_pools["p"].m_name = "p";
    for (const auto& account : m_load.m_accounts) {
      AddAccount(m_configuration, { account.m_name, {}, account.m_weight, {} });
    }
    PlanArrivals();
  }

  /// \brief What the owner has learned.
  [[nodiscard]] const RunTimes& Learned() const { return m_runTimes; }

  /// \brief Runs the simulation until all jobs have ended.
  SimulationResult Simulate()
  {
    constexpr Millis kEndMs = 60'000;
    std::size_t next = 0;
    for (m_nowMs = 1; m_nowMs < kEndMs; m_nowMs += kStepMs) {
      for (; next < m_jobs.size() && m_jobs[next].m_arrivalMs <= m_nowMs; ++next) {
        AddJob(m_jobTable, m_jobs[next].m_spec, m_nowMs, 0);
        Job& job = m_jobTable.m_jobs.at(m_jobs[next].m_spec.m_id);
        UpdateExpectedTimes(job, m_runTimes);
        if (m_load.m_applyShares) {
          AssignShare(job, m_configuration.m_accounts, m_shares);
        }
        RecordArrival(m_arrivals, job, m_nowMs);
      }
      EndRuns();
      ScaleToDemand();
      Place();
    }
    return Evaluate();
  }

private:
  static constexpr Millis kStepMs = 10;
  static constexpr Millis kPlanMs = 100;
  /// Time from the placement of a subtask to its start: storing the record and sending the order.
  static constexpr Millis kStartMs = 30;
  static constexpr double kStretch = 1.6;
  static constexpr Millis kObjectiveMs = 600;
  static constexpr double kLateCredit = 0.07;

  struct SimulatedJob
  {
    JobSpec m_spec;
    Millis m_arrivalMs{};
    std::vector<Millis> m_runMs;     ///< True mean run time of each step.
    std::vector<Millis> m_longestMs; ///< Longest run of a subtask of each step so far.
    Millis m_endMs{};
    double m_work{};
  };

  double LogNormal(double aMean, double aSpread)
  {
    const double sigma = std::sqrt(std::log(1 + aSpread * aSpread));
    return aMean *
           std::exp(std::normal_distribution<double>{ -sigma * sigma / 2, sigma }(m_random));
  }

  void PlanArrivals()
  {
    double at = 0;
    std::exponential_distribution<double> gap{ m_load.m_jobsPerS / 1'000 };
    std::uniform_real_distribution<double> thin{ 0, 1 };
    for (at += gap(m_random); at < static_cast<double>(m_load.m_burstMs); at += gap(m_random)) {
      if (thin(m_random) * static_cast<double>(m_load.m_rampUpMs) > at) {
        continue; // The burst still rises.
      }
      SimulatedJob job;
      job.m_arrivalMs = static_cast<Millis>(at);
      job.m_spec.m_id = "job-" + std::to_string(10'000 + m_jobs.size());
      job.m_spec.m_queue = "q";
      job.m_spec.m_pool = "p";
      job.m_spec.m_account = DrawAccount();
      const auto steps = static_cast<std::uint32_t>(
        std::clamp(std::round(LogNormal(m_load.m_steps, 0.4)), 1.0, 4.0));
      for (std::uint32_t step = 0; step < steps; ++step) {
        const double run = LogNormal(static_cast<double>(m_load.m_runMeanMs), m_load.m_runSpread);
        job.m_spec.m_steps.push_back(MakeStep(step, run));
        job.m_runMs.push_back(static_cast<Millis>(run * ImageFactor(job.m_spec.m_steps.back())));
        job.m_longestMs.push_back(0);
      }
      for (std::size_t step = 0; step < job.m_runMs.size(); ++step) {
        job.m_work += WorkOf(job.m_spec.m_steps[step], job.m_runMs[step]);
      }
      m_byId[job.m_spec.m_id] = m_jobs.size();
      m_jobs.push_back(std::move(job));
    }
  }

  AccountName DrawAccount()
  {
    if (m_load.m_accounts.empty()) {
      return {};
    }
    std::vector<double> parts;
    std::ranges::transform(m_load.m_accounts, std::back_inserter(parts), &SimulatedAccount::m_part);
    return m_load.m_accounts
      .at(std::discrete_distribution<std::size_t>{ parts.begin(), parts.end() }(m_random))
      .m_name;
  }

  /// \brief Chooses the image of a step.
  /// \return the factor of its true run time.
  double ImageFactor(StepSpec& aStep)
  {
    if (m_load.m_images == 0) {
      return 1;
    }
    const int image = std::uniform_int_distribution<int>{ 0, m_load.m_images - 1 }(m_random);
    aStep.m_image = m_load.m_learnImages ? "image-" + std::to_string(image) : "";
    const double place = static_cast<double>(image) / std::max(m_load.m_images - 1, 1) - 0.5;
    return std::pow(m_load.m_imageFactor, place);
  }

  StepSpec MakeStep(std::uint32_t aStep, double aRunMs)
  {
    StepSpec spec;
    spec.m_count =
      static_cast<std::uint32_t>(std::clamp(std::round(LogNormal(m_load.m_width, 0.6)), 1.0, 32.0));
    spec.m_need = { static_cast<std::int64_t>(LogNormal(m_load.m_cpuMillis, 0.45)), 1'000, 0 };
    spec.m_estimateMs = static_cast<Millis>(LogNormal(aRunMs, m_load.m_estimateSpread));
    if (aStep > 0) {
      spec.m_dependencies.push_back(aStep - 1);
    }
    return spec;
  }

  void EndRuns()
  {
    while (!m_ends.empty() && m_ends.begin()->first <= m_nowMs) {
      const RunEnd end = m_ends.begin()->second;
      m_ends.erase(m_ends.begin());
      const AppliedEnd applied = ApplyEnd(m_jobTable, end, 3, m_nowMs);
      if (applied && m_load.m_learnRunTimes) {
        LearnEnd(m_runTimes, m_jobTable.m_jobs.at(end.m_subtask.m_job), end.m_subtask, applied);
      }
      if (m_jobTable.m_jobs.at(end.m_subtask.m_job).m_phase == JobPhase::Completed) {
        m_jobs[m_byId.at(end.m_subtask.m_job)].m_endMs = m_nowMs;
      }
    }
  }

  static std::string NameOf(int aServer) { return "server-" + std::to_string(aServer); }

  /// \brief Orders servers for the current demand and releases idle ones.
  void ScaleToDemand()
  {
    if (m_load.m_provisioningMs == 0 || m_nowMs % kPlanMs != 1) {
      return;
    }
    const auto demand = DemandByPool({ m_jobTable,
                                       m_configuration,
                                       m_arrivals,
                                       { { "p", m_load.m_capacity } },
                                       m_nowMs,
                                       m_load.m_predictArrivals ? m_load.m_provisioningMs : 0 });
    const auto found = demand.find("p");
    const double urgent = found == demand.end() ? 0 : UrgentInstances(found->second);
    m_serverMs += kPlanMs * static_cast<Millis>(m_usableFromMs.size());
    const auto fleet = static_cast<std::size_t>(m_load.m_servers);
    const auto wanted =
      std::clamp<std::size_t>(m_demandTracker.Update(0, urgent, fleet, m_nowMs), 2, fleet);
    for (int number = 0; m_usableFromMs.size() < wanted; ++number) {
      m_usableFromMs.try_emplace(number, m_nowMs + m_load.m_provisioningMs);
    }
    std::erase_if(m_usableFromMs, [&, left = m_usableFromMs.size()](const auto& aServer) mutable {
      const bool idle = !m_jobTable.m_byServer.contains(NameOf(aServer.first));
      const bool release = left > wanted && idle && aServer.second <= m_nowMs;
      left -= release ? 1 : 0;
      return release;
    });
  }

  [[nodiscard]] bool IsUsable(int aServer) const
  {
    const auto found = m_usableFromMs.find(aServer);
    return m_load.m_provisioningMs == 0 ||
           (found != m_usableFromMs.end() && found->second <= m_nowMs);
  }

  void Place()
  {
    std::vector<ServerView> servers;
    for (int number = 0; number < m_load.m_servers; ++number) {
      if (!IsUsable(number)) {
        continue;
      }
      ServerView server;
      server.m_id = NameOf(number);
      server.m_pool = "p";
      server.m_capacity = m_load.m_capacity;
      server.m_free = m_load.m_capacity - m_jobTable.m_used[server.m_id];
      servers.push_back(std::move(server));
    }
    SchedulerInput input;
    input.m_nowMs = m_nowMs;
    const auto result = PlaceSubtasks(m_jobTable, m_configuration, servers, input);
    for (const auto& placement : result.m_placements) {
      auto& job = m_jobs[m_byId.at(placement.m_subtask.m_job)];
      const auto run = LogNormal(static_cast<double>(job.m_runMs[placement.m_subtask.m_step]),
                                 m_load.m_subtaskSpread);
      auto& longest = job.m_longestMs[placement.m_subtask.m_step];
      longest = std::max(longest, static_cast<Millis>(run));
      FindRun(m_jobTable, { placement.m_subtask, placement.m_run, placement.m_server })->m_phase =
        RunPhase::Running;
      m_ends.emplace(m_nowMs + kStartMs + static_cast<Millis>(run),
                     RunEnd{ placement.m_subtask, placement.m_run, EndKind::Done, "" });
    }
  }

  [[nodiscard]] SimulationResult Evaluate() const
  {
    double meanWork = 0;
    std::vector<double> works;
    for (const auto& job : m_jobs) {
      meanWork += job.m_work / static_cast<double>(m_jobs.size());
      works.push_back(job.m_work);
    }
    std::ranges::sort(works);
    const double large = works[works.size() * 9 / 10];
    double owed = 0;
    double earned = 0;
    double inTime = 0;
    double largest = 0;
    double largestInTime = 0;
    std::map<AccountName, std::pair<double, double>> byAccount; // In time, and all.
    for (const auto& job : m_jobs) {
      double chain = 0;
      for (const auto run : job.m_longestMs) {
        chain += static_cast<double>(run);
      }
      const double objective = kStretch * chain + static_cast<double>(kObjectiveMs);
      const double took = static_cast<double>(job.m_endMs - job.m_arrivalMs);
      const double credit = std::min(0.3 + 0.7 * job.m_work / meanWork, 4.0);
      const bool good = job.m_endMs != 0 && took <= objective;
      owed += credit;
      earned += good                                        ? credit
                : job.m_endMs != 0 && took <= 3 * objective ? kLateCredit * credit
                                                            : 0;
      inTime += good ? 1 : 0;
      byAccount[job.m_spec.m_account].first += good ? 1 : 0;
      byAccount[job.m_spec.m_account].second += 1;
      largest += job.m_work >= large ? 1 : 0;
      largestInTime += good && job.m_work >= large ? 1 : 0;
    }
    std::map<AccountName, double> inTimeByAccount;
    for (const auto& [account, counts] : byAccount) {
      inTimeByAccount[account] = counts.first / counts.second;
    }
    return { earned / owed, inTime / static_cast<double>(m_jobs.size()), largestInTime / largest,
             static_cast<double>(m_serverMs) / 1e3, std::move(inTimeByAccount) };
  }

  SimulatedLoad m_load;
  std::mt19937 m_random;
  Configuration m_configuration;
  JobTable m_jobTable;
  RunTimes m_runTimes;
  Arrivals m_arrivals;
  ShareMeters m_shares;
  DemandTracker m_demandTracker;
  std::map<int, Millis> m_usableFromMs; ///< Servers in the pool or being provisioned.
  std::vector<SimulatedJob> m_jobs;
  std::map<JobId, std::size_t> m_byId;
  std::multimap<Millis, RunEnd> m_ends;
  Millis m_nowMs{};
  Millis m_serverMs{};
};

} // namespace pistachiostand::fleet
