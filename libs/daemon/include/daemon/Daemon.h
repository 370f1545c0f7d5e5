#ifndef VANILLAYARD_DAEMON_DAEMON_H
#define VANILLAYARD_DAEMON_DAEMON_H

#include "base/Ids.h"

#include "absl/status/statusor.h"

#include <functional>
#include <memory>

namespace vanillayard {

struct Settings;
class LoopExecutor;

/// One entry host: all its tasks, wired on one loop.
///
/// \code
///   auto Host = Daemon::create(Loop, Settings);
///   Loop.onSignal(SIGTERM, [&] { (*Host)->shutDown([&] { Loop.stop(); }); });
///   Loop.run();
/// \endcode
class Daemon {
public:
  /// Errors: InvalidArgument, or Unavailable if an address is taken.
  static absl::StatusOr<std::unique_ptr<Daemon>>
  create(LoopExecutor &Loop, const Settings &Options);
  ~Daemon();

  /// Bound addresses with their real ports.
  Endpoint callerAddress() const;
  Endpoint adminAddress() const;
  Endpoint peerAddress() const;

  /// Graceful shutdown: tells peers and the balancer, stops accepting, hands
  /// over what is queued and finishes what runs.
  /// \param Done called once, at the latest after the grace of the settings.
  void shutDown(std::function<void()> Done);

  class Impl;

private:
  explicit Daemon(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
