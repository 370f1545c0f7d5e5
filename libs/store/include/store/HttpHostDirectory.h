#ifndef VANILLAYARD_STORE_HTTPHOSTDIRECTORY_H
#define VANILLAYARD_STORE_HTTPHOSTDIRECTORY_H

#include "base/Ids.h"
#include "net/HttpClient.h"
#include "store/HostDirectory.h"

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"

#include <string_view>

namespace vanillayard {

/// Reads the platform's host list at GET /v1/hosts. Destroying it cancels its
/// calls without running their callbacks.
class HttpHostDirectory final : public HostDirectory {
public:
  HttpHostDirectory(HttpClient &Http, Endpoint Address, absl::Duration Timeout);
  ~HttpHostDirectory() override;
  HttpHostDirectory(const HttpHostDirectory &) = delete;
  HttpHostDirectory &operator=(const HttpHostDirectory &) = delete;

  void fetch(Callback Done) override;

  /// Parses the JSON document. Rejects the whole list if one entry is
  /// malformed: a list without that entry would look as if the host were
  /// missing. Error: PlatformUnavailable.
  static absl::StatusOr<HostList> parse(std::string_view Text);

private:
  HttpClient &Http;
  Endpoint Address;
  absl::Duration Timeout;
  absl::flat_hash_set<HttpClient::CallId> OpenCalls;
};

} // namespace vanillayard

#endif
