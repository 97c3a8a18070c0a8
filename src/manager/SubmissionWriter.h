#pragma once

#include "platform/Store.h"

#include "pistachiostand/ownership/CallTimeout.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

/// \file
/// \brief Stores records of the submission topic in groups.
///
/// The number of appends in flight is bounded, so that callers who wait and come back cannot fill
/// the queue of a slow store with repeats.

namespace pistachiostand::fleet {

class SubmissionWriter
{
public:
  using Done = std::function<void(platform::AppendOutcome)>;

  explicit SubmissionWriter(platform::Store& aStore);

  SubmissionWriter(const SubmissionWriter&) = delete;
  SubmissionWriter& operator=(const SubmissionWriter&) = delete;
  ~SubmissionWriter() = default;

  /// \brief Stores a record. One that is not sent by `aDeadlineMs`, on the steady clock, is
  /// refused.
  void Append(std::string aRecord, Millis aDeadlineMs, Done aDone);

private:
  struct Entry
  {
    std::string m_record;
    Millis m_deadlineMs{};
    Done m_done;
  };

  using Batch = std::shared_ptr<std::vector<Entry>>;

  void Send();
  void OnAnswer(const Batch& aBatch, Millis aSentMs, const platform::AppendResult& aResult);

  platform::Store& m_store;
  CallTimeout m_timeout;
  std::deque<Entry> m_waiting;
  std::size_t m_inFlight{};
  std::shared_ptr<int> m_alive = std::make_shared<int>();
};

/// \brief Topic of the submissions and cancels of callers.
inline constexpr const char* kSubmissionTopic = "keyed.jobs";

} // namespace pistachiostand::fleet
