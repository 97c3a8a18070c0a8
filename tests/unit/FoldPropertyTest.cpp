#include "Property.h"

#include "pistachiostand/process/Fold.h"
#include "pistachiostand/process/RecordCodec.h"
#include "pistachiostand/process/SnapshotCodec.h"

#include <algorithm>

namespace pistachiostand {
namespace {

std::string RulesText(int aMinAvailable)
{
  return "pool.spare = { instances = 1, spare = true } # A: x\n"
         "pool.web = { instances = 3, tolerate = \"rack\", task_control = \"full\", min_available "
         "= " +
         std::to_string(aMinAvailable) +
         " } # A: x\n"
         "service.web = { pool = \"web\", class = \"batch\", idempotent = false, timeout_ms = 5 } "
         "# A: x\n";
}

std::string GenName(const char* aPrefix, int aEnd)
{
  return aPrefix + std::to_string(*rc::gen::inRange(0, aEnd));
}

RecordBody GenInstanceBody()
{
  const InstanceId id = GenName("i", 4);
  const auto epoch = static_cast<Epoch>(*rc::gen::inRange(1, 5));
  const PoolName pool = *rc::gen::element<PoolName>("web", "spare");
  switch (*rc::gen::inRange(0, 7)) {
    case 0:
      return Fail{ id, epoch };
    case 1:
      return Retire{ id, epoch };
    case 2:
    case 3:
      return Drain{ id, epoch, pool };
    case 4:
      return Return{ id, epoch, GenName("b", 3) };
    default:
      return Join{ id,
                   "127.0.0.1:1",
                   "z",
                   GenName("r", 3),
                   GenName("b", 3),
                   pool,
                   static_cast<Epoch>(*rc::gen::inRange(0, 5)) };
  }
}

RecordBody GenJobBody()
{
  const JobKey key = GenName("t/k", 2);
  const auto attempt = static_cast<std::uint32_t>(*rc::gen::inRange(1, 4));
  const ClaimTarget target{ GenName("i", 4), GenName("b", 3) };
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return Submit{ key, "t", "web", 1, *rc::gen::element<std::string>("", "p"), std::nullopt };
    case 1:
      return Submit{ key, "t", "web", 1, {}, target };
    case 2:
      return Claim{ key, attempt, target, *rc::gen::arbitrary<bool>() };
    case 3:
      return ReleaseClaim{ key, attempt, *rc::gen::arbitrary<bool>() };
    case 4:
      return Cancel{ key };
    default:
      return Finish{ key, attempt, FinishKind::Completed, 200, "ok", true };
  }
}

RecordBody GenBody()
{
  switch (*rc::gen::inRange(0, 10)) {
    case 0:
      return Tick{ *rc::gen::inRange<Millis>(1, 500'000) };
    case 1:
      return Publish{ static_cast<Revision>(*rc::gen::inRange(0, 4)), GenName("op", 2),
                      RulesText(*rc::gen::inRange(0, 3)) };
    case 2:
    case 3:
    case 4:
      return GenJobBody();
    default:
      return GenInstanceBody();
  }
}

/// \brief Random records after a first publish; about every fifth one repeats an earlier one.
std::vector<Record> GenLog()
{
  std::vector<Record> log{ { 1, "e0", Publish{ 0, "op0", RulesText(1) } } };
  const int length = *rc::gen::inRange(10, 120);
  while (static_cast<int>(log.size()) < length) {
    if (*rc::gen::inRange(0, 5) == 0) {
      log.push_back(log[*rc::gen::inRange<std::size_t>(0, log.size())]);
    } else {
      log.push_back({ log.size() + 1, GenName("e", 3), GenBody() });
    }
  }
  return log;
}

FleetState Replay(FleetState aState, const std::vector<Record>& aLog)
{
  while (aState.m_nextOffset < aLog.size()) {
    const Offset offset = aState.m_nextOffset;
    Apply(aState, offset, aLog[offset]);
  }
  return aState;
}

/// \brief Checks the invariants between the states before and after one record.
void CheckStep(const FleetState& aBefore, const FleetState& aAfter, const Record& aRecord,
               bool aAccepted)
{
  RC_ASSERT(aAfter.m_revision >= aBefore.m_revision);
  RC_ASSERT(aAfter.m_timeMs >= aBefore.m_timeMs);
  for (const auto& [id, instance] : aAfter.m_instances) {
    const auto old = aBefore.m_instances.find(id);
    RC_ASSERT(!instance.m_pool.empty());
    RC_ASSERT(!aAfter.m_retired.contains(id));
    if (old != aBefore.m_instances.end() && old->second.m_pool != instance.m_pool) {
      RC_ASSERT(std::holds_alternative<Return>(aRecord.m_body));
      RC_ASSERT(old->second.m_bootId != instance.m_bootId);
    }
  }
  const auto* join = std::get_if<Join>(&aRecord.m_body);
  if (join != nullptr && aAccepted) {
    RC_ASSERT(join->m_epoch == EpochOf(aBefore, join->m_instance));
  }
  const auto* drain = std::get_if<Drain>(&aRecord.m_body);
  if (drain != nullptr && aAccepted) {
    const auto& pool = aAfter.m_instances.at(drain->m_instance).m_pool;
    RC_ASSERT(GuaranteedAfterLeaving(aAfter, pool, {}) >=
              aAfter.m_rules->m_pools.at(pool).m_minAvailable);
  }
  for (const auto& [key, job] : aAfter.m_jobs) {
    const auto old = aBefore.m_jobs.find(key);
    if (old != aBefore.m_jobs.end() && old->second.m_phase == JobPhase::Claimed) {
      // Only the claimant may advance to the next attempt, after a refusal by the server.
      const auto* claim = std::get_if<Claim>(&aRecord.m_body);
      const bool moved = claim != nullptr && claim->m_key == key && claim->m_afterRefusal &&
                         aRecord.m_author == old->second.m_claimant &&
                         claim->m_attempt == old->second.m_attempt + 1 && aAccepted;
      RC_ASSERT(job.m_attempt == old->second.m_attempt + (moved ? 1 : 0));
    }
    if (old != aBefore.m_jobs.end() && old->second.m_phase == JobPhase::Completed) {
      RC_ASSERT(job == old->second || aBefore.m_timeMs == 0);
    }
  }
}

TEST(FoldPropertyTest, Invariants_AfterEachRecord_Hold)
{
  CheckProperty("invariants", [] {
    FleetState state;
    for (const auto& record : GenLog()) {
      const FleetState before = state;
      const ApplyResult applyResult = Apply(state, state.m_nextOffset, record);
      CheckStep(before, state, record, applyResult.Accepted());
    }
  });
}

TEST(FoldPropertyTest, Readers_OfTheSameLog_HaveEqualStates)
{
  CheckProperty("readers", [] {
    const auto log = GenLog();
    const auto cut = *rc::gen::inRange<std::size_t>(0, log.size());
    const FleetState prefix =
      Replay({}, { log.begin(), log.begin() + static_cast<std::ptrdiff_t>(cut) });
    RC_ASSERT(Replay(prefix, log) == Replay({}, log));
  });
}

TEST(FoldPropertyTest, Codec_OfStateAndRecords_RoundTrips)
{
  CheckProperty("codec", [] {
    const auto log = GenLog();
    const FleetState state = Replay({}, log);
    Reason reason;
    const auto decoded = DecodeState(EncodeState(state), reason);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == state);
    RC_ASSERT(*decoded->m_rules == *state.m_rules);
    for (const auto& record : log) {
      RC_ASSERT(DecodeRecord(EncodeRecord(record), reason) == record);
    }
  });
}

// Guards against a new reader that differs from the others after it started from a snapshot that a
// paused process wrote late.
TEST(FoldPropertyTest, Reader_StartedFromSnapshot_EqualsFullReader)
{
  CheckProperty("snapshot", [] {
    auto log = GenLog();
    const auto covered = *rc::gen::inRange<std::size_t>(1, log.size());
    const auto written = *rc::gen::inRange<std::size_t>(covered, log.size() + 1);
    const auto oldest = *rc::gen::inRange<std::size_t>(0, covered + 1);
    const FleetState state =
      Replay({}, { log.begin(), log.begin() + static_cast<std::ptrdiff_t>(covered) });
    std::vector<Record> parts;
    for (const auto& part : MakeSnapshot(state, 200)) {
      parts.push_back({ 9'000 + part.m_part, "e9", part });
    }
    log.insert(log.begin() + static_cast<std::ptrdiff_t>(written), parts.begin(), parts.end());
    std::vector<LogEntry> retained;
    for (std::size_t i = oldest; i < log.size(); ++i) {
      retained.push_back({ i, log[i] });
    }
    const auto start = FindSnapshot(retained);
    RC_ASSERT(start.has_value());
    RC_ASSERT(Replay(*start, log) == Replay({}, log));
  });
}

} // namespace
} // namespace pistachiostand
