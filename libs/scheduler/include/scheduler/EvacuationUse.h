#ifndef VANILLAYARD_SCHEDULER_EVACUATIONUSE_H
#define VANILLAYARD_SCHEDULER_EVACUATIONUSE_H

#include <cstddef>

namespace vanillayard {

/// How far the evacuations in force have got.
struct EvacuationUse {
  size_t DataCentres = 0;
  /// Registered workers in them.
  size_t Workers = 0;
  /// Runs that those workers may still hold.
  size_t Runs = 0;
};

} // namespace vanillayard

#endif
