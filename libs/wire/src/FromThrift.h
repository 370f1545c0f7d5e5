#ifndef VANILLAYARD_WIRE_SRC_FROMTHRIFT_H
#define VANILLAYARD_WIRE_SRC_FROMTHRIFT_H

#include "absl/status/statusor.h"

namespace vanillayard {

struct Envelope;

namespace thrift_wire {
class Envelope;
} // namespace thrift_wire

/// Converts from the generated struct. Error: InvalidArgument if there is no
/// sender, if there is not exactly one message, or if a number is out of its
/// range.
absl::StatusOr<Envelope> fromThrift(thrift_wire::Envelope Message);

} // namespace vanillayard

#endif
