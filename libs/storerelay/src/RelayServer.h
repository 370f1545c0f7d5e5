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
  /// Maximum number of links. Beyond it, the link whose last call is the oldest
  /// is closed; a host opens a new one when it needs one.
  static constexpr size_t MaxLinks = 512;
  /// Bytes of partly received calls over all links.
  static constexpr size_t MaxInputBytes = 8 << 20;
  /// Bytes of replies over all links that wait until their host reads them.
  /// Beyond it, the link that holds the most is closed.
  static constexpr size_t MaxQueuedBytes = 16 << 20;

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
