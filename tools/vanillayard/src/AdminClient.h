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

/// Makes blocking calls to the admin listeners of hosts.
class AdminClient {
public:
  AdminClient(LoopExecutor &Loop, HttpClient &Http, absl::Duration Timeout)
      : Loop(Loop), Http(Http), Timeout(Timeout) {}

  /// Sends a GET request and returns the body of the answer. Errors: those of
  /// HttpClient, or the error in the host's answer.
  absl::StatusOr<std::string> getText(const Endpoint &Host,
                                      const std::string &Path);
  /// Errors: as for getText(); Internal if the answer is not JSON.
  absl::StatusOr<nlohmann::json> getJson(const Endpoint &Host,
                                         const std::string &Path);
  /// Errors: as for getJson().
  absl::StatusOr<nlohmann::json> postJson(const Endpoint &Host,
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
