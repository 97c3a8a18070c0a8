#include "cli/Http.h"

#include "pistachiostand/base/PercentCoding.h"

namespace pistachiostand {

CommandRequest PublishRequest(Revision aBase, std::string_view aAuthor, std::string_view aRules)
{
  return { "POST",
           "/v1/rules?base=" + std::to_string(aBase) + "&author=" + PercentEncode(aAuthor),
           { "Content-Type: application/toml" },
           std::string{ aRules } };
}

CommandRequest RulesRequest()
{
  return { "GET", "/v1/rules", {}, {} };
}

CommandRequest ProvenanceRequest(std::string_view aRule)
{
  return { "GET", "/v1/provenance/" + PercentEncode(aRule), {}, {} };
}

CommandRequest StatusRequest()
{
  return { "GET", "/v1/status", {}, {} };
}

CommandRequest JobRequest(std::string_view aKey, std::string_view aTenant)
{
  return {
    "GET", "/v1/jobs/" + PercentEncode(aKey), { "X-Tenant: " + std::string{ aTenant } }, {}
  };
}

} // namespace pistachiostand
