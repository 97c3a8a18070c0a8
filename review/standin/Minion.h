#pragma once

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/connection/HttpServer.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Stand-in for a backend server of the users' platform, with capacity, leases, fencing,
/// gangs and checkpoints. All servers of one test run in one process.
///
/// The payload of a job says what its subtasks do: a list of `name=value` words. `work` is the run
/// time in milliseconds, `gang` the number of members of a gang, `checkpoint` is 1 for subtasks
/// that save their progress, `fail-run` is the number of a run that ends as failed.

namespace review {

using pistachiostand::Endpoint;
using pistachiostand::HttpRequest;
using pistachiostand::HttpResponder;
using pistachiostand::Millis;
using pistachiostand::MonotonicMs;
using Json = nlohmann::json;

/// \brief Bounds of the platform, those of the site dijleland-sched.
inline constexpr Millis kMaxHoldMs = 10'000;
inline constexpr Millis kCheckpointIntervalMs = 1'000;
inline constexpr Millis kGangTimeoutMs = 3'000;
inline constexpr Millis kHeartbeatMs = 1'500;
inline constexpr std::size_t kMaxListedEnds = 500;
/// \brief Time until the servers of the other members of a gang learn that one has ended.
inline constexpr Millis kGangNoticeMs = 100;
/// \brief Time in which a server that fails all that it starts does so.
inline constexpr Millis kFailureMs = 300;

/// \brief What the payload of a job asks of its subtasks.
struct Work
{
  Millis m_workMs{ 500 };
  std::size_t m_gang{};
  bool m_checkpoints{};
  std::uint64_t m_failRun{};

  static Work Parse(const std::string& aPayload)
  {
    std::map<std::string, Millis> words;
    std::size_t begin = 0;
    while (begin < aPayload.size()) {
      const auto end = std::min(aPayload.find(' ', begin), aPayload.size());
      const std::string word = aPayload.substr(begin, end - begin);
      const auto equals = word.find('=');
      if (equals != std::string::npos) {
        words[word.substr(0, equals)] = std::stoll(word.substr(equals + 1));
      }
      begin = end + 1;
    }
    Work work;
    work.m_workMs = words.contains("work") ? words["work"] : work.m_workMs;
    work.m_gang = static_cast<std::size_t>(words["gang"]);
    work.m_checkpoints = words["checkpoint"] != 0;
    work.m_failRun = static_cast<std::uint64_t>(words["fail-run"]);
    return work;
  }
};

/// \brief What the servers were told to run and how it ended, for the judgement and the record.
struct RunRecord
{
  std::string m_server;
  std::string m_task;
  std::uint64_t m_run{};
  std::string m_checkpoint; ///< With which it was started.
  Millis m_startMs{};
  Millis m_endMs{}; ///< 0 while it runs.
  std::string m_how;
};

class Minion;

/// \brief What all servers of a test share.
struct Fleet
{
  std::function<void(const std::string&)> m_log;
  std::vector<std::shared_ptr<RunRecord>> m_history;
  std::vector<Minion*> m_minions;
  /// CPU and memory of each subtask, by job and step; the platform's servers know them.
  std::map<std::string, std::pair<int, int>> m_needs;
  /// Tickets of the advice service, with the time until which they are valid.
  std::map<std::string, Millis> m_tickets;
  bool m_needsTicket{}; ///< The queue has advice.

  [[nodiscard]] std::pair<int, int> NeedOf(const std::string& aTask) const
  {
    const auto found = m_needs.find(aTask.substr(0, aTask.find('.')));
    return found == m_needs.end() ? std::pair{ 0, 0 } : found->second;
  }
};

class Minion
{
public:
  struct Options
  {
    std::string m_id;
    Endpoint m_listen;
    std::string m_rack;
    int m_cpu{ 16'000 };
    int m_memoryMb{ 65'536 };
  };

  Minion(asio::io_context& aLoop, Options aOptions, Fleet& aFleet)
    : m_options(std::move(aOptions))
    , m_fleet(aFleet)
    , m_loop(aLoop)
    , m_timer(aLoop)
  {
    aFleet.m_minions.push_back(this);
    Listen();
    Tick();
  }

  [[nodiscard]] bool IsListening() const { return m_server != nullptr; }
  [[nodiscard]] bool IsUp() const { return m_up; }

  bool m_failsAll{}; ///< It fails all that it starts, while its registration stays good.

  [[nodiscard]] const std::string& Id() const { return m_options.m_id; }

  /// \brief The server dies with all its runs and does not come back.
  void Crash()
  {
    m_fleet.m_log(fmt::format("server {} crashes", m_options.m_id));
    m_up = false;
    for (const auto& [key, run] : std::exchange(m_runs, {})) {
      run->m_record->m_endMs = MonotonicMs();
      run->m_record->m_how = "crashed";
    }
    m_waiting.clear(); // Closes their connections.
  }

  /// \brief The registration that the server writes into the store.
  [[nodiscard]] std::string Entry()
  {
    return Json{
      { "upstream", "pool" },
      { "address", pistachiostand::ToString(m_options.m_listen) },
      { "zone", "z1" },
      { "version", "1" },
      { "slots", 8 },
      { "state", "ready" },
      { "capacity", { { "cpu", m_options.m_cpu }, { "mem-mb", m_options.m_memoryMb } } },
      { "labels", { "a", m_options.m_rack } },
      { "clock-ms", ClockMs() },
      { "born", m_born },
      { "sequence", ++m_sequence }
    }.dump();
  }

  /// \brief True when a member of the gang of this task is here, in this run, with this checkpoint.
  [[nodiscard]] std::size_t Members(const std::string& aStep, std::uint64_t aRun,
                                    const std::string& aCheckpoint) const
  {
    return static_cast<std::size_t>(std::ranges::count_if(m_runs, [&](const auto& aEntry) {
      return StepOf(aEntry.first.first) == aStep && aEntry.first.second == aRun &&
             aEntry.second->m_record->m_checkpoint == aCheckpoint;
    }));
  }

  /// \brief Progress of the running subtasks of a step in milliseconds; for members of a gang that
  /// is together.
  void BeginGang(const std::string& aStep, std::uint64_t aRun)
  {
    for (auto& [key, run] : m_runs) {
      if (StepOf(key.first) == aStep && key.second == aRun && run->m_workingSinceMs == 0) {
        run->m_workingSinceMs = MonotonicMs();
      }
    }
  }

  /// \brief Ends the members of a gang here because another member has ended.
  void EndGang(const std::string& aStep, std::uint64_t aRun, const char* aHow)
  {
    std::vector<Key> members;
    for (const auto& [key, run] : m_runs) {
      if (StepOf(key.first) == aStep && key.second == aRun) {
        members.push_back(key);
      }
    }
    for (const auto& key : members) {
      End(key, aHow);
    }
  }

  /// \brief Checkpoint that the run has saved so far; empty: none.
  [[nodiscard]] std::string SavedBy(const std::string& aTask) const
  {
    for (const auto& [key, run] : m_runs) {
      if (key.first == aTask) {
        return Saved(*run);
      }
    }
    return {};
  }

  /// \brief Checkpoint of the task in the last report that was sent.
  [[nodiscard]] std::string LastReported(const std::string& aTask) const
  {
    const auto found = m_reported.find(aTask);
    return found == m_reported.end() ? std::string{} : found->second;
  }

  static std::string StepOf(const std::string& aTask) { return aTask.substr(0, aTask.rfind('.')); }

private:
  using Key = std::pair<std::string, std::uint64_t>; ///< Subtask and run.

  struct Running
  {
    Work m_work;
    Millis m_startMs{};
    Millis m_workingSinceMs{}; ///< 0 while a member of a gang waits for the others.
    Millis m_restoredMs{};     ///< Work that its checkpoint holds.
    std::shared_ptr<RunRecord> m_record;
  };

  struct WaitingPoll
  {
    Millis m_untilMs{};
    HttpResponder m_respond;
  };

  void Listen()
  {
    pistachiostand::Reason reason;
    m_server = pistachiostand::HttpServer::Create(
      m_loop, { m_options.m_listen, 100 },
      [this](const HttpRequest& aRequest, const HttpResponder& aRespond) {
        Handle(aRequest, aRespond);
      },
      reason);
  }

  [[nodiscard]] Millis ClockMs() const { return MonotonicMs() - m_bootMs; }

  void Refuse(const HttpResponder& aRespond, const char* aReason) const
  {
    aRespond({ 409, {}, fmt::format(R"({{"clock-ms":{},"reason":"{}"}})", ClockMs(), aReason) });
  }

  void Handle(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    if (!m_up) {
      return; // The connection closes without a response.
    }
    const auto expected = pistachiostand::FindHeader(aRequest.m_headers, "expected-instance");
    if (!expected.empty() && expected != m_options.m_id) {
      aRespond({ 421, {}, "{}" });
      return;
    }
    const auto body = Json::parse(aRequest.m_body, nullptr, false);
    if (!body.is_object()) {
      aRespond({ 400, {}, "{}" });
      return;
    }
    const auto token = body.value("fencing-token", std::uint64_t{ 0 });
    if (token < m_token) {
      Refuse(aRespond, "fence");
      return;
    }
    m_token = token;
    if (body.contains("deadline-ms")) {
      m_leaseEndMs =
        std::max(m_leaseEndMs, std::min(body["deadline-ms"].get<Millis>(), ClockMs() + kMaxHoldMs));
    }
    if (aRequest.m_path == "/run-start") {
      Start(body, aRespond);
    } else if (aRequest.m_path == "/run-stop") {
      const std::string task = body.at("task");
      const auto run = body.at("run").get<std::uint64_t>();
      m_highest[task] = std::max(m_highest[task], run);
      End({ task, run }, "stopped");
      aRespond({ 200, {}, fmt::format(R"({{"clock-ms":{}}})", ClockMs()) });
    } else if (aRequest.m_path == "/hold") {
      const auto acknowledged = body.value("ack-cursor", std::uint64_t{ 0 });
      std::erase_if(m_ends, [acknowledged](const Json& aEnd) {
        return aEnd.at(0).get<std::uint64_t>() <= acknowledged;
      });
      m_waiting.push_back({ MonotonicMs() + body.value("wait-ms", Millis{ 0 }), aRespond });
      RespondToPolls();
    } else if (aRequest.m_path == "/pace") {
      aRespond({ 200, {}, fmt::format(R"({{"clock-ms":{}}})", ClockMs()) });
    } else {
      aRespond({ 404, {}, "{}" });
    }
  }

  /// \brief True when the subtask fits beside what runs here.
  [[nodiscard]] bool HasRoom(const std::string& aTask) const
  {
    auto [cpu, memory] = m_fleet.NeedOf(aTask);
    for (const auto& [key, run] : m_runs) {
      const auto [usedCpu, usedMemory] = m_fleet.NeedOf(key.first);
      cpu += usedCpu;
      memory += usedMemory;
    }
    return cpu <= m_options.m_cpu && memory <= m_options.m_memoryMb;
  }

  [[nodiscard]] bool HasTicket(const std::string& aTicket, const std::string& aTask) const
  {
    const auto found = m_fleet.m_tickets.find(aTicket);
    return found != m_fleet.m_tickets.end() && MonotonicMs() < found->second &&
           aTicket.starts_with(StepOf(aTask) + "/" + m_options.m_id);
  }

  void Start(const Json& aBody, const HttpResponder& aRespond)
  {
    const Key key{ aBody.at("task").get<std::string>(), aBody.at("run").get<std::uint64_t>() };
    if (aBody.at("deadline-ms").get<Millis>() < ClockMs()) {
      Refuse(aRespond, "late");
      return;
    }
    if (m_runs.contains(key)) {
      aRespond({ 200, {}, fmt::format(R"({{"clock-ms":{}}})", ClockMs()) });
      return;
    }
    if (key.second <= m_highest[key.first]) {
      Refuse(aRespond, "old");
      return;
    }
    if (m_fleet.m_needsTicket && !HasTicket(aBody.value("ticket", std::string{}), key.first)) {
      Refuse(aRespond, "ticket");
      return;
    }
    if (!HasRoom(key.first)) {
      Refuse(aRespond, "room");
      return;
    }
    auto run = std::make_shared<Running>();
    run->m_work = Work::Parse(aBody.at("spec").get<std::string>());
    run->m_startMs = MonotonicMs();
    run->m_record = std::make_shared<RunRecord>(RunRecord{ m_options.m_id,
                                                           key.first,
                                                           key.second,
                                                           aBody.value("checkpoint", std::string{}),
                                                           run->m_startMs,
                                                           0,
                                                           {} });
    if (!run->m_record->m_checkpoint.empty()) {
      run->m_restoredMs = std::stoll(run->m_record->m_checkpoint.substr(0, 8), nullptr, 16);
    }
    run->m_workingSinceMs = run->m_work.m_gang == 0 ? run->m_startMs : 0;
    m_fleet.m_history.push_back(run->m_record);
    m_runs.emplace(key, run);
    aRespond({ 200, {}, fmt::format(R"({{"clock-ms":{}}})", ClockMs()) });
    if (m_fleet.m_history.size() < kMaxLoggedRuns) {
      m_fleet.m_log(fmt::format("server {} starts {} run {} checkpoint '{}'", m_options.m_id,
                                key.first, key.second, run->m_record->m_checkpoint));
    }
    if (run->m_work.m_gang != 0) {
      JoinGang(StepOf(key.first), key.second, *run);
    }
  }

  /// \brief The members work once all of them are present in one run with one checkpoint.
  void JoinGang(const std::string& aStep, std::uint64_t aRun, const Running& aMember)
  {
    std::size_t present = 0;
    for (const Minion* minion : m_fleet.m_minions) {
      present += minion->Members(aStep, aRun, aMember.m_record->m_checkpoint);
    }
    if (present == aMember.m_work.m_gang) {
      m_fleet.m_log(fmt::format("gang {} run {} is complete and works", aStep, aRun));
      for (Minion* minion : m_fleet.m_minions) {
        minion->BeginGang(aStep, aRun);
      }
    }
  }

  [[nodiscard]] static Millis WorkedMs(const Running& aRun)
  {
    return aRun.m_restoredMs +
           (aRun.m_workingSinceMs == 0 ? 0 : MonotonicMs() - aRun.m_workingSinceMs);
  }

  [[nodiscard]] static std::string Saved(const Running& aRun)
  {
    if (!aRun.m_work.m_checkpoints) {
      return {};
    }
    const Millis saved = WorkedMs(aRun) / kCheckpointIntervalMs * kCheckpointIntervalMs;
    return saved == 0 ? std::string{}
                      : fmt::format("{:08x}{}", saved, aRun.m_record->m_task.substr(0, 8));
  }

  void End(const Key& aKey, const char* aHow)
  {
    const auto found = m_runs.find(aKey);
    if (found == m_runs.end()) {
      return;
    }
    const auto run = found->second;
    const std::string how = aHow;
    const bool isSaved = how != "done";
    m_ends.push_back(Json::array(
      { ++m_lastEnd, aKey.first, aKey.second, how, isSaved ? Saved(*run) : std::string{} }));
    run->m_record->m_endMs = MonotonicMs();
    run->m_record->m_how = how;
    m_highest[aKey.first] = std::max(m_highest[aKey.first], aKey.second);
    if (m_fleet.m_history.size() < kMaxLoggedRuns) {
      m_fleet.m_log(fmt::format("server {} ends {} run {} {} saved '{}'", m_options.m_id,
                                aKey.first, aKey.second, how, isSaved ? Saved(*run) : ""));
    }
    m_runs.erase(found);
  }

  /// \brief How the run ends now; empty: it goes on.
  [[nodiscard]] std::string EndOf(const Key& aKey, const Running& aRun, bool aLapsed) const
  {
    if (aLapsed) {
      return "lapsed";
    }
    if (aRun.m_workingSinceMs == 0) {
      return MonotonicMs() - aRun.m_startMs > kGangTimeoutMs ? "alone" : "";
    }
    if (m_failsAll && MonotonicMs() - aRun.m_workingSinceMs > kFailureMs) {
      return "failed";
    }
    if (WorkedMs(aRun) < aRun.m_work.m_workMs) {
      return "";
    }
    return aRun.m_work.m_failRun == aKey.second ? "failed" : "done";
  }

  void Tick()
  {
    if (m_up) {
      const bool lapsed = ClockMs() >= m_leaseEndMs;
      std::vector<std::pair<Key, std::string>> over;
      for (const auto& [key, run] : m_runs) {
        const auto how = EndOf(key, *run, lapsed);
        const bool broken = run->m_work.m_gang != 0 && run->m_workingSinceMs != 0 &&
                            HasLostMember(StepOf(key.first), key.second, run->m_work.m_gang);
        if (!how.empty() || broken) {
          over.emplace_back(key, how.empty() ? "broken" : how);
        }
      }
      for (const auto& [key, how] : over) {
        End(key, how.c_str());
      }
      RespondToPolls();
    }
    m_timer.expires_after(std::chrono::milliseconds{ 5 });
    m_timer.async_wait([this](const std::error_code& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  /// \brief True when a member of a gang that worked together has ended otherwise than as done.
  [[nodiscard]] bool HasLostMember(const std::string& aStep, std::uint64_t aRun,
                                   std::size_t aMembers) const
  {
    const auto present = std::ranges::count_if(m_fleet.m_history, [&](const auto& aRecord) {
      return StepOf(aRecord->m_task) == aStep && aRecord->m_run == aRun &&
             (aRecord->m_endMs == 0 || aRecord->m_how == "done" ||
              MonotonicMs() - aRecord->m_endMs < kGangNoticeMs);
    });
    return static_cast<std::size_t>(present) < aMembers;
  }

  [[nodiscard]] pistachiostand::HttpResponse Report()
  {
    Json running = Json::array();
    for (const auto& [key, run] : m_runs) {
      const auto percent = std::min<Millis>(100, 100 * WorkedMs(*run) / run->m_work.m_workMs);
      running.push_back({ key.first, key.second, Saved(*run), percent, 0 });
      m_reported[key.first] = Saved(*run);
    }
    const auto count = std::min(m_ends.size(), kMaxListedEnds);
    const std::vector<Json> ends(m_ends.begin(),
                                 m_ends.begin() + static_cast<std::ptrdiff_t>(count));
    return { 200,
             {},
             Json{ { "clock-ms", ClockMs() },
                   { "born", m_born },
                   { "running", running },
                   { "finished", ends } }
               .dump() };
  }

  void RespondToPolls()
  {
    std::vector<HttpResponder> due;
    std::erase_if(m_waiting, [&](const WaitingPoll& aPoll) {
      const bool isDue = !m_ends.empty() || MonotonicMs() >= aPoll.m_untilMs;
      if (isDue) {
        due.push_back(aPoll.m_respond);
      }
      return isDue;
    });
    for (const auto& respond : due) {
      respond(Report());
    }
  }

  /// Later starts and ends are only counted.
  static constexpr std::size_t kMaxLoggedRuns = 400;

  Options m_options;
  Fleet& m_fleet;
  asio::io_context& m_loop;
  asio::steady_timer m_timer;
  std::unique_ptr<pistachiostand::HttpServer> m_server;
  bool m_up{ true };
  Millis m_bootMs = MonotonicMs() - 1'000;
  std::int64_t m_born = pistachiostand::WallMs() - 1'000;
  std::uint64_t m_sequence{};
  std::uint64_t m_token{};
  Millis m_leaseEndMs{};
  std::map<Key, std::shared_ptr<Running>> m_runs;
  std::map<std::string, std::uint64_t> m_highest;
  std::vector<Json> m_ends;
  std::uint64_t m_lastEnd{};
  std::vector<WaitingPoll> m_waiting;
  std::map<std::string, std::string> m_reported;
};

} // namespace review
