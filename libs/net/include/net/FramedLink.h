#ifndef VANILLAYARD_NET_FRAMEDLINK_H
#define VANILLAYARD_NET_FRAMEDLINK_H

#include "base/Ids.h"

#include "absl/status/statusor.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace vanillayard {

class LoopExecutor;

/// One TCP connection that carries frames: the length of the message as 4
/// bytes in big-endian order, then the message. Destroying the link closes the
/// connection; no callback runs afterwards.
class FramedLink {
public:
  /// Longest message that is sent or accepted, in bytes.
  static constexpr size_t MaxFrameBytes = 4 << 20;
  /// Most bytes in the send queue; send() fails if a message would exceed it.
  static constexpr size_t MaxQueuedBytes = 16 << 20;

  using MessageCallback = std::function<void(std::string Message)>;
  using CloseCallback = std::function<void(absl::Status)>;

  virtual ~FramedLink() = default;

  /// Sets the callbacks and starts to read. \p OnMessage runs for each
  /// message, \p OnClose once when the connection ends.
  virtual void setCallbacks(MessageCallback OnMessage,
                            CloseCallback OnClose) = 0;

  /// Queues a message.
  /// \returns Unavailable if the link is closed or the write fails,
  ///          ResourceExhausted if the queue would exceed MaxQueuedBytes,
  ///          InvalidArgument if the message is longer than MaxFrameBytes.
  virtual absl::Status send(const std::string &Message) = 0;

  /// Bytes that wait until the peer reads them.
  virtual size_t queuedBytes() const = 0;
};

/// Opens a link to \p To; \p Done runs once, in the loop.
/// Errors: InvalidArgument if \p To is not an IP:port address, Unavailable if
/// the connection could not be made.
void connectFramed(
    LoopExecutor &Loop, const Endpoint &To,
    std::function<void(absl::StatusOr<std::unique_ptr<FramedLink>>)> Done);

} // namespace vanillayard

#endif
