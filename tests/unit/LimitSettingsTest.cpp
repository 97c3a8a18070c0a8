#include "src/manager/EntrySettings.h"

#include "platform/Wire.h"

#include <gtest/gtest.h>

#include <string>

namespace pistachiostand::fleet {
namespace {

std::string Settings(const std::string& aLimits)
{
  return R"([entry]
id = "e1"
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
)" + aLimits;
}

/// Guards against limits on deployments whose settings have none.
TEST(LimitSettingsTest, Limits_WithoutTable_AreAbsent)
{
  Reasons reasons;
  const auto settings = ParseEntrySettings(Settings(""), reasons);
  ASSERT_TRUE(settings);
  EXPECT_FALSE(settings->m_machine);
}

/// Guards against limits that are read from the wrong key, or are ignored.
TEST(LimitSettingsTest, Limits_OfTable_AreRead)
{
  Reasons reasons;
  const auto settings = ParseEntrySettings(
    Settings("[limits]\nmemory_mb = 160\nmax_fds = 4100\nlink_mbps = 10\nmax_chunks = 7\n"),
    reasons);
  ASSERT_TRUE(settings && settings->m_machine);
  EXPECT_EQ(*settings->m_machine, (overload::MachineLimits{ 160, 4'100, 10, 0, 0, 7 }));
}

/// Guards against an instance that starts without a limit because its value is wrong.
TEST(LimitSettingsTest, Limits_MissingOrTooSmall_AreRefused)
{
  Reasons reasons;
  EXPECT_FALSE(
    ParseEntrySettings(Settings("[limits]\nmemory_mb = 160\nlink_mbps = 10\n"), reasons));
  EXPECT_FALSE(ParseEntrySettings(
    Settings("[limits]\nmemory_mb = 3\nmax_fds = 4100\nlink_mbps = 10\n"), reasons));
}

/// Guards against timeouts of the configuration that are not decoded, and against a malformed row
/// that takes away the limits in force.
TEST(LimitSettingsTest, RequestLimits_OfConfiguration_AreDecoded)
{
  const auto decode = [](const std::string& aLimits, const Configuration& aBefore) {
    Reason reason;
    return platform::DecodeConfiguration(
      R"({"version":2,"routes":[],"upstreams":[],"limits":)" + aLimits + "}", reason, aBefore);
  };
  const auto read = decode(R"({"max-header-bytes":1,"max-body-bytes":2,"header-timeout-ms":3,)"
                           R"("idle-timeout-ms":4})",
                           {});
  ASSERT_TRUE(read);
  EXPECT_EQ(read->m_maxHeaderBytes, 1U);
  EXPECT_EQ(read->m_maxBodyBytes, 2U);
  EXPECT_EQ(read->m_headerTimeoutMs, 3);
  EXPECT_EQ(read->m_idleTimeoutMs, 4);
  const auto malformed = decode(R"({"idle-timeout-ms":"x"})", *read);
  ASSERT_TRUE(malformed);
  EXPECT_EQ(malformed->m_idleTimeoutMs, 4);
  EXPECT_EQ(malformed->m_maxBodyBytes, 2U);
}

} // namespace
} // namespace pistachiostand::fleet
