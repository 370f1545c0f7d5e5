#include "wire/WireCodec.h"

#include "FromThrift.h"
#include "ToThrift.h"
#include "peer_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <exception>
#include <memory>

namespace vanillayard {

using apache::thrift::TConfiguration;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer>;

static constexpr int MaxDepth = 16;

static std::shared_ptr<TConfiguration> limits() {
  constexpr int Bytes = static_cast<int>(WireCodec::MaxMessageBytes);
  return std::make_shared<TConfiguration>(Bytes, Bytes, MaxDepth);
}

absl::StatusOr<std::string> WireCodec::encode(const Envelope &Message) {
  std::string Bytes;
  // Thrift reports errors by exceptions; none may leave this function.
  try {
    auto Buffer = std::make_shared<TMemoryBuffer>(limits());
    Protocol Writer(Buffer);
    toThrift(Message).write(&Writer);
    Bytes = Buffer->getBufferAsString();
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
  if (Bytes.size() > MaxMessageBytes)
    return absl::InvalidArgumentError("message is too long");
  return Bytes;
}

absl::StatusOr<Envelope> WireCodec::decode(std::string_view Bytes) {
  if (Bytes.size() > MaxMessageBytes)
    return absl::InvalidArgumentError("message is too long");
  thrift_wire::Envelope Message;
  try {
    // TMemoryBuffer only reads from a buffer that it observes.
    auto *Data = reinterpret_cast<uint8_t *>(const_cast<char *>(Bytes.data()));
    auto Buffer = std::make_shared<TMemoryBuffer>(
        Data, static_cast<uint32_t>(Bytes.size()), TMemoryBuffer::OBSERVE,
        limits());
    Protocol Reader(Buffer, static_cast<int32_t>(MaxMessageBytes),
                    MaxListElements);
    Message.read(&Reader);
    if (Buffer->available_read() > 0)
      return absl::InvalidArgumentError("bytes after the message");
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
  return fromThrift(std::move(Message));
}

} // namespace vanillayard
