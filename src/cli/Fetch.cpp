#include "cli/Fetch.h"

#include <algorithm>

namespace pistachiostand {

namespace {

constexpr int kOk = 200;
constexpr int kStaleBase = 409;
constexpr int kInvalidRules = 422;
constexpr int kFirstServerError = 500;
// Keeps scripts from flooding the entry instances while the platform is unavailable.
constexpr Millis kRepeatPauseMs = 200;

/// \brief Interpretation of one exchange: a final result, or a failure that allows a retry.
struct Attempt
{
  std::optional<FetchResult> m_result;
  bool m_mayHaveArrived{};
  std::string m_cause;
};

Attempt AttemptOf(const TransportResult& aResult, const ReplyCheck& aIsComplete)
{
  if (const auto* error = std::get_if<TransportError>(&aResult)) {
    return { std::nullopt, error->m_sent, error->m_cause };
  }
  const auto& reply = std::get<HttpReply>(aResult);
  if (reply.m_status == kOk && aIsComplete(reply)) {
    return { reply, true, {} };
  }
  if (reply.m_status == kOk) {
    return { std::nullopt, true, "the reply is incomplete" };
  }
  auto failure = ReadFailure(reply);
  if (reply.m_status >= kFirstServerError) {
    return { std::nullopt, true, failure.m_cause };
  }
  return { std::move(failure), true, {} };
}

/// \brief Returns true for replies that tell the outcome of the publish itself, whichever attempt
/// delivered it.
bool IsPublishOutcome(const TransportResult& aResult)
{
  const auto* reply = std::get_if<HttpReply>(&aResult);
  return reply != nullptr && (reply->m_status == kOk || reply->m_status == kStaleBase ||
                              reply->m_status == kInvalidRules);
}

Failure Unreachable(const Endpoint& aEntry, const std::string& aCause)
{
  return { .m_code = ExitCode::Unreachable,
           .m_kind = "unreachable",
           .m_cause = "no entry instance gave an answer; the last one, " + ToString(aEntry) +
                      ", failed: " + aCause,
           .m_remedy = "check --entry, or name another entry instance with a further --entry" };
}

Failure Unknown(const std::string& aCause)
{
  return { .m_code = ExitCode::Unknown,
           .m_kind = "unknown",
           .m_cause = "the publish was sent, but its verdict is not known: " + aCause,
           .m_remedy = "repeat the same command with the same file, base and author; it returns "
                       "the first verdict and does not publish twice" };
}

} // namespace

FetchResult Fetch(const Environment& aEnvironment, const std::vector<Endpoint>& aEntries,
                  const CommandRequest& aRequest, Millis aTimeoutMs, const ReplyCheck& aIsComplete)
{
  const Millis deadline = aEnvironment.m_nowMs() + aTimeoutMs;
  std::string cause = "the time is over";
  Endpoint last = aEntries.front();
  auto left = static_cast<Millis>(aEntries.size());
  for (const auto& entry : aEntries) {
    const Millis remaining = deadline - aEnvironment.m_nowMs();
    if (remaining <= 0) {
      break;
    }
    // An unresponsive entry instance must not use up the time for the others.
    const Millis share = std::max<Millis>(1, remaining / left--);
    auto attempt = AttemptOf(aEnvironment.m_transport(entry, aRequest, share), aIsComplete);
    if (attempt.m_result) {
      return std::move(*attempt.m_result);
    }
    last = entry;
    cause = std::move(attempt.m_cause);
  }
  return Unreachable(last, cause);
}

FetchResult SendPublish(const Environment& aEnvironment, const std::vector<Endpoint>& aEntries,
                        const CommandRequest& aRequest, Millis aTimeoutMs)
{
  const Millis deadline = aEnvironment.m_nowMs() + aTimeoutMs;
  const auto isComplete = [](const HttpReply& aReply) { return ReadPublish(aReply).has_value(); };
  // At least half of the timeout is left for retries after the first lost reply.
  const Millis share = std::max<Millis>(1, aTimeoutMs / static_cast<Millis>(aEntries.size() + 1));
  bool mayHaveArrived = false;
  std::string cause = "the time is over";
  for (std::size_t i = 0;; ++i) {
    const Millis remaining = deadline - aEnvironment.m_nowMs();
    // If no byte was sent, nothing was published and one round is enough.
    if (remaining <= 0 || (i >= aEntries.size() && !mayHaveArrived)) {
      break;
    }
    const auto& entry = aEntries[i % aEntries.size()];
    const auto result = aEnvironment.m_transport(entry, aRequest, std::min(share, remaining));
    auto attempt = AttemptOf(result, isComplete);
    if (attempt.m_result && (!mayHaveArrived || IsPublishOutcome(result))) {
      return std::move(*attempt.m_result);
    }
    mayHaveArrived = mayHaveArrived || attempt.m_mayHaveArrived;
    if (!attempt.m_cause.empty()) {
      cause = std::move(attempt.m_cause);
    }
    if (mayHaveArrived) {
      aEnvironment.m_sleep(std::min(kRepeatPauseMs, remaining));
    }
  }
  return mayHaveArrived ? Unknown(cause) : Unreachable(aEntries.back(), cause);
}

} // namespace pistachiostand
