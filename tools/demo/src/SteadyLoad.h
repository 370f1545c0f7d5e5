#ifndef VANILLAYARD_DEMO_STEADYLOAD_H
#define VANILLAYARD_DEMO_STEADYLOAD_H

#include "CallerTable.h"
#include "DemoRequests.h"
#include "testing/Cluster.h"
#include "testing/LoadBalancer.h"

#include <vector>

namespace vanillayard {

/// Sends price checks, quick proofs and photo matches at a steady rate
/// through the load balancer, from several callers, while the demo does other
/// things on the same loop.
class SteadyLoad {
public:
  SteadyLoad(Cluster &Hosts, CallerTable &Table)
      : Hosts(Hosts), Table(Table), Balancer(Hosts) {}

  void start();
  /// Sends no more and waits for all answers. Returns false if some did not
  /// come in time.
  bool finish();
  /// Bodies of the requests that must not run twice.
  const std::vector<std::string> &unrepeatable() const {
    return this->Unrepeatable;
  }
  size_t sent() const { return this->Count; }
  size_t repeats() const { return this->Balancer.repeats(); }

private:
  void tick();
  void send(ShortRequest Request);

  Cluster &Hosts;
  CallerTable &Table;
  LoadBalancer Balancer;
  std::vector<std::string> Unrepeatable;
  size_t Count = 0;
  size_t Open = 0;
  bool Running = false;
};

} // namespace vanillayard

#endif
