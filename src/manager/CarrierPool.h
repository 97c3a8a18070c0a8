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
/// \brief The owner's side of the carriers: who carries, what is on its way, and until when.

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
  /// Closes all connections; orders on their way get no result any more.
  ~CarrierPool();

  /// \brief Hands an order to the carrier of the server. `aDone` is called with Unknown when the
  /// carrier is lost or gives no result in time.
  /// \return the call, for Cancel(); 0 when there is no carrier, and nothing was done.
  std::uint64_t Send(const ZoneName& aZone, CarriedOrder aOrder, Done aDone);

  /// \brief Forgets a call; the order may still be carried out.
  /// \brief Forgets a call. One that has not left yet does not leave.
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

  /// \brief True when it had carriers of other zones than `aZone` and has lost all of them: the
  /// zone is cut off then.
  [[nodiscard]] bool HasLostOtherZones(const ZoneName& aZone) const;

private:
  struct Carrier
  {
    std::shared_ptr<FrameLink> m_link;
    CarrierView m_view;
    bool m_ready{}; ///< It knows the owner's clock.
    Millis m_heardMs{};
    Millis m_carrierClockMs{};
    OrderBatch m_batch; ///< Leaves at the end of this turn of the loop.
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
  std::map<std::uint64_t, Carrier> m_carriers; ///< By number of the connection.
  std::vector<CarrierView> m_inUse;
  std::vector<std::uint64_t> m_inUseNumbers;
  std::set<ZoneName> m_zones;                 ///< Of all carriers that have joined.
  std::map<ServerId, std::uint64_t> m_chosen; ///< Carrier of each server, until carriers change.
  std::unordered_map<std::uint64_t, Call> m_calls;
  std::uint64_t m_lastCarrier{};
  std::uint64_t m_lastCall{};
  bool m_flushing{};
  std::shared_ptr<int> m_alive = std::make_shared<int>();
  Ticker m_ticker;
};

/// \brief Interval at which both sides show that they live.
inline constexpr Millis kCarrierHeartbeatMs = 300;
/// \brief A side that was silent for this long is taken as lost: three pulses and a lost packet.
inline constexpr Millis kCarrierTimeoutMs = 1'200;

} // namespace pistachiostand::fleet
