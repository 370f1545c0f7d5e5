#ifndef VANILLAYARD_WIRE_WORKERVIEW_H
#define VANILLAYARD_WIRE_WORKERVIEW_H

#include "base/Ids.h"

#include <cstdint>

namespace vanillayard {

/// State of a worker that the host which polls it publishes to the other hosts
/// of its data centre.
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
  /// True if the sender no longer polls the worker, so that the view of another
  /// host replaces this one.
  bool Withdrawn = false;
  /// True if Address, Rack, TotalSlots and Accelerators are left out because
  /// the receiver already has them.
  bool Brief = false;

  friend bool operator==(const WorkerView &, const WorkerView &) = default;
};

} // namespace vanillayard

#endif
