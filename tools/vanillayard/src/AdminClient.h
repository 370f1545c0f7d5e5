#ifndef VANILLAYARD_CLI_ADMINCLIENT_H
#define VANILLAYARD_CLI_ADMINCLIENT_H

#include "base/Ids.h"
#include "net/HttpMessage.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <nlohmann/json.hpp>

#include <string>

namespace vanillayard {

class HttpClient;
class LoopExecutor;

/// Blocking calls of the admin listeners of hosts.
class AdminClient {
public:
  AdminClient(LoopExecutor &Loop, HttpClient &Http, absl::Duration Timeout)
      : Loop(Loop), Http(Http), Timeout(Timeout) {}

  /// Errors: as of HttpClient, or the error that the host answers with.
  absl::StatusOr<std::string> getText(const Endpoint &Host,
                                      const std::string &Path);
  absl::StatusOr<nlohmann::json> get(const Endpoint &Host,
                                     const std::string &Path);
  absl::StatusOr<nlohmann::json> post(const Endpoint &Host,
                                      const std::string &Path,
                                      const nlohmann::json &Body);

private:
  absl::StatusOr<std::string> call(const Endpoint &Host, HttpRequest Request);

  LoopExecutor &Loop;
  HttpClient &Http;
  absl::Duration Timeout;
};

} // namespace vanillayard

#endif
