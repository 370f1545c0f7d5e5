#ifndef VANILLAYARD_STANDIN_PLATFORM_PLATFORMSERVICE_H
#define VANILLAYARD_STANDIN_PLATFORM_PLATFORMSERVICE_H

#include "base/Executor.h"
#include "net/HttpResponder.h"
#include "standin_platform/EtcdGateway.h"
#include "standin_platform/HostListState.h"
#include "standin_platform/KeyValueState.h"
#include "standin_platform/LeaseTable.h"
#include "standin_platform/PlatformFaults.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// The stand-in for the platform: one HTTP handler that serves the key-value
/// service, the host list, fault injection and call counters.
///
/// \code
///   PlatformService Service(Loop, /*HostListLag=*/absl::Seconds(5));
///   auto Server = HttpServer::Builder(Loop)
///                     .maxBodyBytes(PlatformService::MaxBodyBytes)
///                     .handler(Service.handler())
///                     ...
/// \endcode
class PlatformService {
public:
  /// Maximum size of a request body, in bytes: enough for a batch of values in
  /// base64.
  static constexpr size_t MaxBodyBytes = 16 << 20;

  explicit PlatformService(Executor &Exec,
                           absl::Duration HostListLag = absl::ZeroDuration());
  ~PlatformService();
  PlatformService(const PlatformService &) = delete;
  PlatformService &operator=(const PlatformService &) = delete;

  /// Returns the handler for an HttpServer. The service must outlive it.
  HttpHandler handler();

  void setFaults(const PlatformFaults &Value);
  /// Number of calls since the start, by the last element of their path:
  /// "range", "txn", "watch", "hosts", ...
  const std::map<std::string, int64_t> &counters() const {
    return this->Counters;
  }

private:
  using ResponderRef = std::shared_ptr<HttpResponder>;

  struct Watch {
    KeyRange Range;
    int64_t StartRevision = 0;
    ResponderRef Stream;
  };

  void handle(const HttpRequest &Request, const ResponderRef &Responder);
  void handleKeyValue(const HttpRequest &Request,
                      const ResponderRef &Responder);
  void callKeyValue(const HttpRequest &Request, const ResponderRef &Responder);
  void openWatch(const HttpRequest &Request, const ResponderRef &Responder);
  void handleHosts(const HttpRequest &Request, const ResponderRef &Responder);
  void handleFaults(const HttpRequest &Request, const ResponderRef &Responder);
  void handleCounters(const ResponderRef &Responder);
  void abortWatches();
  void notifyWatches(const std::vector<KeyEvent> &Events);
  void writeEvents(const Watch &To, const std::vector<KeyEvent> &Events);
  bool consumeLostAnswer(const std::string &Path);

  Executor &Exec;
  KeyValueState State;
  LeaseTable Leases;
  EtcdGateway Gateway;
  HostListState Hosts;
  PlatformFaults Faults;
  std::vector<Watch> Watches;
  /// Calls that wait for the end of the mode Hang.
  std::vector<ResponderRef> HangingCalls;
  std::map<std::string, int64_t> Counters;
  /// False after destruction; checked by calls delayed in the mode Slow.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
