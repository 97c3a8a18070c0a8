#include "Deployment.h"

namespace pistachiostand::testing {
namespace {

/// \brief Starts entry instances for which no rules have been published.
class NoRulesTest : public Deployment
{
protected:
  void SetUp() override
  {
    StartPlatform();
    StartEntries({ "z1", "z2" });
    WaitUntilReady();
  }

  [[nodiscard]] HttpResponse SendTenantRequest(const std::string& aMethod,
                                               const std::string& aTarget)
  {
    return SendRequest({ aMethod, m_entries.at(0).m_address, aTarget, { { "X-Tenant", "t" } } });
  }
};

// Guards against an "unknown tenant" error before any rules are published, after which a caller
// would not retry.
TEST_F(NoRulesTest, Request_WithoutAnyRules_CanBeRepeatedLater)
{
  const auto response = Call(0, { "lookups", "tupelo", "body" });
  EXPECT_EQ(response.m_status, 503);
  EXPECT_EQ(response.Field("kind"), "not-ready");
  EXPECT_EQ(response.Header("x-outcome"), "not-run");
  EXPECT_FALSE(response.Header("retry-after").empty());
}

// Guards against the outcome "not-run" for a job that another entry instance may have run: a
// rejected query says nothing about the job (invariant I4: a job reported as "not-run" never runs).
TEST_F(NoRulesTest, Question_AboutAJob_IsNotAnsweredWithNotRun)
{
  for (const char* method : { "GET", "DELETE" }) {
    const auto response = SendTenantRequest(method, "/v1/jobs/key-1");
    EXPECT_EQ(response.m_status, 503) << method;
    EXPECT_EQ(response.Header("x-outcome"), "unknown") << method;
    EXPECT_EQ(response.Field("outcome"), "unknown") << method;
  }
}

} // namespace
} // namespace pistachiostand::testing
