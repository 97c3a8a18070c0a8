#include "FleetDriver.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/process/SnapshotCodec.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace pistachiostand {

namespace {

constexpr Millis kTickIntervalMs = 10'000;
constexpr Millis kProposalLifetimeMs = 10'000;
/// Limits the age of the last snapshot while a large state changes little, because the log retains
/// records only for a limited time.
constexpr Millis kMaxSnapshotAgeMs = 4LL * 3600 * 1000;

} // namespace

FleetDriver::FleetDriver(Runtime& aRuntime, ServerTable& aServers)
  : m_runtime(aRuntime)
  , m_servers(aServers)
  , m_startedMs(MonotonicMs())
  , m_pollTicker(aRuntime.m_loop, aRuntime.m_settings.m_limits.m_listPollMs, [this] { Poll(); })
  , m_tickTicker(aRuntime.m_loop, kTickIntervalMs, [this] { ProposeTick(); })
{
}

bool FleetDriver::IsPlanner() const
{
  const Millis now = MonotonicMs();
  return !m_runtime.m_draining && ReadsPlatform(m_runtime, now) &&
         m_runtime.m_membership.IsFirstChoiceAmongReaders(
           "planner", now, m_runtime.m_settings.m_limits.m_viewConfirmMs);
}

void FleetDriver::Poll()
{
  if (std::exchange(m_polling, true)) {
    return;
  }
  m_runtime.m_platform.ListInstances([this](const auto& aList) {
    m_polling = false;
    OnList(aList);
  });
}

void FleetDriver::OnList(const std::optional<InstanceList>& aList)
{
  if (!aList) {
    return;
  }
  m_listed = aList->m_instances;
  m_servers.OnList(m_listed);
  if (!IsPlanner()) {
    m_memory = {};
    return;
  }
  Plan();
  ProposeSnapshot();
}

std::map<InstanceId, std::uint32_t> FleetDriver::InFlight(Millis aNowMs) const
{
  auto inFlight = m_runtime.m_membership.InFlight(aNowMs, DrainTimeoutMs(m_runtime.CurrentRules()));
  for (const auto& [instance, count] : m_servers.InFlight()) {
    inFlight[instance] += count;
  }
  return inFlight;
}

/// \brief Offset up to which every entry instance has read the log, including unresponsive ones.
///
/// A peer from which nothing was received since the start may be partitioned with requests in
/// flight, so the result is 0 until the drain timeout has passed.
Offset FleetDriver::MinReadOffset(Millis aNowMs) const
{
  const Millis drainTimeout = DrainTimeoutMs(m_runtime.CurrentRules());
  const auto& peers = m_runtime.m_membership.Peers();
  const bool allSeen =
    std::ranges::all_of(m_runtime.m_settings.m_peers,
                        [&peers](const PeerSettings& aPeer) { return peers.contains(aPeer.m_id); });
  if (!allSeen && aNowMs - m_startedMs <= drainTimeout) {
    return 0;
  }
  return m_runtime.m_membership.MinReadOffset(m_runtime.State().m_nextOffset, aNowMs, drainTimeout);
}

void FleetDriver::Plan()
{
  // A new decision before the last records are read back would propose the same records again.
  if (m_unresolved != 0 || m_runtime.State().m_revision == 0) {
    return;
  }
  const Millis now = MonotonicMs();
  const FleetState& state = m_runtime.State();
  auto decision =
    PlanFleet({ state, m_listed, InFlight(now), MinReadOffset(now), m_servers.SeenAlive(now), now },
              m_memory);
  for (auto& body : decision.m_records) {
    spdlog::info("fleet: Proposing {}.", DescribeRecord(body));
    ++m_unresolved;
    m_runtime.m_proposals.Propose(
      std::move(body), { false, now + kProposalLifetimeMs },
      [this, reported = false](ProposalResult aResult, const ApplyResult& aApplyResult) mutable {
        m_unresolved -= std::exchange(reported, true) ? 0 : 1;
        if (aResult == ProposalResult::Refused) {
          spdlog::info("fleet: Proposal refused: {}.",
                       ToString(aApplyResult.m_refusal.value_or(Refusal::WrongPhase)));
        }
      });
  }
  for (const auto& order : decision.m_drainOrders) {
    spdlog::info("fleet: Ordering drain of {}.", order.m_instance);
    m_runtime.m_platform.OrderDrain(order);
  }
  for (const auto& order : decision.m_reboots) {
    spdlog::info("fleet: Ordering reboot of {} for pool {}.", order.m_instance, order.m_pool);
    m_runtime.m_platform.OrderReboot(order);
  }
}

void FleetDriver::ProposeTick()
{
  if (IsPlanner()) {
    m_runtime.m_proposals.Propose(Tick{ WallMs() }, { false, MonotonicMs() + kProposalLifetimeMs },
                                  [](ProposalResult, const ApplyResult&) {});
  }
}

/// \brief A snapshot is due after the number of records in the settings, and as many as the state
/// holds instances and jobs; the second condition is dropped after kMaxSnapshotAgeMs.
///
/// Every reader reads every snapshot, so a fixed number of records would let the bytes of the log
/// grow with the size of the state instead of with the number of changes.
bool FleetDriver::IsSnapshotDue()
{
  const FleetState& state = m_runtime.State();
  const Offset covered = m_runtime.m_replica.LastSnapshotOffset();
  const Millis now = MonotonicMs();
  if (std::exchange(m_lastSnapshotOffset, covered) != covered || m_lastSnapshotSeenMs == 0) {
    m_lastSnapshotSeenMs = now;
  }
  const Offset since = state.m_nextOffset - covered;
  const bool isWorthItsSize = since >= state.m_instances.size() + state.m_jobs.size();
  return since >= m_runtime.m_settings.m_limits.m_snapshotEvery &&
         (isWorthItsSize || now - m_lastSnapshotSeenMs >= kMaxSnapshotAgeMs);
}

void FleetDriver::ProposeSnapshot()
{
  const FleetState& state = m_runtime.State();
  if (!IsSnapshotDue() || m_snapshotInProgress) {
    return;
  }
  auto parts = MakeSnapshot(state);
  spdlog::info("log: Writing a snapshot of {} parts at offset {}.", parts.size(),
               state.m_nextOffset);
  m_snapshotInProgress = true;
  for (auto& part : parts) {
    const bool last = part.m_part + 1 == part.m_parts;
    m_runtime.m_proposals.Propose(std::move(part), { false, MonotonicMs() + kProposalLifetimeMs },
                                  [this, last](ProposalResult, const ApplyResult&) {
                                    m_snapshotInProgress = m_snapshotInProgress && !last;
                                  });
  }
}

} // namespace pistachiostand
