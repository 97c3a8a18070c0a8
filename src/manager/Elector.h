#pragma once

#include "TopicTail.h"

#include "pistachiostand/connection/Ticker.h"
#include "pistachiostand/ownership/Leadership.h"

#include <functional>
#include <optional>
#include <string>

/// \file
/// \brief Claims and renews the ownership of the fleet in the store.

namespace pistachiostand::fleet {

struct ElectorHandlers
{
  /// Called when this process has become the owner.
  std::function<void(FencingToken aToken, Millis aClaimedMs)> m_onOwner;
  /// Called when this process is no longer the owner.
  std::function<void(std::string_view aReason)> m_onLost;
  std::function<bool()> m_isOwnerSilent;        ///< The owner does not respond to this process.
  std::function<void()> m_onUnreadable = [] {}; ///< A record could not be read.
};

class Elector
{
public:
  /// \param aClaimDelay delay before a claim, so that instances with more processor cores claim
  /// first.
  Elector(asio::io_context& aLoop, platform::Store& aStore, std::string aProcess,
          std::string aAddress, std::function<Millis()> aClaimDelay, ElectorHandlers aHandlers);

  Elector(const Elector&) = delete;
  Elector& operator=(const Elector&) = delete;
  ~Elector() = default;

  void Start();

  /// \brief Releases the ownership, if held, and makes no further claims.
  void Retire();

  /// \brief Releases the ownership, if held, so that another process claims it at once.
  void HandOver();

  /// \brief Ends the ownership, if held, for example after another process has used a higher token.
  void StepDown(std::string_view aReason);

  [[nodiscard]] const OwnershipView& View() const noexcept { return m_view; }
  [[nodiscard]] bool IsOwner() const noexcept { return m_token != 0; }

  /// \brief True while this process may act as the owner.
  [[nodiscard]] bool HoldsOwnershipLease(Millis aNowMs) const noexcept
  {
    return m_token != 0 && aNowMs - m_confirmedMs < m_ownershipLeaseMs;
  }

  /// \brief Until when this process may act as the owner.
  [[nodiscard]] Millis OwnershipLeaseEndMs() const noexcept
  {
    return m_confirmedMs + m_ownershipLeaseMs;
  }

  /// \brief When the last stored record of this owner was sent.
  [[nodiscard]] Millis ConfirmedMs() const noexcept { return m_confirmedMs; }

private:
  void Tick();
  void Propose(OwnershipRecordKind aKind);
  void EndCall();
  void OnRecord(const std::string& aKey, const std::optional<std::string>& aValue, Offset aOffset);
  void Apply(const OwnershipRecord& aRecord, Offset aOffset);

  platform::Store& m_store;
  std::string m_process;
  std::string m_address;
  ElectorHandlers m_handlers;
  OwnershipView m_view;
  TopicTail m_tail;
  Ticker m_ticker;
  std::shared_ptr<int> m_alive = std::make_shared<int>();
  FencingToken m_token{};
  FencingToken m_endedToken{}; ///< Of the last ownership that ended, which must not resume.
  Millis m_confirmedMs{};
  Millis m_ownershipLeaseMs{}; ///< Of the last stored record of this owner.
  Millis m_recentAppendMs{};   ///< Decaying maximum of the time of an append.
  Millis m_sentMs{};
  std::function<Millis()> m_claimDelay;
  Millis m_claimJitterMs{};
  Millis m_claimAfterMs{};
  unsigned m_failedClaims{}; ///< Consecutive claims that were not stored.
  bool m_inFlight{};
  bool m_retired{};
};

} // namespace pistachiostand::fleet
