#ifndef VANILLAYARD_WIRE_WIRECODEC_H
#define VANILLAYARD_WIRE_WIRECODEC_H

#include "wire/Envelope.h"

#include "absl/status/statusor.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace vanillayard {

/// Turns envelopes into bytes of the Thrift compact protocol and back.
class WireCodec {
public:
  /// Longest encoded message, in bytes; equal to the longest frame of a link.
  static constexpr size_t MaxMessageBytes = 4 << 20;
  /// Most elements of one list.
  static constexpr int MaxListElements = 4096;

  /// Errors: InvalidArgument if the message exceeds a limit.
  static absl::StatusOr<std::string> encode(const Envelope &Message);

  /// Errors: InvalidArgument for bytes that are not one valid message.
  static absl::StatusOr<Envelope> decode(std::string_view Bytes);
};

} // namespace vanillayard

#endif
