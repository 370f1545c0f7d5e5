#ifndef VANILLAYARD_TESTING_HTTPCALLER_H
#define VANILLAYARD_TESTING_HTTPCALLER_H

#include "net/H2oHttpClient.h"
#include "net/LoopExecutor.h"

#include "absl/status/statusor.h"

#include <functional>
#include <string>

namespace vanillayard {

/// HTTP calls of a test, on a loop of its own that runs only while the test
/// waits.
class HttpCaller {
public:
  static constexpr absl::Duration DefaultTimeout = absl::Seconds(30);

  /// Makes one call and waits for its answer. Errors as HttpClient.
  absl::StatusOr<HttpResponse> call(const Endpoint &To, HttpRequest Request,
                                    absl::Duration Timeout = DefaultTimeout);
  absl::StatusOr<HttpResponse> get(const Endpoint &To, std::string Path,
                                   std::string Query = "");
  absl::StatusOr<HttpResponse> post(const Endpoint &To, std::string Path,
                                    std::string Body);

  /// Begins a call; \p Done runs while the test waits in runUntil() or call().
  void begin(const Endpoint &To, HttpRequest Request, absl::Duration Timeout,
             HttpClient::ResponseCallback Done);

  /// Runs the loop until \p Done. Returns false after \p Limit.
  bool runUntil(const std::function<bool()> &Done, absl::Duration Limit);
  void runFor(absl::Duration Time);

  LoopExecutor &loop() { return this->Loop; }
  HttpClient &client() { return this->Client; }

private:
  LoopExecutor Loop;
  H2oHttpClient Client{this->Loop};
};

} // namespace vanillayard

#endif
