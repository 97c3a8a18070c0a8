#include "OwnerFixture.h"

#include "src/manager/FleetControl.h"

namespace pistachiostand::fleet {
namespace {

/// \brief Instance lists in which one part is malformed.
class MalformedInstanceTest : public OwnerFixture
{
protected:
  MalformedInstanceTest()
    : m_committer(m_state, [](const CommitBatch& /*aBatch*/) {})
    , m_runs(m_state, m_committer, [] {})
    , m_fleet(m_state, m_runs)
  {
    m_fleet.OnRecordsRead();
  }

  static std::string Row(const std::string& aId)
  {
    return R"({"machine":")" + aId + R"(","pool":"p","state":"moving"})";
  }

  /// \brief Makes the owner list the instances, and responds with these rows.
  void List(const std::string& aRows)
  {
    m_nowMs += 1'000;
    m_fleet.Tick(m_nowMs);
    const auto lists = m_client.Find("/machines");
    ASSERT_EQ(lists.size(), ++m_lists);
    m_client.Respond(lists.back(), 200, R"({"machines":[)" + aRows + "]}");
    m_fleet.Tick(m_nowMs);
  }

  /// \brief Whether the wave was reported as completed.
  bool IsCompleted(std::uint64_t aWave)
  {
    const auto record =
      platform::EncodeKeyed("wave/" + std::to_string(aWave), platform::EncodeWaveStatus(true));
    return std::ranges::any_of(m_client.Find("topic=keyed.status"), [&](std::size_t aIndex) {
      return m_client.m_sent[aIndex].m_request.m_body.find(record) != std::string::npos;
    });
  }

  /// \brief Confirms all status writes, so that the next one is sent.
  void RespondToStatus()
  {
    for (const auto index : m_client.Find("topic=keyed.status")) {
      m_client.Respond(index, 200, R"({"offset":0,"end":1})");
    }
    m_fleet.Tick(m_nowMs);
  }

  Committer m_committer;
  RunControl m_runs;
  FleetControl m_fleet;
  Millis m_nowMs = MonotonicMs();
  std::size_t m_lists{};
};

// Guards against an owner that keeps planning with an outdated list because of one malformed row,
// and against reporting a wave as completed while the instance of that row still awaits
// maintenance.
TEST_F(MalformedInstanceTest, OneRowUnreadable_ListIsUsed_ItsInstanceIsNotGone)
{
  m_fleet.OnWave({ 1, { "i1" }, 60'000, 1 }, m_nowMs);
  m_fleet.OnWave({ 2, { "i3" }, 60'000, 1 }, m_nowMs);
  List(Row("i1") + "," + Row("i2") + "," + Row("i3"));
  List(R"({"machine":"i1","pool":7},)" + Row("i2"));
  RespondToStatus();
  EXPECT_TRUE(IsCompleted(2));
  EXPECT_FALSE(IsCompleted(1));
  EXPECT_EQ(m_metrics.m_counters["instances_unreadable_total"], 1U);
  List(Row("i2"));
  RespondToStatus();
  EXPECT_TRUE(IsCompleted(1));
}

// Guards against reporting a wave as completed because the id of its instance is unreadable.
TEST_F(MalformedInstanceTest, RowWithoutId_NoInstanceIsGone)
{
  m_fleet.OnWave({ 1, { "i1" }, 60'000, 1 }, m_nowMs);
  List(Row("i1") + "," + Row("i2"));
  List("7," + Row("i2"));
  RespondToStatus();
  EXPECT_FALSE(IsCompleted(1));
}

// Guards against reading a list endlessly because a page names itself as the next one.
TEST_F(MalformedInstanceTest, PageThatNamesItselfAsTheNext_IsNotReadAgainAtOnce)
{
  m_fleet.Tick(m_nowMs + 1'000);
  const std::string page = R"({"machines":[],"next-token":"n"})";
  m_client.Respond(m_client.Find("/machines").back(), 200, page);
  ASSERT_EQ(m_client.Find("/machines").size(), 2U);
  m_client.Respond(m_client.Find("/machines").back(), 200, page);
  EXPECT_EQ(m_client.Find("/machines").size(), 2U);
}

} // namespace
} // namespace pistachiostand::fleet
