#ifndef VANILLAYARD_STORERELAY_STORERELAY_H
#define VANILLAYARD_STORERELAY_STORERELAY_H

#include "base/Ids.h"

#include "absl/status/status.h"

#include <memory>

namespace vanillayard {

class CoordinationStore;
class Log;
class LoopExecutor;

/// Lets the hosts of a deployment reach the store through each other, so that
/// a host which the store turns away goes on serving its callers, and a leader
/// keeps its role.
///
/// \code
///   StoreRelay Relay(Loop, Direct, HostId("h1"), Events);
///   Relay.start(Endpoint("10.0.0.1:7001"));
///   FleetHost Host({Loop, Relay.store(), ...}, ...);
/// \endcode
class StoreRelay {
public:
  /// \param Direct the store as this host reaches it; must outlive the relay.
  StoreRelay(LoopExecutor &Loop, CoordinationStore &Direct, const HostId &Host,
             Log &Events);
  ~StoreRelay();

  /// The store, through this host or another one.
  CoordinationStore &store();

  /// Serves other hosts at \p Address and looks for them. Without this call
  /// store() only calls the store directly.
  /// Errors: InvalidArgument, Unavailable.
  absl::Status start(const Endpoint &Address);
  /// Where other hosts reach this one. Valid after start().
  Endpoint address() const;
  /// Takes this host off the list of those that others may ask.
  void leave();

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
