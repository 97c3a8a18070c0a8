#pragma once

#include "Http.h"

#include "pistachiostand/base/Clock.h"
#include "pistachiostand/base/Types.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// \file
/// \brief Stand-ins of minions in one process. They know how long the work of a subtask takes, and
/// whether it belongs to a gang, from the text of its spec, which the stand-in of the client wrote.

namespace review {

using pistachiostand::Millis;
using pistachiostand::MonotonicMs;
using pistachiostand::WallMs;
using Json = nlohmann::json;

/// \brief What a minion has seen of one run.
struct PastRun
{
  std::string m_task;
  std::uint64_t m_run{};
  std::string m_minion;
  std::int64_t m_born{};
  std::string m_spec;
  std::string m_checkpoint;
  std::uint64_t m_token{};
  Millis m_beginMs{};
  Millis m_endMs{}; ///< 0: it runs.
  std::string m_how;
  std::uint64_t m_number{}; ///< Of its end, in its life of the minion.
  bool m_taken{};           ///< Its end was taken note of.
  bool m_lapsed{};          ///< The lease lapsed between its end and that.
};

struct MinionBounds
{
  Millis m_maxHoldMs{ 6'000 };
  Millis m_stopMs{ 200 };
  Millis m_gangTimeoutMs{ 3'000 };
  Millis m_checkpointMs{ 500 };
  Millis m_restoreMs{ 600 };
};

class Minions;

/// \brief One minion: its process may end and start again.
class Minion
{
public:
  struct Active
  {
    std::uint64_t m_run{};
    std::size_t m_past{};   ///< Index of its entry in the history.
    Millis m_workMs{};      ///< Work of the whole subtask.
    Millis m_doneMs{};      ///< Work that is done; negative while a checkpoint is restored.
    std::uint32_t m_gang{}; ///< Members; 0: no gang.
    bool m_saves{};         ///< It checkpoints its progress.
    bool m_lasts{};         ///< It runs until it is stopped.
    bool m_fails{};         ///< It ends as failed.
    std::string m_saved;    ///< Newest checkpoint.
    Millis m_savedMs{};     ///< Work that it stands for.
    Millis m_startedMs{};
    Millis m_stopAtMs{}; ///< When a stop takes effect; 0: none.
    std::int64_t m_cpu{};
  };

  Minion(asio::io_context& aLoop, Minions& aAll, std::string aId, std::string aPool,
         std::uint16_t aPort, std::int64_t aCpu);

  [[nodiscard]] std::string Entry();
  [[nodiscard]] Millis ClockMs() const { return MonotonicMs() - m_clockBaseMs; }

  /// \brief Ends the process: its connections break, and what it ran and knew is gone.
  void Crash();
  /// \brief Starts the process again under the same id.
  void Restart();
  void Tick(Millis aNowMs, Millis aStepMs);
  void End(const std::string& aTask, const std::string& aHow);

  std::string m_id;
  std::string m_pool;
  std::uint16_t m_port{};
  std::int64_t m_cpu{};
  bool m_up{ true };
  bool m_draining{};
  std::int64_t m_born{};
  std::uint64_t m_sequence{};
  std::map<std::string, Active> m_active;

private:
  void Handle(const Request& aRequest, const Responder& aRespond);
  void Start(const Json& aBody, const Responder& aRespond);
  [[nodiscard]] Response Report() const;
  void RespondToPolls(Millis aNowMs);
  [[nodiscard]] Response Refusal(const char* aReason) const;

  struct Waiting
  {
    Millis m_untilMs{};
    Responder m_respond;
  };

  Minions& m_all;
  Millis m_clockBaseMs{};
  std::uint64_t m_token{};
  Millis m_leaseEndMs{};
  std::map<std::string, std::uint64_t> m_highest; ///< Highest run stopped or ended.
  std::vector<Json> m_ends;
  std::uint64_t m_lastEnd{};
  std::vector<Waiting> m_waiting;
  std::unique_ptr<Server> m_server;
};

/// \brief All minions, with the history of their runs.
class Minions
{
public:
  Minions(asio::io_context& aLoop, MinionBounds aBounds)
    : m_bounds(aBounds)
    , m_loop(aLoop)
    , m_timer(aLoop)
    , m_tickedMs(MonotonicMs())
  {
    Tick();
  }

  Minion& Add(const std::string& aId, const std::string& aPool, std::uint16_t aPort,
              std::int64_t aCpu)
  {
    m_minions.push_back(std::make_unique<Minion>(m_loop, *this, aId, aPool, aPort, aCpu));
    return *m_minions.back();
  }

  [[nodiscard]] static std::string GangOf(const std::string& aTask)
  {
    return aTask.substr(0, aTask.rfind('.'));
  }

  /// \brief True when all members of the gang run, with the same run.
  [[nodiscard]] bool IsComplete(const std::string& aTask, const Minion::Active& aActive) const
  {
    std::uint32_t present = 0;
    for (const auto& minion : m_minions) {
      for (const auto& [task, active] : minion->m_active) {
        present +=
          minion->m_up && active.m_run == aActive.m_run && GangOf(task) == GangOf(aTask) ? 1 : 0;
      }
    }
    return present >= aActive.m_gang;
  }

  /// \brief Ends the other members of a gang after one has ended.
  void EndOthers(const std::string& aTask, std::uint64_t aRun, const std::string& aHow)
  {
    for (const auto& minion : m_minions) {
      std::vector<std::string> others;
      for (const auto& [task, active] : minion->m_active) {
        if (minion->m_up && task != aTask && active.m_run == aRun && active.m_gang != 0 &&
            GangOf(task) == GangOf(aTask)) {
          others.push_back(task);
        }
      }
      for (const auto& task : others) {
        minion->End(task, aHow);
      }
    }
  }

  /// \brief Progress of a gang is that of all its members.
  [[nodiscard]] static std::string Checkpoint(const std::string& aTask,
                                              const Minion::Active& aActive)
  {
    const std::string owner = aActive.m_gang != 0 ? GangOf(aTask) : aTask;
    std::uint32_t hash = 2'166'136'261U;
    for (const char each : owner) {
      hash = (hash ^ static_cast<unsigned char>(each)) * 16'777'619U;
    }
    return fmt::format("{:08x}{:08x}", aActive.m_doneMs, hash);
  }

  MinionBounds m_bounds;
  std::vector<std::unique_ptr<Minion>> m_minions;
  std::vector<PastRun> m_history;
  std::function<void(const std::string&)> m_log = [](const std::string&) {};
  /// \brief Whether an order is left without an answer and carried out later, in milliseconds.
  std::function<std::optional<Millis>(const std::string& aPath)> m_late = [](const std::string&) {
    return std::optional<Millis>{};
  };
  asio::io_context& m_loop;

private:
  void Tick()
  {
    const Millis now = MonotonicMs();
    for (const auto& minion : m_minions) {
      minion->Tick(now, now - m_tickedMs);
    }
    m_tickedMs = now;
    m_timer.expires_after(std::chrono::milliseconds{ 5 });
    m_timer.async_wait([this](const std::error_code& aError) {
      if (!aError) {
        Tick();
      }
    });
  }

  asio::steady_timer m_timer;
  Millis m_tickedMs{};
};

inline Minion::Minion(asio::io_context& aLoop, Minions& aAll, std::string aId, std::string aPool,
                      std::uint16_t aPort, std::int64_t aCpu)
  : m_id(std::move(aId))
  , m_pool(std::move(aPool))
  , m_port(aPort)
  , m_cpu(aCpu)
  , m_born(WallMs())
  , m_all(aAll)
  , m_clockBaseMs(MonotonicMs() - 1'000)
{
  m_server = std::make_unique<Server>(
    aLoop, aPort,
    [this](const Request& aRequest, const Responder& aRespond) { Handle(aRequest, aRespond); });
}

inline std::string Minion::Entry()
{
  return Json{
    { "upstream", m_pool },
    { "address", fmt::format("127.0.0.1:{}", m_port) },
    { "zone", "z1" },
    { "version", "v1" },
    { "slots", 8 },
    { "state", m_draining ? "draining" : "ready" },
    { "cold-remaining-ms", 0 },
    { "capacity", { { "cpu", m_cpu }, { "mem-mb", 64'000 }, { "gpu", 0 } } },
    { "labels", { "a", "r1" } },
    { "clock-ms", ClockMs() },
    { "born", m_born },
    { "sequence", ++m_sequence }
  }.dump();
}

inline void Minion::Crash()
{
  m_up = false;
  m_server->Close();
  for (const auto& [task, active] : m_active) {
    m_all.m_history[active.m_past].m_endMs = MonotonicMs();
    m_all.m_history[active.m_past].m_how = "crashed";
  }
  const auto lost = std::exchange(m_active, {});
  m_highest.clear();
  m_ends.clear();
  m_waiting.clear();
  m_lastEnd = 0;
  m_token = 0;
  m_leaseEndMs = 0;
  for (const auto& [task, active] : lost) {
    if (active.m_gang != 0) {
      m_all.EndOthers(task, active.m_run, "broken");
    }
  }
}

inline void Minion::Restart()
{
  m_born = std::max(m_born + 1, WallMs());
  m_clockBaseMs = MonotonicMs();
  m_sequence = 0;
  m_up = true;
  m_server->Open();
}

inline Response Minion::Refusal(const char* aReason) const
{
  return { 409, fmt::format(R"({{"clock-ms":{},"reason":"{}"}})", ClockMs(), aReason) };
}

inline void Minion::Handle(const Request& aRequest, const Responder& aRespond)
{
  const auto expected = aRequest.m_headers.find("expected-instance");
  if (expected != aRequest.m_headers.end() && expected->second != m_id) {
    aRespond({ 421, "{}" });
    return;
  }
  if (const auto late = m_all.m_late(aRequest.m_target)) {
    // It is carried out later, unless the process has ended before.
    auto timer = std::make_shared<asio::steady_timer>(m_all.m_loop);
    timer->expires_after(std::chrono::milliseconds{ *late });
    timer->async_wait([this, timer, aRequest, born = m_born](const std::error_code&) {
      if (m_up && m_born == born) {
        const auto before =
          std::exchange(m_all.m_late, [](const std::string&) { return std::optional<Millis>{}; });
        Handle(aRequest, [](const Response&) {});
        m_all.m_late = before;
      }
    });
    return;
  }
  const Json body = Json::parse(aRequest.m_body);
  const auto token = body.value("fencing-token", std::uint64_t{ 0 });
  if (token < m_token) {
    aRespond(Refusal("fence"));
    return;
  }
  m_token = token;
  if (body.contains("deadline-ms")) {
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(body["deadline-ms"].get<Millis>(),
                                                   ClockMs() + m_all.m_bounds.m_maxHoldMs));
  }
  if (aRequest.m_target == "/run-start") {
    Start(body, aRespond);
  } else if (aRequest.m_target == "/run-stop") {
    const std::string task = body.at("task");
    const auto run = body.at("run").get<std::uint64_t>();
    m_highest[task] = std::max(m_highest[task], run);
    if (const auto found = m_active.find(task);
        found != m_active.end() && found->second.m_run == run) {
      if (found->second.m_stopAtMs == 0) {
        found->second.m_stopAtMs = MonotonicMs() + m_all.m_bounds.m_stopMs / 2;
      }
    }
    aRespond({ 200, fmt::format(R"({{"clock-ms":{}}})", ClockMs()) });
  } else if (aRequest.m_target == "/pace") {
    aRespond({ 200, fmt::format(R"({{"clock-ms":{}}})", ClockMs()) });
  } else {
    const auto cursor = body.value("ack-cursor", std::uint64_t{ 0 });
    for (auto& past : m_all.m_history) {
      if (past.m_minion == m_id && past.m_born == m_born && past.m_number != 0 &&
          past.m_number <= cursor) {
        past.m_taken = true;
      }
    }
    std::erase_if(m_ends,
                  [cursor](const Json& aEnd) { return aEnd.at(0).get<std::uint64_t>() <= cursor; });
    m_waiting.push_back({ MonotonicMs() + body.value("wait-ms", Millis{ 0 }), aRespond });
    RespondToPolls(MonotonicMs());
  }
}

inline void Minion::Start(const Json& aBody, const Responder& aRespond)
{
  const std::string task = aBody.at("task");
  const auto run = aBody.at("run").get<std::uint64_t>();
  const auto found = m_active.find(task);
  if (found != m_active.end() && found->second.m_run == run) {
    aRespond({ 200, fmt::format(R"({{"clock-ms":{}}})", ClockMs()) });
    return;
  }
  if (aBody.at("deadline-ms").get<Millis>() <= ClockMs()) {
    aRespond(Refusal("late"));
    return;
  }
  if (run <= m_highest[task] || (found != m_active.end() && found->second.m_run > run)) {
    aRespond(Refusal("old"));
    return;
  }
  const std::string text = aBody.at("spec");
  const Json spec = Json::parse(text);
  // Steps that are alike are described once.
  const auto& steps = spec.at("steps");
  const auto number = std::stoul(task.substr(task.find('.', task.find('.') + 1) + 1));
  const auto& step = steps.at(std::min<std::size_t>(number, steps.size() - 1));
  std::int64_t used = 0;
  for (const auto& [other, active] : m_active) {
    used += active.m_cpu;
  }
  Active active;
  active.m_cpu = step.at("cpu");
  if (used + active.m_cpu > m_cpu) {
    aRespond(Refusal("room"));
    return;
  }
  active.m_run = run;
  active.m_workMs = step.at("work");
  active.m_gang = step.value("gang", 0U);
  active.m_saves = step.value("saves", false);
  active.m_lasts = step.value("lasts", false);
  active.m_fails = run <= step.value("fails", 0U);
  active.m_startedMs = MonotonicMs();
  active.m_saved = aBody.value("checkpoint", "");
  if (!active.m_saved.empty()) {
    active.m_savedMs = std::stol(active.m_saved.substr(0, 8), nullptr, 16);
    active.m_doneMs = active.m_savedMs - m_all.m_bounds.m_restoreMs;
  }
  active.m_past = m_all.m_history.size();
  m_all.m_history.push_back({ task,
                              run,
                              m_id,
                              m_born,
                              text,
                              active.m_saved,
                              aBody.at("fencing-token").get<std::uint64_t>(),
                              MonotonicMs(),
                              0,
                              {},
                              0,
                              false,
                              false });
  m_all.m_log(
    fmt::format("begin task={} run={} minion={} checkpoint={}", task, run, m_id, active.m_saved));
  m_active.insert_or_assign(task, active);
  aRespond({ 200, fmt::format(R"({{"clock-ms":{}}})", ClockMs()) });
}

inline void Minion::End(const std::string& aTask, const std::string& aHow)
{
  const auto found = m_active.find(aTask);
  if (found == m_active.end()) {
    return;
  }
  Active active = found->second;
  m_active.erase(found);
  if (aHow == "stopped" && active.m_saves && active.m_doneMs > active.m_savedMs) {
    active.m_saved = Minions::Checkpoint(aTask, active);
  }
  m_highest[aTask] = std::max(m_highest[aTask], active.m_run);
  m_ends.push_back(Json::array({ ++m_lastEnd, aTask, active.m_run, aHow, active.m_saved }));
  auto& past = m_all.m_history[active.m_past];
  past.m_endMs = MonotonicMs();
  past.m_how = aHow;
  past.m_number = m_lastEnd;
  m_all.m_log(fmt::format("end   task={} run={} minion={} how={} saved={}", aTask, active.m_run,
                          m_id, aHow, active.m_saved));
  if (active.m_gang != 0) {
    if (aHow == "done") {
      m_all.EndOthers(aTask, active.m_run, "done");
    } else if (aHow != "alone") {
      m_all.EndOthers(aTask, active.m_run, "broken");
    }
  }
}

inline void Minion::Tick(Millis aNowMs, Millis aStepMs)
{
  if (!m_up) {
    return;
  }
  if (ClockMs() >= m_leaseEndMs) {
    std::vector<std::string> lapsed;
    for (const auto& [task, active] : m_active) {
      lapsed.push_back(task);
    }
    for (const auto& task : lapsed) {
      End(task, "lapsed");
    }
    for (auto& past : m_all.m_history) {
      if (past.m_minion == m_id && past.m_born == m_born && past.m_endMs != 0 && !past.m_taken) {
        past.m_lapsed = true;
      }
    }
  }
  std::vector<std::pair<std::string, std::string>> over;
  for (auto& [task, active] : m_active) {
    if (active.m_stopAtMs != 0) {
      if (aNowMs >= active.m_stopAtMs) {
        over.emplace_back(task, "stopped");
      }
      continue;
    }
    if (active.m_gang != 0 && !m_all.IsComplete(task, active)) {
      if (active.m_doneMs <= active.m_savedMs &&
          aNowMs - active.m_startedMs >= m_all.m_bounds.m_gangTimeoutMs) {
        over.emplace_back(task, "alone");
      }
      continue;
    }
    active.m_doneMs += aStepMs;
    if (active.m_saves && active.m_doneMs >= active.m_savedMs + m_all.m_bounds.m_checkpointMs) {
      active.m_savedMs = active.m_doneMs;
      active.m_saved = Minions::Checkpoint(task, active);
    }
    if (!active.m_lasts && active.m_doneMs >= active.m_workMs) {
      over.emplace_back(task, active.m_fails ? "failed" : "done");
    }
  }
  for (const auto& [task, how] : over) {
    End(task, how);
  }
  RespondToPolls(aNowMs);
}

inline Response Minion::Report() const
{
  Json running = Json::array();
  for (const auto& [task, active] : m_active) {
    const auto percent = active.m_lasts
                           ? (active.m_doneMs > 300 ? 100 : 50)
                           : std::clamp<Millis>(100 * active.m_doneMs / active.m_workMs, 0, 99);
    running.push_back({ task, active.m_run, active.m_saved, percent, active.m_cpu });
  }
  const std::size_t count = std::min<std::size_t>(m_ends.size(), 500);
  return { 200, Json{ { "clock-ms", ClockMs() },
                      { "born", m_born },
                      { "running", running },
                      { "finished",
                        std::vector<Json>(m_ends.begin(),
                                          m_ends.begin() + static_cast<std::ptrdiff_t>(count)) } }
                  .dump() };
}

inline void Minion::RespondToPolls(Millis aNowMs)
{
  std::vector<Responder> ready;
  std::erase_if(m_waiting, [&](const Waiting& aWaiting) {
    if (m_ends.empty() && aNowMs < aWaiting.m_untilMs) {
      return false;
    }
    ready.push_back(aWaiting.m_respond);
    return true;
  });
  for (const auto& respond : ready) {
    respond(Report());
  }
}

} // namespace review
