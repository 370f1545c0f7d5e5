#ifndef VANILLAYARD_DEMO_STEADYLOAD_H
#define VANILLAYARD_DEMO_STEADYLOAD_H

#include "CallerTable.h"
#include "DemoRequests.h"
#include "testing/Cluster.h"
#include "testing/LoadBalancer.h"

#include <vector>

namespace vanillayard {

/// Sends price checks, quick proofs and photo matches at a steady rate
/// through the load balancer, from several callers, while the demo uses the
/// same event loop for its other steps.
class SteadyLoad {
public:
  SteadyLoad(Cluster &DemoCluster, CallerTable &Table)
      : DemoCluster(DemoCluster), Table(Table), Balancer(DemoCluster) {}

  void start();
  /// Stops sending and waits for all answers. Returns false if an answer is
  /// still missing after FinishLimit.
  bool finish();
  /// Bodies of the requests that must not run twice.
  const std::vector<std::string> &nonRepeatableBodies() const {
    return this->NonRepeatableBodies;
  }
  size_t sent() const { return this->SentRequests; }
  size_t retries() const { return this->Balancer.retries(); }

private:
  void sendNext();
  void send(ShortRequest Request);

  Cluster &DemoCluster;
  CallerTable &Table;
  LoadBalancer Balancer;
  std::vector<std::string> NonRepeatableBodies;
  size_t SentRequests = 0;
  size_t OutstandingRequests = 0;
  bool Running = false;
};

} // namespace vanillayard

#endif
