#pragma once

#include "ServerTable.h"
#include "pistachiostand/request/Admission.h"
#include "pistachiostand/request/RetryBudget.h"

#include <functional>
#include <map>
#include <memory>

/// \file
/// \brief Starts queued requests as slots become free.

namespace pistachiostand {

/// \brief A queued request and its callbacks.
struct QueuedCall
{
  QueuedRequest m_request;
  std::function<void(const ServerRef&)> m_start; ///< Called with a server on which a slot is held.
  std::function<void()> m_expire;                ///< Called if the deadline passes in the queue.
};

class Dispatcher
{
public:
  Dispatcher(Runtime& aRuntime, ServerTable& aServers);

  [[nodiscard]] std::uint64_t NextId() noexcept { return ++m_lastId; }

  /// \brief Queues a call and starts it as soon as a server has a free slot.
  [[nodiscard]] std::optional<AdmissionRefusal> Enqueue(QueuedCall aCall, const TenantRule& aRule);

  /// \brief Puts a call that no server has accepted back at the front of its queue.
  void PutBack(QueuedCall aCall);

  /// \brief Ends a started call and starts queued calls of its pool.
  void Finish(const QueuedRequest& aRequest, Millis aRanMs);

  bool Cancel(std::uint64_t aId);

  /// \brief Takes one retry out of the service's budget.
  [[nodiscard]] bool TryTakeRetry(const ServiceName& aService);
  /// \brief Credits the first attempt of a request to the retry budget of the service.
  void CountFirstAttempt(const ServiceName& aService);

  [[nodiscard]] std::vector<QueueCounts> Counts() const;
  [[nodiscard]] std::size_t Waiting() const noexcept { return m_admission.size(); }
  [[nodiscard]] ServerTable& Servers() noexcept { return m_servers; }

private:
  void Pump();
  void PumpPool(const PoolName& aPool);
  /// \brief Starts the next request of the pool; returns false if none can start now.
  bool StartNext(const PoolName& aPool);
  void DropExpired();

  Runtime& m_runtime;
  ServerTable& m_servers;
  Admission m_admission;
  std::map<std::uint64_t, QueuedCall> m_calls;
  std::map<ServiceName, RetryBudget> m_budgets;
  std::uint64_t m_lastId{};
  bool m_pumping{};
  Ticker m_ticker;
};

} // namespace pistachiostand
