#include "pistachiostand/process/RecordCodec.h"

#include "Fields.h"
#include "Pack.h"

#include <utility>

namespace pistachiostand {

namespace {

/// \brief Format of the stored record; readers refuse any other.
constexpr std::uint8_t kFormatVersion = 2;

std::optional<Record> TryDecode(std::string_view aBytes)
{
  const auto handle = internal::UnpackAll(aBytes);
  const auto items = internal::Unpacker::ArrayOf(handle.get(), 5);
  Record record;
  internal::Unpacker::Read(items.ptr[1], record.m_id);
  internal::Unpacker::Read(items.ptr[2], record.m_author);
  const bool known =
    items.ptr[0].as<std::uint8_t>() == kFormatVersion &&
    internal::ReadAlternative(items.ptr[3].as<std::size_t>(), items.ptr[4], record.m_body);
  return known ? std::optional{ std::move(record) } : std::nullopt;
}

} // namespace

std::string EncodeRecord(const Record& aRecord)
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer>{ buffer }.pack_array(5);
  internal::Packer packer{ buffer };
  packer.Write(kFormatVersion);
  packer.Write(aRecord.m_id);
  packer.Write(aRecord.m_author);
  packer.Write(aRecord.m_body.index());
  std::visit([&packer](const auto& aBody) { packer.Write(aBody); }, aRecord.m_body);
  return { buffer.data(), buffer.size() };
}

std::optional<Record> DecodeRecord(std::string_view aBytes, Reason& aReason)
{
  std::optional<Record> record;
  try {
    record = TryDecode(aBytes);
  } catch (const std::exception&) {
    record.reset();
  }
  if (!record) {
    aReason = { ReasonKind::Corrupt,
                "a log record of " + std::to_string(aBytes.size()) + " bytes cannot be decoded",
                "check which program writes to this log",
                {} };
  }
  return record;
}

} // namespace pistachiostand
