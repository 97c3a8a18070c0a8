#include "pistachiostand/account/Access.h"

#include "platform/Wire.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>

namespace pistachiostand::fleet {
namespace {

class AccessTest : public ::testing::Test
{
protected:
  static constexpr Millis kNow = 100'000;
  static constexpr AccessPolicy kStrict{ true, true, 5'000 };

  AccessTest()
  {
    AddAccount(m_configuration, { "tupelo", { "key-1", "key-2" }, 3, {} });
    AddAccount(m_configuration, { "macon", { "key-3" }, 3, {} });
    m_configuration.m_requiresKeys = true;
    m_queue.m_name = "lookups";
  }

  [[nodiscard]] AccessResult Ask(std::string_view aKey, Millis aAgeMs = 0) const
  {
    return Authorize(m_configuration, m_queue, aKey, kStrict, kNow - aAgeMs, kNow);
  }

  static JobSpec JobOf(const AccountName& aAccount)
  {
    JobSpec spec;
    spec.m_account = aAccount;
    spec.m_queue = "lookups";
    return spec;
  }

  Configuration m_configuration;
  QueueRule m_queue;
};

// Guards against serving callers that have no key of any account.
TEST_F(AccessTest, Key_UnknownOrMissing_IsRejected)
{
  EXPECT_EQ(Ask("key-2").m_scope.m_account, "tupelo");
  EXPECT_EQ(Ask("key-4").m_outcome, AccessOutcome::UnknownKey);
  EXPECT_EQ(Ask("").m_outcome, AccessOutcome::UnknownKey);
}

// Guards against an account whose list contains an empty key, which callers without a key match.
TEST_F(AccessTest, Account_WithAnEmptyKey_DoesNotAdmitCallersWithoutAKey)
{
  AddAccount(m_configuration, { "open", { "" }, 3, {} });
  EXPECT_EQ(Ask("").m_outcome, AccessOutcome::UnknownKey);
}

// Guards against refusing callers of a public queue, and against giving their jobs an account.
TEST_F(AccessTest, PublicQueue_AnyKey_IsAllowedWithoutAnAccount)
{
  m_queue.m_public = true;
  const AccessResult expected{ AccessOutcome::Allowed, { "", "lookups" } };
  EXPECT_EQ(Ask("key-4"), expected);
  EXPECT_EQ(Ask("key-1", 60'000), expected);
}

// Guards against requiring keys in deployments that have no accounts.
TEST_F(AccessTest, NoAccounts_NoSettings_NeedsNoKey)
{
  const auto result = Authorize({}, m_queue, "", {}, std::nullopt, kNow);
  EXPECT_EQ(result.m_outcome, AccessOutcome::Allowed);
}

// Guards against accepting a withdrawn key: an instance that was cut off from the store or paused
// trusted its copy of the configuration.
TEST_F(AccessTest, Configuration_OlderThanTheTrustedTime_IsNotUsedForKeys)
{
  EXPECT_EQ(Ask("key-1", 2'999).m_outcome, AccessOutcome::Allowed);
  EXPECT_EQ(Ask("key-1", 3'000).m_outcome, AccessOutcome::StaleConfiguration);
  // Whether the key was added in the meantime is not known either.
  EXPECT_EQ(Ask("key-4", 3'000).m_outcome, AccessOutcome::StaleConfiguration);
  EXPECT_EQ(Authorize(m_configuration, m_queue, "key-1", kStrict, std::nullopt, kNow).m_outcome,
            AccessOutcome::StaleConfiguration);
}

// Guards against keys that stay valid after their account lost them, and against keys that stay
// invalid after they were added again.
TEST_F(AccessTest, Key_RemovedAndAddedAgain_FollowsTheAccount)
{
  AddAccount(m_configuration, { "tupelo", { "key-2" }, 3, {} });
  EXPECT_EQ(Ask("key-1").m_outcome, AccessOutcome::UnknownKey);
  AddAccount(m_configuration, { "tupelo", { "key-1", "key-2" }, 3, {} });
  EXPECT_EQ(Ask("key-1").m_outcome, AccessOutcome::Allowed);
}

// Guards against callers that read or cancel the jobs of another account.
TEST_F(AccessTest, Job_OfAnotherAccount_IsNotUsable)
{
  EXPECT_TRUE(MayUseJob({ "tupelo", "lookups" }, JobOf("tupelo")));
  EXPECT_FALSE(MayUseJob({ "macon", "lookups" }, JobOf("tupelo")));
  EXPECT_FALSE(MayUseJob({ "", "other" }, JobOf("tupelo")));
  EXPECT_TRUE(MayUseJob({ "", "lookups" }, JobOf("tupelo"))) << "the queue has become public";
  EXPECT_TRUE(MayUseJob({ "macon", "lookups" }, JobOf(""))) << "it was submitted without a key";
}

// Guards against cancellations that lose their caller in the store, or that an earlier version
// stored and nobody can read.
TEST_F(AccessTest, CancelRecord_EncodedAndDecoded_HasTheAccountOrQueue)
{
  EXPECT_EQ(DecodeCancel(EncodeCancel({ "tupelo", "lookups" })), (CallerScope{ "tupelo", "" }));
  EXPECT_EQ(DecodeCancel(EncodeCancel({ "", "lookups" })), (CallerScope{ "", "lookups" }));
  EXPECT_EQ(DecodeCancel("1"), CallerScope{});
  EXPECT_TRUE(MayUseJob(DecodeCancel("1"), JobOf("tupelo")));
}

/// \brief Accounts in the operator's configuration record.
class AccountDecodeTest : public ::testing::Test
{
protected:
  Configuration Decode(const std::string& aTenants, const Configuration& aBefore = {})
  {
    Reason reason;
    m_malformed = {};
    const auto decoded = platform::DecodeConfiguration(
      fmt::format(R"({{"version":2,"routes":[],"upstreams":[]{}}})", aTenants), reason, aBefore,
      &m_malformed);
    EXPECT_TRUE(decoded) << reason.m_cause;
    return decoded.value_or(Configuration{});
  }

  platform::MalformedRows m_malformed;
};

// Guards against weights, limits and keys that are lost in decoding.
TEST_F(AccountDecodeTest, Row_WithAllFields_IsRead)
{
  const auto decoded = Decode(R"(,"tenants":[{"name":"tupelo","api-keys":["k1","k2"],"priority":1,)"
                              R"("weight":2.5,"max-count":{"cpu":8000,"mem-mb":100,"gpu":0}}])");
  EXPECT_EQ(decoded.m_accounts.at("tupelo"),
            (Account{ "tupelo", { "k1", "k2" }, 2.5, { 8'000, 100, 0 } }));
  EXPECT_TRUE(decoded.m_requiresKeys);
  EXPECT_EQ(decoded.m_accountByKey.at("k2"), "tupelo");
}

// Guards against callers that lose their access because one field of their account is malformed,
// and against keys in the log line about it.
TEST_F(AccountDecodeTest, Row_Malformed_KeepsTheEarlierAccountAndNamesNoKey)
{
  const auto before = Decode(R"(,"tenants":[{"name":"tupelo","api-keys":["k1"]}])");
  const auto decoded = Decode(
    R"(,"tenants":[{"name":"tupelo","api-keys":["k1","secret"],"weight":"x"},["secret"]])", before);
  EXPECT_EQ(decoded.m_accounts, before.m_accounts);
  EXPECT_EQ(m_malformed.m_count, 2U);
  EXPECT_EQ(m_malformed.m_cause.find("secret"), std::string::npos) << m_malformed.m_cause;
}

// Guards against a withdrawn key that stays valid because another field of the row is malformed.
TEST_F(AccountDecodeTest, Row_MalformedWithoutAnEarlierKey_WithdrawsTheKey)
{
  const auto before = Decode(R"(,"tenants":[{"name":"tupelo","api-keys":["k1","k2"]}])");
  const auto decoded =
    Decode(R"(,"tenants":[{"name":"tupelo","api-keys":["k2"],"weight":"x"}])", before);
  EXPECT_FALSE(decoded.m_accountByKey.contains("k1"));
  EXPECT_EQ(decoded.m_accountByKey.at("k2"), "tupelo");
}

// Guards against a version without the list of accounts, or with something else in its place, that
// admits everyone.
TEST_F(AccountDecodeTest, List_MissingOrMalformed_StillRequiresKeys)
{
  const auto before = Decode(R"(,"tenants":[{"name":"tupelo","api-keys":["k1"]}])");
  EXPECT_TRUE(Decode("", before).m_requiresKeys);
  EXPECT_EQ(Decode(R"(,"tenants":7)", before).m_accountByKey, before.m_accountByKey);
  EXPECT_FALSE(Decode("").m_requiresKeys) << "a deployment without accounts";
}

// Guards against a key that gives access to two accounts.
TEST_F(AccountDecodeTest, Key_OfTwoAccounts_StaysWithTheFirst)
{
  const auto decoded =
    Decode(R"(,"tenants":[{"name":"a","api-keys":["k1"]},{"name":"b","api-keys":["k1","k2"]}])");
  EXPECT_EQ(decoded.m_accountByKey.at("k1"), "a");
  EXPECT_EQ(decoded.m_accountByKey.at("k2"), "b");
  EXPECT_EQ(m_malformed.m_count, 1U);
}

// Guards against keys in the log line about a record that is cut short.
TEST_F(AccountDecodeTest, Record_CutShort_ReasonQuotesNothing)
{
  Reason reason;
  EXPECT_FALSE(platform::DecodeConfiguration(R"({"tenants":[{"api-keys":["secret)", reason));
  EXPECT_EQ(reason.m_cause.find("secret"), std::string::npos) << reason.m_cause;
}

} // namespace
} // namespace pistachiostand::fleet
