#ifndef VANILLAYARD_FLEETHOST_FLEETHOST_H
#define VANILLAYARD_FLEETHOST_FLEETHOST_H

#include "control/ConfigurationFeed.h"
#include "fleethost/FleetHostOptions.h"
#include "net/HttpResponder.h"

#include "absl/status/status.h"

#include <functional>
#include <memory>
#include <string>

namespace vanillayard {

class BootClock;
class CallerDesk;
class CoordinationStore;
class Log;
class LoopExecutor;
class Metrics;
class WorkerDirectory;
class WorkerGateway;

/// One entry host of a fleet: answers callers, follows the configuration and
/// stands for the leader's role. The adapters of the platform are passed in.
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
    Metrics &Figures;
  };
  /// Makes the handler of callers' requests.
  using HandlerFactory = std::function<HttpHandler(CallerDesk &Desk)>;

  /// \param ConfigurationKey of the operators' configuration in the store.
  FleetHost(const Ports &Links, FleetHostOptions Options,
            std::string ConfigurationKey,
            ConfigurationFeed::Decoder DecodeConfiguration);
  ~FleetHost();

  /// Binds the addresses and begins to work.
  /// Errors: InvalidArgument, Unavailable.
  absl::Status start(const HandlerFactory &MakeHandler);

  /// Where callers and the load balancer reach it, with the real ports. Valid
  /// after start().
  Endpoint callerAddress() const;
  Endpoint readyAddress() const;

  /// Ready for callers: there is a configuration and no shutdown.
  bool isReady() const;

  /// Graceful shutdown: reports not ready, gives the leader's role up, goes on
  /// answering while the load balancer still sends connections, and calls
  /// \p Done when the last answer has been sent, within the grace time.
  void shutDown(std::function<void()> Done);

  class Impl;

private:
  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
