#include "StoreService.h"
#include "WorkerService.h"
#include "control/testing/FakeCoordinationStore.h"
#include "control/testing/FakeWorkerFarm.h"
#include "net/HttpServer.h"
#include "net/LoopExecutor.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <memory>
#include <vector>

ABSL_FLAG(int, workers, 4, "number of workers, each with 8 accelerators");
ABSL_FLAG(absl::Duration, task_time, absl::Milliseconds(300),
          "run time of each task");

using namespace vanillayard;

/// Interval at which each worker's registration is written to the store.
static constexpr absl::Duration RegistrationInterval = absl::Milliseconds(1500);
static constexpr int WorkersPerRack = 4;
static const Endpoint AnyPort("127.0.0.1:0");

/// Writes the registrations of all workers, now and at each interval.
static void writeRegistrations(LoopExecutor &Loop, FakeCoordinationStore &Store,
                               FakeWorkerFarm &Farm) {
  Farm.fetch(
      [&Store](absl::StatusOr<std::vector<WorkerRegistration>> Registrations) {
        for (const WorkerRegistration &Registration : *Registrations)
          Store.put("servers/" + Registration.Id.str(),
                    encodeRegistration(Registration));
      });
  Loop.runAfter(RegistrationInterval, [&Loop, &Store, &Farm] {
    writeRegistrations(Loop, Store, Farm);
  });
}

static std::unique_ptr<HttpServer>
startServer(LoopExecutor &Loop, HttpHandler Handler, const std::string &Name) {
  auto Server =
      HttpServer::Builder(Loop).address(AnyPort).handler(Handler).build();
  if (!Server.ok()) {
    fmt::print(stderr, "standin-fleet: {}\n", Server.status().ToString());
    return nullptr;
  }
  fmt::print("listening {} {}\n", (*Server)->address().str(), Name);
  return *std::move(Server);
}

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  absl::SetProgramUsageMessage(
      "stand-in for the users' platform: metadata store and workers");
  absl::ParseCommandLine(Argc, Argv);
  LoopExecutor Loop;
  FakeCoordinationStore Store(Loop);
  FakeWorkerFarm Farm(Loop);
  Farm.Durations = [](const TaskKey &) {
    return absl::GetFlag(FLAGS_task_time);
  };
  std::vector<std::unique_ptr<HttpServer>> Servers;
  Servers.push_back(startServer(Loop, makeStoreHandler(Store, Farm), "store"));
  for (int I = 0; I < absl::GetFlag(FLAGS_workers); ++I) {
    WorkerRegistration Registration;
    Registration.Id = WorkerId(fmt::format("w{}", I));
    Registration.DataCentre = DataCentreId("dc1");
    Registration.Rack = RackId(fmt::format("r{}", I / WorkersPerRack));
    Registration.WorkerPool = "pool";
    Registration.Capacity = {128000, 262144, 8};
    Registration.Labels = {"a", Registration.Rack.str()};
    Servers.push_back(startServer(
        Loop, makeWorkerHandler(Farm, Registration.Id), Registration.Id.str()));
    if (!Servers.back())
      return EXIT_FAILURE;
    Registration.Address = Servers.back()->address();
    Farm.addWorker(Registration);
  }
  if (!Servers.front())
    return EXIT_FAILURE;
  std::fflush(stdout);
  writeRegistrations(Loop, Store, Farm);
  for (int Signal : {SIGINT, SIGTERM})
    Loop.onSignal(Signal, [&] { Loop.stop(); });
  Loop.run();
  return EXIT_SUCCESS;
}
