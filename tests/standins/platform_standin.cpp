#include "InstanceList.h"
#include "LogStore.h"
#include "PlatformFaults.h"
#include "StandinServer.h"

#include <fstream>

namespace {

using namespace standin;

constexpr auto kUsage = R"(Test stand-in of the platform: log, instance list, drains and reboots.

Usage: platform_standin --listen=IP:PORT [options]

Options:
  --listen=IP:PORT     Address to serve on; port 0 takes a free one.
  --fleet=FILE         JSON list of instances.
  --retain=N           Records that the log keeps [default: 1000000].
  --appends-per-s=N    Append requests accepted in one second [default: 400].
  --list-lag-ms=N      Age of the instance list that is served [default: 0].
  --reboot-ms=N        Duration of a reboot [default: 200].
)";

struct Reboots
{
  std::map<std::string, Json> m_operations; ///< By operation id.
  std::map<std::string, int> m_started;     ///< By instance.
  std::map<std::string, int> m_boots;       ///< By instance.
};

struct Platform
{
  asio::io_context& m_context;
  LogStore m_log;
  InstanceList m_instances;
  PlatformFaults m_faults;
  Reboots m_reboots;
  Millis m_rebootTime;
};

void Respond(Platform& aPlatform, const CallPtr& aCall, const Reply& aReply)
{
  const auto deliver = [&aPlatform, aCall, aReply] {
    if (!aPlatform.m_faults.Intercept(aCall)) {
      Send(aCall, aReply);
    }
  };
  if (aPlatform.m_faults.m_delay.count() > 0) {
    After(aPlatform.m_context, aPlatform.m_faults.m_delay, deliver);
  } else {
    deliver();
  }
}

void RespondToWaitingReads(Platform& aPlatform)
{
  for (const auto& read : aPlatform.m_log.TakeWaiting()) {
    Respond(aPlatform, read.m_call, JsonReply(aPlatform.m_log.Read(read.m_from, read.m_max)));
  }
}

void HandleAppend(Platform& aPlatform, const CallPtr& aCall)
{
  const auto records = Json::parse(aCall->Body()).at("records").get<std::vector<std::string>>();
  if (records.empty()) {
    return Send(aCall, ErrorReply(400, "no records"));
  }
  if (!aPlatform.m_log.TakeAppendSlot()) {
    return Respond(aPlatform, aCall, ErrorReply(429, "too many appends"));
  }
  const auto first = aPlatform.m_log.Append(records);
  if (aPlatform.m_faults.m_loseAppends > 0) {
    --aPlatform.m_faults.m_loseAppends;
    CloseWithoutResponse(aCall);
  } else {
    Respond(aPlatform, aCall, JsonReply({ { "first", first } }));
  }
  RespondToWaitingReads(aPlatform);
}

void HandleRead(Platform& aPlatform, const CallPtr& aCall)
{
  const auto from = static_cast<std::uint64_t>(aCall->Number("from", 0));
  const auto max = static_cast<std::size_t>(aCall->Number("max", 1'000));
  const Millis wait(aCall->Number("wait_ms", 0));
  auto& log = aPlatform.m_log;
  ++log.m_reads;
  if (from < log.Next() || wait.count() <= 0) {
    return Respond(aPlatform, aCall, JsonReply(log.Read(from, max)));
  }
  log.m_waiting.push_back({ aCall, from, max });
  After(aPlatform.m_context, wait, [&aPlatform, aCall] {
    if (const auto read = aPlatform.m_log.TakeWaiting(aCall)) {
      Respond(aPlatform, aCall, JsonReply(aPlatform.m_log.Read(read->m_from, read->m_max)));
    }
  });
}

void HandleDrain(Platform& aPlatform, const CallPtr& aCall, const std::string& aId)
{
  if (!aPlatform.m_instances.Find(aId)) {
    return Respond(aPlatform, aCall, ErrorReply(404, "unknown instance"));
  }
  const auto operation = "drain " + aCall->Query("op");
  auto& operations = aPlatform.m_reboots.m_operations;
  if (!operations.contains(operation)) {
    operations[operation] = { { "state", "leaving" } };
    aPlatform.m_instances.Update(aId, { { "state", "leaving" } });
  }
  Respond(aPlatform, aCall, JsonReply(operations[operation]));
}

/// \brief An ordered reboot that has not ended.
struct RebootOrder
{
  std::string m_instance;
  std::string m_operation; ///< Operation id from the caller.
  std::string m_pool;
  std::string m_bootId;
};

/// \brief Returns a key that distinguishes a reboot from a drain with the same operation id.
std::string RebootKey(const std::string& aOperation)
{
  return "reboot " + aOperation;
}

void FinishReboot(Platform& aPlatform, const RebootOrder& aOrder)
{
  const auto instance = aPlatform.m_instances.Find(aOrder.m_instance);
  if (!instance) {
    return;
  }
  const auto target = "/control/boot?boot_id=" + aOrder.m_bootId + "&pool=" + aOrder.m_pool;
  PostWithoutBody(aPlatform.m_context, instance->at("address").get<std::string>(), target,
                  [&aPlatform, aOrder](bool aDone) {
                    if (!aDone) {
                      // A server that is down now is booted as soon as it can be reached.
                      constexpr Millis kRetry{ 200 };
                      After(aPlatform.m_context, kRetry,
                            [&aPlatform, aOrder] { FinishReboot(aPlatform, aOrder); });
                      return;
                    }
                    aPlatform.m_reboots.m_operations[RebootKey(aOrder.m_operation)] = {
                      { "state", "done" }, { "boot_id", aOrder.m_bootId }
                    };
                    aPlatform.m_instances.Update(aOrder.m_instance,
                                                 { { "state", "live" },
                                                   { "pool", aOrder.m_pool },
                                                   { "boot_id", aOrder.m_bootId },
                                                   { "boot_op", aOrder.m_operation } });
                  });
}

void StartReboot(Platform& aPlatform, const CallPtr& aCall, const Json& aInstance)
{
  const auto id = aInstance.at("id").get<std::string>();
  auto& reboots = aPlatform.m_reboots;
  ++reboots.m_started[id];
  const RebootOrder order{ id, aCall->Query("op"),
                           aCall->Query("pool", aInstance.value("pool", "")),
                           id + "-boot-" + std::to_string(++reboots.m_boots[id]) };
  reboots.m_operations[RebootKey(order.m_operation)] = { { "state", "rebooting" } };
  aPlatform.m_instances.Update(id, { { "state", "leaving" } });
  After(aPlatform.m_context, aPlatform.m_rebootTime,
        [&aPlatform, order] { FinishReboot(aPlatform, order); });
}

void HandleReboot(Platform& aPlatform, const CallPtr& aCall, const std::string& aId)
{
  const auto instance = aPlatform.m_instances.Find(aId);
  if (!instance) {
    return Respond(aPlatform, aCall, ErrorReply(404, "unknown instance"));
  }
  const auto operation = RebootKey(aCall->Query("op"));
  if (!aPlatform.m_reboots.m_operations.contains(operation)) {
    StartReboot(aPlatform, aCall, *instance);
  }
  if (aPlatform.m_faults.m_loseReboots > 0) {
    --aPlatform.m_faults.m_loseReboots;
    return CloseWithoutResponse(aCall);
  }
  Respond(aPlatform, aCall, JsonReply(aPlatform.m_reboots.m_operations[operation]));
}

void HandleService(Platform& aPlatform, const CallPtr& aCall)
{
  if (aPlatform.m_faults.Intercept(aCall)) {
    return;
  }
  const auto& path = aCall->m_path;
  const bool isPost = aCall->IsPost();
  if (isPost && path == std::vector<std::string>{ "log", "append" }) {
    return HandleAppend(aPlatform, aCall);
  }
  if (!isPost && path == std::vector<std::string>{ "log", "read" }) {
    return HandleRead(aPlatform, aCall);
  }
  if (!isPost && path == std::vector<std::string>{ "instances" }) {
    return Respond(aPlatform, aCall, JsonReply(aPlatform.m_instances.Visible()));
  }
  if (isPost && path.size() == 3 && path[0] == "instances" && path[2] == "drain") {
    return HandleDrain(aPlatform, aCall, path[1]);
  }
  if (isPost && path.size() == 3 && path[0] == "instances" && path[2] == "reboot") {
    return HandleReboot(aPlatform, aCall, path[1]);
  }
  Respond(aPlatform, aCall, ErrorReply(404, "unknown path"));
}

Json Stats(const Platform& aPlatform)
{
  const auto& log = aPlatform.m_log;
  return { { "appends", log.m_appends }, { "throttled", log.m_throttled },
           { "reads", log.m_reads },     { "records", log.Next() },
           { "oldest", log.Oldest() },   { "reboots", aPlatform.m_reboots.m_started } };
}

void HandleControl(Platform& aPlatform, const CallPtr& aCall)
{
  const auto name = aCall->m_path.size() == 2 ? aCall->m_path[1] : std::string{};
  if (name == "stats") {
    return Send(aCall, JsonReply(Stats(aPlatform)));
  }
  if (name == "instances" && aCall->IsPost()) {
    aPlatform.m_instances.Add(Json::parse(aCall->Body()));
  } else if (name == "remove") {
    aPlatform.m_instances.Remove(aCall->Query("instance"));
  } else if (name == "expire") {
    aPlatform.m_log.Expire(static_cast<std::uint64_t>(aCall->Number("before", 0)));
  } else if (!aPlatform.m_faults.Control(aPlatform.m_context, name, aCall)) {
    return Send(aCall, ErrorReply(404, "unknown control"));
  }
  Send(aCall, JsonReply({ { "ok", true } }));
}

void LoadFleet(Platform& aPlatform, const std::string& aFile)
{
  std::ifstream input(aFile);
  if (!input) {
    throw std::invalid_argument("fleet file '" + aFile + "' cannot be read");
  }
  aPlatform.m_instances.Add(Json::parse(input));
}

int Run(std::map<std::string, docopt::value>& aOptions)
{
  asio::io_context context;
  Platform platform{ context, {}, {}, {}, {}, Millis(aOptions["--reboot-ms"].asLong()) };
  platform.m_log.m_retain = static_cast<std::size_t>(aOptions["--retain"].asLong());
  platform.m_log.m_appendsPerSecond =
    static_cast<std::size_t>(aOptions["--appends-per-s"].asLong());
  platform.m_instances.m_lag = Millis(aOptions["--list-lag-ms"].asLong());
  if (aOptions["--fleet"]) {
    LoadFleet(platform, aOptions["--fleet"].asString());
    platform.m_instances.ShowAtOnce();
  }
  constexpr std::size_t kConnections = 4'096;
  return Serve(context, aOptions["--listen"].asString(), kConnections,
               [&platform](const CallPtr& aCall) {
                 const bool isControl = !aCall->m_path.empty() && aCall->m_path[0] == "control";
                 isControl ? HandleControl(platform, aCall) : HandleService(platform, aCall);
               });
}

} // namespace

int main(int aCount, char** aArguments)
{
  try {
    auto options = docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount });
    return Run(options);
  } catch (const std::exception& error) {
    std::cerr << "platform_standin: " << error.what() << '\n';
    return 1;
  }
}
