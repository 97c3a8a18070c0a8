#pragma once

/// \file
/// \brief Virtual time, seeded load and fake backend servers for the admission experiment.

#include "pistachiostand/request/Admission.h"
#include "pistachiostand/request/Placement.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace pistachiostand::experiment {

using Micros = std::int64_t;

constexpr Micros kMilli = 1'000;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kLoadEnd = 60 * kSecond;
constexpr Micros kBurstDuration = 4 * kSecond;
/// Services with bursts. Each has a pool of its own, so this is also the number of pools.
constexpr std::size_t kBurstServices = 5;
constexpr std::size_t kServersPerPool = 10;
constexpr std::uint32_t kSlots = 8;
constexpr std::size_t kEntries = 9;
constexpr std::size_t kTenants = 6;
constexpr double kBusyTenantShare = 0.6;
/// Mean share of a pool's slots in use; a burst of 5 times this load needs 1.5 times the slots.
constexpr double kMeanUtilization = 0.3;

/// \brief Discrete-event loop.
class Simulation
{
public:
  void At(Micros aTime, std::function<void()> aAction)
  {
    m_events.push({ std::max(aTime, m_now), m_sequence++, std::move(aAction) });
  }
  void After(Micros aDelay, std::function<void()> aAction)
  {
    At(m_now + aDelay, std::move(aAction));
  }
  void Run(Micros aEnd)
  {
    while (!m_events.empty() && m_events.top().m_time <= aEnd) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_time;
      event.m_action();
    }
  }
  [[nodiscard]] Micros Now() const noexcept { return m_now; }
  [[nodiscard]] Millis NowMs() const noexcept { return m_now / kMilli; }

private:
  struct Event
  {
    Micros m_time;
    std::uint64_t m_sequence;
    std::function<void()> m_action;
    bool operator<(const Event& aOther) const noexcept
    {
      return std::pair{ m_time, m_sequence } > std::pair{ aOther.m_time, aOther.m_sequence };
    }
  };
  std::priority_queue<Event> m_events;
  std::uint64_t m_sequence{};
  Micros m_now{};
};

struct Service
{
  ServiceName m_name;
  std::size_t m_pool{};
  ServiceClass m_class{};
  Millis m_meanRunMs{};
  Millis m_timeoutMs{};
  bool m_idempotent{};
  int m_burstIndex{ -1 }; ///< Position in the sequence of bursts; -1 for a constant load.
  double m_utilization{ kMeanUtilization };
};

struct Deployment
{
  std::string m_name;
  std::size_t m_zones{};
  Micros m_zoneLatency{};
  std::vector<Service> m_services;
};

/// \brief The two example deployments of section 1.2 of the design document. Their sixth service is
/// overnight work in the pool of the first one, so that two classes compete for one pool.
inline std::vector<Deployment> Deployments()
{
  using enum ServiceClass;
  return { { "Spokecalc South",
             3,
             500,
             { { "lookups", 0, Urgent, 60, 800, true, 0 },
               { "quoting", 1, Urgent, 120, 1'400, true, 1 },
               { "builds", 2, Batch, 400, 10'000, false, 2 },
               { "tension", 3, Batch, 250, 5'000, true, 3 },
               { "admin", 4, Batch, 150, 5'000, true, 4 },
               { "refresh", 0, Overnight, 500, 60'000, true, -1, 0.03 } } },
           { "Dijleland",
             4,
             1'500,
             { { "portal", 0, Urgent, 50, 1'000, true, 0 },
               { "reminders", 1, Batch, 200, 20'000, false, 1 },
               { "matching", 2, Batch, 150, 10'000, true, 2 },
               { "billing", 3, Overnight, 500, 60'000, true, 3 },
               { "bookkeeping", 4, Batch, 300, 10'000, true, 4 },
               { "archive", 0, Overnight, 500, 60'000, true, -1, 0.03 } } } };
}

struct Arrival
{
  Micros m_time{};
  std::size_t m_service{};
  std::size_t m_tenant{};
  std::size_t m_entry{};
  Micros m_run{};
};

/// \brief Load of a service at `aTime`, relative to its mean.
inline double LoadFactor(const Service& aService, Micros aTime)
{
  if (aService.m_burstIndex < 0) {
    return 1;
  }
  const auto burstIndex =
    static_cast<int>(aTime / kBurstDuration % static_cast<Micros>(kBurstServices));
  return burstIndex == aService.m_burstIndex ? 5.0 : 0.05;
}

inline Arrival MakeArrival(Micros aTime, std::size_t aIndex, const Service& aService,
                           Random& aRandom)
{
  constexpr double kSigma = 0.5;
  std::lognormal_distribution<double> run(
    std::log(static_cast<double>(aService.m_meanRunMs * kMilli)) - kSigma * kSigma / 2, kSigma);
  const bool isBusy = std::bernoulli_distribution{ kBusyTenantShare }(aRandom);
  const std::size_t tenant = isBusy ? 0 : 1 + aRandom() % (kTenants - 1);
  return { aTime, aIndex, tenant, aRandom() % kEntries, static_cast<Micros>(run(aRandom)) };
}

/// \brief Poisson arrivals; all policies receive the same arrivals for a seed.
inline std::vector<Arrival> MakeLoad(const Deployment& aDeployment, Random& aRandom)
{
  std::vector<Arrival> load;
  for (std::size_t index = 0; index < aDeployment.m_services.size(); ++index) {
    const Service& service = aDeployment.m_services[index];
    const double meanRate = service.m_utilization * kServersPerPool * kSlots /
                            static_cast<double>(service.m_meanRunMs * kMilli);
    std::exponential_distribution<double> gap(meanRate * 5);
    for (double time = gap(aRandom); time < kLoadEnd; time += gap(aRandom)) {
      const auto now = static_cast<Micros>(time);
      if (std::bernoulli_distribution{ LoadFactor(service, now) / 5 }(aRandom)) {
        load.push_back(MakeArrival(now, index, service, aRandom));
      }
    }
  }
  std::sort(load.begin(), load.end(), [](const Arrival& aLeft, const Arrival& aRight) {
    return aLeft.m_time < aRight.m_time;
  });
  return load;
}

enum class ServerResponse : std::uint8_t
{
  Done,
  Failed,
  Full,
};

/// \brief A server with 8 slots. It can fail every request quickly, or run slowly.
struct FakeServer
{
  std::uint32_t m_used{};
  double m_slowness{ 1 };
  bool m_fails{};

  void Run(Simulation& aSimulation, Micros aRun,
           const std::function<void(ServerResponse, std::uint32_t)>& aOnResponse)
  {
    if (m_used >= kSlots) {
      aOnResponse(ServerResponse::Full, m_used);
      return;
    }
    ++m_used;
    const Micros run = m_fails ? 2 * kMilli : static_cast<Micros>(aRun * m_slowness);
    const ServerResponse response = m_fails ? ServerResponse::Failed : ServerResponse::Done;
    aSimulation.After(run, [this, response, aOnResponse] {
      const std::uint32_t used = m_used--;
      aOnResponse(response, used);
    });
  }
};

/// \brief Divides `aTotal` among the demands by max-min fairness.
inline std::vector<double> FairShares(const std::vector<double>& aDemands, double aTotal)
{
  std::vector<double> shares(aDemands.size());
  std::vector<std::size_t> order(aDemands.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::sort(order.begin(), order.end(), [&aDemands](std::size_t aLeft, std::size_t aRight) {
    return aDemands[aLeft] < aDemands[aRight];
  });
  for (std::size_t i = 0; i < order.size(); ++i) {
    const double part = aTotal / static_cast<double>(order.size() - i);
    shares[order[i]] = std::min(aDemands[order[i]], part);
    aTotal -= shares[order[i]];
  }
  return shares;
}

} // namespace pistachiostand::experiment
