#include "Demo.h"

#include <csignal>
#include <fmt/format.h>

using namespace vanillayard;

static constexpr int DataCentres = 2;
static constexpr int HostsPerDataCentre = 2;
static constexpr int WorkersPerDataCentre = 6;

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  absl::Time Start = absl::Now();
  auto DemoCluster = Cluster::Builder()
                         .dataCentres(DataCentres)
                         .hostsPerDataCentre(HostsPerDataCentre)
                         .workersPerDataCentre(WorkersPerDataCentre)
                         .build();
  if (!DemoCluster.ok()) {
    fmt::print(stderr, "the cluster did not start: {}\n",
               DemoCluster.status().ToString());
    return 2;
  }
  fmt::print("{} data centres, {} entry hosts and {} workers are ready\n",
             DataCentres, (*DemoCluster)->hostCount(),
             (*DemoCluster)->workers().size());
  Demo Scenario(**DemoCluster);
  Scenario.run();
  if (Scenario.mismatches() > 0)
    (*DemoCluster)->showOutput();
  fmt::print("\n{} mismatches, {:.1f} s\n", Scenario.mismatches(),
             absl::ToDoubleSeconds(absl::Now() - Start));
  return Scenario.mismatches() == 0 ? 0 : 1;
}
