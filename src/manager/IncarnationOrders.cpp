#include "IncarnationOrders.h"

#include "EventLog.h"
#include "OwnerState.h"

#include "pistachiostand/base/Clock.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace pistachiostand::fleet {

using platform::CallOutcome;

namespace {

/// With less time left for its response, a start is not sent: without a response its work would
/// wait for a lease.
constexpr Millis kMinStartTimeoutMs = 300;
/// Polls to one server at a time that open connections for starts. A report lists all runs there,
/// so that one for each of hundreds of starts would slow both sides down.
constexpr std::size_t kMaxPollsForStarts = 4;

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
  StartQueue& queue = m_queues[aServer.m_address];
  queue.m_starts.push_back(
    { aServer, aOrder, aSendBeforeMs, MonotonicMs() + aTimeoutMs, std::move(aDone) });
  // Otherwise the starts before it wait for a connection, too, and enough polls are in flight.
  if (queue.m_starts.size() == 1 || queue.m_polls < kMaxPollsForStarts) {
    SendQueued(aServer.m_address);
  }
}

void IncarnationOrders::SendQueued(const Endpoint& aAddress)
{
  const auto found = m_queues.find(aAddress);
  if (found == m_queues.end()) {
    return;
  }
  StartQueue& queue = found->second;
  const Millis latestDeadlineMs = MonotonicMs() + kMinStartTimeoutMs;
  std::vector<PendingStart> expired;
  while (!queue.m_starts.empty()) {
    PendingStart& next = queue.m_starts.front();
    if (next.m_deadlineMs < latestDeadlineMs) {
      expired.push_back(std::move(next));
      queue.m_starts.pop_front();
      continue;
    }
    next.m_order.m_establishedByMs = EstablishedByMs(aAddress, next.m_order.m_incarnation);
    if (next.m_order.m_establishedByMs == 0) {
      break;
    }
    SendStart(std::move(next));
    queue.m_starts.pop_front();
  }
  while (queue.m_polls < std::min(queue.m_starts.size(), kMaxPollsForStarts)) {
    ++queue.m_polls;
    PollForStarts(queue.m_starts.front());
  }
  if (queue.m_starts.empty() && queue.m_polls == 0) {
    m_queues.erase(found);
  }
  // A callback may send other orders or destroy this object.
  std::ranges::for_each(expired, [](const PendingStart& aStart) {
    Withhold(aStart, { CallOutcome::NotSent, {} });
  });
}

void IncarnationOrders::Withhold(const PendingStart& aStart, const platform::OrderResult& aResult)
{
  LogEvent("run", "start-withheld", "task={} server={} expected_born={} outcome={}",
           ToString(aStart.m_order.m_run.m_subtask), aStart.m_server.m_id,
           aStart.m_order.m_incarnation, static_cast<int>(aResult.m_outcome));
  aStart.m_done(aResult);
}

void IncarnationOrders::SendStart(PendingStart aStart)
{
  const auto start = std::make_shared<const PendingStart>(std::move(aStart));
  m_orders.Start(
    start->m_server, start->m_order, start->m_sendBeforeMs, start->m_deadlineMs - MonotonicMs(),
    [this, alive = std::weak_ptr<int>(m_alive), start](const platform::OrderResult& aResult) {
      const Endpoint address = start->m_server.m_address;
      // The server had closed the connection, or a newer one was chosen.
      const bool isRepeatable = aResult.m_outcome == CallOutcome::NotSent &&
                                MonotonicMs() + kMinStartTimeoutMs <= start->m_deadlineMs;
      if (isRepeatable && alive.lock()) {
        m_queues[address].m_starts.push_front(*start);
      } else {
        start->m_done(aResult);
      }
      if (alive.lock()) {
        SendQueued(address);
      }
    });
}

void IncarnationOrders::PollForStarts(const PendingStart& aStart)
{
  platform::PollRequest poll;
  poll.m_token = aStart.m_order.m_token;
  poll.m_sendBeforeMs = aStart.m_sendBeforeMs;
  SendPoll(aStart.m_server, poll, aStart.m_deadlineMs - MonotonicMs(),
           [this, alive = std::weak_ptr<int>(m_alive),
            address = aStart.m_server.m_address](const platform::PollResult& aResult) {
             if (alive.lock()) {
               OnPolledForStarts(address, aResult);
             }
           });
}

void IncarnationOrders::OnPolledForStarts(const Endpoint& aAddress,
                                          const platform::PollResult& aResult)
{
  --m_queues.at(aAddress).m_polls;
  const std::weak_ptr<int> alive = m_alive;
  if (aResult.m_outcome == CallOutcome::Done) {
    const std::int64_t reported = aResult.m_report.m_incarnation;
    FinishQueued(
      aAddress, { CallOutcome::IncarnationMismatch, {} },
      [reported](const PendingStart& aStart) { return aStart.m_order.m_incarnation != reported; });
  } else {
    // None of the starts was sent, whatever became of the poll.
    const bool isUnknown = aResult.m_outcome == CallOutcome::Unknown;
    FinishQueued(
      aAddress, { isUnknown ? CallOutcome::NotSent : aResult.m_outcome, { {}, aResult.m_refusal } },
      [](const PendingStart& /*aStart*/) { return true; });
  }
  if (alive.lock()) {
    SendQueued(aAddress);
  }
}

void IncarnationOrders::FinishQueued(const Endpoint& aAddress, const platform::OrderResult& aResult,
                                     const std::function<bool(const PendingStart&)>& aCondition)
{
  const auto found = m_queues.find(aAddress);
  if (found == m_queues.end()) {
    return;
  }
  auto& starts = found->second.m_starts;
  const auto first = std::stable_partition(
    starts.begin(), starts.end(), [&](const PendingStart& aStart) { return !aCondition(aStart); });
  const std::vector<PendingStart> finished{ std::make_move_iterator(first),
                                            std::make_move_iterator(starts.end()) };
  starts.erase(first, starts.end());
  std::ranges::for_each(finished,
                        [&aResult](const PendingStart& aStart) { Withhold(aStart, aResult); });
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
                         if (alive.lock()) {
                           SendQueued(address);
                         }
                       });
}

} // namespace pistachiostand::fleet
