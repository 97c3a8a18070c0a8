#include "base/TomlReader.h"

namespace pistachiostand {

SourcePosition PositionOf(const toml::node& aNode) noexcept
{
  const auto begin = aNode.source().begin;
  return { static_cast<std::uint32_t>(begin.line), static_cast<std::uint32_t>(begin.column) };
}

std::optional<toml::table> ParseToml(std::string_view aText, Reasons& aReasons)
{
  try {
    return toml::parse(aText);
  } catch (const toml::parse_error& error) {
    const auto at = error.source().begin;
    aReasons.push_back(
      { ReasonKind::Syntax,
        std::string{ error.description() },
        "correct the TOML syntax",
        { static_cast<std::uint32_t>(at.line), static_cast<std::uint32_t>(at.column) } });
    return std::nullopt;
  }
}

std::string NearestRemedy(std::string_view aName, const std::vector<std::string_view>& aKnown,
                          std::string aOtherwise)
{
  const auto nearest = NearestName(aName, aKnown);
  return nearest.empty() ? std::move(aOtherwise)
                         : "did you mean \"" + std::string{ nearest } + "\"?";
}

TomlReader::TomlReader(std::string aName, const toml::table& aTable, Reasons& aReasons)
  : m_name(std::move(aName))
  , m_table(aTable)
  , m_reasons(aReasons)
{
}

std::uint32_t TomlReader::Count(std::string_view aKey, std::optional<std::int64_t> aDefault,
                                std::int64_t aMin, std::int64_t aMax)
{
  const auto* node = Find(aKey, aDefault.has_value());
  if (node == nullptr) {
    return static_cast<std::uint32_t>(aDefault.value_or(0));
  }
  const auto value = node->value_exact<std::int64_t>();
  if (!value || *value < aMin || *value > aMax) {
    Fail(*node, aKey,
         "write a whole number from " + std::to_string(aMin) + " to " + std::to_string(aMax));
    return 0;
  }
  return static_cast<std::uint32_t>(*value);
}

bool TomlReader::Flag(std::string_view aKey, std::optional<bool> aDefault)
{
  const auto* node = Find(aKey, aDefault.has_value());
  if (node == nullptr) {
    return aDefault.value_or(false);
  }
  const auto value = node->value_exact<bool>();
  if (!value) {
    Fail(*node, aKey, "write true or false");
  }
  return value.value_or(false);
}

std::string TomlReader::Text(std::string_view aKey)
{
  const auto* node = Find(aKey, false);
  if (node == nullptr) {
    return {};
  }
  const auto value = node->value_exact<std::string>();
  if (!value || value->empty()) {
    Fail(*node, aKey, "write a name in quotes");
  }
  return value.value_or(std::string{});
}

Endpoint TomlReader::Address(std::string_view aKey)
{
  const auto* node = Find(aKey, false);
  if (node == nullptr) {
    return {};
  }
  const auto address = ParseEndpoint(node->value_exact<std::string>().value_or(std::string{}));
  if (!address) {
    Fail(*node, aKey, "write \"IP:PORT\", such as \"10.0.0.1:8080\"; host names are not resolved");
  }
  return address.value_or(Endpoint{});
}

std::size_t TomlReader::OneOf(std::string_view aKey, std::optional<std::size_t> aDefault,
                              const std::vector<std::string_view>& aNames)
{
  const auto* node = Find(aKey, aDefault.has_value());
  if (node == nullptr) {
    return aDefault.value_or(0);
  }
  const auto text = node->value_exact<std::string>().value_or(std::string{});
  const auto found = std::ranges::find(aNames, text);
  if (found != aNames.end()) {
    return static_cast<std::size_t>(found - aNames.begin());
  }
  std::string names;
  for (const auto each : aNames) {
    names += (names.empty() ? "\"" : ", \"") + std::string{ each } + '"';
  }
  Fail(*node, aKey, "write one of " + names);
  return 0;
}

std::vector<std::string> TomlReader::Names(std::string_view aKey)
{
  std::vector<std::string> names;
  const auto* node = Find(aKey, false);
  if (node == nullptr) {
    return names;
  }
  const auto* array = node->as_array();
  if (array == nullptr || array->empty()) {
    Fail(*node, aKey, "write a list of names such as [\"*\"]");
    return names;
  }
  for (const auto& each : *array) {
    if (const auto name = each.value_exact<std::string>()) {
      names.push_back(*name);
    } else {
      Fail(each, aKey, "write every name in quotes");
    }
  }
  return names;
}

void TomlReader::Finish()
{
  for (const auto& [key, node] : m_table) {
    if (std::ranges::find(m_known, key.str()) != m_known.end()) {
      continue;
    }
    m_reasons.push_back({ ReasonKind::UnknownKey,
                          m_name + " has no key \"" + std::string{ key.str() } + '"',
                          NearestRemedy(key.str(), m_known, "remove it"), PositionOf(node) });
  }
}

const toml::node* TomlReader::Find(std::string_view aKey, bool aOptional)
{
  m_known.push_back(aKey);
  const auto* node = m_table.get(aKey);
  if (node == nullptr && !aOptional) {
    m_reasons.push_back({ ReasonKind::MissingValue,
                          m_name + " needs the key \"" + std::string{ aKey } + '"',
                          "add " + std::string{ aKey } + " = ...", PositionOf(m_table) });
  }
  return node;
}

void TomlReader::Fail(const toml::node& aNode, std::string_view aKey, std::string aRemedy)
{
  m_reasons.push_back({ ReasonKind::BadValue,
                        m_name + " has a bad value for \"" + std::string{ aKey } + '"',
                        std::move(aRemedy), PositionOf(aNode) });
}

} // namespace pistachiostand
