#pragma once

#include "pistachiostand/overload/LoadPolicy.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

/// \file
/// \brief Keeps account of what all HTTP connections of a process use, and closes or refuses what
/// exceeds its limits. LoadPolicy.h decides; this part carries out.
///
/// Used on the loop's thread only.

namespace pistachiostand {

/// \brief A connection as far as the guard needs it.
class GuardedConnection
{
public:
  GuardedConnection() = default;
  GuardedConnection(const GuardedConnection&) = delete;
  GuardedConnection& operator=(const GuardedConnection&) = delete;
  virtual ~GuardedConnection() = default;

  /// \brief Refuses the incomplete request, if there is one, and closes the connection.
  virtual void CloseFor(overload::Cause aCause) = 0;

private:
  friend class LoadGuard;
  std::size_t m_index{};     ///< Position in the guard's lists.
  std::size_t m_heldBytes{}; ///< As last accounted.
  bool m_closed{};           ///< By the guard; its memory is about to be released.
};

class LoadGuard : public std::enable_shared_from_this<LoadGuard>
{
public:
  /// \brief A complete request that its handler has; releases its memory when it is destroyed.
  class HeldRequest
  {
  public:
    HeldRequest(std::shared_ptr<LoadGuard> aGuard, std::size_t aBytes);
    HeldRequest(const HeldRequest&) = delete;
    HeldRequest& operator=(const HeldRequest&) = delete;
    ~HeldRequest();

  private:
    std::shared_ptr<LoadGuard> m_guard;
    std::size_t m_bytes;
  };

  explicit LoadGuard(const overload::MachineLimits& aMachine);

  /// \brief Applies the limits on requests of the configuration that is in force.
  void SetRequestLimits(const overload::RequestLimits& aRequests);

  [[nodiscard]] const overload::LoadLimits& Limits() const noexcept { return m_limits; }
  [[nodiscard]] const overload::HeldTotals& Totals() const noexcept { return m_totals; }
  [[nodiscard]] std::size_t Connections(overload::Listener aListener) const
  {
    return m_connectionCounts.at(static_cast<std::size_t>(aListener));
  }
  /// \brief Requests refused and connections closed since the start.
  [[nodiscard]] std::uint64_t Refused(overload::Cause aCause) const
  {
    return m_refused.at(static_cast<std::size_t>(aCause));
  }

  void Add(GuardedConnection& aConnection, overload::Listener aListener);
  void Remove(GuardedConnection& aConnection);
  [[nodiscard]] overload::ConnectionLoad& LoadOf(const GuardedConnection& aConnection)
  {
    return m_loads[aConnection.m_index];
  }
  /// \brief Accounts for a changed load, and closes connections while too much memory is held.
  void Account(GuardedConnection& aConnection);
  [[nodiscard]] static bool IsClosed(const GuardedConnection& aConnection) noexcept
  {
    return aConnection.m_closed;
  }

  /// \brief Accounts for a complete request; null when it must be refused.
  [[nodiscard]] std::shared_ptr<HeldRequest> Hold(std::size_t aBytes);
  void CountRefusal(overload::Cause aCause);

  /// \brief Closes connections whose time is over, and returns memory to the system after a large
  /// drop. Call it about twice a second.
  void Check(Millis aNowMs);

private:
  void Close(GuardedConnection& aConnection, overload::Cause aCause);
  void Enforce();
  void AddReleased(std::size_t aBytes);

  overload::MachineLimits m_machine;
  overload::LoadLimits m_limits;
  overload::HeldTotals m_totals;
  /// Both lists have the same order.
  std::vector<GuardedConnection*> m_connections;
  std::vector<overload::ConnectionLoad> m_loads;
  std::array<std::size_t, overload::kListenerCount> m_connectionCounts{};
  std::array<std::uint64_t, overload::kCauseCount> m_refused{};
  std::size_t m_releasedBytes{}; ///< Of large requests since memory was last returned.
  Millis m_returnedMs{};
};

} // namespace pistachiostand
