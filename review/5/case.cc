#include "../standin/Deployment.h"

/// \file
/// \brief Two servers fail all that they start, and each of them runs a member of the same gang.

namespace {

using namespace review;

constexpr int kServers = 24;
constexpr int kMembers = 6;
constexpr int kAttempts = 4;
constexpr const char* kJob = "00000000000000d4";
constexpr Millis kFinishMs = 30'000;
/// Duration of `srv_grey` in the site file.
constexpr Millis kGreyMs = 6'500;

/// \brief Number of runs of the gang in which at least one member ended as failed.
std::size_t FailedGangRuns(Deployment& aDeployment)
{
  std::set<std::uint64_t> failed;
  for (const auto& run : aDeployment.Servers().m_history) {
    if (run->m_how == "failed") {
      failed.insert(run->m_run);
    }
  }
  return failed.size();
}

int Play(Deployment& aDeployment)
{
  aDeployment.Publish(
    Deployment::Manifest(3, Json::array({ Deployment::Route("orders", kAttempts) })));
  if (!aDeployment.Start()) {
    return kNotRun;
  }
  // Two of the servers, a share of 0.083.
  const Millis begin = MonotonicMs();
  if (aDeployment.Trouble()) {
    for (const int number : { 0, 1 }) {
      aDeployment.Server(number).m_failsAll = true;
      aDeployment.Log().Line(
        fmt::format("server {} fails all that it starts", aDeployment.Server(number).Id()));
    }
  }
  // One member fits on a server.
  const Json job{ { "spec", fmt::format("work=3000 gang={}", kMembers) },
                  { "steps",
                    { { { "count", kMembers },
                        { "cpu", 9'000 },
                        { "mem-mb", 256 },
                        { "estimated-ms", 3'000 },
                        { "gang", true } } } } };
  if (!aDeployment.Submit("orders", kJob, job, 9'000, 256)) {
    return kNotRun;
  }
  std::string state;
  const Millis end = begin + kFinishMs;
  while (state != "completed" && state != "failed" && MonotonicMs() < end) {
    aDeployment.Run(1'000);
    if (MonotonicMs() - begin > kGreyMs) {
      aDeployment.Server(0).m_failsAll = false;
      aDeployment.Server(1).m_failsAll = false;
    }
    state = aDeployment.State("orders", kJob);
  }
  const auto failedRuns = FailedGangRuns(aDeployment);
  return aDeployment.Finish(
    state == "failed" && failedRuns < static_cast<std::size_t>(kAttempts),
    fmt::format("the job is shown as '{}'; {} runs of its gang have failed, and its queue has "
                "attempts = {}",
                state, failedRuns, kAttempts));
}

} // namespace

int main(int aCount, char** aValues)
{
  const auto arguments = Arguments::Parse(aCount, aValues);
  if (!arguments) {
    return kNotRun;
  }
  Deployment deployment{ *arguments, kServers };
  return Play(deployment);
}
