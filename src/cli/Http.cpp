#include "cli/Http.h"

namespace pistachiostand {

std::string PercentEncode(std::string_view aText)
{
  constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char each : aText) {
    if (kUnreserved.find(each) != std::string_view::npos) {
      encoded += each;
    } else {
      const auto byte = static_cast<unsigned char>(each);
      encoded += { '%', kDigits[byte / 16U], kDigits[byte % 16U] };
    }
  }
  return encoded;
}

HttpRequest PublishRequest(Revision aBase, std::string_view aAuthor, std::string_view aRules)
{
  return { "POST",
           "/v1/rules?base=" + std::to_string(aBase) + "&author=" + PercentEncode(aAuthor),
           { "Content-Type: application/toml" },
           std::string{ aRules } };
}

HttpRequest RulesRequest()
{
  return { "GET", "/v1/rules", {}, {} };
}

HttpRequest ProvenanceRequest(std::string_view aRule)
{
  return { "GET", "/v1/provenance/" + PercentEncode(aRule), {}, {} };
}

HttpRequest StatusRequest()
{
  return { "GET", "/v1/status", {}, {} };
}

HttpRequest JobRequest(std::string_view aKey, std::string_view aTenant)
{
  return {
    "GET", "/v1/jobs/" + PercentEncode(aKey), { "X-Tenant: " + std::string{ aTenant } }, {}
  };
}

} // namespace pistachiostand
