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
/// \brief Stand-in for a backend server of the prepared platform: runs, leases, stops and ends.

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

  /// \brief The registration that the server writes into the store, by default of its first life.
  [[nodiscard]] std::string Entry(const std::string& aPool, int aLife = 0)
  {
    m_born += aLife;
    return nlohmann::json{
      { "upstream", aPool },
      { "address", pistachiostand::ToString(m_listen) },
      { "zone", "z1" },
      { "state", "ready" },
      { "capacity", { { "cpu", 8'000 }, { "mem-mb", 16'000 } } },
      { "labels", { "a", "r1" } },
      { "clock-ms", MonotonicMs() },
      { "born", m_born },
      { "sequence", 1 }
    }.dump();
  }

  [[nodiscard]] std::size_t Running() const { return m_runs.size(); }

  /// \brief Starts of each subtask.
  std::map<std::string, int> m_starts;
  /// \brief Ends `done` of each subtask.
  std::map<std::string, int> m_done;
  /// \brief Loses the answers to this many starts, which are carried out.
  int m_loseStartAnswers{};
  /// \brief Answers this many starts, whose runs have ended at once, as a repeat of the start.
  int m_endBeforeAnswer{};
  /// \brief Answers looks this much later than it could.
  Millis m_lookDelayMs{};
  /// \brief Leaves all requests open, and carries none out.
  bool m_hold{};
  Millis m_runMs; ///< Duration of a run.
  /// \brief When each look arrived, and each subtask was started last, on the steady clock.
  std::vector<Millis> m_lookMs;
  std::map<std::string, Millis> m_startMs;

  /// \brief Answers the requests that were left open as another process at this address would.
  void AnswerHeldAsOther()
  {
    for (const auto& respond : std::exchange(m_held, {})) {
      respond({ 421, {}, "{}" });
    }
  }

  [[nodiscard]] std::size_t Held() const { return m_held.size(); }

private:
  struct RunState
  {
    std::uint64_t m_run{};
    Millis m_endMs{};
  };

  struct WaitingLook
  {
    Millis m_earliestMs{}; ///< When it may be answered with ends,
    Millis m_latestMs{};   ///< and when without.
    HttpResponder m_respond;
  };

  void Handle(const HttpRequest& aRequest, const HttpResponder& aRespond)
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
      m_leaseEndMs = std::max(m_leaseEndMs, body["deadline-ms"].get<Millis>());
    }
    if (aRequest.m_path == "/run-start") {
      Start(body, aRespond);
    } else if (aRequest.m_path == "/run-stop") {
      End(body.at("task"), body.at("run"), "stopped");
      m_highest[body.at("task")] =
        std::max(m_highest[body.at("task")], body.at("run").get<std::uint64_t>());
      aRespond({ 200, {}, fmt::format(R"({{"clock-ms":{}}})", MonotonicMs()) });
    } else {
      std::erase_if(m_ends, [&body](const auto& aEnd) {
        return aEnd.at(0).template get<std::uint64_t>() <=
               body.value("ack-cursor", std::uint64_t{ 0 });
      });
      const Millis now = MonotonicMs();
      m_lookMs.push_back(now);
      m_waiting.push_back({ now + m_lookDelayMs,
                            now + m_lookDelayMs + body.value("wait-ms", Millis{ 0 }), aRespond });
      AnswerLooks();
    }
  }

  void Start(const nlohmann::json& aBody, const HttpResponder& aRespond)
  {
    const std::string task = aBody.at("task");
    const std::uint64_t run = aBody.at("run");
    if (aBody.at("deadline-ms").get<Millis>() < MonotonicMs()) {
      Refuse(aRespond, "late");
      return;
    }
    if (run <= m_highest[task]) {
      Refuse(aRespond, "old");
      return;
    }
    if (!m_runs.contains(task)) {
      ++m_starts[task];
      m_startMs[task] = MonotonicMs();
      m_runs[task] = { run, MonotonicMs() + m_runMs };
    }
    if (m_endBeforeAnswer > 0) {
      --m_endBeforeAnswer;
      ++m_done[task];
      End(task, run, "done");
      Refuse(aRespond, "old");
      return;
    }
    if (m_loseStartAnswers > 0) {
      --m_loseStartAnswers;
      m_lost.push_back(aRespond); // Never answered.
      return;
    }
    aRespond({ 200, {}, fmt::format(R"({{"clock-ms":{}}})", MonotonicMs()) });
  }

  static void Refuse(const HttpResponder& aRespond, const char* aReason)
  {
    aRespond(
      { 409, {}, fmt::format(R"({{"clock-ms":{},"reason":"{}"}})", MonotonicMs(), aReason) });
  }

  void End(const std::string& aTask, std::uint64_t aRun, const char* aHow)
  {
    const auto found = m_runs.find(aTask);
    if (found == m_runs.end() || found->second.m_run > aRun) {
      return;
    }
    m_highest[aTask] = std::max(m_highest[aTask], found->second.m_run);
    m_ends.push_back(nlohmann::json::array({ ++m_lastEnd, aTask, found->second.m_run, aHow, "" }));
    m_runs.erase(found);
  }

  void Tick()
  {
    const Millis now = MonotonicMs();
    std::vector<std::string> tasks;
    for (const auto& [task, run] : m_runs) {
      if (now >= run.m_endMs || now >= m_leaseEndMs) {
        tasks.push_back(task);
      }
    }
    for (const auto& task : tasks) {
      const bool done = now >= m_runs.at(task).m_endMs;
      m_done[task] += done ? 1 : 0;
      End(task, m_runs.at(task).m_run, done ? "done" : "lapsed");
    }
    AnswerLooks();
    m_timer.expires_after(std::chrono::milliseconds{ 5 });
    m_timer.async_wait([this](const std::error_code& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  void AnswerLooks()
  {
    const Millis now = MonotonicMs();
    std::erase_if(m_waiting, [&](const WaitingLook& aLook) {
      if (now < (m_ends.empty() ? aLook.m_latestMs : aLook.m_earliestMs)) {
        return false;
      }
      nlohmann::json running = nlohmann::json::array();
      for (const auto& [task, run] : m_runs) {
        running.push_back({ task, run.m_run, "", 50 });
      }
      aLook.m_respond({ 200,
                        {},
                        nlohmann::json{ { "clock-ms", now },
                                        { "born", m_born },
                                        { "running", running },
                                        { "finished", m_ends } }
                          .dump() });
      return true;
    });
  }

  Endpoint m_listen;
  std::int64_t m_born = WallMs();
  asio::steady_timer m_timer;
  std::unique_ptr<HttpServer> m_server;
  std::uint64_t m_token{};
  Millis m_leaseEndMs{};
  std::map<std::string, RunState> m_runs;
  std::map<std::string, std::uint64_t> m_highest;
  std::vector<nlohmann::json> m_ends;
  std::uint64_t m_lastEnd{};
  std::vector<WaitingLook> m_waiting;
  std::vector<HttpResponder> m_held;
  std::vector<HttpResponder> m_lost;
};

} // namespace pistachiostand::fleet::standin
