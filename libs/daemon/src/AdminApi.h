#ifndef VANILLAYARD_DAEMON_SRC_ADMINAPI_H
#define VANILLAYARD_DAEMON_SRC_ADMINAPI_H

#include "daemon/Daemon.h"
#include "net/HttpResponder.h"

#include <nlohmann/json_fwd.hpp>

namespace vanillayard {

/// HTTP API for operators on the admin listener: metrics, health, status,
/// warnings, jobs, the timeline and draining.
class AdminApi {
public:
  explicit AdminApi(Daemon::Impl &Host) : Host(Host) {}

  void handle(const HttpRequest &Request,
              const std::shared_ptr<HttpResponder> &Responder);

private:
  void handleGet(const HttpRequest &Request,
                 const std::shared_ptr<HttpResponder> &Responder);
  void handlePost(const HttpRequest &Request,
                  const std::shared_ptr<HttpResponder> &Responder);
  void listJobs(const std::shared_ptr<HttpResponder> &Responder);
  void drain(const HttpRequest &Request,
             const std::shared_ptr<HttpResponder> &Responder);
  nlohmann::json status() const;
  nlohmann::json peers() const;
  nlohmann::json workers() const;
  nlohmann::json queues() const;
  nlohmann::json warnings() const;
  nlohmann::json guarantees() const;
  nlohmann::json holdings() const;
  nlohmann::json accelerators() const;
  /// Sets the gauges to the current values; called before each exposition.
  void refreshMetrics();

  Daemon::Impl &Host;
};

} // namespace vanillayard

#endif
