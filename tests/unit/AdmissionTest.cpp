#include "pistachiostand/request/Admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>

namespace pistachiostand {
namespace {

class AdmissionTest : public ::testing::Test
{
protected:
  QueuedRequest Request(const TenantName& aTenant, ServiceClass aClass = ServiceClass::Urgent,
                        Millis aRunMs = 10, Millis aDeadlineMs = 100'000)
  {
    return { ++m_lastId, aTenant, "lookups", aClass, "lookups", 0, aDeadlineMs, aRunMs, true };
  }

  void Fill(int aCount, const TenantName& aTenant, ServiceClass aClass, Millis aRunMs)
  {
    for (int i = 0; i < aCount; ++i) {
      ASSERT_FALSE(m_admission.Enqueue(Request(aTenant, aClass, aRunMs), m_rule, 0));
    }
  }

  /// \brief Takes and finishes `aCount` requests and returns how many match the predicate.
  template<typename Predicate>
  int TakeAndCount(int aCount, Predicate aPredicate, Millis aRunTimeMs = -1)
  {
    int matching = 0;
    for (int i = 0; i < aCount; ++i) {
      const auto request = m_admission.Take("lookups", 0);
      if (!request) {
        break;
      }
      matching += aPredicate(*request) ? 1 : 0;
      m_admission.Finish(*request, aRunTimeMs < 0 ? request->m_expectedRunMs : aRunTimeMs);
    }
    return matching;
  }

  Admission m_admission{ {} };
  TenantRule m_rule{ 1, 20'000 };
  std::uint64_t m_lastId{};
};

// Guards against one busy tenant delaying the requests of all others.
TEST_F(AdmissionTest, Take_WithOneBusyTenant_AlternatesTenants)
{
  Fill(100, "busy", ServiceClass::Urgent, 10);
  Fill(5, "calm", ServiceClass::Urgent, 10);
  EXPECT_EQ(TakeAndCount(10, [](const auto& aTaken) { return aTaken.m_tenant == "calm"; }), 5);
}

// Guards against a tenant with long requests getting more slot time than its share.
TEST_F(AdmissionTest, Take_WithLongAndShortRequests_SharesSlotTime)
{
  Fill(100, "long", ServiceClass::Batch, 90);
  Fill(100, "short", ServiceClass::Batch, 10);
  const int longs = TakeAndCount(50, [](const auto& aTaken) { return aTaken.m_tenant == "long"; });
  EXPECT_NEAR(longs, 5, 1);
}

// Guards against a tenant that gains slots by declaring run times that are too short.
TEST_F(AdmissionTest, Take_AfterRunTimesAboveDeclared_ChargesTheRealOnes)
{
  Fill(200, "liar", ServiceClass::Batch, 10);
  Fill(200, "honest", ServiceClass::Batch, 10);
  int liars = 0;
  for (int i = 0; i < 110; ++i) {
    const auto request = m_admission.Take("lookups", 0);
    liars += request->m_tenant == "liar" ? 1 : 0;
    m_admission.Finish(*request, request->m_tenant == "liar" ? 100 : 10);
  }
  EXPECT_NEAR(liars, 10, 2);
}

TEST_F(AdmissionTest, Take_WithShares_FollowsThem)
{
  const TenantRule large{ 3, 1'000 };
  for (int i = 0; i < 100; ++i) {
    ASSERT_FALSE(m_admission.Enqueue(Request("large"), large, 0));
  }
  Fill(100, "small", ServiceClass::Urgent, 10);
  EXPECT_EQ(TakeAndCount(80, [](const auto& aTaken) { return aTaken.m_tenant == "large"; }), 60);
}

// Guards against starvation of the overnight class, and against long overnight requests that take
// most of the slot time because their guaranteed share is counted in starts instead of slot time.
TEST_F(AdmissionTest, Take_WithEndlessUrgentWork_GivesOvernightItsPartOfSlotTime)
{
  Fill(3'200, "a", ServiceClass::Urgent, 10);
  Fill(100, "a", ServiceClass::Overnight, 100);
  const int overnight = TakeAndCount(
    3'200, [](const auto& aTaken) { return aTaken.m_class == ServiceClass::Overnight; });
  // 32,000 ms of urgent work / m_overnightDivisor (32) / 100 ms for each overnight request.
  EXPECT_NEAR(overnight, 10, 1);
}

// Guards against accepting a request that cannot start before its caller's deadline.
TEST_F(AdmissionTest, Enqueue_WithWaitPastDeadline_IsRefused)
{
  Fill(10, "a", ServiceClass::Urgent, 100);
  EXPECT_EQ(m_admission.Enqueue(Request("a", ServiceClass::Urgent, 100, 900), m_rule, 0),
            AdmissionRefusal::WaitPastDeadline);
  // Tenants are served in turn, so another tenant does not wait behind this queue.
  EXPECT_FALSE(m_admission.Enqueue(Request("b", ServiceClass::Urgent, 100, 900), m_rule, 0));
}

// Guards against starting a request that ends after its caller's timeout, and against refusing
// every request because the estimated run time exceeds the timeout.
TEST_F(AdmissionTest, StartDeadline_WithLongRun_KeepsHalfOfTheTimeout)
{
  EXPECT_EQ(StartDeadline(1'000, 800, 100), 1'700);
  EXPECT_EQ(StartDeadline(1'000, 800, 9'000), 1'400);
}

// Guards against a tenant's overnight requests using up the queue capacity of its urgent ones.
TEST_F(AdmissionTest, Enqueue_WithFullOvernightQueue_StillAcceptsUrgent)
{
  m_rule.m_maxQueued = 3;
  Fill(3, "a", ServiceClass::Overnight, 10);
  EXPECT_EQ(m_admission.Enqueue(Request("a", ServiceClass::Overnight), m_rule, 0),
            AdmissionRefusal::TenantQueueFull);
  EXPECT_FALSE(m_admission.Enqueue(Request("a", ServiceClass::Urgent), m_rule, 0));
}

// Guards against unbounded memory when callers send arbitrary tenants under `tenant.default`.
TEST_F(AdmissionTest, Enqueue_FromManyTenants_IsBounded)
{
  Admission small{ { 2 } };
  EXPECT_FALSE(small.Enqueue(Request("a"), m_rule, 0));
  EXPECT_FALSE(small.Enqueue(Request("b"), m_rule, 0));
  EXPECT_EQ(small.Enqueue(Request("c"), m_rule, 0), AdmissionRefusal::EntryQueueFull);
}

// Guards against running a request after its caller was informed that it did not run.
TEST_F(AdmissionTest, Take_AfterDeadline_DropsTheRequest)
{
  ASSERT_FALSE(m_admission.Enqueue(Request("a", ServiceClass::Urgent, 10, 50), m_rule, 0));
  EXPECT_FALSE(m_admission.Take("lookups", 50));
  EXPECT_EQ(m_admission.DropExpired(50).size(), 1U);
  EXPECT_TRUE(m_admission.DropExpired(60).empty());
}

// Guards against losing the queue position, or the charge, of a request that a full server refused.
TEST_F(AdmissionTest, PutBack_OfTakenRequest_IsNextAgain)
{
  Fill(3, "a", ServiceClass::Urgent, 10);
  const auto first = m_admission.Take("lookups", 0);
  m_admission.PutBack(*first);
  EXPECT_EQ(m_admission.Counts(0).front().m_inFlight, 0U);
  EXPECT_EQ(m_admission.Take("lookups", 0), first);
}

// Guards against a burst of cancellations blocking the event loop. The limit is 20 times the usual
// duration, because the test machine is shared.
TEST_F(AdmissionTest, Cancel_OfTenThousand_TakesWellUnderASecond)
{
  Admission admission{ { 20'000 } };
  for (int i = 0; i < 10'000; ++i) {
    ASSERT_FALSE(admission.Enqueue(Request("t" + std::to_string(i % 5'000)), m_rule, 0));
  }
  const auto start = std::chrono::steady_clock::now();
  for (std::uint64_t id = 1; id <= 10'000; ++id) {
    EXPECT_TRUE(admission.Cancel(id));
  }
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::milliseconds{ 400 });
  EXPECT_EQ(admission.size(), 0U);
  EXPECT_FALSE(admission.Take("lookups", 0));
}

// Guards against counters that drift from the queues, which would refuse requests permanently.
RC_GTEST_FIXTURE_PROP(AdmissionTest, Queues_AfterAnyOperations_AreConsistent, ())
{
  std::vector<QueuedRequest> taken;
  std::size_t waiting = 0;
  m_admission = Admission{ {} };
  for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60))) {
    if (step < 30) {
      const auto request = Request(step % 2 == 0 ? "a" : "b", kServiceClasses[step % 3], step);
      waiting += m_admission.Enqueue(request, m_rule, 0) ? 0 : 1;
    } else if (step < 40) {
      if (auto request = m_admission.Take("lookups", 0)) {
        taken.push_back(*request);
        --waiting;
      }
    } else if (step < 50 && !taken.empty()) {
      step % 2 == 0 ? m_admission.PutBack(taken.back()) : m_admission.Finish(taken.back(), step);
      waiting += step % 2 == 0 ? 1 : 0;
      taken.pop_back();
    } else {
      waiting -= m_admission.Cancel(m_lastId - std::min<std::uint64_t>(m_lastId, step % 5)) ? 1 : 0;
    }
    std::uint64_t counted = 0;
    for (const auto& counts : m_admission.Counts(0)) {
      counted += counts.m_waiting;
      RC_ASSERT(counts.m_inFlight == taken.size());
      RC_ASSERT((counts.m_waiting == 0) == (counts.m_queuedWorkMs == 0));
    }
    RC_ASSERT(counted == waiting);
    RC_ASSERT(m_admission.size() == waiting);
  }
}

} // namespace
} // namespace pistachiostand
