#pragma once

#include "pistachiostand/base/Types.h"
#include "pistachiostand/version/Rules.h"

#include <array>
#include <compare>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

/// \file
/// \brief Request queues of one entry instance, by pool, class and tenant.

namespace pistachiostand {

/// \brief A request that waits for a slot of its pool. A slot is the capacity of a backend server
/// to run one request.
struct QueuedRequest
{
  std::uint64_t m_id{};
  TenantName m_tenant;
  ServiceName m_service;
  ServiceClass m_class{};
  PoolName m_pool;
  Millis m_arrivalMs{};
  Millis m_deadlineMs{};    ///< Dropped if not started by then; see StartDeadline.
  Millis m_expectedRunMs{}; ///< Learned run time; see RunTimeEstimate.h.
  bool m_idempotent{};

  friend auto operator<=>(const QueuedRequest&, const QueuedRequest&) = default;
};

/// \brief Last time at which a request can start and still end within its timeout. At most half of
/// the timeout is reserved for the run: with more, a wrong estimate could refuse every request, and
/// no completed run would ever correct it.
[[nodiscard]] Millis StartDeadline(Millis aArrivalMs, Millis aTimeoutMs,
                                   Millis aExpectedRunMs) noexcept;

/// \brief Why a request was not queued. Such a request has not run.
enum class AdmissionRefusal : std::uint8_t
{
  TenantQueueFull,  ///< `max_queued` requests of the tenant in this and higher classes wait (429).
  EntryQueueFull,   ///< The limit for all tenants together is reached (503).
  WaitPastDeadline, ///< The expected wait would end after the deadline (503).
  DuplicateId,      ///< Error of Enqueue's caller: the id is already queued.
};

[[nodiscard]] std::string_view ToString(AdmissionRefusal aRefusal) noexcept;

/// \brief Limits, and switches that turn off single features in experiments.
struct AdmissionOptions
{
  /// Limit for all tenants together. It bounds the memory, because `tenant.default` admits any
  /// number of tenants.
  std::uint32_t m_maxQueued{ 8'192 };
  /// While requests of a lower class wait, that class is guaranteed a share of slot time: the
  /// expected run time of the requests started in higher classes, divided by its divisor. Dividing
  /// the number of starts instead would give most slot time to long overnight requests.
  std::uint32_t m_batchDivisor{ 8 };
  std::uint32_t m_overnightDivisor{ 32 };
  bool m_fairQueueing{ true };     ///< False: first in, first out within a class.
  bool m_enforceDeadlines{ true }; ///< False: no request is refused or dropped as too late.
};

/// \brief Counts of one class of one pool, for status and metrics.
struct QueueCounts
{
  PoolName m_pool;
  ServiceClass m_class{};
  std::uint64_t m_waiting{};
  std::uint64_t m_tenants{};  ///< Tenants that have a request waiting.
  std::uint64_t m_inFlight{}; ///< Taken and not finished, of all classes of the pool.
  Millis m_oldestWaitMs{};    ///< Longest wait among the requests at the front.
  Millis m_queuedWorkMs{};    ///< Sum of the expected run times.

  friend auto operator<=>(const QueueCounts&, const QueueCounts&) = default;
};

/// \brief The queues. All times are passed in; no function reads a clock.
///
/// \code
/// Admission admission{ {} };
/// if (const auto refusal = admission.Enqueue(request, tenantRule, now)) {
///   return NotRun(*refusal);
/// }
/// while (const auto next = admission.Take("lookups", now)) {
///   const auto server = ChooseServer(servers, { zone, now, next->m_idempotent, {} }, random);
///   if (!server) {
///     admission.PutBack(*next); // Try again after a response, or after some milliseconds.
///     break;
///   }
///   // Send it. Then PutBack(*next) when the server was full, else Finish(*next, ranMs).
/// }
/// \endcode
class Admission
{
public:
  explicit Admission(AdmissionOptions aOptions) noexcept;

  /// \brief Queues a request, or returns why it was refused.
  [[nodiscard]] std::optional<AdmissionRefusal> Enqueue(QueuedRequest aRequest,
                                                        const TenantRule& aRule, Millis aNowMs);

  /// \brief The request to start next in a pool that has a free slot; it counts as in flight.
  [[nodiscard]] std::optional<QueuedRequest> Take(const PoolName& aPool, Millis aNowMs);

  /// \brief Queues a taken request again, at the front, because the server refused it as full.
  void PutBack(QueuedRequest aRequest);

  /// \brief A taken request has ended; its actual run time corrects the tenant's deficit counter.
  void Finish(const QueuedRequest& aRequest, Millis aRunTimeMs);

  /// \brief Removes a waiting request; false when it is not queued.
  bool Cancel(std::uint64_t aId);

  /// \brief Removes and returns the requests past their deadline; none of them has run.
  [[nodiscard]] std::vector<QueuedRequest> DropExpired(Millis aNowMs);

  /// \brief Expected time until a new request of the tenant would start.
  [[nodiscard]] Millis ExpectedWait(const PoolName& aPool, ServiceClass aClass,
                                    const TenantName& aTenant, std::uint32_t aShare) const;

  [[nodiscard]] bool IsEmpty(const PoolName& aPool) const;
  [[nodiscard]] std::size_t size() const noexcept { return m_byId.size(); }
  [[nodiscard]] std::vector<QueueCounts> Counts(Millis aNowMs) const;

private:
  struct TenantQueue
  {
    std::list<QueuedRequest> m_requests;
    std::list<TenantName>::iterator m_roundPosition; ///< Position in m_round.
    std::uint32_t m_share{ 1 };
    /// Deficit counter of deficit round robin: run time that the tenant may still use. Negative
    /// after runs that took longer than expected.
    Millis m_deficitMs{};
    Millis m_workMs{};
  };

  struct ClassQueue
  {
    std::map<TenantName, TenantQueue> m_tenants; ///< Tenants with a request waiting.
    std::list<TenantName> m_round;               ///< Round-robin order; the front is next.
    Millis m_workMs{};
    std::uint64_t m_waiting{};
    std::uint64_t m_shares{}; ///< Sum of the shares of m_tenants.
  };

  struct PoolQueue
  {
    std::array<ClassQueue, kServiceClasses.size()> m_classes;
    std::array<double, kServiceClasses.size()> m_creditMs{}; ///< Slot time owed to lower classes.
    std::uint64_t m_inFlight{};
  };

  using Position = std::list<QueuedRequest>::iterator;
  using TenantCounts = std::array<std::uint32_t, kServiceClasses.size()>;

  [[nodiscard]] const TenantName& TenantQueueKey(const TenantName& aTenant) const noexcept;
  [[nodiscard]] bool IsTenantFull(const QueuedRequest& aRequest, const TenantRule& aRule) const;
  [[nodiscard]] std::optional<AdmissionRefusal> Check(const QueuedRequest& aRequest,
                                                      const TenantRule& aRule, Millis aNowMs) const;
  TenantQueue& Insert(QueuedRequest aRequest, std::uint32_t aShare, bool aInFront);
  QueuedRequest Remove(Position aPosition);
  void CreditLowerClasses(PoolQueue& aPool, const QueuedRequest& aStarted) const;
  void Expire(Millis aNowMs);

  AdmissionOptions m_options;
  std::map<PoolName, PoolQueue> m_pools;
  std::map<TenantName, TenantCounts> m_queuedByTenant;
  std::unordered_map<std::uint64_t, Position> m_byId;
  std::set<std::pair<Millis, std::uint64_t>> m_byDeadline;
  std::vector<QueuedRequest> m_expired;
};

} // namespace pistachiostand
