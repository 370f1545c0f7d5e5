#ifndef VANILLAYARD_WIRE_SRC_TOTHRIFT_H
#define VANILLAYARD_WIRE_SRC_TOTHRIFT_H

namespace vanillayard {

struct Envelope;

namespace thrift_wire {
class Envelope;
} // namespace thrift_wire

/// Converts to the generated struct. Leaves zero and empty values out of
/// optional fields to keep heartbeats short.
thrift_wire::Envelope toThrift(const Envelope &Message);

} // namespace vanillayard

#endif
