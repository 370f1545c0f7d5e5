#ifndef VANILLAYARD_WIRE_WORKERVIEW_H
#define VANILLAYARD_WIRE_WORKERVIEW_H

#include "base/Ids.h"

#include <cstdint>

namespace vanillayard {

/// What the host that polls a worker tells the other hosts of its data
/// centre about it.
struct WorkerView {
  WorkerId Worker;
  Endpoint Address;
  RackId Rack;
  int FreeSlots = 0;
  int TotalSlots = 0;
  bool Draining = false;
  bool Ejected = false;
  /// Number of accelerators.
  int Accelerators = 0;
  /// Increases with every change published by the polling host.
  int64_t Version = 0;
  /// True if the sender does not poll the worker any more, so that this view
  /// gives way to that of another host.
  bool Withdrawn = false;
  /// True if Address, Rack, TotalSlots and Accelerators are left out because
  /// the receiver has them.
  bool Brief = false;

  friend bool operator==(const WorkerView &, const WorkerView &) = default;
};

} // namespace vanillayard

#endif
