#include "../standin/Deployment.h"

/// \file
/// \brief Several jobs come at once on a queue with advice, and each call for advice takes longer
/// than the owner allows for the calls that wait before it.

namespace {

using namespace review;

constexpr int kServers = 16;
constexpr int kJobs = 8;
constexpr Millis kBurstGapMs = 15;
/// Bound `finish_s` of the site, and the time that the service needs for one call on each job.
constexpr Millis kFinishMs = 14'000;
constexpr Millis kCallMs = AdviceService::kDecisionMs + kServers * AdviceService::kPerWorkerMs;

std::string JobId(int aNumber)
{
  return fmt::format("{:016x}", 0xf000 + aNumber);
}

int Play(Deployment& aDeployment)
{
  Json route = Deployment::Route("orders", 4);
  route["advice"] = { { "decision-ms", AdviceService::kDecisionMs },
                      { "per-worker-ms", AdviceService::kPerWorkerMs },
                      { "valid-ms", AdviceService::kValidMs } };
  aDeployment.Publish(Deployment::Manifest(3, Json::array({ route })));
  aDeployment.Servers().m_needsTicket = true;
  if (!aDeployment.Start()) {
    return kNotRun;
  }
  const Json job{
    { "spec", "work=500" },
    { "steps", { { { "count", 4 }, { "cpu", 500 }, { "mem-mb", 256 }, { "estimated-ms", 500 } } } }
  };
  for (int number = 0; number < kJobs; ++number) {
    if (!aDeployment.Submit("orders", JobId(number), job, 500, 256)) {
      return kNotRun;
    }
    // Without the burst each job has the time that its call and its work take.
    aDeployment.Run(aDeployment.Trouble() ? kBurstGapMs : kCallMs + 1'000);
  }
  aDeployment.Log().Line("end of the traffic");
  aDeployment.Run(kFinishMs + kJobs * kCallMs);
  int unfinished = 0;
  int neverStarted = 0;
  for (int number = 0; number < kJobs; ++number) {
    unfinished += aDeployment.State("orders", JobId(number)) == "completed" ? 0 : 1;
    neverStarted += aDeployment.Starts(JobId(number)) == 0 ? 1 : 0;
  }
  return aDeployment.Finish(
    unfinished != 0,
    fmt::format("{} of {} accepted jobs are not completed {} s after the traffic, "
                "{} were never started; a call for advice takes {} ms",
                unfinished, kJobs, (kFinishMs + kJobs * kCallMs) / 1'000, neverStarted, kCallMs));
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
