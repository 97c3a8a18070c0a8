#include "pistachiostand/fleet/CarrierChoice.h"

#include "pistachiostand/base/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <tuple>

namespace pistachiostand::fleet {

namespace {

/// \brief Score for weighted rendezvous hashing. Each carrier has the highest score for
/// a part of the servers that is proportional to its processor share.
double Score(const CarrierView& aCarrier, const ServerId& aServer)
{
  const auto hash = Hash(aCarrier.m_process + '/' + aServer);
  // Strictly between 0 and 1: log(0) is infinite, and log(1) would be a zero divisor.
  const double uniform = (static_cast<double>(hash >> 11U) + 0.5) / 9'007'199'254'740'992.0;
  return -aCarrier.m_processorShare / std::log(uniform);
}

} // namespace

std::vector<CarrierView> SelectCarriers(std::vector<CarrierView> aAll)
{
  std::ranges::sort(aAll, {}, [](const CarrierView& aCarrier) {
    return std::tuple{ -aCarrier.m_processorShare, Hash(aCarrier.m_process) };
  });
  std::map<ZoneName, std::size_t> taken;
  std::erase_if(aAll, [&taken](const CarrierView& aCarrier) {
    return ++taken[aCarrier.m_zone] > kCarriersPerZone;
  });
  return aAll;
}

std::optional<std::size_t> ChooseCarrier(const std::vector<CarrierView>& aInUse,
                                         const ZoneName& aZone, const ServerId& aServer)
{
  const bool hasCarrierInZone =
    std::ranges::find(aInUse, aZone, &CarrierView::m_zone) != aInUse.end();
  std::optional<std::size_t> best;
  double bestScore = -std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < aInUse.size(); ++i) {
    if (hasCarrierInZone && aInUse[i].m_zone != aZone) {
      continue;
    }
    const double score = Score(aInUse[i], aServer);
    if (!best || score > bestScore) {
      best = i;
      bestScore = score;
    }
  }
  return best;
}

} // namespace pistachiostand::fleet
