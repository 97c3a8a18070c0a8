#include "pistachiostand/fleet/WaveRecord.h"

#include "process/Pack.h"

#include "pistachiostand/base/Bounds.h"

#include <algorithm>

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
  return record && IsTime(record->m_ageMs) && std::ranges::all_of(record->m_done, IsName)
           ? record
           : std::nullopt;
}

} // namespace pistachiostand::fleet
