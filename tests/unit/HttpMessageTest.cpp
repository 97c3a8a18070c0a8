#include "pistachiostand/connection/HttpMessage.h"

#include "Property.h"

#include "pistachiostand/base/PercentCoding.h"

namespace pistachiostand {
namespace {

class HttpMessageTest : public ::testing::Test
{
protected:
  static std::optional<HttpRequest> Parse(std::string_view aTarget)
  {
    HttpRequest request;
    return ParseTarget(aTarget, request) ? std::optional{ request } : std::nullopt;
  }
};

// Guards against names and bytes that change when they are encoded in a URL and decoded again.
TEST_F(HttpMessageTest, PercentDecode_OfEncodedText_IsTheSame)
{
  CheckProperty("percent round trip", [] {
    const auto text = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(PercentDecode(PercentEncode(text)) == text);
  });
}

// Guards against a key that changes the path or the query of a request to a server.
TEST_F(HttpMessageTest, PercentEncode_OfReservedCharacters_EncodesThem)
{
  EXPECT_EQ(PercentEncode("a/b?c&d=e#f%g h+"), "a%2Fb%3Fc%26d%3De%23f%25g%20h%2B");
  EXPECT_EQ(PercentEncode("aZ09-._~"), "aZ09-._~");
  EXPECT_EQ(PercentEncode("\xc3\xa9"), "%C3%A9");
}

// Guards against text that is guessed from a malformed sequence.
TEST_F(HttpMessageTest, PercentDecode_OfMalformedSequence_IsNothing)
{
  for (const char* text : { "%", "%2", "a%", "%zz", "%2z", "%-1", "%+1", "% 1", "%0x", "%%20" }) {
    EXPECT_EQ(PercentDecode(text), std::nullopt) << text;
  }
  EXPECT_EQ(PercentDecode("%2f%2F+"), "//+");
}

// Guards against a query that is parsed as part of the path, and against a lost parameter.
TEST_F(HttpMessageTest, ParseTarget_WithQuery_SplitsIt)
{
  const auto request = Parse("/v1/rules?base=3&author=Ann%20Lee&empty=&flag&base=4");
  ASSERT_TRUE(request);
  EXPECT_EQ(request->m_path, "/v1/rules");
  EXPECT_EQ(request->m_query, (std::map<std::string, std::string, std::less<>>{
                                { "author", "Ann Lee" },
                                { "base", "4" },
                                { "empty", "" },
                                { "flag", "" },
                              }));
}

// Guards against an encoded separator that is treated as a separator.
TEST_F(HttpMessageTest, ParseTarget_WithEncodedSeparators_KeepsThemAsText)
{
  const auto request = Parse("/a%3Fb?c%26d=e%3Df");
  ASSERT_TRUE(request);
  EXPECT_EQ(request->m_path, "/a?b");
  EXPECT_EQ(request->m_query.at("c&d"), "e=f");
}

// Guards against a request that is served although its target is malformed.
TEST_F(HttpMessageTest, ParseTarget_OfMalformedTarget_Fails)
{
  for (const char* target : { "/a%", "/%zz", "/a?b=%", "/a?%=b", "/a?b&c=%g0" }) {
    EXPECT_FALSE(Parse(target)) << target;
  }
}

// Guards against a crash on an unusual target.
TEST_F(HttpMessageTest, ParseTarget_OfArbitraryText_DoesNotThrow)
{
  CheckProperty("target", [] {
    const auto text = *rc::gen::container<std::string>(rc::gen::element('%', '?', '&', '=', 'a'));
    HttpRequest request;
    const bool valid = ParseTarget(text, request);
    const bool expected = valid || text.find('%') != std::string::npos;
    RC_ASSERT(expected);
  });
}

// Guards against a header that is not found because of its case.
TEST_F(HttpMessageTest, FindHeader_OfNameInAnotherCase_FindsTheLast)
{
  HttpHeaders headers;
  SetHeader(headers, "X-Tenant", "a");
  SetHeader(headers, "x-TENANT", "b");
  EXPECT_EQ(FindHeader(headers, "x-tenant"), "b");
  EXPECT_EQ(FindHeader(headers, "x-other"), "");
  EXPECT_EQ(headers.size(), 1U);
}

} // namespace
} // namespace pistachiostand
