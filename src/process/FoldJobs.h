#pragma once

#include "pistachiostand/process/FleetState.h"

/// \file
/// \brief The fold's handling of job records.

namespace pistachiostand {

inline constexpr ApplyResult kAccepted{};

[[nodiscard]] inline ApplyResult Refuse(Refusal aRefusal)
{
  return { aRefusal };
}

ApplyResult ApplyBody(FleetState& aState, const Record& aRecord, const Submit& aSubmit);
ApplyResult ApplyBody(FleetState& aState, const Record& aRecord, const Claim& aClaim);
ApplyResult ApplyBody(FleetState& aState, const Record& aRecord, const ReleaseClaim& aReleaseClaim);
ApplyResult ApplyBody(FleetState& aState, const Record& aRecord, const Finish& aFinish);
ApplyResult ApplyBody(FleetState& aState, const Record& aRecord, const Cancel& aCancel);

} // namespace pistachiostand
