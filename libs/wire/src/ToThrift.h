#ifndef VANILLAYARD_WIRE_SRC_TOTHRIFT_H
#define VANILLAYARD_WIRE_SRC_TOTHRIFT_H

namespace vanillayard {

struct Envelope;

namespace thrift_wire {
class Envelope;
} // namespace thrift_wire

/// Converts to the generated struct. Zero and empty values are left out where
/// the definition has an optional field, to keep heartbeats short.
thrift_wire::Envelope toThrift(const Envelope &Message);

} // namespace vanillayard

#endif
