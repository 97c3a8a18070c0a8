#include "pistachiostand/process/Record.h"

#include <array>

namespace pistachiostand {

std::string_view KindName(const RecordBody& aBody) noexcept
{
  constexpr std::array<std::string_view, std::variant_size_v<RecordBody>> kNames{
    "publish", "join",      "fail",   "retire", "drain", "return",  "submit",
    "claim",   "give-back", "finish", "cancel", "tick",  "snapshot"
  };
  return kNames.at(aBody.index());
}

} // namespace pistachiostand
