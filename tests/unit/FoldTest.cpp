#include "pistachiostand/process/Fold.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

constexpr Millis kStartMs = 1'000'000;

class FoldTest : public ::testing::Test
{
protected:
  static std::string RulesText(std::uint32_t aMinAvailable = 1, std::string_view aExtra = {})
  {
    return "pool.spare = { instances = 1, spare = true } # Ann: spare\n"
           "pool.web = { instances = 3, min_available = " +
           std::to_string(aMinAvailable) +
           ", task_control = \"full\" } # Ann: shop\n"
           "pool.plain = { instances = 1 } # Ann: plain\n"
           "service.web = { pool = \"web\", class = \"batch\", idempotent = false, timeout_ms = 5 "
           "} # Ann: x\n"
           "service.read = { pool = \"web\", class = \"batch\", idempotent = true, timeout_ms = 5 "
           "} # Ann: x\n"
           "service.plain = { pool = \"plain\", class = \"batch\", idempotent = false, timeout_ms "
           "= 5 } # Ann: x\n" +
           std::string{ aExtra };
  }

  void SetUp() override
  {
    ASSERT_FALSE(TryApply(Publish{ 0, "ann", RulesText() }));
    ASSERT_FALSE(TryApply(Tick{ kStartMs }));
  }

  /// \brief Applies a record with a new id and returns its refusal, if any.
  std::optional<Refusal> TryApply(RecordBody aBody, const EntryId& aAuthor = "e1")
  {
    return TryApplyWithId(++m_nextId, std::move(aBody), aAuthor);
  }

  std::optional<Refusal> TryApplyWithId(std::uint64_t aId, RecordBody aBody,
                                        const EntryId& aAuthor = "e1")
  {
    return Apply(m_state, m_state.m_nextOffset, { aId, aAuthor, std::move(aBody) }).m_refusal;
  }

  std::optional<Refusal> JoinAs(const InstanceId& aId, const BootId& aBoot = "b1",
                                const PoolName& aPool = "web")
  {
    return TryApply(
      Join{ aId, "127.0.0.1:1", "z1", "r-" + aId, aBoot, aPool, EpochOf(m_state, aId) });
  }

  void Advance(Millis aMs)
  {
    const Millis end = m_state.m_timeMs + aMs;
    while (m_state.m_timeMs < end) {
      TryApply(Tick{ end });
    }
  }

  static Submit SubmitOf(const ServiceName& aService, std::string aPayload = {},
                         std::optional<ClaimTarget> aClaim = std::nullopt)
  {
    return { "t/k", "t", aService, 7, std::move(aPayload), std::move(aClaim) };
  }

  /// \brief A job claimed by entry instance e1 on instance i1 with attempt 1.
  void SubmitClaimed(const ServiceName& aService = "web", std::string aPayload = {})
  {
    JoinAs("i1");
    ASSERT_FALSE(TryApply(SubmitOf(aService, std::move(aPayload), ClaimTarget{ "i1", "b1" })));
  }

  const Instance& At(const InstanceId& aId) { return m_state.m_instances.at(aId); }
  const Job& TheJob() { return m_state.m_jobs.at("t/k"); }

  FleetState m_state;
  std::uint64_t m_nextId{};
};

TEST_F(FoldTest, Publish_OnCurrentBase_TakesEffect)
{
  EXPECT_FALSE(TryApply(Publish{ 1, "bo", RulesText(2) }));
  EXPECT_EQ(m_state.m_revision, 2U);
  EXPECT_EQ(m_state.m_provenance.at("pool.web").m_author, "bo");
  EXPECT_EQ(m_state.m_provenance.at("pool.spare").m_author, "ann");
}

// Guards against an operator's publish that overwrites a change which the operator has not read.
TEST_F(FoldTest, Publish_OnOldBase_IsRefused)
{
  EXPECT_EQ(TryApply(Publish{ 0, "bo", RulesText(2) }), Refusal::StaleBase);
  EXPECT_EQ(m_state.m_revision, 1U);
}

TEST_F(FoldTest, Publish_OfInvalidText_IsRefused)
{
  EXPECT_EQ(TryApply(Publish{ 1, "bo", "pool.x = {}" }), Refusal::InvalidRules);
  EXPECT_EQ(m_state.m_rulesText, RulesText());
}

// Guards against a publish that is reported as refused when it is repeated after a lost response.
TEST_F(FoldTest, Publish_Repeated_ReturnsTheFirstResult)
{
  const Publish publish{ 1, "bo", RulesText(2) };
  EXPECT_FALSE(TryApplyWithId(PublishId(publish), publish));
  EXPECT_FALSE(TryApply(Publish{ 2, "cy", RulesText(1) }));
  EXPECT_FALSE(TryApplyWithId(PublishId(publish), publish));
  EXPECT_EQ(m_state.m_revision, 3U);
  EXPECT_EQ(FindPublish(m_state, PublishId(publish))->m_revision, 2U);
}

TEST_F(FoldTest, Join_OfUnknownInstance_EntersNamedOrSparePool)
{
  EXPECT_FALSE(JoinAs("i1"));
  EXPECT_FALSE(JoinAs("i2", "b1", "removed"));
  EXPECT_EQ(At("i1").m_pool, "web");
  EXPECT_EQ(At("i2").m_pool, "spare");
}

TEST_F(FoldTest, Join_OfServingOrLeavingInstance_IsRefused)
{
  JoinAs("i1");
  JoinAs("i2");
  EXPECT_EQ(JoinAs("i1", "b2"), Refusal::WrongPhase);
  EXPECT_FALSE(TryApply(Drain{ "i1", 1, "spare" }));
  EXPECT_EQ(JoinAs("i1", "b2"), Refusal::WrongPhase);
}

TEST_F(FoldTest, Join_WithoutRules_IsRefused)
{
  m_state = {};
  EXPECT_EQ(JoinAs("i1"), Refusal::UnknownPool);
}

TEST_F(FoldTest, Join_OfFailedInstance_ReturnsToItsPool)
{
  JoinAs("i1");
  EXPECT_FALSE(TryApply(Fail{ "i1", 1 }));
  EXPECT_FALSE(JoinAs("i1", "b2", "spare"));
  EXPECT_EQ(At("i1").m_pool, "web");
  EXPECT_EQ(At("i1").m_epoch, 3U);
}

TEST_F(FoldTest, Fail_WithOldEpochOrWhileLeaving_IsRefused)
{
  JoinAs("i1");
  JoinAs("i2");
  EXPECT_EQ(TryApply(Fail{ "i1", 9 }), Refusal::StaleEpoch);
  EXPECT_EQ(TryApply(Fail{ "i9", 1 }), Refusal::UnknownInstance);
  EXPECT_FALSE(TryApply(Drain{ "i1", 1, "web" }));
  EXPECT_EQ(TryApply(Fail{ "i1", 2 }), Refusal::WrongPhase);
}

// Guards against a second reboot order while the first one is in transit: the first one would
// arrive when the instance serves again.
TEST_F(FoldTest, Join_OfRetiredLeavingInstance_ResumesDrainWithItsEpoch)
{
  JoinAs("i1");
  JoinAs("i2");
  EXPECT_FALSE(TryApply(Drain{ "i1", 1, "spare" }));
  EXPECT_FALSE(TryApply(Retire{ "i1", 2 }));
  EXPECT_FALSE(JoinAs("i1"));
  EXPECT_EQ(At("i1").m_phase, InstancePhase::Leaving);
  EXPECT_EQ(At("i1").m_target, "spare");
  EXPECT_EQ(At("i1").m_epoch, 2U);
}

TEST_F(FoldTest, Retire_OfServingInstance_IsRefused)
{
  JoinAs("i1");
  EXPECT_EQ(TryApply(Retire{ "i1", 1 }), Refusal::WrongPhase);
}

TEST_F(FoldTest, Retired_After24Hours_IsForgotten)
{
  JoinAs("i1");
  TryApply(Fail{ "i1", 1 });
  EXPECT_FALSE(TryApply(Retire{ "i1", 2 }));
  Advance(kKeyRetentionMs);
  EXPECT_TRUE(m_state.m_retired.contains("i1"));
  Advance(1);
  EXPECT_FALSE(m_state.m_retired.contains("i1"));
}

TEST_F(FoldTest, Drain_BelowBudget_IsRefused)
{
  JoinAs("i1");
  JoinAs("i2");
  EXPECT_FALSE(TryApply(Drain{ "i1", 1, "spare" }));
  EXPECT_EQ(TryApply(Drain{ "i2", 1, "spare" }), Refusal::BudgetExceeded);
}

// Guards against a wave during which the loss of a rack would take the pool below its budget.
TEST_F(FoldTest, Drain_WithTolerate_KeepsBudgetAfterLossOfARack)
{
  EXPECT_FALSE(
    TryApply(Publish{ 1, "bo",
                      RulesText(1, "pool.safe = { instances = 3, min_available = 1, tolerate = "
                                   "\"rack\" } # Bo: x\n") }));
  JoinAs("i1", "b1", "safe");
  JoinAs("i2", "b1", "safe");
  EXPECT_EQ(TryApply(Drain{ "i1", 1, "safe" }), Refusal::BudgetExceeded);
  JoinAs("i3", "b1", "safe");
  EXPECT_FALSE(TryApply(Drain{ "i1", 1, "safe" }));
}

TEST_F(FoldTest, Drain_ToUnknownPoolOrTwice_IsRefused)
{
  JoinAs("i1");
  JoinAs("i2");
  EXPECT_EQ(TryApply(Drain{ "i1", 1, "none" }), Refusal::UnknownPool);
  EXPECT_FALSE(TryApply(Drain{ "i1", 1, "web" }));
  EXPECT_EQ(TryApply(Drain{ "i1", 1, "web" }), Refusal::StaleEpoch);
  EXPECT_EQ(TryApply(Drain{ "i1", 2, "web" }), Refusal::WrongPhase);
}

TEST_F(FoldTest, Return_WithNewBoot_EntersTargetPool)
{
  JoinAs("i1");
  JoinAs("i2");
  EXPECT_EQ(TryApply(Return{ "i1", 1, "b2" }), Refusal::WrongPhase);
  TryApply(Drain{ "i1", 1, "spare" });
  EXPECT_EQ(At("i1").m_pool, "web");
  EXPECT_EQ(TryApply(Return{ "i1", 2, "b1" }), Refusal::SameBoot);
  EXPECT_EQ(TryApply(Return{ "i1", 1, "b2" }), Refusal::StaleEpoch);
  EXPECT_FALSE(TryApply(Return{ "i1", 2, "b2" }));
  EXPECT_EQ(At("i1").m_pool, "spare");
}

TEST_F(FoldTest, Submit_OfKnownKey_IsRefused)
{
  EXPECT_FALSE(TryApply(SubmitOf("web", "p")));
  EXPECT_EQ(TryApply(SubmitOf("web", "p")), Refusal::DuplicateKey);
  EXPECT_EQ(TryApply(SubmitOf("read", "p")), Refusal::KeyConflict);
  EXPECT_EQ(TryApply(Submit{ "t/x", "t", "none", 1, {}, {} }), Refusal::UnknownPool);
}

TEST_F(FoldTest, Submit_AfterNotRun_IsAcceptedWithNextAttempt)
{
  SubmitClaimed();
  EXPECT_FALSE(TryApply(ReleaseClaim{ "t/k", 1, false }));
  EXPECT_EQ(TheJob().m_phase, JobPhase::NotRun);
  EXPECT_FALSE(TryApply(SubmitOf("web", {}, ClaimTarget{ "i1", "b1" }), "e2"));
  EXPECT_EQ(TheJob().m_attempt, 2U);
}

// Guards against a job that runs after it was reported as not run: the append was repeated after a
// lost response, and the copy arrives after the cancellation.
TEST_F(FoldTest, Submit_LateCopyAfterNotRun_IsRefused)
{
  EXPECT_FALSE(TryApplyWithId(501, SubmitOf("web", "p")));
  EXPECT_FALSE(TryApply(Cancel{ "t/k" }));
  EXPECT_EQ(TryApplyWithId(501, SubmitOf("web", "p")), Refusal::DuplicateKey);
  EXPECT_FALSE(TryApplyWithId(502, SubmitOf("web", "p")));
  EXPECT_FALSE(TryApply(Cancel{ "t/k" }));
  EXPECT_EQ(TryApplyWithId(501, SubmitOf("web", "p")), Refusal::DuplicateKey);
  EXPECT_EQ(TheJob().m_phase, JobPhase::NotRun);
}

TEST_F(FoldTest, Claim_ThatDoesNotFit_IsRefused)
{
  JoinAs("i1");
  JoinAs("i2", "b1", "spare");
  EXPECT_EQ(TryApply(Claim{ "t/k", 1, { "i1", "b1" } }), Refusal::UnknownJob);
  TryApply(SubmitOf("web", "p"));
  EXPECT_EQ(TryApply(Claim{ "t/k", 2, { "i1", "b1" } }), Refusal::StaleAttempt);
  EXPECT_EQ(TryApply(Claim{ "t/k", 1, { "i1", "b0" } }), Refusal::ServerUnavailable);
  EXPECT_EQ(TryApply(Claim{ "t/k", 1, { "i2", "b1" } }), Refusal::ServerUnavailable);
  EXPECT_FALSE(TryApply(Claim{ "t/k", 1, { "i1", "b1" } }));
  EXPECT_EQ(TryApply(Claim{ "t/k", 2, { "i1", "b1" } }, "e2"), Refusal::WrongPhase);
}

// Guards against two servers for one attempt, and against taking a claim from its claimant
// (invariant I5: a job runs at most once).
TEST_F(FoldTest, Claim_AfterRefusal_MovesOnlyTheAuthorsOwnAttempt)
{
  SubmitClaimed();
  JoinAs("i2");
  EXPECT_EQ(TryApply(Claim{ "t/k", 2, { "i2", "b1" }, true }, "e2"), Refusal::WrongPhase);
  EXPECT_EQ(TryApply(Claim{ "t/k", 2, { "i2", "b1" }, false }), Refusal::WrongPhase);
  EXPECT_EQ(TryApply(Claim{ "t/k", 1, { "i2", "b1" }, true }), Refusal::StaleAttempt);
  EXPECT_FALSE(TryApply(Claim{ "t/k", 2, { "i2", "b1" }, true }));
  EXPECT_EQ(TheJob().m_target.m_server, "i2");
  EXPECT_EQ(TryApply(ReleaseClaim{ "t/k", 1, true }, "e2"), Refusal::StaleAttempt);
}

// Guards against a cancelled job that is still sent to further servers after a refusal.
TEST_F(FoldTest, Claim_AfterRefusalOfCancelledJob_IsRefused)
{
  SubmitClaimed();
  JoinAs("i2");
  EXPECT_FALSE(TryApply(Cancel{ "t/k" }));
  EXPECT_EQ(TryApply(Claim{ "t/k", 2, { "i2", "b1" }, true }), Refusal::WrongPhase);
}

// Guards against "not run" for a job that another entry instance may still dispatch.
TEST_F(FoldTest, ReleaseClaim_ByAnotherEntry_NeedsFence)
{
  SubmitClaimed();
  EXPECT_EQ(TryApply(ReleaseClaim{ "t/k", 1, false }, "e2"), Refusal::NotClaimant);
  EXPECT_EQ(TryApply(ReleaseClaim{ "t/k", 2, true }, "e2"), Refusal::StaleAttempt);
  EXPECT_FALSE(TryApply(ReleaseClaim{ "t/k", 1, true }, "e2"));
  EXPECT_EQ(TheJob().m_phase, JobPhase::NotRun);
}

TEST_F(FoldTest, ReleaseClaim_ByAnotherEntryWithoutTaskControl_IsRefused)
{
  JoinAs("i1", "b1", "plain");
  EXPECT_FALSE(TryApply(SubmitOf("plain", {}, ClaimTarget{ "i1", "b1" })));
  EXPECT_EQ(TryApply(ReleaseClaim{ "t/k", 1, true }, "e2"), Refusal::NotClaimant);
}

TEST_F(FoldTest, ReleaseClaim_OfQueuedIdempotentJob_QueuesUntilFifthAttempt)
{
  SubmitClaimed("read", "p");
  for (std::uint32_t attempt = 1; attempt < kMaxAttempts; ++attempt) {
    EXPECT_FALSE(TryApply(ReleaseClaim{ "t/k", attempt, false }, "e2"));
    EXPECT_EQ(TheJob().m_phase, JobPhase::Queued);
    EXPECT_FALSE(TryApply(Claim{ "t/k", attempt + 1, { "i1", "b1" } }));
  }
  EXPECT_FALSE(TryApply(ReleaseClaim{ "t/k", kMaxAttempts, false }, "e2"));
  EXPECT_EQ(TheJob().m_phase, JobPhase::Stopped);
}

TEST_F(FoldTest, Finish_OfOldAttemptOrTwice_IsRefused)
{
  SubmitClaimed();
  EXPECT_EQ(TryApply(Finish{ "t/k", 2, FinishKind::Completed, 200, "ok", true }),
            Refusal::StaleAttempt);
  EXPECT_FALSE(TryApply(Finish{ "t/k", 1, FinishKind::Completed, 200, "ok", true }));
  EXPECT_EQ(TryApply(Finish{ "t/k", 1, FinishKind::Stopped, 0, {}, false }), Refusal::WrongPhase);
  EXPECT_EQ(TheJob().m_body, "ok");
}

TEST_F(FoldTest, Finish_WithLargeBody_KeepsNoBody)
{
  SubmitClaimed();
  TryApply(
    Finish{ "t/k", 1, FinishKind::Completed, 200, std::string(kMaxKeptBodyBytes + 1, 'x'), true });
  EXPECT_FALSE(TheJob().m_bodyKept);
  EXPECT_TRUE(TheJob().m_body.empty());
}

TEST_F(FoldTest, Cancel_OfClaimedJob_EndsAsNotRunWhenReleased)
{
  EXPECT_EQ(TryApply(Cancel{ "t/k" }), Refusal::UnknownJob);
  SubmitClaimed("web", "p");
  EXPECT_FALSE(TryApply(Cancel{ "t/k" }));
  EXPECT_EQ(TheJob().m_phase, JobPhase::Claimed);
  EXPECT_FALSE(TryApply(ReleaseClaim{ "t/k", 1, false }));
  EXPECT_EQ(TheJob().m_phase, JobPhase::NotRun);
  EXPECT_EQ(TryApply(Cancel{ "t/k" }), Refusal::WrongPhase);
}

TEST_F(FoldTest, Tick_BackOrFarAhead_IsRefusedOrCapped)
{
  EXPECT_EQ(TryApply(Tick{ kStartMs }), Refusal::TimeNotAdvanced);
  EXPECT_FALSE(TryApply(Tick{ kStartMs * 100 }));
  EXPECT_EQ(m_state.m_timeMs, kStartMs + kMaxTickAdvanceMs);
}

TEST_F(FoldTest, Key_For24HoursAfterTheEnd_IsKept)
{
  SubmitClaimed();
  TryApply(Finish{ "t/k", 1, FinishKind::Completed, 200, {}, true });
  Advance(kKeyRetentionMs);
  EXPECT_EQ(TryApply(SubmitOf("web")), Refusal::DuplicateKey);
  Advance(1);
  EXPECT_FALSE(m_state.m_jobs.contains("t/k"));
}

// Guards against a second run: an end before the first tick was recorded at time 0, so that the key
// of the job expired with that tick.
TEST_F(FoldTest, Key_EndedBeforeFirstTick_IsKept)
{
  m_state = {};
  TryApply(Publish{ 0, "ann", RulesText() });
  SubmitClaimed();
  TryApply(Finish{ "t/k", 1, FinishKind::Completed, 200, {}, true });
  EXPECT_FALSE(TryApply(Tick{ kKeyRetentionMs * 1000 }));
  EXPECT_EQ(TryApply(SubmitOf("web")), Refusal::DuplicateKey);
  EXPECT_EQ(At("i1").m_maintainedMs, kKeyRetentionMs * 1000);
}

TEST_F(FoldTest, Snapshot_InTheLog_ChangesOnlyTheOffset)
{
  FleetState expected = m_state;
  ++expected.m_nextOffset;
  EXPECT_FALSE(TryApply(Snapshot{ 0, 0, 1, 1, "x" }));
  EXPECT_EQ(m_state, expected);
}

// Guards against one tenant reading the response of another.
TEST_F(FoldTest, ScopedKey_OfTenantsWithSlashes_Differs)
{
  EXPECT_EQ(ScopedKey("t", "k"), "t/k");
  EXPECT_NE(ScopedKey("a", "b/c"), ScopedKey("a/b", "c"));
  EXPECT_NE(ScopedKey("a/b", "c"), ScopedKey("a%2Fb", "c"));
}

} // namespace
} // namespace pistachiostand
