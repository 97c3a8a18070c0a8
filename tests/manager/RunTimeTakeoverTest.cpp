#include "EntryInstanceFixture.h"

#include "src/manager/FleetControl.h"

#include "pistachiostand/job/RunTimeRecord.h"

namespace pistachiostand::fleet {
namespace {

/// \brief Two entry instances, of which the second takes over, and runs of 400 ms that are declared
/// as 100 ms.
class RunTimeTakeoverTest : public EntryInstanceFixture
{
protected:
  /// \brief Expected over declared run time of the queue on the metrics page; 0 if it is missing.
  double Ratio(int aInstance)
  {
    ClientRequest request;
    request.m_url = "http://" + pistachiostand::ToString(At(10 * aInstance + 4)) + "/metrics";
    request.m_timeoutMs = 2'000;
    const std::string page = Call(std::move(request)).m_body;
    const std::string line = "pistachiostand_run_time_ratio{queue=\"r\"} ";
    const auto at = page.find(line);
    return at == std::string::npos ? 0 : std::stod(page.substr(at + line.size()));
  }
};

// Guards against run times that are lost with the owner: the next one must know them before it has
// observed a run.
TEST_F(RunTimeTakeoverTest, OwnerLost_NextOneKnowsTheRunTimes)
{
  Start(1);
  ASSERT_TRUE(IsReady(1));
  Call(1, "POST", std::string{ "/lookups/" } + kJob,
       R"({"spec":"work","steps":[{"count":20,"cpu":100,"mem-mb":10,"estimated-ms":100}]})");
  ASSERT_TRUE(Completes(1));
  ASSERT_TRUE(RunUntil([this] { return m_store.Value(kFleetTopic, RunTimeKey("r")).has_value(); }));
  m_entries.erase(1);
  Start(2);
  ASSERT_TRUE(RunUntil([this] { return Ratio(2) > 0; }, 20'000));
  EXPECT_GT(Ratio(2), 2);
}

} // namespace
} // namespace pistachiostand::fleet
