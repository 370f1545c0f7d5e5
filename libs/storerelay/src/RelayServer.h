#ifndef VANILLAYARD_STORERELAY_SRC_RELAYSERVER_H
#define VANILLAYARD_STORERELAY_SRC_RELAYSERVER_H

#include "base/Ids.h"

#include "absl/status/status.h"

#include <cstddef>
#include <memory>

namespace vanillayard {

class CoordinationStore;
class LoopExecutor;

/// Makes store calls on behalf of other hosts, only over this host's own
/// connection to the store, so that calls are never relayed twice.
class RelayServer {
public:
  /// Maximum number of calls in progress; further calls are refused with
  /// PlatformUnavailable. Bounds the memory and the store calls that other
  /// hosts can cause.
  static constexpr size_t MaxCalls = 256;

  RelayServer(LoopExecutor &Loop, CoordinationStore &Direct);
  ~RelayServer();

  /// Accepts links at \p Address; port 0 lets the kernel choose.
  /// Errors: InvalidArgument, Unavailable.
  absl::Status listen(const Endpoint &Address);
  /// The address with the actual port. Valid after listen().
  Endpoint address() const;

private:
  class Impl;
  std::shared_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
