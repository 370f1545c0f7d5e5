#ifndef VANILLAYARD_STORERELAY_RELAYCODEC_H
#define VANILLAYARD_STORERELAY_RELAYCODEC_H

#include "storerelay/StoreCall.h"
#include "storerelay/StoreReply.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace vanillayard {

/// Encodes calls and replies in the Thrift compact protocol and decodes them.
/// Errors: InvalidArgument for a message that exceeds a limit, for bytes that
/// are not exactly one valid message, and for a call that the store's adapter
/// cannot send, such as one with a key that is not printable ASCII.
class RelayCodec {
public:
  /// Maximum size of a message in bytes; equal to FramedLink::MaxFrameBytes. A
  /// listing of all jobs of a deployment at its planned size is shorter.
  static constexpr size_t MaxMessageBytes = 4 << 20;
  /// Maximum number of elements in one list of a message that is decoded.
  static constexpr int MaxListElements = 65536;

  /// Longest wait of a watch and longest time to live of a lease.
  static constexpr absl::Duration MaxDuration = absl::Minutes(10);

  static absl::StatusOr<std::string> encode(const StoreCall &Call);
  static absl::StatusOr<std::string> encode(const StoreReply &Reply);
  static absl::StatusOr<StoreCall> decodeCall(std::string_view Bytes);
  static absl::StatusOr<StoreReply> decodeReply(std::string_view Bytes);
};

} // namespace vanillayard

#endif
