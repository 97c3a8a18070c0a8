#include "../standin/Deployment.h"

/// \file
/// \brief A route is removed by one manifest and restored by the next one, while a run of an
/// accepted job fails for the first time.

namespace {

using namespace review;

constexpr int kServers = 4;
constexpr int kAttempts = 4;
constexpr const char* kJob = "00000000000000b2";
constexpr Millis kConfigApplyMs = 2'000;
/// Bound `finish_s` of both sites.
constexpr Millis kFinishMs = 14'000;

int Play(Deployment& aDeployment)
{
  const Json orders = Deployment::Route("orders", kAttempts);
  const Json other = Deployment::Route("other", kAttempts);
  aDeployment.Publish(Deployment::Manifest(3, Json::array({ orders, other })));
  if (!aDeployment.Start()) {
    return kNotRun;
  }
  const Json job{
    { "spec", "work=4000 fail-run=1" },
    { "steps", { { { "count", 1 }, { "cpu", 500 }, { "mem-mb", 256 }, { "estimated-ms", 4000 } } } }
  };
  if (!aDeployment.Submit("orders", kJob, job, 500, 256) ||
      !aDeployment.RunUntil([&] { return aDeployment.Starts(kJob) == 1; }, 5'000)) {
    return kNotRun;
  }
  if (aDeployment.Trouble()) {
    aDeployment.Publish(Deployment::Manifest(5, Json::array({ other })));
  }
  if (!aDeployment.RunUntil([&] { return aDeployment.Ends(kJob, "failed") == 1; }, 8'000)) {
    return kNotRun;
  }
  aDeployment.Run(1'000);
  if (aDeployment.Trouble()) {
    aDeployment.Publish(Deployment::Manifest(6, Json::array({ orders, other })));
  }
  aDeployment.Run(kConfigApplyMs + kFinishMs);
  const auto state = aDeployment.State("orders", kJob);
  const auto failed = aDeployment.Ends(kJob, "failed");
  return aDeployment.Finish(
    state != "completed",
    fmt::format("the job is shown as '{}' after {} ends `failed`; its queue has attempts = {} in "
                "every manifest that has the queue",
                state, failed, kAttempts));
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
