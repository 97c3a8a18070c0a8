#include "SubmissionWriter.h"

#include "pistachiostand/base/Clock.h"

#include <algorithm>
#include <utility>

namespace pistachiostand::fleet {

namespace {

/// One lost answer must not hold up all others; more in flight would only queue at the store.
constexpr std::size_t kMaxInFlight = 3;
constexpr std::size_t kMaxRecords = 64;
/// Appends of one call stay well below the store's limit of 2 MiB.
constexpr std::size_t kMaxBytes = std::size_t{ 512 } * 1024;

} // namespace

SubmissionWriter::SubmissionWriter(platform::Store& aStore)
  : m_store(aStore)
{
}

void SubmissionWriter::Append(std::string aRecord, Millis aDeadlineMs, Done aDone)
{
  m_waiting.push_back({ std::move(aRecord), aDeadlineMs, std::move(aDone) });
  Send();
}

void SubmissionWriter::Send()
{
  const Millis now = MonotonicMs();
  while (m_inFlight < kMaxInFlight && !m_waiting.empty()) {
    auto batch = std::make_shared<std::vector<Entry>>();
    std::size_t bytes = 0;
    while (!m_waiting.empty() && batch->size() < kMaxRecords && bytes < kMaxBytes) {
      Entry entry = std::move(m_waiting.front());
      m_waiting.pop_front();
      if (entry.m_deadlineMs <= now) {
        entry.m_done(platform::AppendOutcome::Refused);
        continue;
      }
      bytes += entry.m_record.size();
      batch->push_back(std::move(entry));
    }
    if (batch->empty()) {
      return;
    }
    platform::AppendRequest request;
    request.m_topic = kSubmissionTopic;
    request.m_timeoutMs = m_timeout.CurrentMs();
    std::ranges::transform(*batch, std::back_inserter(request.m_records), &Entry::m_record);
    ++m_inFlight;
    m_store.Append(std::move(request), [this, batch, now, alive = std::weak_ptr<int>(m_alive)](
                                         const platform::AppendResult& aResult) {
      if (alive.lock()) {
        OnAnswer(batch, now, aResult);
      }
    });
  }
}

void SubmissionWriter::OnAnswer(const Batch& aBatch, Millis aSentMs,
                                const platform::AppendResult& aResult)
{
  --m_inFlight;
  if (aResult.m_outcome == platform::AppendOutcome::Unknown) {
    m_timeout.OnTimeout();
  } else if (aResult.m_outcome == platform::AppendOutcome::Stored) {
    m_timeout.OnAnswer(MonotonicMs() - aSentMs);
  }
  for (auto& entry : *aBatch) {
    entry.m_done(aResult.m_outcome);
  }
  Send();
}

} // namespace pistachiostand::fleet
