#ifndef VANILLAYARD_WIRE_WIRECODEC_H
#define VANILLAYARD_WIRE_WIRECODEC_H

#include "wire/Envelope.h"

#include "absl/status/statusor.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace vanillayard {

/// Encodes envelopes in the Thrift compact protocol and decodes them.
class WireCodec {
public:
  /// Maximum length of an encoded message, in bytes; equal to
  /// FramedLink::MaxFrameBytes.
  static constexpr size_t MaxMessageBytes = 4 << 20;
  /// Maximum number of elements of one list.
  static constexpr int MaxListElements = 4096;

  /// Errors: InvalidArgument if the message exceeds a limit.
  static absl::StatusOr<std::string> encode(const Envelope &Message);

  /// Errors: InvalidArgument for bytes that are not one valid message.
  static absl::StatusOr<Envelope> decode(std::string_view Bytes);
};

} // namespace vanillayard

#endif
