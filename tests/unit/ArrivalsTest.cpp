#include "JobFixture.h"

#include "pistachiostand/job/Arrivals.h"

#include <algorithm>
#include <random>

namespace pistachiostand::fleet {
namespace {

class ArrivalsTest : public JobFixture
{
protected:
  static constexpr Millis kAheadMs = 2'000;

  ArrivalsTest() { Add("job", { Step(8, 9'000, 1'000) }); }

  /// \brief Records arrivals at a rate that changes linearly and ends at kNow.
  void Arrive(double aFromPerS, double aToPerS, Millis aForMs)
  {
    for (Millis at = 0; at < aForMs; ++at) {
      const double share = static_cast<double>(at) / static_cast<double>(aForMs);
      m_due += (aFromPerS + share * (aToPerS - aFromPerS)) / 1'000;
      for (; m_due >= 1; m_due -= 1) {
        RecordArrival(m_arrivals, m_jobTable.m_jobs.at("job"), kNow - aForMs + at);
      }
    }
  }

  [[nodiscard]] double Expected() const
  {
    return ExpectedArrivalsPerS(m_arrivals.begin()->second, kNow, kAheadMs);
  }

  Arrivals m_arrivals;
  double m_due{};
};

// Guards against a pool that lags behind a rising burst by the duration of a move.
TEST_F(ArrivalsTest, Rising_ExpectsTheRateAtTheTimeOfUse)
{
  Arrive(100, 300, 2'000); // Grows by 100/s each second: 500/s in 2 s, less a margin for chance.
  EXPECT_GT(Expected(), 350);
  EXPECT_LT(Expected(), 500);
}

// Guards against ordering instances for a rise while the rate is constant.
TEST_F(ArrivalsTest, Steady_ExpectsTheSame)
{
  Arrive(100, 100, 3'000);
  EXPECT_NEAR(Expected(), 100, 10);
}

// Guards against ordering several times the needed instances for a burst that starts at its full
// rate.
TEST_F(ArrivalsTest, BeginsAtOnce_ExpectsWithinTheBound)
{
  Arrive(5, 5, 2'000);
  for (Millis at = -200; at < 0; at += 10) {
    RecordArrival(m_arrivals, m_jobTable.m_jobs.at("job"), kNow + at);
  }
  constexpr double kSeenPerS = 22 / 0.4; // 20 in the last 0.2 s, and 2 before.
  EXPECT_LE(Expected(), 2.5 * kSeenPerS);
}

// Guards against releasing instances while the jobs of a falling burst still arrive.
TEST_F(ArrivalsTest, Falling_ExpectsNoLessThanNow)
{
  Arrive(120, 40, 2'000);
  EXPECT_NEAR(Expected(), 45, 10);
}

// Guards against a pool that follows random variation of arrivals: on average over many points in
// time of a steady queue, the expected rate is at most half higher than the true one.
TEST_F(ArrivalsTest, SteadyByChance_ExpectsLittleMore)
{
  constexpr double kPerS = 60;
  constexpr int kMoments = 200;
  std::mt19937 random{ 7 };
  std::exponential_distribution<double> gapS{ kPerS };
  double sum = 0;
  double atMs = 0;
  Millis nextMs = 2'000;
  for (int seen = 0; seen < kMoments;) {
    atMs += gapS(random) * 1'000;
    for (; nextMs < static_cast<Millis>(atMs) && seen < kMoments; nextMs += 100, ++seen) {
      sum += ExpectedArrivalsPerS(m_arrivals.begin()->second, nextMs, kAheadMs);
    }
    RecordArrival(m_arrivals, m_jobTable.m_jobs.at("job"), static_cast<Millis>(atMs));
  }
  EXPECT_LT(sum / kMoments, 1.5 * kPerS);
}

} // namespace
} // namespace pistachiostand::fleet
