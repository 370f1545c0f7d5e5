#ifndef VANILLAYARD_STORERELAY_SRC_RELAYSERVER_H
#define VANILLAYARD_STORERELAY_SRC_RELAYSERVER_H

#include "base/Ids.h"

#include "absl/status/status.h"

#include <cstddef>
#include <memory>

namespace vanillayard {

class CoordinationStore;
class LoopExecutor;

/// Makes calls to the store for other hosts. Never asks a further host.
class RelayServer {
public:
  /// Most calls in progress; more are refused as PlatformUnavailable. Bounds
  /// the memory and the store calls that other hosts can cause.
  static constexpr size_t MaxCalls = 256;

  RelayServer(LoopExecutor &Loop, CoordinationStore &Direct);
  ~RelayServer();

  /// Errors: InvalidArgument, Unavailable.
  absl::Status listen(const Endpoint &Address);
  /// With the real port. Valid after listen().
  Endpoint address() const;

private:
  class Impl;
  std::shared_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
