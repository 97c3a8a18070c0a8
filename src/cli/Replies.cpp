#include "cli/Replies.h"

#include "pistachiostand/base/Base64.h"

#include <algorithm>
#include <charconv>

namespace pistachiostand {

namespace {

using Json = nlohmann::json;

/// \brief Calls `aRead` on the parsed body. Returns nothing if a field is missing or has a wrong
/// type.
template<typename Value>
std::optional<Value> ReadBody(const HttpReply& aReply, Value (*aRead)(const Json&))
{
  try {
    return aRead(ParseBody(aReply));
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

template<typename Value>
std::vector<Value> ReadList(const Json& aList, Value (*aRead)(const Json&))
{
  std::vector<Value> values;
  std::ranges::transform(aList.get_ref<const Json::array_t&>(), std::back_inserter(values), aRead);
  return values;
}

template<typename Value>
void Read(const Json& aObject, const char* aKey, Value& aValue)
{
  aObject.at(aKey).get_to(aValue);
}

PoolReply PoolOf(const Json& aObject)
{
  PoolReply pool;
  Read(aObject, "name", pool.m_name);
  Read(aObject, "promised", pool.m_promised);
  Read(aObject, "min_available", pool.m_minAvailable);
  Read(aObject, "serving", pool.m_serving);
  Read(aObject, "leaving", pool.m_leaving);
  Read(aObject, "failed", pool.m_failed);
  Read(aObject, "spare", pool.m_spare);
  return pool;
}

InstanceReply InstanceOf(const Json& aObject)
{
  InstanceReply instance;
  Read(aObject, "id", instance.m_id);
  Read(aObject, "pool", instance.m_pool);
  Read(aObject, "phase", instance.m_phase);
  Read(aObject, "zone", instance.m_zone);
  Read(aObject, "rack", instance.m_rack);
  Read(aObject, "epoch", instance.m_epoch);
  Read(aObject, "target", instance.m_target);
  return instance;
}

EntryReply EntryOf(const Json& aObject)
{
  EntryReply entry;
  Read(aObject, "id", entry.m_id);
  Read(aObject, "zone", entry.m_zone);
  Read(aObject, "revision", entry.m_revision);
  Read(aObject, "offset", entry.m_offset);
  Read(aObject, "alive", entry.m_alive);
  return entry;
}

JobCounts JobCountsOf(const Json& aObject)
{
  JobCounts jobs;
  Read(aObject, "queued", jobs.m_queued);
  Read(aObject, "claimed", jobs.m_claimed);
  Read(aObject, "completed", jobs.m_completed);
  Read(aObject, "stopped", jobs.m_stopped);
  Read(aObject, "not_run", jobs.m_notRun);
  return jobs;
}

StatusReply StatusOf(const Json& aObject)
{
  StatusReply status;
  Read(aObject, "entry", status.m_entry);
  Read(aObject, "zone", status.m_zone);
  Read(aObject, "ready", status.m_ready);
  Read(aObject, "revision", status.m_revision);
  Read(aObject, "offset", status.m_offset);
  Read(aObject, "confirmed_age_ms", status.m_confirmedAgeMs);
  status.m_pools = ReadList(aObject.at("pools"), PoolOf);
  status.m_instances = ReadList(aObject.at("instances"), InstanceOf);
  status.m_entries = ReadList(aObject.at("entries"), EntryOf);
  status.m_jobs = JobCountsOf(aObject.at("jobs"));
  return status;
}

ProvenanceReply ProvenanceOf(const Json& aObject)
{
  ProvenanceReply provenance;
  Read(aObject, "rule", provenance.m_rule);
  Read(aObject, "requester", provenance.m_requester);
  Read(aObject, "reason", provenance.m_reason);
  Read(aObject, "line", provenance.m_line);
  Read(aObject, "revision", provenance.m_revision);
  Read(aObject, "author", provenance.m_author);
  Read(aObject, "time_ms", provenance.m_timeMs);
  return provenance;
}

JobReply JobOf(const Json& aObject)
{
  JobReply job;
  Read(aObject, "key", job.m_key);
  Read(aObject, "outcome", job.m_outcome);
  Read(aObject, "phase", job.m_phase);
  Read(aObject, "attempt", job.m_attempt);
  Read(aObject, "status", job.m_status);
  Read(aObject, "body", job.m_body);
  Read(aObject, "body_kept", job.m_bodyKept);
  return job;
}

RemoteReason RemoteReasonOf(const Json& aObject)
{
  RemoteReason reason;
  Read(aObject, "kind", reason.m_kind);
  Read(aObject, "cause", reason.m_cause);
  Read(aObject, "remedy", reason.m_remedy);
  Read(aObject, "line", reason.m_line);
  Read(aObject, "column", reason.m_column);
  return reason;
}

Failure FailureOf(const Json& aObject)
{
  Failure failure{ .m_code = ExitCode::Refused };
  Read(aObject, "kind", failure.m_kind);
  Read(aObject, "cause", failure.m_cause);
  Read(aObject, "remedy", failure.m_remedy);
  if (aObject.contains("revision")) {
    failure.m_revision = aObject.at("revision").get<Revision>();
  }
  if (aObject.contains("reasons")) {
    failure.m_reasons = ReadList(aObject.at("reasons"), RemoteReasonOf);
  }
  return failure;
}

Revision RevisionOf(const Json& aObject)
{
  return aObject.at("revision").get<Revision>();
}

} // namespace

Json ParseBody(const HttpReply& aReply)
{
  return Json::parse(aReply.m_body, nullptr, false);
}

std::optional<Revision> ReadPublish(const HttpReply& aReply)
{
  return ReadBody<Revision>(aReply, RevisionOf);
}

std::optional<Revision> ReadRulesRevision(const HttpReply& aReply)
{
  const auto header = aReply.m_headers.find("x-revision");
  if (header == aReply.m_headers.end()) {
    return std::nullopt;
  }
  Revision revision = 0;
  const auto& text = header->second;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), revision);
  if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return revision;
}

std::optional<ProvenanceReply> ReadProvenance(const HttpReply& aReply)
{
  return ReadBody<ProvenanceReply>(aReply, ProvenanceOf);
}

std::optional<StatusReply> ReadStatus(const HttpReply& aReply)
{
  return ReadBody<StatusReply>(aReply, StatusOf);
}

std::optional<JobReply> ReadJob(const HttpReply& aReply)
{
  auto job = ReadBody<JobReply>(aReply, JobOf);
  if (!job) {
    return std::nullopt;
  }
  auto body = DecodeBase64(job->m_body);
  if (!body) {
    return std::nullopt;
  }
  job->m_body = std::move(*body);
  return job;
}

Failure ReadFailure(const HttpReply& aReply)
{
  return ReadBody<Failure>(aReply, FailureOf)
    .value_or(Failure{ .m_code = ExitCode::Refused,
                       .m_kind = "http-status",
                       .m_cause = "the answer is HTTP status " + std::to_string(aReply.m_status) +
                                  " without an explanation",
                       .m_remedy = "check that --entry names an entry instance" });
}

} // namespace pistachiostand
