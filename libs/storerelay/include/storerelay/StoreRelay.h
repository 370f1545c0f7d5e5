#ifndef VANILLAYARD_STORERELAY_STORERELAY_H
#define VANILLAYARD_STORERELAY_STORERELAY_H

#include "base/Ids.h"

#include "absl/status/status.h"

#include <memory>

namespace vanillayard {

class CoordinationStore;
class Log;
class LoopExecutor;

/// Lets the hosts of a deployment call the store through each other, so that a
/// host whose calls the store refuses can still serve its callers, and a leader
/// keeps its role.
///
/// \code
///   StoreRelay Relay(Loop, Direct, HostId("h1"), Events);
///   Relay.start(Endpoint("10.0.0.1:7001"));
///   FleetHost Host({Loop, Relay.store(), ...}, ...);
/// \endcode
class StoreRelay {
public:
  /// \param Direct the store, called over this host's own connection; must
  ///               outlive the relay.
  StoreRelay(LoopExecutor &Loop, CoordinationStore &Direct, const HostId &Host,
             Log &Events);
  ~StoreRelay();

  /// The store, called directly or through another host.
  CoordinationStore &store();

  /// Accepts calls of other hosts at \p Address and starts to discover these
  /// hosts. Before this call store() calls the store only directly.
  /// Errors: InvalidArgument, Unavailable.
  absl::Status start(const Endpoint &Address);
  /// The address at which other hosts reach this one. Valid after start().
  Endpoint address() const;
  /// Removes this host from the host list, so that other hosts stop asking it
  /// within HostPresence::ListInterval.
  void leave();

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
