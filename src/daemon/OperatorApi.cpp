#include "OperatorApi.h"

#include "CallerApi.h"
#include "MetricsPage.h"
#include "pistachiostand/base/Clock.h"
#include "pistachiostand/process/Fold.h"
#include "pistachiostand/version/RuleParser.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace pistachiostand {

namespace {

using Json = nlohmann::json;

constexpr Millis kPublishWaitMs = 8'000;
constexpr std::size_t kMaxAuthorLength = 128;

HttpResponse JsonResponse(std::uint16_t aStatus, const Json& aJson)
{
  HttpResponse response;
  response.m_status = aStatus;
  SetHeader(response.m_headers, "content-type", "application/json");
  response.m_body = aJson.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return response;
}

HttpResponse ErrorResponse(std::uint16_t aStatus, std::string_view aKind, std::string_view aCause,
                           std::string_view aRemedy)
{
  return JsonResponse(aStatus, { { "kind", aKind }, { "cause", aCause }, { "remedy", aRemedy } });
}

std::string QueryValue(const HttpRequest& aRequest, std::string_view aName)
{
  const auto found = aRequest.m_query.find(aName);
  return found == aRequest.m_query.end() ? std::string{} : found->second;
}

std::optional<Revision> ParseRevision(const std::string& aText)
{
  Revision revision = 0;
  const auto parsed = std::from_chars(aText.data(), aText.data() + aText.size(), revision);
  return parsed.ec == std::errc{} && parsed.ptr == aText.data() + aText.size() && !aText.empty()
           ? std::optional{ revision }
           : std::nullopt;
}

Json ReasonJson(const Reason& aReason)
{
  return { { "kind", ToString(aReason.m_kind) },
           { "cause", aReason.m_cause },
           { "remedy", aReason.m_remedy },
           { "line", aReason.m_position.m_line },
           { "column", aReason.m_position.m_column } };
}

HttpResponse InvalidRules(const Reasons& aReasons)
{
  Json reasons = Json::array();
  std::ranges::transform(aReasons, std::back_inserter(reasons), ReasonJson);
  return JsonResponse(422, { { "kind", "invalid-rules" },
                             { "cause", "the rule file has errors" },
                             { "remedy", "correct the lines and publish again" },
                             { "reasons", std::move(reasons) } });
}

Json PoolJson(const FleetState& aState, const PoolName& aName, const PoolRule& aRule)
{
  const PoolCounts counts = CountPool(aState, aName);
  return { { "name", aName },
           { "promised", aRule.m_instances },
           { "min_available", aRule.m_minAvailable },
           { "serving", counts.m_serving },
           { "leaving", counts.m_leaving },
           { "failed", counts.m_failed },
           { "spare", aRule.m_spare } };
}

Json InstanceJson(const InstanceId& aId, const Instance& aInstance)
{
  return { { "id", aId },
           { "pool", aInstance.m_pool },
           { "phase", ToString(aInstance.m_phase) },
           { "zone", aInstance.m_zone },
           { "rack", aInstance.m_rack },
           { "epoch", aInstance.m_epoch },
           { "boot_id", aInstance.m_bootId },
           { "target", aInstance.m_target } };
}

Json JobsJson(const FleetState& aState)
{
  std::array<std::uint64_t, 5> counts{};
  for (const auto& [key, job] : aState.m_jobs) {
    ++counts.at(static_cast<std::size_t>(job.m_phase));
  }
  return { { "queued", counts[0] },
           { "claimed", counts[1] },
           { "completed", counts[2] },
           { "stopped", counts[3] },
           { "not_run", counts[4] } };
}

Json EntriesJson(const Runtime& aRuntime, Millis aNowMs)
{
  Json entries = Json::array();
  entries.push_back({ { "id", aRuntime.m_settings.m_id },
                      { "zone", aRuntime.m_settings.m_zone },
                      { "revision", aRuntime.State().m_revision },
                      { "offset", aRuntime.State().m_nextOffset },
                      { "alive", true } });
  for (const auto& [id, peer] : aRuntime.m_membership.Peers()) {
    entries.push_back({ { "id", id },
                        { "zone", peer.m_zone },
                        { "revision", peer.m_revision },
                        { "offset", peer.m_nextOffset },
                        { "alive", aRuntime.m_membership.IsAlive(peer, aNowMs) } });
  }
  return entries;
}

} // namespace

OperatorApi::OperatorApi(Runtime& aRuntime, Dispatcher& aDispatcher, std::function<bool()> aIsReady)
  : m_runtime(aRuntime)
  , m_dispatcher(aDispatcher)
  , m_isReady(std::move(aIsReady))
{
}

bool OperatorApi::Handle(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  const auto parts = SplitPath(aRequest.m_path);
  std::string route = aRequest.m_method;
  std::ranges::for_each(parts, [&route](const std::string& aPart) { route += ' ' + aPart; });
  if (route == "GET healthz") {
    aRespond(JsonResponse(200, { { "alive", true } }));
  } else if (route == "GET readyz") {
    const bool ready = m_isReady();
    aRespond(JsonResponse(ready ? 200 : 503, { { "ready", ready } }));
  } else if (route == "GET metrics") {
    aRespond(MetricsPage(m_runtime, m_dispatcher));
  } else if (route == "GET v1 status") {
    aRespond(StatusPage());
  } else if (route == "GET v1 rules") {
    aRespond(RulesPage());
  } else if (route == "POST v1 rules") {
    HandlePublish(aRequest, aRespond);
  } else if (parts.size() == 3 && route.starts_with("GET v1 provenance ")) {
    HandleProvenance(parts[2], aRespond);
  } else {
    return false;
  }
  return true;
}

void OperatorApi::HandlePublish(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  const auto base = ParseRevision(QueryValue(aRequest, "base"));
  const std::string author = QueryValue(aRequest, "author");
  if (!base || author.empty() || author.size() > kMaxAuthorLength) {
    aRespond(ErrorResponse(400, "bad-request", "base or author is missing or malformed",
                           "send ?base=REVISION&author=WHO"));
    return;
  }
  if (!m_isReady()) {
    aRespond(ErrorResponse(503, "not-ready", "this entry instance has not read the log yet",
                           "publish again later, or through another entry instance"));
    return;
  }
  Reasons reasons;
  if (!ParseRules(aRequest.m_body, reasons)) {
    aRespond(InvalidRules(reasons));
    return;
  }
  Publish publish{ *base, author, aRequest.m_body };
  const std::uint64_t id = PublishId(publish);
  if (FindPublish(m_runtime.State(), id) != nullptr) {
    OnPublished(id, ProposalResult::Accepted, aRespond);
    return;
  }
  spdlog::info("http: Publish by {} on revision {}.", author, *base);
  // Provenance records the time stored in the state, so a Tick record updates that time first.
  m_runtime.m_proposals.Propose(Tick{ WallMs() }, { false, MonotonicMs() + kPublishWaitMs },
                                [](ProposalResult, const ApplyResult&) {});
  m_runtime.m_proposals.Propose(
    std::move(publish), { false, MonotonicMs() + kPublishWaitMs },
    [this, id, aRespond, answered = false](ProposalResult aResult, const ApplyResult&) mutable {
      if (!std::exchange(answered, true)) {
        OnPublished(id, aResult, aRespond);
      }
    },
    id);
}

void OperatorApi::OnPublished(std::uint64_t aId, ProposalResult aResult,
                              const HttpResponder& aRespond) const
{
  if (aResult == ProposalResult::NotAppended) {
    aRespond(ErrorResponse(503, "log-unavailable", "the platform's log did not take the record",
                           "publish the same file on the same base again"));
    return;
  }
  const PublishResult* result = FindPublish(m_runtime.State(), aId);
  if (result == nullptr && aResult != ProposalResult::Refused) {
    aRespond(ErrorResponse(504, "outcome-unknown", "the platform's log did not answer in time",
                           "publish the same file on the same base again; a repeat is harmless"));
    return;
  }
  if (result != nullptr && !result->m_refusal) {
    aRespond(JsonResponse(200, { { "revision", result->m_revision } }));
    return;
  }
  const Refusal refusal = result == nullptr ? Refusal::StaleBase : *result->m_refusal;
  aRespond(JsonResponse(409, { { "kind", ToString(refusal) },
                               { "revision", m_runtime.State().m_revision },
                               { "cause", "the rules in force are at another revision" },
                               { "remedy", "compare with the rules in force and publish on their "
                                           "revision" } }));
}

void OperatorApi::HandleProvenance(const std::string& aRule, const HttpResponder& aRespond) const
{
  const FleetState& state = m_runtime.State();
  const auto provenance = state.m_provenance.find(aRule);
  const auto origin = state.m_rules->m_origins.find(aRule);
  if (provenance == state.m_provenance.end() || origin == state.m_rules->m_origins.end()) {
    std::vector<std::string_view> names;
    std::ranges::transform(state.m_provenance, std::back_inserter(names),
                           [](const auto& aEach) { return std::string_view{ aEach.first }; });
    const auto nearest = NearestName(aRule, names);
    aRespond(ErrorResponse(404, "unknown-rule", "there is no rule " + aRule,
                           nearest.empty() ? "see the rules in force"
                                           : "did you mean " + std::string{ nearest } + '?'));
    return;
  }
  aRespond(JsonResponse(200, { { "rule", aRule },
                               { "requester", origin->second.m_requester },
                               { "reason", origin->second.m_rationale },
                               { "line", origin->second.m_line },
                               { "line_number", origin->second.m_lineNumber },
                               { "revision", provenance->second.m_revision },
                               { "author", provenance->second.m_author },
                               { "time_ms", provenance->second.m_timeMs } }));
}

HttpResponse OperatorApi::RulesPage() const
{
  HttpResponse response;
  SetHeader(response.m_headers, "content-type", "application/toml");
  SetHeader(response.m_headers, "x-revision", std::to_string(m_runtime.State().m_revision));
  response.m_body = m_runtime.State().m_rulesText;
  return response;
}

HttpResponse OperatorApi::StatusPage() const
{
  const FleetState& state = m_runtime.State();
  const Millis now = MonotonicMs();
  Json pools = Json::array();
  for (const auto& [name, rule] : state.m_rules->m_pools) {
    pools.push_back(PoolJson(state, name, rule));
  }
  Json instances = Json::array();
  for (const auto& [id, instance] : state.m_instances) {
    instances.push_back(InstanceJson(id, instance));
  }
  return JsonResponse(
    200, { { "entry", m_runtime.m_settings.m_id },
           { "zone", m_runtime.m_settings.m_zone },
           { "ready", m_isReady() },
           { "draining", m_runtime.m_draining },
           { "revision", state.m_revision },
           { "offset", state.m_nextOffset },
           { "confirmed_age_ms", m_runtime.m_confirmedMs ? now - *m_runtime.m_confirmedMs : -1 },
           { "digest_mismatches", m_runtime.m_replica.DigestMismatches() },
           { "pools", std::move(pools) },
           { "instances", std::move(instances) },
           { "entries", EntriesJson(m_runtime, now) },
           { "jobs", JobsJson(state) } });
}

} // namespace pistachiostand
