#include "AdviceCalls.h"

#include "EventLog.h"
#include "MalformedEntry.h"

#include "platform/Orders.h"

#include "pistachiostand/base/Clock.h"

#include <algorithm>
#include <utility>

namespace pistachiostand::fleet {

namespace {

/// The service accepts this many in one call.
constexpr std::size_t kMaxServersPerCall = 100;
/// Time for the response beyond the service's own time.
constexpr Millis kResponseMs = 1'000;
constexpr Millis kMaxTimeoutMs = 10'000;
/// The timeout doubles this many times at most.
constexpr unsigned kMaxDoublings = 4;
constexpr Millis kFirstPauseMs = 100;
constexpr Millis kMaxPauseMs = 1'600;
/// Tickets are tried for at least this long, even when the answer took longer than they are valid:
/// a service that is slow all the time would otherwise never let a step start.
constexpr Millis kMinTicketUseMs = 200;

} // namespace

Millis AdviceDurationMs(const AdviceCosts& aCosts, std::size_t aServers) noexcept
{
  return aCosts.m_decisionMs + static_cast<Millis>(aServers) * aCosts.m_perServerMs;
}

std::size_t MaxAdviceServers(const AdviceCosts& aCosts) noexcept
{
  if (aCosts.m_perServerMs <= 0) {
    return kMaxServersPerCall;
  }
  const Millis fitting = (aCosts.m_validMs / 2 - aCosts.m_decisionMs) / aCosts.m_perServerMs;
  return static_cast<std::size_t>(std::clamp<Millis>(fitting, 1, kMaxServersPerCall));
}

Millis AdviceTimeoutMs(Millis aDurationMs, unsigned aDoublings) noexcept
{
  const Millis first = aDurationMs + kResponseMs;
  return std::max(first, std::min(first << std::min(aDoublings, kMaxDoublings), kMaxTimeoutMs));
}

AdviceCalls::AdviceCalls(OwnerState& aState, std::function<void()> aOnAnswer)
  : m_state(aState)
  , m_onAnswer(std::move(aOnAnswer))
{
}

std::map<StepId, std::map<ServerId, Ticket>> AdviceCalls::Tickets(Millis aNowMs)
{
  std::erase_if(m_answers, [aNowMs](const auto& aEntry) { return aEntry.second.m_endMs < aNowMs; });
  std::map<StepId, std::map<ServerId, Ticket>> tickets;
  for (const auto& [step, answer] : m_answers) {
    tickets.emplace(step, answer.m_tickets);
  }
  return tickets;
}

void AdviceCalls::Discard(const StepId& aStep, const ServerId& aServer)
{
  const auto answer = m_answers.find(aStep);
  if (answer != m_answers.end() && answer->second.m_tickets.erase(aServer) != 0 &&
      answer->second.m_tickets.empty()) {
    m_answers.erase(answer);
  }
}

std::vector<ServerId> AdviceCalls::ServersToAsk(const StepId& aStep, const PoolName& aPool,
                                                const AdviceCosts& aCosts,
                                                const std::vector<ServerView>& aServers)
{
  std::vector<ServerId> servers;
  for (const auto& server : aServers) {
    if (server.m_pool == aPool) {
      servers.push_back(server.m_id);
    }
  }
  const std::size_t count = std::min(servers.size(), MaxAdviceServers(aCosts));
  if (count < servers.size()) {
    std::size_t& first = m_steps[aStep].m_firstServer;
    first %= servers.size();
    std::rotate(servers.begin(), servers.begin() + static_cast<std::ptrdiff_t>(first),
                servers.end());
    first += count;
    servers.resize(count);
  }
  return servers;
}

void AdviceCalls::Ask(const std::vector<StepId>& aSteps, const std::vector<ServerView>& aServers)
{
  const Millis now = MonotonicMs();
  std::erase_if(m_steps, [this](const auto& aEntry) {
    return !m_state.m_jobTable.m_active.contains(aEntry.first.m_job);
  });
  if (!m_state.m_settings.m_advice || m_inFlight || aSteps.empty() || now < m_pausedUntilMs) {
    return;
  }
  const StepId step = *std::ranges::min_element(
    aSteps, {}, [this](const StepId& aStep) { return m_steps[aStep].m_failures; });
  const Job& job = m_state.m_jobTable.m_jobs.at(step.m_job);
  const auto& costs =
    TermsOf(job, FindQueueByName(m_state.m_configuration, job.m_spec.m_queue)).m_advice;
  if (!costs) {
    return;
  }
  const auto servers = ServersToAsk(step, PoolOf(job, m_state.m_configuration), *costs, aServers);
  if (servers.empty()) {
    ++m_steps[step].m_failures; // Steps of other pools come first.
    return;
  }
  const Millis duration = AdviceDurationMs(*costs, servers.size());
  const Millis begin = std::max(now, m_serviceFreeMs);
  const Millis timeout = begin - now + AdviceTimeoutMs(duration, m_doublings);
  m_inFlight = true;
  m_serviceFreeMs = begin + duration;
  LogEvent("job", "ask-advice", "id={} step={} servers={} timeout_ms={} doublings={} waiting={}",
           step.m_job, step.m_step, servers.size(), timeout, m_doublings, aSteps.size());
  platform::AskAdvice(
    m_state.m_client, ToString(*m_state.m_settings.m_advice), step, servers, timeout,
    m_state.Guard([this, step, now, duration](const std::optional<platform::Advice>& aAdvice) {
      OnAnswer(step, now, duration, aAdvice);
    }));
}

void AdviceCalls::OnAnswer(const StepId& aStep, Millis aSentMs, Millis aDurationMs,
                           const std::optional<platform::Advice>& aAdvice)
{
  const Millis now = MonotonicMs();
  m_inFlight = false;
  if (aAdvice && aAdvice->m_malformedRows.m_count != 0) {
    ReportMalformedEntry(m_state.m_metrics, "advice_unreadable_total", "job", aStep.m_job,
                         aAdvice->m_malformedRows.m_cause);
  }
  if (aAdvice) {
    // A slow service stays slow for a while, so the timeout shrinks only when the answer leaves
    // half of the shorter one.
    while (m_doublings > 0 && 2 * (now - aSentMs) < AdviceTimeoutMs(aDurationMs, m_doublings - 1)) {
      --m_doublings;
    }
    m_serviceFreeMs = now;
    m_steps[aStep].m_failures = 0;
    m_answers[aStep] = { aAdvice->m_tickets,
                         std::max(aSentMs + aAdvice->m_validMs, now + kMinTicketUseMs) };
  } else {
    m_pausedUntilMs = now + std::min(kFirstPauseMs << m_doublings, kMaxPauseMs);
    m_doublings = std::min(m_doublings + 1, kMaxDoublings);
    ++m_steps[aStep].m_failures;
    Count(m_state.m_metrics, "advice_failed_total");
  }
  LogEvent("job", "advice", "id={} step={} answered={} good={} after_ms={}", aStep.m_job,
           aStep.m_step, aAdvice.has_value(), aAdvice ? aAdvice->m_tickets.size() : 0,
           now - aSentMs);
  m_onAnswer();
}

} // namespace pistachiostand::fleet
