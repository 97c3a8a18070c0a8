#pragma once

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/connection/HttpServer.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Stand-in for a backend server of the prepared platform: it runs subtasks under a lease,
/// stops them and reports their ends.

namespace pistachiostand::fleet::standin {

class PreparedServer
{
public:
  PreparedServer(asio::io_context& aLoop, const Endpoint& aListen, Millis aRunMs)
    : m_runMs(aRunMs)
    , m_listen(aListen)
    , m_timer(aLoop)
  {
    Reason reason;
    m_server = HttpServer::Create(
      aLoop, { aListen, 200 },
      [this](const HttpRequest& aRequest, const HttpResponder& aRespond) {
        Handle(aRequest, aRespond);
      },
      reason);
    Tick();
  }

  [[nodiscard]] bool IsListening() const { return m_server != nullptr; }

  /// \brief Restarts the server as a new incarnation with the same id and address. It forgets its
  /// runs, ends and lease: ends are counted from 1, and the clock starts at 0. The records for the
  /// test remain. Open connections break.
  void Restart()
  {
    for (auto& one : m_history) {
      if (one.m_endMs == 0) {
        one.m_endMs = MonotonicMs();
        one.m_how = "gone";
      }
    }
    m_incarnation = std::max(m_incarnation + 1, WallMs());
    m_clockBaseMs = MonotonicMs();
    m_token = 0;
    m_leaseEndMs = 0;
    m_runs.clear();
    m_highestRuns.clear();
    m_ends.clear();
    m_lastEnd = 0;
    m_waiting.clear();
    m_heldPolls.clear();
    m_lost.clear();
  }

  /// \brief A run that was started on this server, for the checks of a test.
  struct PastRun
  {
    std::string m_task;
    std::uint64_t m_run{};
    Millis m_startMs{};
    Millis m_endMs{}; ///< 0 while it runs.
    std::string m_how;
    std::uint64_t m_number{};     ///< Number of its end in its incarnation.
    bool m_acknowledged{};        ///< Whether its end was acknowledged.
    bool m_lapsed{};              ///< A lease lapsed between its end and the acknowledgement.
    std::int64_t m_incarnation{}; ///< Incarnation of the server.
  };
  std::vector<PastRun> m_history;

  /// \brief Adds this many ends of runs of other jobs, which no test has submitted.
  void AddForeignEnds(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      m_ends.push_back(nlohmann::json::array(
        { ++m_lastEnd, fmt::format("{:016x}.0.0.0", 0xf000 + i), 1, "done", "" }));
    }
  }

  /// \brief Returns the registration that the server writes into the store. A positive offset first
  /// makes the server a later incarnation.
  [[nodiscard]] std::string Entry(const std::string& aPool, int aIncarnationOffset = 0)
  {
    m_incarnation += aIncarnationOffset;
    return nlohmann::json{
      { "upstream", aPool },
      { "address", pistachiostand::ToString(m_listen) },
      { "zone", "z1" },
      { "state", "ready" },
      { "capacity", { { "cpu", 8'000 }, { "mem-mb", 16'000 } } },
      { "labels", { "a", "r1" } },
      { "clock-ms", ClockMs() },
      { "born", m_incarnation },
      { "sequence", 1 }
    }.dump();
  }

  [[nodiscard]] std::size_t Running() const { return m_runs.size(); }

  /// \brief Number of starts of each subtask.
  std::map<std::string, int> m_starts;
  /// \brief Number of ends `done` of each subtask.
  std::map<std::string, int> m_done;
  /// \brief Ends this many runs as failed instead of done.
  int m_failRuns{};
  /// \brief Carries out this many starts and loses the responses to them.
  int m_loseStartResponses{};
  /// \brief Ends the runs of this many starts at once and refuses these starts as repeated ones.
  int m_endBeforeResponse{};
  /// \brief Additional delay of the responses to polls.
  Millis m_pollDelayMs{};
  /// \brief Leaves all requests open and carries out none of them.
  bool m_hold{};
  /// \brief Carries out calls and loses all responses.
  bool m_loseResponses{};
  /// \brief Carries out this many polls and loses the responses to them.
  int m_losePollResponses{};
  /// \brief Computes the response to a poll on its arrival, but holds it until ReleasePolls().
  bool m_holdPollResponses{};
  /// \brief Closes the connections of this many starts, which are carried out after a delay.
  int m_breakStarts{};
  Millis m_brokenStartMs{ 1'000 };
  /// \brief Refuses this many starts with 503 without carrying them out.
  int m_unhealthyStarts{};
  Millis m_maxHoldMs{};                    ///< Longest lease; 0: not limited.
  std::size_t m_maxEndsPerResponse{ 500 }; ///< Largest number of ends in one response.
  Millis m_runMs;                          ///< Duration of a run.
  /// \brief Arrival of each poll and latest start of each subtask, on the steady clock.
  std::vector<Millis> m_pollMs;
  std::map<std::string, Millis> m_startMs;

  /// \brief Responds to the open requests as another process at this address would.
  void RespondToHeldAsOther()
  {
    for (const auto& respond : std::exchange(m_held, {})) {
      respond({ 421, {}, "{}" });
    }
  }

  [[nodiscard]] std::size_t Held() const { return m_held.size(); }

  void ReleasePolls()
  {
    m_holdPollResponses = false;
    for (auto& [respond, response] : std::exchange(m_heldPolls, {})) {
      respond(std::move(response));
    }
  }

  [[nodiscard]] std::size_t HeldPolls() const { return m_heldPolls.size(); }

private:
  using RunKey = std::pair<std::string, std::uint64_t>; ///< Subtask and run.

  struct WaitingPoll
  {
    Millis m_earliestMs{}; ///< Earliest time of a response with ends.
    Millis m_latestMs{};   ///< Time of a response without ends.
    HttpResponder m_respond;
  };

  [[nodiscard]] Millis ClockMs() const { return MonotonicMs() - m_clockBaseMs; }

  void Handle(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    if (m_loseResponses && !m_hold) {
      m_lost.push_back(aRespond);
      CarryOut(aRequest, [](const HttpResponse& /*aAnswer*/) {});
      return;
    }
    if (aRequest.m_path == "/run-start" && m_breakStarts > 0) {
      --m_breakStarts;
      auto timer = std::make_shared<asio::steady_timer>(m_timer.get_executor());
      timer->expires_after(std::chrono::milliseconds{ m_brokenStartMs });
      timer->async_wait([this, timer, request = aRequest](const std::error_code& /*aError*/) {
        CarryOut(request, [](const HttpResponse& /*aAnswer*/) {});
      });
      return; // The responder closes the connection.
    }
    if (aRequest.m_path == "/run-start" && m_unhealthyStarts > 0) {
      --m_unhealthyStarts;
      aRespond({ 503, {}, "{}" });
      return;
    }
    CarryOut(aRequest, aRespond);
  }

  void CarryOut(const HttpRequest& aRequest, const HttpResponder& aRespond)
  {
    if (m_hold) {
      m_held.push_back(aRespond);
      return;
    }
    const auto body = nlohmann::json::parse(aRequest.m_body);
    const std::uint64_t token = body.value("fencing-token", std::uint64_t{ 0 });
    if (token < m_token) {
      Refuse(aRespond, "fence");
      return;
    }
    m_token = token;
    if (body.contains("deadline-ms")) {
      const Millis longest =
        m_maxHoldMs == 0 ? body["deadline-ms"].get<Millis>() : ClockMs() + m_maxHoldMs;
      m_leaseEndMs = std::max(m_leaseEndMs, std::min(body["deadline-ms"].get<Millis>(), longest));
    }
    if (aRequest.m_path == "/run-start") {
      Start(body, aRespond);
    } else if (aRequest.m_path == "/run-stop") {
      End(body.at("task"), body.at("run"), "stopped");
      m_highestRuns[body.at("task")] =
        std::max(m_highestRuns[body.at("task")], body.at("run").get<std::uint64_t>());
      aRespond({ 200, {}, fmt::format(R"({{"clock-ms":{}}})", ClockMs()) });
    } else {
      Acknowledge(body.value("ack-cursor", std::uint64_t{ 0 }));
      const Millis now = MonotonicMs();
      m_pollMs.push_back(now);
      if (m_losePollResponses > 0) {
        --m_losePollResponses;
        m_lost.push_back(aRespond);
        return;
      }
      if (m_holdPollResponses) {
        m_heldPolls.emplace_back(aRespond, Report());
        return;
      }
      m_waiting.push_back({ now + m_pollDelayMs,
                            now + m_pollDelayMs + body.value("wait-ms", Millis{ 0 }), aRespond });
      RespondToPolls();
    }
  }

  void Acknowledge(std::uint64_t aNumber)
  {
    for (auto& one : m_history) {
      if (one.m_incarnation == m_incarnation && one.m_number != 0 && one.m_number <= aNumber) {
        one.m_acknowledged = true;
      }
    }
    std::erase_if(m_ends, [aNumber](const auto& aEnd) {
      return aEnd.at(0).template get<std::uint64_t>() <= aNumber;
    });
  }

  void Start(const nlohmann::json& aBody, const HttpResponder& aRespond)
  {
    const std::string task = aBody.at("task");
    const std::uint64_t run = aBody.at("run");
    if (aBody.at("deadline-ms").get<Millis>() < ClockMs()) {
      Refuse(aRespond, "late");
      return;
    }
    if (run <= m_highestRuns[task]) {
      Refuse(aRespond, "old");
      return;
    }
    if (!m_runs.contains({ task, run })) {
      ++m_starts[task];
      m_startMs[task] = MonotonicMs();
      m_runs[{ task, run }] = MonotonicMs() + m_runMs;
      m_history.push_back({ task, run, MonotonicMs(), 0, {}, 0, false, false, m_incarnation });
    }
    if (m_endBeforeResponse > 0) {
      --m_endBeforeResponse;
      ++m_done[task];
      End(task, run, "done");
      Refuse(aRespond, "old");
      return;
    }
    if (m_loseStartResponses > 0) {
      --m_loseStartResponses;
      m_lost.push_back(aRespond); // Gets no response.
      return;
    }
    aRespond({ 200, {}, fmt::format(R"({{"clock-ms":{}}})", ClockMs()) });
  }

  void Refuse(const HttpResponder& aRespond, const char* aReason) const
  {
    aRespond({ 409, {}, fmt::format(R"({{"clock-ms":{},"reason":"{}"}})", ClockMs(), aReason) });
  }

  void End(const std::string& aTask, std::uint64_t aRun, const char* aHow)
  {
    const auto found = m_runs.find({ aTask, aRun });
    if (found == m_runs.end()) {
      return;
    }
    m_highestRuns[aTask] = std::max(m_highestRuns[aTask], aRun);
    m_ends.push_back(nlohmann::json::array({ ++m_lastEnd, aTask, aRun, aHow, "" }));
    m_runs.erase(found);
    for (auto& one : m_history) {
      if (one.m_task == aTask && one.m_run == aRun && one.m_endMs == 0) {
        one.m_endMs = MonotonicMs();
        one.m_how = aHow;
        one.m_number = m_lastEnd;
      }
    }
  }

  /// \brief Records that the lease of the server has lapsed, with or without runs in progress.
  void NoteLapse()
  {
    for (auto& one : m_history) {
      if (one.m_incarnation == m_incarnation && one.m_endMs != 0 && !one.m_acknowledged) {
        one.m_lapsed = true;
      }
    }
  }

  void Tick()
  {
    const Millis now = MonotonicMs();
    const bool lapsed = ClockMs() >= m_leaseEndMs;
    std::vector<RunKey> over;
    for (const auto& [key, endMs] : m_runs) {
      if (now >= endMs || lapsed) {
        over.push_back(key);
      }
    }
    for (const auto& key : over) {
      if (now < m_runs.at(key)) {
        End(key.first, key.second, "lapsed");
      } else if (m_failRuns > 0) {
        --m_failRuns;
        End(key.first, key.second, "failed");
      } else {
        ++m_done[key.first];
        End(key.first, key.second, "done");
      }
    }
    if (lapsed) {
      NoteLapse();
    }
    RespondToPolls();
    m_timer.expires_after(std::chrono::milliseconds{ 5 });
    m_timer.async_wait([this](const std::error_code& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  [[nodiscard]] HttpResponse Report() const
  {
    nlohmann::json running = nlohmann::json::array();
    for (const auto& [key, endMs] : m_runs) {
      running.push_back({ key.first, key.second, "", 50 });
    }
    const auto count = std::min(m_ends.size(), m_maxEndsPerResponse);
    return { 200,
             {},
             nlohmann::json{
               { "clock-ms", ClockMs() },
               { "born", m_incarnation },
               { "running", running },
               { "finished",
                 std::vector<nlohmann::json>(
                   m_ends.begin(), m_ends.begin() + static_cast<std::ptrdiff_t>(count)) } }
               .dump() };
  }

  void RespondToPolls()
  {
    const Millis now = MonotonicMs();
    std::erase_if(m_waiting, [&](const WaitingPoll& aPoll) {
      if (now < (m_ends.empty() ? aPoll.m_latestMs : aPoll.m_earliestMs)) {
        return false;
      }
      if (m_loseResponses) {
        m_lost.push_back(aPoll.m_respond);
      } else {
        aPoll.m_respond(Report());
      }
      return true;
    });
  }

  Endpoint m_listen;
  std::int64_t m_incarnation = WallMs();
  Millis m_clockBaseMs{}; ///< Time by which the server's clock is behind the steady clock.
  asio::steady_timer m_timer;
  std::unique_ptr<HttpServer> m_server;
  std::uint64_t m_token{};
  Millis m_leaseEndMs{};
  std::map<RunKey, Millis> m_runs; ///< When each run ends by itself.
  std::map<std::string, std::uint64_t> m_highestRuns;
  std::vector<nlohmann::json> m_ends;
  std::uint64_t m_lastEnd{};
  std::vector<WaitingPoll> m_waiting;
  std::vector<HttpResponder> m_held;
  std::vector<HttpResponder> m_lost;
  std::vector<std::pair<HttpResponder, HttpResponse>> m_heldPolls;
};

} // namespace pistachiostand::fleet::standin
