#include "src/manager/EntrySettings.h"

#include <gtest/gtest.h>

#include <string>

namespace pistachiostand::fleet {
namespace {

constexpr const char* kRequired = R"(
[entry]
id = "entry-1"
zone = "z1"
processor_share = 1
[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
entries = "127.0.0.1:3"
metrics = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
writes_per_s = 1
reads_per_s = 1
partitions = 1
[instances]
address = "127.0.0.1:6"
orders_per_s = 1
lists_per_s = 1
[bounds]
max_lease_ms = 1
stop_ms = 1
contact_ms = 1
grace_s = 1
exclusive_ms = 1
drain_ms = 1
keep_state_s = 1
early_ms = 1
remote_factor = 1
notice_ms = 1
move_s = 1
maintenance_s = 1
harm_ms = 1
pace_ms = 1
)";

// Guards against learning that cannot be switched off, and against settings files of earlier
// versions that are refused.
TEST(SchedulingSettingsTest, LearnRunTimes_IsOnUnlessSwitchedOff)
{
  Reasons reasons;
  const auto parse = [&reasons](const std::string& aTable) {
    return ParseEntrySettings(kRequired + aTable, reasons);
  };
  ASSERT_TRUE(parse(""));
  EXPECT_TRUE(parse("")->m_learnRunTimes);
  EXPECT_TRUE(parse("[scheduling]\n")->m_learnRunTimes);
  EXPECT_FALSE(parse("[scheduling]\nlearn_run_times = false\n")->m_learnRunTimes);
  EXPECT_TRUE(reasons.empty());
  EXPECT_FALSE(parse("[scheduling]\nlearn_run_times = \"off\"\n"));
  EXPECT_EQ(reasons.size(), 1U);
}

} // namespace
} // namespace pistachiostand::fleet
