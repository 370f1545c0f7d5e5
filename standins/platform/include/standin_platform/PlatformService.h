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

/// The stand-in for the platform: key-value service, host list, faults and
/// counters behind one HTTP handler.
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
  /// Room for a batch of values in base64, in bytes.
  static constexpr size_t MaxBodyBytes = 16 << 20;

  explicit PlatformService(Executor &Exec,
                           absl::Duration HostListLag = absl::ZeroDuration());
  ~PlatformService();
  PlatformService(const PlatformService &) = delete;
  PlatformService &operator=(const PlatformService &) = delete;

  /// Must not be called after the service is destroyed.
  HttpHandler handler();

  void setFaults(const PlatformFaults &Value);
  /// Calls by name since the start: "range", "txn", "watch", "hosts", ...
  const std::map<std::string, int64_t> &counters() const {
    return this->Counters;
  }

private:
  using Responder = std::shared_ptr<HttpResponder>;

  struct Watch {
    KeyRange Range;
    int64_t StartRevision = 0;
    Responder Stream;
  };

  void handle(const HttpRequest &Request, const Responder &Answer);
  void handleKeyValue(const HttpRequest &Request, const Responder &Answer);
  void callKeyValue(const HttpRequest &Request, const Responder &Answer);
  void openWatch(const HttpRequest &Request, const Responder &Answer);
  void handleHosts(const HttpRequest &Request, const Responder &Answer);
  void handleFaults(const HttpRequest &Request, const Responder &Answer);
  void handleCounters(const Responder &Answer);
  void cutWatches();
  void passOn(const std::vector<KeyEvent> &Events);
  void writeEvents(const Watch &To, const std::vector<KeyEvent> &Events);
  bool takesLostAnswer(const std::string &Path);

  Executor &Exec;
  KeyValueState State;
  LeaseTable Leases;
  EtcdGateway Gateway;
  HostListState Hosts;
  PlatformFaults Faults;
  std::vector<Watch> Watches;
  /// Calls that are never answered while the mode is Hang.
  std::vector<Responder> Hanging;
  std::map<std::string, int64_t> Counters;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
