#include "pistachiostand/fleet/WaveRecord.h"

#include "process/Pack.h"

namespace pistachiostand::fleet {

template<typename V>
void Fields(WaveRecord& aRecord, V aVisit)
{
  aVisit(aRecord.m_done, aRecord.m_ageMs);
}

std::string EncodeWaveRecord(const WaveRecord& aRecord)
{
  return internal::Pack(aRecord);
}

std::optional<WaveRecord> DecodeWaveRecord(std::string_view aBytes)
{
  auto record = internal::Unpack<WaveRecord>(aBytes);
  return record && record->m_ageMs >= 0 ? record : std::nullopt;
}

} // namespace pistachiostand::fleet
