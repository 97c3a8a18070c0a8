#include "CarrierPool.h"

#include "EventLog.h"

#include "pistachiostand/base/Clock.h"

#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace pistachiostand::fleet {

namespace {

constexpr Millis kTickMs = 50;
/// Time for the network between owner and carrier, added to the timeout of the backend server.
constexpr Millis kNetworkMarginMs = 300;
/// Set in the ids of calls through carriers, so that they differ from the ids of calls that this
/// instance makes directly with its HTTP client.
constexpr std::uint64_t kCallBit = std::uint64_t{ 1 } << 63U;

} // namespace

CarrierPool::CarrierPool(asio::io_context& aLoop, FencingToken aToken, Metrics& aMetrics)
  : m_loop(aLoop)
  , m_token(aToken)
  , m_metrics(aMetrics)
  , m_lastCall(kCallBit)
  , m_ticker(aLoop, kTickMs, [this] { Tick(); })
{
}

CarrierPool::~CarrierPool()
{
  for (auto& [number, carrier] : m_carriers) {
    carrier.m_link->Close();
  }
}

std::unique_ptr<CarrierPool> CarrierPool::Create(asio::io_context& aLoop, const Endpoint& aListen,
                                                 FencingToken aToken, Metrics& aMetrics,
                                                 Reason& aReason)
{
  std::unique_ptr<CarrierPool> pool{ new CarrierPool{ aLoop, aToken, aMetrics } };
  pool->m_listener = FrameListener::Create(
    aLoop, aListen,
    [self = pool.get()](const std::shared_ptr<FrameLink>& aLink) { return self->OnAccept(aLink); },
    aReason);
  if (!pool->m_listener) {
    return nullptr;
  }
  LogEvent("carrier", "listening", "address={} token={}", ToString(aListen), aToken);
  return pool;
}

FrameHandlers CarrierPool::OnAccept(const std::shared_ptr<FrameLink>& aLink)
{
  const auto number = ++m_lastCarrier;
  Carrier& carrier = m_carriers[number];
  carrier.m_link = aLink;
  carrier.m_heardMs = MonotonicMs();
  return { {},
           [this, number](std::string_view aFrame) { OnFrame(number, aFrame); },
           [this, number](std::string_view aCause) { Remove(number, aCause); } };
}

void CarrierPool::OnFrame(std::uint64_t aCarrier, std::string_view aFrame)
{
  Carrier& carrier = m_carriers.at(aCarrier);
  auto message = DecodeCarrierMessage(aFrame);
  carrier.m_heardMs = MonotonicMs();
  if (!message) {
    fleet::Count(m_metrics, "messages_unreadable_total");
    Remove(aCarrier, "a message cannot be read");
  } else if (const auto* hello = std::get_if<CarrierHello>(&*message)) {
    OnHello(carrier, *hello);
  } else if (const auto* heartbeat = std::get_if<CarrierHeartbeat>(&*message)) {
    carrier.m_carrierClockMs = heartbeat->m_clockMs;
    if (!carrier.m_view.m_process.empty() && !std::exchange(carrier.m_ready, true)) {
      LogEvent("carrier", "joined", "process={} zone={} cores={}", carrier.m_view.m_process,
               carrier.m_view.m_zone, carrier.m_view.m_processorShare);
      m_zones.insert(carrier.m_view.m_zone);
      ChooseInUse();
    }
  } else if (const auto* results = std::get_if<ResultBatch>(&*message)) {
    OnResults(aCarrier, *results);
  }
}

void CarrierPool::OnHello(Carrier& aCarrier, const CarrierHello& aHello)
{
  aCarrier.m_view = { aHello.m_process, aHello.m_zone, aHello.m_processorShare };
  aCarrier.m_link->Send(EncodeCarrierMessage(CarrierHeartbeat{ MonotonicMs(), aHello.m_clockMs }));
}

void CarrierPool::OnResults(std::uint64_t aCarrier, const ResultBatch& aBatch)
{
  for (const auto& result : aBatch.m_results) {
    const auto call = m_calls.find(result.m_call);
    if (call == m_calls.end() || call->second.m_carrier != aCarrier) {
      continue; // Cancelled, timed out, or sent to another carrier.
    }
    const auto fault = ValidationErrorOf(result);
    if (fault.empty()) {
      Finish(result.m_call, result);
      continue;
    }
    LogEvent("carrier", "result-unreadable", "carrier={} cause={}", aCarrier, fault);
    fleet::Count(m_metrics, "messages_unreadable_total");
    Finish(result.m_call, { result.m_call, platform::CallOutcome::Unknown, {}, {}, {} });
  }
}

void CarrierPool::Finish(std::uint64_t aCall, const CarriedResult& aResult)
{
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end()) {
    return; // Cancelled or timed out.
  }
  const auto done = std::move(found->second.m_done);
  m_calls.erase(found);
  done(aResult);
}

void CarrierPool::Remove(std::uint64_t aCarrier, std::string_view aCause)
{
  const auto found = m_carriers.find(aCarrier);
  if (found == m_carriers.end()) {
    return;
  }
  found->second.m_link->Close();
  std::vector<std::uint64_t> lost;
  for (const auto& [call, entry] : m_calls) {
    if (entry.m_carrier == aCarrier) {
      lost.push_back(call);
    }
  }
  LogEvent("carrier", "left", "process={} cause={} silent_ms={} orders={}",
           found->second.m_view.m_process, aCause, MonotonicMs() - found->second.m_heardMs,
           lost.size());
  m_carriers.erase(found);
  ChooseInUse();
  for (const auto call : lost) {
    Finish(call, { call, platform::CallOutcome::Unknown, {}, {}, {} });
  }
}

void CarrierPool::ChooseInUse()
{
  std::vector<CarrierView> ready;
  std::map<std::string, std::uint64_t> numbers;
  for (const auto& [number, carrier] : m_carriers) {
    // A later connection of a process replaces an earlier one whose loss is not detected yet.
    if (carrier.m_ready && !numbers.insert_or_assign(carrier.m_view.m_process, number).second) {
      std::erase_if(ready, [&carrier = carrier](const CarrierView& aView) {
        return aView.m_process == carrier.m_view.m_process;
      });
    }
    if (carrier.m_ready) {
      ready.push_back(carrier.m_view);
    }
  }
  m_inUse = SelectCarriers(std::move(ready));
  m_inUseNumbers.clear();
  std::ranges::transform(m_inUse, std::back_inserter(m_inUseNumbers),
                         [&numbers](const auto& aView) { return numbers.at(aView.m_process); });
  m_chosen.clear();
}

std::uint64_t CarrierPool::Send(const ZoneName& aZone, CarriedOrder aOrder, Done aDone)
{
  if (m_inUse.empty()) {
    return 0;
  }
  auto chosen = m_chosen.find(aOrder.m_server);
  if (chosen == m_chosen.end()) {
    const auto index = ChooseCarrier(m_inUse, aZone, aOrder.m_server);
    chosen = m_chosen.emplace(aOrder.m_server, m_inUseNumbers.at(*index)).first;
  }
  aOrder.m_call = ++m_lastCall;
  m_calls.emplace(aOrder.m_call,
                  Call{ chosen->second, MonotonicMs() + aOrder.m_timeoutMs + kNetworkMarginMs,
                        std::move(aDone) });
  m_carriers.at(chosen->second).m_batch.m_orders.push_back(std::move(aOrder));
  fleet::Count(m_metrics, "orders_carried_total");
  FlushSoon();
  return m_lastCall;
}

void CarrierPool::Cancel(std::uint64_t aCall)
{
  const auto call = m_calls.find(aCall);
  if (call == m_calls.end()) {
    return;
  }
  if (const auto carrier = m_carriers.find(call->second.m_carrier); carrier != m_carriers.end()) {
    std::erase_if(carrier->second.m_batch.m_orders,
                  [aCall](const CarriedOrder& aOrder) { return aOrder.m_call == aCall; });
  }
  m_calls.erase(call);
}

bool CarrierPool::HasLostOtherZones(const ZoneName& aZone) const
{
  const auto isOther = [&aZone](const ZoneName& aOne) { return aOne != aZone; };
  return std::ranges::any_of(m_zones, isOther) &&
         std::ranges::none_of(m_carriers, [&isOther](const auto& aEntry) {
           return aEntry.second.m_ready && isOther(aEntry.second.m_view.m_zone);
         });
}

void CarrierPool::FlushSoon()
{
  if (!std::exchange(m_flushing, true)) {
    asio::post(m_loop, [this, alive = std::weak_ptr<int>(m_alive)] {
      if (alive.lock()) {
        Flush();
      }
    });
  }
}

void CarrierPool::Flush()
{
  m_flushing = false;
  for (auto& [number, carrier] : m_carriers) {
    if (!carrier.m_batch.m_orders.empty()) {
      OrderBatch batch = std::exchange(carrier.m_batch, {});
      batch.m_token = m_token;
      batch.m_clockMs = MonotonicMs();
      carrier.m_link->Send(EncodeCarrierMessage(std::move(batch)));
    }
  }
}

void CarrierPool::Tick()
{
  const Millis now = MonotonicMs();
  std::vector<std::uint64_t> silent;
  for (const auto& [number, carrier] : m_carriers) {
    if (now - carrier.m_heardMs > kCarrierTimeoutMs) {
      silent.push_back(number);
    } else if (carrier.m_ready &&
               now / kCarrierHeartbeatMs != (now - kTickMs) / kCarrierHeartbeatMs) {
      carrier.m_link->Send(EncodeCarrierMessage(CarrierHeartbeat{ now, carrier.m_carrierClockMs }));
    }
  }
  for (const auto number : silent) {
    Remove(number, "silent");
  }
  std::vector<std::uint64_t> expired;
  for (const auto& [call, entry] : m_calls) {
    if (now > entry.m_endMs) {
      expired.push_back(call);
    }
  }
  if (!expired.empty()) {
    LogEvent("carrier", "no-result", "orders={}", expired.size());
    fleet::Count(m_metrics, "orders_without_result_total", expired.size());
  }
  for (const auto call : expired) {
    Finish(call, { call, platform::CallOutcome::Unknown, {}, {}, {} });
  }
}

} // namespace pistachiostand::fleet
