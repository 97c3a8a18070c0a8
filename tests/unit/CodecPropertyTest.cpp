#include "Property.h"

#include "pistachiostand/connection/PeerMessage.h"
#include "pistachiostand/process/RecordCodec.h"
#include "pistachiostand/process/SnapshotCodec.h"

namespace pistachiostand {
namespace {

std::string GenText()
{
  return *rc::gen::arbitrary<std::string>();
}

std::uint64_t GenUint64()
{
  return *rc::gen::arbitrary<std::uint64_t>();
}

std::uint32_t GenUint32()
{
  return *rc::gen::arbitrary<std::uint32_t>();
}

Millis GenTime()
{
  return *rc::gen::arbitrary<Millis>();
}

std::vector<std::string> GenTexts()
{
  return *rc::gen::arbitrary<std::vector<std::string>>();
}

RecordBody GenInstanceRecord()
{
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return Join{ GenText(), GenText(), GenText(), GenText(), GenText(), GenText() };
    case 1:
      return Fail{ GenText(), GenUint64() };
    case 2:
      return Retire{ GenText(), GenUint64() };
    case 3:
      return Drain{ GenText(), GenUint64(), GenText() };
    default:
      return Return{ GenText(), GenUint64(), GenText() };
  }
}

RecordBody GenJobRecord()
{
  const auto claim = *rc::gen::arbitrary<bool>()
                       ? std::optional{ ClaimTarget{ GenText(), GenText() } }
                       : std::nullopt;
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return Submit{ GenText(), GenText(), GenText(), GenUint64(), GenText(), claim };
    case 1:
      return Claim{ GenText(), GenUint32(), { GenText(), GenText() } };
    case 2:
      return ReleaseClaim{ GenText(), GenUint32(), *rc::gen::arbitrary<bool>(),
                           *rc::gen::arbitrary<bool>() };
    case 3:
      return Finish{ GenText(), GenUint32(), FinishKind::Stopped, 502, GenText(), true };
    default:
      return Cancel{ GenText() };
  }
}

RecordBody GenBody()
{
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return Publish{ GenUint64(), GenText(), GenText() };
    case 1:
      return Tick{ GenTime() };
    case 2:
      return Snapshot{ GenUint64(), GenUint32(), GenUint32(), GenUint64(), GenText() };
    case 3:
      return GenInstanceRecord();
    default:
      return GenJobRecord();
  }
}

PeerMessage GenMessage()
{
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return Hello{ GenText(), GenText(), GenText() };
    case 1:
      return Heartbeat{ GenUint64(),
                        GenUint64(),
                        GenTime(),
                        *rc::gen::arbitrary<bool>(),
                        *rc::gen::arbitrary<std::map<std::string, std::uint32_t>>(),
                        GenTexts() };
    case 2:
      return FetchLog{ GenUint64() };
    case 3:
      return LogBatch{ GenUint64(), GenTexts() };
    case 4:
      return FetchState{ GenUint64() };
    default:
      return StateCopy{ GenText() };
  }
}

/// \brief Changes one byte.
std::string CorruptOneByte(std::string aBytes)
{
  const auto at = *rc::gen::inRange<std::size_t>(0, aBytes.size());
  aBytes[at] = static_cast<char>(aBytes[at] ^ *rc::gen::inRange(1, 256));
  return aBytes;
}

class RecordCodecTest : public ::testing::Test
{
protected:
  static std::optional<Record> Decode(std::string_view aBytes)
  {
    Reason reason;
    auto record = DecodeRecord(aBytes, reason);
    if (!record) {
      EXPECT_EQ(reason.m_kind, ReasonKind::Corrupt);
    }
    return record;
  }
};

class PeerMessageTest : public ::testing::Test
{};

// Guards against a field that is encoded but not decoded, or decoded in another order.
TEST_F(RecordCodecTest, Decode_OfEncodedRecord_IsTheSame)
{
  CheckProperty("record round trip", [] {
    const Record record{ GenUint64(), GenText(), GenBody() };
    RC_ASSERT(Decode(EncodeRecord(record)) == record);
  });
}

// Guards against accepting a truncated or extended record as a complete one.
TEST_F(RecordCodecTest, Decode_OfTruncatedOrExtendedRecord_IsNothing)
{
  CheckProperty("record cut", [] {
    const std::string bytes = EncodeRecord({ GenUint64(), GenText(), GenBody() });
    const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!Decode(std::string_view{ bytes }.substr(0, length)));
    RC_ASSERT(!Decode(bytes + '\0'));
  });
}

// Guards against one record that crashes every reader, and against readers that differ.
TEST_F(RecordCodecTest, Decode_OfDamagedRecord_IsNothingOrEncodable)
{
  CheckProperty("record damage", [] {
    const auto record = Decode(CorruptOneByte(EncodeRecord({ GenUint64(), GenText(), GenBody() })));
    // RC_ASSERT evaluates both sides of ||, so the condition is evaluated before it.
    const bool stable = !record || Decode(EncodeRecord(*record)) == record;
    RC_ASSERT(stable);
  });
}

// Guards against a crash by arbitrary bytes in the log.
TEST_F(RecordCodecTest, Decode_OfGarbage_DoesNotThrow)
{
  CheckProperty("record garbage", [] { RC_ASSERT(!Decode(GenText())); });
}

// Guards against a value outside an enumeration, whose missing name would terminate the process.
TEST_F(RecordCodecTest, Decode_OfUnknownEnumerator_IsNothing)
{
  const auto unknown = static_cast<FinishKind>(200);
  EXPECT_FALSE(Decode(EncodeRecord({ 1, "e1", Finish{ "t/k", 1, unknown, 200, "", true } })));
}

// Guards against a value outside an enumeration in a copy of the state.
TEST_F(RecordCodecTest, DecodeState_OfUnknownEnumerator_IsNothing)
{
  Reason reason;
  FleetState state;
  state.m_jobs["t/k"].m_phase = JobPhase::NotRun;
  state.m_instances["i1"].m_phase = InstancePhase::Failed;
  EXPECT_TRUE(DecodeState(EncodeState(state), reason));
  state.m_jobs["t/k"].m_phase = static_cast<JobPhase>(5);
  EXPECT_FALSE(DecodeState(EncodeState(state), reason));
  state.m_jobs.clear();
  state.m_instances["i1"].m_phase = static_cast<InstancePhase>(3);
  EXPECT_FALSE(DecodeState(EncodeState(state), reason));
}

// Guards against a field that is sent but not decoded, or decoded in another order.
TEST_F(PeerMessageTest, Decode_OfEncodedMessage_IsTheSame)
{
  CheckProperty("message round trip", [] {
    const PeerMessage message = GenMessage();
    RC_ASSERT(DecodePeerMessage(EncodePeerMessage(message)) == message);
  });
}

// Guards against accepting a truncated or extended message as a complete one.
TEST_F(PeerMessageTest, Decode_OfTruncatedOrExtendedMessage_IsNothing)
{
  CheckProperty("message cut", [] {
    const std::string bytes = EncodePeerMessage(GenMessage());
    const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
    RC_ASSERT(!DecodePeerMessage(std::string_view{ bytes }.substr(0, length)));
    RC_ASSERT(!DecodePeerMessage(bytes + '\0'));
  });
}

// Guards against malformed bytes from another program that terminate the process.
TEST_F(PeerMessageTest, Decode_OfDamagedMessage_IsNothingOrEncodable)
{
  CheckProperty("message damage", [] {
    const auto message = DecodePeerMessage(CorruptOneByte(EncodePeerMessage(GenMessage())));
    // RC_ASSERT evaluates both sides of ||, so the condition is evaluated before it.
    const bool stable = !message || DecodePeerMessage(EncodePeerMessage(*message)) == message;
    RC_ASSERT(stable);
  });
}

// Guards against a crash by another program that connects to the port.
TEST_F(PeerMessageTest, Decode_OfGarbage_IsNothing)
{
  CheckProperty("message garbage", [] { RC_ASSERT(!DecodePeerMessage(GenText())); });
  EXPECT_FALSE(DecodePeerMessage("GET / HTTP/1.1\r\n\r\n"));
}

// Guards against a short message that declares more elements than fit into memory.
TEST_F(PeerMessageTest, Decode_OfHugeLengths_IsNothing)
{
  EXPECT_FALSE(DecodePeerMessage("\xdd\xff\xff\xff\xff"));
  EXPECT_FALSE(DecodePeerMessage("\xdf\xff\xff\xff\xff"));
  EXPECT_FALSE(DecodePeerMessage("\xc6\xff\xff\xff\xff"));
}

// Guards against a stack overflow by nested arrays.
TEST_F(PeerMessageTest, Decode_OfDeepNesting_IsNothing)
{
  EXPECT_FALSE(DecodePeerMessage(std::string(1'000'000, '\x91') + '\x01'));
}

} // namespace
} // namespace pistachiostand
