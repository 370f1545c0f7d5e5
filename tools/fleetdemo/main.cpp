#include "testing/FleetCluster.h"

#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fmt/format.h>

using namespace vanillayard;

static constexpr int Hosts = 3;
static constexpr int Workers = 6;
static constexpr int Jobs = 8;
static constexpr int64_t TasksPerJob = 4;
static constexpr int AcceleratorsPerTask = 2;
static constexpr absl::Duration TaskTime = absl::Milliseconds(1500);

static std::string jobId(int Number) {
  return fmt::format("{:016x}", 0x5c0e7a21d94b3600 + Number);
}

/// Submits jobs through all hosts, kills the leader while they run, and returns
/// the number of failed checks.
static int runScenario(FleetCluster &Cluster) {
  int FailedChecks = 0;
  for (int I = 0; I < Jobs; ++I) {
    auto Host = static_cast<size_t>(I % Hosts);
    int Status = Cluster
                     .submitJob(Host, jobId(I), static_cast<int>(TasksPerJob),
                                AcceleratorsPerTask)
                     .Status;
    fmt::print("job {} submitted to host {}: {}\n", jobId(I), Host + 1, Status);
    FailedChecks += Status == 200 ? 0 : 1;
  }
  size_t Leader = Cluster.leaderIndex();
  if (Leader == Cluster.hostCount())
    return FailedChecks + 1;
  size_t Other = (Leader + 1) % Cluster.hostCount();
  FailedChecks += Cluster.waitForState(Other, jobId(0), "running") ? 0 : 1;
  fmt::print("host {} is the leader and is killed\n", Leader + 1);
  Cluster.process(Leader).kill();
  for (int I = 0; I < Jobs; ++I) {
    bool IsDone = Cluster.waitForState(Other, jobId(I), "done");
    fmt::print("job {}: {}\n", jobId(I),
               IsDone ? "done" : Cluster.readJobState(Other, jobId(I)));
    FailedChecks += IsDone ? 0 : 1;
  }
  int64_t StartedRuns = Cluster.countStartedRuns();
  fmt::print("{} tasks, {} runs started; the leader is now host {}\n",
             Jobs * TasksPerJob, StartedRuns, Cluster.leaderIndex() + 1);
  return FailedChecks + (StartedRuns == Jobs * TasksPerJob ? 0 : 1);
}

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  auto Cluster = FleetCluster::start(Hosts, Workers, TaskTime);
  if (!Cluster.ok()) {
    fmt::print(stderr, "the fleet did not start: {}\n",
               Cluster.status().ToString());
    return EXIT_FAILURE;
  }
  fmt::print("{} entry hosts and {} workers are ready\n", Hosts, Workers);
  int FailedChecks = runScenario(**Cluster);
  if (FailedChecks > 0)
    (*Cluster)->showOutput();
  fmt::print("{} failed checks\n", FailedChecks);
  return FailedChecks == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
