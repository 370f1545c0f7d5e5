#ifndef VANILLAYARD_LOAD_BLOCKINGHTTP_H
#define VANILLAYARD_LOAD_BLOCKINGHTTP_H

#include "base/Ids.h"
#include "net/H2oHttpClient.h"
#include "net/LoopExecutor.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace vanillayard {

/// Synchronous HTTP client: each call blocks until its answer or its timeout.
class BlockingHttp {
public:
  static constexpr absl::Duration DefaultTimeout = absl::Seconds(10);

  BlockingHttp() : Client(Loop) {}

  /// Errors: those of HttpClient::send().
  absl::StatusOr<HttpResponse> call(const Endpoint &To, HttpRequest Request,
                                    absl::Duration Timeout = DefaultTimeout);
  absl::StatusOr<HttpResponse> get(const Endpoint &To, std::string Path);
  absl::StatusOr<HttpResponse> post(const Endpoint &To, std::string Path,
                                    std::string Body);
  /// GET of a JSON document. Errors: also Internal for a status other than 200
  /// or an answer that is not JSON.
  absl::StatusOr<nlohmann::json> getJson(const Endpoint &To, std::string Path);

private:
  LoopExecutor Loop;
  H2oHttpClient Client;
};

} // namespace vanillayard

#endif
