#include "IncarnationOrders.h"

#include "EventLog.h"
#include "OwnerState.h"

#include "pistachiostand/base/Clock.h"

#include <utility>

namespace pistachiostand::fleet {

using platform::CallOutcome;

namespace {

/// With less time left for its response, a start is not sent: without a response its work would
/// wait for a lease.
constexpr Millis kMinStartTimeoutMs = 300;

} // namespace

Millis IncarnationOrders::EstablishedByMs(const Endpoint& aAddress, std::int64_t aIncarnation) const
{
  const auto report = m_reports.find(aAddress);
  const bool isKnown =
    report != m_reports.end() && report->second.m_incarnation == aIncarnation &&
    m_client.HasIdleConnection("http://" + ToString(aAddress), report->second.m_sentMs);
  return isKnown ? report->second.m_sentMs : 0;
}

void IncarnationOrders::Start(const ServerRegistration& aServer, const platform::StartOrder& aOrder,
                              Millis aSendBeforeMs, Millis aTimeoutMs,
                              platform::OrderCallback aDone)
{
  if (aOrder.m_incarnation == 0) {
    m_orders.Start(aServer, aOrder, aSendBeforeMs, aTimeoutMs, std::move(aDone));
    return;
  }
  PendingStart start{ aServer, aOrder, aSendBeforeMs, MonotonicMs() + aTimeoutMs,
                      std::move(aDone) };
  start.m_order.m_establishedByMs = EstablishedByMs(aServer.m_address, aOrder.m_incarnation);
  if (start.m_order.m_establishedByMs == 0) {
    PollThenStart(std::move(start));
  } else {
    SendStart(std::move(start));
  }
}

void IncarnationOrders::SendStart(PendingStart aStart)
{
  const auto start = std::make_shared<const PendingStart>(std::move(aStart));
  m_orders.Start(
    start->m_server, start->m_order, start->m_sendBeforeMs, start->m_deadlineMs - MonotonicMs(),
    [this, alive = std::weak_ptr<int>(m_alive), start](const platform::OrderResult& aResult) {
      // The server had closed the connection, or a newer one was chosen.
      const bool isRepeatable = aResult.m_outcome == CallOutcome::NotSent &&
                                MonotonicMs() + kMinStartTimeoutMs <= start->m_deadlineMs;
      if (isRepeatable && alive.lock()) {
        PollThenStart(*start);
      } else {
        start->m_done(aResult);
      }
    });
}

void IncarnationOrders::PollThenStart(PendingStart aStart)
{
  const auto start = std::make_shared<const PendingStart>(std::move(aStart));
  platform::PollRequest poll;
  poll.m_token = start->m_order.m_token;
  poll.m_sendBeforeMs = start->m_sendBeforeMs;
  SendPoll(start->m_server, poll, start->m_deadlineMs - MonotonicMs(),
           [this, alive = std::weak_ptr<int>(m_alive), start](const platform::PollResult& aResult) {
             if (!alive.lock()) {
               return;
             }
             const std::int64_t reported = aResult.m_report.m_incarnation;
             const bool isTooLate = MonotonicMs() + kMinStartTimeoutMs > start->m_deadlineMs;
             if (aResult.m_outcome == CallOutcome::Done &&
                 reported != start->m_order.m_incarnation) {
               LogEvent("run", "start-withheld", "task={} server={} born={} expected_born={}",
                        ToString(start->m_order.m_run.m_subtask), start->m_server.m_id, reported,
                        start->m_order.m_incarnation);
               start->m_done({ CallOutcome::IncarnationMismatch, {} });
             } else if (aResult.m_outcome == CallOutcome::Unknown ||
                        (aResult.m_outcome == CallOutcome::Done && isTooLate)) {
               start->m_done({ CallOutcome::NotSent, {} });
             } else if (aResult.m_outcome != CallOutcome::Done) {
               start->m_done({ aResult.m_outcome, { {}, aResult.m_refusal } });
             } else {
               // A later poll may have been answered before, and its connection may be chosen.
               const LastReport& last = m_reports.at(start->m_server.m_address);
               PendingStart next = *start;
               next.m_order.m_establishedByMs =
                 last.m_incarnation == reported ? last.m_sentMs : aResult.m_sentMs;
               SendStart(std::move(next));
             }
           });
}

std::uint64_t IncarnationOrders::Poll(const ServerRegistration& aServer,
                                      platform::PollRequest aRequest, Millis aTimeoutMs,
                                      std::function<void(const platform::PollResult&)> aDone)
{
  const bool isForOneIncarnation = aRequest.m_leaseEndMs != 0 || aRequest.m_acknowledged != 0;
  if (aRequest.m_incarnation == 0 || !isForOneIncarnation) {
    return SendPoll(aServer, aRequest, aTimeoutMs, std::move(aDone));
  }
  platform::PollRequest forAny = aRequest;
  forAny.m_leaseEndMs = 0;
  forAny.m_acknowledged = 0;
  forAny.m_waitMs = 0;
  aRequest.m_establishedByMs = EstablishedByMs(aServer.m_address, aRequest.m_incarnation);
  if (aRequest.m_establishedByMs == 0) {
    return SendPoll(aServer, forAny, aTimeoutMs, std::move(aDone));
  }
  const auto call = std::make_shared<std::uint64_t>();
  const Millis deadline = MonotonicMs() + aTimeoutMs;
  *call = SendPoll(aServer, aRequest, aTimeoutMs,
                   [this, alive = std::weak_ptr<int>(m_alive), aServer, forAny, deadline, call,
                    done = std::move(aDone)](const platform::PollResult& aResult) {
                     const Millis left = deadline - MonotonicMs();
                     // The server had closed the connection meanwhile.
                     if (aResult.m_outcome == CallOutcome::NotSent && left > 0 && alive.lock()) {
                       RepeatPoll(*call, aServer, forAny, left, done);
                     } else {
                       done(aResult);
                     }
                   });
  return *call;
}

void IncarnationOrders::RepeatPoll(std::uint64_t aCall, const ServerRegistration& aServer,
                                   const platform::PollRequest& aRequest, Millis aTimeoutMs,
                                   std::function<void(const platform::PollResult&)> aDone)
{
  m_repeatedPolls[aCall] = SendPoll(aServer, aRequest, aTimeoutMs,
                                    [this, alive = std::weak_ptr<int>(m_alive), aCall,
                                     done = std::move(aDone)](const platform::PollResult& aResult) {
                                      if (alive.lock()) {
                                        m_repeatedPolls.erase(aCall);
                                      }
                                      done(aResult);
                                    });
}

void IncarnationOrders::Cancel(std::uint64_t aCall)
{
  const auto repeated = m_repeatedPolls.extract(aCall);
  m_client.Cancel(repeated ? repeated.mapped() : aCall);
}

std::uint64_t IncarnationOrders::SendPoll(const ServerRegistration& aServer,
                                          const platform::PollRequest& aRequest, Millis aTimeoutMs,
                                          std::function<void(const platform::PollResult&)> aDone)
{
  return m_orders.Poll(aServer, aRequest, aTimeoutMs,
                       [this, alive = std::weak_ptr<int>(m_alive), address = aServer.m_address,
                        done = std::move(aDone)](const platform::PollResult& aResult) {
                         if (aResult.m_outcome == CallOutcome::Done && alive.lock()) {
                           LastReport& last = m_reports[address];
                           // Responses may overtake each other.
                           if (aResult.m_sentMs > last.m_sentMs) {
                             last = { aResult.m_report.m_incarnation, aResult.m_sentMs };
                           }
                         }
                         done(aResult);
                       });
}

} // namespace pistachiostand::fleet
