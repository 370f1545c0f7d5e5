#ifndef VANILLAYARD_WIRE_THRIFTCODEC_H
#define VANILLAYARD_WIRE_THRIFTCODEC_H

#include "absl/status/statusor.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstddef>
#include <exception>
#include <memory>
#include <string>
#include <string_view>

namespace vanillayard {

/// Encodes generated Thrift structs in the compact protocol and decodes them.
/// Thrift throws exceptions on errors; this class converts them to
/// InvalidArgument.
class ThriftCodec {
public:
  /// \param MaxBytes    maximum length of a message, in bytes.
  /// \param MaxElements maximum number of elements of one list.
  /// \param MaxDepth    maximum depth of nested structs.
  ThriftCodec(size_t MaxBytes, int MaxElements, int MaxDepth)
      : MaxBytes(MaxBytes), MaxElements(MaxElements), MaxDepth(MaxDepth) {}

  template <typename Message>
  absl::StatusOr<std::string> write(const Message &Value) const {
    std::string Bytes;
    try {
      auto Buffer = std::make_shared<Memory>(this->configuration());
      Protocol Writer(Buffer);
      Value.write(&Writer);
      Bytes = Buffer->getBufferAsString();
    } catch (const std::exception &Error) {
      return absl::InvalidArgumentError(Error.what());
    }
    if (Bytes.size() > this->MaxBytes)
      return absl::InvalidArgumentError("the message is too long");
    return Bytes;
  }

  template <typename Message>
  absl::StatusOr<Message> read(std::string_view Bytes) const {
    if (Bytes.size() > this->MaxBytes)
      return absl::InvalidArgumentError("the message is too long");
    Message Value;
    try {
      // With OBSERVE, the buffer only reads from the bytes.
      auto *Data =
          reinterpret_cast<uint8_t *>(const_cast<char *>(Bytes.data()));
      auto Buffer =
          std::make_shared<Memory>(Data, static_cast<uint32_t>(Bytes.size()),
                                   Memory::OBSERVE, this->configuration());
      Protocol Reader(Buffer, static_cast<int32_t>(this->MaxBytes),
                      this->MaxElements);
      Value.read(&Reader);
      if (Buffer->available_read() > 0)
        return absl::InvalidArgumentError(
            "there are extra bytes after the message");
    } catch (const std::exception &Error) {
      return absl::InvalidArgumentError(Error.what());
    }
    return Value;
  }

private:
  using Memory = apache::thrift::transport::TMemoryBuffer;
  using Protocol = apache::thrift::protocol::TCompactProtocolT<Memory>;

  std::shared_ptr<apache::thrift::TConfiguration> configuration() const {
    int Bytes = static_cast<int>(this->MaxBytes);
    return std::make_shared<apache::thrift::TConfiguration>(Bytes, Bytes,
                                                            this->MaxDepth);
  }

  size_t MaxBytes;
  int MaxElements;
  int MaxDepth;
};

} // namespace vanillayard

#endif
