#pragma once

#include "FaultFixture.h"

#include <string>
#include <vector>

/// \file
/// \brief Fixture for failure tests of configuration and network partitions.

namespace pistachiostand::testing {

inline constexpr auto kConfigRules =
  R"(pool.lookups = { instances = 2, task_control = "full" } # Ann Lee: counter lookups
pool.quotes = { instances = 1, task_control = "none" } # Ann Lee: quoting
pool.batches = { instances = 1, task_control = "full" } # Ann Lee: wheel-build batches
pool.admin = { instances = 1, spare = true } # Ann Lee: shop admin is the spare pool
service.lookups = { pool = "lookups", class = "urgent", idempotent = true, timeout_ms = 2000 } # Ann Lee: customer waits
service.quotes = { pool = "quotes", class = "urgent", idempotent = true, timeout_ms = 500 } # Ann Lee: quoting
service.batches = { pool = "batches", class = "batch", idempotent = false, timeout_ms = 4000 } # Ann Lee: billed once
tenant.tupelo = { share = 2, max_queued = 64 } # Bo Cruz: larger contract
)";

/// kConfigRules with one more tenant, so that each name gives a different rule file.
inline std::string RulesWith(const std::string& aTenant)
{
  return std::string(kConfigRules) + "tenant." + aTenant + " = { share = 1 } # Bo Cruz: new shop\n";
}

/// \brief Starts backend servers of four pools; the pool quotes has no task control.
class ConfigFixture : public FaultFixture
{
protected:
  void StartServers(const std::string& aMoreLimits = {})
  {
    StartPlatform({ "--reboot-ms=50" });
    StartBackends({ "lookups", "lookups", "quotes", "batches", "admin" });
    SetLimits(kFastLimits + aMoreLimits);
  }

  void StartAll(const std::vector<std::string>& aZones, const std::string& aMoreLimits = {})
  {
    StartServers(aMoreLimits);
    StartEntries(aZones);
    PublishRules(0, { kConfigRules });
    WaitUntilReady();
    WaitForRevision(1);
    WaitUntilServed("lookups");
    WaitUntilServed("quotes");
  }

  /// Publishes the next revision and returns it.
  std::int64_t PublishNext(std::size_t aEntry)
  {
    const auto base = Revision(m_entries.at(aEntry));
    PublishRules(aEntry,
                 { RulesWith("shop" + std::to_string(base)), static_cast<std::uint64_t>(base) });
    return base + 1;
  }

  void WaitForAgreement(std::int64_t aRevision)
  {
    WaitForRevision(aRevision);
    ExpectNoDigestMismatch();
    const auto rules = SendRequest({ "GET", m_entries.front().m_address, "/v1/rules" });
    for (const auto& entry : m_entries) {
      EXPECT_EQ(SendRequest({ "GET", entry.m_address, "/v1/rules" }).m_body, rules.m_body);
    }
  }

  /// Waits until the entry instance has logged a failed read of the platform's log.
  void WaitUntilLogReadFails(const Server& aEntry)
  {
    WaitUntil("failed read of " + aEntry.m_id, [&] {
      return aEntry.m_child->Output().find("The platform's log cannot be read") !=
             std::string::npos;
    });
  }

  void ExpectNotReady(std::size_t aEntry, const std::string& aName)
  {
    EXPECT_EQ(SendRequest({ "GET", m_entries[aEntry].m_address, "/readyz" }).m_status, 503);
    const auto lookup = CallNamed(aEntry, "lookups", aName + "-lookup");
    EXPECT_EQ(lookup.m_status, 503) << lookup.m_body;
    EXPECT_EQ(lookup.Field("outcome"), "not-run");
    const auto batch = CallNamed(aEntry, "batches", aName + "-batch", aName + "-key");
    EXPECT_EQ(batch.m_status, 503) << batch.m_body;
    EXPECT_EQ(batch.Field("outcome"), "not-run");
    EXPECT_EQ(TryPublish(aEntry, { kConfigRules, 1 }).m_status, 503);
    const RequestHeaders tenant{ { "X-Tenant", "tupelo" } };
    const auto job =
      SendRequest({ "GET", m_entries[aEntry].m_address, "/v1/jobs/" + aName + "-key", tenant });
    EXPECT_EQ(job.m_status, 503) << job.m_body;
    EXPECT_EQ(job.Field("outcome"), "unknown");
    EXPECT_EQ(StartedCount(aName + "-lookup") + StartedCount(aName + "-key"), 0U);
  }
};

} // namespace pistachiostand::testing
