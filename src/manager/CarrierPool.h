#pragma once

#include "CarrierMessage.h"
#include "Metrics.h"

#include "pistachiostand/connection/FrameLink.h"
#include "pistachiostand/connection/Ticker.h"
#include "pistachiostand/fleet/CarrierChoice.h"

#include <asio/io_context.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// \brief The owner's side of the carriers: selects them and tracks the orders in flight with their
/// deadlines.

namespace pistachiostand::fleet {

class CarrierPool
{
public:
  using Done = std::function<void(const CarriedResult&)>;

  /// \brief Listens for carriers; null when the address cannot be bound.
  [[nodiscard]] static std::unique_ptr<CarrierPool> Create(asio::io_context& aLoop,
                                                           const Endpoint& aListen,
                                                           FencingToken aToken, Metrics& aMetrics,
                                                           Reason& aReason);

  CarrierPool(const CarrierPool&) = delete;
  CarrierPool& operator=(const CarrierPool&) = delete;
  /// Closes all connections; the callbacks of orders in flight are not called.
  ~CarrierPool();

  /// \brief Sends an order through the carrier of the server. `aDone` receives Unknown when the
  /// carrier is lost or returns no result in time.
  /// \return an id for Cancel(); 0 when there is no carrier and the order was not sent.
  std::uint64_t Send(const ZoneName& aZone, CarriedOrder aOrder, Done aDone);

  /// \brief Drops a call without calling its callback. An order that has not been sent yet is not
  /// sent; one that has been sent may still be carried out.
  void Cancel(std::uint64_t aCall);

  /// \brief Cores of the largest carrier in use; 0 without any.
  [[nodiscard]] double LargestShare() const
  {
    return m_inUse.empty()
             ? 0
             : std::ranges::max(m_inUse, {}, &CarrierView::m_processorShare).m_processorShare;
  }

  /// \brief Carriers in use.
  [[nodiscard]] std::size_t Count() const noexcept { return m_inUse.size(); }

  /// \brief True when there were carriers of other zones than `aZone` and all of them are lost: the
  /// zone is then cut off.
  [[nodiscard]] bool HasLostOtherZones(const ZoneName& aZone) const;

private:
  struct Carrier
  {
    std::shared_ptr<FrameLink> m_link;
    CarrierView m_view;
    bool m_ready{};     ///< Has received the owner's clock.
    Millis m_heardMs{}; ///< When the last message arrived.
    Millis m_carrierClockMs{};
    OrderBatch m_batch; ///< Sent at the end of this iteration of the event loop.
  };

  struct Call
  {
    std::uint64_t m_carrier{};
    Millis m_endMs{};
    Done m_done;
  };

  CarrierPool(asio::io_context& aLoop, FencingToken aToken, Metrics& aMetrics);

  FrameHandlers OnAccept(const std::shared_ptr<FrameLink>& aLink);
  void OnFrame(std::uint64_t aCarrier, std::string_view aFrame);
  void OnHello(Carrier& aCarrier, const CarrierHello& aHello);
  void OnResults(std::uint64_t aCarrier, const ResultBatch& aBatch);
  void Remove(std::uint64_t aCarrier, std::string_view aCause);
  void ChooseInUse();
  void FlushSoon();
  void Flush();
  void Tick();
  void Finish(std::uint64_t aCall, const CarriedResult& aResult);

  asio::io_context& m_loop;
  FencingToken m_token;
  Metrics& m_metrics;
  std::unique_ptr<FrameListener> m_listener;
  std::map<std::uint64_t, Carrier> m_carriers; ///< By connection number.
  std::vector<CarrierView> m_inUse;
  std::vector<std::uint64_t> m_inUseNumbers;
  std::set<ZoneName> m_zones; ///< Zones of all carriers that have ever joined.
  /// Carrier of each server; cleared when the carriers change.
  std::map<ServerId, std::uint64_t> m_chosen;
  std::unordered_map<std::uint64_t, Call> m_calls;
  std::uint64_t m_lastCarrier{};
  std::uint64_t m_lastCall{};
  bool m_flushing{};
  std::shared_ptr<int> m_alive = std::make_shared<int>();
  Ticker m_ticker;
};

/// \brief Interval of the heartbeats that both sides send.
inline constexpr Millis kCarrierHeartbeatMs = 300;
/// \brief A side that has sent nothing for this long is considered lost: time for three heartbeats
/// and one lost packet.
inline constexpr Millis kCarrierTimeoutMs = 1'200;

} // namespace pistachiostand::fleet
