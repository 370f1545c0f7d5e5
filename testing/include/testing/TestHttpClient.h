#ifndef VANILLAYARD_TESTING_TESTHTTPCLIENT_H
#define VANILLAYARD_TESTING_TESTHTTPCLIENT_H

#include "net/H2oHttpClient.h"
#include "net/LoopExecutor.h"

#include "absl/status/statusor.h"

#include <functional>
#include <string>

namespace vanillayard {

/// HTTP client for tests. It has its own event loop, which runs only while the
/// test waits.
class TestHttpClient {
public:
  static constexpr absl::Duration DefaultTimeout = absl::Seconds(30);

  /// Sends a request and waits for its answer. Errors: those of HttpClient.
  absl::StatusOr<HttpResponse> call(const Endpoint &To, HttpRequest Request,
                                    absl::Duration Timeout = DefaultTimeout);
  absl::StatusOr<HttpResponse> get(const Endpoint &To, std::string Path,
                                   std::string Query = "");
  absl::StatusOr<HttpResponse> post(const Endpoint &To, std::string Path,
                                    std::string Body);

  /// Sends a request without waiting. \p Done runs while the test waits in
  /// call(), runUntil() or runFor().
  void beginCall(const Endpoint &To, HttpRequest Request,
                 absl::Duration Timeout, HttpClient::ResponseCallback Done);

  /// Runs the loop until \p Done holds. Returns false after \p Limit.
  bool runUntil(const std::function<bool()> &Done, absl::Duration Limit);
  /// Runs the loop for \p Time.
  void runFor(absl::Duration Time);

  LoopExecutor &loop() { return this->Loop; }
  HttpClient &client() { return this->Client; }

private:
  LoopExecutor Loop;
  H2oHttpClient Client{this->Loop};
};

} // namespace vanillayard

#endif
