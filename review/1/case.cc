#include "../standin/Deployment.h"

/// \file
/// \brief One wide job among ordinary ones: the record of its progress exceeds the limit of the
/// store, and the owner of the fleet repeats that append forever.

namespace {

using namespace review;

constexpr int kServers = 16;
constexpr int kWideSubtasks = 9'000;
constexpr int kJobs = 12;
/// Bound `finish_s` of both sites.
constexpr Millis kFinishMs = 14'000;

std::string JobId(int aNumber)
{
  return fmt::format("{:016x}", 0xa000 + aNumber);
}

int Play(Deployment& aDeployment)
{
  aDeployment.Publish(Deployment::Manifest(3, Json::array({ Deployment::Route("orders", 4) })));
  if (!aDeployment.Start()) {
    return kNotRun;
  }
  const Json ordinary{
    { "spec", "work=500" },
    { "steps", { { { "count", 4 }, { "cpu", 500 }, { "mem-mb", 256 }, { "estimated-ms", 500 } } } }
  };
  const Json wide{
    { "spec", "work=500" },
    { "steps",
      { { { "count", kWideSubtasks }, { "cpu", 20 }, { "mem-mb", 16 }, { "estimated-ms", 500 } } } }
  };
  for (int number = 0; number < kJobs; ++number) {
    if (number == kJobs / 3 && aDeployment.Trouble()) {
      if (!aDeployment.Submit("orders", "00000000000000ff", wide, 20, 16)) {
        return aDeployment.Finish(false, "the wide job was not accepted");
      }
    }
    if (!aDeployment.Submit("orders", JobId(number), ordinary, 500, 256)) {
      return aDeployment.Finish(false, "an ordinary job was not accepted");
    }
    aDeployment.Run(500);
  }
  aDeployment.Log().Line("end of the traffic");
  aDeployment.Run(kFinishMs);
  int unfinished = 0;
  std::size_t neverStarted = 0;
  for (int number = 0; number < kJobs; ++number) {
    unfinished += aDeployment.State("orders", JobId(number)) == "completed" ? 0 : 1;
    neverStarted += aDeployment.Starts(JobId(number)) == 0 ? 1 : 0;
  }
  return aDeployment.Finish(
    unfinished != 0,
    fmt::format("{} of {} accepted ordinary jobs are not completed {} s after the traffic, {} of "
                "them were never started; starts of the wide job: {}",
                unfinished, kJobs, kFinishMs / 1'000, neverStarted,
                aDeployment.Starts("00000000000000ff")));
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
