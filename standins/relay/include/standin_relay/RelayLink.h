#ifndef VANILLAYARD_STANDIN_RELAY_RELAYLINK_H
#define VANILLAYARD_STANDIN_RELAY_RELAYLINK_H

#include "base/Ids.h"
#include "standin_relay/LinkFaults.h"

#include "absl/status/statusor.h"

#include <memory>
#include <set>

struct uv_tcp_s;

namespace vanillayard {

class LoopExecutor;
class RelayConnection;

/// Listens on a port and relays each connection to one target. The injected
/// faults can change at any time.
class RelayLink {
public:
  /// Listens on \p Listen; port 0 lets the kernel choose.
  /// Errors: InvalidArgument for an address that is not IPv4 with a port,
  /// Unavailable if the relay cannot listen there.
  static absl::StatusOr<std::unique_ptr<RelayLink>>
  open(LoopExecutor &Loop, const Endpoint &Listen, const Endpoint &Target);

  ~RelayLink();
  RelayLink(const RelayLink &) = delete;
  RelayLink &operator=(const RelayLink &) = delete;

  Endpoint address() const;
  const Endpoint &target() const { return this->Target; }
  const LinkFaults &faults() const { return this->Faults; }
  void setFaults(const LinkFaults &Value);

private:
  RelayLink(LoopExecutor &Loop, Endpoint Target)
      : Loop(Loop), Target(std::move(Target)) {}
  absl::Status listen(const Endpoint &Listen);
  void accept();

  LoopExecutor &Loop;
  Endpoint Target;
  LinkFaults Faults;
  uv_tcp_s *Listener = nullptr;
  std::set<std::shared_ptr<RelayConnection>> Connections;
};

} // namespace vanillayard

#endif
