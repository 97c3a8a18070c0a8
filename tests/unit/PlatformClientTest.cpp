#include "pistachiostand/connection/PlatformClient.h"

#include <gtest/gtest.h>

namespace pistachiostand {
namespace {

class PlatformClientTest : public ::testing::Test
{
protected:
  static ClientResponse Response(std::string aBody, std::uint16_t aStatus = 200)
  {
    return { std::nullopt, aStatus, {}, std::move(aBody) };
  }

  static ClientResponse Failed(TransferFailure aFailure)
  {
    return { aFailure, 200, {}, R"({"oldest":0,"next":0,"records":[]})" };
  }
};

// Guards against "not appended" for an append that may have taken effect, and the reverse.
TEST_F(PlatformClientTest, ClassifyAppend_OfEachResponse_SaysWhatIsProved)
{
  EXPECT_EQ(ClassifyAppend(Response("{}")), AppendResult::Appended);
  for (const std::uint16_t status : { 400, 404, 429, 503 }) {
    EXPECT_EQ(ClassifyAppend(Response("", status)), AppendResult::NotAppended) << status;
  }
  for (const std::uint16_t status : { 500, 502, 504 }) {
    EXPECT_EQ(ClassifyAppend(Response("", status)), AppendResult::Unknown) << status;
  }
}

// Guards against an append that is treated as refused because its response was lost.
TEST_F(PlatformClientTest, ClassifyAppend_OfFailedTransfer_IsUnknownUnlessUnsent)
{
  EXPECT_EQ(ClassifyAppend(Failed(TransferFailure::NotSent)), AppendResult::NotAppended);
  EXPECT_EQ(ClassifyAppend(Failed(TransferFailure::Timeout)), AppendResult::Unknown);
  EXPECT_EQ(ClassifyAppend(Failed(TransferFailure::Truncated)), AppendResult::Unknown);
  EXPECT_EQ(ClassifyAppend(Failed(TransferFailure::Broken)), AppendResult::Unknown);
}

// Guards against records at wrong offsets.
TEST_F(PlatformClientTest, ParseRead_OfRecords_DecodesThem)
{
  const auto read = ParseRead(Response(
    R"({"oldest":3,"next":9,"records":[{"offset":5,"data":"YQ=="},{"offset":6,"data":""}]})"));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->m_oldest, 3U);
  EXPECT_EQ(read->m_next, 9U);
  EXPECT_EQ(read->m_first, 5U);
  EXPECT_EQ(read->m_records, (std::vector<std::string>{ "a", "" }));
}

// Guards against a reader that misses the end of the log when there is no new record.
TEST_F(PlatformClientTest, ParseRead_WithoutRecords_StandsAtTheEnd)
{
  const auto read = ParseRead(Response(R"({"oldest":3,"next":9,"records":[]})"));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->m_first, 9U);
}

// Guards against records that are applied out of order or over a gap inside a response.
TEST_F(PlatformClientTest, ParseRead_OfRecordsNotConsecutive_IsNothing)
{
  for (const char* second : { "5", "7", "4" }) {
    EXPECT_FALSE(ParseRead(Response(
      std::string{ R"({"oldest":0,"next":9,"records":[{"offset":5,"data":""},{"offset":)" } +
      second + R"(,"data":""}]})")))
      << second;
  }
}

// Guards against a failed or partial response that counts as a confirmed read of the log.
TEST_F(PlatformClientTest, ParseRead_OfFailure_IsNothing)
{
  EXPECT_FALSE(ParseRead(Failed(TransferFailure::Truncated)));
  EXPECT_FALSE(ParseRead(Response(R"({"oldest":0,"next":0,"records":[]})", 503)));
  for (const char* body : { "", "{", "[]", "null", "7", R"({"oldest":0,"next":9,"records":7})",
                            R"({"oldest":0,"next":"9","records":[]})",
                            R"({"oldest":0,"next":9,"records":[{"offset":5,"data":"?"}]})",
                            R"({"oldest":0,"next":9,"records":[{"offset":5,"data":7}]})" }) {
    EXPECT_FALSE(ParseRead(Response(body))) << body;
  }
}

// Guards against a new process that treats a response without offsets as an empty log, and becomes
// ready without any rules.
TEST_F(PlatformClientTest, ParseRead_WithoutOffsets_IsNothing)
{
  for (const char* body :
       { "{}", R"({"error":"busy"})", R"({"oldest":0,"records":[]})", R"({"oldest":0,"next":9})",
         R"({"oldest":0,"next":-1,"records":[]})", R"({"oldest":0,"next":1.5,"records":[]})",
         R"({"oldest":0,"next":9,"records":[{"data":""}]})",
         R"({"oldest":0,"next":9,"records":[{"offset":0}]})" }) {
    EXPECT_FALSE(ParseRead(Response(body))) << body;
  }
}

// Guards against an end of the log that precedes its own records.
TEST_F(PlatformClientTest, ParseRead_WithEndBeforeItsRecords_IsNothing)
{
  EXPECT_FALSE(ParseRead(Response(R"({"oldest":0,"next":5,"records":[{"offset":5,"data":""}]})")));
}

// Guards against fields that are lost between the platform and the planner.
TEST_F(PlatformClientTest, ParseInstanceList_OfInstances_ReadsAllFields)
{
  const auto list = ParseInstanceList(
    Response(R"({"version":4,"instances":[{"id":"i1","address":"127.0.0.1:1","zone":"z",)"
             R"("rack":"r","boot_id":"b","pool":"p","state":"leaving"}]})"));
  ASSERT_TRUE(list);
  EXPECT_EQ(list->m_version, 4U);
  ASSERT_EQ(list->m_instances.size(), 1U);
  const auto& instance = list->m_instances.front();
  EXPECT_EQ(instance.m_id, "i1");
  EXPECT_EQ(instance.m_address, "127.0.0.1:1");
  EXPECT_EQ(instance.m_zone, "z");
  EXPECT_EQ(instance.m_rack, "r");
  EXPECT_EQ(instance.m_bootId, "b");
  EXPECT_EQ(instance.m_pool, "p");
  EXPECT_TRUE(instance.m_leaving);
}

// Guards against a fleet that is retired because of a response without a list.
TEST_F(PlatformClientTest, ParseInstanceList_OfUnusableResponse_IsNothing)
{
  for (const char* body : { "", "[]", "{}", R"({"instances":7})", R"({"instances":null})",
                            R"({"instances":{}})", R"({"instances":[7]})" }) {
    EXPECT_FALSE(ParseInstanceList(Response(body))) << body;
  }
  EXPECT_FALSE(ParseInstanceList(Response(R"({"instances":[]})", 500)));
}

// Guards against an instance without name, address or boot id that joins the fleet.
TEST_F(PlatformClientTest, ParseInstanceList_OfIncompleteInstance_IsNothing)
{
  for (const char* instance : { R"({"address":"127.0.0.1:1","boot_id":"b","state":"live"})",
                                R"({"id":"i1","boot_id":"b","state":"live"})",
                                R"({"id":"i1","address":"127.0.0.1:1","state":"live"})",
                                R"({"id":"i1","address":"127.0.0.1:1","boot_id":"b"})" }) {
    EXPECT_FALSE(
      ParseInstanceList(Response(std::string{ R"({"version":1,"instances":[)" } + instance + "]}")))
      << instance;
  }
}

} // namespace
} // namespace pistachiostand
