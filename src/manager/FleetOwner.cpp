#include "FleetOwner.h"

#include "EventLog.h"
#include "MalformedEntry.h"
#include "OrderCarrier.h"

#include "platform/Topics.h"

#include "pistachiostand/account/RunningLimit.h"
#include "pistachiostand/base/Bounds.h"
#include "pistachiostand/base/Clock.h"
#include "pistachiostand/job/Backlog.h"
#include "pistachiostand/job/JobCodec.h"

#include <asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <fmt/format.h>
#include <numeric>
#include <utility>

namespace pistachiostand::fleet {

namespace {

constexpr Millis kTickMs = 100;
/// Collects ends and submissions before a pass over the jobs.
constexpr Millis kMinPassDelayMs = 5;
constexpr Millis kMaxPassDelayMs = 100;
/// A pass begins after this many times the duration of the last one, so that passes over a large
/// backlog leave most of the processor to starts and ends.
constexpr int kPassDelayFactor = 5;
/// A read may miss a record that is being stored; see kConfigurationWaitMs.
constexpr Millis kSubmissionWaitMs = 300;
constexpr Millis kSubmissionPauseMs = 15;
/// The registration of each server changes about once in 1.5 s; a start may still arrive 2 s after
/// the beginning of a drain.
constexpr Millis kRegistryWaitMs = 500;
constexpr Millis kRegistryPauseMs = 100;
/// Only this owner writes the topic; it is read for what earlier owners wrote.
constexpr Millis kFleetWaitMs = 20'000;
constexpr Millis kLoadRetryMs = 100;
/// A job may be unknown for 3 s after it was accepted; an older view must not report it as unknown.
constexpr Millis kMaxViewAgeMs = 2'000;
/// A finished job is kept this much longer than its state must be readable.
constexpr Millis kKeepMarginMs = 10'000;
constexpr double kMeanWorkWeight = 0.05;
/// What is learned from runs changes little within this time, except for the first runs of an
/// ownership.
constexpr Millis kExpectedTimesUpdateMs = 500;
/// Jobs, steps and servers that a pass, or an update of expected times, visits in one turn of the
/// loop: a few milliseconds on a quarter of a core.
constexpr std::size_t kVisitsPerTurn = 20'000;
constexpr Millis kLogMs = 1'000;
constexpr Millis kCarriersRetryMs = 1'000;
/// Time to read the submissions after an outage: the longest pause between the reads of a topic and
/// one read. A partition that is unavailable for longer delays nothing else.
constexpr Millis kCatchUpTimeoutMs = 600;
/// Jobs are forgotten a few at a time, so that the removal of their records does not add up.
constexpr std::size_t kMaxChangedParts = 2'000;
constexpr Millis kHandOverAfterMs = 2'000;
/// A handover has to wait for an ownership record in flight, a few milliseconds.
constexpr Millis kHandOverRetryMs = 500;

/// \brief Parses the whole text as a number; nullopt when it is anything else.
std::optional<std::uint64_t> ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const bool isWhole = error == std::errc{} && end == aText.data() + aText.size();
  return isWhole ? std::optional{ number } : std::nullopt;
}

/// \brief Steps and dependencies that an update of the expected times of a job visits.
std::size_t UpdateCostOf(const JobSpec& aSpec)
{
  return std::accumulate(
    aSpec.m_steps.begin(), aSpec.m_steps.end(), std::size_t{ 1 },
    [](std::size_t aSum, const StepSpec& aStep) { return aSum + 1 + aStep.m_dependencies.size(); });
}

StepId StepOf(const SubtaskId& aId)
{
  return { aId.m_job, aId.m_occurrence, aId.m_step };
}

std::function<void(std::string_view, std::string_view)> OnMalformedRecord(Metrics& aMetrics)
{
  return [&aMetrics](std::string_view aKey, std::string_view aCause) {
    ReportMalformedEntry(aMetrics, "records_unreadable_total", "store", aKey, aCause);
  };
}

} // namespace

FleetOwner::FleetOwner(OwnerState aState)
  : m_state(std::move(aState))
  , m_committer(m_state, [this](const CommitBatch& aBatch) { OnStored(aBatch); })
  , m_runs(m_state, m_committer, [this] { ScheduleSoon(); })
  , m_advice(m_state, [this] { ScheduleSoon(); })
  , m_fleet(m_state, m_runs)
  , m_cleaner(m_state)
  , m_runTimeStore(m_state)
  , m_registry(m_state.m_loop, m_state.m_store,
               { { platform::kRegistryTopic }, kRegistryWaitMs, kRegistryPauseMs },
               { [this](const std::string& aKey, const auto& aValue, Offset /*aOffset*/) {
                  OnServerRecord(aKey, aValue);
                },
                 [](Millis /*aSentMs*/) {}, [this] { OnStoreAvailable(); },
                 OnMalformedRecord(m_state.m_metrics) })
  , m_fleetRecords(m_state.m_loop, m_state.m_store,
                   { { kFleetTopic }, kFleetWaitMs, kRegistryPauseMs },
                   { [this](const std::string& aKey, const auto& aValue, Offset /*aOffset*/) {
                      OnFleetRecord(aKey, aValue);
                    },
                     [this](Millis /*aSentMs*/) {
                       m_fleet.OnRecordsRead();
                       m_runTimeStore.OnRecordsRead();
                       ScheduleSoon();
                     },
                     [this] { OnStoreAvailable(); }, OnMalformedRecord(m_state.m_metrics) })
  , m_scheduleTimer(m_state.m_loop)
  , m_loadTimer(m_state.m_loop)
  , m_ticker(m_state.m_loop, kTickMs, [this] { Tick(); })
{
  m_runs.m_onTicketRefused = [this](const RunRef& aRun) {
    m_advice.Discard(StepOf(aRun.m_subtask), aRun.m_server);
  };
  for (std::uint32_t number = 0; number < m_state.m_settings.m_storePartitions; ++number) {
    m_submissions.push_back(std::make_unique<TopicTail>(
      m_state.m_loop, m_state.m_store,
      TopicTailOptions{ { kSubmissionTopic, number }, kSubmissionWaitMs, kSubmissionPauseMs },
      TopicHandlers{
        [this, number](const std::string& aKey, const auto& aValue, Offset /*aOffset*/) {
          OnSubmissionRecord(number, aKey, aValue);
        },
        [this](Millis /*aSentMs*/) { OnSubmissionsCurrent(); }, [this] { OnStoreAvailable(); },
        OnMalformedRecord(m_state.m_metrics) }));
  }
}

void FleetOwner::OnSubmissionsCurrent()
{
  const auto oldest = (*std::ranges::min_element(
                         m_submissions, {}, [](const auto& aTail) { return aTail->CurrentAsOf(); }))
                        ->CurrentAsOf();
  m_state.m_arrivalsAsOfMs = oldest.value_or(0);
  if (oldest && !std::exchange(m_submissionsRead, true)) {
    LoadProgress({});
  }
}

void FleetOwner::OnStoreAvailable()
{
  for (const auto& tail : m_submissions) {
    tail->RetryNow();
  }
  m_registry.RetryNow();
  m_fleetRecords.RetryNow();
  m_committer.RetryNow();
}

void FleetOwner::Start()
{
  LogEvent("owner", "begin", "token={}", m_state.m_token);
  UseCarriers();
  // Opening the topic with this owner's fencing token fences earlier owners off before their last
  // records are read.
  m_committer.Open([this] {
    for (const auto& tail : m_submissions) {
      tail->Start();
    }
    m_registry.Start();
    m_fleetRecords.Start();
  });
}

bool FleetOwner::IsCurrent(Millis aNowMs) const
{
  return m_loaded && std::ranges::all_of(m_submissions, [aNowMs](const auto& aTail) {
           const auto asOf = aTail->CurrentAsOf();
           return asOf && aNowMs - *asOf < kMaxViewAgeMs;
         });
}

JobLookup FleetOwner::Find(const JobId& aId, const CallerScope& aScope) const
{
  JobLookup lookup;
  const auto job = m_state.m_jobTable.m_jobs.find(aId);
  lookup.m_current = IsCurrent(MonotonicMs());
  if (m_loaded && job != m_state.m_jobTable.m_jobs.end() && MayUseJob(aScope, job->second.m_spec)) {
    lookup.m_state = StateOf(job->second);
  }
  return lookup;
}

std::optional<std::size_t> FleetOwner::Pending(std::string_view aQueue) const
{
  if (!IsCurrent(MonotonicMs())) {
    return std::nullopt;
  }
  return CountPending(m_state.m_jobTable, aQueue);
}

void FleetOwner::OnSubmissionRecord(std::uint32_t aPartition, const std::string& aKey,
                                    const std::optional<std::string>& aValue)
{
  const std::string_view key = aKey;
  if (!aValue) {
    return; // Removed by this owner's cleanup.
  }
  if (key.starts_with(kCancelPrefix)) {
    const JobId id{ key.substr(kCancelPrefix.size()) };
    if (!platform::IsJobId(id)) {
      ReportMalformedEntry(m_state.m_metrics, "records_unreadable_total", "job", aKey,
                           "not a job id");
      return;
    }
    m_cleaner.OnRecord(id, aPartition);
    if (!m_loaded) {
      m_cancels.emplace(id, DecodeCancel(*aValue));
      return;
    }
    Cancel(id, DecodeCancel(*aValue));
    ScheduleSoon();
    return;
  }
  Reason reason;
  auto spec = DecodeSubmission(*aValue, reason);
  // The cleanup removes records by their key, and a job under the key of another one would replace
  // the job whose id it contains.
  if (spec && key != std::string{ kSubmissionPrefix } + spec->m_id) {
    reason.m_cause = "the key and the job id in the record differ";
    spec.reset();
  }
  if (!spec) {
    ReportMalformedEntry(m_state.m_metrics, "records_unreadable_total", "job", aKey,
                         reason.m_cause);
    return;
  }
  m_cleaner.OnRecord(spec->m_id, aPartition);
  AddSubmission(std::move(*spec));
}

void FleetOwner::Cancel(const JobId& aId, const CallerScope& aScope)
{
  const bool known = m_state.m_jobTable.m_jobs.contains(aId);
  const bool allowed = CancelJob(m_state.m_jobTable, aId, aScope);
  LogEvent("job", "cancel", "id={} known={} allowed={} account={}", aId, known, allowed,
           aScope.m_account);
}

void FleetOwner::AddSubmission(JobSpec aSpec)
{
  const JobId id = aSpec.m_id;
  const QueueName queue = aSpec.m_queue;
  const Millis age = std::max<Millis>(WallMs() - std::max<Millis>(aSpec.m_acceptedMs, 0), 0);
  const auto steps = aSpec.m_steps.size();
  if (!AddJob(m_state.m_jobTable, std::move(aSpec), MonotonicMs(), age)) {
    if (m_state.m_jobTable.m_jobs.at(id).m_phase != JobPhase::Active) {
      m_cleaner.Add(id);
    }
    return;
  }
  Job& job = m_state.m_jobTable.m_jobs.at(id);
  UpdateExpectedTimes(job, m_state.m_runTimes);
  if (m_loaded) {
    RecordAccepted(job);
  }
  const double work = job.m_work;
  const auto [mean, first] = m_state.m_meanWork.try_emplace(queue, work);
  if (!first) {
    mean->second += kMeanWorkWeight * (work - mean->second);
  }
  if (m_loaded) {
    LogEvent("job", "known",
             "id={} queue={} account={} steps={} work_core_s={:.1f} age_ms={} beyond_share={}", id,
             queue, job.m_spec.m_account, steps, work, age, job.m_beyondShare);
    ScheduleSoon();
  }
}

void FleetOwner::RecordAccepted(Job& aJob)
{
  AssignShare(aJob, m_state.m_configuration.m_accounts, m_state.m_shares);
  // Instances for expected arrivals would stay idle if the quota holds the arriving jobs back.
  if (!IsAtLimit(aJob)) {
    RecordArrival(m_state.m_arrivals, aJob, aJob.m_acceptedMs);
  }
}

bool FleetOwner::IsAtLimit(const Job& aJob) const
{
  const auto& used = m_state.m_jobTable.m_usedByAccount;
  const auto found = used.find(aJob.m_spec.m_account);
  const Resources limit = LimitOf(m_state.m_configuration.m_accounts, aJob.m_spec.m_account);
  return found != used.end() && !aJob.m_spec.m_steps.empty() &&
         StartsAllowed(found->second, aJob.m_spec.m_steps.front().m_need, limit, 1) == 0;
}

void FleetOwner::OnServerRecord(const std::string& aKey, const std::optional<std::string>& aValue)
{
  Reason reason;
  const auto registration = aValue ? platform::DecodeServerRegistration(aKey, *aValue, reason)
                                   : std::optional<ServerRegistration>{};
  if (aValue && !registration) {
    // A known server stays registered, with its last registration that could be read.
    ReportMalformedEntry(m_state.m_metrics, "entries_unreadable_total", "fleet", aKey,
                         reason.m_cause);
    return;
  }
  m_runs.OnServerRegistration(aKey, registration);
}

void FleetOwner::OnFleetRecord(const std::string& aKey, const std::optional<std::string>& aValue)
{
  if (!aValue) {
    return;
  }
  const std::string_view key = aKey;
  const auto wave = key.starts_with(kStoredWavePrefix)
                      ? ParseNumber(key.substr(kStoredWavePrefix.size()))
                      : std::nullopt;
  if (wave) {
    m_fleet.OnStoredWave(*wave, *aValue);
  } else if (key.starts_with(kOrderPrefix) && key.size() > kOrderPrefix.size()) {
    m_fleet.OnStoredOrder(InstanceId{ key.substr(kOrderPrefix.size()) }, *aValue);
  } else if (key.starts_with(kRunTimePrefix)) {
    m_runTimeStore.OnRecord(aKey, *aValue);
  } else {
    ReportMalformedEntry(m_state.m_metrics, "records_unreadable_total", "fleet", aKey,
                         "no wave, order or queue has such a key");
  }
}

void FleetOwner::LoadProgress(const std::string& aAfter)
{
  m_state.m_store.ListNewest({ kProgressTopic, 0 }, aAfter,
                             m_state.Guard([this](const auto& aPage) { OnProgressPage(aPage); }));
}

void FleetOwner::OnProgressPage(const std::optional<platform::KeyedPage>& aPage)
{
  if (aPage && aPage->m_malformedRows.m_count != 0) {
    ReportMalformedEntry(m_state.m_metrics, "records_unreadable_total", "job", kProgressTopic,
                         aPage->m_malformedRows.m_cause);
  }
  // If an item were skipped, its work would be started again while its runs go on.
  if (!aPage || aPage->m_malformedRows.m_count != 0) {
    m_loadTimer.expires_after(std::chrono::milliseconds{ kLoadRetryMs });
    m_loadTimer.async_wait(m_state.Guard([this](const std::error_code& aError) {
      if (!aError) {
        LoadProgress({});
      }
    }));
    return;
  }
  for (const auto& item : aPage->m_items) {
    Reason reason;
    if (!ApplyProgress(m_state.m_jobTable, item.m_key, item.m_value, MonotonicMs(), reason)) {
      ReportMalformedEntry(m_state.m_metrics, "records_unreadable_total", "job", item.m_key,
                           fmt::format("{}, {} bytes", reason.m_cause, item.m_value.size()));
      FailUnreadableJob(m_state.m_jobTable, item.m_key, MonotonicMs());
    }
  }
  if (aPage->m_more && !aPage->m_items.empty()) {
    LoadProgress(aPage->m_items.back().m_key);
  } else {
    FinishLoad();
  }
}

void FleetOwner::FinishLoad()
{
  m_loaded = true;
  CompleteRestoredGangs(m_state.m_jobTable);
  // The partitions of the topic are read one by one, so the shares are taken only now.
  for (Job* job : JobsByAcceptance(m_state.m_jobTable)) {
    RecordAccepted(*job);
  }
  const Millis lease = LatestLeaseEndMs(
    m_state.m_claimedMs, std::min(m_state.m_settings.m_bounds.m_maxLeaseMs, kLongestGrantMs));
  for (const auto& [id, subtasks] : m_state.m_jobTable.m_byServer) {
    ServerState& server = m_state.m_servers[id];
    server.m_registration.m_id = id;
    ExtendLease(server, lease, "takeover");
  }
  for (const auto& [id, scope] : std::exchange(m_cancels, {})) {
    Cancel(id, scope);
  }
  for (const auto& [id, job] : m_state.m_jobTable.m_jobs) {
    if (job.m_phase != JobPhase::Active && !job.m_spec.m_steps.empty()) {
      m_cleaner.Add(id);
    }
  }
  LogEvent("owner", "loaded", "token={} jobs={} active={} servers_with_runs={} after_ms={}",
           m_state.m_token, m_state.m_jobTable.m_jobs.size(), m_state.m_jobTable.m_active.size(),
           m_state.m_jobTable.m_byServer.size(), MonotonicMs() - m_state.m_claimedMs);
  ScheduleSoon();
}

void FleetOwner::ScheduleSoon()
{
  if (m_scheduled || !m_loaded) {
    return;
  }
  m_scheduled = true;
  m_scheduleTimer.expires_after(std::chrono::milliseconds{
    std::clamp(kPassDelayFactor * m_passMs, kMinPassDelayMs, kMaxPassDelayMs) });
  m_scheduleTimer.async_wait(m_state.Guard([this](const std::error_code& aError) {
    if (!aError) {
      m_scheduled = false;
      Schedule();
    }
  }));
}

bool FleetOwner::CatchUp(Millis aNowMs)
{
  if (!m_state.m_holdsOwnershipLease()) {
    m_leaseHeldSinceMs.reset();
    m_caughtUp = false;
    return false;
  }
  if (!m_leaseHeldSinceMs) {
    m_leaseHeldSinceMs = aNowMs;
  }
  const Millis since = aNowMs - *m_leaseHeldSinceMs;
  const bool isRead = std::ranges::none_of(
    m_submissions, [](const auto& aTail) { return aTail->IsStoreUnavailable(); });
  if (!m_caughtUp && (isRead || since >= kCatchUpTimeoutMs)) {
    m_caughtUp = true;
    LogEvent("owner", "caught-up", "read={} after_ms={} arrivals_age_ms={}", isRead, since,
             aNowMs - m_state.m_arrivalsAsOfMs);
    m_fleet.OnOwnershipLeaseRegained(aNowMs);
    // Instances that other pools need are moved before their capacity is assigned.
    m_fleet.Tick(aNowMs);
  }
  return m_caughtUp;
}

void FleetOwner::Schedule()
{
  if (m_pass) {
    m_passWanted = true;
    return;
  }
  const Millis begin = MonotonicMs();
  m_passMs = 0;
  m_load.m_passes += 1;
  if (m_state.m_holdsOwnershipLease()) {
    m_runs.StopObsoleteRuns();
    StopRunsOnDrainingServers();
    if (CatchUp(begin) && m_runTimeStore.IsReady(begin)) {
      BeginPass(MonotonicMs());
    }
  }
  m_committer.FlushSoon();
  CountTurn(begin);
}

void FleetOwner::CountTurn(Millis aBeginMs)
{
  const Millis turn = MonotonicMs() - aBeginMs;
  m_passMs += turn;
  m_load.m_longestTurnMs = std::max(m_load.m_longestTurnMs, turn);
  m_load.m_longestPassMs = std::max(m_load.m_longestPassMs, m_passMs);
}

void FleetOwner::StopRunsOnDrainingServers()
{
  std::vector<RunRef> leaving;
  for (const auto& [id, server] : m_state.m_servers) {
    if (!server.m_registration.m_draining || !m_state.m_jobTable.m_byServer.contains(id)) {
      continue;
    }
    for (const auto& subtask : m_state.m_jobTable.m_byServer.at(id)) {
      if (!FindStep(m_state.m_jobTable, subtask)->m_longRunning) {
        continue;
      }
      for (const auto& run : FindSubtask(m_state.m_jobTable, subtask)->m_runs) {
        if (run.m_server == id && run.m_phase == RunPhase::Running) {
          leaving.push_back({ subtask, run.m_number, id });
        }
      }
    }
  }
  for (const auto& run : leaving) {
    m_runs.Stop(run, "server drains");
  }
}

void FleetOwner::BeginPass(Millis aNowMs)
{
  SchedulerInput input;
  input.m_nowMs = aNowMs;
  input.m_remoteFactor = m_state.m_settings.m_bounds.m_remoteFactor;
  input.m_meanWork = m_state.m_meanWork;
  input.m_tickets = m_advice.Tickets(aNowMs);
  input.m_runningOverage = m_state.m_settings.m_runningOverage;
  input.m_startsLeft = m_runs.StartsLeft();
  m_pass.emplace(std::move(input));
  ContinuePass();
}

void FleetOwner::ContinuePass()
{
  // What the last turns have changed is in these views, too.
  auto availableServers = m_fleet.ServerViews(MonotonicMs());
  const bool isComplete =
    m_pass->Continue(m_state.m_jobTable, m_state.m_configuration, availableServers, kVisitsPerTurn);
  const auto& tickets = m_pass->Input().m_tickets;
  for (const auto& placement : m_pass->TakePlacements()) {
    const RunRef run{ placement.m_subtask, placement.m_run, placement.m_server };
    m_committer.AddPlanned(run);
    m_runs.OnPlanned(run);
    const auto ticket = tickets.find(StepOf(placement.m_subtask));
    if (ticket != tickets.end()) {
      m_runs.m_tickets[placement.m_subtask] = ticket->second.at(placement.m_server);
    }
  }
  if (isComplete) {
    m_runs.SetStartsHeldBack(m_pass->Result().m_startsHeldBack);
    m_advice.Ask(m_pass->Result().m_stepsWithoutTickets, availableServers);
    m_heldBack = m_pass->Result().m_heldBack;
    m_pass.reset();
    if (std::exchange(m_passWanted, false)) {
      ScheduleSoon();
    }
    return;
  }
  asio::post(m_state.m_loop, m_state.Guard([this] {
    if (!m_pass) {
      return;
    }
    const Millis begin = MonotonicMs();
    if (CatchUp(begin)) {
      ContinuePass();
    } else {
      m_pass.reset();
    }
    m_committer.FlushSoon();
    CountTurn(begin);
  }));
}

void FleetOwner::OnStored(const CommitBatch& aBatch)
{
  for (const auto& id : aBatch.m_finished) {
    const Job& job = m_state.m_jobTable.m_jobs.at(id);
    const Millis took = job.m_finishedMs - job.m_acceptedMs;
    LogEvent("job", "finished", "id={} queue={} account={} phase={} after_ms={}", id,
             job.m_spec.m_queue, job.m_spec.m_account, static_cast<int>(job.m_phase), took);
    Observe(m_state.m_metrics, "job_ms", job.m_spec.m_queue, took);
    m_cleaner.Add(id);
  }
  m_runs.OnStored(aBatch);
}

void FleetOwner::UseCarriers()
{
  const Millis now = MonotonicMs();
  const bool wanted =
    m_state.m_isLargeFleet || m_state.m_servers.size() > m_state.m_settings.m_maxDirectServers;
  if (m_state.m_orders.HasCarriers() || !wanted || now - m_carriersTriedMs < kCarriersRetryMs) {
    return;
  }
  m_carriersTriedMs = now;
  Reason reason;
  auto carriers =
    CarrierPool::Create(m_state.m_loop, CarrierEndpoint(m_state.m_settings.m_entryListen),
                        m_state.m_token, m_state.m_metrics, reason);
  if (!carriers) {
    LogEvent("carrier", "not-listening", "cause={} remedy={}", reason.m_cause, reason.m_remedy);
    return;
  }
  m_state.m_orders.SetCarriers(std::move(carriers));
}

void FleetOwner::Tick()
{
  UseCarriers();
  if (!m_loaded) {
    return;
  }
  const Millis now = MonotonicMs();
  OpenDueOccurrences(m_state.m_jobTable, WallMs() + m_state.m_settings.m_bounds.m_earlyMs / 2, now);
  LogLoad(now);
  m_runs.Tick(now);
  if (CatchUp(now)) {
    m_fleet.Tick(now);
  }
  m_cleaner.Tick(now);
  m_runTimeStore.Tick(now);
  ForgetOldJobs(now);
  HandOverToLarger(now);
  UpdateJobTimes(now);
  ScheduleSoon();
}

void FleetOwner::UpdateJobTimes(Millis aNowMs)
{
  if (m_lastUpdated.empty()) {
    if (aNowMs - m_expectedTimesUpdatedMs < kExpectedTimesUpdateMs) {
      return;
    }
    m_expectedTimesUpdatedMs = aNowMs;
  }
  const auto& active = m_state.m_jobTable.m_active;
  std::size_t visits = 0;
  auto id = active.upper_bound(m_lastUpdated);
  for (; id != active.end() && visits < kVisitsPerTurn; ++id) {
    Job& job = m_state.m_jobTable.m_jobs.at(*id);
    UpdateExpectedTimes(job, m_state.m_runTimes);
    visits += UpdateCostOf(job.m_spec);
    m_lastUpdated = *id;
  }
  if (id == active.end()) {
    m_lastUpdated.clear();
  }
}

void FleetOwner::HandOverToLarger(Millis aNowMs)
{
  const double share = m_state.m_settings.m_processorShare;
  const double largest = m_state.m_orders.LargestShare();
  // Only without active jobs, and after all carriers have had the time to join.
  if (m_state.m_jobTable.m_active.empty() && aNowMs - m_state.m_claimedMs > kHandOverAfterMs &&
      share < kLargeFleetOwnerCores && IsMuchLarger(largest, share) &&
      aNowMs - m_handOverTriedMs > kHandOverRetryMs) {
    m_handOverTriedMs = aNowMs;
    LogEvent("owner", "hands-over", "token={} cores={} largest={}", m_state.m_token, share,
             largest);
    m_state.m_handOver();
  }
}

void FleetOwner::LogLoad(Millis aNowMs)
{
  const Millis before = std::exchange(m_tickMs, aNowMs);
  m_load.m_longestGapMs = std::max(m_load.m_longestGapMs, before == 0 ? 0 : aNowMs - before);
  if (aNowMs - m_load.m_beginMs < kLogMs) {
    return;
  }
  LogEvent("owner", "load",
           "active={} passes={} longest_pass_ms={} longest_turn_ms={} longest_tick_gap_ms={} "
           "carriers={}",
           m_state.m_jobTable.m_active.size(), m_load.m_passes, m_load.m_longestPassMs,
           m_load.m_longestTurnMs, m_load.m_longestGapMs, m_state.m_orders.CarrierCount());
  m_load = { aNowMs, 0, 0, 0, 0 };
  LogBacklog(aNowMs);
  LogHeldBack();
}

void FleetOwner::LogHeldBack() const
{
  for (const auto& [account, work] : m_heldBack) {
    const auto found = m_state.m_jobTable.m_usedByAccount.find(account);
    const Resources used =
      found == m_state.m_jobTable.m_usedByAccount.end() ? Resources{} : found->second;
    const Resources limit = LimitOf(m_state.m_configuration.m_accounts, account);
    LogEvent("account", "held-back",
             "account={} steps={} first_job={} step={} used_cpu={} max_cpu={} used_mem_mb={} "
             "max_mem_mb={} used_gpu={} max_gpu={}",
             account, work.m_steps, work.m_first.m_job, work.m_first.m_step, used.m_cpuMillis,
             limit.m_cpuMillis, used.m_memoryMb, limit.m_memoryMb, used.m_gpus, limit.m_gpus);
  }
}

void FleetOwner::LogBacklog(Millis aNowMs)
{
  m_state.m_metrics.m_gauges.clear();
  for (const auto& [queue, backlog] : BacklogByQueue(m_state.m_jobTable, aNowMs)) {
    LogEvent("backlog", "queue",
             "queue={} jobs={} for_place={} for_record={} for_server={} running={} "
             "oldest_place_ms={}",
             queue, backlog.m_jobs, backlog.m_waitingForPlacement, backlog.m_waitingForRecord,
             backlog.m_waitingForServer, backlog.m_running, backlog.m_longestPlacementWaitMs);
    for (const auto& [what, count] : { std::pair{ "place", backlog.m_waitingForPlacement },
                                       std::pair{ "record", backlog.m_waitingForRecord },
                                       std::pair{ "server", backlog.m_waitingForServer } }) {
      if (m_state.m_metrics.m_gauges.size() < kMaxCounters) {
        m_state.m_metrics.m_gauges.insert_or_assign(
          fmt::format("subtasks_waiting{{queue=\"{}\",for=\"{}\"}}", Label(queue), what), count);
      }
    }
  }
  m_runTimeStore.AddGauges();
}

void FleetOwner::ForgetOldJobs(Millis aNowMs)
{
  const Millis keep = m_state.m_settings.m_bounds.m_keepStateMs + kKeepMarginMs;
  const auto forgotten = std::erase_if(m_state.m_jobTable.m_jobs, [&](const auto& aEntry) {
    const Job& job = aEntry.second;
    const bool old = job.m_phase != JobPhase::Active && job.m_phaseStored &&
                     aNowMs - job.m_finishedMs > keep && !m_cleaner.Contains(aEntry.first) &&
                     m_state.m_jobTable.m_changed.size() < kMaxChangedParts;
    if (old) {
      RemoveRecords(m_state.m_jobTable, job);
    }
    return old;
  });
  if (forgotten != 0 && m_pass) {
    m_pass.reset(); // It refers to jobs.
    ScheduleSoon();
  }
}

} // namespace pistachiostand::fleet
