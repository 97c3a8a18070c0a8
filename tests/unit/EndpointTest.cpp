#include "pistachiostand/base/Endpoint.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

class EndpointTest : public ::testing::TestWithParam<const char*>
{};

// Guards against an address that changes when it is formatted and parsed again.
TEST_F(EndpointTest, Address_OfBothFamilies_ReadsBackAsWritten)
{
  EXPECT_EQ(ParseEndpoint("127.0.0.1:8080"), (Endpoint{ "127.0.0.1", 8080 }));
  EXPECT_EQ(ParseEndpoint("[::1]:65535"), (Endpoint{ "::1", 65535 }));
  EXPECT_EQ(ToString(Endpoint{ "::1", 80 }), "[::1]:80");
  EXPECT_EQ(ToString(Endpoint{ "10.0.0.1", 80 }), "10.0.0.1:80");
}

// Guards against a resolver dependency, and against ports that the operating system would choose.
TEST_P(EndpointTest, Text_ThatIsNoAddress_IsRefused)
{
  EXPECT_FALSE(ParseEndpoint(GetParam())) << GetParam();
}

INSTANTIATE_TEST_SUITE_P(Malformed, EndpointTest,
                         ::testing::Values("", ":", "localhost:80", "127.0.0.1", "127.0.0.1:",
                                           "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1",
                                           "127.0.0.1:80x", "127.0.0.1: 80", "::1:80", "[::1]",
                                           "[127.0.0.1]:80", "[]:80", "1.2.3:80"));

} // namespace
} // namespace pistachiostand
