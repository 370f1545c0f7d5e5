#ifndef VANILLAYARD_WIRE_SRC_FROMTHRIFT_H
#define VANILLAYARD_WIRE_SRC_FROMTHRIFT_H

#include "absl/status/statusor.h"

namespace vanillayard {

struct Envelope;

namespace thrift_wire {
class Envelope;
} // namespace thrift_wire

/// Converts from the generated struct. Error: InvalidArgument if there is no
/// sender or no data centre, if there is not exactly one message, if a count,
/// time or version is negative, or if a worker, host or data centre has no id.
absl::StatusOr<Envelope> fromThrift(thrift_wire::Envelope Message);

} // namespace vanillayard

#endif
