#include "base/AbslView.h"
#include "net/HttpServer.h"
#include "net/LoopExecutor.h"
#include "standin_worker/WorkerHttpService.h"
#include "standin_worker/WorkerModel.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

ABSL_FLAG(std::string, name, "worker",
          "name of the worker, or the prefix of the names of several workers");
ABSL_FLAG(std::string, rack, "rack",
          "rack of the worker, or the prefix of the names of several racks");
ABSL_FLAG(int, workers, 1, "number of workers in this process");
ABSL_FLAG(int, first, 0,
          "number of workers that other processes of the same fleet host; the "
          "numbers of workers and racks continue after them");
ABSL_FLAG(int, workers_per_rack, 0,
          "workers in each rack; 0 puts all in one rack");
ABSL_FLAG(int, slots, 8, "slots of each worker");
ABSL_FLAG(int, connections, 64,
          "maximum number of calls waiting for a result at each worker");
ABSL_FLAG(int, accelerators, 8, "accelerators of each worker");
ABSL_FLAG(std::string, listen, "127.0.0.1:0",
          "listen address of the first worker; the others use the same IP "
          "address and a port chosen by the kernel");

using namespace vanillayard;

/// Maximum size of a task's body; above the limit of the entry hosts.
static constexpr size_t MaxBodyBytes = 16 << 20;

namespace {

/// One worker of this process with its HTTP server.
struct HostedWorker {
  std::string Name;
  std::unique_ptr<WorkerModel> Model;
  std::unique_ptr<WorkerHttpService> Service;
  std::unique_ptr<HttpServer> Server;
};

} // namespace

static std::string numberedName(const std::string &Prefix, int Number,
                                bool Many) {
  return Many ? fmt::format("{}{}", Prefix, Number) : Prefix;
}

static absl::StatusOr<HostedWorker> hostWorker(LoopExecutor &Loop, int Index) {
  HostedWorker Worker;
  int PerRack = absl::GetFlag(FLAGS_workers_per_rack);
  int Number = absl::GetFlag(FLAGS_first) + Index;
  bool Many = absl::GetFlag(FLAGS_workers) > 1 || PerRack > 0;
  Worker.Name = numberedName(absl::GetFlag(FLAGS_name), Number + 1, Many);
  std::string Rack =
      numberedName(absl::GetFlag(FLAGS_rack),
                   PerRack > 0 ? Number / PerRack + 1 : 0, PerRack > 0);
  auto Model = WorkerModel::Builder(Loop)
                   .name(WorkerId(Worker.Name))
                   .rack(RackId(Rack))
                   .slots(absl::GetFlag(FLAGS_slots))
                   .connections(absl::GetFlag(FLAGS_connections))
                   .accelerators(absl::GetFlag(FLAGS_accelerators))
                   .incarnation(fmt::format("{}-{}-{}", Worker.Name, getpid(),
                                            absl::ToUnixMillis(Loop.now())))
                   .build();
  if (!Model.ok())
    return Model.status();
  Worker.Model = std::move(*Model);
  Worker.Service = std::make_unique<WorkerHttpService>(Loop, *Worker.Model);
  std::string Listen = absl::GetFlag(FLAGS_listen);
  if (Index > 0)
    Listen = Listen.substr(0, Listen.find(':')) + ":0";
  auto Server = HttpServer::Builder(Loop)
                    .address(Endpoint(Listen))
                    .maxBodyBytes(MaxBodyBytes)
                    .handler([Service = Worker.Service.get()](
                                 HttpRequest Request, auto Responder) {
                      Service->handle(std::move(Request), std::move(Responder));
                    })
                    .build();
  if (!Server.ok())
    return Server.status();
  Worker.Server = std::move(*Server);
  return Worker;
}

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage("Stand-in for accelerator workers.");
  absl::ParseCommandLine(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  LoopExecutor Loop;
  std::vector<HostedWorker> Workers;
  for (int I = 0; I < absl::GetFlag(FLAGS_workers); ++I) {
    absl::StatusOr<HostedWorker> Worker = hostWorker(Loop, I);
    if (!Worker.ok()) {
      fmt::print(stderr, "standin-worker: {}\n",
                 stdView(Worker.status().message()));
      return 1;
    }
    Workers.push_back(std::move(*Worker));
  }
  for (const HostedWorker &Worker : Workers)
    fmt::print("listening {} {}\n", Worker.Server->address().str(),
               Worker.Name);
  std::fflush(stdout);
  Loop.onSignal(SIGTERM, [&Loop] { Loop.stop(); });
  Loop.run();
  return 0;
}
