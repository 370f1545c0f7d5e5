#ifndef VANILLAYARD_DAEMON_DAEMON_H
#define VANILLAYARD_DAEMON_DAEMON_H

#include "base/Ids.h"

#include "absl/status/statusor.h"

#include <functional>
#include <memory>

namespace vanillayard {

struct Settings;
class LoopExecutor;

/// One entry host: creates and connects all its tasks on one event loop.
///
/// \code
///   auto Host = Daemon::create(Loop, Settings);
///   Loop.onSignal(SIGTERM, [&] { (*Host)->shutDown([&] { Loop.stop(); }); });
///   Loop.run();
/// \endcode
class Daemon {
public:
  /// Errors: InvalidArgument, or Unavailable if an address is in use.
  static absl::StatusOr<std::unique_ptr<Daemon>>
  create(LoopExecutor &Loop, const Settings &Options);
  ~Daemon();

  /// Bound addresses, with the port that the system chose if the settings
  /// give port 0.
  Endpoint callerAddress() const;
  Endpoint adminAddress() const;
  /// Address announced to peers; the bound one if the settings give none.
  Endpoint peerAddress() const;

  /// Shuts down gracefully: announces the shutdown to peers and to the load
  /// balancer, gives up the planner role, stops accepting connections, forwards
  /// queued requests to peers and finishes those in progress.
  /// \param Done called once, at the latest after Settings::ShutdownGrace. If
  ///        shutDown() is called again, the callbacks of all calls run then.
  void shutDown(std::function<void()> Done);

  class Impl;

private:
  explicit Daemon(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
