#include "Deployment.h"

namespace pistachiostand::testing {
namespace {

/// \brief Entry instances that know no rules, as after a start without the platform.
class NoRulesTest : public Deployment
{
protected:
  void SetUp() override
  {
    StartPlatform();
    StartEntries({ "z1", "z2" });
    WaitUntilReady();
  }

  [[nodiscard]] HttpResponse Ask(const std::string& aMethod, const std::string& aTarget)
  {
    return SendRequest({ aMethod, m_entries.at(0).m_address, aTarget, { { "X-Tenant", "t" } } });
  }
};

// Guards against callers who are told that their tenant is unknown, and do not try again.
TEST_F(NoRulesTest, Request_WithoutAnyRules_CanBeRepeatedLater)
{
  const auto response = Call(0, { "lookups", "tupelo", "body" });
  EXPECT_EQ(response.m_status, 503);
  EXPECT_EQ(response.Field("kind"), "not-ready");
  EXPECT_EQ(response.Header("x-outcome"), "not-run");
  EXPECT_FALSE(response.Header("retry-after").empty());
}

// Guards against "not run" for a job that another entry instance has run: a refused question says
// nothing about the job (I4).
TEST_F(NoRulesTest, Question_AboutAJob_IsNotAnsweredWithNotRun)
{
  for (const char* method : { "GET", "DELETE" }) {
    const auto response = Ask(method, "/v1/jobs/key-1");
    EXPECT_EQ(response.m_status, 503) << method;
    EXPECT_EQ(response.Header("x-outcome"), "unknown") << method;
    EXPECT_EQ(response.Field("outcome"), "unknown") << method;
  }
}

} // namespace
} // namespace pistachiostand::testing
