#include "FakeHttpClient.h"

#include "src/manager/TopicTail.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <stdexcept>
#include <string>

namespace pistachiostand::fleet {
namespace {

/// \brief A topic tail with a record that is malformed or whose handler throws.
class MalformedTopicTest : public ::testing::Test
{
protected:
  MalformedTopicTest()
    : m_store(m_client, "store.example")
    , m_tail(m_loop, m_store, { { "keyed.op" }, 100, 0 },
             { [this](const std::string& aKey, const auto& aValue, Offset /*aOffset*/) {
                if (aKey == "bad") {
                  throw std::runtime_error("bad");
                }
                m_values[aKey] = aValue;
              },
               [](Millis /*aSentMs*/) {} })
  {
    m_tail.Start();
  }

  void RespondToList(const std::string& aItems)
  {
    m_client.Respond(m_client.Find("/log-newest").back(), 200,
                     R"({"end":9,"items":[)" + aItems + "]}");
  }

  /// \brief Responds to the last read with these records, the first one at offset 9.
  void RespondToRead(const std::vector<std::string>& aRecords)
  {
    const std::string end(1, static_cast<char>(9 + aRecords.size()));
    m_client.Respond(m_client.Find("/log-read").back(), 200,
                     std::string(7, '\0') + end + std::string(7, '\0') + "\x09" +
                       platform::EncodeRecords(aRecords));
  }

  asio::io_context m_loop{ 1 };
  FakeHttpClient m_client;
  platform::Store m_store;
  std::map<std::string, std::optional<std::string>> m_values;
  TopicTail m_tail;
};

// Guards against a tail that stops following its topic because a handler threw.
TEST_F(MalformedTopicTest, HandlerThrows_LaterRecordsAreRead)
{
  EXPECT_NO_THROW(RespondToList(R"({"key":"bad","value":"AAEC","offset":1},)"
                                R"({"key":"good","value":"AAEC","offset":2})"));
  EXPECT_TRUE(m_values.contains("good"));
  ASSERT_EQ(m_client.Find("/log-read").size(), 1U);
  EXPECT_NO_THROW(RespondToRead({ platform::EncodeKeyed("bad", "x"), "",
                                  "\x50"
                                  "short",
                                  platform::EncodeKeyed("later", "x") }));
  EXPECT_TRUE(m_values.contains("later"));
  ASSERT_EQ(m_client.Find("/log-read").size(), 2U);
  EXPECT_NE(m_client.m_sent[m_client.Find("/log-read").back()].m_request.m_url.find("from=13"),
            std::string::npos);
}

// Guards against treating servers as removed because a list from the store held them in an item
// that cannot be read.
TEST_F(MalformedTopicTest, ItemOfASecondList_Unreadable_KeysAreNotRemoved)
{
  RespondToList(R"({"key":"a","value":"AAEC","offset":1},{"key":"b","value":"AAEC","offset":2})");
  m_client.Respond(m_client.Find("/log-read").back(), 410, "");
  ASSERT_EQ(m_client.Find("/log-newest").size(), 2U);
  RespondToList(R"({"key":"a","value":"?","offset":1},{"key":"b","value":"AAED","offset":3})");
  EXPECT_TRUE(m_values["a"].has_value());
  EXPECT_EQ(m_values["b"], std::optional<std::string>(std::string("\0\1\3", 3)));
  m_client.Respond(m_client.Find("/log-read").back(), 410, "");
  RespondToList(R"({"key":"b","value":"AAED","offset":3})");
  EXPECT_FALSE(m_values["a"].has_value());
}

} // namespace
} // namespace pistachiostand::fleet
