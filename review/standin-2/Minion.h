#pragma once

#include "Http.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

/// \file
/// \brief Stand-in for a minion, as PROTOCOL.md describes it under "Running subtasks".

namespace review {

using Json = nlohmann::json;
using Ms = std::int64_t;

inline Ms SteadyMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

inline Ms UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// \brief Writes what happened into the record of the case.
class Record
{
public:
  explicit Record(const char* aPath)
    : m_file(std::fopen(aPath, "w"))
    , m_beginMs(SteadyMs())
  {
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  ~Record() { std::fclose(m_file); }

  void Line(const std::string& aText)
  {
    const double at = static_cast<double>(SteadyMs() - m_beginMs) / 1'000;
    std::fprintf(m_file, "%8.3f %s\n", at, aText.c_str());
    std::fflush(m_file);
  }

private:
  std::FILE* m_file;
  Ms m_beginMs;
};

/// \brief One start that a minion has begun.
struct Started
{
  std::string m_task;
  std::uint64_t m_run{};
  std::string m_minion;
  std::string m_checkpoint;
  Ms m_startMs{};
  Ms m_endMs{};      ///< 0 while it runs.
  std::string m_how; ///< How it ended; "gone" when its minion crashed.
};

/// \brief What the minions have seen together.
struct Seen
{
  std::vector<Started> m_starts;

  [[nodiscard]] std::set<std::string> Done() const
  {
    std::set<std::string> done;
    for (const auto& one : m_starts) {
      if (one.m_how == "done") {
        done.insert(one.m_task);
      }
    }
    return done;
  }
};

struct MinionOptions
{
  std::string m_id;
  std::string m_service;
  std::string m_zone;
  std::string m_kind;
  std::string m_rack;
  std::int64_t m_cpu{ 4'000 };
  std::int64_t m_cpuOfRun{ 1'000 }; ///< `cpu` of each subtask of the case.
  Ms m_runMs{ 1'000 };              ///< Work of each subtask.
  Ms m_checkpointMs{};              ///< 0: the subtasks don't save their progress.
  Ms m_maxHoldMs{ 6'000 };
};

/// \brief A minion. Runs of one gang may be on several minions: `m_gangSize` tells it how many
/// members have to be present, and `m_gangPresent` counts those of all minions.
class Minion
{
public:
  Minion(asio::io_context& aLoop, MinionOptions aOptions, Record& aRecord, Seen& aSeen)
    : m_options(std::move(aOptions))
    , m_record(aRecord)
    , m_seen(aSeen)
    , m_server(aLoop, 0,
               [this](const Request& aRequest, Respond aRespond) {
                 Handle(aRequest, std::move(aRespond));
               })
    , m_timer(aLoop)
  {
    Begin();
    m_server.Open();
    Tick();
  }

  [[nodiscard]] const std::string& Id() const { return m_options.m_id; }
  [[nodiscard]] bool IsUp() const { return m_up; }

  /// \brief The entry that the minion writes into the store.
  [[nodiscard]] std::string Entry()
  {
    return Json{
      { "upstream", m_options.m_service },
      { "address", "127.0.0.1:" + std::to_string(m_server.Port()) },
      { "zone", m_options.m_zone },
      { "version", "1" },
      { "slots", 8 },
      { "state", "ready" },
      { "capacity", { { "cpu", m_options.m_cpu }, { "mem-mb", 65'536 } } },
      { "labels", { m_options.m_kind, m_options.m_rack } },
      { "clock-ms", ClockMs() },
      { "born", m_born },
      { "sequence", ++m_sequence }
    }.dump();
  }

  /// \brief The minion can't be reached; it runs on.
  void Cut()
  {
    m_record.Line("disruption: minion " + Id() + " is cut off, channels refused");
    m_server.Close();
  }

  /// \brief All open channels go silent; new ones work.
  void Silence() { m_server.Silence(); }

  void Heal()
  {
    m_record.Line("disruption: minion " + Id() + " is reachable again");
    m_server.Open();
  }

  /// \brief All that ran is gone; the minion is down until Restart().
  void Crash()
  {
    m_record.Line("disruption: minion " + Id() + " crashes");
    m_up = false;
    m_server.Close();
    for (auto& one : m_seen.m_starts) {
      if (one.m_minion == Id() && one.m_endMs == 0) {
        one.m_endMs = SteadyMs();
        one.m_how = "gone";
      }
    }
    m_runs.clear();
  }

  void Restart()
  {
    m_record.Line("minion " + Id() + " is up again, as a new boot");
    m_up = true;
    Begin();
    m_server.Open();
  }

  /// \brief Ends a run that is there, as another member of its gang has ended.
  void Break(const std::string& aTask, std::uint64_t aRun) { End({ aTask, aRun }, "broken"); }

  [[nodiscard]] std::int64_t FreeCpu() const
  {
    return m_options.m_cpu - static_cast<std::int64_t>(m_runs.size()) * m_options.m_cpuOfRun;
  }

  /// Subtasks that last until they are stopped.
  std::function<bool(const std::string& aTask)> m_lasts = [](const std::string& /*aTask*/) {
    return false;
  };
  std::size_t m_gangSize{};                                       ///< 0: no gangs.
  std::function<std::size_t(std::uint64_t aRun)> m_gangPresent;   ///< Members present, of a run.
  std::function<void(std::uint64_t aRun, Minion*)> m_gangEnded{}; ///< A member has ended.

  [[nodiscard]] std::size_t Present(std::uint64_t aRun) const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      m_runs, [aRun](const auto& aEntry) { return aEntry.first.second == aRun; }));
  }

  [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> Runs() const
  {
    std::vector<std::pair<std::string, std::uint64_t>> runs;
    for (const auto& [key, run] : m_runs) {
      runs.push_back(key);
    }
    return runs;
  }

private:
  using Key = std::pair<std::string, std::uint64_t>;
  struct Run
  {
    Ms m_workedMs{};
    std::string m_saved;
    Ms m_savedAtMs{}; ///< Work of the last checkpoint.
  };
  struct Poll
  {
    Ms m_untilMs{};
    Respond m_respond;
  };

  void Begin()
  {
    m_born = std::max(m_born + 1, UnixMs());
    m_beginMs = SteadyMs();
    m_fence = 0;
    m_leaseEndMs = 0;
    m_runs.clear();
    m_highest.clear();
    m_ends.clear();
    m_lastEnd = 0;
    m_polls.clear();
  }

  [[nodiscard]] Ms ClockMs() const { return SteadyMs() - m_beginMs; }

  void Handle(const Request& aRequest, Respond aRespond)
  {
    if (aRequest.m_headers.find("expected-instance: " + Id() + "\r\n") == std::string::npos) {
      aRespond(421, "{}");
      return;
    }
    const Json body = Json::parse(aRequest.m_body, nullptr, false);
    if (!body.is_object()) {
      aRespond(400, Json{ { "clock-ms", ClockMs() } }.dump());
      return;
    }
    const std::uint64_t fence = body.value("fencing-token", std::uint64_t{ 0 });
    if (fence < m_fence) {
      Refuse(aRespond, "fence");
      return;
    }
    m_fence = fence;
    if (aRequest.m_target == "/run-start") {
      Start(body, aRespond);
    } else if (aRequest.m_target == "/run-stop") {
      const Key key{ body.at("task"), body.at("run") };
      m_record.Line("stop " + key.first + " run " + std::to_string(key.second) + " at " + Id());
      m_highest[key.first] = std::max(m_highest[key.first], key.second);
      End(key, "stopped");
      aRespond(200, Json{ { "clock-ms", ClockMs() } }.dump());
    } else if (aRequest.m_target == "/hold") {
      Extend(body);
      const std::uint64_t cursor = body.value("ack-cursor", std::uint64_t{ 0 });
      std::erase_if(m_ends, [cursor](const Json& aEnd) { return aEnd.at(0) <= cursor; });
      m_polls.push_back({ SteadyMs() + body.value("wait-ms", Ms{ 0 }), std::move(aRespond) });
      AnswerPolls();
    } else if (aRequest.m_target == "/pace") {
      aRespond(200, Json{ { "clock-ms", ClockMs() } }.dump());
    } else {
      aRespond(404, "{}");
    }
  }

  void Extend(const Json& aBody)
  {
    if (aBody.contains("deadline-ms")) {
      m_leaseEndMs = std::max(m_leaseEndMs, std::min(aBody.at("deadline-ms").get<Ms>(),
                                                     ClockMs() + m_options.m_maxHoldMs));
    }
  }

  void Start(const Json& aBody, const Respond& aRespond)
  {
    const Key key{ aBody.at("task"), aBody.at("run") };
    const std::string checkpoint = aBody.value("checkpoint", "");
    const std::string what = "start " + key.first + " run " + std::to_string(key.second) + " at " +
                             Id() + " fence " + std::to_string(m_fence) + " checkpoint '" +
                             checkpoint + "'";
    if (aBody.at("deadline-ms").get<Ms>() < ClockMs()) {
      m_record.Line(what + ": refused, late");
      Refuse(aRespond, "late");
      return;
    }
    if (m_runs.contains(key)) {
      aRespond(200, Json{ { "clock-ms", ClockMs() } }.dump());
      return;
    }
    Extend(aBody);
    if (key.second <= m_highest[key.first]) {
      m_record.Line(what + ": refused, old");
      Refuse(aRespond, "old");
      return;
    }
    if (FreeCpu() < m_options.m_cpuOfRun) {
      m_record.Line(what + ": refused, room");
      Refuse(aRespond, "room");
      return;
    }
    m_record.Line(what);
    m_runs[key] = { 0, checkpoint, 0 };
    m_seen.m_starts.push_back({ key.first, key.second, Id(), checkpoint, SteadyMs(), 0, {} });
    aRespond(200, Json{ { "clock-ms", ClockMs() } }.dump());
  }

  void Refuse(const Respond& aRespond, const char* aReason) const
  {
    aRespond(409, Json{ { "clock-ms", ClockMs() }, { "reason", aReason } }.dump());
  }

  void End(const Key& aKey, const char* aHow)
  {
    const auto found = m_runs.find(aKey);
    if (found == m_runs.end()) {
      return;
    }
    m_highest[aKey.first] = std::max(m_highest[aKey.first], aKey.second);
    m_ends.push_back(Json::array({ ++m_lastEnd, aKey.first, aKey.second, aHow,
                                   std::string{ aHow } == "done" ? "" : found->second.m_saved }));
    m_record.Line("end " + aKey.first + " run " + std::to_string(aKey.second) + " at " + Id() +
                  ": " + aHow);
    m_runs.erase(found);
    for (auto& one : m_seen.m_starts) {
      if (one.m_task == aKey.first && one.m_run == aKey.second && one.m_minion == Id() &&
          one.m_endMs == 0) {
        one.m_endMs = SteadyMs();
        one.m_how = aHow;
      }
    }
    if (m_gangSize != 0 && m_gangEnded) {
      m_gangEnded(aKey.second, this);
    }
  }

  [[nodiscard]] int Percent(const std::string& aTask, const Run& aRun) const
  {
    constexpr Ms kStartupMs = 500;
    if (m_lasts(aTask)) {
      return static_cast<int>(std::min<Ms>(100, 100 * aRun.m_workedMs / kStartupMs));
    }
    return static_cast<int>(std::min<Ms>(99, 100 * aRun.m_workedMs / m_options.m_runMs));
  }

  void Work(Ms aForMs)
  {
    std::vector<Key> over;
    for (auto& [key, run] : m_runs) {
      if (m_gangSize != 0 && m_gangPresent(key.second) < m_gangSize) {
        continue; // It waits for the others.
      }
      run.m_workedMs += aForMs;
      if (m_options.m_checkpointMs != 0 &&
          run.m_workedMs - run.m_savedAtMs >= m_options.m_checkpointMs) {
        run.m_savedAtMs = run.m_workedMs;
        // Members of a gang that have done the same work save the same value.
        const auto step = key.first.substr(0, key.first.rfind('.'));
        run.m_saved = step.substr(step.find('.') + 1) + "-run" + std::to_string(key.second) + "-" +
                      std::to_string(run.m_workedMs / m_options.m_checkpointMs);
      }
      if (!m_lasts(key.first) && run.m_workedMs >= m_options.m_runMs) {
        over.push_back(key);
      }
    }
    for (const auto& key : over) {
      End(key, "done");
    }
  }

  void Tick()
  {
    constexpr Ms kTickMs = 10;
    if (m_up) {
      if (ClockMs() >= m_leaseEndMs) {
        for (const auto& key : Runs()) {
          End(key, "lapsed");
        }
      }
      Work(SteadyMs() - m_tickMs);
      AnswerPolls();
    }
    m_tickMs = SteadyMs();
    m_timer.expires_after(std::chrono::milliseconds{ kTickMs });
    m_timer.async_wait([this](const std::error_code& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  void AnswerPolls()
  {
    constexpr std::size_t kMostEnds = 500;
    const Ms now = SteadyMs();
    std::erase_if(m_polls, [&](const Poll& aPoll) {
      if (now < aPoll.m_untilMs && m_ends.empty()) {
        return false;
      }
      Json running = Json::array();
      for (const auto& [key, run] : m_runs) {
        running.push_back(
          { key.first, key.second, run.m_saved, Percent(key.first, run), m_options.m_cpuOfRun });
      }
      const std::vector<Json> ends(
        m_ends.begin(),
        m_ends.begin() + static_cast<std::ptrdiff_t>(std::min(m_ends.size(), kMostEnds)));
      aPoll.m_respond(200, Json{ { "clock-ms", ClockMs() },
                                 { "born", m_born },
                                 { "running", running },
                                 { "finished", ends } }
                             .dump());
      return true;
    });
  }

  MinionOptions m_options;
  Record& m_record;
  Seen& m_seen;
  Server m_server;
  asio::steady_timer m_timer;
  bool m_up{ true };
  Ms m_born{};
  Ms m_beginMs{};
  Ms m_tickMs{ SteadyMs() };
  std::uint64_t m_sequence{};
  std::uint64_t m_fence{};
  Ms m_leaseEndMs{};
  std::map<Key, Run> m_runs;
  std::map<std::string, std::uint64_t> m_highest;
  std::vector<Json> m_ends;
  std::uint64_t m_lastEnd{};
  std::vector<Poll> m_polls;
};

} // namespace review
