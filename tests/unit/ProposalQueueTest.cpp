#include "pistachiostand/process/ProposalQueue.h"

#include "pistachiostand/process/RecordCodec.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

class ProposalQueueTest : public ::testing::Test
{
protected:
  using Results = std::vector<ProposalResult>;

  ProposalCallback CollectInto(Results& aResults)
  {
    return [&aResults](ProposalResult aResult, const ApplyResult&) { aResults.push_back(aResult); };
  }

  void Propose(ProposalOptions aOptions = {}, std::uint64_t aId = 0)
  {
    m_queue.Propose(Tick{ ++m_time }, aOptions, CollectInto(m_results), aId);
  }

  static Record Decoded(const std::string& aBytes)
  {
    Reason reason;
    return DecodeRecord(aBytes, reason).value();
  }

  /// \brief Appends the waiting records and loses the response.
  void AppendUnknown(Millis aNowMs)
  {
    ASSERT_FALSE(m_queue.TakeBatch(aNowMs).empty());
    m_queue.OnResponseLost(aNowMs);
  }

  ProposalQueue m_queue{ "e1#1" };
  Results m_results;
  Millis m_time{};
};

// Guards against one append for each record, which would exceed the platform's rate.
TEST_F(ProposalQueueTest, TakeBatch_OfSeveralProposals_HoldsThemInOrder)
{
  for (int i = 0; i < 3; ++i) {
    Propose();
  }
  const auto batch = m_queue.TakeBatch(0);
  ASSERT_EQ(batch.size(), 3U);
  EXPECT_EQ(std::get<Tick>(Decoded(batch[0]).m_body).m_timeMs, 1);
  EXPECT_EQ(std::get<Tick>(Decoded(batch[2]).m_body).m_timeMs, 3);
  EXPECT_NE(Decoded(batch[0]).m_id, Decoded(batch[1]).m_id);
  EXPECT_EQ(Decoded(batch[0]).m_author, "e1#1");
}

// Guards against appends that overtake each other.
TEST_F(ProposalQueueTest, TakeBatch_DuringAnAppend_IsEmpty)
{
  Propose();
  EXPECT_EQ(m_queue.TakeBatch(0).size(), 1U);
  Propose();
  EXPECT_TRUE(m_queue.TakeBatch(1).empty());
  m_queue.OnAppended(2);
  EXPECT_EQ(m_queue.TakeBatch(3).size(), 1U);
}

// Guards against an append larger than the platform accepts.
TEST_F(ProposalQueueTest, TakeBatch_OfManyRecords_IsBounded)
{
  for (std::size_t i = 0; i < kMaxBatchRecords + 1; ++i) {
    Propose();
  }
  EXPECT_EQ(m_queue.TakeBatch(0).size(), kMaxBatchRecords);
  m_queue.OnAppended(0);
  EXPECT_EQ(m_queue.TakeBatch(0).size(), 1U);
}

// Guards against an append of unbounded size; only the last record may exceed the bound.
TEST_F(ProposalQueueTest, TakeBatch_OfLargeRecords_IsBounded)
{
  const std::string payload(kMaxRequestBytes, 'x');
  for (int i = 0; i < 40; ++i) {
    m_queue.Propose(Submit{ "t/k", "t", "s", 1, payload, {} }, {}, CollectInto(m_results));
  }
  std::size_t bytes = 0;
  const auto batch = m_queue.TakeBatch(0);
  for (const auto& record : batch) {
    bytes += record.size();
  }
  EXPECT_LT(batch.size(), 40U);
  EXPECT_LE(bytes, kMaxBatchBytes + batch.front().size());
}

// Guards against a proposal whose result is never reported.
TEST_F(ProposalQueueTest, OnApplied_OfAppendedRecord_ReportsTheResult)
{
  Propose();
  Propose();
  const auto batch = m_queue.TakeBatch(0);
  m_queue.OnAppended(1);
  EXPECT_TRUE(m_results.empty());
  m_queue.OnApplied(Decoded(batch[0]), {});
  m_queue.OnApplied(Decoded(batch[1]), { Refusal::StaleBase });
  EXPECT_EQ(m_results, (Results{ ProposalResult::Accepted, ProposalResult::Refused }));
  EXPECT_EQ(m_queue.size(), 0U);
}

// Guards against a "not run" that waits for a record to be read that was never appended.
TEST_F(ProposalQueueTest, OnNotAppended_OfPlainProposal_ReportsItAtOnce)
{
  Propose();
  ASSERT_EQ(m_queue.TakeBatch(0).size(), 1U);
  m_queue.OnNotAppended(1);
  EXPECT_EQ(m_results, Results{ ProposalResult::NotAppended });
  EXPECT_EQ(m_queue.size(), 0U);
}

// Guards against assuming the result of an append whose response was lost.
TEST_F(ProposalQueueTest, OnResponseLost_OfRecordSeenLater_IsResolvedByReading)
{
  Propose({ false, 8'000 });
  const auto batch = m_queue.TakeBatch(0);
  m_queue.OnResponseLost(1);
  m_queue.Expire(7'999);
  EXPECT_TRUE(m_results.empty());
  m_queue.OnApplied(Decoded(batch[0]), {});
  EXPECT_EQ(m_results, Results{ ProposalResult::Accepted });
}

// Guards against a proposal that is not durable and is appended a second time.
TEST_F(ProposalQueueTest, Expire_OfPlainProposal_DoesNotAppendAgain)
{
  Propose();
  AppendUnknown(0);
  m_queue.Expire(kReappendMs);
  EXPECT_TRUE(m_queue.TakeBatch(kReappendMs).empty());
}

// Guards against a durable proposal that is lost with its append, and one appended too soon.
TEST_F(ProposalQueueTest, Expire_OfDurableProposal_AppendsTheSameRecordAgain)
{
  Propose({ true, 0 });
  const auto first = m_queue.TakeBatch(0);
  m_queue.OnResponseLost(100);
  m_queue.Expire(100 + kReappendMs - 1);
  EXPECT_TRUE(m_queue.TakeBatch(100 + kReappendMs - 1).empty());
  m_queue.Expire(100 + kReappendMs);
  EXPECT_EQ(m_queue.TakeBatch(100 + kReappendMs), first);
}

// Guards against dropping a durable proposal after a refused append.
TEST_F(ProposalQueueTest, OnNotAppended_OfDurableProposal_KeepsIt)
{
  Propose({ true, 0 });
  ASSERT_EQ(m_queue.TakeBatch(0).size(), 1U);
  m_queue.OnNotAppended(0);
  EXPECT_TRUE(m_results.empty());
  m_queue.Expire(kReappendMs);
  EXPECT_EQ(m_queue.TakeBatch(kReappendMs).size(), 1U);
}

// Guards against appending a record again that was read from the log while it waited.
TEST_F(ProposalQueueTest, OnApplied_OfRecordThatWaitsAgain_IsNotAppended)
{
  Propose({ true, 0 });
  const auto batch = m_queue.TakeBatch(0);
  m_queue.OnResponseLost(0);
  m_queue.Expire(kReappendMs);
  m_queue.OnApplied(Decoded(batch[0]), {});
  EXPECT_TRUE(m_queue.TakeBatch(kReappendMs).empty());
}

// Guards against "not run" for a record that an earlier append may have put into the log.
TEST_F(ProposalQueueTest, OnNotAppended_AfterLostResponse_ReportsNothing)
{
  Propose({ true, 5'000 });
  AppendUnknown(0);
  m_queue.Expire(kReappendMs);
  ASSERT_EQ(m_queue.TakeBatch(kReappendMs).size(), 1U);
  m_queue.OnNotAppended(kReappendMs);
  EXPECT_TRUE(m_results.empty());
  m_queue.Expire(5'000);
  EXPECT_EQ(m_results, Results{ ProposalResult::Unresolved });
}

// Guards against a caller that waits indefinitely, and against a late claim that is not reported.
TEST_F(ProposalQueueTest, OnApplied_AfterUnresolvedWasReported_CallsOnceMore)
{
  Propose({ false, 1'000 });
  const auto batch = m_queue.TakeBatch(0);
  m_queue.OnResponseLost(0);
  m_queue.Expire(1'000);
  m_queue.Expire(2'000);
  EXPECT_EQ(m_results, Results{ ProposalResult::Unresolved });
  EXPECT_EQ(m_queue.PendingCount(), 0U);
  m_queue.OnApplied(Decoded(batch[0]), {});
  EXPECT_EQ(m_results, (Results{ ProposalResult::Unresolved, ProposalResult::Accepted }));
}

// Guards against a callback whose state is lost between its calls: the planner would count a record
// twice and stop planning, and an operator's request would get two responses.
TEST_F(ProposalQueueTest, OnApplied_AfterUnresolvedWasReported_CallsTheSameCallback)
{
  std::vector<int> calls;
  m_queue.Propose(
    Tick{ 1 }, { false, 1'000 },
    [&calls, count = 0](ProposalResult, const ApplyResult&) mutable { calls.push_back(++count); });
  const auto batch = m_queue.TakeBatch(0);
  m_queue.OnResponseLost(0);
  m_queue.Expire(1'000);
  m_queue.OnApplied(Decoded(batch[0]), {});
  EXPECT_EQ(calls, (std::vector<int>{ 1, 2 }));
}

// Guards against "unknown" for a record that never left the process.
TEST_F(ProposalQueueTest, Expire_OfRecordNeverAppended_ReportsNotAppended)
{
  Propose({ false, 1'000 });
  m_queue.Expire(999);
  EXPECT_TRUE(m_results.empty());
  m_queue.Expire(1'000);
  EXPECT_EQ(m_results, Results{ ProposalResult::NotAppended });
  EXPECT_TRUE(m_queue.TakeBatch(1'000).empty());
}

// Guards against a queue that grows without bound during an outage.
TEST_F(ProposalQueueTest, Propose_BeyondTheBound_IsRefused)
{
  for (std::size_t i = 0; i < kMaxProposals; ++i) {
    Propose({ true, 0 });
  }
  EXPECT_TRUE(m_results.empty());
  Propose({ true, 0 });
  EXPECT_EQ(m_results, Results{ ProposalResult::NotAppended });
  EXPECT_EQ(m_queue.size(), kMaxProposals);
}

// Guards against a queue that refuses proposals after an outage because it is full of proposals
// that were reported long ago.
TEST_F(ProposalQueueTest, Propose_WhenFullOfReportedProposals_DropsTheOldest)
{
  for (std::size_t i = 0; i < kMaxProposals; ++i) {
    Propose({ false, 1'000 });
  }
  for (std::size_t i = 0; i < kMaxProposals; i += kMaxBatchRecords) {
    AppendUnknown(static_cast<Millis>(i));
  }
  m_queue.Expire(10'000);
  m_results.clear();
  Propose();
  EXPECT_TRUE(m_results.empty());
  EXPECT_EQ(m_queue.TakeBatch(10'000).size(), 1U);
  EXPECT_EQ(m_queue.size(), kMaxProposals);
}

// Guards against proposals without a time limit that are never removed after a lost append.
TEST_F(ProposalQueueTest, Expire_OfLostProposalWithoutLimit_ForgetsIt)
{
  Propose();
  AppendUnknown(0);
  m_queue.Expire(599'999);
  EXPECT_EQ(m_queue.size(), 1U);
  m_queue.Expire(600'000);
  EXPECT_EQ(m_queue.size(), 0U);
  EXPECT_EQ(m_results, Results{ ProposalResult::Unresolved });
}

// Guards against a first caller that never gets a result when its pending publish is repeated.
TEST_F(ProposalQueueTest, Propose_OfIdUnderWay_AnswersBothCallers)
{
  Results second;
  Propose({ false, 1'000 }, 7);
  const auto batch = m_queue.TakeBatch(0);
  m_queue.Propose(Tick{ 1 }, { false, 2'000 }, CollectInto(second), 7);
  m_queue.OnAppended(1);
  EXPECT_TRUE(m_queue.TakeBatch(2).empty());
  m_queue.OnApplied(Decoded(batch[0]), {});
  EXPECT_EQ(m_results, Results{ ProposalResult::Accepted });
  EXPECT_EQ(second, Results{ ProposalResult::Accepted });
}

// Guards against a repeated publish that never gets a result because the first one was reported.
TEST_F(ProposalQueueTest, Propose_OfIdReportedUnresolved_IsAppendedAndReportedAgain)
{
  Results second;
  Propose({ false, 1'000 }, 7);
  AppendUnknown(0);
  m_queue.Expire(1'000);
  m_queue.Propose(Tick{ 1 }, { false, 3'000 }, CollectInto(second), 7);
  EXPECT_EQ(m_queue.PendingCount(), 1U);
  AppendUnknown(1'500);
  m_queue.Expire(3'000);
  EXPECT_EQ(m_results, Results{ ProposalResult::Unresolved });
  EXPECT_EQ(second, Results{ ProposalResult::Unresolved });
}

// Guards against an interval with which all entry instances together exceed the platform's rate.
TEST_F(ProposalQueueTest, BatchInterval_OfNineEntries_KeepsTheRate)
{
  EXPECT_EQ(BatchIntervalMs(0), 4);
  EXPECT_EQ(BatchIntervalMs(9), 30);
  EXPECT_LE(Millis{ 9'000 } / BatchIntervalMs(9), kAppendsPerSecond);
}

} // namespace
} // namespace pistachiostand
