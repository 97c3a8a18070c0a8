#pragma once

#include "StandinServer.h"

#include <algorithm>
#include <deque>

/// \file
/// \brief Append-only log that retains a number of records and limits the rate of appends.

namespace standin {

/// \brief A read at the log's end that waits for the next record.
struct WaitingRead
{
  CallPtr m_call;
  std::uint64_t m_from;
  std::size_t m_max;
};

struct LogStore
{
  std::deque<std::string> m_records; ///< base64, as received.
  std::uint64_t m_oldest = 0;
  std::size_t m_retain = 1'000'000;
  std::size_t m_appendsPerSecond = 400;
  std::deque<Clock::time_point> m_recentAppends;
  std::vector<WaitingRead> m_waiting;
  std::uint64_t m_appends = 0;
  std::uint64_t m_throttled = 0;
  std::uint64_t m_reads = 0;

  [[nodiscard]] std::uint64_t Oldest() const { return m_oldest; }
  [[nodiscard]] std::uint64_t Next() const { return m_oldest + m_records.size(); }

  /// \brief Counts an append; returns false if the limit of the last second is reached.
  bool TakeAppendSlot()
  {
    const auto now = Clock::now();
    while (!m_recentAppends.empty() && now - m_recentAppends.front() > std::chrono::seconds(1)) {
      m_recentAppends.pop_front();
    }
    if (m_recentAppends.size() >= m_appendsPerSecond) {
      ++m_throttled;
      return false;
    }
    m_recentAppends.push_back(now);
    ++m_appends;
    return true;
  }

  std::uint64_t Append(const std::vector<std::string>& aRecords)
  {
    const auto first = Next();
    m_records.insert(m_records.end(), aRecords.begin(), aRecords.end());
    if (m_records.size() > m_retain) {
      Expire(Next() - m_retain);
    }
    return first;
  }

  void Expire(std::uint64_t aBefore)
  {
    const auto before = std::clamp(aBefore, m_oldest, Next());
    m_records.erase(m_records.begin(),
                    m_records.begin() + static_cast<std::ptrdiff_t>(before - m_oldest));
    m_oldest = before;
  }

  [[nodiscard]] Json Read(std::uint64_t aFrom, std::size_t aMax) const
  {
    Json records = Json::array();
    for (auto at = std::max(aFrom, m_oldest); at < Next() && records.size() < aMax; ++at) {
      records.push_back({ { "offset", at }, { "data", m_records[at - m_oldest] } });
    }
    return { { "oldest", m_oldest }, { "next", Next() }, { "records", std::move(records) } };
  }

  std::vector<WaitingRead> TakeWaiting()
  {
    const auto split =
      std::partition(m_waiting.begin(), m_waiting.end(),
                     [this](const WaitingRead& aRead) { return aRead.m_from >= Next(); });
    std::vector<WaitingRead> due(split, m_waiting.end());
    m_waiting.erase(split, m_waiting.end());
    return due;
  }

  std::optional<WaitingRead> TakeWaiting(const CallPtr& aCall)
  {
    const auto found =
      std::find_if(m_waiting.begin(), m_waiting.end(),
                   [&aCall](const WaitingRead& aRead) { return aRead.m_call == aCall; });
    if (found == m_waiting.end()) {
      return std::nullopt;
    }
    const auto read = *found;
    m_waiting.erase(found);
    return read;
  }
};

} // namespace standin
