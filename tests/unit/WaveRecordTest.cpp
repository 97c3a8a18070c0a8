#include "pistachiostand/fleet/WaveRecord.h"

#include <gtest/gtest.h>

namespace pistachiostand::fleet {
namespace {

class WaveRecordTest : public ::testing::Test
{
protected:
  const WaveRecord m_record{ { "i1", "i2" }, 12'000 };
};

// Guards against a later owner that orders maintenance again or counts the wave's time from the
// wrong start.
TEST_F(WaveRecordTest, Decode_OfEncoded_IsTheSame)
{
  EXPECT_EQ(DecodeWaveRecord(EncodeWaveRecord(m_record)), m_record);
}

// Guards against a crash, or an age in the future, from bytes that another program has written.
TEST_F(WaveRecordTest, Decode_OfOtherBytes_IsNothing)
{
  EXPECT_EQ(DecodeWaveRecord(R"(["i1","i2"])"), std::nullopt);
  EXPECT_EQ(DecodeWaveRecord(""), std::nullopt);
  EXPECT_EQ(DecodeWaveRecord(EncodeWaveRecord({ {}, -1 })), std::nullopt);
}

} // namespace
} // namespace pistachiostand::fleet
