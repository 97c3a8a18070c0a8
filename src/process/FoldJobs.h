#pragma once

#include "pistachiostand/process/FleetState.h"

/// \file
/// \brief The fold's handling of job records.

namespace pistachiostand {

inline constexpr Verdict kAccepted{};

[[nodiscard]] inline Verdict Refuse(Refusal aRefusal)
{
  return { aRefusal };
}

Verdict ApplyBody(FleetState& aState, const Record& aRecord, const Submit& aSubmit);
Verdict ApplyBody(FleetState& aState, const Record& aRecord, const Claim& aClaim);
Verdict ApplyBody(FleetState& aState, const Record& aRecord, const GiveBack& aGiveBack);
Verdict ApplyBody(FleetState& aState, const Record& aRecord, const Finish& aFinish);
Verdict ApplyBody(FleetState& aState, const Record& aRecord, const Cancel& aCancel);

} // namespace pistachiostand
