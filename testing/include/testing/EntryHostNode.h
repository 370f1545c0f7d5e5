#ifndef VANILLAYARD_TESTING_ENTRYHOSTNODE_H
#define VANILLAYARD_TESTING_ENTRYHOSTNODE_H

#include "base/Ids.h"
#include "testing/Process.h"

#include <memory>

namespace vanillayard {

/// An entry host of a Cluster. Its addresses change at every start.
struct EntryHostNode {
  HostId Name;
  DataCentreId DataCentre;
  Endpoint Caller;
  Endpoint Admin;
  Endpoint PeerAddress;
  /// Null before the first start.
  std::unique_ptr<Process> Running;
  /// Number of starts.
  int Starts = 0;

  bool isRunning() const { return this->Running && !this->Running->exitCode(); }
};

} // namespace vanillayard

#endif
