#pragma once

#include "pistachiostand/job/StepState.h"

#include <vector>

/// \file
/// \brief Sums of run times, for tests.

namespace pistachiostand::fleet {

inline RunTimeSums SumsOf(const std::vector<Millis>& aRanMs)
{
  RunTimeSums sums;
  for (const Millis ran : aRanMs) {
    AddRunTime(sums, ran);
  }
  return sums;
}

} // namespace pistachiostand::fleet
