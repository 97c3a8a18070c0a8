#include "pistachiostand/connection/FrameLink.h"
#include "pistachiostand/base/Clock.h"

#include <asio.hpp>
#include <gtest/gtest.h>

#include <vector>

namespace pistachiostand {
namespace {

class FrameLinkTest : public ::testing::Test
{
protected:
  FrameLinkTest()
  {
    Reason reason;
    m_listener = Listen(reason);
    if (m_listener) {
      m_address = m_listener->Address();
    }
  }

  std::unique_ptr<FrameListener> Listen(Reason& aReason)
  {
    return FrameListener::Create(
      m_loop, { "127.0.0.1", 0 },
      [this](const std::shared_ptr<FrameLink>& aLink) {
        m_accepted.push_back(aLink);
        return FrameHandlers{ {},
                              [this](std::string_view aFrame) { m_frames.emplace_back(aFrame); },
                              [this](std::string_view aCause) { m_closed.emplace_back(aCause); } };
      },
      aReason);
  }

  void SetUp() override { ASSERT_TRUE(m_listener); }

  template<typename Condition>
  bool RunUntil(Condition aCondition, Millis aLimitMs = 2'000)
  {
    const Millis end = MonotonicMs() + aLimitMs;
    while (!aCondition() && MonotonicMs() < end) {
      m_loop.run_for(std::chrono::milliseconds{ 1 });
    }
    return aCondition();
  }

  std::shared_ptr<FrameLink> Dial()
  {
    return FrameLink::Dial(m_loop, m_address, 500,
                           { [this] { m_open = true; }, [](std::string_view /*aFrame*/) {},
                             [this](std::string_view aCause) { m_closed.emplace_back(aCause); } });
  }

  Endpoint m_address;
  asio::io_context m_loop{ 1 };
  std::unique_ptr<FrameListener> m_listener;
  std::vector<std::shared_ptr<FrameLink>> m_accepted;
  std::vector<std::string> m_frames;
  std::vector<std::string> m_closed;
  bool m_open{};
};

// Guards against tests that fail because another test that runs at the same time uses their fixed
// port.
TEST_F(FrameLinkTest, Listen_OnAnyPortTwice_BothHaveTheirOwn)
{
  Reason reason;
  const auto other = Listen(reason);
  ASSERT_TRUE(other) << reason.m_cause;
  EXPECT_NE(other->Address(), m_address);
  EXPECT_NE(m_address.m_port, 0);
}

// Guards against frames that are split, joined or lost in transit.
TEST_F(FrameLinkTest, Send_FramesOfManySizes_ArriveWholeAndInOrder)
{
  const auto link = Dial();
  ASSERT_TRUE(RunUntil([this] { return m_open; }));
  std::vector<std::string> sent;
  for (const std::size_t size : { 0U, 1U, 70'000U, 3U, 300'000U }) {
    sent.emplace_back(size, static_cast<char>('a' + sent.size()));
    link->Send(sent.back());
  }
  ASSERT_TRUE(RunUntil([&] { return m_frames.size() == sent.size(); }));
  EXPECT_EQ(m_frames, sent);
}

// Guards against a length prefix that makes the reader allocate any amount of memory.
TEST_F(FrameLinkTest, Frame_OverTheLimit_ClosesTheConnection)
{
  asio::ip::tcp::socket raw{ m_loop };
  raw.connect({ asio::ip::make_address(m_address.m_ip), m_address.m_port });
  asio::write(raw, asio::buffer("\xff\xff\xff\xffrest", 8));
  EXPECT_TRUE(RunUntil([this] { return !m_closed.empty(); }));
}

// Guards against a connection attempt that hangs, for example to a partitioned machine.
TEST_F(FrameLinkTest, Dial_NobodyListens_IsReportedOnce)
{
  m_listener.reset();
  const auto link = Dial();
  ASSERT_TRUE(RunUntil([this] { return !m_closed.empty(); }));
  EXPECT_EQ(m_closed.size(), 1U);
}

// Guards against a crash when a connection is accepted just before the listener is destroyed. An
// entry instance crashed this way when it lost the ownership.
TEST_F(FrameLinkTest, Listener_DestroyedWithAnAcceptedConnection_IsNotUsedAgain)
{
  asio::ip::tcp::socket raw{ m_loop };
  asio::post(m_loop, [&] {
    raw.connect({ asio::ip::make_address(m_address.m_ip), m_address.m_port });
    // The next iteration of the loop completes the accept; the listener is destroyed before its
    // handler runs.
    asio::post(m_loop, [this] { m_listener.reset(); });
  });
  m_loop.run_for(std::chrono::milliseconds{ 50 });
  EXPECT_TRUE(m_accepted.empty());
}

} // namespace
} // namespace pistachiostand
