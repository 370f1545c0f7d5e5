#include "wire/WireCodec.h"

#include "FromThrift.h"
#include "ToThrift.h"
#include "peer_types.h"
#include "wire/ThriftCodec.h"

namespace vanillayard {

static constexpr int MaxDepth = 16;

static ThriftCodec codec() {
  return {WireCodec::MaxMessageBytes, WireCodec::MaxListElements, MaxDepth};
}

absl::StatusOr<std::string> WireCodec::encode(const Envelope &Message) {
  return codec().write(toThrift(Message));
}

absl::StatusOr<Envelope> WireCodec::decode(std::string_view Bytes) {
  auto Message = codec().read<thrift_wire::Envelope>(Bytes);
  if (!Message.ok())
    return Message.status();
  return fromThrift(*std::move(Message));
}

} // namespace vanillayard
