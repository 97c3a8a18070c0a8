/// \file
/// \brief Time of the fold per record, and encoded state size per instance and job.
///
/// Prints one line per fleet size; the costs per object in `docs/CAPACITY.md` come from this
/// output.

#include "pistachiostand/process/Fold.h"
#include "pistachiostand/process/RecordCodec.h"
#include "pistachiostand/process/SnapshotCodec.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <vector>

namespace {

using namespace pistachiostand;
using Clock = std::chrono::steady_clock;

constexpr std::uint32_t kInstancesPerPool = 30;

std::string MakeRules(std::uint32_t aPools)
{
  std::string text = "pool.spare = { instances = 0, spare = true } # Bench: spare\n";
  for (std::uint32_t i = 0; i < aPools; ++i) {
    text += fmt::format(
      "pool.p{0} = {{ instances = 30, min_available = 20, tolerate = \"rack\" }} # B: x\n"
      "service.p{0} = {{ pool = \"p{0}\", class = \"batch\", idempotent = false, timeout_ms = 1000 "
      "}} # B: x\n",
      i);
  }
  return text;
}

InstanceId InstanceName(std::uint32_t aIndex)
{
  return "i-" + std::to_string(100'000 + aIndex);
}

/// \brief Applies the records and returns the mean time per record in microseconds.
double Measure(FleetState& aState, const std::vector<RecordBody>& aBodies)
{
  const auto start = Clock::now();
  for (const auto& body : aBodies) {
    Apply(aState, aState.m_nextOffset, Record{ aState.m_nextOffset + 1, "bench", body });
  }
  const std::chrono::duration<double, std::micro> took = Clock::now() - start;
  return took.count() / static_cast<double>(std::max<std::size_t>(aBodies.size(), 1));
}

std::vector<RecordBody> ForEach(std::uint32_t aCount,
                                const std::function<RecordBody(std::uint32_t)>& aMake)
{
  std::vector<RecordBody> bodies;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    bodies.push_back(aMake(i));
  }
  return bodies;
}

void Run(std::uint32_t aInstances)
{
  FleetState state;
  const std::uint32_t pools = std::max(1U, aInstances / kInstancesPerPool);
  const auto poolOf = [pools](std::uint32_t aIndex) {
    return "p" + std::to_string(aIndex % pools);
  };
  const double publishUs = Measure(state, { Publish{ 0, "bench", MakeRules(pools) } });
  const double joinUs = Measure(state, ForEach(aInstances, [&](std::uint32_t aIndex) -> RecordBody {
                                  return Join{ InstanceName(aIndex),
                                               "10.0.0.1:80",
                                               "zone-" + std::to_string(aIndex % 11),
                                               "rack-" + std::to_string(aIndex / 44),
                                               "boot-1",
                                               poolOf(aIndex),
                                               0 };
                                }));
  const std::size_t fleetBytes = EncodeState(state).size();
  const std::uint32_t drains = std::min(aInstances, 400U);
  const double drainUs = Measure(state, ForEach(drains, [&](std::uint32_t aIndex) -> RecordBody {
                                   return Drain{ InstanceName(aIndex), 1, poolOf(aIndex) };
                                 }));
  const double returnUs = Measure(state, ForEach(drains, [&](std::uint32_t aIndex) -> RecordBody {
                                    return Return{ InstanceName(aIndex), 2, "boot-2" };
                                  }));
  const std::uint32_t jobs = aInstances * 4;
  const auto keyOf = [](std::uint32_t aIndex) {
    return "tenant/key-" + std::to_string(1'000'000 + aIndex);
  };
  const double submitUs =
    Measure(state, ForEach(jobs, [&](std::uint32_t aIndex) -> RecordBody {
              return Submit{ keyOf(aIndex), "tenant", poolOf(aIndex), aIndex, {}, std::nullopt };
            }));
  const std::size_t bytesWithJobs = EncodeState(state).size();
  const auto start = Clock::now();
  const auto parts = MakeSnapshot(state);
  const std::chrono::duration<double, std::milli> snapshotMs = Clock::now() - start;
  const std::size_t recordBytes =
    EncodeRecord({ 1, "entry-a1", Drain{ InstanceName(1), 1, "p1" } }).size();
  std::printf("instances=%u pools=%u publish_us=%.1f join_us=%.2f drain_us=%.2f return_us=%.2f "
              "submit_us=%.2f bytes_per_instance=%.1f bytes_per_job=%.1f drain_record_bytes=%zu "
              "snapshot_bytes=%zu snapshot_ms=%.2f parts=%zu\n",
              aInstances, pools, publishUs, joinUs, drainUs, returnUs, submitUs,
              static_cast<double>(fleetBytes) / aInstances,
              static_cast<double>(bytesWithJobs - fleetBytes) / jobs, recordBytes, bytesWithJobs,
              snapshotMs.count(), parts.size());
}

} // namespace

int main()
{
  for (const std::uint32_t instances : { 50U, 500U, 2'000U, 8'500U }) {
    Run(instances);
  }
  return 0;
}
