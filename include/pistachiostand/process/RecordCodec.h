#pragma once

#include "pistachiostand/base/Reason.h"
#include "pistachiostand/process/Record.h"

#include <optional>
#include <string>
#include <string_view>

/// \file
/// \brief Binary form of records (msgpack), as stored in the log and sent to peers.

namespace pistachiostand {

[[nodiscard]] std::string EncodeRecord(const Record& aRecord);

/// \brief Decodes one record; fails with `ReasonKind::Corrupt` on anything else.
[[nodiscard]] std::optional<Record> DecodeRecord(std::string_view aBytes, Reason& aReason);

} // namespace pistachiostand
