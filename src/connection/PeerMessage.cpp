#include "pistachiostand/connection/PeerMessage.h"

#include "../process/Pack.h"

namespace pistachiostand {

// Field lists for Pack.h; found by argument-dependent lookup.

template<typename Visit>
void Fields(Hello& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_entry, aValue.m_process, aValue.m_zone);
}

template<typename Visit>
void Fields(Heartbeat& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_nextOffset, aValue.m_revision, aValue.m_confirmedAgeMs, aValue.m_draining,
         aValue.m_inFlight, aValue.m_leaving);
}

template<typename Visit>
void Fields(FetchLog& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_from);
}

template<typename Visit>
void Fields(LogBatch& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_first, aValue.m_records);
}

template<typename Visit>
void Fields(FetchState& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_newerThan);
}

template<typename Visit>
void Fields(StateCopy& aValue, Visit&& aVisit)
{
  aVisit(aValue.m_state);
}

std::string EncodePeerMessage(const PeerMessage& aMessage)
{
  return internal::PackVariant(aMessage);
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view aBytes)
{
  return internal::UnpackVariant<PeerMessage>(aBytes);
}

} // namespace pistachiostand
