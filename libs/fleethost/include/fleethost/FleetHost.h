#ifndef VANILLAYARD_FLEETHOST_FLEETHOST_H
#define VANILLAYARD_FLEETHOST_FLEETHOST_H

#include "control/ConfigurationWatcher.h"
#include "fleethost/FleetHostOptions.h"
#include "net/HttpResponder.h"

#include "absl/status/status.h"

#include <functional>
#include <memory>
#include <string>

namespace vanillayard {

class BootClock;
class QueueJobService;
class CoordinationStore;
class Log;
class LoopExecutor;
class Metrics;
class WorkerDirectory;
class WorkerGateway;

/// One entry host of a fleet: answers callers, follows the configuration and
/// takes part in the election of the leader. The caller passes in the adapters
/// of the platform.
class FleetHost {
public:
  /// Adapters that the host works with; all must outlive it.
  struct Ports {
    LoopExecutor &Loop;
    CoordinationStore &Store;
    WorkerGateway &Gateway;
    WorkerDirectory &Directory;
    const BootClock &Clock;
    Log &Events;
    Metrics &MetricRegistry;
  };
  /// Creates the handler of callers' requests.
  using HandlerFactory = std::function<HttpHandler(QueueJobService &QueueJobs)>;

  /// \param ConfigurationKey key of the operators' configuration in the store.
  /// \param DecodeConfiguration parses the operators' format.
  FleetHost(const Ports &Adapters, FleetHostOptions Options,
            std::string ConfigurationKey,
            ConfigurationWatcher::Decoder DecodeConfiguration);
  ~FleetHost();

  /// Binds the addresses, follows the configuration and joins the election.
  /// Errors: InvalidArgument, Unavailable.
  absl::Status start(const HandlerFactory &MakeHandler);

  /// Addresses for callers and for the load balancer's readiness check, with
  /// the ports that were bound. Valid after start().
  Endpoint callerAddress() const;
  Endpoint readyAddress() const;

  /// True if a configuration is in force and no shutdown has begun.
  bool isReady() const;

  /// Graceful shutdown: reports not ready, resigns the leader's role, accepts
  /// connections until the load balancer has stopped sending them, and calls
  /// \p Done when all requests are answered, at the latest shortly before the
  /// grace period ends. Later calls do nothing and drop their \p Done.
  void shutDown(std::function<void()> Done);

  class Impl;

private:
  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
