#include "net/HttpServer.h"
#include "net/LoopExecutor.h"
#include "standin_platform/PlatformService.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdio>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 0, "port to listen on; 0 lets the kernel choose");
ABSL_FLAG(absl::Duration, host_list_lag, absl::ZeroDuration(),
          "how far the served host list lags behind its updates, such as 5s");

using namespace vanillayard;

int main(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  absl::SetProgramUsageMessage(
      "stand-in for the platform: key-value service and host list in memory");
  absl::ParseCommandLine(Argc, Argv);
  LoopExecutor Loop;
  PlatformService Service(Loop, absl::GetFlag(FLAGS_host_list_lag));
  auto Server =
      HttpServer::Builder(Loop)
          .address(Endpoint(fmt::format("{}:{}", absl::GetFlag(FLAGS_address),
                                        absl::GetFlag(FLAGS_port))))
          .maxBodyBytes(PlatformService::MaxBodyBytes)
          .handler(Service.handler())
          .build();
  if (!Server.ok()) {
    fmt::print(stderr, "standin-platform: {}\n", Server.status().ToString());
    return 1;
  }
  for (int Signal : {SIGINT, SIGTERM})
    Loop.onSignal(Signal, [&] { Loop.stop(); });
  fmt::print("listening {}\n", (*Server)->address().str());
  std::fflush(stdout);
  Loop.run();
  return 0;
}
