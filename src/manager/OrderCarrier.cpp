#include "OrderCarrier.h"

#include "BackOff.h"
#include "CarrierPool.h"
#include "EventLog.h"
#include "MalformedEntry.h"

#include "pistachiostand/base/Clock.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace pistachiostand::fleet {

namespace {

constexpr Millis kTickMs = 100;
constexpr Millis kDialTimeoutMs = 400;
/// Pauses between failed connection attempts, in milliseconds. The owner of a small fleet does not
/// listen, so the attempts become infrequent.
constexpr BackOffRange kDialPause{ 300, 5'000 };
/// Delay for gathering results into a batch; short compared with the duration of runs.
constexpr Millis kResultBatchDelayMs = 3;
/// With a longer round trip the owner's clock is not known accurately enough.
constexpr Millis kMaxRoundTripMs = 1'000;
/// Above this round trip the clock is requested again, because this side treats orders as expired
/// earlier by up to the round trip.
constexpr Millis kGoodRoundTripMs = 50;
/// Delay of the first attempt after a change of owner; the new owner listens from the start.
constexpr Millis kFirstDialMs = 100;

} // namespace

Endpoint CarrierEndpoint(const Endpoint& aEntryListen) noexcept
{
  return { aEntryListen.m_ip, static_cast<std::uint16_t>(aEntryListen.m_port + 1) };
}

OrderCarrier::OrderCarrier(asio::io_context& aLoop, HttpClient& aClient,
                           const EntrySettings& aSettings, std::string aProcess,
                           const OwnershipView& aView, Metrics& aMetrics)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_process(std::move(aProcess))
  , m_view(aView)
  , m_metrics(aMetrics)
  , m_orders(aClient)
  , m_flushTimer(aLoop)
  , m_ticker(aLoop, kTickMs, [this] { Tick(); })
{
}

OrderCarrier::~OrderCarrier()
{
  Stop();
}

void OrderCarrier::Stop()
{
  m_stopped = true;
  if (m_link) {
    m_link->Close();
    m_link.reset();
  }
}

void OrderCarrier::Tick()
{
  const Millis now = MonotonicMs();
  if (m_stopped) {
    return;
  }
  if (m_view.m_owner != m_owner) {
    Disconnect("the owner has changed");
    m_owner = m_view.m_owner;
    m_failures = 0;
    m_dialAfterMs = now + (m_wasAccepted ? kFirstDialMs : BackOffMs(kDialPause, 0));
  }
  if (m_link && m_open && now - m_heardMs > kCarrierTimeoutMs) {
    Disconnect("silent");
  }
  if (!m_link) {
    Dial(now);
  } else if (m_open && now - m_lastHeartbeatMs >= kCarrierHeartbeatMs) {
    m_lastHeartbeatMs = now;
    if (m_clockOffsetMs && m_roundTripMs <= kGoodRoundTripMs) {
      m_link->Send(EncodeCarrierMessage(CarrierHeartbeat{ now, 0 }));
    } else {
      SendHello();
    }
  }
}

void OrderCarrier::Dial(Millis aNowMs)
{
  const auto entry = ParseEndpoint(m_view.m_address);
  if (m_owner.empty() || m_owner == m_process || !entry || aNowMs < m_dialAfterMs) {
    return;
  }
  const auto number = ++m_linkNumber;
  const auto alive = std::weak_ptr<int>(m_alive);
  // Events of earlier connections are ignored.
  const auto current = [this, number, alive] { return alive.lock() && number == m_linkNumber; };
  m_link = FrameLink::Dial(m_loop, CarrierEndpoint(*entry), kDialTimeoutMs,
                           { [this, current] {
                              if (current()) {
                                m_open = true;
                                m_heardMs = MonotonicMs();
                                SendHello();
                              }
                            },
                             [this, current](std::string_view aFrame) {
                               if (current()) {
                                 OnFrame(aFrame);
                               }
                             },
                             [this, current](std::string_view aCause) {
                               if (current()) {
                                 Disconnect(aCause);
                               }
                             } });
}

void OrderCarrier::Disconnect(std::string_view aCause)
{
  if (!m_link) {
    return;
  }
  m_link->Close();
  m_link.reset();
  if (std::exchange(m_open, false)) {
    LogEvent("carrier", "connection-lost", "owner={} cause={}", m_owner, aCause);
    m_failures = 0;
  }
  ++m_linkNumber;
  m_dialAfterMs = MonotonicMs() + BackOffMs(kDialPause, m_failures++);
  m_clockOffsetMs.reset();
  m_results.m_results.clear();
}

void OrderCarrier::SendHello()
{
  m_lastHeartbeatMs = MonotonicMs();
  m_link->Send(EncodeCarrierMessage(
    CarrierHello{ m_process, m_settings.m_zone, m_settings.m_processorShare, m_lastHeartbeatMs }));
}

void OrderCarrier::OnFrame(std::string_view aFrame)
{
  m_heardMs = MonotonicMs();
  const auto message = DecodeCarrierMessage(aFrame);
  if (!message) {
    Count(m_metrics, "messages_unreadable_total");
    Disconnect("a message cannot be read");
  } else if (const auto* heartbeat = std::get_if<CarrierHeartbeat>(&*message)) {
    OnHeartbeat(*heartbeat);
  } else if (const auto* orders = std::get_if<OrderBatch>(&*message)) {
    OnOrders(*orders);
  }
}

void OrderCarrier::OnHeartbeat(const CarrierHeartbeat& aHeartbeat)
{
  const Millis roundTrip = m_heardMs - aHeartbeat.m_echoMs;
  if (aHeartbeat.m_echoMs == 0 || roundTrip < 0 || roundTrip > kMaxRoundTripMs) {
    return;
  }
  const bool first = !m_clockOffsetMs.has_value();
  if (first || roundTrip < m_roundTripMs) {
    m_roundTripMs = roundTrip;
    m_clockOffsetMs = m_heardMs - aHeartbeat.m_clockMs - roundTrip;
  }
  m_wasAccepted = true;
  if (first) {
    LogEvent("carrier", "carries", "owner={} round_trip_ms={}", m_owner, roundTrip);
    m_failures = 0;
    m_link->Send(EncodeCarrierMessage(CarrierHeartbeat{ m_heardMs, 0 }));
  }
}

void OrderCarrier::OnOrders(const OrderBatch& aBatch)
{
  const Millis now = MonotonicMs();
  for (const auto& order : aBatch.m_orders) {
    const auto fault = ValidationErrorOf(order);
    if (!fault.empty()) {
      LogEvent("carrier", "order-unreadable", "server={} cause={}", Printable(order.m_server),
               fault);
      Count(m_metrics, "messages_unreadable_total");
      Add({ order.m_call, platform::CallOutcome::NotSent, {}, {}, {} });
      continue;
    }
    const bool expired = order.m_sendBeforeMs != 0 &&
                         (!m_clockOffsetMs || now > order.m_sendBeforeMs + *m_clockOffsetMs);
    if (expired || aBatch.m_token < m_view.m_token) {
      LogEvent("carrier", "order-too-late", "server={} kind={} token={} newest_token={}",
               order.m_server, static_cast<int>(order.m_kind), aBatch.m_token, m_view.m_token);
      Count(m_metrics, "orders_too_late_total");
      Add({ order.m_call, platform::CallOutcome::NotSent, {}, {}, {} });
    } else {
      SendToServer(order, aBatch.m_token);
    }
  }
}

void OrderCarrier::SendToServer(const CarriedOrder& aOrder, FencingToken aToken)
{
  const auto address = ParseEndpoint(aOrder.m_address);
  if (!address) {
    Add({ aOrder.m_call, platform::CallOutcome::NotSent, {}, {}, {} });
    return;
  }
  Count(m_metrics, "orders_carried_for_owner_total");
  ServerRegistration server;
  server.m_id = aOrder.m_server;
  server.m_address = *address;
  const RunRef run{ aOrder.m_subtask, aOrder.m_run, aOrder.m_server };
  const platform::Permission permission{
    aToken, aOrder.m_sendBeforeMs == 0 ? 0 : aOrder.m_sendBeforeMs + m_clockOffsetMs.value_or(0)
  };
  const auto guarded = [this, number = m_linkNumber, call = aOrder.m_call,
                        alive = std::weak_ptr<int>(m_alive)](auto aMake) {
    return [this, number, call, alive, make = std::move(aMake)](const auto& aResult) {
      if (alive.lock() && number == m_linkNumber) {
        CarriedResult result = make(aResult);
        result.m_call = call;
        Add(std::move(result));
      }
    };
  };
  const auto answered = guarded([](const platform::OrderResult& aResult) {
    return CarriedResult{
      0, aResult.m_outcome, aResult.m_response.m_refusal, aResult.m_response.m_clockMs, {}
    };
  });
  switch (aOrder.m_kind) {
    case OrderKind::Start:
      m_orders.Start(server,
                     { run, aOrder.m_payload, aOrder.m_checkpoint, aOrder.m_ticket,
                       aOrder.m_leaseEndMs, aToken, aOrder.m_incarnation, 0 },
                     permission.m_sendBeforeMs, aOrder.m_timeoutMs, answered);
      break;
    case OrderKind::Stop:
      m_orders.Stop(server, run, permission, aOrder.m_timeoutMs, answered);
      break;
    case OrderKind::Throttle:
      m_orders.Throttle(server, run, aOrder.m_percent, permission, aOrder.m_timeoutMs, answered);
      break;
    case OrderKind::Poll:
      m_orders.Poll(server,
                    { aOrder.m_leaseEndMs, aToken, aOrder.m_acknowledged, aOrder.m_waitMs,
                      permission.m_sendBeforeMs, aOrder.m_incarnation, 0 },
                    aOrder.m_timeoutMs,
                    guarded([this, id = aOrder.m_server](const platform::PollResult& aResult) {
                      if (aResult.m_malformedRows.m_count != 0) {
                        ReportMalformedEntry(m_metrics, "reports_unreadable_total", "run", id,
                                             aResult.m_malformedRows.m_cause);
                      }
                      CarriedResult result{ 0, aResult.m_outcome, aResult.m_refusal, {}, {} };
                      if (aResult.m_outcome == platform::CallOutcome::Done) {
                        result.m_report = aResult.m_report;
                      }
                      return result;
                    }));
      break;
  }
}

void OrderCarrier::Add(CarriedResult aResult)
{
  m_results.m_results.push_back(std::move(aResult));
  if (std::exchange(m_flushing, true)) {
    return;
  }
  m_flushTimer.expires_after(std::chrono::milliseconds{ kResultBatchDelayMs });
  m_flushTimer.async_wait([this, alive = std::weak_ptr<int>(m_alive)](const auto& aError) {
    if (!aError && alive.lock()) {
      Flush();
    }
  });
}

void OrderCarrier::Flush()
{
  m_flushing = false;
  if (m_link && m_open && !m_results.m_results.empty()) {
    m_results.m_clockMs = MonotonicMs();
    m_link->Send(EncodeCarrierMessage(std::exchange(m_results, {})));
  }
}

} // namespace pistachiostand::fleet
