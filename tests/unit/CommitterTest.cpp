#include "OwnerFixture.h"

#include "pistachiostand/job/JobCodec.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace pistachiostand::fleet {
namespace {

class CommitterTest : public OwnerFixture
{
protected:
  CommitterTest()
    : m_committer(m_state, [this](const CommitBatch& aBatch) { m_stored.push_back(aBatch); })
  {
    m_committer.Open([] {});
    m_client.Respond(0, 200, R"({"offset":0,"end":0})");
  }

  /// \brief Indexes of the appends sent so far, without the one that opens the topic.
  [[nodiscard]] std::vector<std::size_t> Appends() const
  {
    auto found = m_client.Find("/log-append");
    found.erase(found.begin());
    return found;
  }

  /// \brief Applies an append as the store does, by its sequence number.
  /// \return Status and body of the response.
  std::pair<std::uint16_t, std::string> ApplyAppend(std::size_t aIndex)
  {
    const auto& request = m_client.m_sent.at(aIndex).m_request;
    const auto at = request.m_url.find("&sequence=") + std::string("&sequence=").size();
    const auto sequence = std::stoull(request.m_url.substr(at));
    if (const auto known = m_responses.find(sequence); known != m_responses.end()) {
      return { 200, known->second };
    }
    if (!m_responses.empty() && sequence != m_responses.rbegin()->first + 1) {
      return { 409, nlohmann::json{ { "reason", "seq" },
                                    { "sequence", m_responses.rbegin()->first + 1 } }
                      .dump() };
    }
    m_log.push_back(request.m_body);
    m_responses[sequence] =
      nlohmann::json{ { "offset", m_log.size() - 1 }, { "end", m_log.size() } }.dump();
    return { 200, m_responses[sequence] };
  }

  void Respond(std::size_t aIndex, const std::pair<std::uint16_t, std::string>& aResponse)
  {
    m_client.Respond(aIndex, aResponse.first, aResponse.second);
  }

  /// \brief Adds an end that the server reported and schedules its record for storage.
  void AddEnd(const JobId& aJob, std::uint64_t aNumber)
  {
    m_state.m_jobTable.m_changed.insert({ aJob, 0 });
    m_committer.AddEnds({ "s1", 1, aNumber });
    m_committer.FlushSoon();
  }

  [[nodiscard]] bool IsAcknowledgedTo(std::uint64_t aNumber) const
  {
    return std::ranges::any_of(m_stored, [aNumber](const auto& aBatch) {
      return std::ranges::any_of(aBatch.m_ends, [aNumber](const EndWatermark& aWatermark) {
        return aWatermark.m_number >= aNumber;
      });
    });
  }

  [[nodiscard]] bool IsInLog(const JobId& aJob) const
  {
    return std::ranges::any_of(m_log, [&aJob](const std::string& aBody) {
      return aBody.find(static_cast<char>(aJob.size()) + aJob) != std::string::npos;
    });
  }

  /// \brief Applies all appends that have no response yet.
  void ApplyOpenAppends()
  {
    for (const auto index : Appends()) {
      if (m_client.m_sent[index].m_callback) {
        Respond(index, ApplyAppend(index));
      }
    }
  }

  /// \brief Sizes of the records in the body of an append.
  static std::vector<std::size_t> RecordSizes(const std::string& aBody)
  {
    const auto batch = platform::DecodeRecords(std::string(16, '\0') + aBody);
    std::vector<std::size_t> sizes;
    std::ranges::transform(batch->m_records, std::back_inserter(sizes), &std::string::size);
    return sizes;
  }

  Committer m_committer;
  std::vector<CommitBatch> m_stored;
  std::vector<std::string> m_log;                   ///< Bodies that the store has appended.
  std::map<std::uint64_t, std::string> m_responses; ///< Response bodies by sequence number.
};

// Guards against acknowledging a record that is not stored: the timer of a copy had expired before
// the response arrived, so the copy was sent after the response, with the next sequence number, and
// the store answered the next record as a repeat of the copy.
TEST_F(CommitterTest, ResendTimerExpiredBeforeTheAnswer_NextRecord_IsStoredBeforeItIsAcknowledged)
{
  AddSubmission("next-job");
  AddEnd("a", 1);
  RunFor(20);
  ASSERT_EQ(Appends().size(), 1U);
  RunFor(170); // The first append gets no response and is sent again.
  ASSERT_EQ(Appends().size(), 2U);
  const auto first = Appends()[0];
  const auto copy = Appends()[1];
  // The loop is blocked while the response arrives and the timer of the next copy expires.
  asio::post(m_loop, [this, first] {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 350 });
    asio::post(m_loop, [this, first] {
      Respond(first, ApplyAppend(first));
      AddEnd("next-job", 2);
    });
  });
  RunFor(5);
  m_loop.poll();
  ASSERT_TRUE(IsAcknowledgedTo(1));
  Respond(copy, ApplyAppend(copy)); // A repeat of the first append.
  // Of the appends in flight, the newest one reaches the store first.
  for (int i = 0; i < 20 && !IsAcknowledgedTo(2); ++i) {
    RunFor(30);
    const auto sent = Appends();
    const auto isOpen = [this](std::size_t aIndex) {
      return static_cast<bool>(m_client.m_sent[aIndex].m_callback);
    };
    std::vector<std::size_t> open;
    std::ranges::copy_if(sent, std::back_inserter(open), isOpen);
    std::ranges::reverse(open);
    std::ranges::for_each(open,
                          [this](std::size_t aIndex) { Respond(aIndex, ApplyAppend(aIndex)); });
  }
  ASSERT_TRUE(IsAcknowledgedTo(2));
  EXPECT_TRUE(IsInLog("next-job"));
}

// Guards against a wide job that stops the whole fleet: its progress was one record, which exceeded
// the limit of the store, and the append with it was refused and repeated forever (review, case 1).
TEST_F(CommitterTest, WideJob_AllSubtasksPlanned_RecordsAndCallsStayWithinTheLimits)
{
  constexpr std::uint32_t kSubtasks = 20'000;
  constexpr std::size_t kMaxRecordBytes = 262'144;
  constexpr std::size_t kMaxCallBytes = 2'097'152;
  JobSpec wide;
  wide.m_id = "wide";
  wide.m_queue = "lookups";
  wide.m_pool = "lookup";
  wide.m_steps.emplace_back();
  wide.m_steps.back().m_count = kSubtasks;
  ASSERT_TRUE(AddJob(m_state.m_jobTable, wide, MonotonicMs(), 0));
  for (std::uint32_t index = 0; index < kSubtasks; ++index) {
    const SubtaskId id{ "wide", 0, 0, index };
    EditSubtask(m_state.m_jobTable.m_jobs.at("wide"), id).m_checkpoint = std::string(200, 'c');
    PlanRun(m_state.m_jobTable, id, "s1", 1, MonotonicMs());
    m_committer.AddPlanned({ id, 1, "s1" });
  }
  m_committer.FlushSoon();
  const auto isStored = [this] {
    return std::ranges::any_of(
      m_stored, [](const CommitBatch& aBatch) { return aBatch.m_planned.size() == kSubtasks; });
  };
  for (int i = 0; i < 200 && !isStored(); ++i) {
    RunFor(20);
    ApplyOpenAppends();
  }
  ASSERT_TRUE(isStored());
  for (const auto& body : m_log) {
    const auto sizes = RecordSizes(body);
    EXPECT_LE(std::ranges::max(sizes), kMaxRecordBytes);
    EXPECT_LE(body.size(), kMaxCallBytes);
  }
}

} // namespace
} // namespace pistachiostand::fleet
