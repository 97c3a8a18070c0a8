#include "pistachiostand/job/RunTimeRecord.h"

#include "process/Pack.h"

#include "pistachiostand/base/Bounds.h"
#include "pistachiostand/base/Hash.h"
#include "pistachiostand/base/PercentCoding.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace pistachiostand::fleet {

namespace {

/// Readers of this version ignore records of others. Fields that are only added at the end need no
/// new version.
constexpr std::uint32_t kVersion = 1;

/// \brief A fit as means and variances in single precision: sums of squares would lose the
/// variance.
struct StoredFit
{
  float m_weight{};
  float m_meanX{};
  float m_meanY{};
  float m_varX{};
  float m_covariance{};
  float m_varY{};
  float m_steps{};
  float m_spread{}; ///< Mean variance within a step.
};

struct StoredImage
{
  ImageKey m_image{};
  StoredFit m_fit;
};

struct StoredRunTimes
{
  std::uint32_t m_version{ kVersion };
  FencingToken m_token{};
  std::uint64_t m_sequence{};
  std::string m_queue;
  StoredFit m_fit;
  std::vector<StoredImage> m_images; ///< The one with the oldest last run comes first.
};

struct StoredVersion
{
  std::uint32_t m_version{};
};

template<typename V>
void Fields(StoredFit& aFit, V aVisit)
{
  aVisit(aFit.m_weight, aFit.m_meanX, aFit.m_meanY, aFit.m_varX, aFit.m_covariance, aFit.m_varY,
         aFit.m_steps, aFit.m_spread);
}

template<typename V>
void Fields(StoredImage& aImage, V aVisit)
{
  aVisit(aImage.m_image, aImage.m_fit);
}

template<typename V>
void Fields(StoredRunTimes& aTimes, V aVisit)
{
  aVisit(aTimes.m_version, aTimes.m_token, aTimes.m_sequence, aTimes.m_queue, aTimes.m_fit,
         aTimes.m_images);
}

template<typename V>
void Fields(StoredVersion& aVersion, V aVisit)
{
  aVisit(aVersion.m_version);
}

constexpr bool SkipsUnknownFields(const StoredRunTimes& /*aTimes*/) noexcept
{
  return true;
}

constexpr bool SkipsUnknownFields(const StoredVersion& /*aVersion*/) noexcept
{
  return true;
}

StoredFit Store(const RunTimeFit& aFit)
{
  if (aFit.m_weight <= 0) {
    return {};
  }
  const double x = aFit.m_sumX / aFit.m_weight;
  const double y = aFit.m_sumY / aFit.m_weight;
  const auto single = [](double aValue) { return static_cast<float>(aValue); };
  return { single(aFit.m_weight),
           single(x),
           single(y),
           single(std::max(aFit.m_sumXx / aFit.m_weight - x * x, 0.0)),
           single(aFit.m_sumXy / aFit.m_weight - x * y),
           single(std::max(aFit.m_sumYy / aFit.m_weight - y * y, 0.0)),
           single(aFit.m_steps),
           single(aFit.m_steps > 0 ? aFit.m_spread / aFit.m_steps : 0) };
}

RunTimeFit Restore(const StoredFit& aFit)
{
  const double weight = aFit.m_weight;
  const double x = aFit.m_meanX;
  const double y = aFit.m_meanY;
  RunTimeFit fit;
  fit.m_weight = weight;
  fit.m_sumX = weight * x;
  fit.m_sumY = weight * y;
  fit.m_sumXx = weight * (aFit.m_varX + x * x);
  fit.m_sumXy = weight * (aFit.m_covariance + x * y);
  fit.m_sumYy = weight * (aFit.m_varY + y * y);
  fit.m_steps = aFit.m_steps;
  fit.m_spread = static_cast<double>(aFit.m_steps) * aFit.m_spread;
  return fit;
}

/// \brief True for values that the fit of a run time can have.
bool IsValid(const StoredFit& aFit)
{
  // The weights of runs and steps converge to 500. Logarithms of times are at most 34.6.
  constexpr float kMaxWeight = 1'000;
  constexpr float kMaxLog = 40;
  constexpr float kMaxVariance = kMaxLog * kMaxLog;
  // A comparison with NaN is false.
  const auto isWithin = [](float aValue, float aMax) { return aValue >= 0 && aValue <= aMax; };
  return aFit.m_weight > 0 && isWithin(aFit.m_weight, kMaxWeight) &&
         isWithin(aFit.m_meanX, kMaxLog) && isWithin(aFit.m_meanY, kMaxLog) &&
         isWithin(aFit.m_varX, kMaxVariance) &&
         isWithin(std::abs(aFit.m_covariance), kMaxVariance) &&
         isWithin(aFit.m_varY, kMaxVariance) && isWithin(aFit.m_steps, kMaxWeight) &&
         isWithin(aFit.m_spread, kMaxVariance);
}

} // namespace

std::string RunTimeKey(const QueueName& aQueue)
{
  std::string key = std::string{ kRunTimePrefix } + PercentEncode(aQueue);
  return key.size() <= kMaxNameBytes ? key
                                     : std::string{ kRunTimePrefix } + '#' + ToHex(Hash(aQueue));
}

std::string EncodeRunTimeRecord(const RunTimeRecord& aRecord)
{
  StoredRunTimes stored;
  stored.m_token = aRecord.m_token;
  stored.m_sequence = aRecord.m_sequence;
  stored.m_queue = aRecord.m_queue;
  stored.m_fit = Store(aRecord.m_times.m_fit);
  std::vector<std::pair<std::uint64_t, ImageKey>> byUse;
  for (const auto& [key, image] : aRecord.m_times.m_images) {
    byUse.emplace_back(image.m_lastRun, key);
  }
  std::ranges::sort(byUse);
  for (const auto& [lastRun, key] : byUse) {
    stored.m_images.push_back({ key, Store(aRecord.m_times.m_images.at(key).m_fit) });
  }
  return internal::Pack(stored);
}

std::optional<RunTimeRecord> DecodeRunTimeRecord(std::string_view aBytes, Reason& aReason)
{
  const auto version = internal::Unpack<StoredVersion>(aBytes);
  if (version && version->m_version != kVersion) {
    aReason = {
      ReasonKind::BadValue, "unknown version of a record of run times", "the record is not used", {}
    };
    return std::nullopt;
  }
  const auto stored = internal::Unpack<StoredRunTimes>(aBytes);
  if (!stored || !IsName(stored->m_queue) || !IsValid(stored->m_fit) ||
      stored->m_images.size() > kMaxImagesPerQueue ||
      !std::ranges::all_of(stored->m_images, IsValid, &StoredImage::m_fit)) {
    aReason = { ReasonKind::BadValue, "not a record of run times", "the record is not used", {} };
    return std::nullopt;
  }
  RunTimeRecord record{ stored->m_token, stored->m_sequence, stored->m_queue, {} };
  record.m_times.m_fit = Restore(stored->m_fit);
  for (const auto& [key, fit] : stored->m_images) {
    record.m_times.m_images[key] = { Restore(fit), ++record.m_times.m_runs };
  }
  return record;
}

} // namespace pistachiostand::fleet
