/// \file
/// \brief Memory, CPU time and bytes of the objects that an entry instance stores or sends.
///
/// Prints Markdown tables; the costs per object in `docs/CAPACITY.md` come from this output. Times
/// are CPU time of this process and memory is growth of the allocated heap, so both are valid on a
/// busy machine.

#include "pistachiostand/base/Base64.h"
#include "pistachiostand/connection/PeerMessage.h"
#include "pistachiostand/process/FleetPlanner.h"
#include "pistachiostand/process/Fold.h"
#include "pistachiostand/process/RecordCodec.h"
#include "pistachiostand/process/SnapshotCodec.h"

#include <fmt/format.h>
#include <malloc.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <functional>
#include <vector>

namespace {

using namespace pistachiostand;

constexpr std::uint32_t kInstances = 8'500;
constexpr std::uint32_t kPools = 270;
constexpr std::uint32_t kTenants = 100;
constexpr std::uint32_t kKeys = 100'000;

double CpuUs()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double HeapBytes()
{
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

struct Cost
{
  double m_us{};    ///< CPU time per repetition.
  double m_bytes{}; ///< Heap that stays allocated, per repetition.
};

Cost Measure(std::uint32_t aCount, const std::function<void(std::uint32_t)>& aDo)
{
  const double bytes = HeapBytes();
  const double start = CpuUs();
  for (std::uint32_t i = 0; i < aCount; ++i) {
    aDo(i);
  }
  return { (CpuUs() - start) / aCount, (HeapBytes() - bytes) / aCount };
}

/// \brief Applies a record and reports a refusal, since the cost of a refused record is
/// meaningless.
void ApplyOrReport(FleetState& aState, const RecordBody& aBody)
{
  const Offset offset = aState.m_nextOffset;
  const ApplyResult applyResult =
    Apply(aState, offset, Record{ offset + 1, "e1#0123456789abcdef", aBody });
  if (!applyResult.Accepted()) {
    fmt::print(stderr, "capacity_slopes: refused: {}: {}\n", DescribeRecord(aBody),
               ToString(*applyResult.m_refusal));
  }
}

std::string PoolOf(std::uint32_t aIndex, std::uint32_t aPools)
{
  return fmt::format("pool-{}", aIndex % aPools);
}

std::string MakeRules(std::uint32_t aPools, std::uint32_t aTenants)
{
  std::string text = "pool.spare = { instances = 0, spare = true } # Ann Lee: spare pool\n";
  for (std::uint32_t i = 0; i < aPools; ++i) {
    text += fmt::format(
      "pool.pool-{0} = {{ instances = 31, min_available = 20, tolerate = \"rack\", spread = "
      "\"zone\", task_control = \"full\" }} # Ann Lee: capacity\n"
      "service.pool-{0} = {{ pool = \"pool-{0}\", class = \"batch\", idempotent = false, "
      "timeout_ms = 10000 }} # Ann Lee: capacity\n",
      i);
  }
  for (std::uint32_t i = 0; i < aTenants; ++i) {
    text += fmt::format("tenant.t{} = {{ share = 1, max_queued = 64 }} # Bo Cruz: contract\n", i);
  }
  return text;
}

InstanceId InstanceName(std::uint32_t aIndex)
{
  return fmt::format("i-{}", 100'000 + aIndex);
}

BootId BootName(std::uint32_t aIndex)
{
  return fmt::format("b-{:016x}", aIndex);
}

Join MakeJoin(std::uint32_t aIndex, std::uint32_t aPools)
{
  return { InstanceName(aIndex),
           fmt::format("10.{}.{}.{}:8080", aIndex / 65'536, aIndex / 256 % 256, aIndex % 256),
           fmt::format("region-{}-{}", aIndex % 5, aIndex % 11),
           fmt::format("rack-{}", aIndex / 44),
           BootName(aIndex),
           PoolOf(aIndex, aPools) };
}

JobKey KeyOf(std::uint32_t aIndex)
{
  return fmt::format("t{}/order-{:012}", aIndex % kTenants, aIndex);
}

Submit MakeSubmit(std::uint32_t aIndex)
{
  return { KeyOf(aIndex),
           fmt::format("t{}", aIndex % kTenants),
           PoolOf(aIndex % kInstances, kPools),
           aIndex,
           {},
           ClaimTarget{ InstanceName(aIndex % kInstances), BootName(aIndex % kInstances) } };
}

Finish MakeFinish(std::uint32_t aIndex)
{
  return { KeyOf(aIndex), 1, FinishKind::Completed, 200, std::string(64, 'x'), true };
}

FleetState MakeFleet(std::uint32_t aInstances, std::uint32_t aPools, std::uint32_t aTenants)
{
  FleetState state;
  ApplyOrReport(state, Tick{ 60'000 });
  ApplyOrReport(state, Publish{ 0, "Ann Lee", MakeRules(aPools, aTenants) });
  for (std::uint32_t i = 0; i < aInstances; ++i) {
    ApplyOrReport(state, MakeJoin(i, aPools));
  }
  return state;
}

void PrintRow(const std::string& aName, std::uint32_t aCount, const Cost& aCost)
{
  fmt::print("| {} | {} | {:.2f} | {:.0f} |\n", aName, aCount, aCost.m_us, aCost.m_bytes);
}

void PrintState()
{
  fmt::print("\n| Held | Number | Processor time each, us | Heap each, bytes |\n"
             "| --- | --- | --- | --- |\n");
  for (const std::uint32_t count : { 50U, 500U, 2'000U, kInstances }) {
    FleetState state = MakeFleet(0, kPools, 0);
    PrintRow("instance", count, Measure(count, [&](std::uint32_t aIndex) {
               ApplyOrReport(state, MakeJoin(aIndex, kPools));
             }));
  }
  for (const std::uint32_t count : { 10U, 90U, kPools }) {
    FleetState state;
    Cost cost = Measure(1, [&](std::uint32_t) {
      ApplyOrReport(state, Publish{ 0, "Ann Lee", MakeRules(count, 0) });
    });
    PrintRow("pool with its service", count, { cost.m_us / count, cost.m_bytes / count });
  }
  for (const std::uint32_t count : { 10U, 50U, kTenants }) {
    FleetState state;
    Cost cost = Measure(1, [&](std::uint32_t) {
      ApplyOrReport(state, Publish{ 0, "Ann Lee", MakeRules(1, count) });
    });
    PrintRow("tenant", count, { cost.m_us / count, cost.m_bytes / count });
  }
  for (const std::uint32_t count : { 1'000U, 10'000U, kKeys }) {
    FleetState state = MakeFleet(kInstances, kPools, kTenants);
    const Cost claimed =
      Measure(count, [&](std::uint32_t aIndex) { ApplyOrReport(state, MakeSubmit(aIndex)); });
    PrintRow("job in flight", count, claimed);
    const Cost finished =
      Measure(count, [&](std::uint32_t aIndex) { ApplyOrReport(state, MakeFinish(aIndex)); });
    PrintRow("remembered key, 64 bytes kept", count,
             { claimed.m_us + finished.m_us, claimed.m_bytes + finished.m_bytes });
  }
}

/// \brief Prints the costs of a record, its encoded size, and its size as base64 in the JSON of a
/// log append and a log read.
void PrintRecord(const RecordBody& aBody, const Cost& aCost)
{
  const auto bytes = EncodeRecord({ 0x0123456789abcdefU, "e1#0123456789abcdef", aBody });
  const auto data = EncodeBase64(bytes);
  const auto append = nlohmann::json(data).dump().size() + 1;
  const auto read = nlohmann::json{ { "offset", 1'000'000 }, { "data", data } }.dump().size() + 1;
  double decodeUs = 0;
  decodeUs = Measure(200, [&](std::uint32_t) {
               Reason reason;
               if (!DecodeRecord(*DecodeBase64(data), reason)) {
                 fmt::print(stderr, "capacity_slopes: a record cannot be decoded\n");
               }
             }).m_us;
  fmt::print("| `{}` | {:.2f} | {:.2f} | {} | {} | {} |\n", KindName(aBody), aCost.m_us, decodeUs,
             bytes.size(), append, read);
}

/// \brief Applies `aCount` records of one kind to a state of the largest intended size and prints
/// the cost.
void PrintKind(FleetState& aState, std::uint32_t aCount,
               const std::function<RecordBody(std::uint32_t)>& aMake)
{
  std::vector<RecordBody> bodies;
  for (std::uint32_t i = 0; i < aCount; ++i) {
    bodies.push_back(aMake(i));
  }
  const RecordBody example = bodies.front();
  PrintRecord(
    example, Measure(aCount, [&](std::uint32_t aIndex) { ApplyOrReport(aState, bodies[aIndex]); }));
}

void PrintRecords()
{
  fmt::print("\n| Record at {} instances, {} pools, {} keys | Apply, us | Decode, us | Bytes | In "
             "an append | In a read |\n| --- | --- | --- | --- | --- | --- |\n",
             kInstances, kPools, kKeys);
  FleetState state = MakeFleet(kInstances, kPools, kTenants);
  for (std::uint32_t i = 0; i < kKeys; ++i) {
    ApplyOrReport(state, MakeSubmit(i));
    ApplyOrReport(state, MakeFinish(i));
  }
  using Index = std::uint32_t;
  constexpr Index kFew = 200;
  const auto key = [](Index aIndex) { return kKeys + aIndex; };
  PrintKind(state, 5, [&](Index aIndex) -> RecordBody {
    return Publish{ state.m_revision + aIndex, "Ann Lee", MakeRules(kPools, kTenants) };
  });
  PrintKind(state, kFew, [&](Index aIndex) { return MakeJoin(kInstances + aIndex, kPools); });
  PrintKind(state, kFew, [&](Index aIndex) {
    return Drain{ InstanceName(aIndex), 1, PoolOf(aIndex, kPools) };
  });
  PrintKind(state, kFew, [&](Index aIndex) {
    return Return{ InstanceName(aIndex), 2, BootName(kInstances * 2 + aIndex) };
  });
  PrintKind(state, kFew, [&](Index aIndex) { return Fail{ InstanceName(aIndex), 3 }; });
  PrintKind(state, kFew, [&](Index aIndex) { return Retire{ InstanceName(aIndex), 4 }; });
  PrintKind(state, kFew, [&](Index aIndex) {
    auto submit = MakeSubmit(key(aIndex + kFew));
    submit.m_payload = std::string(256, 'x');
    submit.m_claim.reset();
    return submit;
  });
  PrintKind(state, kFew, [&](Index aIndex) {
    const auto submit = MakeSubmit(key(aIndex + kFew));
    return Claim{ submit.m_key, 1, *submit.m_claim };
  });
  PrintKind(state, kFew, [&](Index aIndex) {
    return ReleaseClaim{ KeyOf(key(aIndex + kFew)), 1, true, false };
  });
  PrintKind(state, kFew, [&](Index aIndex) { return Cancel{ KeyOf(key(aIndex + kFew)) }; });
  PrintKind(state, kFew, [&](Index aIndex) { return MakeSubmit(key(aIndex + 4 * kFew)); });
  PrintKind(state, kFew, [&](Index aIndex) { return MakeFinish(key(aIndex + 4 * kFew)); });
  PrintKind(state, kFew,
            [&](Index aIndex) { return Tick{ state.m_timeMs + Millis{ 10'000 } * (aIndex + 1) }; });
  fmt::print("\nRule file of {} pools and {} tenants: {} bytes.\n", kPools, kTenants,
             state.m_rulesText.size());
}

void PrintSnapshots()
{
  fmt::print("\n| Snapshot: instances | Keys | Bytes | Parts | Make, ms | Read, ms |\n"
             "| --- | --- | --- | --- | --- | --- |\n");
  for (const auto& [instances, keys] : { std::pair{ 50U, 1'000U },
                                         { kInstances, 0U },
                                         { kInstances, 10'000U },
                                         { kInstances, kKeys } }) {
    FleetState state = MakeFleet(instances, kPools, kTenants);
    for (std::uint32_t i = 0; i < keys; ++i) {
      const auto submit = MakeSubmit(i % instances + i / instances * kInstances);
      ApplyOrReport(state, submit);
      ApplyOrReport(
        state, Finish{ submit.m_key, 1, FinishKind::Completed, 200, std::string(64, 'x'), true });
    }
    std::vector<Snapshot> parts;
    const Cost make = Measure(1, [&](std::uint32_t) { parts = MakeSnapshot(state); });
    const std::string bytes = EncodeState(state);
    const Cost read = Measure(1, [&](std::uint32_t) {
      Reason reason;
      if (!DecodeState(bytes, reason)) {
        fmt::print(stderr, "capacity_slopes: the state cannot be decoded\n");
      }
    });
    fmt::print("| {} | {} | {} | {} | {:.1f} | {:.1f} |\n", instances, keys, bytes.size(),
               parts.size(), make.m_us / 1e3, read.m_us / 1e3);
  }
}

void PrintHeartbeats()
{
  fmt::print(
    "\n| Heartbeat: instances in flight | Bytes in a frame | Sent to 8 peers, bytes/s | to "
    "32 peers | Encode, us |\n| --- | --- | --- | --- | --- |\n");
  for (const std::uint32_t count : { 0U, 10U, 31U, 100U, 850U, kInstances }) {
    Heartbeat heartbeat{ 1'000'000, 3'000, 250, false, {}, {} };
    for (std::uint32_t i = 0; i < count; ++i) {
      heartbeat.m_inFlight[InstanceName(i)] = 4;
    }
    const auto bytes = EncodePeerMessage(heartbeat).size() + 4;
    const Cost cost = Measure(100, [&](std::uint32_t) {
      if (EncodePeerMessage(heartbeat).empty()) {
        fmt::print(stderr, "capacity_slopes: a heartbeat cannot be encoded\n");
      }
    });
    fmt::print("| {} | {} | {} | {} | {:.1f} |\n", count, bytes, bytes * 2 * 8, bytes * 2 * 32,
               cost.m_us);
  }
}

void PrintPlanner()
{
  fmt::print("\n| Planner: instances | Pools | One call without work, ms |\n| --- | --- | --- |\n");
  for (const std::uint32_t count : { 50U, 500U, 2'000U, kInstances }) {
    const std::uint32_t pools = std::max(1U, count / 31);
    const FleetState state = MakeFleet(count, pools, kTenants);
    std::vector<ListedInstance> listed;
    for (const auto& [id, instance] : state.m_instances) {
      listed.push_back({ id, instance.m_address, instance.m_zone, instance.m_rack,
                         instance.m_bootId, instance.m_pool, false });
    }
    PlannerMemory memory;
    const Cost cost = Measure(20, [&](std::uint32_t aIndex) {
      const auto now = Millis{ 1'000 } * (aIndex + 1);
      if (!PlanFleet({ state, listed, {}, state.m_nextOffset, {}, now }, memory)
             .m_reboots.empty()) {
        fmt::print(stderr, "capacity_slopes: the planner found work\n");
      }
    });
    fmt::print("| {} | {} | {:.2f} |\n", count, pools, cost.m_us / 1e3);
  }
}

} // namespace

int main()
{
  PrintState();
  PrintRecords();
  PrintSnapshots();
  PrintHeartbeats();
  PrintPlanner();
  return 0;
}
