#include "base/AbslView.h"
#include "net/HttpServer.h"
#include "net/LoopExecutor.h"
#include "standin_relay/RelayControl.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, targets, {},
          "addresses to relay to; each gets its own link");

using namespace vanillayard;

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage("TCP relay that cuts, delays or freezes links.");
  absl::ParseCommandLine(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  LoopExecutor Loop;
  RelayControl Control(Loop);
  auto Server = HttpServer::Builder(Loop)
                    .address(Endpoint("127.0.0.1:0"))
                    .handler([&](const HttpRequest &Request, auto Responder) {
                      Control.handle(Request, Responder);
                    })
                    .build();
  if (!Server.ok())
    return 1;
  std::string Lines =
      fmt::format("listening {} control\n", (*Server)->address().str());
  for (const std::string &Target : absl::GetFlag(FLAGS_targets)) {
    auto Link = Control.addLink(Endpoint(Target));
    if (!Link.ok()) {
      fmt::print(stderr, "standin-relay: {}\n",
                 stdView(Link.status().message()));
      return 1;
    }
    Lines += fmt::format("listening {} {}\n", (*Link)->address().str(), Target);
  }
  fmt::print("{}", Lines);
  std::fflush(stdout);
  Loop.onSignal(SIGTERM, [&Loop] { Loop.stop(); });
  Loop.run();
  return 0;
}
