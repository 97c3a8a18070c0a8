#include "OrderRouter.h"

#include "EventLog.h"

#include "pistachiostand/base/Clock.h"

#include <utility>

namespace pistachiostand::fleet {

namespace {

/// Orders to a backend server that its carrier could not reach are sent directly for this long,
/// because the server may be cut off from the carrier only.
constexpr Millis kDirectMs = 3'000;

platform::OrderResult ToOrderResult(const CarriedResult& aResult)
{
  return { aResult.m_outcome, { aResult.m_clockMs, aResult.m_refusal } };
}

CarriedOrder MakeOrder(OrderKind aKind, const RunRef& aRun, Millis aSendBeforeMs, Millis aTimeoutMs)
{
  CarriedOrder order;
  order.m_kind = aKind;
  order.m_subtask = aRun.m_subtask;
  order.m_run = aRun.m_run;
  order.m_sendBeforeMs = aSendBeforeMs;
  order.m_timeoutMs = aTimeoutMs;
  return order;
}

} // namespace

bool OrderRouter::UsesCarrier(const ServerId& aServer)
{
  if (!m_carriers) {
    return false;
  }
  const auto direct = m_directUntilMs.find(aServer);
  if (direct == m_directUntilMs.end()) {
    return true;
  }
  if (MonotonicMs() < direct->second) {
    return false;
  }
  m_directUntilMs.erase(direct);
  return true;
}

std::uint64_t OrderRouter::SendThroughCarrier(const ServerRegistration& aServer,
                                              CarriedOrder aOrder, ResultCallback aDone)
{
  if (!UsesCarrier(aServer.m_id)) {
    return 0;
  }
  aOrder.m_server = aServer.m_id;
  aOrder.m_address = ToString(aServer.m_address);
  return m_carriers->Send(
    aServer.m_zone, std::move(aOrder),
    [this, id = aServer.m_id, done = std::move(aDone)](const CarriedResult& aResult) {
      if (aResult.m_outcome == platform::CallOutcome::Unknown ||
          aResult.m_outcome == platform::CallOutcome::NotSent) {
        m_directUntilMs[id] = MonotonicMs() + kDirectMs;
        LogEvent("carrier", "not-reached", "server={} outcome={}", id,
                 static_cast<int>(aResult.m_outcome));
      }
      done(aResult);
    });
}

void OrderRouter::Start(const ServerRegistration& aServer, const platform::StartOrder& aOrder,
                        Millis aSendBeforeMs, Millis aTimeoutMs, platform::OrderCallback aDone)
{
  auto order = MakeOrder(OrderKind::Start, aOrder.m_run, aSendBeforeMs, aTimeoutMs);
  order.m_payload = aOrder.m_payload;
  order.m_checkpoint = aOrder.m_checkpoint;
  order.m_ticket = aOrder.m_ticket;
  order.m_leaseEndMs = aOrder.m_leaseEndMs;
  order.m_incarnation = aOrder.m_incarnation;
  if (SendThroughCarrier(aServer, std::move(order), [aDone](const CarriedResult& aResult) {
        aDone(ToOrderResult(aResult));
      }) == 0) {
    m_direct.Start(aServer, aOrder, aSendBeforeMs, aTimeoutMs, std::move(aDone));
  }
}

void OrderRouter::Stop(const ServerRegistration& aServer, const RunRef& aRun,
                       const platform::Permission& aPermission, Millis aTimeoutMs,
                       platform::OrderCallback aDone)
{
  if (SendThroughCarrier(
        aServer, MakeOrder(OrderKind::Stop, aRun, aPermission.m_sendBeforeMs, aTimeoutMs),
        [aDone](const CarriedResult& aResult) { aDone(ToOrderResult(aResult)); }) == 0) {
    m_direct.Stop(aServer, aRun, aPermission, aTimeoutMs, std::move(aDone));
  }
}

void OrderRouter::Throttle(const ServerRegistration& aServer, const RunRef& aRun, int aPercent,
                           const platform::Permission& aPermission, Millis aTimeoutMs,
                           platform::OrderCallback aDone)
{
  auto order = MakeOrder(OrderKind::Throttle, aRun, aPermission.m_sendBeforeMs, aTimeoutMs);
  order.m_percent = aPercent;
  if (SendThroughCarrier(aServer, std::move(order), [aDone](const CarriedResult& aResult) {
        aDone(ToOrderResult(aResult));
      }) == 0) {
    m_direct.Throttle(aServer, aRun, aPercent, aPermission, aTimeoutMs, std::move(aDone));
  }
}

std::uint64_t OrderRouter::Poll(const ServerRegistration& aServer,
                                const platform::PollRequest& aOrder, Millis aTimeoutMs,
                                std::function<void(const platform::PollResult&)> aDone)
{
  auto order = MakeOrder(OrderKind::Poll, {}, aOrder.m_sendBeforeMs, aTimeoutMs);
  order.m_leaseEndMs = aOrder.m_leaseEndMs;
  order.m_acknowledged = aOrder.m_acknowledged;
  order.m_incarnation = aOrder.m_incarnation;
  order.m_waitMs = aOrder.m_waitMs;
  const auto call =
    SendThroughCarrier(aServer, std::move(order), [aDone](const CarriedResult& aResult) {
      platform::PollResult result{ aResult.m_outcome, aResult.m_refusal, {}, {}, {} };
      if (aResult.m_report) {
        result.m_report = *aResult.m_report;
      } else if (aResult.m_outcome == platform::CallOutcome::Done) {
        result.m_outcome = platform::CallOutcome::Unknown;
      }
      aDone(result);
    });
  return call != 0 ? call : m_direct.Poll(aServer, aOrder, aTimeoutMs, std::move(aDone));
}

void OrderRouter::Cancel(std::uint64_t aCall)
{
  // The ids of the two are disjoint; each ignores those of the other.
  m_direct.Cancel(aCall);
  if (m_carriers) {
    m_carriers->Cancel(aCall);
  }
}

} // namespace pistachiostand::fleet
