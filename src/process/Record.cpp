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

std::string DescribeRecord(const RecordBody& aBody)
{
  std::string text{ KindName(aBody) };
  std::visit(
    [&text](const auto& aEach) {
      if constexpr (requires { aEach.m_instance; }) {
        text += " of " + aEach.m_instance;
      } else if constexpr (requires { aEach.m_key; }) {
        text += " of " + aEach.m_key;
      }
    },
    aBody);
  return text;
}

} // namespace pistachiostand
