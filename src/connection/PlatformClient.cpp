#include "pistachiostand/connection/PlatformClient.h"

#include "JsonResponse.h"
#include "pistachiostand/base/Base64.h"
#include "pistachiostand/base/PercentCoding.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace pistachiostand {

namespace {

using Json = nlohmann::json;

/// \brief An offset; nothing for a missing, negative or fractional number, which the JSON library
/// would convert silently.
std::optional<Offset> OffsetAt(const Json& aJson, const char* aName)
{
  const Json& value = aJson.at(aName);
  return value.is_number_unsigned() ? std::optional{ value.get<Offset>() } : std::nullopt;
}

/// \brief Appends a record when it is the next one.
bool AddRecord(const Json& aJson, ReadResult& aResult)
{
  const auto offset = OffsetAt(aJson, "offset");
  auto bytes = DecodeBase64(aJson.at("data").get<std::string>());
  if (!bytes || offset != aResult.m_first + aResult.m_records.size()) {
    return false;
  }
  aResult.m_records.push_back(std::move(*bytes));
  return true;
}

std::optional<ReadResult> ParseReadResult(const Json& aJson)
{
  const auto oldest = OffsetAt(aJson, "oldest");
  const auto next = OffsetAt(aJson, "next");
  const Json& records = aJson.at("records");
  if (!oldest || !next || !records.is_array()) {
    return std::nullopt;
  }
  const auto first = records.empty() ? next : OffsetAt(records.front(), "offset");
  if (!first) {
    return std::nullopt;
  }
  ReadResult result{ *oldest, *next, *first, {} };
  const bool valid = std::ranges::all_of(
    records, [&result](const Json& aRecord) { return AddRecord(aRecord, result); });
  return valid && *first + records.size() <= *next ? std::optional{ std::move(result) }
                                                   : std::nullopt;
}

/// \brief Throws when a required field is missing.
ListedInstance ParseInstance(const Json& aJson)
{
  return { aJson.at("id").get<std::string>(),
           aJson.at("address").get<std::string>(),
           aJson.value("zone", std::string{}),
           aJson.value("rack", std::string{}),
           aJson.at("boot_id").get<std::string>(),
           aJson.value("pool", std::string{}),
           aJson.at("state").get<std::string>() == "leaving",
           aJson.value("boot_op", std::string{}) };
}

std::optional<InstanceList> ParseInstances(const Json& aJson)
{
  const Json& instances = aJson.at("instances");
  if (!instances.is_array()) {
    return std::nullopt;
  }
  InstanceList list;
  list.m_version = aJson.value("version", std::uint64_t{});
  std::ranges::transform(instances, std::back_inserter(list.m_instances), ParseInstance);
  return list;
}

/// \brief Logs a complete response of status 200 that cannot be read.
template<typename Parse>
auto ParseOrWarn(const ClientResponse& aResponse, Parse aParse)
{
  auto result = internal::ParseJsonResponse(aResponse, aParse);
  if (!result && !aResponse.m_failure && aResponse.m_status == 200) {
    spdlog::warn("log: Unusable response of {} bytes from the platform.", aResponse.m_body.size());
  }
  return result;
}

std::string OperationParameter(const InstanceId& aInstance, Epoch aEpoch)
{
  return "?op=" + PercentEncode(OperationId(aInstance, aEpoch));
}

} // namespace

AppendResult ClassifyAppend(const ClientResponse& aResponse)
{
  if (aResponse.m_failure) {
    return *aResponse.m_failure == TransferFailure::NotSent ? AppendResult::NotAppended
                                                            : AppendResult::Unknown;
  }
  if (aResponse.m_status == 200) {
    return AppendResult::Appended;
  }
  // Only 4xx and 503 prove a refusal. Any other status, such as 500 and 504, may be sent after the
  // action took effect.
  const bool refused = aResponse.m_status == 429 || aResponse.m_status == 503 ||
                       (aResponse.m_status >= 400 && aResponse.m_status < 500);
  return refused ? AppendResult::NotAppended : AppendResult::Unknown;
}

std::optional<ReadResult> ParseRead(const ClientResponse& aResponse)
{
  return ParseOrWarn(aResponse, ParseReadResult);
}

std::optional<InstanceList> ParseInstanceList(const ClientResponse& aResponse)
{
  return ParseOrWarn(aResponse, ParseInstances);
}

PlatformClient::PlatformClient(HttpClient& aHttp, PlatformIdentity aIdentity)
  : m_http(aHttp)
  , m_identity(std::move(aIdentity))
{
}

ClientRequest PlatformClient::MakeRequest(std::string aMethod, const std::string& aTarget,
                                          Millis aExtraTimeoutMs) const
{
  ClientRequest request;
  request.m_method = std::move(aMethod);
  request.m_url = "http://" + ToString(m_identity.m_platform) + aTarget;
  request.m_headers = { { "x-entry-id", m_identity.m_entry }, { "x-zone", m_identity.m_zone } };
  request.m_timeoutMs = m_identity.m_timeoutMs + aExtraTimeoutMs;
  request.m_connectTimeoutMs = m_identity.m_timeoutMs;
  return request;
}

void PlatformClient::Append(const std::vector<std::string>& aRecords,
                            std::function<void(AppendResult)> aDone)
{
  Json records = Json::array();
  std::ranges::transform(aRecords, std::back_inserter(records), EncodeBase64);
  auto request = MakeRequest("POST", "/log/append", 0);
  // libcurl could repeat the request and append the records twice, but the proposal queue relies on
  // at most one append.
  request.m_freshConnection = true;
  request.m_headers.emplace("content-type", "application/json");
  request.m_body = Json{ { "records", std::move(records) } }.dump();
  m_http.Send(std::move(request), [done = std::move(aDone)](const ClientResponse& aResponse) {
    done(ClassifyAppend(aResponse));
  });
}

void PlatformClient::Read(Offset aFrom, std::uint32_t aMax, Millis aWaitMs,
                          std::function<void(std::optional<ReadResult>)> aDone)
{
  auto request =
    MakeRequest("GET",
                "/log/read?from=" + std::to_string(aFrom) + "&max=" + std::to_string(aMax) +
                  "&wait_ms=" + std::to_string(aWaitMs),
                aWaitMs);
  m_http.Send(std::move(request), [done = std::move(aDone)](const ClientResponse& aResponse) {
    done(ParseRead(aResponse));
  });
}

void PlatformClient::ListInstances(std::function<void(std::optional<InstanceList>)> aDone)
{
  m_http.Send(MakeRequest("GET", "/instances", 0),
              [done = std::move(aDone)](const ClientResponse& aResponse) {
                done(ParseInstanceList(aResponse));
              });
}

void PlatformClient::OrderDrain(const DrainOrder& aOrder)
{
  Order("/instances/" + PercentEncode(aOrder.m_instance) + "/drain" +
        OperationParameter(aOrder.m_instance, aOrder.m_epoch));
}

void PlatformClient::OrderReboot(const RebootOrder& aOrder)
{
  Order("/instances/" + PercentEncode(aOrder.m_instance) + "/reboot" +
        OperationParameter(aOrder.m_instance, aOrder.m_epoch) +
        "&pool=" + PercentEncode(aOrder.m_pool));
}

void PlatformClient::Order(const std::string& aTarget)
{
  m_http.Send(MakeRequest("POST", aTarget, 0), [aTarget](const ClientResponse& aResponse) {
    if (aResponse.m_failure || aResponse.m_status != 200) {
      spdlog::info("fleet: No confirmation of {}; it is repeated.", aTarget);
    }
  });
}

} // namespace pistachiostand
