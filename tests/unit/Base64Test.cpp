#include "pistachiostand/base/Base64.h"

#include "Property.h"

namespace pistachiostand {
namespace {

class Base64Test : public ::testing::Test
{};

// Guards against an encoding that the platform cannot decode; the values are those of RFC 4648.
TEST_F(Base64Test, Encode_OfKnownValues_IsStandard)
{
  EXPECT_EQ(EncodeBase64(""), "");
  EXPECT_EQ(EncodeBase64("f"), "Zg==");
  EXPECT_EQ(EncodeBase64("fo"), "Zm8=");
  EXPECT_EQ(EncodeBase64("foo"), "Zm9v");
  EXPECT_EQ(EncodeBase64("foobar"), "Zm9vYmFy");
  EXPECT_EQ(EncodeBase64("\xfb\xff\xfe"), "+//+");
}

// Guards against records that are altered when they are stored in the log.
TEST_F(Base64Test, Decode_OfEncodedBytes_IsTheSame)
{
  CheckProperty("base64 round trip", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    RC_ASSERT(DecodeBase64(EncodeBase64(bytes)) == bytes);
  });
}

// Guards against a damaged record that is decoded to other bytes.
TEST_F(Base64Test, Decode_OfMalformedText_IsNothing)
{
  for (const char* text : { "Z", "Zg", "Zg=", "Zg===", "====", "Z===", "=Zg=", "Zg=v",
                            "Zm9v Zg=", "Zm9-", "Zm9_", "Zm9\n", "Zg==Zg==", "ZgZ=Zg==" }) {
    EXPECT_EQ(DecodeBase64(text), std::nullopt) << text;
  }
  EXPECT_EQ(DecodeBase64({ "Zg\0=", 4 }), std::nullopt);
}

// Guards against accepting two texts for the same bytes, one of which is damaged.
TEST_F(Base64Test, Decode_WithBitsBehindTheEnd_IsNothing)
{
  EXPECT_EQ(DecodeBase64("Zh=="), std::nullopt);
  EXPECT_EQ(DecodeBase64("Zm9="), std::nullopt);
}

} // namespace
} // namespace pistachiostand
