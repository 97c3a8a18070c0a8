#include "CarrierMessage.h"

#include "process/Pack.h"

namespace pistachiostand::fleet {

// Field lists and sizes of enumerations for Pack.h; found by argument-dependent lookup.

namespace platform {

static constexpr std::uint8_t EnumeratorCount(CallOutcome /*aOutcome*/) noexcept
{
  return static_cast<std::uint8_t>(CallOutcome::Unknown) + 1;
}

static constexpr std::uint8_t EnumeratorCount(OrderRefusal /*aRefusal*/) noexcept
{
  return static_cast<std::uint8_t>(OrderRefusal::Malformed) + 1;
}

} // namespace platform

static constexpr std::uint8_t EnumeratorCount(OrderKind /*aKind*/) noexcept
{
  return static_cast<std::uint8_t>(OrderKind::Look) + 1;
}

static constexpr std::uint8_t EnumeratorCount(EndKind /*aKind*/) noexcept
{
  return static_cast<std::uint8_t>(EndKind::Alone) + 1;
}

template<typename V>
void Fields(CarrierHello& aHello, V aVisit)
{
  aVisit(aHello.m_process, aHello.m_zone, aHello.m_processorShare, aHello.m_clockMs);
}

template<typename V>
void Fields(CarrierPulse& aPulse, V aVisit)
{
  aVisit(aPulse.m_clockMs, aPulse.m_echoMs);
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
         aOrder.m_waitMs, aOrder.m_percent);
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

std::string EncodeCarrierMessage(const CarrierMessage& aMessage)
{
  return internal::PackVariant(aMessage);
}

std::optional<CarrierMessage> DecodeCarrierMessage(std::string_view aBytes)
{
  return internal::UnpackVariant<CarrierMessage>(aBytes);
}

} // namespace pistachiostand::fleet
