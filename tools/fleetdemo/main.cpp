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

/// Submits jobs over all hosts, kills the leader while they run, and counts
/// what did not go as it must.
static int play(FleetCluster &Cluster) {
  int Faults = 0;
  for (int I = 0; I < Jobs; ++I) {
    auto Host = static_cast<size_t>(I % Hosts);
    int Status = Cluster
                     .submit(Host, jobId(I), static_cast<int>(TasksPerJob),
                             AcceleratorsPerTask)
                     .Status;
    fmt::print("job {} submitted to host {}: {}\n", jobId(I), Host + 1, Status);
    Faults += Status == 200 ? 0 : 1;
  }
  size_t Leader = Cluster.leader();
  if (Leader == Cluster.hostCount())
    return Faults + 1;
  size_t Other = (Leader + 1) % Cluster.hostCount();
  Faults += Cluster.waitForState(Other, jobId(0), "running") ? 0 : 1;
  fmt::print("host {} is the leader and is killed\n", Leader + 1);
  Cluster.process(Leader).kill();
  for (int I = 0; I < Jobs; ++I) {
    bool IsDone = Cluster.waitForState(Other, jobId(I), "done");
    fmt::print("job {}: {}\n", jobId(I),
               IsDone ? "done" : Cluster.state(Other, jobId(I)));
    Faults += IsDone ? 0 : 1;
  }
  int64_t Begun = Cluster.begunRuns();
  fmt::print("{} tasks, {} runs begun; the leader is host {} now\n",
             Jobs * TasksPerJob, Begun, Cluster.leader() + 1);
  return Faults + (Begun == Jobs * TasksPerJob ? 0 : 1);
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
  int Faults = play(**Cluster);
  if (Faults > 0)
    (*Cluster)->showOutput();
  fmt::print("{} faults\n", Faults);
  return Faults == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
