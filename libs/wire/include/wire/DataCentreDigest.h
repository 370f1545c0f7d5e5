#ifndef VANILLAYARD_WIRE_DATACENTREDIGEST_H
#define VANILLAYARD_WIRE_DATACENTREDIGEST_H

#include "base/Ids.h"
#include "wire/LoadSummary.h"

#include "absl/time/time.h"

#include <cstdint>
#include <vector>

namespace vanillayard {

/// A live host in a DataCentreDigest.
struct HostDigest {
  HostId Host;
  int64_t Incarnation = 0;
  Endpoint Address;
  bool Leaving = false;

  friend bool operator==(const HostDigest &, const HostDigest &) = default;
};

/// Summary of a data centre. Its planner sends it to the planners of the other
/// data centres, which forward it to their hosts.
struct DataCentreDigest {
  DataCentreId DataCentre;
  /// Hash of the list of live hosts. A receiver that has a list with this
  /// hash treats all hosts in it as live and needs no new copy of the list.
  int64_t HostsHash = 0;
  /// The list of live hosts; empty when it is not sent.
  std::vector<HostDigest> Hosts;
  /// Time since the sender received or created the digest, in whole
  /// milliseconds.
  absl::Duration Age;
  LoadSummary Load;

  friend bool operator==(const DataCentreDigest &,
                         const DataCentreDigest &) = default;
};

} // namespace vanillayard

#endif
