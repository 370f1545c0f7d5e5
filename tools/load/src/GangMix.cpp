#include "GangMix.h"

#include "load/PackingOracle.h"
#include "load/Targets.h"

#include <algorithm>

namespace vanillayard {

static constexpr absl::Duration SmallRunTime = absl::Seconds(3);
static constexpr absl::Duration GangRunTime = absl::Seconds(4);
static constexpr absl::Duration Deadline = absl::Minutes(5);
static constexpr double SmallDemand = 0.35;
static constexpr double GangDemand = 0.25;
/// Members of a gang, one whole worker each; at most the size of a rack in the
/// smallest deployment.
static constexpr int GangMembers = 3;
/// Factor by which declared run times are too long or too short.
static constexpr double RunTimeErrorFactor = 10;
static constexpr absl::Duration SampleInterval = absl::Milliseconds(500);
/// Sampling starts after this share of the phase: before, the deployment is
/// nearly empty.
static constexpr double WarmUpShare = 0.3;

static LoadStream asJobs(LoadStream Stream, int Members, int Accelerators,
                         double DeclaredRunTimeFactor) {
  Stream.IsJob = true;
  Stream.Repeatable = true;
  Stream.Deadline = Deadline;
  Stream.Job.GangSizes = {Members};
  Stream.Job.AcceleratorsPerMember = Accelerators;
  Stream.Job.DeclaredRunTimeFactor = DeclaredRunTimeFactor;
  Stream.Job.Adjacency = Members > 1 ? "rack" : "data_centre";
  Stream.RatePerSecond /= Members * Accelerators;
  return Stream;
}

absl::Status GangMix::samplePacking(Trial &T, absl::Duration Time,
                                    Packing &Sum) {
  absl::Time Until = absl::Now() + Time;
  absl::SleepFor(Time * WarmUpShare);
  while (absl::Now() < Until) {
    auto Workers = T.Bed.occupancy();
    if (!Workers.ok())
      return Workers.status();
    for (const DataCentreSize &Centre : T.Options.TestDeployment.DataCentres) {
      Sum.Startable +=
          PackingOracle::largestStartableGang(*Workers, Centre.Name);
      Sum.Perfect += PackingOracle::largestGangIfPacked(
          *Workers, Centre.Name, T.Options.TestDeployment.WorkersPerRack);
    }
    absl::SleepFor(SampleInterval);
  }
  return absl::OkStatus();
}

absl::Status GangMix::measure(Trial &T) {
  const Deployment &TestDeployment = T.Options.TestDeployment;
  LoadStream Short = asJobs(streamOf(TestDeployment, TestDeployment.Middle,
                                     "short", SmallRunTime, SmallDemand / 2),
                            1, 1, RunTimeErrorFactor);
  LoadStream Pair = asJobs(streamOf(TestDeployment, TestDeployment.LeastUrgent,
                                    "pair", SmallRunTime, SmallDemand / 2),
                           1, 2, 1 / RunTimeErrorFactor);
  LoadStream Gang = asJobs(streamOf(TestDeployment, TestDeployment.Middle,
                                    "gang", GangRunTime, GangDemand),
                           GangMembers, Deployment::AcceleratorsPerWorker, 1);
  Packing Sum;
  absl::Duration Time = this->phaseTime(T.Options);
  auto Records = this->runPhase(T, "mix", {Short, Pair, Gang}, [&](LoadRun &) {
    return samplePacking(T, Time, Sum);
  });
  if (!Records.ok())
    return Records.status();
  addAnsweredShare(T, "mix", Records->total());

  const GroupRecord &Gangs = Records->ofClass("gang");
  Target Better{Target::Bound::Below, targets::MaxGangCompletionRatio, true};
  T.add({"gangs sent", "count", static_cast<double>(Gangs.Sent), {}});
  T.add(
      {"gangs completed", "count", static_cast<double>(Gangs.succeeded()), {}});
  T.add({"mean completion of gangs", "s", Gangs.Completion.mean(), Better});
  T.add({"p99 completion of gangs", "s", Gangs.Completion.quantile(0.99), {}});
  T.add({"mean completion of short jobs",
         "s",
         Records->ofClass("short").Completion.mean(),
         {}});
  T.add({"largest startable gang / perfect packing", "ratio",
         Sum.Startable / std::max(Sum.Perfect, 1.0),
         Target{Target::Bound::AtLeast, targets::MinLargestGangRatio, false}});
  return absl::OkStatus();
}

} // namespace vanillayard
