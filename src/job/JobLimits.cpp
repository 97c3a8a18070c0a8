#include "pistachiostand/job/JobLimits.h"

#include "pistachiostand/base/Bounds.h"

#include <algorithm>
#include <cmath>

namespace pistachiostand::fleet {

namespace {

bool IsValidNeed(std::int64_t aNeed) noexcept
{
  return aNeed >= 0 && aNeed <= kMaxNeed;
}

bool IsValid(const QueueTerms& aTerms) noexcept
{
  const auto& advice = aTerms.m_advice;
  return aTerms.m_maxFailures > 0 && std::isfinite(aTerms.m_stretch) && aTerms.m_stretch >= 0 &&
         aTerms.m_stretch <= kMaxStretch && IsTime(aTerms.m_objectiveBaseMs) &&
         (!advice || (IsTime(advice->m_decisionMs) && IsTime(advice->m_perServerMs) &&
                      IsTime(advice->m_validMs)));
}

std::string_view ValidationErrorOf(const StepSpec& aStep, std::size_t aIndex) noexcept
{
  if (aStep.m_count == 0 || aStep.m_count > kMaxSubtasks) {
    return "the number of subtasks of a step is out of range";
  }
  if (!IsValidNeed(aStep.m_need.m_cpuMillis) || !IsValidNeed(aStep.m_need.m_memoryMb) ||
      !IsValidNeed(aStep.m_need.m_gpus)) {
    return "the need of a step is out of range";
  }
  if (!IsTime(aStep.m_estimateMs) || !IsTime(aStep.m_tailLatencyTargetMs)) {
    return "a time of a step is out of range";
  }
  if (aStep.m_dependencies.size() > kMaxSteps ||
      std::ranges::any_of(aStep.m_dependencies,
                          [aIndex](std::uint32_t aEarlier) { return aEarlier >= aIndex; })) {
    return "a step follows itself or a later one";
  }
  if (aStep.m_image.size() > kMaxTextBytes || aStep.m_requiredLabel.size() > kMaxTextBytes ||
      aStep.m_dataRack.size() > kMaxTextBytes) {
    return "the image, label or rack of a step is too long";
  }
  return {};
}

} // namespace

bool IsValidJobId(std::string_view aId) noexcept
{
  return IsName(aId) && std::ranges::all_of(aId, [](char aCharacter) {
           return (aCharacter >= '0' && aCharacter <= '9') ||
                  (aCharacter >= 'a' && aCharacter <= 'z') ||
                  (aCharacter >= 'A' && aCharacter <= 'Z') || aCharacter == '-' ||
                  aCharacter == '_';
         });
}

std::string_view ValidationErrorOf(const JobSpec& aSpec) noexcept
{
  if (!IsValidJobId(aSpec.m_id)) {
    return "the id is no job id";
  }
  if (aSpec.m_queue.size() > kMaxTextBytes || aSpec.m_pool.size() > kMaxTextBytes ||
      aSpec.m_account.size() > kMaxTextBytes) {
    return "the queue, pool or account is too long";
  }
  if (aSpec.m_payload.size() > kMaxPayloadBytes) {
    return "the payload is too long";
  }
  if (!IsTime(aSpec.m_acceptedMs) || !IsTime(aSpec.m_firstDueMs) || !IsTime(aSpec.m_intervalMs) ||
      (aSpec.m_intervalMs > 0 && aSpec.m_occurrences > kMaxTimeMs / aSpec.m_intervalMs)) {
    return "a time is out of range";
  }
  if (!IsValid(aSpec.m_terms)) {
    return "the terms of the queue are out of range";
  }
  if (aSpec.m_steps.empty() || aSpec.m_steps.size() > kMaxSteps) {
    return "the number of steps is out of range";
  }
  std::uint64_t subtasks = 0;
  for (std::size_t index = 0; index < aSpec.m_steps.size(); ++index) {
    const auto fault = ValidationErrorOf(aSpec.m_steps[index], index);
    if (!fault.empty()) {
      return fault;
    }
    subtasks += aSpec.m_steps[index].m_count;
  }
  if (subtasks > kMaxSubtasks ||
      subtasks * std::max<std::uint64_t>(aSpec.m_occurrences, 1) > kMaxOccurrenceSubtasks) {
    return "there are too many subtasks";
  }
  return {};
}

} // namespace pistachiostand::fleet
