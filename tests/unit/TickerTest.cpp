#include "pistachiostand/connection/Ticker.h"

#include <gtest/gtest.h>

#include <memory>
#include <thread>

namespace pistachiostand {
namespace {

class TickerTest : public ::testing::Test
{
protected:
  asio::io_context m_loop{ 1 };
};

// Guards against a tick of a destroyed ticker: when both timers have expired, the second handler is
// already queued while the first one destroys its ticker. A process that gave up the ownership
// crashed with a segmentation fault this way (regression: mix, seed 907999806432).
TEST_F(TickerTest, DestroyedByATickOfTheSameMoment_DoesNotTick)
{
  constexpr Millis kIntervalMs = 1;
  int ticks = 0;
  std::unique_ptr<Ticker> second;
  const Ticker first{ m_loop, kIntervalMs, [&second] { second.reset(); } };
  second = std::make_unique<Ticker>(m_loop, kIntervalMs, [&ticks] { ++ticks; });
  std::this_thread::sleep_for(std::chrono::milliseconds{ 10 });
  m_loop.run_for(std::chrono::milliseconds{ 20 });
  EXPECT_EQ(ticks, 0);
}

} // namespace
} // namespace pistachiostand
