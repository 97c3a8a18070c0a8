#include "pistachiostand/ownership/CallTimeout.h"

#include <gtest/gtest.h>

#include <deque>

namespace pistachiostand::fleet {
namespace {

class CallTimeoutTest : public ::testing::Test
{
protected:
  CallTimeout m_timeout;

  /// \brief Simulates a callee that serves one call at a time and is slow at first, and callers
  /// that repeat a call when it times out. Returns the number of timely responses after the slow
  /// period.
  int AnswersAfterSlowPeriod(bool aAdaptive)
  {
    constexpr Millis kStep = 10;
    constexpr Millis kSlowUntil = 5'000;
    constexpr Millis kEnd = 15'000;
    constexpr int kCallers = 60;
    struct Call
    {
      int m_caller{};
      Millis m_sentMs{};
    };
    std::deque<Call> queue;
    std::vector<Millis> sentMs(kCallers, -1);
    Millis busyUntil = 0;
    int answers = 0;
    for (Millis now = 0; now < kEnd; now += kStep) {
      const Millis timeout = aAdaptive ? m_timeout.CurrentMs() : CallTimeout::kMinMs;
      for (int caller = 0; caller < kCallers; ++caller) {
        auto& sent = sentMs.at(static_cast<std::size_t>(caller));
        if (sent >= 0 && now - sent >= timeout) {
          m_timeout.OnTimeout();
          sent = -1;
        }
        if (sent < 0) {
          sent = now;
          queue.push_back({ caller, now });
        }
      }
      while (!queue.empty() && busyUntil <= now) {
        const Call call = queue.front();
        queue.pop_front();
        busyUntil = now + (now < kSlowUntil ? 300 : kStep);
        auto& sent = sentMs.at(static_cast<std::size_t>(call.m_caller));
        if (sent == call.m_sentMs) {
          m_timeout.OnAnswer(now - call.m_sentMs);
          answers += now > kSlowUntil ? 1 : 0;
          sent = -1;
        }
      }
    }
    return answers;
  }
};

// Guards against a store that stays overloaded by repeated calls after it has become fast again.
// With a slow store, nearly every submission timed out for 16 s.
TEST_F(CallTimeoutTest, SlowPeriod_OverAndRepeatsQueued_CallsAreAnsweredAgain)
{
  const int fixed = AnswersAfterSlowPeriod(false);
  const int adaptive = AnswersAfterSlowPeriod(true);
  EXPECT_GT(adaptive, 10 * std::max(fixed, 1));
}

// Guards against a long wait after a lost response of a store that is fast again.
TEST_F(CallTimeoutTest, FastAnswer_AfterTimeouts_ShortensTheTimeout)
{
  m_timeout.OnTimeout();
  m_timeout.OnTimeout();
  EXPECT_EQ(m_timeout.CurrentMs(), 4 * CallTimeout::kMinMs);
  m_timeout.OnAnswer(10);
  EXPECT_EQ(m_timeout.CurrentMs(), CallTimeout::kMinMs);
}

// Guards against a wait of half a second for each lost response of calls that are cheap to repeat.
TEST_F(CallTimeoutTest, ShorterMinimum_FastAnswers_KeepIt)
{
  constexpr Millis kMin = 150;
  CallTimeout timeout{ kMin };
  timeout.OnAnswer(10);
  EXPECT_EQ(timeout.CurrentMs(), kMin);
  timeout.OnAnswer(300);
  EXPECT_GT(timeout.CurrentMs(), 2 * 300);
}

// Guards against a timeout longer than the time that a call may wait at the store.
TEST_F(CallTimeoutTest, ManyTimeouts_StayBelowTheLimit)
{
  for (int i = 0; i < 20; ++i) {
    m_timeout.OnTimeout();
  }
  EXPECT_EQ(m_timeout.CurrentMs(), CallTimeout::kMaxMs);
}

} // namespace
} // namespace pistachiostand::fleet
