#include "CarrierMessage.h"

#include "process/Pack.h"

#include "pistachiostand/base/Bounds.h"
#include "pistachiostand/job/JobLimits.h"

#include <algorithm>

namespace pistachiostand::fleet {

// Field lists and sizes of enumerations for Pack.h; found by argument-dependent lookup.

namespace platform {

static constexpr std::uint8_t EnumeratorCount(CallOutcome /*aOutcome*/) noexcept
{
  return static_cast<std::uint8_t>(CallOutcome::IncarnationMismatch) + 1;
}

static constexpr std::uint8_t EnumeratorCount(OrderRefusal /*aRefusal*/) noexcept
{
  return static_cast<std::uint8_t>(OrderRefusal::Malformed) + 1;
}

} // namespace platform

static constexpr std::uint8_t EnumeratorCount(OrderKind /*aKind*/) noexcept
{
  return static_cast<std::uint8_t>(OrderKind::Poll) + 1;
}

static constexpr std::uint8_t EnumeratorCount(EndKind /*aKind*/) noexcept
{
  return static_cast<std::uint8_t>(EndKind::GangTimedOut) + 1;
}

template<typename V>
void Fields(CarrierHello& aHello, V aVisit)
{
  aVisit(aHello.m_process, aHello.m_zone, aHello.m_processorShare, aHello.m_clockMs);
}

template<typename V>
void Fields(CarrierHeartbeat& aHeartbeat, V aVisit)
{
  aVisit(aHeartbeat.m_clockMs, aHeartbeat.m_echoMs);
}

template<typename V>
void Fields(SubtaskId& aId, V aVisit)
{
  aVisit(aId.m_job, aId.m_occurrence, aId.m_step, aId.m_index);
}

template<typename V>
void Fields(CarriedOrder& aOrder, V aVisit)
{
  aVisit(aOrder.m_call, aOrder.m_kind, aOrder.m_server, aOrder.m_address, aOrder.m_timeoutMs,
         aOrder.m_sendBeforeMs, aOrder.m_subtask, aOrder.m_run, aOrder.m_payload,
         aOrder.m_checkpoint, aOrder.m_ticket, aOrder.m_leaseEndMs, aOrder.m_acknowledged,
         aOrder.m_waitMs, aOrder.m_percent, aOrder.m_incarnation);
}

template<typename V>
void Fields(OrderBatch& aBatch, V aVisit)
{
  aVisit(aBatch.m_token, aBatch.m_clockMs, aBatch.m_orders);
}

template<typename V>
void Fields(ReportedRun& aRun, V aVisit)
{
  aVisit(aRun.m_subtask, aRun.m_run, aRun.m_checkpoint, aRun.m_percent, aRun.m_load);
}

template<typename V>
void Fields(RunEnd& aEnd, V aVisit)
{
  aVisit(aEnd.m_subtask, aEnd.m_run, aEnd.m_kind, aEnd.m_checkpoint);
}

template<typename V>
void Fields(ReportedEnd& aEnd, V aVisit)
{
  aVisit(aEnd.m_number, aEnd.m_end);
}

template<typename V>
void Fields(ServerReport& aReport, V aVisit)
{
  aVisit(aReport.m_clockMs, aReport.m_incarnation, aReport.m_running, aReport.m_ended,
         aReport.m_partial);
}

template<typename V>
void Fields(CarriedResult& aResult, V aVisit)
{
  aVisit(aResult.m_call, aResult.m_outcome, aResult.m_refusal, aResult.m_clockMs, aResult.m_report);
}

template<typename V>
void Fields(ResultBatch& aBatch, V aVisit)
{
  aVisit(aBatch.m_clockMs, aBatch.m_results);
}

namespace {

/// Largest timeout or wait that is accepted in a carried order.
constexpr Millis kMaxCallMs = 3'600'000;
/// More cores than any machine has.
constexpr double kMaxCores = 1e6;

bool IsValidReport(const ServerReport& aReport) noexcept
{
  const auto isRun = [](const ReportedRun& aRun) { return aRun.m_run <= kMaxRunNumber; };
  const auto isEnd = [](const ReportedEnd& aEnd) {
    return aEnd.m_number <= kMaxRunNumber && aEnd.m_end.m_run <= kMaxRunNumber;
  };
  return IsTime(aReport.m_clockMs) && std::ranges::all_of(aReport.m_running, isRun) &&
         std::ranges::all_of(aReport.m_ended, isEnd);
}

bool IsUsable(const CarrierMessage& aMessage) noexcept
{
  if (const auto* hello = std::get_if<CarrierHello>(&aMessage)) {
    // The comparison is false for NaN, too.
    return IsName(hello->m_process) && hello->m_zone.size() <= kMaxNameBytes &&
           hello->m_processorShare >= 0 && hello->m_processorShare <= kMaxCores &&
           IsTime(hello->m_clockMs);
  }
  if (const auto* heartbeat = std::get_if<CarrierHeartbeat>(&aMessage)) {
    return IsTime(heartbeat->m_clockMs) && IsTime(heartbeat->m_echoMs);
  }
  return true;
}

} // namespace

std::string_view ValidationErrorOf(const CarriedOrder& aOrder) noexcept
{
  if (!IsName(aOrder.m_server)) {
    return "the server has no valid name";
  }
  if (aOrder.m_timeoutMs <= 0 || aOrder.m_timeoutMs > kMaxCallMs || aOrder.m_waitMs < 0 ||
      aOrder.m_waitMs > kMaxCallMs) {
    return "the timeout of the call or the wait of the poll is out of range";
  }
  if (!IsTime(aOrder.m_sendBeforeMs) || !IsTime(aOrder.m_leaseEndMs)) {
    return "the latest time to send the order or the end of the lease is out of range";
  }
  if (aOrder.m_percent < 0 || aOrder.m_percent > 100) {
    return "the pace in percent is out of range";
  }
  return {};
}

std::string_view ValidationErrorOf(const CarriedResult& aResult) noexcept
{
  if (aResult.m_clockMs && !IsTime(*aResult.m_clockMs)) {
    return "the clock of the server is out of range";
  }
  if (aResult.m_report && !IsValidReport(*aResult.m_report)) {
    return "a value in the report of the server is out of range";
  }
  return {};
}

std::string EncodeCarrierMessage(const CarrierMessage& aMessage)
{
  return internal::PackVariant(aMessage);
}

std::optional<CarrierMessage> DecodeCarrierMessage(std::string_view aBytes)
{
  auto message = internal::UnpackVariant<CarrierMessage>(aBytes);
  return message && IsUsable(*message) ? message : std::nullopt;
}

} // namespace pistachiostand::fleet
