#ifndef VANILLAYARD_WIRE_DATACENTREDIGEST_H
#define VANILLAYARD_WIRE_DATACENTREDIGEST_H

#include "base/Ids.h"
#include "wire/LoadSummary.h"

#include "absl/time/time.h"

#include <cstdint>
#include <vector>

namespace vanillayard {

/// One host in a digest.
struct HostDigest {
  HostId Host;
  int64_t Incarnation = 0;
  Endpoint Address;
  bool Leaving = false;

  friend bool operator==(const HostDigest &, const HostDigest &) = default;
};

/// Summary of a data centre, which its planner sends to the planners of the
/// others and which these pass on to their hosts.
struct DataCentreDigest {
  DataCentreId DataCentre;
  /// Hash of the list of live hosts. A receiver that has a list with this
  /// hash takes all its hosts as live without getting the list again.
  int64_t HostsHash = 0;
  /// The list of live hosts; empty when it is not sent.
  std::vector<HostDigest> Hosts;
  /// Time since the sender got or made the digest, in whole milliseconds.
  absl::Duration Age;
  LoadSummary Load;

  friend bool operator==(const DataCentreDigest &,
                         const DataCentreDigest &) = default;
};

} // namespace vanillayard

#endif
