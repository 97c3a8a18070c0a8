#include "BackendFaults.h"
#include "Executions.h"
#include "StandinServer.h"

#include <algorithm>
#include <set>

namespace {

using namespace standin;

constexpr auto kUsage = R"(Test stand-in of a backend server.

Usage: backend_standin --listen=IP:PORT [options]

Options:
  --listen=IP:PORT     Address to serve on; port 0 takes a free one.
  --pool=NAME          Pool whose service the server offers [default: spare].
  --boot-id=ID         Boot id until the first reboot [default: boot-0].
  --slots=N            Requests that run at the same time [default: 8].
  --connections=N      Connections that are accepted [default: 64].
  --task-control=KIND  full or none [default: full].
  --run-ms=N           Duration of a request [default: 5].
)";

/// \brief A running request, which occupies a slot.
struct Task
{
  CallPtr m_call;
  std::string m_name; ///< Job key, or request id without a key.
  std::size_t m_execution = 0;
  std::shared_ptr<asio::steady_timer> m_timer;
};

/// \brief State of a job key in the current boot.
struct TaskState
{
  std::string m_attempt;
  std::string m_state; ///< running, completed or stopped
  std::uint64_t m_task = 0;
  std::uint16_t m_status = 0;
  std::string m_body{};
};

/// \brief State that a reboot discards.
struct Boot
{
  std::string m_pool;
  std::string m_bootId;
  Clock::time_point m_start = Clock::now();
  bool m_isLeaving = false;
  std::map<std::uint64_t, Task> m_running{};
  std::map<std::string, TaskState> m_tasks{};                ///< By job key.
  std::set<std::pair<std::string, std::string>> m_stopped{}; ///< Job key and attempt.

  [[nodiscard]] std::int64_t NowMs() const
  {
    return std::chrono::duration_cast<Millis>(Clock::now() - m_start).count();
  }
};

struct Backend
{
  asio::io_context& m_context;
  std::size_t m_slots;
  bool m_hasTaskControl;
  Millis m_runTime;
  Boot m_boot;
  Executions m_executions{};
  BackendFaults m_faults{};
  std::uint64_t m_nextTask = 1;
};

std::string BodyHash(const std::string& aBody)
{
  std::uint64_t hash = 14695981039346656037ULL;
  for (const unsigned char byte : aBody) {
    hash = (hash ^ byte) * 1099511628211ULL;
  }
  return fmt::format("{:016x}", hash);
}

std::string Load(const Backend& aBackend)
{
  return fmt::format("{}/{}", aBackend.m_boot.m_running.size(), aBackend.m_slots);
}

Headers CommonHeaders(const Backend& aBackend, const CallPtr& aCall)
{
  return { { "X-Request-Id", aCall->Header("X-Request-Id") }, { "X-Load", Load(aBackend) } };
}

/// \brief Returns the reason to refuse a run before its start, or an empty text.
std::string Refusal(const Backend& aBackend, const CallPtr& aCall)
{
  const auto& boot = aBackend.m_boot;
  const auto differs = [&aCall](const char* aName, const std::string& aOwn) {
    return aCall->Has(aName) && aCall->Header(aName) != aOwn;
  };
  if (aBackend.m_hasTaskControl) {
    if (differs("X-Pool", boot.m_pool) || differs("X-Boot-Id", boot.m_bootId)) {
      return "stale";
    }
    if (aCall->Has("X-Start-Before-Ms") &&
        boot.NowMs() >= std::stoll(aCall->Header("X-Start-Before-Ms"))) {
      return "late";
    }
    if (boot.m_stopped.contains({ aCall->Header("X-Job-Key"), aCall->Header("X-Attempt") })) {
      return "stopped";
    }
  }
  if (boot.m_isLeaving) {
    return "leaving";
  }
  return boot.m_running.size() >= aBackend.m_slots ? "full" : "";
}

void Refuse(Backend& aBackend, const CallPtr& aCall, const std::string& aReason)
{
  auto headers = CommonHeaders(aBackend, aCall);
  headers.emplace_back("X-Not-Run", aReason);
  const bool isTemporary = aReason == "full" || aReason == "leaving";
  Send(aCall, JsonReply({ { "not_run", aReason } }, isTemporary ? 503 : 409, headers));
}

Json ResultBody(const Backend& aBackend, const CallPtr& aCall)
{
  return { { "request_id", aCall->Header("X-Request-Id") },
           { "tenant", aCall->Header("X-Tenant") },
           { "service", aCall->m_path[1] },
           { "pool", aBackend.m_boot.m_pool },
           { "boot_id", aBackend.m_boot.m_bootId },
           { "job_key", aCall->Header("X-Job-Key") },
           { "body_hash", BodyHash(aCall->Body()) },
           { "body", aCall->Body() } };
}

/// \brief Frees the slot and records the end; returns nothing if the task has already ended.
std::optional<Task> EndTask(Backend& aBackend, std::uint64_t aTask, const std::string& aEnd)
{
  auto node = aBackend.m_boot.m_running.extract(aTask);
  if (node.empty()) {
    return std::nullopt;
  }
  aBackend.m_executions.End(node.mapped().m_name, node.mapped().m_execution, aEnd);
  if (node.mapped().m_timer) {
    node.mapped().m_timer->cancel();
  }
  return std::move(node.mapped());
}

void FinishTask(Backend& aBackend, std::uint64_t aTask, bool aFails)
{
  const auto task = EndTask(aBackend, aTask, aFails ? "failed" : "finished");
  if (!task) {
    return;
  }
  const auto body =
    aFails
      ? Json{ { "error", "the task failed" } }.dump()
      : ResultBody(aBackend, task->m_call).dump(-1, ' ', false, Json::error_handler_t::replace);
  const Reply reply{ static_cast<std::uint16_t>(aFails ? 500 : 200), body,
                     CommonHeaders(aBackend, task->m_call) };
  if (task->m_call->Has("X-Job-Key")) {
    auto& state = aBackend.m_boot.m_tasks[task->m_name];
    if (state.m_task == aTask) {
      state.m_state = "completed";
      state.m_status = reply.m_status;
      state.m_body = reply.m_body;
    }
  }
  aBackend.m_faults.Deliver(task->m_call, reply);
}

std::uint64_t RecordStart(Backend& aBackend, const CallPtr& aCall)
{
  const bool hasKey = aCall->Has("X-Job-Key");
  const auto requestId = aCall->Header("X-Request-Id");
  const auto attempt = aCall->Header("X-Attempt");
  const auto name = hasKey ? aCall->Header("X-Job-Key") : requestId;
  auto& boot = aBackend.m_boot;
  const auto execution =
    aBackend.m_executions.Start(name, { attempt, requestId, boot.m_pool, boot.m_bootId });
  const auto id = aBackend.m_nextTask++;
  boot.m_running[id] = { aCall, name, execution, nullptr };
  if (hasKey) {
    boot.m_tasks[name] = { attempt, "running", id };
  }
  return id;
}

void HandleRun(Backend& aBackend, const CallPtr& aCall)
{
  if (const auto reason = Refusal(aBackend, aCall); !reason.empty()) {
    return Refuse(aBackend, aCall, reason);
  }
  const auto task = RecordStart(aBackend, aCall);
  if (aBackend.m_faults.m_failFast) {
    return FinishTask(aBackend, task, true);
  }
  if (aCall->Has("X-Test-Held")) {
    return; // Runs until the control "release".
  }
  const auto duration = aCall->Has("X-Test-Run-Ms")
                          ? Millis(std::stoll(aCall->Header("X-Test-Run-Ms")))
                          : aBackend.m_runTime;
  aBackend.m_boot.m_running[task].m_timer =
    After(aBackend.m_context, duration + aBackend.m_faults.m_delay,
          [&aBackend, task] { FinishTask(aBackend, task, false); });
}

Json StateJson(const TaskState& aState)
{
  Json out = { { "state", aState.m_state }, { "attempt", aState.m_attempt } };
  if (aState.m_state == "completed") {
    out["status"] = aState.m_status;
    out["body"] = aState.m_body;
  }
  return out;
}

Json StopTask(Backend& aBackend, const std::string& aKey, const std::string& aAttempt)
{
  auto& boot = aBackend.m_boot;
  boot.m_stopped.emplace(aKey, aAttempt);
  const auto found = boot.m_tasks.find(aKey);
  if (found == boot.m_tasks.end() || found->second.m_attempt != aAttempt) {
    return { { "state", "never-started" } };
  }
  if (const auto task = EndTask(aBackend, found->second.m_task, "stopped")) {
    found->second.m_state = "stopped";
    Send(task->m_call, JsonReply({ { "error", "the task was stopped" } }, 500,
                                 CommonHeaders(aBackend, task->m_call)));
  }
  return StateJson(found->second);
}

/// \brief Doubles the time that a running task still needs.
void ThrottleTask(Backend& aBackend, std::uint64_t aTask)
{
  const auto& timer = aBackend.m_boot.m_running.at(aTask).m_timer;
  if (!timer) {
    return; // A held run has no end time to postpone.
  }
  timer->expires_after(2 * (timer->expiry() - Clock::now()));
  timer->async_wait([&aBackend, aTask, timer](const asio::error_code& aError) {
    if (!aError) {
      FinishTask(aBackend, aTask, false);
    }
  });
}

void HandleTaskOrder(Backend& aBackend, const CallPtr& aCall)
{
  const auto& key = aCall->m_path[1];
  const auto& order = aCall->m_path[2];
  if (!aBackend.m_hasTaskControl) {
    return Send(aCall, ErrorReply(501, "this server has no task control"));
  }
  if (order == "stop") {
    Json reply = StopTask(aBackend, key, aCall->Query("attempt"));
    reply["boot_id"] = aBackend.m_boot.m_bootId;
    return Send(aCall, JsonReply(reply));
  }
  const auto found = aBackend.m_boot.m_tasks.find(key);
  if (found == aBackend.m_boot.m_tasks.end() || found->second.m_state != "running") {
    return Send(aCall, ErrorReply(404, "the task is not running"));
  }
  if (order == "throttle") {
    ThrottleTask(aBackend, found->second.m_task);
  } else if (order != "checkpoint") {
    return Send(aCall, ErrorReply(404, "unknown order"));
  }
  Send(aCall, JsonReply({ { "state", order == "throttle" ? "throttled" : "checkpointed" } }));
}

void HandleTaskStatus(Backend& aBackend, const CallPtr& aCall)
{
  const auto found = aBackend.m_boot.m_tasks.find(aCall->m_path[1]);
  if (found == aBackend.m_boot.m_tasks.end()) {
    return Send(aCall, JsonReply({ { "state", "never-started" } }, 404));
  }
  Send(aCall, JsonReply(StateJson(found->second)));
}

Json Status(const Backend& aBackend)
{
  const auto& boot = aBackend.m_boot;
  return { { "pool", boot.m_pool },         { "boot_id", boot.m_bootId },
           { "slots", aBackend.m_slots },   { "used", boot.m_running.size() },
           { "leaving", boot.m_isLeaving }, { "now_ms", boot.NowMs() } };
}

void HandleService(Backend& aBackend, const CallPtr& aCall)
{
  if (aBackend.m_faults.Intercept(aCall)) {
    return;
  }
  const auto& path = aCall->m_path;
  const auto first = path.empty() ? std::string{} : path[0];
  if (aCall->IsPost() && first == "run" && path.size() == 2) {
    HandleRun(aBackend, aCall);
  } else if (aCall->IsPost() && first == "tasks" && path.size() == 3) {
    HandleTaskOrder(aBackend, aCall);
  } else if (!aCall->IsPost() && first == "tasks" && path.size() == 2) {
    HandleTaskStatus(aBackend, aCall);
  } else if (!aCall->IsPost() && first == "status" && path.size() == 1) {
    Send(aCall, JsonReply(Status(aBackend)));
  } else {
    Send(aCall, ErrorReply(404, "unknown path"));
  }
}

void Reboot(Backend& aBackend, const std::string& aBootId, const std::string& aPool)
{
  while (!aBackend.m_boot.m_running.empty()) {
    const auto id = aBackend.m_boot.m_running.begin()->first;
    if (const auto task = EndTask(aBackend, id, "rebooted")) {
      CloseWithoutResponse(task->m_call);
    }
  }
  aBackend.m_faults.ForgetCrossed();
  const auto pool = aPool.empty() ? aBackend.m_boot.m_pool : aPool;
  aBackend.m_boot = { pool, aBootId };
}

/// \brief Ends the runs that were sent with X-Test-Held.
void ReleaseHeld(Backend& aBackend)
{
  std::vector<std::uint64_t> held;
  for (const auto& [id, task] : aBackend.m_boot.m_running) {
    if (task.m_call->Has("X-Test-Held")) {
      held.push_back(id);
    }
  }
  std::ranges::for_each(held, [&](auto aTask) { FinishTask(aBackend, aTask, false); });
}

void HandleControl(Backend& aBackend, const CallPtr& aCall)
{
  const auto name = aCall->m_path.size() == 2 ? aCall->m_path[1] : std::string{};
  if (name == "executions") {
    return Send(aCall, JsonReply(aBackend.m_executions.ToJson()));
  }
  if (name == "boot") {
    Reboot(aBackend, aCall->Query("boot_id"), aCall->Query("pool"));
  } else if (name == "release") {
    ReleaseHeld(aBackend);
  } else if (name == "leaving") {
    aBackend.m_boot.m_isLeaving = aCall->Query("on", "1") == "1";
  } else if (!aBackend.m_faults.Control(name, aCall)) {
    return Send(aCall, ErrorReply(404, "unknown control"));
  }
  Send(aCall, JsonReply({ { "ok", true } }));
}

int Run(std::map<std::string, docopt::value>& aOptions)
{
  const auto control = aOptions["--task-control"].asString();
  if (control != "full" && control != "none") {
    throw std::invalid_argument("--task-control takes full or none");
  }
  asio::io_context context;
  Backend backend{ context,
                   static_cast<std::size_t>(aOptions["--slots"].asLong()),
                   control == "full",
                   Millis(aOptions["--run-ms"].asLong()),
                   { aOptions["--pool"].asString(), aOptions["--boot-id"].asString() } };
  const auto connections = static_cast<std::size_t>(aOptions["--connections"].asLong());
  return Serve(context, aOptions["--listen"].asString(), connections,
               [&backend](const CallPtr& aCall) {
                 const bool isControl = !aCall->m_path.empty() && aCall->m_path[0] == "control";
                 isControl ? HandleControl(backend, aCall) : HandleService(backend, aCall);
               });
}

} // namespace

int main(int aCount, char** aArguments)
{
  try {
    auto options = docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount });
    return Run(options);
  } catch (const std::exception& error) {
    std::cerr << "backend_standin: " << error.what() << '\n';
    return 1;
  }
}
