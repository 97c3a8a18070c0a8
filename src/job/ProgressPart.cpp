#include "pistachiostand/job/ProgressPart.h"

#include "pistachiostand/job/JobLimits.h"

#include <algorithm>
#include <charconv>
#include <numeric>

namespace pistachiostand::fleet {

namespace {

/// Not a character of job ids.
constexpr char kSeparator = '.';

std::uint64_t CountSubtasksBefore(const JobSpec& aSpec, std::size_t aStep) noexcept
{
  const auto end =
    aSpec.m_steps.begin() + static_cast<std::ptrdiff_t>(std::min(aStep, aSpec.m_steps.size()));
  return std::accumulate(
    aSpec.m_steps.begin(), end, std::uint64_t{},
    [](std::uint64_t aSum, const StepSpec& aEach) { return aSum + aEach.m_count; });
}

} // namespace

std::uint64_t SubtaskCount(const JobSpec& aSpec) noexcept
{
  return CountSubtasksBefore(aSpec, aSpec.m_steps.size());
}

std::uint32_t PartNumberOf(const JobSpec& aSpec, std::uint32_t aOccurrence, std::uint32_t aStep,
                           std::uint32_t aIndex) noexcept
{
  const std::uint64_t before = aOccurrence == 0 ? 0 : aOccurrence * SubtaskCount(aSpec);
  return static_cast<std::uint32_t>((before + CountSubtasksBefore(aSpec, aStep) + aIndex) /
                                    kSubtasksPerPart);
}

std::uint32_t PartCount(const JobSpec& aSpec) noexcept
{
  const std::uint64_t all = SubtaskCount(aSpec) * std::max<std::uint64_t>(aSpec.m_occurrences, 1);
  return static_cast<std::uint32_t>(
    std::max<std::uint64_t>((all + kSubtasksPerPart - 1) / kSubtasksPerPart, 1));
}

std::string KeyOf(const ProgressPart& aPart)
{
  return aPart.m_number == 0 ? aPart.m_job
                             : aPart.m_job + kSeparator + std::to_string(aPart.m_number);
}

std::optional<ProgressPart> ParseProgressKey(std::string_view aKey)
{
  const auto separator = aKey.find(kSeparator);
  ProgressPart part{ JobId{ aKey.substr(0, separator) }, 0 };
  if (!IsValidJobId(part.m_job)) {
    return std::nullopt;
  }
  if (separator != std::string_view::npos) {
    const auto number = aKey.substr(separator + 1);
    std::from_chars(number.data(), number.data() + number.size(), part.m_number);
    if (part.m_number == 0 || KeyOf(part) != aKey) {
      return std::nullopt;
    }
  }
  return part;
}

} // namespace pistachiostand::fleet
