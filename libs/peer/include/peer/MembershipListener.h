#ifndef VANILLAYARD_PEER_MEMBERSHIPLISTENER_H
#define VANILLAYARD_PEER_MEMBERSHIPLISTENER_H

#include "base/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillayard {

struct Envelope;
struct PeerHost;
struct WorkerView;

/// Receives the events of Membership, on its executor. A listener may call
/// Membership, but must not destroy it.
class MembershipListener {
public:
  virtual ~MembershipListener() = default;

  /// A host appeared, changed its state or restarted.
  virtual void hostChanged(const PeerHost &) {}
  /// This host became the planner of its data centre, or lost the role.
  virtual void plannerChanged(bool /*IsPlanner*/) {}
  /// A host of this data centre sent a new view of a worker that it polls.
  virtual void workerViewChanged(const HostId & /*From*/,
                                 const WorkerView & /*View*/) {}
  /// A host has applied a configuration of a generation above that set with
  /// Membership::setGeneration(). Called for each of its heartbeats until this
  /// host has caught up.
  virtual void newerGenerationSeen(const HostId & /*At*/,
                                   int64_t /*Generation*/) {}
  /// The warnings in the heartbeats of a host changed; empty once it is dead.
  virtual void warningsChanged(const HostId & /*At*/,
                               const std::vector<std::string> & /*Names*/) {}
  /// A message other than a heartbeat, a reply or Leaving arrived.
  virtual void messageReceived(const Envelope &) {}
};

} // namespace vanillayard

#endif
