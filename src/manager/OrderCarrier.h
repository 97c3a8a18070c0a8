#pragma once

#include "CarrierMessage.h"
#include "EntrySettings.h"
#include "IncarnationOrders.h"
#include "Metrics.h"

#include "pistachiostand/connection/FrameLink.h"
#include "pistachiostand/connection/Ticker.h"
#include "pistachiostand/ownership/Leadership.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

/// \file
/// \brief Carries orders of the owner of the fleet to backend servers.
///
/// An order is dropped and reported as not sent when the latest time to send it has passed on the
/// owner's clock, whatever delayed it, including a pause of this process. This side knows the
/// owner's clock to within a round trip.

namespace pistachiostand::fleet {

class OrderCarrier
{
public:
  /// \param aView the ownership as this instance has read it; outlives the carrier.
  OrderCarrier(asio::io_context& aLoop, HttpClient& aClient, const EntrySettings& aSettings,
               std::string aProcess, const OwnershipView& aView, Metrics& aMetrics);

  OrderCarrier(const OrderCarrier&) = delete;
  OrderCarrier& operator=(const OrderCarrier&) = delete;
  ~OrderCarrier();

  /// \brief True once an owner has accepted this carrier, which a valid heartbeat shows. Only
  /// owners of large fleets accept carriers.
  [[nodiscard]] bool WasAccepted() const noexcept { return m_wasAccepted; }

  /// \brief Stops carrying orders; the owner detects it by the closed connection.
  void Stop();

private:
  void Tick();
  void Dial(Millis aNowMs);
  void Disconnect(std::string_view aCause);
  void SendHello();
  void OnFrame(std::string_view aFrame);
  void OnHeartbeat(const CarrierHeartbeat& aHeartbeat);
  void OnOrders(const OrderBatch& aBatch);
  void SendToServer(const CarriedOrder& aOrder, FencingToken aToken);
  void Add(CarriedResult aResult);
  void Flush();

  asio::io_context& m_loop;
  const EntrySettings& m_settings;
  std::string m_process;
  const OwnershipView& m_view;
  Metrics& m_metrics;
  IncarnationOrders m_orders;
  std::string m_owner;   ///< Process to connect to.
  unsigned m_failures{}; ///< Consecutive failed connection attempts.
  Millis m_dialAfterMs{};
  std::shared_ptr<FrameLink> m_link;
  std::uint64_t m_linkNumber{};
  bool m_open{};
  Millis m_heardMs{};
  Millis m_lastHeartbeatMs{};
  std::optional<Millis> m_clockOffsetMs; ///< This clock minus the owner's; a lower bound.
  Millis m_roundTripMs{};                ///< Of the exchange that yielded the offset.
  ResultBatch m_results;
  asio::steady_timer m_flushTimer;
  bool m_flushing{};
  bool m_stopped{};
  bool m_wasAccepted{};
  std::shared_ptr<int> m_alive = std::make_shared<int>();
  Ticker m_ticker;
};

/// \brief Endpoint on which the owner listens for carriers: the port after the one for other
/// requests.
[[nodiscard]] Endpoint CarrierEndpoint(const Endpoint& aEntryListen) noexcept;

} // namespace pistachiostand::fleet
