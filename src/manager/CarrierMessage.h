#pragma once

#include "platform/Orders.h"

#include "pistachiostand/base/Types.h"
#include "pistachiostand/job/JobTable.h"
#include "pistachiostand/ownership/Leadership.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// \file
/// \brief Messages between the owner of the fleet and the carriers of its orders, in msgpack.
///
/// A carrier is an entry instance that sends orders to backend servers for the owner. It makes no
/// decisions: to the owner it is part of the network, which may delay, lose or repeat messages.

namespace pistachiostand::fleet {

/// \brief First message of a carrier.
struct CarrierHello
{
  std::string m_process; ///< Entry instance and its incarnation.
  ZoneName m_zone;
  double m_processorShare{}; ///< Cores that the instance may use.
  Millis m_clockMs{};        ///< Its steady clock.

  friend auto operator<=>(const CarrierHello&, const CarrierHello&) = default;
};

/// \brief Reports that the sender is alive, with its steady clock.
struct CarrierHeartbeat
{
  Millis m_clockMs{};
  Millis m_echoMs{}; ///< Latest clock received from the other side.

  friend auto operator<=>(const CarrierHeartbeat&, const CarrierHeartbeat&) = default;
};

enum class OrderKind : std::uint8_t
{
  Start,
  Stop,
  Throttle,
  Poll,
};

/// \brief An order for one backend server. Fields that its kind does not use stay empty.
struct CarriedOrder
{
  std::uint64_t m_call{}; ///< Identifies the order on its connection.
  OrderKind m_kind{};
  ServerId m_server;
  std::string m_address;
  Millis m_timeoutMs{};
  Millis m_sendBeforeMs{}; ///< Latest time to send it, on the owner's steady clock; 0: no limit.
  SubtaskId m_subtask;
  std::uint64_t m_run{};
  std::string m_payload;
  std::string m_checkpoint;
  std::string m_ticket;
  Millis m_leaseEndMs{};          ///< On the clock of the backend server.
  std::uint64_t m_acknowledged{}; ///< The ends up to this number are stored and acknowledged.
  Millis m_waitMs{};              ///< How long a poll waits for an end.
  int m_percent{};                ///< Speed that a throttle order permits.
  std::int64_t m_incarnation{};   ///< Of the backend server, for starts and polls; 0: not known.

  friend bool operator==(const CarriedOrder&, const CarriedOrder&) = default;
};

struct OrderBatch
{
  FencingToken m_token{};
  Millis m_clockMs{}; ///< Steady clock of the owner when it was sent.
  std::vector<CarriedOrder> m_orders;

  friend bool operator==(const OrderBatch&, const OrderBatch&) = default;
};

struct CarriedResult
{
  std::uint64_t m_call{};
  platform::CallOutcome m_outcome{};
  platform::OrderRefusal m_refusal{};
  std::optional<Millis> m_clockMs; ///< Of the backend server.
  std::optional<ServerReport> m_report;

  friend bool operator==(const CarriedResult&, const CarriedResult&) = default;
};

struct ResultBatch
{
  Millis m_clockMs{}; ///< Steady clock of the carrier when it was sent.
  std::vector<CarriedResult> m_results;

  friend bool operator==(const ResultBatch&, const ResultBatch&) = default;
};

using CarrierMessage = std::variant<CarrierHello, CarrierHeartbeat, OrderBatch, ResultBatch>;

[[nodiscard]] std::string EncodeCarrierMessage(const CarrierMessage& aMessage);

/// \brief Describes the first invalid field of an order or a result; empty when all are valid. An
/// invalid entry does not invalidate the others of its batch.
[[nodiscard]] std::string_view ValidationErrorOf(const CarriedOrder& aOrder) noexcept;
[[nodiscard]] std::string_view ValidationErrorOf(const CarriedResult& aResult) noexcept;

/// \brief Decodes one message; nullopt for malformed bytes, and for a hello or a heartbeat whose
/// values are out of range.
[[nodiscard]] std::optional<CarrierMessage> DecodeCarrierMessage(std::string_view aBytes);

} // namespace pistachiostand::fleet
