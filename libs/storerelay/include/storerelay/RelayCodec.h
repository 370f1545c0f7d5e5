#ifndef VANILLAYARD_STORERELAY_RELAYCODEC_H
#define VANILLAYARD_STORERELAY_RELAYCODEC_H

#include "storerelay/StoreCall.h"
#include "storerelay/StoreReply.h"

#include "absl/status/statusor.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace vanillayard {

/// Turns calls and replies into bytes of the Thrift compact protocol and back.
/// Errors: InvalidArgument for a message over the limits, and for bytes that
/// are not one valid message.
class RelayCodec {
public:
  /// Longest message, in bytes; the longest frame of a link. A listing of all
  /// jobs of a deployment at its planned size is shorter.
  static constexpr size_t MaxMessageBytes = 4 << 20;
  /// Most elements of one list.
  static constexpr int MaxListElements = 65536;

  static absl::StatusOr<std::string> encode(const StoreCall &Call);
  static absl::StatusOr<std::string> encode(const StoreReply &Reply);
  static absl::StatusOr<StoreCall> decodeCall(std::string_view Bytes);
  static absl::StatusOr<StoreReply> decodeReply(std::string_view Bytes);
};

} // namespace vanillayard

#endif
