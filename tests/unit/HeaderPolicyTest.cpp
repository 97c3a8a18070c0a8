#include "pistachiostand/connection/HeaderPolicy.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

// Guards against a caller that sets the attempt, pool or start time sent to a backend server
// (invariant I5: a job runs at most once).
TEST(HeaderPolicyTest, Caller_NamingAnAttempt_IsNotPassedOn)
{
  const HttpHeaders passed = PassedToService({ { "accept", "text/html" },
                                               { "x-job-key", "other/key" },
                                               { "x-attempt", "7" },
                                               { "x-start-before-ms", "99999999" },
                                               { "x-boot-id", "b" },
                                               { "x-pool", "p" } });
  EXPECT_EQ(passed, (HttpHeaders{ { "accept", "text/html" } }));
}

// Guards against a length or framing field of one connection being forwarded on the next.
TEST(HeaderPolicyTest, Response_WithConnectionFields_KeepsOnlyItsOwn)
{
  const HttpHeaders passed = PassedToCaller({ { "content-length", "7" },
                                              { "transfer-encoding", "chunked" },
                                              { "content-type", "text/plain" },
                                              { "etag", "\"1\"" } });
  EXPECT_EQ(passed, (HttpHeaders{ { "content-type", "text/plain" }, { "etag", "\"1\"" } }));
}

} // namespace
} // namespace pistachiostand
